"""Greenlets in virtual time: sleeps end in order without waiting."""

from __future__ import annotations

import heapq
import itertools

from gevent import sleep as switch
from gevent.event import Event

SETTLE_SWITCHES = 12


class VirtualTime:
    """Replaces ``gevent.sleep`` and drives a ManualClock to the next sleeper's end."""

    def __init__(self, clock):
        self.clock = clock
        self._sleepers = []
        self._order = itertools.count()

    def sleep(self, seconds=0.0, ref=True):
        event = Event()
        heapq.heappush(self._sleepers, (self.clock.now + seconds, next(self._order), event))
        event.wait()

    def run(self, greenlets, limit_s=600.0):
        end = self.clock.now + limit_s
        while True:
            for _ in range(SETTLE_SWITCHES):
                switch(0)
            if all(g.dead for g in greenlets):
                return
            assert self._sleepers, "all greenlets wait for something other than time"
            due, _, event = heapq.heappop(self._sleepers)
            assert due <= end, "not done within the virtual time limit"
            self.clock.now = max(self.clock.now, due)
            event.set()
