"""The interface that translates between the serving path and the platform's formats."""

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
    """A call on an existing job: ``verb`` is read, body or end. A read may wait ``wait_s``."""

    verb: str
    job_id: str
    after: int = 0
    item_id: str = ""
    wait_s: float = 0.0


class Wire(Protocol):
    """Names and formats of callers, targets and the store; its methods translate only."""

    config_key: str
    targets_prefix: str
    own_prefix: str
    retire_prefix: str
    ready_path: str
    resolve_path: str

    def read_request(self, headers: dict[str, str]) -> RequestFacts:
        """Decode lower-cased headers. Raises BadRequestError if there is no request id."""

    def read_request_id(self, target: str, headers: dict[str, str]) -> str:
        """Return the id of a request, or of the job in its path; empty if there is none."""

    def is_replaced_header(self, name: str) -> bool:
        """Return whether this lower-cased header is replaced in requests to targets."""

    def make_target_headers(
        self, target_id: str, time_left_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers that a target needs in addition to the caller's."""

    def make_resume_header(self, event_id: int) -> tuple[str, str]:
        """Return the header that resumes a stream after an event."""

    def make_item_headers(self, item: JobItem) -> list[tuple[str, str]]:
        """Return the headers of an item's request, its id included."""

    def is_refusal(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether a target's response proves that it did not run the request."""

    def is_response_to(self, request_id: str, status: int, headers: dict[str, str]) -> bool:
        """Return whether a response belongs to this request.

        It must name the request, except for failures that guarantee nothing about its execution.
        """

    def names_request(self, request_id: str, headers: dict[str, str]) -> bool:
        """Return whether a response names this request."""

    def names_other_request(self, request_id: str, headers: dict[str, str]) -> bool:
        """Return whether a response names another request than this one."""

    def has_signature(self, headers: dict[str, str]) -> bool:
        """Return whether a target signed its response."""

    def read_load(self, headers: dict[str, str]) -> tuple[int, int, int] | None:
        """Return (running, waiting, slots) from a response's headers, or None without them."""

    def read_limit(self, headers: dict[str, str]) -> float | None:
        """Return the requests a second that a target takes from all instances, None for any."""

    def says_leaving(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether the target that sent a response says that it leaves."""

    def read_configuration(self, value: bytes) -> RoutingConfiguration:
        """Decode the operators' configuration. Raises msgspec.DecodeError if it is invalid."""

    def read_target(self, key: str, value: bytes) -> Target | None:
        """Decode a target's entry; return None if it is invalid."""

    def read_target_id(self, key: str) -> str:
        """Return the id in the key of a target's entry."""

    def read_resolve(self, target: str) -> tuple[str, str, str]:
        """Return host name, region and data centre from a caller's directory request."""

    def make_resolve_response(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body of a directory response with the addresses to connect to."""

    def read_job_call(self, method: str, target: str, headers: dict[str, str]) -> JobCall | None:
        """Return the call on a job that the request makes, or None for other requests."""

    def read_job(self, body: bytes) -> tuple[JobItem, ...]:
        """Decode the items of a job. Raises BadRequestError if any part is malformed."""

    def make_results(self, total: int, after: int, results: list[ItemResult]) -> bytes:
        """Encode a page of results that starts after position ``after`` of ``total``."""

    def read_retirement(self, key: str) -> str:
        """Return the instance that an operator's retirement order names."""

    def make_retirement(self, instance: str, *, done: bool) -> tuple[str, bytes]:
        """Return the key and value that report whether an instance's retirement is done."""

    def quote(self, text: str) -> str:
        """Return a caller's text escaped for use in a key."""
