"""Commands for instances: show, state, drain and where."""

from __future__ import annotations

import time
from typing import Any, Final

import gevent

from clementinepin._cli.client import Entry, EntryClient
from clementinepin._cli.exceptions import EntryUnreachableError, UsageError
from clementinepin._cli.output import Printer
from clementinepin.exceptions import ClementinepinError, OutcomeUnknownError

DRAIN_WAIT_S: Final = 120.0
POLL_S: Final = 0.25
OWN_SERVICE: Final = "clementinepin"


def read_rows(value: Any) -> list[dict[str, Any]]:
    """Return the rows of a response body: the body itself, or the first list among its values."""
    if isinstance(value, list):
        return value
    lists = [rows for rows in value.values() if isinstance(rows, list)]
    return lists[0] if lists else []


def show_rows(path: str, client: EntryClient, printer: Printer) -> None:
    """Print the rows of a resource of the operators' API."""
    printer.print_value(read_rows(client.fetch(path)))


def find_instance(client: EntryClient, name: str) -> Entry:
    """Return the address of an instance; raise UsageError if none has this name."""
    for row in read_rows(client.fetch("/ops/instances")):
        if row["name"] == name and row.get("service", OWN_SERVICE) == OWN_SERVICE:
            return Entry(row["address"], int(row["port"]), tls=client.uses_tls)
    raise UsageError(f"no instance is named {name}", param="INSTANCE")


def show_state(name: str, client: EntryClient, printer: Printer) -> None:
    """Print the state dump of an instance."""
    printer.print_value(client.restrict_to(find_instance(client, name)).fetch("/ops/state"))


def drain(name: str, wait: bool, client: EntryClient, printer: Printer) -> None:
    """Ask an instance to drain; with ``wait``, return only when it has stopped.

    Raise OutcomeUnknownError if it has not stopped after ``DRAIN_WAIT_S``.
    """
    instance_client = client.restrict_to(find_instance(client, name))
    result = instance_client.post("/ops/drain", {}, repeatable=True)
    if wait:
        _wait_until_stopped(instance_client, name, printer)
        result = {**result, "stopped": True}
    printer.print_value({"instance": name, **result})


def show_entries(client: EntryClient, printer: Printer) -> None:
    """Print the entries that callers should use, and until when that advice is valid."""
    printer.print_value(client.fetch("/v1/entries"))


def _wait_until_stopped(instance_client: EntryClient, name: str, printer: Printer) -> None:
    deadline = time.monotonic() + DRAIN_WAIT_S
    while time.monotonic() < deadline:
        printer.show_progress(f"{name} is finishing its requests in flight")
        try:
            instance_client.fetch("/healthz")
        except EntryUnreachableError:
            return
        except ClementinepinError as err:
            printer.show_progress(f"{name}: {err}")
        gevent.sleep(POLL_S)
    raise OutcomeUnknownError(f"{name} has not stopped yet")
