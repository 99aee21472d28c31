"""Connection pools to targets, one per target."""

from __future__ import annotations

from typing import Any

from clementinepin.helpers.clock import Clock
from clementinepin.serving._fleet import FleetView
from clementinepin.serving.models import Target
from clementinepin.targets import TargetAddress, Transport, create_dialer
from clementinepin.targets.exceptions import TargetLostError
from clementinepin.targets.models import Relays


class TargetPools:
    """Transports by target id; those of removed or restarted targets are closed."""

    def __init__(self, fleet: FleetView, clock: Clock, relays: Relays | None = None) -> None:
        self._fleet = fleet
        self._clock = clock
        self._dialer = create_dialer(clock, relays)
        self._transports: dict[str, tuple[Target, Transport]] = {}
        fleet.subscribe(self._close_removed)

    def get(self, target: Target) -> Transport:
        """Return the transport to a target; it is replaced if the target moved or restarted."""
        current = self._transports.get(target.target_id)
        if current is not None and _is_same(current[0], target):
            return current[1]
        if current is not None:
            current[1].close()
        address = TargetAddress(target.target_id, target.host, target.port)
        transport = Transport(address, self._clock, self._dialer)
        self._transports[target.target_id] = target, transport
        return transport

    def list_warm(self) -> list[str]:
        """Return the ids of targets with an idle open connection."""
        return [name for name, (_, transport) in self._transports.items() if transport.idle]

    def is_link_lost(self, target_id: str, err: TargetLostError) -> bool:
        """Return whether a request was lost on the way to a target, not by the target.

        May wait for a check of the link.
        """
        current = self._transports.get(target_id)
        return current is not None and current[1].is_link_lost(err)

    def is_link_silent(self, target_id: str) -> bool:
        """Return whether a silence of a target is one of the own link; may wait for a check."""
        current = self._transports.get(target_id)
        return current is not None and current[1].is_link_silent()

    def describe_state(self) -> dict[str, Any]:
        """Return the targets that only other instances reach, as JSON-compatible values."""
        return {"relayed": self._dialer.list_relayed()}

    def _close_removed(self) -> None:
        for target_id in set(self._transports) - set(self._fleet.targets.rows):
            self._transports.pop(target_id)[1].close()


def _is_same(one: Target, other: Target) -> bool:
    """Return whether two rows of a target have the same address and start time."""
    return (one.host, one.port, one.started_at_ms) == (other.host, other.port, other.started_at_ms)
