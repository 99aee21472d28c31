"""Log lines about the software versions at which callers' streams are resumed."""

from __future__ import annotations

from loguru import logger

from clementinepin.systems import stream_versions
from clementinepin.tables.dispatch import DispatchTable, PendingRequest


def log_resumption(table: DispatchTable, request: PendingRequest, now: float) -> None:
    """Log by what the version of a resumed stream is known; other requests are ignored."""
    if not request.is_resumption:
        return
    version, source = stream_versions.find_required_version(table, request, now)
    known = stream_versions.list_versions(table.streams, now).get(request.service, set())
    log = logger.bind(stream=request.stream_id, member=request.key[0], service=request.service)
    log = log.bind(software_version=version, known_by=str(source), versions=sorted(known))
    is_confirmed = table.streams.confirmed_at >= request.resumed_at
    log.bind(is_confirmed=is_confirmed).info("stream_version_decided")
