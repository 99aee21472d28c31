"""The daemon on the users' platform. All instances run it and differ only in their settings.

A SIGHUP while the program is loaded changes nothing, as the settings are read afterwards.
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from clementinepin._serving_daemon import main, reload_settings

__all__ = ["main", "reload_settings"]

if __name__ == "__main__":
    sys.exit(main())
