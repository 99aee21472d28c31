"""Decides at which software version of a service a stream may go on.

What two versions generate doesn't fit together, and targets don't check it.

Load pattern: a release, with targets of several versions side by side, while targets and instances
fail and their streams are resumed by whoever reaches the next target.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from clementinepin.tables.dispatch import DispatchTable, PendingRequest, TargetLoad
from clementinepin.tables.streams import BegunStream, StreamTable

VERSION_MEMORY_S: Final = 60.0  # several times as long as callers keep trying
STREAMS_MAX: Final = 100_000  # about 25 MB; the streams that were granted first are dropped


class VersionSource(StrEnum):
    """By what it is known at which version a request must run."""

    UNBOUND = "unbound"
    GIVEN = "given"
    RECORDED = "recorded"
    ONLY_VERSION = "only version"
    UNKNOWN = "unknown"
    OTHER_SERVICE = "other service"


REJECTIONS: Final = {
    VersionSource.UNKNOWN: "unknown software version",
    VersionSource.OTHER_SERVICE: "the stream began at another service",
}


class RequiredVersion(NamedTuple):
    """The version at which a request must run, empty for any, or None if it must not run."""

    version: str | None
    source: VersionSource


def record_versions(table: DispatchTable, versions: Iterable[tuple[str, str]], now: float) -> None:
    """Record the pairs of service and software version of all registered targets."""
    present: dict[str, set[str]] = {}
    for service, version in versions:
        present.setdefault(service, set()).add(version)
    streams = table.streams
    for service, former in streams.present.items():
        gone = former - present.get(service, set())
        if gone:
            streams.gone_at[service] = _list_recent(streams, service, now) | dict.fromkeys(
                gone, now
            )
    streams.present = present


def record_stream(
    table: DispatchTable,
    stream_id: str,
    software_version: str,
    expires_at: float,
    now: float,
    service: str = "",
) -> None:
    """Record at which version of a service a stream begins or goes on; without an id there is none.

    ``service`` is empty if it is unknown.
    """
    if not stream_id or expires_at <= now:
        return
    begun = table.streams.begun
    former = begun.pop(stream_id, None)
    told = ""
    if former is not None and former.software_version == software_version:
        told = former.told
    begun[stream_id] = BegunStream(software_version, expires_at, told, service)
    while begun and (len(begun) > STREAMS_MAX or next(iter(begun.values())).expires_at <= now):
        del begun[next(iter(begun))]


def record_told(table: DispatchTable, stream_id: str, dispatcher: str, now: float) -> None:
    """Record that a dispatcher knows of a stream that is recorded, unless another one did before.

    That one would not hear of a correction.
    """
    stream = find_stream(table, stream_id, now)
    if stream is not None and not stream.told:
        table.streams.begun[stream_id] = stream._replace(told=dispatcher)


def forget_stream(table: DispatchTable, stream_id: str) -> None:
    """Forget at which version a stream was to begin, as it may have begun at another one."""
    table.streams.begun.pop(stream_id, None)


def find_stream(table: DispatchTable, stream_id: str, now: float) -> BegunStream | None:
    """Return the record of a stream, or None without a valid one."""
    stream = table.streams.begun.get(stream_id)
    return stream if stream is not None and now < stream.expires_at else None


def find_stream_version(table: DispatchTable, stream_id: str, now: float) -> str | None:
    """Return the version at which a stream began, or None if it is not recorded."""
    stream = find_stream(table, stream_id, now)
    return stream.software_version if stream is not None else None


def find_required_version(
    table: DispatchTable, request: PendingRequest, now: float
) -> RequiredVersion:
    """Return the version at which a request must run.

    The version of a stream that is not recorded is known if its service has had only one until the
    stream was resumed. A stream goes on at no other service than that of its record.

    Load pattern: an instance that is suspended or cut off during a release still has callers, and
    knows of the former version only. One that has just started sees the later version only.
    """
    if request.software_version:
        return RequiredVersion(request.software_version, VersionSource.GIVEN)
    if not request.is_resumption:
        return RequiredVersion("", VersionSource.UNBOUND)
    recorded = find_stream(table, request.stream_id, now)
    if recorded is not None:
        if recorded.service not in ("", request.service):
            return RequiredVersion(None, VersionSource.OTHER_SERVICE)
        return RequiredVersion(recorded.software_version, VersionSource.RECORDED)
    only_version = _find_only_version(table, request, now)
    if only_version is None or table.streams.confirmed_at < request.resumed_at:
        return RequiredVersion(None, VersionSource.UNKNOWN)
    return RequiredVersion(only_version, VersionSource.ONLY_VERSION)


def needs_confirmation(table: DispatchTable, request: PendingRequest, now: float) -> bool:
    """Return whether the version of a request is known if the versions are confirmed now."""
    return (
        table.streams.confirmed_at < request.resumed_at
        and find_required_version(table, request, now).source is VersionSource.UNKNOWN
        and _find_only_version(table, request, now) is not None
    )


def _find_only_version(table: DispatchTable, request: PendingRequest, now: float) -> str | None:
    """Return the only version that a request's service has had, None if there may be others."""
    streams = table.streams
    if now - streams.complete_since < VERSION_MEMORY_S:
        return None
    versions = list_versions(streams, now).get(request.service, set())
    return versions.pop() if len(versions) == 1 else None


def list_versions(streams: StreamTable, now: float) -> dict[str, set[str]]:
    """Return the versions of each service that are registered or went a short time ago."""
    services = streams.present.keys() | streams.gone_at.keys()
    return {
        service: set(_list_recent(streams, service, now)) | streams.present.get(service, set())
        for service in services
    }


def merge_versions(
    streams: StreamTable, versions: Mapping[str, Iterable[str]], complete_since: float, now: float
) -> None:
    """Merge versions that others have seen, all of those since ``complete_since``.

    Those that are not registered may have gone at any time until now.
    """
    streams.complete_since = min(streams.complete_since, complete_since)
    for service, seen in versions.items():
        for version in set(seen) - streams.present.get(service, set()):
            if version not in _list_recent(streams, service, now):
                streams.gone_at[service][version] = now


def _list_recent(streams: StreamTable, service: str, now: float) -> dict[str, float]:
    """Return the versions whose last target went within ``VERSION_MEMORY_S``, and when it did."""
    rows = streams.gone_at[service].items()
    return {version: at for version, at in rows if now - at < VERSION_MEMORY_S}


def can_run(target: TargetLoad, request: PendingRequest) -> bool:
    """Return whether a target has the service and the software version that a request needs."""
    return target.service == request.service and request.software_version in (
        "",
        target.software_version,
    )


def has_target(table: DispatchTable, request: PendingRequest) -> bool:
    """Return whether any target may run the request, now or later."""
    return any(can_run(target, request) for target in table.targets.values())
