"""Set up of structured logs: text lines or JSON lines on standard error."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[instance]} {message}"


def configure_logs(format_name: str, level: str, instance: str) -> None:
    """Send log records to standard error as ``text`` or ``json`` lines."""
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
