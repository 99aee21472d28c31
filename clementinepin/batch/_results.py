"""Builds result lines in the batch output format of callers and reads them from segments."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from clementinepin.batch._codec import ResultLine
from clementinepin.batch._lines import ENDPOINTS
from clementinepin.batch._shards import ShardStore
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.storage import SegmentStore
from clementinepin.storage.exceptions import SegmentLostError
from clementinepin.tables import ShardRow

STATUS_OK = 200
LINES_PER_CHUNK = 64


_decode_results: Callable[[bytes], list[ResultLine]] = make_msgpack_decoder(list[ResultLine])


def build_response(
    request_id: str,
    endpoint: str,
    model: str,
    text: str,
    usage: bytes,
    tokens: int,
    finish_reason: str | None,
) -> dict[str, Any]:
    """Return the body of a complete response, as the endpoint returns it without streaming.

    ``usage`` is the engine's token count as JSON. If it is empty, ``tokens`` is used, the number
    of generated tokens that this instance counted.
    """
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    is_chat = endpoint == ENDPOINTS[1]
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    counted = {"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens}
    return {
        "id": f"{'chatcmpl' if is_chat else 'cmpl'}-{request_id}",
        "object": "chat.completion" if is_chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": msgspec.Raw(usage) if usage else counted,
    }


def build_result(request_id: str, custom_id: str, status: int, body: Any) -> bytes:
    """Return the result line of an item that got a response from a target."""
    response = {"status_code": status, "request_id": request_id, "body": body}
    return _encode(request_id, custom_id, response, None)


def build_error(request_id: str, custom_id: str, code: str, message: str) -> bytes:
    """Return the result line of an item that failed without a response from a target."""
    return _encode(request_id, custom_id, None, {"code": code, "message": message})


def encode_results(results: Iterable[ResultLine]) -> bytes:
    """Return the content of a segment of results."""
    return msgspec.msgpack.encode(sorted(results))


def decode_results(data: bytes) -> list[ResultLine]:
    """Return the results in a segment. Raise msgspec.DecodeError if it has none."""
    return _decode_results(data)


def stream_results(job_id: str, shards: ShardStore, segments: SegmentStore) -> Iterator[bytes]:
    """Yield committed results in item order; at most one shard's results are in memory."""
    for page in shards.list_pages(job_id):
        for shard in sorted(page):
            lines = read_shard_results(page[shard].row, segments)
            for first in range(0, len(lines), LINES_PER_CHUNK):
                part = lines[first : first + LINES_PER_CHUNK]
                yield b"".join(result.line + b"\n" for result in part)


def read_shard_results(row: ShardRow, segments: SegmentStore) -> list[ResultLine]:
    """Return a shard's committed results in item order."""
    results: list[ResultLine] = []
    for commit in row.commits:
        try:
            results.extend(decode_results(segments.read(commit.segment)))
        except msgspec.DecodeError as err:
            raise SegmentLostError(f"{commit.segment}: {err}") from err
    return sorted(results)


def _encode(request_id: str, custom_id: str, response: Any, error: Any) -> bytes:
    line = {
        "id": f"batch_req_{request_id}",
        "custom_id": custom_id,
        "response": response,
        "error": error,
    }
    # What a target sent as JSON is passed on as it is: it may have line breaks between its tokens,
    # and bytes that are no UTF-8.
    encoded = msgspec.json.encode(line).replace(b"\n", b" ").replace(b"\r", b" ")
    return encoded.decode("utf-8", "replace").encode()
