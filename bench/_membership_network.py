"""Network of membership tables that exchange messages in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from clementinepin.infrastructure import ListedInstance
from clementinepin.systems import membership
from clementinepin.tables.membership import MemberState

Link = Callable[[str, str], bool]


def create_instance(index: int, data_centres: int = 12) -> ListedInstance:
    """Return a live instance with a generated name, address and data centre."""
    data_centre = f"dc{index % data_centres}"
    name = f"instance-{index:04d}"
    address = f"10.0.{index // 250}.{index % 250}"
    return ListedInstance(
        name, "clementinepin", address, 8000, 8001, data_centre, "region-1", "live"
    )


class MembershipNetwork:
    """Runs every member once per period.

    ``link`` returns whether a message from a sender reaches a receiver. Members in ``down`` don't
    run. ``messages`` and ``bytes`` count what is sent.
    """

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.link: Link = lambda _sender, _receiver: True
        self.listed = [create_instance(index) for index in range(count)]
        self.tables = {
            row.name: membership.create_table(row, 1000 + index, self.now)
            for index, row in enumerate(self.listed)
        }
        self.down: set[str] = set()
        self.messages = 0
        self.bytes = 0
        for table in self.tables.values():
            membership.merge_listed(table, self.listed)

    def run(self, periods: int) -> None:
        """Run every running member for a number of periods."""
        for _ in range(periods):
            self.now += membership.PROBE_PERIOD_S
            for name in sorted(self.tables):
                if name not in self.down:
                    self._run_member(name)

    def count_periods(self, reached: Callable[[], bool], limit: int) -> int | None:
        """Run until a condition holds; return the periods, or None if the limit is exceeded."""
        for period in range(limit):
            if reached():
                return period
            self.run(1)
        return limit if reached() else None

    def views(self) -> dict[str, list[str]]:
        """Return the live members that each running member sees."""
        return {
            name: membership.list_live(table)
            for name, table in self.tables.items()
            if name not in self.down
        }

    def agrees(self) -> bool:
        """Return whether every running member sees exactly the running members as live."""
        running = sorted(set(self.tables) - self.down)
        return all(view == running for view in self.views().values())

    def restart(self, name: str, incarnation: int) -> None:
        """Start a new process of a member, with an empty table and a new incarnation."""
        instance = next(row for row in self.listed if row.name == name)
        self.tables[name] = membership.create_table(instance, incarnation, self.now)
        membership.merge_listed(self.tables[name], self.listed)
        self.down.discard(name)

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        return receiver not in self.down and self.link(sender, receiver)

    def _count(self, message: object) -> None:
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(message))

    def _run_member(self, name: str) -> None:
        table = self.tables[name]
        target = membership.advance(table, self.now, self.random)
        if target is None or self._probe(name, target):
            return
        for relay in membership.choose_relays(table, target, self.random):
            self.messages += 2
            if self._is_delivered(name, relay) and self._is_delivered(relay, target):
                return
        membership.record_unanswered_probe(table, target, self.now, self.now)

    def _probe(self, name: str, target: str) -> bool:
        table, other = self.tables[name], self.tables[target]
        was_dead = table.rows[target].state == MemberState.DEAD
        probe = membership.create_exchange(table, target)
        self._count(probe)
        if not self._is_delivered(name, target):
            return False
        membership.accept_exchange(other, probe, self.now)
        reply = membership.create_exchange(other, name)
        self._count(reply)
        if membership.accept_exchange(table, reply, self.now) or was_dead:
            self._sync(name, target)
        return True

    def _sync(self, name: str, target: str) -> None:
        table, other = self.tables[name], self.tables[target]
        digests = list(table.digests)
        seed = self.random.getrandbits(32)
        rows = membership.select_differing(other, digests, seed)
        own_rows = membership.select_differing(table, list(other.digests), seed)
        self._count((digests, rows))
        self._count(own_rows)
        membership.merge_compared(table, rows, self.now)
        membership.merge_compared(other, own_rows, self.now)
