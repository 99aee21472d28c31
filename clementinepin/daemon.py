"""The daemon: builds the components, runs until a drain is requested, then stops them."""

from __future__ import annotations

import random
import signal
import sys
from functools import partial
from typing import Any, cast

import gevent
import msgspec
from docopt import docopt
from gevent.event import Event
from loguru import logger

from clementinepin import __version__
from clementinepin.batch import create_batch
from clementinepin.claims import create_claim_store
from clementinepin.config import Settings, load_settings
from clementinepin.core import Component, Core, DrainStarted
from clementinepin.entry import create_entry
from clementinepin.exceptions import ClementinepinError
from clementinepin.fleet import create_fleet
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.logs import configure_logs
from clementinepin.helpers.loop import check_loop_backend
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure.clients import (
    create_instance_list,
    create_key_value_store,
    create_weight_store,
)
from clementinepin.peers import create_peer_network
from clementinepin.platform import create_store
from clementinepin.scheduling import create_scheduler
from clementinepin.storage import create_segment_store
from clementinepin.targets import create_engine
from clementinepin.tunnels import create_tunnels

USAGE = """Run one instance of the serving system.

Usage:
  clementinepind --config FILE
  clementinepind (-h | --help)
  clementinepind --version

Signals: TERM and INT drain and stop the instance; USR1 writes a state dump to standard error.
Exit codes: 0 clean stop, 1 any other failure, 2 invalid command line or settings.
"""
LOG_PREFIX = "daemon:"
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def build_core(settings: Settings) -> Core:
    """Create all components of one instance and register them in start order."""
    clock = create_system_clock()
    rng = random.Random()
    metrics = create_metrics(settings.metrics.host, settings.metrics.port, settings.metrics.prefix)
    core = Core(settings, clock, metrics, rng)
    stores = tuple(create_store(split_url(url), clock) for url in settings.platform.key_value)
    calls_per_s = settings.platform.key_value_calls_per_s
    key_value = create_key_value_store(stores, calls_per_s, clock, metrics, rng)
    instance_list = create_instance_list(settings, clock)
    weight_store = create_weight_store(settings, clock)
    peers = create_peer_network(core)
    tunnels = create_tunnels(core, peers)
    engine_factory = partial(create_engine, clock=clock, dialer=tunnels.dialer)
    segments = create_segment_store(core, key_value, peers)
    fleet = create_fleet(core, key_value, peers, instance_list, weight_store, engine_factory)
    scheduler = create_scheduler(core, peers, engine_factory)
    claims = create_claim_store(core, key_value, peers)
    batch = create_batch(core, key_value, segments, scheduler, engine_factory)
    entry = create_entry(
        core, scheduler, batch, claims, fleet, peers, engine_factory, tunnels.dialer
    )
    for component in (peers, tunnels, segments, scheduler, fleet, claims, batch, entry):
        core.register(cast("Component", component))
    return core


def split_url(url: str) -> tuple[str, int]:
    """Return host and port of a ``HOST:PORT`` address, with or without ``http://`` before it."""
    host, _, port = url.removeprefix("http://").rstrip("/").rpartition(":")
    return host, int(port)


def run_core(core: Core) -> None:
    """Run until a signal or an operator starts a drain, then stop within ``drain_s`` seconds."""
    drain_started = Event()
    core.subscribe(DrainStarted, lambda _event: drain_started.set())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, _start_drain, core)
    gevent.signal_handler(signal.SIGUSR1, dump_state, core)
    core.start()
    logger.info("{} Instance {} is serving.", LOG_PREFIX, core.settings.instance.name)
    drain_started.wait()
    deadline = core.clock.monotonic() + core.settings.limits.drain_s
    core.stop(deadline)
    logger.info("{} Stopped.", LOG_PREFIX)


def _start_drain(core: Core) -> None:
    logger.info("{} Draining.", LOG_PREFIX)
    core.drain(core.clock.monotonic() + core.settings.limits.drain_s)


def dump_state(core: Core) -> None:
    """Write the state of all components to standard error as one JSON line."""
    sys.stderr.buffer.write(encode_state(core.describe_state()) + b"\n")
    sys.stderr.buffer.flush()


def encode_state(state: dict[str, Any]) -> bytes:
    """Return a state dump as JSON; values that JSON cannot represent become strings."""
    return msgspec.json.encode(state, enc_hook=str)


def main() -> int:
    """Parse the command line, run one instance and return the exit code."""
    args = docopt(USAGE, version=__version__)
    try:
        check_loop_backend()
        settings = load_settings(args["FILE"])
    except ClementinepinError as err:
        sys.stderr.write(f"clementinepind: {err.code}: {err.message}\n")
        return EXIT_SETTINGS
    configure_logs(settings.logs.format, settings.logs.level, settings.instance.name)
    try:
        run_core(build_core(settings))
    except (ClementinepinError, OSError) as err:
        logger.error("{} Failed: {}.", LOG_PREFIX, err)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
