"""Serve the stand-in: ``python -m standins.weight_store --port N --rate LOADS_PER_S``."""

from __future__ import annotations

import argparse

from clementinepin.helpers.clock import create_system_clock
from standins.weight_store._server import create_server


def main() -> None:
    """Run until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rate", type=float, default=2.0)
    args = parser.parse_args()
    create_server(args.host, args.port, create_system_clock(), args.rate).serve_forever()


if __name__ == "__main__":
    main()
