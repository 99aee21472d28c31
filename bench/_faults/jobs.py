"""Submit batch jobs while faults are injected, and check their results."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import gevent

from bench._faults.load import Load
from bench._faults.tally import Tally
from standins.caller import Caller, Response
from standins.engine import make_token
from standins.fleet import Fleet
from standins.jobs import create_job, upload_file

CALL_TIMEOUT_S: Final = 8.0
POLL_S: Final = 0.3
ITEM_TOKENS: Final = 12
END_STATUSES: Final = ("completed", "cancelled")


class Jobs:
    """Submits, resends and cancels jobs and checks their results."""

    def __init__(self, fleet: Fleet, load: Load, tally: Tally) -> None:
        demo = fleet.plan.demo
        self._load = load
        self._tally = tally
        self._application = demo["batch_application"]
        self._caller = Caller(fleet.plan.keys[demo["batch_account"]], timeout_s=CALL_TIMEOUT_S)

    def submit(self, key: str, items: int, deadline: float) -> str:
        """Submit a job twice with the same key and return its id.

        Each submission is repeated until it is accepted; two different ids are a violation.
        Raise JobCallFailedError after the deadline.
        """
        content = self._make_content(key, items)
        ids = [self._submit_once(key, content, deadline) for _ in range(2)]
        if len(set(ids)) != 1:
            self._tally.record_violation("doubled", f"job {key} was accepted as {ids}")
        return ids[0]

    def submit_at(self, port: int, key: str, items: int, deadline: float) -> str:
        """Submit a job at one entry only, until it is accepted, and return the job's id.

        Raise JobCallFailedError after the deadline.
        """
        content = self._make_content(key, items)
        while True:
            uploaded = upload_file(self._caller, port, f"{key}.jsonl", content)
            if uploaded.status == 200:
                response = create_job(self._caller, port, key, json.loads(uploaded.text)["id"])
                if response.status == 200:
                    return str(json.loads(response.text)["id"])
            if time.monotonic() > deadline:
                raise JobCallFailedError(f"job {key} was not accepted on port {port}")
            gevent.sleep(POLL_S)

    def cancel(self, job_id: str, deadline: float) -> None:
        """Cancel a job and wait for its end; results added later are a violation."""
        self._call_until_success("POST", f"/v1/batches/{job_id}/cancel", b"{}", deadline)
        self.wait(job_id, deadline)
        before = len(self.read_results(job_id, deadline))
        gevent.sleep(2.0)
        after = len(self.read_results(job_id, deadline))
        if after != before:
            self._tally.record_violation(
                "ran_on_after_cancel", f"{before} results at the end of the job, {after} later"
            )

    def wait(self, job_id: str, deadline: float) -> dict[str, Any]:
        """Poll until the job ends or the deadline passes; return its last description."""
        job: dict[str, Any] = {"status": "unknown"}
        while time.monotonic() < deadline:
            response = self._send_once(
                lambda port: self._caller.call(port, "GET", f"/v1/batches/{job_id}")
            )
            if response.status == 200:
                job = json.loads(response.text)
            if job["status"] in END_STATUSES:
                return job
            gevent.sleep(POLL_S)
        self._tally.record_violation(
            "unfinished", f"job {job_id} has not ended: {job.get('request_counts')}"
        )
        return job

    def check(self, key: str, job_id: str, items: int, deadline: float) -> None:
        """Record missing, duplicate, failed and wrong results of a job as violations."""
        rows = self.read_results(job_id, deadline)
        counts = Counter(row["custom_id"] for row in rows)
        for number in range(items):
            name = f"{key}-{number}"
            if counts[name] == 0:
                self._tally.record_violation("lost", f"{name} has no result")
            elif counts[name] > 1:
                self._tally.record_violation("doubled", f"{name} has {counts[name]} results")
        for row in rows:
            self._check_row(row)

    def read_results(self, job_id: str, deadline: float) -> list[dict[str, Any]]:
        """Return the job's results so far; raise JobCallFailedError after the deadline."""
        path = f"/v1/files/output-{job_id}/content"
        response = self._call_until_success("GET", path, b"", deadline)
        return [json.loads(line) for line in response.text.splitlines()]

    def _check_row(self, row: dict[str, Any]) -> None:
        response = row.get("response") or {}
        if row.get("error") or response.get("status_code") != 200:
            self._tally.record_violation("item_failed", f"{row['custom_id']}: {row.get('error')}")
            return
        text = response["body"]["choices"][0]["text"]
        prompt = f"item {row['custom_id']}"
        if text != "".join(make_token(prompt, index) for index in range(ITEM_TOKENS)):
            self._tally.record_violation("cut", f"{row['custom_id']} has a wrong result")
        self._tally.seen["items_right"] += 1

    def _make_content(self, key: str, items: int) -> str:
        return "".join(json.dumps(self._make_item(key, n)) + "\n" for n in range(items))

    def _make_item(self, key: str, number: int) -> dict[str, Any]:
        name = f"{key}-{number}"
        body = {
            "model": self._application,
            "prompt": f"item {name}",
            "max_tokens": ITEM_TOKENS,
        }
        return {"custom_id": name, "method": "POST", "url": "/v1/completions", "body": body}

    def _submit_once(self, key: str, content: str, deadline: float) -> str:
        uploaded = self._send_until_success(
            lambda port: upload_file(self._caller, port, f"{key}.jsonl", content), deadline
        )
        file_id = json.loads(uploaded.text)["id"]
        response = self._send_until_success(
            lambda port: create_job(self._caller, port, key, file_id), deadline
        )
        return str(json.loads(response.text)["id"])

    def _call_until_success(self, method: str, path: str, body: bytes, deadline: float) -> Response:
        return self._send_until_success(
            lambda port: self._caller.call(port, method, path, body), deadline
        )

    def _send_until_success(self, send: Callable[[int], Response], deadline: float) -> Response:
        """Send to different entries until one succeeds.

        Raise JobCallFailedError if none did before the deadline.
        """
        while True:
            response = self._send_once(send)
            if response.status == 200 and response.whole:
                return response
            if time.monotonic() > deadline:
                raise JobCallFailedError(
                    f"no success before the deadline: {response.status} {response.code}"
                )
            gevent.sleep(POLL_S)

    def _send_once(self, send: Callable[[int], Response]) -> Response:
        """Send to one entry; count a failure and avoid that entry afterwards."""
        port = self._load.directory.pick()
        response = send(port)
        if response.status != 200:
            self._tally.seen[f"job_call_{response.code if response.outcome else 'broken'}"] += 1
            self._load.directory.avoid(port)
        return response


class JobCallFailedError(Exception):
    """A call for a job or the first file set did not succeed."""
