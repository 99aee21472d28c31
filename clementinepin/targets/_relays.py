"""Asks other instances for a way to a target, several at a time if they are slow."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

import gevent
from gevent.queue import Queue

from clementinepin.helpers.clock import Clock
from clementinepin.targets._attempts import start_attempt
from clementinepin.targets.exceptions import TargetNotReachedError
from clementinepin.targets.models import Channel, TargetAddress

RELAYS_MAX: Final = 3  # two of them may be cut off as well
HEDGE_DELAY_S: Final = 0.1
UNABLE_S: Final = 2.0  # how long an instance that did not reach a target ranks behind others


class Relay(NamedTuple):
    """An instance that may reach targets; those with a lower ``rank`` are asked first."""

    name: str
    rank: int = 0


class HedgedRelays:
    """Implements ``Relays`` by asking one instance after the other.

    ``list_relays`` returns the other instances. ``ask`` gets an instance's name, a target and a
    monotonic deadline, and returns a channel or raises TargetNotReachedError.
    """

    def __init__(
        self,
        list_relays: Callable[[], list[Relay]],
        ask: Callable[[str, TargetAddress, float], Channel],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._list_relays = list_relays
        self._ask = ask
        self._clock = clock
        self._random = rng
        self._unable_until: dict[str, float] = {}

    def open(self, target: TargetAddress, deadline: float) -> tuple[Channel, str]:
        """Return a channel to the target and the name of its relay.

        Another relay is asked when one fails, or after HEDGE_DELAY_S. Raises TargetNotReachedError.
        """
        outcomes: Queue = Queue()
        remaining = self._choose()
        unable: list[str] = []
        running, refused, failure = 0, False, "no other instance is known"
        while remaining or running:
            if remaining:
                name = remaining.pop(0)
                start_attempt(outcomes, name, partial(self._ask, name, target, deadline))
                running += 1
            with gevent.Timeout(HEDGE_DELAY_S if remaining else None, False):
                outcome = outcomes.get()
                running -= 1
                if outcome.failure is None:
                    self._mark_unable(unable)
                    gevent.spawn(_close_others, outcomes, running)
                    return outcome.result, outcome.name
                unable.append(outcome.name)
                refused = refused or outcome.failure.refused
                failure = f"{outcome.name}: {outcome.failure.message}"
        raise TargetNotReachedError(f"no relay reaches {target.name}: {failure}", refused=refused)

    def _choose(self) -> list[str]:
        """Return up to RELAYS_MAX relays, the best first; of equal ones in a random order."""
        now = self._clock.monotonic()
        relays = list(self._list_relays())
        self._random.shuffle(relays)
        relays.sort(key=lambda r: (now < self._unable_until.get(r.name, 0.0), r.rank))
        return [relay.name for relay in relays[:RELAYS_MAX]]

    def _mark_unable(self, names: list[str]) -> None:
        """Rank relays behind others that failed to reach a target which another one reached."""
        now = self._clock.monotonic()
        self._unable_until = {n: at for n, at in self._unable_until.items() if at > now}
        self._unable_until.update(dict.fromkeys(names, now + UNABLE_S))


def _close_others(outcomes: Queue, running: int) -> None:
    """Close the channels that open after another one was chosen."""
    for _ in range(running):
        channel = outcomes.get().result
        if channel is not None:
            channel.close()
