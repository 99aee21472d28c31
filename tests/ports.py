"""Free ports for servers that tests start."""

from __future__ import annotations

import itertools
import os
import random

from gevent import socket

PORTS = range(10_240, 32_768)  # the system takes no port of a client's connection from these


def _shuffle_ports() -> list[int]:
    """Return the ports of this process; those of parallel ones of a test run are others."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    ports = list(PORTS[worker :: int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))])
    random.SystemRandom().shuffle(ports)
    return ports


_ports = itertools.cycle(_shuffle_ports())


def find_port(host: str = "127.0.0.1") -> int:
    """Return a port that no server listens on and no client of another test is given."""
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
