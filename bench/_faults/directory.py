"""Choose entries for callers; the advice of the fleet is cached until it expires."""

from __future__ import annotations

import json
import random
import time
from typing import Final

from standins.caller import Caller
from standins.fleet import Fleet

AVOID_S: Final = 2.0


class Directory:
    """Advised entries for one group of callers; entries that failed are avoided for a while."""

    def __init__(self, fleet: Fleet, caller: Caller, rng: random.Random) -> None:
        self._fleet = fleet
        self._caller = caller
        self._rng = rng
        self._ports: list[int] = []
        self._valid_until = 0.0
        self._avoided: dict[int, float] = {}

    def pick(self) -> int:
        """Return the port of an advised entry, or of any daemon if there is no advice."""
        if time.time() >= self._valid_until:
            self._refresh()
        now = time.monotonic()
        ports = self._ports or [member.port for member in self._fleet.daemons]
        usable = [port for port in ports if self._avoided.get(port, 0.0) < now]
        return self._rng.choice(usable or ports)

    def avoid(self, port: int) -> None:
        """Prefer other ports for ``AVOID_S`` seconds."""
        self._avoided[port] = time.monotonic() + AVOID_S

    def is_advised(self, port: int) -> bool:
        """Fetch new advice and return whether it contains the port."""
        self._refresh()
        return port in self._ports

    def _refresh(self) -> None:
        """Fetch advice from the first entry that answers; avoided entries are tried last.

        If none answers, there is no advice.
        """
        members = list(self._fleet.daemons)
        self._rng.shuffle(members)
        now = time.monotonic()
        members.sort(key=lambda m: self._avoided.get(m.port, 0.0) >= now)
        for member in members:
            response = self._caller.call(member.port, "GET", "/v1/entries")
            if response.status == 200:
                advice = json.loads(response.text)
                self._ports = [row["port"] for row in advice["data"]]
                self._valid_until = advice["valid_until"]
                return
            self.avoid(member.port)
        self._ports = []
