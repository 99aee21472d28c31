"""Commands for file sets of the configuration: check and apply."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, Final

import gevent

from clementinepin._cli.client import EntryClient
from clementinepin._cli.exceptions import RemoteError, ResponseMissingError, UsageError
from clementinepin._cli.output import Printer
from clementinepin.config import Configuration, load_files
from clementinepin.exceptions import OutcomeUnknownError

FILE_PATTERN: Final = "*.toml"
IN_FORCE_WAIT_S: Final = 30.0
POLL_S: Final = 0.25


def read_files(folder: str) -> dict[str, bytes]:
    """Return the contents of the TOML files in a folder by file name.

    Raise UsageError if the folder does not exist.
    """
    path = Path(folder)
    if not path.is_dir():
        raise UsageError(f"{folder} is not a folder", param="DIR")
    return {file.name: file.read_bytes() for file in sorted(path.glob(FILE_PATTERN))}


def check(folder: str, printer: Printer) -> Configuration:
    """Validate a whole file set without sending it and print its digest and row counts."""
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
    """Validate a file set and submit it as a whole; return the accepted revision.

    ``base`` is the revision that the file set is based on, None for any. If the response is lost,
    the current revision is read to find out whether the file set was accepted.
    """
    files = read_files(folder)
    digest = load_files(files).digest
    message = {"base": base, "files": {name: raw.decode() for name, raw in files.items()}}
    try:
        result = client.post("/ops/config", message)
    except (ResponseMissingError, OutcomeUnknownError, RemoteError) as err:
        result = _resolve_outcome(client, digest, base, err)
    if wait:
        wait_in_force(client, int(result["revision"]), printer)
    printer.print_value(result)
    return dict(result)


def wait_in_force(client: EntryClient, revision: int, printer: Printer) -> float:
    """Wait until every instance has the revision in force; return the seconds it took.

    Raise OutcomeUnknownError after ``IN_FORCE_WAIT_S``.
    """
    started = time.monotonic()
    while time.monotonic() - started < IN_FORCE_WAIT_S:
        in_force = client.fetch("/ops/config")["in_force"]
        done = sum(1 for current in in_force.values() if current >= revision)
        printer.show_progress(f"revision {revision} in force on {done} of {len(in_force)}")
        if in_force and done == len(in_force):
            return time.monotonic() - started
        gevent.sleep(POLL_S)
    raise OutcomeUnknownError(
        f"revision {revision} is accepted but not yet in force on all instances"
    )


def _resolve_outcome(
    client: EntryClient, digest: str, base: int | None, failure: Exception
) -> dict[str, Any]:
    """Return the current revision if it is the submitted file set; otherwise raise ``failure``.

    An error whose outcome is known is raised at once. The current revision counts only if it is
    newer than ``base``, because an unchanged one does not show that the submit succeeded.
    """
    if isinstance(failure, RemoteError) and failure.remote_outcome != "outcome_unknown":
        raise failure
    current: dict[str, Any] = client.fetch("/ops/config")
    is_newer = base is None or int(current["revision"]) > base
    if is_newer and current["digest"] == digest:
        return {"revision": current["revision"], "digest": digest}
    raise failure
