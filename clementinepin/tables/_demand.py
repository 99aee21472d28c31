"""Reports of online calls at targets, and the batch allowances derived from them."""

from __future__ import annotations

from typing import NamedTuple


class DemandRow(NamedTuple):
    """An instance's last report about one target; ``expires_at`` is monotonic seconds.

    ``online`` calls are in flight; ``waiting`` calls would take a slot there.
    """

    online: int
    waiting: int
    first_token_s: float
    between_tokens_s: float
    expires_at: float


class DemandTable:
    """Demand rows by target and instance."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, DemandRow]] = {}

    def put(self, target: str, instance: str, row: DemandRow) -> None:
        """Replace the report of an instance about a target."""
        self._rows.setdefault(target, {})[instance] = row

    def list_target(self, target: str) -> dict[str, DemandRow]:
        """Return the rows of a target by instance."""
        return self._rows.get(target, {})

    def expire(self, now: float, live: frozenset[str]) -> None:
        """Remove expired reports and those of instances that are not live."""
        self._rows = {
            target: kept
            for target, rows in self._rows.items()
            if (kept := {i: r for i, r in rows.items() if r.expires_at > now and i in live})
        }


class ReportedRow(NamedTuple):
    """The last report of this instance to the owner of a target's allowance."""

    online: int
    waiting: int
    reported_at: float


class AllowanceRow(NamedTuple):
    """State of the batch allowance of an owned target.

    ``recent`` and ``peak`` are decaying peaks of online calls over a short and a longer time.
    ``cap`` is the bound set by measured latency. All three are in slots. ``service_peak`` is the
    decaying peak of the service's share of slots in online use. All are as of ``updated_at``.
    """

    allowance: int = 0
    recent: float = 0.0
    peak: float = 0.0
    service_peak: float = 0.0
    cap: float = 0.0
    updated_at: float = 0.0


class IsolationRow(NamedTuple):
    """A target that its owner closed for all but one suspect, until a monotonic time."""

    fingerprint: str
    holder: str
    until: float
