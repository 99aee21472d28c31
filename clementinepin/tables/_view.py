"""All tables of one instance, and its view of itself and the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementinepin.tables._accounts import AccountTable
from clementinepin.tables._calls import CallTable, WaitingTable
from clementinepin.tables._demand import AllowanceRow, DemandTable, IsolationRow, ReportedRow
from clementinepin.tables._measures import MeasureTable, RetryTable
from clementinepin.tables._owners import OwnerTable
from clementinepin.tables._suspects import SuspectTable
from clementinepin.tables._targets import TargetTable
from clementinepin.tables.crashes import CrashTable

if TYPE_CHECKING:
    from clementinepin.config import Configuration

SUSPECTS_MAX = 4_096


class View(NamedTuple):
    """Identity of this instance, the live instances and the configuration in force."""

    instance: str
    data_centre: str
    region: str
    live: tuple[str, ...]
    configuration: Configuration | None


class Tables:
    """The tables that the systems read and change.

    ``owned`` names the targets whose batch allowance this instance decides; ``followed`` names
    those that it routes to, by service. ``reported`` holds the last report per target, and
    ``last_report_at`` the time of the last report per owner (monotonic seconds).
    """

    def __init__(self) -> None:
        self.targets = TargetTable()
        self.calls = CallTable()
        self.online = WaitingTable()
        self.batch = WaitingTable()
        self.accounts = AccountTable()
        self.demand = DemandTable()
        self.measures = MeasureTable()
        self.retries = RetryTable()
        self.suspects = SuspectTable(SUSPECTS_MAX)
        self.crashes = CrashTable()
        self.owners = OwnerTable()
        self.owned: frozenset[str] = frozenset()
        self.followed: dict[str, tuple[str, ...]] = {}
        self.reported: dict[str, ReportedRow] = {}
        self.last_report_at: dict[str, float] = {}
        self.allowances: dict[str, AllowanceRow] = {}
        self.isolations: dict[str, IsolationRow] = {}
        self.online_virtual = 0.0
        self.batch_virtual = 0.0
