"""Run many daemons in one process, as peers of the measured daemon.

Usage: ``python -m bench._control.host SETTINGS...``. Each settings file starts one
instance with all components, so the measured daemon exchanges real messages.
"""

from __future__ import annotations

import sys

import gevent
from loguru import logger

from clementinepin.config import load_settings
from clementinepin.daemon import build_core


def main() -> None:
    """Start every instance and serve until killed."""
    logger.remove()
    cores = [build_core(load_settings(path)) for path in sys.argv[1:]]
    for core in cores:
        core.start()
    gevent.wait()


if __name__ == "__main__":
    main()
