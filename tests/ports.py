"""Free ports for servers that tests start."""

from __future__ import annotations

import random

from gevent import socket

PORTS = range(10_240, 32_768)  # the system takes no port of a client's connection from these
_random = random.SystemRandom()


def find_port(host: str = "127.0.0.1") -> int:
    """Return a port that no server listens on and no client of another test is given."""
    while True:
        port = _random.choice(PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
