"""Random faults from outside the daemons: signals, store faults, broken connections and targets.

The seed determines their kinds, order and times. Faults may overlap; all end before the final
checks.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Collection
from typing import Any

import gevent

from soak._fleet import SERVICE, VERSIONS, Fleet, Instance
from soak._odd_entries import make_rows
from soak._releases import NAME as RELEASE_NAME
from soak._releases import Releases
from soak._target import SPLIT_SERVICES

SPLIT_WEIGHTS = ((100, 0), (0, 100), (10, 90), (90, 10), (50, 50))


class Faults:
    """Injects faults; ``log`` has a line with the time in seconds and the kind of each.

    With ``words`` only kinds whose name has one of them are injected.
    """

    _version = 1  # of the configuration
    _split_engines = 0
    _moves_split = False

    def __init__(
        self, fleet: Fleet, releases: Releases, seed: int, words: Collection[str] = ()
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self.log: list[str] = []
        self._active: list[gevent.Greenlet] = []
        self._kinds: list[tuple[str, Callable[[], None]]] = [
            ("kill an instance", self._kill_instance),
            ("terminate an instance", self._terminate_instance),
            ("pause an instance", self._pause_instance),
            ("kill all runners", self._kill_runners),
            ("store down", lambda: self._fault_store(down=True)),
            ("store busy", lambda: self._fault_store(busy=True)),
            ("store resets", lambda: self._fault_store(reset=True)),
            ("store slow", lambda: self._fault_store(delay_s=0.25)),
            ("store loses replies", self._lose_store_replies),
            ("store history compacted", self._compact_store),
            ("leases expire", lambda: self._fleet.gateway.state.expire_all_leases()),
            ("store connection disturbed", self._disturb_store_connection),
            ("target crashes", self._crash_target),
            ("all targets crash", self._crash_all_targets),
            ("target is replaced", self._replace_target),
            ("target stops responding", self._block_target),
            ("target responses lost", self._lose_target_responses),
            ("target events cut", self._cut_events),
            ("configuration changes", self._change_configuration),
        ]
        if not fleet.has_two_builds:
            # The former build may not bear these.
            self._kinds += [
                ("target is replaced by another version", self._release_target),
                ("target responses without end", self._send_without_end),
                ("a prompt part crashes targets", self._add_crashing_part),
                ("target names a limit", self._limit_target),
                ("links to targets are cut", self._cut_links),
                ("target says it leaves", self._let_target_leave),
                ("targets fall silent", self._silence_targets),
                ("a version leaves, then a kill", self._kill_behind_a_release),
                ("target repeats a refusal", lambda: self._spoil("refusals_to_repeat")),
                ("target repeats a failure", self._repeat_failures),
                ("target writes errors", lambda: self._spoil("errors_to_write")),
                ("target truncates heads", lambda: self._spoil("heads_to_truncate")),
                (RELEASE_NAME, releases.inject),
                ("target stops within its head", lambda: self._spoil("heads_to_cut")),
                ("odd entries of targets", self._write_odd_entries),
                ("a split moves", self._move_split),
                ("target breaks long uploads", lambda: self._spoil("uploads_to_break")),
                ("target answers oddly", lambda: self._spoil("odd_answers")),
            ]
        self._kinds = [k for k in self._kinds if not words or any(w in k[0] for w in words)]

    def run(self, until: float, pause_s: float) -> None:
        """Inject faults until ``until``, with pauses of 0.3 to ``2 * pause_s`` seconds.

        A fault that lasts longer than the pause overlaps with the next one.
        """
        while self._fleet.now() < until:
            gevent.sleep(self._random.uniform(0.3, 2 * pause_s))
            name, inject = self._random.choice(self._kinds)
            self.log.append(f"{self._fleet.now():6.2f} {name}")
            self._active.append(gevent.spawn(inject))

    def end_all(self) -> None:
        """Wait for the active faults, clear the others and start instances that are down."""
        gevent.joinall(self._active, timeout=15)
        for fault, value in self._fleet.gateway.faults.items():
            self._fleet.gateway.faults[fault] = type(value)()
        for instance in self._fleet.instances:
            instance.proxy.clear()
            instance.cut_links([], "", "")
            instance.cut_off([], "", "")
            instance.send(signal.SIGCONT)
            if not instance.is_running():
                instance.start()
        for proxy in self._fleet.proxies.values():
            proxy.clear()

    def _choose_instance(self) -> Instance:
        return self._random.choice(self._fleet.instances)

    def _kill_instance(self) -> None:
        self._restart_instance(self._choose_instance(), signal.SIGKILL)

    def _kill_runners(self) -> None:
        for instance in self._fleet.instances:
            if not instance.is_front:
                gevent.spawn(self._restart_instance, instance, signal.SIGKILL)
        gevent.sleep(1.5)

    def _terminate_instance(self) -> None:
        self._restart_instance(self._choose_instance(), signal.SIGTERM)

    def _restart_instance(self, instance: Instance, signal_number: signal.Signals) -> None:
        """End an instance with a signal, wait up to 6 s for its end, and start it again.

        Does nothing if another fault is restarting the instance. One that ended unexpectedly before
        is only started again.
        """
        if instance.is_restarting:
            return
        instance.is_restarting = True
        if instance.is_running():
            instance.send(signal_number)
        for _ in range(60):
            if not instance.is_running():
                break
            gevent.sleep(0.1)
        gevent.sleep(self._random.uniform(0.1, 1.0))
        if not instance.is_running():
            instance.start()
        instance.is_restarting = False

    def _pause_instance(self) -> None:
        instance = self._choose_instance()
        instance.send(signal.SIGSTOP)
        gevent.sleep(self._random.uniform(0.3, 3.5))
        instance.send(signal.SIGCONT)

    def _fault_store(self, **faults: Any) -> None:
        self._fleet.gateway.faults.update(faults)
        gevent.sleep(self._random.uniform(0.3, 3.0))
        for name, value in faults.items():
            self._fleet.gateway.faults[name] = type(value)()

    def _lose_store_replies(self) -> None:
        kind = self._random.choice(("lose_replies", "late_writes"))
        self._fleet.gateway.faults[kind] = self._random.randint(1, 4)

    def _compact_store(self) -> None:
        """Drop the store's history of changes, so that watches have to list again."""
        self._fleet.gateway.state.compacted = self._fleet.gateway.state.revision

    def _disturb_store_connection(self) -> None:
        """Hold back, refuse or delay the data of one instance's connections to the store."""
        proxy = self._choose_instance().proxy
        fault = self._random.choice(("hold_requests", "hold_replies", "refusing", "delay"))
        if fault == "delay":
            proxy.delay_s = 0.3
        else:
            setattr(proxy, fault, True)
        if fault == "refusing":
            proxy.reset_connections()
        gevent.sleep(self._random.uniform(0.5, 4.0))
        proxy.clear()

    def _choose_target(self) -> str:
        return self._random.choice(sorted(self._list_targets()))

    def _list_targets(self) -> list[str]:
        """Return the engines that don't belong to a release."""
        return [name for name, t in self._fleet.targets.items() if t.service == SERVICE]

    def _crash_target(self) -> None:
        self._fleet.crash_target(self._choose_target(), self._random.uniform(0.2, 1.0))

    def _crash_all_targets(self) -> None:
        down_s = self._random.uniform(0.5, 4.5)
        for name in self._list_targets():
            self._fleet.crash_target(name, down_s)

    def _add_crashing_part(self) -> None:
        self._fleet.crashing_parts.add(f"bad{len(self._fleet.crashing_parts)}")

    def _limit_target(self) -> None:
        target = self._fleet.targets[self._choose_target()]
        target.limit_per_s = self._random.uniform(0.0, 6.0)
        gevent.sleep(self._random.uniform(1.0, 5.0))
        target.limit_per_s = None

    def _cut_links(self) -> None:
        """Cut the links of some instances to some or all targets, in one way or two in series."""
        instances = [i for i in self._fleet.instances if self._random.random() < 0.5]
        share = self._random.choice((0.3, 1.0))
        ports = [p.port for p in self._fleet.proxies.values() if self._random.random() < share]
        for _ in range(self._random.randint(1, 2)):
            new = self._random.choice(("hang", "refuse"))
            opened = self._random.choice(("hang", "reset", "none"))
            for instance in instances:
                instance.cut_links(ports, new, opened)
            gevent.sleep(self._random.uniform(0.5, 4.0))
        for instance in instances:
            instance.cut_links([], "", "")

    def _release_target(self) -> None:
        """Add an engine of another version, then remove one."""
        name = self._choose_target()
        version = self._random.choice(VERSIONS)
        self._fleet.add_target(f"{name}{version}", version)
        gevent.sleep(self._random.uniform(0.0, 2.0))
        if name in self._fleet.targets:
            self._fleet.remove_target(name)

    def _let_target_leave(self) -> None:
        """Add an engine, let another one say that it leaves and go on, then remove that one."""
        name = self._choose_target()
        self._fleet.add_target(f"{name}l", self._fleet.targets[name].version)
        self._fleet.targets[name].says_leaving = True
        gevent.sleep(self._random.uniform(1.0, 5.0))
        if name in self._fleet.targets:
            self._fleet.remove_target(name)

    def _silence_targets(self) -> None:
        """Let some or all sound engines fall silent for a second as the configuration changes."""
        share = self._random.choice((0.5, 1.0))
        targets = [t for t in self._fleet.targets.values() if self._random.random() < share]
        self._change_configuration()
        for target in targets:
            target.speaks.clear()
        gevent.sleep(self._random.uniform(0.8, 1.3))
        for target in targets:
            target.speaks.set()

    def _kill_behind_a_release(self) -> None:
        """Replace all engines of a version by others, and kill all instances, or all entries."""
        former, later = self._random.sample(VERSIONS, 2)
        names = [n for n in self._list_targets() if self._fleet.targets[n].version == former]
        only_fronts = self._random.random() < 0.5
        for name in names:
            self._fleet.add_target(f"{name}k", later)
        gevent.sleep(self._random.uniform(0.5, 1.5))
        names = [name for name in names if name in self._fleet.targets]
        for name in names:
            self._fleet.unregister_target(name)
        gevent.sleep(self._random.uniform(0.0, 0.2))
        killed = [i for i in self._fleet.instances if i.is_front or not only_fronts]
        gevent.joinall([gevent.spawn(self._restart_instance, i, signal.SIGKILL) for i in killed])
        for name in names:
            if name in self._fleet.targets:
                self._fleet.remove_target(name)

    def _move_split(self) -> None:
        """Change the weights of a split, and take the engines of one of its services away.

        That is the one without weight, or any while the other one has weight and engines.
        """
        if self._moves_split:
            return
        self._moves_split = True
        fleet = self._fleet
        fleet.split_weights = self._random.choice(SPLIT_WEIGHTS)
        pairs = dict(zip(SPLIT_SERVICES, fleet.split_weights, strict=True))
        kept = self._random.choice([name for name, weight in pairs.items() if weight])
        former = [name for name, t in fleet.targets.items() if t.service in pairs]
        self._split_engines += 1
        fleet.add_target(f"p{self._split_engines}", VERSIONS[0], kept)
        gevent.sleep(self._random.uniform(0.2, 1.0))
        self._change_configuration()
        gevent.sleep(self._random.uniform(0.0, 3.0))
        for name in former:
            fleet.remove_target(name)
        self._moves_split = False

    def _write_odd_entries(self) -> None:
        """Leave odd rows, one in the place of an engine's entry, and add an engine behind them."""
        name = self._choose_target()
        for key, value in make_rows(self._random, name).items():
            self._fleet.gateway.state.put(key, value, None)
        self._fleet.add_target(f"{name}o", self._fleet.targets[name].version)
        gevent.sleep(self._random.uniform(0.3, 3.0))
        if name in self._fleet.targets:
            self._fleet.register_again(name)
            self._fleet.remove_target(name)

    def _spoil(self, fault: str) -> None:
        """Add to the responses that an engine spoils in one way."""
        target = self._fleet.targets[self._choose_target()]
        setattr(target, fault, getattr(target, fault) + self._random.randint(1, 3))

    def _repeat_failures(self) -> None:
        """Let the runs of some items fail at all engines, each with a copy of its failure."""
        for name in self._list_targets():
            self._fleet.targets[name].failures_to_repeat += self._random.randint(4, 12)

    def _send_without_end(self) -> None:
        target = self._fleet.targets[self._choose_target()]
        target.responses_without_end += self._random.randint(1, 2)

    def _replace_target(self) -> None:
        name = self._choose_target()
        self._fleet.add_target(f"{name}x", self._fleet.targets[name].version)
        self._fleet.remove_target(name)

    def _block_target(self) -> None:
        proxy = self._fleet.proxies[self._choose_target()]
        proxy.hold_replies = proxy.hold_requests = True
        gevent.sleep(self._random.uniform(0.5, 3.0))
        proxy.clear()

    def _lose_target_responses(self) -> None:
        self._fleet.targets[self._choose_target()].responses_to_lose += self._random.randint(1, 3)

    def _cut_events(self) -> None:
        self._fleet.targets[self._choose_target()].events_to_cut += self._random.randint(1, 3)

    def _change_configuration(self) -> None:
        self._version += self._random.randint(1, 5)
        self._fleet.put_configuration(self._version)
