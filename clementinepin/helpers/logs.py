"""Setup of logs: text or JSON lines on standard error, or events on standard output."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Final

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

LINES_PER_S: Final = 300.0  # several lines per request on the busiest entry instance
LINES_BURST: Final = 600.0  # for a start, or a change that affects the whole fleet at once
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[instance]} {message}"


def configure_logs(format_name: str, level: str, instance: str) -> None:
    """Write log records of ``level`` and above to standard error as ``text`` or ``json`` lines."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    if format_name == "json":
        logger.add(_write_json, level=level)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False)


def _write_json(message: Message) -> None:
    sys.stderr.buffer.write(_encode_record(message.record))
    sys.stderr.buffer.flush()


def _encode_record(record: Record) -> bytes:
    prefix, _, text = record["message"].partition(": ")
    exception = record["exception"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "instance": record["extra"].get("instance", ""),
        "part": prefix if text else "",
        "message": text or prefix,
        "error": repr(exception.value) if exception else None,
    }
    return msgspec.json.encode(line) + b"\n"


class EventLines:
    """Writes events as JSON lines to a non-blocking descriptor, at a limited rate.

    A token bucket of ``LINES_PER_S`` and ``LINES_BURST`` limits the rate. Lines over it, or that
    the descriptor cannot take at once, are dropped; a later line holds their count as ``dropped``.
    """

    def __init__(self, instance: str, descriptor: int) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._tokens = LINES_BURST
        self._updated_at = 0.0
        self._dropped = 0

    def write(self, message: Message) -> None:
        """Write one loguru record, or drop and count it."""
        record = message.record
        now = record["time"].timestamp()
        self._tokens = min(LINES_BURST, self._tokens + (now - self._updated_at) * LINES_PER_S)
        self._updated_at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        line = {
            "time": round(now, 4),
            "level": record["level"].name,
            "instance": self._instance,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        if self._dropped:
            line["dropped"] = self._dropped
        try:
            os.write(self._descriptor, msgspec.json.encode(line, enc_hook=str) + b"\n")
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1


def configure_event_logs(instance: str, level: str = "INFO") -> None:
    """Write events of ``level`` and above as JSON lines to standard output, never blocking."""
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(EventLines(instance, sys.stdout.fileno()).write, level=level)
