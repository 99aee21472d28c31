"""Complete JSON responses, built from the stream of an engine."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import msgspec

from clementinepin.entry._calls import OnlineCall
from clementinepin.entry.exceptions import AnswerUnknownError
from clementinepin.targets import StreamChunk

RESPONSE_MAX_CHARS: Final = 8_000_000


def collect_response(
    chunks: Iterator[StreamChunk], call: OnlineCall, model: str, wall_now: float
) -> bytes:
    """Return the JSON body of a complete response.

    Raise AnswerUnknownError if the stream lacks its end marker or is too long, and the errors of
    ``chunks``. ``wall_now`` is in wall-clock seconds.
    """
    texts: list[str] = []
    size = tokens = 0
    finish_reason: str | None = None
    usage = b""
    done = False
    for chunk in chunks:
        if call.whole:
            done, response = True, chunk.data
            continue
        texts.append(chunk.text)
        size += len(chunk.text)
        if size > RESPONSE_MAX_CHARS:
            raise AnswerUnknownError(f"the response is longer than {RESPONSE_MAX_CHARS} characters")
        tokens += chunk.tokens
        finish_reason = chunk.finish_reason or finish_reason
        usage = chunk.usage or usage
        done = done or chunk.done
    if not done:
        raise AnswerUnknownError("the response ended before its end marker")
    if call.whole:
        return response
    text = call.resume.text + "".join(texts)
    tokens += call.resume.tokens
    return _format_response(call, model, text, finish_reason, _make_usage(usage, tokens), wall_now)


def _format_response(
    call: OnlineCall,
    model: str,
    text: str,
    finish_reason: str | None,
    usage: object,
    wall_now: float,
) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    chat = "messages" in call.body
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": f"{'chatcmpl' if chat else 'cmpl'}-{call.info.request_id}",
            "object": "chat.completion" if chat else "text_completion",
            "created": int(wall_now),
            "model": model,
            "choices": [choice],
            "usage": usage,
        }
    )


def _make_usage(usage: bytes, tokens: int) -> object:
    """Return the engine's usage, or our count of the generated tokens if it has none."""
    if usage:
        return msgspec.Raw(usage)
    return {"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens}
