"""What the serving path needs of the callers' and targets' protocol, as a Protocol."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from clementinepin.serving.models import (
    ItemResult,
    JobItem,
    RequestFacts,
    RoutingConfiguration,
    Target,
)


class JobCall(NamedTuple):
    """A call on an existing job: ``verb`` is read, body or end. ``wait_s`` may hold a read."""

    verb: str
    job_id: str
    after: int = 0
    item_id: str = ""
    wait_s: float = 0.0


class Wire(Protocol):
    """Names and formats outside; every method translates and none decides."""

    config_key: str
    targets_prefix: str
    own_prefix: str
    retire_prefix: str
    ready_path: str
    resolve_path: str

    def read_request(self, headers: dict[str, str]) -> RequestFacts:
        """Return the facts in lower-cased headers; raises BadRequestError without an id."""

    def read_request_id(self, target: str, headers: dict[str, str]) -> str:
        """Return the id of a request, or of the job that it asks for; empty if it has none."""

    def is_replaced_header(self, name: str) -> bool:
        """Tell whether this lower-cased header is set anew on the way to a target."""

    def make_target_headers(
        self, target_id: str, time_left_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers that a target needs beside the caller's."""

    def make_resume_header(self, event_id: int) -> tuple[str, str]:
        """Return the header with which a stream goes on behind an event."""

    def make_item_headers(self, item: JobItem) -> list[tuple[str, str]]:
        """Return an item's headers with its id."""

    def is_refusal(self, status: int, headers: dict[str, str]) -> bool:
        """Tell whether a target's answer proves that it did not run the request."""

    def is_answer_to(self, request_id: str, status: int, headers: dict[str, str]) -> bool:
        """Tell whether an answer names this request; only failures without a promise may not."""

    def names_other(self, request_id: str, headers: dict[str, str]) -> bool:
        """Tell whether an answer names another request than this one."""

    def has_signature(self, headers: dict[str, str]) -> bool:
        """Tell whether a target signed its answer."""

    def read_load(self, headers: dict[str, str]) -> tuple[int, int, int] | None:
        """Return running and waiting requests and slots that an answer reports."""

    def read_configuration(self, value: bytes) -> RoutingConfiguration:
        """Decode the operators' configuration; raises msgspec.DecodeError."""

    def read_target(self, key: str, value: bytes) -> Target | None:
        """Decode a target's entry; one that can't be read names no target to use."""

    def read_target_id(self, key: str) -> str:
        """Return the id in the key of a target's entry."""

    def read_resolve(self, target: str) -> tuple[str, str, str]:
        """Return host name, region and data centre of a caller that asks where to connect."""

    def make_resolve_answer(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body that tells a caller where to connect."""

    def read_job_call(self, method: str, target: str, headers: dict[str, str]) -> JobCall | None:
        """Return the call on a job that a request makes, or None for other requests."""

    def read_job(self, body: bytes) -> tuple[JobItem, ...]:
        """Decode the items of a job; raises BadRequestError when any of it is malformed."""

    def make_results(self, total: int, after: int, results: list[ItemResult]) -> bytes:
        """Return a page of results."""

    def read_retirement(self, key: str) -> str:
        """Return the instance that an operator's retirement order names."""

    def make_retirement(self, instance: str, *, done: bool) -> tuple[str, bytes]:
        """Return key and value that report how far an instance is emptied."""

    def quote(self, text: str) -> str:
        """Return a caller's text in a form that may stand in a key."""
