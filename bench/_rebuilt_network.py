"""The other way that was weighed: each period every view is built anew from counters.

Each instance raises its own counter once a period and exchanges all counters with the same
neighbours that the patching membership probes. Its view is then computed from scratch: the
members whose counter rose lately.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from clementinepin.systems.rings import choose_fingers, order_ring

SILENT_PERIODS_MAX = 12


class RebuiltNetwork:
    """Counters of many instances, exchanged whole in virtual time."""

    def __init__(self, count: int) -> None:
        self.names = order_ring(f"instance-{index:04d}" for index in range(count))
        self.fingers = {name: choose_fingers(name, self.names) for name in self.names}
        self.counters = {name: dict.fromkeys(self.names, 0) for name in self.names}
        self.raised = {name: dict.fromkeys(self.names, 0) for name in self.names}
        self.down: set[str] = set()
        self.period = 0
        self.messages = 0
        self.bytes = 0

    def run(self, periods: int) -> None:
        """Run some periods."""
        for _ in range(periods):
            self.period += 1
            size = len(msgspec.msgpack.encode(self.counters[self.names[0]]))
            for name in self.names:
                if name not in self.down:
                    self._run_member(name, size)

    def agrees(self) -> bool:
        """Tell whether all running members see just the running members."""
        running = set(self.names) - self.down
        return all(self.build_view(name) == running for name in running)

    def build_view(self, name: str) -> set[str]:
        """Return the members that one member sees, computed from scratch."""
        oldest = self.period - SILENT_PERIODS_MAX
        return {other for other, period in self.raised[name].items() if period >= oldest}

    def count_periods(self, reached: Callable[[], bool], limit: int) -> int | None:
        """Return the periods run until a condition holds, or None beyond the limit."""
        for period in range(limit):
            if reached():
                return period
            self.run(1)
        return limit if reached() else None

    def _run_member(self, name: str, size: int) -> None:
        self.counters[name][name] += 1
        self.raised[name][name] = self.period
        fingers = self.fingers[name]
        target = fingers[self.period % len(fingers)]
        self.messages += 1
        self.bytes += size
        if target in self.down:
            return
        self.messages += 1
        self.bytes += size
        self._merge(target, name)
        self._merge(name, target)

    def _merge(self, receiver: str, sender: str) -> None:
        known, raised = self.counters[receiver], self.raised[receiver]
        for member, counter in self.counters[sender].items():
            if counter > known[member]:
                known[member] = counter
                raised[member] = self.period
