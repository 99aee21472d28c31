from __future__ import annotations

import contextlib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin._cli.client import Entry, EntryResponse, parse_entry
from clementinepin._cli.exceptions import ExitCode, ResponseUnreadableError, UsageError
from clementinepin._cli.output import format_time
from clementinepin.cli import run
from standins.web import Response
from tests.cli.test_cli import FakeEntry, entry, keys  # noqa: F401

DEEP = b"[" * 100_000


@pytest.mark.parametrize(
    "text", ["http://[::1", "[", "//", "a:70000", "a:²", "a:" + "9" * 5000, "http://a:b", "a\0:80"]
)
def test_odd_entry_address_is_a_usage_error(text):
    assert run(["show", "config", "--entry", text]) == ExitCode.USAGE


@pytest.mark.parametrize("base", ["9" * 5000, "²", "-1", "x"])
def test_odd_base_is_a_usage_error(base):
    arguments = ["apply", ".", f"--base={base}", "--entry", "127.0.0.1:1"]
    assert run(arguments) == ExitCode.USAGE


def test_key_file_that_is_no_text_is_a_usage_error(tmp_path: Path):
    file = tmp_path / "key"
    file.write_bytes(b"\xff\xfe")
    arguments = ["show", "config", "--operator-key-file", str(file), "--entry", "127.0.0.1:1"]
    assert run(arguments) == ExitCode.USAGE


# A response that no entry sends may come from another server, after the request has run.
@pytest.mark.parametrize("body", [DEEP, b"{", b"\xff", b"9" * 5000])
def test_odd_response_is_of_unknown_outcome(entry: FakeEntry, body: bytes):  # noqa: F811
    for status in (200, 500):
        entry.answers[("GET", "/ops/config")] = lambda _, s=status: Response(s, body)
        code = run(["show", "config", "--entry", entry.address])
        assert code == ExitCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize("value", [1e300, -1e300, float("nan"), float("inf"), 10**400, "x", None])
def test_any_time_is_shown(value):
    assert isinstance(format_time(value), str)


@settings(derandomize=True, max_examples=300)
@given(text=st.text(max_size=20) | st.text("[]:/@.0129a%\0", max_size=20))
def test_any_entry_address_is_parsed_or_a_usage_error(text):
    with contextlib.suppress(UsageError):
        assert isinstance(parse_entry(text), Entry)


@settings(derandomize=True, max_examples=200)
@given(body=st.binary(max_size=40))
def test_any_body_is_decoded_or_unreadable(body):
    with contextlib.suppress(ResponseUnreadableError):
        EntryResponse(200, {}, body).json()
