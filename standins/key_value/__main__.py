"""Serve the stand-in: ``python -m standins.key_value --port N``."""

from __future__ import annotations

import argparse

from clementinepin.helpers.clock import create_system_clock
from standins.key_value._gateway import create_server


def main() -> None:
    """Run until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    create_server(args.host, args.port, create_system_clock()).serve_forever()


if __name__ == "__main__":
    main()
