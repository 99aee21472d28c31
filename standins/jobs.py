"""Submit batch jobs over the public HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, Final

from standins.caller import Caller, Response

BOUNDARY: Final = "clementinepin-caller-7f31"


class JobRejectedError(Exception):
    """An instance did not accept a file or a job."""


def submit_job(caller: Caller, port: int, key: str, items: Iterable[dict[str, Any]]) -> str:
    """Upload items and create a job; return its id or raise JobRejectedError."""
    content = "".join(json.dumps(item) + "\n" for item in items)
    uploaded = check_accepted(upload_file(caller, port, f"{key}.jsonl", content))
    return str(check_accepted(create_job(caller, port, key, uploaded["id"]))["id"])


def upload_file(caller: Caller, port: int, name: str, content: str) -> Response:
    """Upload a file of items and return the response."""
    part_header = f"--{BOUNDARY}\r\nContent-Disposition: form-data; name="
    form = f'{part_header}"purpose"\r\n\r\nbatch\r\n{part_header}"file"; filename="{name}"\r\n\r\n'
    body = f"{form}{content}\r\n--{BOUNDARY}--\r\n".encode()
    headers = {"Content-Type": f"multipart/form-data; boundary={BOUNDARY}"}
    return caller.call(port, "POST", "/v1/files", body, headers)


def create_job(caller: Caller, port: int, key: str, file_id: str) -> Response:
    """Create a job from an uploaded file and return the response."""
    message = {
        "input_file_id": file_id,
        "endpoint": "/v1/completions",
        "completion_window": "1h",
    }
    headers = {"Idempotency-Key": key}
    return caller.call(port, "POST", "/v1/batches", json.dumps(message).encode(), headers)


def check_accepted(response: Response) -> dict[str, Any]:
    """Return the decoded body of a successful response; raise JobRejectedError otherwise."""
    if response.status != 200:
        raise JobRejectedError(f"{response.status} {response.code}")
    decoded: dict[str, Any] = json.loads(response.text)
    return decoded
