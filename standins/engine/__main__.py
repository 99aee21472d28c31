"""Start one stand-in engine.

Usage:
  engine --port N --name NAME --service S [options]

Options:
  --port N               Port on the loopback address.
  --name NAME            Name in the instance list.
  --service S            Service that the engine belongs to.
  --checks-fencing       Refuse orders with an old fencing number (the default).
  --ignores-fencing      Accept every order.
  --step-ms N            Base duration of a step in milliseconds [default: 10].
  --step-active-ms N     Added to a step by each running sequence, in milliseconds [default: 0.5].
  --slots N              Maximum of running sequences [default: 8].
  --waiting-max N        Maximum of waiting sequences [default: 64].
  --cache-tokens N       Capacity of the prefix cache in tokens [default: 20000].
  --event-delay-ms N     Delay of cache events in milliseconds [default: 500].
  --report-lag-ms N      Lag of the load report in milliseconds [default: 500].
  --models LIST          Models loaded at the start, NAME@VERSION separated by commas [default: ].
  --adapters LIST        Adapters loaded at the start, as for models [default: ].
  --poison MARKER        Crash on a prompt that contains the marker [default: ].
  --journal FILE         Append a line for each admission to this file.
  --blast                Answer at once with pre-built events.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent
from docopt import docopt

from standins.engine._http import EngineServer
from standins.engine._state import EngineOptions, EngineState
from standins.web import create_server


def read_options(args: dict[str, Any]) -> EngineOptions:
    """Return the engine's options from the command line."""
    return EngineOptions(
        name=args["--name"],
        service=args["--service"],
        checks_fencing=not args["--ignores-fencing"],
        slots=int(args["--slots"]),
        waiting_max=int(args["--waiting-max"]),
        step_base_s=float(args["--step-ms"]) / 1000,
        step_active_s=float(args["--step-active-ms"]) / 1000,
        cache_tokens_max=int(args["--cache-tokens"]),
        event_delay_s=float(args["--event-delay-ms"]) / 1000,
        report_lag_s=float(args["--report-lag-ms"]) / 1000,
        poison_marker=args["--poison"],
    )


def preload(state: EngineState, kind: str, listing: str) -> None:
    """Mark the NAME@VERSION items of a comma-separated list as loaded."""
    for item in filter(None, listing.split(",")):
        name, _, version = item.partition("@")
        state.loaded[(kind, name)] = version


def main() -> None:
    """Serve until killed."""
    args = docopt(__doc__ or "")
    state = EngineState(read_options(args))
    preload(state, "model", args["--models"])
    preload(state, "adapter", args["--adapters"])
    journal = Path(args["--journal"]) if args["--journal"] else None
    server = EngineServer(state, blast=args["--blast"], journal=journal)
    gevent.spawn(server.run_steps)
    create_server(int(args["--port"]), server.create_app()).serve_forever()


if __name__ == "__main__":
    main()
