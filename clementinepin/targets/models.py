"""Interface of model engines and the data types that it uses."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol


class TargetAddress(NamedTuple):
    """Name, IP address and port of a target."""

    name: str
    address: str
    port: int


class Channel(Protocol):
    """A stream of bytes to a target: a socket, or a tunnel through another instance.

    The methods are those of a socket. ``recv`` raises RelayLostError if the tunnel fails on the way
    to the target's end of it.
    """

    def send(self, data: memoryview) -> int:
        """Write a first part of the data and return its size."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return at most ``size`` bytes, none at the end that the target gave the stream."""

    def settimeout(self, timeout_s: float | None) -> None:
        """Limit the time of each later call; None waits without limit, 0 not at all."""

    def shutdown(self, how: int) -> None:
        """End the stream, so that a reader in another greenlet wakes up."""

    def close(self) -> None:
        """Close the stream, so that the target stops its work."""


class Relays(Protocol):
    """Other instances that may reach targets which this one doesn't reach."""

    def open(self, target: TargetAddress, deadline: float) -> tuple[Channel, str]:
        """Return a channel to the target through another instance, and the instance's name.

        Raises TargetNotReachedError if none was opened before the monotonic deadline. ``refused``
        is then set if the target refused all that came through.
        """


class GenerateRequest(NamedTuple):
    """One generation. ``body`` is the caller's JSON and ``path`` the engine's resource.

    ``resume_text`` and ``resume_tokens`` are the text and the number of tokens that were
    delivered before. If ``idempotent`` is False, the request is sent on a new connection.
    ``whole`` requests one JSON response instead of events. ``deadline`` and ``first_token_by``
    are monotonic seconds. A stream that has not started at ``first_token_by`` fails; 0 means the
    deadline.
    """

    request_id: str
    path: str
    body: dict[str, Any]
    priority: str
    deadline: float
    resume_text: str = ""
    resume_tokens: int = 0
    idempotent: bool = True
    whole: bool = False
    first_token_by: float = 0.0


class StreamChunk(NamedTuple):
    """A piece of a response: raw server-sent event bytes, and the text and tokens in them.

    ``done`` is True only on the last chunk of a complete response. ``usage`` is the engine's own
    token count as JSON, if it sent one.
    """

    data: bytes
    text: str
    tokens: int
    done: bool
    finish_reason: str | None = None
    usage: bytes = b""


class LoadReport(NamedTuple):
    """Load of an engine as reported at ``reported_at`` (monotonic seconds); it may lag.

    ``models`` and ``adapters`` hold ``NAME:VERSION``.
    """

    running: int
    waiting: int
    cache_share: float
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fencing_number: int
    reported_at: float


class CacheEvent(NamedTuple):
    """A prefix hash that was stored in or removed from an engine's cache.

    ``sequence`` increases by 1 for each event, so that a gap shows lost events.
    """

    sequence: int
    prefix_hash: str
    stored: bool


class Engine(Protocol):
    """A model engine. Its methods raise the types of targets/exceptions.py."""

    def generate(self, request: GenerateRequest) -> Iterator[StreamChunk]:
        """Return the chunks of a response; closing the iterator cancels at the engine."""

    def cancel(self, request_id: str) -> None:
        """Cancel a generation; unknown ids are ignored."""

    def fetch_load(self) -> LoadReport:
        """Return the current load report."""

    def fetch_cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number; they may be late or have gaps."""

    def load_model(self, model: str, version: str, weights: str, fencing_number: int) -> None:
        """Order the engine to serve this version of a model."""

    def load_adapter(self, adapter: str, version: str, weights: str, fencing_number: int) -> None:
        """Order the engine to serve this version of an adapter."""

    def change_role(self, role: str, fencing_number: int) -> None:
        """Order the engine to change its role."""

    def export_cache(self, prefix_hash: str) -> bytes:
        """Return the cache content of a prefix as bytes."""

    def import_cache(self, prefix_hash: str, data: bytes) -> None:
        """Store the cache content of a prefix in the engine."""
