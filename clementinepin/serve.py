"""The daemon on the users' platform: one program for all instances, told apart by settings."""

from __future__ import annotations

import os
import random
import signal
import sys
from collections.abc import Callable

import gevent
from docopt import docopt
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.logs import configure_event_logs
from clementinepin.helpers.loop import check_loop_backend
from clementinepin.platform import (
    SETTINGS_VARIABLE,
    create_store,
    create_wire,
    load_instance_settings,
)
from clementinepin.serving.app import App, create_app, create_serving_metrics
from clementinepin.serving.models import Placement, Policy
from clementinepin.tables.dispatch import QueueOrder

USAGE = """Run one instance on the users' platform. Its settings file is named by the platform.

Usage:
  serve [--metrics-port PORT] [--placement NAME] [--order NAME]
  serve (-h | --help)

Options:
  --metrics-port PORT  Port of this instance that serves metrics; 0 serves none [default: 0].
  --placement NAME     Who chooses targets: dispatcher; or own-counts or random, as baselines
                       [default: dispatcher].
  --order NAME         Who waits first: new-first; or returned-first, as a baseline
                       [default: new-first].

Signals: TERM and INT leave and stop; HUP reads the settings again and puts into force
what needs no restart; USR1 writes a state dump to standard output. Exit codes: 0 clean stop,
2 wrong usage or settings.
"""
EXIT_SETTINGS = 2


def main() -> int:
    """Run one instance until it is told to stop."""
    args = docopt(USAGE)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        check_loop_backend()
        metrics_port = int(args["--metrics-port"])
        policy = Policy(Placement(args["--placement"]), QueueOrder(args["--order"]))
        settings = load_instance_settings(path, metrics_port)
    except ValueError as err:
        sys.stderr.write(f"clementinepin: {err}\n")
        return EXIT_SETTINGS
    except ClementinepinError as err:
        sys.stderr.write(f"clementinepin: {err.code}: {err.message}\n")
        return EXIT_SETTINGS
    configure_event_logs(settings.name)
    clock = create_system_clock()
    metrics = create_serving_metrics()
    store = create_store(settings.store_address, clock, metrics.count_store_call)
    app = create_app(settings, store, create_wire(), clock, random.Random(), metrics, policy)
    told = Event()
    gevent.signal_handler(signal.SIGTERM, told.set)
    gevent.signal_handler(signal.SIGINT, told.set)

    def reload() -> None:
        """Read the settings again, at a signal and before a stop."""
        reload_settings(path, metrics_port, app, store.move)

    gevent.signal_handler(signal.SIGHUP, reload)
    gevent.signal_handler(signal.SIGUSR1, dump_state, app)
    app.start()
    logger.bind(runs_jobs=settings.runs_jobs, data_centre=settings.data_centre).info("started")
    told.wait()
    reload()  # the file may have changed without a signal, and says how long a stop may take
    logger.info("stopping")
    app.stop()
    logger.info("stopped")
    return 0


def reload_settings(
    path: str, metrics_port: int, app: App, move_store: Callable[[tuple[str, int]], None]
) -> None:
    """Read the settings again and put into force what needs no restart."""
    try:
        settings = load_instance_settings(path, metrics_port)
    except ClementinepinError as err:
        logger.bind(error=err.message).error("settings_unreadable")
        return
    move_store(settings.store_address)
    left = [name for name in app.apply_settings(settings) if name != "store_address"]
    logger.bind(needs_restart=left).info("settings_read_again")


def dump_state(app: App) -> None:
    """Log the state of all parts as one event."""
    logger.bind(state=app.describe_state()).info("state_dump")


if __name__ == "__main__":
    sys.exit(main())
