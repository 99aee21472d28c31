"""Protocol of model engines and the rows that pass through it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol


class TargetAddress(NamedTuple):
    """Where a target listens."""

    name: str
    address: str
    port: int


class GenerateRequest(NamedTuple):
    """One generation. ``body`` is the caller's JSON; ``path`` the engine's resource.

    ``resume_text`` and ``resume_tokens`` hold what was delivered before. ``idempotent`` False
    asks for a connection that never carried another request. ``whole`` asks for one JSON
    answer in place of events. ``first_token_by`` is monotonic: a stream that has not begun by
    then is given up; 0 means the deadline.
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
    """A piece of an answer: raw server-sent event bytes and the text and tokens in it.

    ``done`` is True on the last chunk of a whole answer only. ``usage`` is the engine's own
    count of tokens as JSON, if it sent one.
    """

    data: bytes
    text: str
    tokens: int
    done: bool
    finish_reason: str | None = None
    usage: bytes = b""


class LoadReport(NamedTuple):
    """Load of an engine at ``reported_at`` (monotonic seconds); it lags.

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
    """A prefix hash stored in or removed from an engine's cache. ``sequence`` shows gaps."""

    sequence: int
    prefix_hash: str
    stored: bool


class Engine(Protocol):
    """A model engine. ``generate`` raises the types of targets/exceptions.py."""

    def generate(self, request: GenerateRequest) -> Iterator[StreamChunk]:
        """Stream an answer; closing the iterator cancels at the engine."""

    def cancel(self, request_id: str) -> None:
        """Stop a generation; unknown ids are ignored."""

    def fetch_load(self) -> LoadReport:
        """Return the latest load report."""

    def fetch_cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Return cache events, late and with gaps."""

    def load_model(self, model: str, version: str, weights: str, fencing_number: int) -> None:
        """Order: serve this version of a model."""

    def load_adapter(self, adapter: str, version: str, weights: str, fencing_number: int) -> None:
        """Order: serve this version of an adapter."""

    def change_role(self, role: str, fencing_number: int) -> None:
        """Order: take a role."""

    def export_cache(self, prefix_hash: str) -> bytes:
        """Return a cached prefix as bytes."""

    def import_cache(self, prefix_hash: str, data: bytes) -> None:
        """Store a cached prefix."""
