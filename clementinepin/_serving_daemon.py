"""Command line, signals and life of the daemon on the users' platform."""

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
from clementinepin.helpers.containment import contain_failure
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
from clementinepin.tables.mechanisms import parse_mechanisms

USAGE = """Run one instance on the users' platform. The platform names its settings file.

Usage:
  serve [--metrics-port PORT] [--placement NAME] [--order NAME]
        [--without NAMES]
  serve (-h | --help)

Options:
  --metrics-port PORT  Port on which this instance serves its metrics; 0 serves none [default: 0].
  --placement NAME     How targets are chosen: dispatcher; own-counts and random are baselines
                       for comparison [default: dispatcher].
  --order NAME         Which waiting requests come first: new-first; returned-first is a baseline
                       for comparison [default: new-first].
  --without NAMES      Mechanisms to switch off for a measurement, separated by commas
                       (clementinepin/tables/mechanisms.py) [default: ].

Signals: TERM and INT stop the instance; HUP reloads the settings and applies those that need
no restart; USR1 writes a state dump to standard output. Exit codes: 0 clean stop,
2 invalid command line or settings.
"""
EXIT_SETTINGS = 2


def main() -> int:
    """Run one instance until SIGTERM or SIGINT and return the exit code."""
    args = docopt(USAGE)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    # Handled from before the settings are read, so that no change of them is missed.
    reload_requested = Event()
    early_reload = gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    try:
        check_loop_backend()
        metrics_port = int(args["--metrics-port"])
        disabled = parse_mechanisms(args["--without"] or "")
        policy = Policy(Placement(args["--placement"]), QueueOrder(args["--order"]), disabled)
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
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)

    def reload() -> None:
        """Read the settings again, on SIGHUP and before a stop."""
        reload_settings(path, metrics_port, app, store.move)

    gevent.signal_handler(signal.SIGHUP, reload)
    early_reload.cancel()
    gevent.signal_handler(signal.SIGUSR1, dump_state, app)
    app.start()
    logger.bind(runs_jobs=settings.runs_jobs, data_centre=settings.data_centre).info("started")
    if reload_requested.is_set():
        reload()
    stop_requested.wait()
    reload()  # the file limits how long a stop takes and may have changed without a signal
    logger.info("stopping")
    app.stop()
    logger.info("stopped")
    return 0


@contain_failure("settings_reload")
def reload_settings(
    path: str, metrics_port: int, app: App, move_store: Callable[[tuple[str, int]], None]
) -> None:
    """Read the settings again and apply those that need no restart.

    An invalid file is logged and changes nothing. ``path`` is the settings file;
    ``move_store`` is called with host and port of the store.
    """
    try:
        settings = load_instance_settings(path, metrics_port)
    except ClementinepinError as err:
        logger.bind(error=err.message).error("settings_unreadable")
        return
    move_store(settings.store_address)
    needs_restart = [name for name in app.apply_settings(settings) if name != "store_address"]
    logger.bind(needs_restart=needs_restart).info("settings_reloaded")


def dump_state(app: App) -> None:
    """Log the state of all components as one event."""
    logger.bind(state=app.describe_state()).info("state_dump")
