"""The daemon on the users' platform: one program for all machines, told apart by settings."""

from __future__ import annotations

import os
import random
import signal
import sys

import gevent
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
from clementinepin.serving._app import App

EXIT_SETTINGS = 2


def main() -> int:
    """Run one instance until it is told to stop."""
    try:
        check_loop_backend()
        settings = load_instance_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    except ClementinepinError as err:
        sys.stderr.write(f"clementinepin: {err.code}: {err.message}\n")
        return EXIT_SETTINGS
    configure_event_logs(settings.name)
    clock = create_system_clock()
    app = App(
        settings, create_store(settings.store_address, clock), create_wire(), clock, random.Random()
    )
    told = Event()
    gevent.signal_handler(signal.SIGTERM, told.set)
    gevent.signal_handler(signal.SIGINT, told.set)
    gevent.signal_handler(signal.SIGHUP, lambda: logger.info("reload_requested"))
    app.start()
    logger.bind(runs_jobs=settings.runs_jobs, data_centre=settings.data_centre).info("started")
    told.wait()
    logger.info("stopping")
    app.stop()
    logger.info("stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
