"""Answers of the store with an odd status, with odd fields, or broken off."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import Change
from clementinepin.infrastructure.exceptions import ReplyLostError
from clementinepin.platform import create_store
from clementinepin.platform._store import _Store
from tests.serving.broken_answers import (
    INTERIM_LINES,
    ODD_FIELDS,
    ODD_LINES,
    frame,
    send_answers,
)
from tests.serving.scripted import ScriptedTarget

OK_LINE = b"HTTP/1.1 200 OK\r\n"
# One body for all calls, each of which reads its own fields.
BODY = b'{"key":"a","value":"eA==","rev":3,"items":[],"events":[],"store_revision":3,"lease":1}'
GOOD = frame(OK_LINE, BODY, chunked=False)
ODD_ANSWERS = {
    **{
        line: frame(line.encode() + b"\r\n", BODY, chunked=False)
        for line in (*ODD_LINES, *INTERIM_LINES)
    },
    **{
        name: frame(OK_LINE + field + b"\r\n", BODY, chunked=False)
        for name, field in ODD_FIELDS.items()
    },
    "cut": GOOD[:-5],
    "unframed and cut": OK_LINE + b"\r\n" + BODY[:-5],
    "404 and cut": frame(b"HTTP/1.1 404 No\r\n", BODY, chunked=True)[:-5],
    "412 and cut": frame(b"HTTP/1.1 412 No\r\n", BODY, chunked=True)[:-5],
}
CALLS: dict[str, Callable[[_Store], object]] = {
    "get": lambda store: store.get("a"),
    "list": lambda store: store.list_range("a"),
    "watch": lambda store: store.watch("a", 0),
    "write": lambda store: store.write(Change({"a": 0}, {"a": b"x"})),
    "grant": lambda store: store.grant_lease(3.0),
    "keep": lambda store: store.keep_lease(1),
}


@pytest.fixture(params=ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def server(request: pytest.FixtureRequest) -> Iterator[ScriptedTarget]:
    server = ScriptedTarget(send_answers(request.param, GOOD))
    yield server
    server.stop()


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_an_odd_answer_of_the_store_proves_nothing(
    server: ScriptedTarget, call: Callable[[_Store], object]
) -> None:
    """Guards against a change, a value or a lease taken from an answer that is none (issue 50)."""
    store = create_store(("127.0.0.1", server.port), create_system_clock())
    with pytest.raises(ReplyLostError):
        call(store)
