"""Measure what the software versions of resumable streams cost a dispatcher.

Usage: python -m bench.streams [--short]. The last line is one JSON object: memory and time a
stream, and bytes of messages.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from typing import Any

import msgspec

from clementinepin.serving import _messages as messages
from clementinepin.systems import stream_versions
from clementinepin.systems.stream_versions import STREAMS_MAX
from clementinepin.tables.dispatch import DispatchTable

STREAMS_SHORT = 10_000
HELLO_STREAMS = 300
VERSION = "v1.2"


def record_all(table: DispatchTable, stream_ids: list[str]) -> float:
    """Record all streams and return the seconds that one took."""
    started = time.perf_counter()
    for stream_id in stream_ids:
        stream_versions.record_stream(table, stream_id, VERSION, 1e9, 0.0)
    return (time.perf_counter() - started) / len(stream_ids)


def measure_streams(count: int) -> dict[str, Any]:
    """Return bytes and microseconds a stream, without the string of its id."""
    rng = random.Random(1)
    stream_ids = [f"{rng.getrandbits(64):016x}" for _ in range(count)]
    table = DispatchTable()
    tracemalloc.start()
    record_all(table, stream_ids)
    size = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    return {
        "streams": count,
        "bytes_a_stream": round(size, 1),
        "us_a_record": round(record_all(table, stream_ids) * 1e6, 2),
    }


def measure_messages() -> dict[str, int]:
    """Return the bytes of a request for a slot with and without a stream, and of a hello."""
    request = messages.RequestSlot(
        number=1,
        service="a-service",
        is_batch=False,
        on_time_in_s=0.3,
        deadline_in_s=1.9,
        run_s=0.7,
        prefix_ids=["aaaaaaaa"] * 3,
        data_centre="data-centre-a1",
        excluded=[],
        returned=False,
        is_firm=False,
    )
    stream = msgspec.structs.replace(request, stream_id="0" * 16, stream_ttl_s=5.0)
    known = [messages.StreamVersion(f"{n:016x}", VERSION, 5.0) for n in range(HELLO_STREAMS)]
    return {
        "request_bytes": len(messages.pack_message(request)),
        "stream_request_bytes": len(messages.pack_message(stream)),
        "hello_bytes": len(messages.pack_message(messages.Hello("front-1", [], known))),
    }


def main() -> int:
    """Print the figures; return the exit code."""
    count = STREAMS_SHORT if "--short" in sys.argv else STREAMS_MAX
    print(msgspec.json.encode(measure_streams(count) | measure_messages()).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
