"""Command-line tool for operators and for owners of batch jobs.

Usage:
  clementinepin check DIR [options]
  clementinepin apply DIR [--base REVISION] [--wait] [options]
  clementinepin show (config | instances | targets | jobs) [options]
  clementinepin job submit FILE [--endpoint PATH] [--window TIME] [--job-key KEY] [--wait] [options]
  clementinepin job list [options]
  clementinepin job show JOB [options]
  clementinepin job results JOB [--output FILE] [options]
  clementinepin job cancel JOB [--wait] [options]
  clementinepin state INSTANCE [options]
  clementinepin drain INSTANCE [--wait] [options]
  clementinepin where [options]
  clementinepin (-h | --help | --version)

Options:
  --entry ADDRESS          Address of an entry instance, IP:PORT or URL; separate several with
                           commas, they are tried in order [env: CLEMENTINEPIN_ENTRY].
  --operator-key-file FILE File with the operator key
                           [env: CLEMENTINEPIN_OPERATOR_KEY holds the key itself].
  --key-file FILE          File with the account key
                           [env: CLEMENTINEPIN_KEY holds the key itself].
  --ca FILE                Certificate authority that signed the certificates of the entries.
  --base REVISION          Revision that the file set is based on; the command fails with a
                           conflict if another revision is current.
  --endpoint PATH          API path that the items of the job call [default: /v1/completions].
  --window TIME            Time within which the job is due [default: 24h].
  --job-key KEY            Idempotency key of the job; a repeated submit with the same key returns
                           the same job.
  --output FILE            Write the results to this file instead of standard output.
  --wait                   Wait until the operation has ended; show progress on a terminal.
  --json                   Print JSON.

Exit codes: 0 done, 1 internal error, 2 usage, 3 invalid input, 4 conflict, 5 not run,
6 outcome unknown, 7 failed, 8 unauthorised, 130 interrupted.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from docopt import DocoptExit, docopt

from clementinepin import __version__
from clementinepin._cli import configuration, instances, jobs
from clementinepin._cli.client import EntryClient, parse_entry
from clementinepin._cli.exceptions import (
    ExitCode,
    RemoteError,
    UsageError,
    choose_exit_code,
)
from clementinepin._cli.output import Printer
from clementinepin.exceptions import ClementinepinError

REVISION_DIGITS_MAX: Final = 19
ENV_ENTRY: Final = "CLEMENTINEPIN_ENTRY"
ENV_OPERATOR_KEY: Final = "CLEMENTINEPIN_OPERATOR_KEY"
ENV_KEY: Final = "CLEMENTINEPIN_KEY"
COMMAND_NAMES: Final = ("check", "apply", "show", "job", "state", "drain", "where")

Arguments = dict[str, Any]


def main(argv: list[str] | None = None) -> None:
    """Run the tool and exit with its code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run one command and return its exit code; print errors to standard error."""
    try:
        arguments = docopt(__doc__ or "", argv, version=__version__)
    except DocoptExit as err:
        sys.stderr.write(f"{err}\n")
        return ExitCode.USAGE
    printer = Printer(as_json=arguments["--json"])
    try:
        _dispatch(arguments, printer)
    except ClementinepinError as err:
        code = err.remote_code if isinstance(err, RemoteError) else err.code
        printer.print_error(code, err.message, err.retry_at)
        return choose_exit_code(err)
    except KeyboardInterrupt:
        printer.end_progress()
        return ExitCode.INTERRUPTED
    return ExitCode.OK


def _dispatch(arguments: Arguments, printer: Printer) -> None:
    commands: dict[str, Callable[[Arguments, Printer], None]] = {
        "check": _check,
        "apply": _apply,
        "show": _show,
        "job": _job,
        "state": _state,
        "drain": _drain,
        "where": _where,
    }
    command = next(name for name in COMMAND_NAMES if arguments[name])
    commands[command](arguments, printer)


def _check(arguments: Arguments, printer: Printer) -> None:
    configuration.check(arguments["DIR"], printer)


def _apply(arguments: Arguments, printer: Printer) -> None:
    base = arguments["--base"]
    if base is not None and not (base.isdecimal() and len(base) <= REVISION_DIGITS_MAX):
        raise UsageError(f"--base {base} is not a revision number", param="--base")
    configuration.apply(
        arguments["DIR"],
        None if base is None else int(base),
        arguments["--wait"],
        _create_operator_client(arguments),
        printer,
    )


def _show(arguments: Arguments, printer: Printer) -> None:
    client = _create_operator_client(arguments)
    if arguments["config"]:
        printer.print_value(client.fetch("/ops/config"))
        return
    name = next(n for n in ("instances", "targets", "jobs") if arguments[n])
    instances.show_rows(f"/ops/{name}", client, printer)


def _job(arguments: Arguments, printer: Printer) -> None:
    client = _create_account_client(arguments)
    if arguments["submit"]:
        _submit(arguments, client, printer)
    elif arguments["list"]:
        rows = client.fetch("/v1/batches")["data"]
        printer.print_value([jobs.summarize_job(row) for row in rows])
    elif arguments["results"]:
        _write_results(arguments, client)
    else:
        _show_job(arguments, client, printer)


def _submit(arguments: Arguments, client: EntryClient, printer: Printer) -> None:
    job = jobs.submit(
        arguments["FILE"],
        arguments["--endpoint"],
        arguments["--window"],
        arguments["--job-key"],
        client,
    )
    if not arguments["--wait"]:
        printer.print_value(jobs.summarize_job(job))
        return
    job = jobs.wait_for_end(job["id"], client, printer)
    printer.print_value(jobs.summarize_job(job))
    jobs.check_end(job)


def _show_job(arguments: Arguments, client: EntryClient, printer: Printer) -> None:
    path = f"/v1/batches/{arguments['JOB']}"
    if not arguments["cancel"]:
        printer.print_value(client.fetch(path))
        return
    job = client.post(f"{path}/cancel", {}, repeatable=True)
    if arguments["--wait"]:
        job = jobs.wait_for_end(job["id"], client, printer)
    printer.print_value(jobs.summarize_job(job))


def _write_results(arguments: Arguments, client: EntryClient) -> None:
    if arguments["--output"]:
        try:
            with Path(arguments["--output"]).open("wb") as file:
                jobs.write_results(arguments["JOB"], file, client)
        except OSError as err:
            text = f"cannot write to {arguments['--output']}: {err.strerror}"
            raise UsageError(text, param="--output") from err
        return
    jobs.write_results(arguments["JOB"], sys.stdout.buffer, client)
    sys.stdout.buffer.flush()


def _state(arguments: Arguments, printer: Printer) -> None:
    instances.show_state(arguments["INSTANCE"], _create_operator_client(arguments), printer)


def _drain(arguments: Arguments, printer: Printer) -> None:
    client = _create_operator_client(arguments)
    instances.drain(arguments["INSTANCE"], arguments["--wait"], client, printer)


def _where(arguments: Arguments, printer: Printer) -> None:
    instances.show_entries(_create_account_client(arguments), printer)


def _create_operator_client(arguments: Arguments) -> EntryClient:
    return _create_client(arguments, "--operator-key-file", ENV_OPERATOR_KEY)


def _create_account_client(arguments: Arguments) -> EntryClient:
    return _create_client(arguments, "--key-file", ENV_KEY)


def _create_client(arguments: Arguments, option: str, variable: str) -> EntryClient:
    addresses = arguments["--entry"] or os.environ.get(ENV_ENTRY, "")
    if not addresses:
        raise UsageError(f"no entry address: set --entry or {ENV_ENTRY}", param="--entry")
    entries = [parse_entry(address.strip()) for address in addresses.split(",")]
    return EntryClient(entries, _read_key(arguments[option], option, variable), arguments["--ca"])


def _read_key(file: str | None, option: str, variable: str) -> str:
    if file is None:
        key = os.environ.get(variable, "")
    else:
        try:
            key = Path(file).read_text().strip()
        except OSError as err:
            raise UsageError(f"cannot read {file}: {err.strerror}", param=option) from err
        except UnicodeDecodeError as err:
            raise UsageError(f"{file} is no text: {err.reason}", param=option) from err
    if not key:
        raise UsageError(f"no key: set {option} or {variable}", param=option)
    return key


if __name__ == "__main__":
    main()
