"""In-memory state of an instance: rows and the tables that hold them."""

from __future__ import annotations

from clementinepin.tables._accounts import AccountRow, AccountTable
from clementinepin.tables._calls import (
    CallInfo,
    CallResult,
    CallRow,
    CallTable,
    WaitingRow,
    WaitingTable,
)
from clementinepin.tables._demand import (
    AllowanceRow,
    DemandRow,
    DemandTable,
    IsolationRow,
    ReportedRow,
)
from clementinepin.tables._jobs import FileRecord, JobRow, JobState, PlanRow, ShardInput
from clementinepin.tables._measures import MeasureRow, MeasureTable, RetryRow, RetryTable
from clementinepin.tables._owners import OwnerTable
from clementinepin.tables._segments import HolderRow, SegmentRow
from clementinepin.tables._shards import (
    CommitRow,
    ProgressRow,
    ShardRow,
    ShardState,
    count_bits,
    has_bit,
    set_bits,
)
from clementinepin.tables._suspects import Loss, SuspectRow, SuspectTable
from clementinepin.tables._targets import TargetRow, TargetTable
from clementinepin.tables._view import Tables, View

__all__ = [
    "AccountRow",
    "AccountTable",
    "AllowanceRow",
    "CallInfo",
    "CallResult",
    "CallRow",
    "CallTable",
    "CommitRow",
    "DemandRow",
    "DemandTable",
    "FileRecord",
    "HolderRow",
    "IsolationRow",
    "JobRow",
    "JobState",
    "Loss",
    "MeasureRow",
    "MeasureTable",
    "OwnerTable",
    "PlanRow",
    "ProgressRow",
    "ReportedRow",
    "RetryRow",
    "RetryTable",
    "SegmentRow",
    "ShardInput",
    "ShardRow",
    "ShardState",
    "SuspectRow",
    "SuspectTable",
    "Tables",
    "TargetRow",
    "TargetTable",
    "View",
    "WaitingRow",
    "WaitingTable",
    "count_bits",
    "has_bit",
    "set_bits",
]
