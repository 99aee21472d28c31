"""Serve the stand-in: ``python -m standins.instance_list --port N [--lag SECONDS]``."""

from __future__ import annotations

import argparse

from clementinepin.helpers.clock import create_system_clock
from standins.instance_list._server import create_server


def main() -> None:
    """Run until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag", type=float, default=0.0)
    args = parser.parse_args()
    create_server(args.host, args.port, create_system_clock(), args.lag).serve_forever()


if __name__ == "__main__":
    main()
