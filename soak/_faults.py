"""Faults from outside, drawn by a seed: in series, overlapping, and lifted in the end."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from typing import Any

import gevent

from soak._fleet import Fleet, Instance


class Faults:
    """Injects faults until told to stop; ``log`` keeps what was done and when."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self.log: list[str] = []
        self._running: list[gevent.Greenlet] = []
        self._kinds: list[tuple[str, Callable[[], None]]] = [
            ("kill an instance", self._kill),
            ("stop an instance in turn", self._terminate),
            ("pause an instance", self._pause),
            ("kill all runners", self._kill_runners),
            ("store down", lambda: self._fault_store(down=True)),
            ("store busy", lambda: self._fault_store(busy=True)),
            ("store resets", lambda: self._fault_store(reset=True)),
            ("store slow", lambda: self._fault_store(delay_s=0.25)),
            ("store loses answers", self._lose_answers),
            ("store forgets", self._compact),
            ("leases lapse", lambda: self._fleet.gateway.state.lapse_leases()),
            ("cut from the store", self._cut),
            ("target crashes", self._crash_target),
            ("target is replaced", self._replace_target),
            ("target is silent", self._silence_target),
            ("answers are lost", self._lose_target_answers),
            ("events are cut", self._cut_events),
            ("configuration changes", self._configure),
        ]
        self._version = 1

    def run(self, until: float, pause_s: float) -> None:
        """Inject faults until a time; they overlap when they last longer than the pause."""
        while self._fleet.now() < until:
            gevent.sleep(self._random.uniform(0.3, 2 * pause_s))
            name, act = self._random.choice(self._kinds)
            self.log.append(f"{self._fleet.now():6.2f} {name}")
            self._running.append(gevent.spawn(act))

    def lift(self) -> None:
        """Wait for all faults to end, and start what is down."""
        gevent.joinall(self._running, timeout=12)
        for fault, value in self._fleet.gateway.faults.items():
            self._fleet.gateway.faults[fault] = type(value)()
        for instance in self._fleet.instances:
            instance.proxy.clear()
            instance.send(signal.SIGCONT)
            if not instance.is_running():
                instance.start()
        for proxy in self._fleet.proxies.values():
            proxy.clear()

    def _choose(self) -> Instance:
        return self._random.choice(self._fleet.instances)

    def _kill(self) -> None:
        self._restart(self._choose(), signal.SIGKILL)

    def _kill_runners(self) -> None:
        for instance in self._fleet.instances:
            if not instance.front:
                gevent.spawn(self._restart, instance, signal.SIGKILL)
        gevent.sleep(1.5)

    def _terminate(self) -> None:
        self._restart(self._choose(), signal.SIGTERM)

    def _restart(self, instance: Instance, number: signal.Signals) -> None:
        if instance.planned:
            return
        instance.send(number)
        for _ in range(60):
            if not instance.is_running():
                break
            gevent.sleep(0.1)
        gevent.sleep(self._random.uniform(0.1, 1.0))
        if not instance.is_running():
            instance.start()

    def _pause(self) -> None:
        instance = self._choose()
        instance.send(signal.SIGSTOP)
        gevent.sleep(self._random.uniform(0.3, 3.5))
        instance.send(signal.SIGCONT)

    def _fault_store(self, **faults: Any) -> None:
        self._fleet.gateway.faults.update(faults)
        gevent.sleep(self._random.uniform(0.3, 3.0))
        for name, value in faults.items():
            self._fleet.gateway.faults[name] = type(value)()

    def _lose_answers(self) -> None:
        kind = self._random.choice(("lose_replies", "late_writes"))
        self._fleet.gateway.faults[kind] = self._random.randint(1, 4)

    def _compact(self) -> None:
        self._fleet.gateway.state.compacted = self._fleet.gateway.state.revision

    def _cut(self) -> None:
        proxy = self._choose().proxy
        fault = self._random.choice(("deaf", "mute", "refusing", "delay"))
        if fault == "delay":
            proxy.delay_s = 0.3
        else:
            setattr(proxy, fault, True)
        if fault == "refusing":
            proxy.reset_all()
        gevent.sleep(self._random.uniform(0.5, 4.0))
        proxy.clear()

    def _choose_target(self) -> str:
        return self._random.choice(sorted(self._fleet.targets))

    def _crash_target(self) -> None:
        self._fleet.targets[self._choose_target()].crash()

    def _replace_target(self) -> None:
        name = self._choose_target()
        self._fleet.add_target(f"{name}x")
        self._fleet.remove_target(name)

    def _silence_target(self) -> None:
        proxy = self._fleet.proxies[self._choose_target()]
        proxy.mute = proxy.deaf = True
        gevent.sleep(self._random.uniform(0.5, 3.0))
        proxy.clear()

    def _lose_target_answers(self) -> None:
        self._fleet.targets[self._choose_target()].lose_answers += self._random.randint(1, 3)

    def _cut_events(self) -> None:
        self._fleet.targets[self._choose_target()].cut_events += self._random.randint(1, 3)

    def _configure(self) -> None:
        self._version += self._random.randint(1, 5)
        self._fleet.put_configuration(self._version)
