"""In-process model of engines in virtual time, for benchmarks of the real deciders.

The engine works in steps like the stand-in engine. A step takes ``STEP_BASE_S``, plus
``STEP_ACTIVE_S`` for each running sequence, plus the prefill of each sequence that takes a slot.
Sequences are admitted in arrival order.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

STEP_BASE_S = 0.010
STEP_ACTIVE_S = 0.0005
PREFILL_TOKEN_S = 0.00005
WAITING_MAX = 64


class EventLoop:
    """Runs callbacks in virtual time; times are in seconds."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._sequence), callback))

    def run(self, until: float) -> None:
        """Run all callbacks due up to a time and set the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


class Location(NamedTuple):
    """Name of an entry and its data centre."""

    name: str
    data_centre: str


class Generation:
    """A sequence in an engine.

    The callbacks run when the engine produces a token; the caller adds the network delay.
    """

    def __init__(
        self,
        prompt_tokens: int,
        tokens_left: int,
        on_token: Callable[[int], None],
        on_done: Callable[[], None],
        *,
        online: bool,
    ) -> None:
        self.online = online
        self.prompt_tokens = prompt_tokens
        self.tokens_left = tokens_left
        self.produced = 0
        self.on_token = on_token
        self.on_done = on_done


class ModelEngine:
    """An engine with continuous batching and no priorities.

    ``blocked_until`` is the end of the last step in which an online sequence waited while a batch
    sequence ran. ``slot_seconds`` is the time that online sequences held slots.
    """

    def __init__(self, loop: EventLoop, slots: int) -> None:
        self._loop = loop
        self._slots = slots
        self._stepping = False
        self.waiting: deque[Generation] = deque()
        self.running: list[Generation] = []
        self.slot_seconds = 0.0
        self.blocked_until = 0.0

    def admit(self, generation: Generation) -> bool:
        """Queue a sequence; return False if the queue is full."""
        if len(self.waiting) >= WAITING_MAX:
            return False
        self.waiting.append(generation)
        if not self._stepping:
            self._begin_step()
        return True

    def cancel(self, generation: Generation) -> None:
        """Remove a sequence, running or waiting."""
        if generation in self.running:
            self.running.remove(generation)
        elif generation in self.waiting:
            self.waiting.remove(generation)

    def _begin_step(self) -> None:
        prefill_s = 0.0
        while self.waiting and len(self.running) < self._slots:
            generation = self.waiting.popleft()
            self.running.append(generation)
            prefill_s += generation.prompt_tokens * PREFILL_TOKEN_S
        self._stepping = bool(self.running)
        if not self._stepping:
            return
        step_s = prefill_s + STEP_BASE_S + STEP_ACTIVE_S * len(self.running)
        if self._is_blocked():
            self.blocked_until = self._loop.now + step_s
        self._loop.after(step_s, self._end_step)

    def _is_blocked(self) -> bool:
        """Return whether an online sequence waits while a batch sequence runs."""
        return any(g.online for g in self.waiting) and not all(g.online for g in self.running)

    def _end_step(self) -> None:
        for generation in list(self.running):
            generation.produced += 1
            generation.tokens_left -= 1
            generation.on_token(generation.produced)
            if generation.tokens_left <= 0:
                self.running.remove(generation)
                generation.on_done()
        self._begin_step()
