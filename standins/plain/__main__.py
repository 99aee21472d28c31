"""Start one stand-in plain service.

Usage:
  plain --port N --name NAME [--delay-ms N] [--journal FILE]

Options:
  --port N        Port on the loopback address.
  --name NAME     Name in the instance list.
  --delay-ms N    Duration of a call in milliseconds [default: 5].
  --journal FILE  Append a line for each run to this file.
"""

from __future__ import annotations

from pathlib import Path

from docopt import docopt

from standins.plain._service import PlainService
from standins.web import create_app, create_server


def main() -> None:
    """Serve until killed."""
    args = docopt(__doc__ or "")
    journal = Path(args["--journal"]) if args["--journal"] else None
    delay_s = float(args["--delay-ms"]) / 1000
    service = PlainService(args["--name"], delay_s=delay_s, journal=journal)
    create_server(int(args["--port"]), create_app(service.route)).serve_forever()


if __name__ == "__main__":
    main()
