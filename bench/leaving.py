"""Measure what targets that say that they leave cost, and what callers notice of them.

Usage: python -m bench.leaving [--short] [--build FOLDER]

The last line is one JSON object: the time to read the header of a response, and, with real daemons
over stand-ins, how many runs a third of the targets gets once it says that it leaves and how many
callers are not served, second by second. ``--build`` measures the daemons of another checkout.
"""

from __future__ import annotations

import random
import sys
import tempfile
import timeit
from pathlib import Path
from typing import Any, Final

import gevent
import msgspec

from clementinepin.platform import create_wire
from soak.__main__ import reserve_net
from soak._callers import Callers
from soak._fleet import ROOT, Fleet

READS: Final = 100_000
FRONTS: Final = 4
TARGETS: Final = 8
LEAVING: Final = 3
RATE_PER_S: Final = 40.0
START_S: Final = 3.0
BEFORE_S: Final = 4.0
AFTER_S: Final = 10.0
SHORT_AFTER_S: Final = 3.0
DRAIN_TIMEOUT_S: Final = 2.0
HEADERS: Final = {
    "content-type": "text/event-stream",
    "transfer-encoding": "chunked",
    "clementinepin-request-id": "552d0d585490110d",
    "clementinepin-server-signature": "3e1b.07.5a2.600.0.c9f2a4d1",
    "clementinepin-server-load": "3,0,8",
    "keep-alive": "timeout=10",
}


def measure_reading(count: int) -> dict[str, float]:
    """Return the microseconds that the header of one response takes, without and with it."""
    wire = create_wire()
    leaving = {**HEADERS, "server-leaving": "1"}
    return {
        name: round(
            timeit.timeit(lambda h=h: wire.says_leaving(200, h), number=count) / count * 1e6, 3
        )
        for name, h in (("us_without", HEADERS), ("us_with", leaving))
    }


def measure_fleet(build: Path, after_s: float) -> dict[str, Any]:
    """Return the runs of leaving targets and the callers not served, by second from then on."""
    reservation = reserve_net(None)
    net = int(reservation.getsockname()[0].split(".")[1])
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(
            Path(folder), 1, fronts=FRONTS, runners=2, targets=TARGETS, net=net, builds=(build,)
        )
        fleet.random = random.Random(1)
        callers = Callers(fleet, 1)
        try:
            gevent.sleep(START_S)
            callers.run(fleet.now() + BEFORE_S, RATE_PER_S)
            leaving = [fleet.targets[f"w{n}"] for n in range(LEAVING)]
            for target in leaving:
                target.says_leaving = True
            said_at = fleet.now()
            callers.run(said_at + after_s, RATE_PER_S)
        finally:
            fleet.stop()
    names = {target.name for target in leaving}
    runs = [run.started_at - said_at for run in fleet.run_log.runs if run.target in names]
    seconds = range(int(after_s))
    tries = [(t.sent_at - said_at, t.is_served) for t in callers.tries]
    return {
        "runs_by_second": [sum(s <= at < s + 1 for at in runs) for s in seconds],
        "runs_later_than_allowed": sum(at > DRAIN_TIMEOUT_S for at in runs),
        "tries_by_second": [sum(s <= at < s + 1 for at, _ in tries) for s in seconds],
        "not_served_by_second": [
            sum(s <= at < s + 1 and not ok for at, ok in tries) for s in seconds
        ],
        "not_served_before": sum(at < 0 and not ok for at, ok in tries),
    }


def main() -> int:
    """Print the figures as one JSON object."""
    is_short = "--short" in sys.argv
    build = ROOT
    if "--build" in sys.argv:
        build = Path(sys.argv[sys.argv.index("--build") + 1]).resolve()
    figures = {
        "reading": measure_reading(READS // 10 if is_short else READS),
        "fleet": measure_fleet(build, SHORT_AFTER_S if is_short else AFTER_S),
    }
    print(msgspec.json.encode(figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
