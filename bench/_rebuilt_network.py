"""Alternative to the product's membership: views are rebuilt each period from counters.

Each instance increases its own counter once per period and exchanges all counters with the
neighbours that the product's membership would probe. Its view is computed from scratch: the members
whose counter increased within the last ``UNCHANGED_PERIODS_MAX`` periods.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from clementinepin.systems.rings import choose_fingers, order_ring

UNCHANGED_PERIODS_MAX = 12


class RebuiltNetwork:
    """Instances that exchange all their counters in virtual time.

    ``increased_at`` is the period in which a counter was last seen to increase.
    """

    def __init__(self, count: int) -> None:
        self.names = order_ring(f"instance-{index:04d}" for index in range(count))
        self.fingers = {name: choose_fingers(name, self.names) for name in self.names}
        self.counters = {name: dict.fromkeys(self.names, 0) for name in self.names}
        self.increased_at = {name: dict.fromkeys(self.names, 0) for name in self.names}
        self.down: set[str] = set()
        self.period = 0
        self.messages = 0
        self.bytes = 0

    def run(self, periods: int) -> None:
        """Run every running member for a number of periods."""
        for _ in range(periods):
            self.period += 1
            size = len(msgspec.msgpack.encode(self.counters[self.names[0]]))
            for name in self.names:
                if name not in self.down:
                    self._run_member(name, size)

    def agrees(self) -> bool:
        """Return whether every running member sees exactly the running members."""
        running = set(self.names) - self.down
        return all(self.build_view(name) == running for name in running)

    def build_view(self, name: str) -> set[str]:
        """Return the members that a member sees as live."""
        oldest = self.period - UNCHANGED_PERIODS_MAX
        return {other for other, period in self.increased_at[name].items() if period >= oldest}

    def count_periods(self, reached: Callable[[], bool], limit: int) -> int | None:
        """Run until a condition holds; return the periods, or None if the limit is exceeded."""
        for period in range(limit):
            if reached():
                return period
            self.run(1)
        return limit if reached() else None

    def _run_member(self, name: str, size: int) -> None:
        self.counters[name][name] += 1
        self.increased_at[name][name] = self.period
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
        counters, increased_at = self.counters[receiver], self.increased_at[receiver]
        for member, counter in self.counters[sender].items():
            if counter > counters[member]:
                counters[member] = counter
                increased_at[member] = self.period
