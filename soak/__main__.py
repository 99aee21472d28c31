"""Run the soak: print a summary of each seed; exit with 1 if a guarantee was violated."""

from __future__ import annotations

import socket
import sys
import tempfile
from pathlib import Path

import gevent
from docopt import docopt

from soak._callers import Callers
from soak._calm import (
    check_crashing_part,
    check_cut_links,
    check_leaving,
    check_limits,
    check_odd_entries,
    check_outage,
    check_planned_stop,
)
from soak._faults import Faults
from soak._fleet import ROOT, Fleet
from soak._releases import NAME as RELEASE_NAME
from soak._releases import Releases

USAGE = """Soak the daemons under faults drawn by seeds.

Usage:
  soak [--seeds LIST] [--count N] [--first N] [--seconds S] [--rate R] [--fronts N] [--runners N]
       [--targets N] [--start S] [--net N] [--keep FOLDER] [--beside FOLDER] [--build FOLDER]
       [--kinds WORDS]

Options:
  --seeds LIST     Seeds, separated by commas.
  --count N        Number of seeds, from the first on [default: 1].
  --first N        First seed [default: 1].
  --seconds S      Seconds of traffic and faults per seed [default: 12].
  --rate R         Requests per second [default: 12].
  --fronts N       Entry instances [default: 3].
  --runners N      Instances that run jobs [default: 2].
  --targets N      Engines [default: 3].
  --start S        Seconds for all processes to start and find each other [default: 3].
  --net N          Second part of the loopback addresses; by default the first one that no other
                   soak on this machine uses.
  --beside FOLDER  Checkout of another build, whose daemons run beside those of this one on the same
                   store; each restart of an instance changes its build.
  --build FOLDER   Checkout of another build, whose daemons run in place of those of this one.
  --kinds WORDS    Words, separated by commas: only faults whose name has one of them are injected,
                   and the checks that follow the faults are left out.
  --keep FOLDER    Folder that keeps the logs of failed seeds.
"""
NETS = range(1, 250)
RESERVATION_PORT = 7719  # below the internal ports of the instances, 7720 to 7735
CONTAINED = b'"event":"unexpected_failure"'
SETTLE_S = 30.0  # lost runs of jobs start again; a lost owner is replaced within 5 s


def run_seed(seed: int, args: dict[str, str], folder: Path, net: int) -> list[str]:
    """Run traffic and faults of one seed, end the faults, and return the violated guarantees.

    Jobs have ``SETTLE_S`` seconds after the last fault to list all their items.
    """
    fleet = Fleet(
        folder,
        seed,
        fronts=int(args["--fronts"]),
        runners=int(args["--runners"]),
        targets=int(args["--targets"]),
        net=net,
        builds=choose_builds(args),
    )
    kinds = args["--kinds"].split(",") if args["--kinds"] else []
    callers = Callers(fleet, seed)
    releases = Releases(fleet, callers, seed)
    faults = Faults(fleet, releases, seed, kinds)
    try:
        gevent.sleep(float(args["--start"]))
        until = fleet.now() + float(args["--seconds"])
        sender = gevent.spawn(callers.run, until, float(args["--rate"]))
        injector = gevent.spawn(faults.run, until, 1.5)
        while fleet.now() < until:
            gevent.sleep(1.0)
            callers.read_jobs()
            for instance in fleet.instances:
                instance.is_running()
        gevent.joinall([sender, injector])
        faults.end_all()
        await_jobs(fleet, callers)
        check_guarantees(fleet, callers, releases, kinds, float(args["--rate"]))
        callers.broken += list_contained(folder)
    finally:
        fleet.stop()
    print(
        f"seed {seed}: {len(callers.jobs)} jobs, statuses {dict(sorted(callers.statuses.items()))}"
        f", of resumptions {dict(sorted(callers.resumed.items()))}"
    )
    print("".join(f"  {line}\n" for line in releases.describe_outcomes()), end="")
    if callers.broken:
        print("\n".join(f"  {line}" for line in faults.log))
    return callers.broken


