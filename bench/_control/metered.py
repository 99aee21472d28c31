"""Run a module with a count of the bytes that its sockets carry.

Usage: ``python -m bench._control.metered COUNT_FILE MODULE [ARGUMENTS]``. The file gets a JSON
object of bytes and calls, by direction, a few times a second. Bytes are those of the sockets'
payload, without the headers of TCP and IP.
"""

from __future__ import annotations

import json
import os
import runpy
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import gevent.socket

WRITE_PERIOD_S: Final = 0.25
counts: Counter[str] = Counter()


def meter(kind: type, name: str, direction: str, measure: Callable[[Any], int]) -> None:
    """Count what one method of a socket type carries."""
    original = getattr(kind, name)

    def counted(self: Any, *args: Any, **kwargs: Any) -> Any:
        result = original(self, *args, **kwargs)
        counts[f"bytes_{direction}"] += measure(result)
        counts[f"calls_{direction}"] += 1
        return result

    setattr(kind, name, counted)


def meter_sockets() -> None:
    """Count all sockets of gevent and of the standard library."""
    for kind in (gevent.socket.socket, socket.socket):
        meter(kind, "recv", "in", len)
        meter(kind, "recv_into", "in", int)
        meter(kind, "send", "out", int)
        meter(kind, "sendto", "out", int)


def write_counts(path: Path) -> None:
    """Write the counts for ever, each time as a whole file."""
    fresh = path.with_suffix(".fresh")
    while True:
        fresh.write_text(json.dumps(dict(counts)))
        os.replace(fresh, path)
        time.sleep(WRITE_PERIOD_S)


def main() -> None:
    """Start the count and run the module."""
    path, module = Path(sys.argv[1]), sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    meter_sockets()
    threading.Thread(target=write_counts, args=(path,), daemon=True).start()
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
