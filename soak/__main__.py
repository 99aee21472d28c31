"""Run the soak: one line a seed, exit 1 when a promise was broken."""

from __future__ import annotations

import socket
import sys
import tempfile
from pathlib import Path

import gevent
from docopt import docopt

from soak._callers import Callers
from soak._faults import Faults
from soak._fleet import Fleet

USAGE = """Soak the daemons under faults drawn by seeds.

Usage:
  soak [--seeds LIST] [--count N] [--first N] [--seconds S] [--rate R] [--fronts N] [--runners N]
       [--targets N] [--start S] [--net N] [--keep FOLDER]

Options:
  --seeds LIST     Seeds, separated by commas.
  --count N        How many seeds from the first [default: 1].
  --first N        First seed [default: 1].
  --seconds S      Seconds of traffic and faults a seed [default: 12].
  --rate R         Requests a second [default: 12].
  --fronts N       Entry instances [default: 3].
  --runners N      Instances that run jobs [default: 2].
  --targets N      Engines [default: 3].
  --start S        Seconds for all processes to start and find one another [default: 3].
  --net N          Second part of the loopback addresses; by default the first that no other soak
                   on this machine uses.
  --keep FOLDER    Keep logs of seeds that failed here.
"""
NETS = range(1, 250)
HOLDER_PORT = 7719  # below the ports of the instances
SETTLE_S = 30.0  # jobs that lost their runs begin again; an owner is replaced within five seconds


def play(seed: int, args: dict[str, str], folder: Path, net: int) -> list[str]:
    """Play one seed and return the broken promises."""
    fleet = Fleet(
        folder,
        seed,
        fronts=int(args["--fronts"]),
        runners=int(args["--runners"]),
        targets=int(args["--targets"]),
        net=net,
    )
    callers, faults = Callers(fleet, seed), Faults(fleet, seed)
    try:
        gevent.sleep(float(args["--start"]))
        until = fleet.now() + float(args["--seconds"])
        sender = gevent.spawn(callers.run, until, float(args["--rate"]))
        trouble = gevent.spawn(faults.run, until, 1.5)
        while fleet.now() < until:
            gevent.sleep(1.0)
            callers.read_jobs()
            for instance in fleet.instances:
                instance.is_running()
        gevent.joinall([sender, trouble])
        faults.lift()
        deadline = fleet.now() + SETTLE_S
        open_jobs = callers.read_jobs()
        while open_jobs and fleet.now() < deadline:
            gevent.sleep(0.5)
            open_jobs = callers.read_jobs()
        callers.broken += [f"{job}: items are not listed" for job in sorted(open_jobs)]
        callers.check_runs()
        for instance in fleet.instances:
            instance.is_running()
            callers.broken += [
                f"{instance.name}: ended by itself with {c}" for c in instance.unplanned_ends
            ]
    finally:
        fleet.stop()
    print(
        f"seed {seed}: {len(callers.jobs)} jobs, statuses {dict(sorted(callers.statuses.items()))}"
    )
    if callers.broken:
        print("\n".join(f"  {line}" for line in faults.log))
    return callers.broken


def reserve_net(wanted: str | None) -> socket.socket:
    """Return a listener that keeps the loopback addresses 127.N.x.y for this process."""
    for net in [int(wanted)] if wanted else NETS:
        holder = socket.socket()
        try:
            holder.bind((f"127.{net}.255.254", HOLDER_PORT))
            holder.listen()
            return holder
        except OSError:
            holder.close()
    raise SystemExit("all loopback addresses for a soak are in use")


def main() -> int:
    """Play all seeds."""
    args = docopt(USAGE)
    if args["--seeds"]:
        seeds = [int(seed) for seed in args["--seeds"].split(",")]
    else:
        first = int(args["--first"])
        seeds = list(range(first, first + int(args["--count"])))
    reserved = reserve_net(args["--net"])
    net = int(reserved.getsockname()[0].split(".")[1])
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            broken = play(seed, args, Path(folder), net)
            for line in broken:
                print(f"  BROKEN {line}")
            if broken and args["--keep"]:
                kept = Path(args["--keep"]) / f"seed-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())
            failed += bool(broken)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
