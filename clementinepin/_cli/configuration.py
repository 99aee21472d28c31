"""Commands on file sets: check, apply and show."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, Final

import gevent

from clementinepin._cli.client import EntryClient
from clementinepin._cli.exceptions import RemoteError, ReplyMissingError, UsageError
from clementinepin._cli.output import Printer
from clementinepin.config import Configuration, load_files
from clementinepin.exceptions import OutcomeUnknownError

FILE_PATTERN: Final = "*.toml"
IN_FORCE_WAIT_S: Final = 30.0
POLL_S: Final = 0.25


def read_files(folder: str) -> dict[str, bytes]:
    """Return the files of a set by name."""
    path = Path(folder)
    if not path.is_dir():
        raise UsageError(f"{folder} is not a folder", param="DIR")
    return {file.name: file.read_bytes() for file in sorted(path.glob(FILE_PATTERN))}


def check(folder: str, printer: Printer) -> Configuration:
    """Check a file set whole without sending it."""
    configuration = load_files(read_files(folder))
    printer.print_value(
        {
            "digest": configuration.digest,
            "models": len(configuration.models),
            "adapters": len(configuration.adapters),
            "applications": len(configuration.applications),
            "services": len(configuration.services),
            "accounts": len(configuration.accounts),
        }
    )
    return configuration


def apply(
    folder: str, base: int | None, wait: bool, client: EntryClient, printer: Printer
) -> dict[str, Any]:
    """Check a file set, then have it accepted whole; a lost reply is settled by reading."""
    files = read_files(folder)
    digest = load_files(files).digest
    message = {"base": base, "files": {name: raw.decode() for name, raw in files.items()}}
    try:
        result = client.post("/ops/config", message)
    except (ReplyMissingError, OutcomeUnknownError, RemoteError) as err:
        result = _settle(client, digest, base, err)
    if wait:
        wait_in_force(client, int(result["revision"]), printer)
    printer.print_value(result)
    return dict(result)


def wait_in_force(client: EntryClient, revision: int, printer: Printer) -> float:
    """Wait until every instance reports the revision; return the seconds it took."""
    started = time.monotonic()
    while time.monotonic() - started < IN_FORCE_WAIT_S:
        in_force = client.fetch("/ops/config")["in_force"]
        done = sum(1 for number in in_force.values() if number >= revision)
        printer.show_progress(f"revision {revision} in force on {done} of {len(in_force)}")
        if in_force and done == len(in_force):
            return time.monotonic() - started
        gevent.sleep(POLL_S)
    raise OutcomeUnknownError(f"revision {revision} is accepted but not yet in force everywhere")


def _settle(
    client: EntryClient, digest: str, base: int | None, failure: Exception
) -> dict[str, Any]:
    """Read the accepted revision back when it is unknown whether the own one was."""
    if isinstance(failure, RemoteError) and failure.remote_outcome != "outcome_unknown":
        raise failure
    current: dict[str, Any] = client.fetch("/ops/config")
    newer = base is None or int(current["revision"]) > base
    if newer and current["digest"] == digest:
        return {"revision": current["revision"], "digest": digest}
    raise failure