def choose_builds(args: dict[str, str]) -> tuple[Path, ...]:
    """Return the checkouts whose daemons run beside each other."""
    build = Path(args["--build"]).resolve() if args["--build"] else ROOT
    return (build, Path(args["--beside"]).resolve()) if args["--beside"] else (build,)


def check_guarantees(
    fleet: Fleet, callers: Callers, releases: Releases, kinds: list[str], rate: float
) -> None:
    """Check the guarantees behind the last fault; record those that are violated."""
    if not (fleet.has_two_builds or kinds):
        check_calm(fleet, callers, rate)
    is_release_drawn = not kinds or any(word in RELEASE_NAME for word in kinds)
    if is_release_drawn and not fleet.has_two_builds:
        releases.check_calm_streams()
    callers.check_runs()
    if not callers.statuses.get(200) or not callers.plain_count:
        callers.broken.append("no caller of a stream, or none of a plain response, was served")
    callers.broken += list_unexpected_ends(fleet)


def check_calm(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Check the guarantees that need a fleet without other faults."""
    check_odd_entries(fleet, callers, rate)
    check_crashing_part(fleet, callers, rate)
    check_outage(fleet, callers, rate)
    check_limits(fleet, callers, rate)
    check_cut_links(fleet, callers, rate)
    check_leaving(fleet, callers, rate)
    check_planned_stop(fleet, callers)


def list_unexpected_ends(fleet: Fleet) -> list[str]:
    """Return a line for each daemon that ended by itself."""
    for instance in fleet.instances:
        instance.is_running()
    return [
        f"{instance.name}: ended unexpectedly with exit code {code}"
        for instance in fleet.instances
        for code in instance.unexpected_exit_codes
    ]


def list_contained(folder: Path) -> list[str]:
    """Return a line for each error that a daemon contained: it went on, but that is a fault too."""
    return [
        f"{log.stem}: {line.decode(errors='replace').strip()}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_bytes().splitlines()
        if CONTAINED in line
    ]


def await_jobs(fleet: Fleet, callers: Callers) -> None:
    """Wait up to ``SETTLE_S`` until all jobs list all their items; record those that don't."""
    deadline = fleet.now() + SETTLE_S
    unfinished_jobs = callers.read_jobs()
    while unfinished_jobs and fleet.now() < deadline:
        gevent.sleep(0.5)
        unfinished_jobs = callers.read_jobs()
    callers.broken += [f"{job}: some items are not listed" for job in sorted(unfinished_jobs)]


def reserve_net(requested_net: str | None) -> socket.socket:
    """Return a listener that reserves the loopback addresses 127.N.x.y for this process.

    N is ``requested_net``, or the first one that no other soak on this machine has reserved. Raise
    SystemExit if there is none.
    """
    for net in [int(requested_net)] if requested_net else NETS:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{net}.255.254", RESERVATION_PORT))
            reservation.listen()
            return reservation
        except OSError:
            reservation.close()
    raise SystemExit("all loopback addresses for a soak are in use")


def main() -> int:
    """Run the soak of each seed; return the exit code."""
    args = docopt(USAGE)
    if args["--seeds"]:
        seeds = [int(seed) for seed in args["--seeds"].split(",")]
    else:
        first = int(args["--first"])
        seeds = list(range(first, first + int(args["--count"])))
    reservation = reserve_net(args["--net"])
    net = int(reservation.getsockname()[0].split(".")[1])
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            violations = run_seed(seed, args, Path(folder), net)
            for line in violations:
                print(f"  BROKEN {line}")
            if violations and args["--keep"]:
                log_folder = Path(args["--keep"]) / f"seed-{seed}"
                log_folder.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    (log_folder / log.name).write_bytes(log.read_bytes())
            failed += bool(violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
