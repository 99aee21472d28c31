"""Run a module and count the bytes that its sockets transfer.

Usage: ``python -m bench._control.metered COUNT_FILE MODULE [ARGUMENTS]``. A JSON object of bytes
and calls by direction is written to the file a few times per second. Bytes are the payload of the
sockets, without TCP and IP headers.
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


def patch_method(
    socket_type: type, name: str, direction: str, count_bytes: Callable[[Any], int]
) -> None:
    """Patch a method of a socket type to count its calls and bytes.

    ``count_bytes`` returns the bytes of one result; ``direction`` is ``in`` or ``out``.
    """
    original = getattr(socket_type, name)

    def counted(self: Any, *args: Any, **kwargs: Any) -> Any:
        result = original(self, *args, **kwargs)
        counts[f"bytes_{direction}"] += count_bytes(result)
        counts[f"calls_{direction}"] += 1
        return result

    setattr(socket_type, name, counted)


def patch_sockets() -> None:
    """Count the transfers of all sockets of gevent and of the standard library."""
    for socket_type in (gevent.socket.socket, socket.socket):
        patch_method(socket_type, "recv", "in", len)
        patch_method(socket_type, "recv_into", "in", int)
        patch_method(socket_type, "send", "out", int)
        patch_method(socket_type, "sendto", "out", int)


def write_counts(path: Path) -> None:
    """Write the counts periodically; each write replaces the file atomically."""
    temporary = path.with_suffix(".fresh")
    while True:
        temporary.write_text(json.dumps(dict(counts)))
        os.replace(temporary, path)
        time.sleep(WRITE_PERIOD_S)


def main() -> None:
    """Start counting and run the module."""
    path, module = Path(sys.argv[1]), sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    patch_sockets()
    threading.Thread(target=write_counts, args=(path,), daemon=True).start()
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
