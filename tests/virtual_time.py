"""Virtual time for greenlets: sleeps end in the order of their due times, without waiting."""

from __future__ import annotations

import heapq
import itertools

from gevent import sleep as switch
from gevent.event import Event

SWITCHES_PER_STEP = 12  # let every runnable greenlet run until it waits again


class VirtualTime:
    """Replaces ``gevent.sleep``; moves a ManualClock to the end of the next sleep."""

    def __init__(self, clock):
        self.clock = clock
        self._sleepers = []
        self._order = itertools.count()

    def sleep(self, seconds=0.0, ref=True):
        event = Event()
        heapq.heappush(self._sleepers, (self.clock.now + seconds, next(self._order), event))
        event.wait()

    def run(self, greenlets, limit_s=600.0):
        """Run until all greenlets have ended; fail after ``limit_s`` virtual seconds."""
        end = self.clock.now + limit_s
        while True:
            for _ in range(SWITCHES_PER_STEP):
                switch(0)
            if all(g.dead for g in greenlets):
                return
            assert self._sleepers, "all greenlets wait for something other than a sleep"
            due, _, event = heapq.heappop(self._sleepers)
            assert due <= end, "the greenlets did not end within the virtual time limit"
            self.clock.now = max(self.clock.now, due)
            event.set()
