"""The daemon on the users' platform: one program for all machines, told apart by settings."""

from __future__ import annotations

import os
import random
import signal
import sys

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
from clementinepin.serving.models import InstanceSettings

USAGE = """Run one instance on the users' platform. Its settings file is named by the platform.

Usage:
  serve [--metrics-port PORT]
  serve (-h | --help)

Options:
  --metrics-port PORT  Port of this machine that serves metrics; 0 serves none [default: 0].

Signals: TERM and INT leave and stop; HUP reads the settings again; USR1 writes a state dump
to standard output. Exit codes: 0 clean stop, 2 wrong usage or settings.
"""
EXIT_SETTINGS = 2


def main() -> int:
    """Run one instance until it is told to stop."""
    args = docopt(USAGE)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        check_loop_backend()
        metrics_port = int(args["--metrics-port"])
        settings = load_instance_settings(path, metrics_port)
    except ValueError:
        sys.stderr.write(f"clementinepin: {args['--metrics-port']!r} is not a port\n")
        return EXIT_SETTINGS
    except ClementinepinError as err:
        sys.stderr.write(f"clementinepin: {err.code}: {err.message}\n")
        return EXIT_SETTINGS
    configure_event_logs(settings.name)
    clock = create_system_clock()
    metrics = create_serving_metrics()
    store = create_store(settings.store_address, clock, metrics.count_store_call)
    app = create_app(settings, store, create_wire(), clock, random.Random(), metrics)
    told = Event()
    gevent.signal_handler(signal.SIGTERM, told.set)
    gevent.signal_handler(signal.SIGINT, told.set)
    gevent.signal_handler(signal.SIGHUP, check_settings, path, settings)
    gevent.signal_handler(signal.SIGUSR1, dump_state, app)
    app.start()
    logger.bind(runs_jobs=settings.runs_jobs, data_centre=settings.data_centre).info("started")
    told.wait()
    logger.info("stopping")
    app.stop()
    logger.info("stopped")
    return 0


def check_settings(path: str, settings: InstanceSettings) -> None:
    """Read the settings again; addresses only change with a restart, so a change is reported."""
    try:
        changed = load_instance_settings(path)._replace(metrics_address=settings.metrics_address)
    except ClementinepinError as err:
        logger.bind(error=err.message).error("settings_unreadable")
        return
    logger.bind(changed=changed != settings).info("settings_read_again")


def dump_state(app: App) -> None:
    """Log the state of all parts as one event."""
    logger.bind(state=app.describe_state()).info("state_dump")


if __name__ == "__main__":
    sys.exit(main())
