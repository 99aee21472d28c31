"""Which entry a caller uses: advice kept until its deadline."""

from __future__ import annotations

import json
import random
import time
from typing import Final

from standins.caller import Caller
from standins.fleet import Fleet

AVOID_S: Final = 2.0


class Directory:
    """Advised entries for one group of callers."""

    def __init__(self, fleet: Fleet, caller: Caller, rng: random.Random) -> None:
        self._fleet = fleet
        self._caller = caller
        self._rng = rng
        self._ports: list[int] = []
        self._valid_until = 0.0
        self._avoided: dict[int, float] = {}

    def pick(self) -> int:
        """Return an advised port; without advice any daemon's."""
        if time.time() >= self._valid_until:
            self._refresh()
        now = time.monotonic()
        ports = self._ports or [member.port for member in self._fleet.daemons]
        good = [port for port in ports if self._avoided.get(port, 0.0) < now]
        return self._rng.choice(good or ports)

    def avoid(self, port: int) -> None:
        """Leave a port alone for a while."""
        self._avoided[port] = time.monotonic() + AVOID_S

    def advises(self, port: int) -> bool:
        """Return whether fresh advice from any entry holds a port."""
        self._refresh()
        return port in self._ports

    def _refresh(self) -> None:
        members = list(self._fleet.daemons)
        self._rng.shuffle(members)
        now = time.monotonic()
        members.sort(key=lambda m: self._avoided.get(m.port, 0.0) >= now)
        for member in members:
            answer = self._caller.call(member.port, "GET", "/v1/entries")
            if answer.status == 200:
                advice = json.loads(answer.text)
                self._ports = [row["port"] for row in advice["data"]]
                self._valid_until = advice["valid_until"]
                return
            self.avoid(member.port)
        self._ports = []
