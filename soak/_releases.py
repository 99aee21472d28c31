"""Releases of another software version while one instance is out of step.

The instance misses the engines of the later version. Streams that begin at these through other
entries break off at their callers, who resume them at this instance, during its disruption and just
behind it. Each release has a service of its own, whose engines had one version until then.
"""

from __future__ import annotations

import itertools
import random
import signal
from collections import Counter
from typing import NamedTuple

import gevent

from soak._callers import Callers, Response
from soak._fleet import RELEASED_SERVICES, VERSIONS, Fleet, Instance
from soak._target import make_text

NAME = "an instance is out of step in a release"
DISRUPTIONS = ("stopped", "cut off from all", "cut off from instances", "cut off from the store")
MANNERS = (("refuse", "reset"), ("refuse", "hang"), ("hang", "reset"), ("hang", "hang"))
ENTRY_SHARE = 0.8  # of the instances that are out of step; the others run jobs
FOLLOWED_S = 1.0  # until all instances know the engines of the former version
UNNOTICED_S = 1.0  # until an instance may know that it is out of step
UNNOTICED_PAUSE_S = 0.04
UNNOTICED_WAIT_MAX_S = 0.25
PAUSE_S = 0.1
WAIT_MAX_S = 0.8
WAITING_SHARE = 1 / 3  # of the callers, who resume just behind the disruption
BEHIND_S = 1.5
EVENTS = 20
SLOTS = 16  # of an engine; callers resume in bursts
BREAK_EVENTS = 3
DEADLINE_MS = 10_000  # a stream is remembered until then
TRIES_MAX = 3
TRY_PAUSE_S = 0.4
CALM_S = 3.0
CALM_DISRUPTION_S = 2.5
CALM_STREAMS = 16
GONE_ON_SHARE_MIN = 0.5  # of the share of new streams that begin


class BegunStream(NamedTuple):
    """A stream that broke off at its caller; its events so far are of one version."""

    stream_id: str
    service: str
    headers: dict[str, str]
    body: bytes
    version: str


class Release(NamedTuple):
    """A release of a service, with the instance that is out of step and how it becomes so."""

    service: str
    former: str
    later: str
    instance: Instance
    disruption: str
    manner: tuple[str, str]
    duration_s: float
    engines: list[str]


class Releases:
    """Injects releases and counts the outcomes of resumptions, by disruption and phase."""

    def __init__(self, fleet: Fleet, callers: Callers, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._is_running = False
        self._fronts = [instance for instance in fleet.instances if instance.is_front]
        self._runners = [instance for instance in fleet.instances if not instance.is_front]
        self.outcomes: dict[tuple[str, str], Counter[str]] = {}

    def inject(self) -> None:
        """Run one release, with its disruption and its callers, unless another one is running."""
        if self._is_running:
            return
        self._is_running = True
        release = self._draw(self._random.uniform(1.0, 5.0))
        try:
            self._add_engines(release, release.former, self._random.randint(1, 2))
            gevent.sleep(FOLLOWED_S)
            until = self._fleet.now() + release.duration_s
            disrupting = gevent.spawn(self._disrupt, release)
            changing = gevent.spawn(self._change_engines, release)
            calling = self._run_callers(release, until)
            gevent.joinall([disrupting, changing, *calling])
        finally:
            self._remove_engines(release.engines)
            self._is_running = False

    def check_calm_streams(self) -> None:
        """Check how many resumed streams go on in a calm fleet, behind a disruption of an entry.

        Two engines of each version serve. Half of the streams began during the disruption.
        """
        release = self._draw(CALM_DISRUPTION_S)._replace(instance=self._random.choice(self._fronts))
        self._add_engines(release, release.former, 2)
        gevent.sleep(FOLLOWED_S)
        disrupting = gevent.spawn(self._disrupt, release)
        self._add_engines(release, release.later, 2)
        gevent.sleep(CALM_DISRUPTION_S - CALM_STREAMS * PAUSE_S)
        former_streams = self._begin_streams(release)
        disrupting.join()
        gevent.sleep(CALM_S)
        new_streams = self._begin_streams(release)
        streams = [stream for stream in former_streams + new_streams if stream is not None]
        ip = release.instance.ip
        resuming = []
        for stream in streams:
            resuming.append(gevent.spawn(self._resume, release, stream, ip, "calm"))
            gevent.sleep(PAUSE_S)
        gevent.joinall(resuming)
        self._remove_engines(release.engines)
        gone_on = sum(task.value[0] == "went on" for task in resuming)
        begun = sum(stream is not None for stream in new_streams)
        share, begun_share = gone_on / max(1, len(streams)), begun / CALM_STREAMS
        if not streams or share < GONE_ON_SHARE_MIN * begun_share:
            self._callers.broken.append(
                f"{release.instance.name}, {release.disruption} before: {gone_on} of {len(streams)}"
                f" resumed streams went on, {begun} of {CALM_STREAMS} new ones began"
            )

    def describe_outcomes(self) -> list[str]:
        """Return a line for each disruption and phase with the counts of the outcomes."""
        return [
            f"{disruption}, resumed {phase}: "
            + ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
            for (disruption, phase), counts in sorted(self.outcomes.items())
        ]

    def _draw(self, duration_s: float) -> Release:
        service = RELEASED_SERVICES[next(self._numbers) % len(RELEASED_SERVICES)]
        former, later = self._random.sample(VERSIONS, 2)
        is_entry = self._random.random() < ENTRY_SHARE or not self._runners
        return Release(
            service=service,
            former=former,
            later=later,
            instance=self._random.choice(self._fronts if is_entry else self._runners),
            disruption=self._random.choice(DISRUPTIONS),
            manner=self._random.choice(MANNERS),
            duration_s=duration_s,
            engines=[],
        )

    def _disrupt(self, release: Release) -> None:
        """Put an instance out of step for the duration of the disruption."""
        instance, (new, opened) = release.instance, release.manner
        if release.disruption == "stopped":
            instance.send(signal.SIGSTOP)
            gevent.sleep(release.duration_s)
            instance.send(signal.SIGCONT)
            return
        if release.disruption != "cut off from the store":
            others = [i.ip for i in self._fleet.instances if i is not instance]
            instance.cut_off(others, new, opened)
        if release.disruption != "cut off from instances":
            instance.proxy.refusing = new == "refuse"
            if opened == "reset":
                instance.proxy.reset_connections()
            instance.proxy.hold_requests = instance.proxy.hold_replies = True
        gevent.sleep(release.duration_s)
        instance.cut_off([], "", "")
        instance.proxy.clear()

    def _change_engines(self, release: Release) -> None:
        """Add engines of the later version; some draws remove engines or use an id again."""
        gevent.sleep(self._random.uniform(0.0, 0.2))
        former_names = list(release.engines)
        change = self._random.choice(("none", "none", "former leave", "later leave", "same id"))
        self._add_engines(release, release.later, self._random.randint(1, 3))
        gevent.sleep(release.duration_s * self._random.uniform(0.3, 0.8))
        if change == "later leave":
            self._remove_engines(release.engines[len(former_names) :])
        elif change != "none":
            self._remove_engines(former_names)
        if change == "same id":
            for name in former_names:
                self._fleet.add_target(name, release.later, release.service, SLOTS)

    def _add_engines(self, release: Release, version: str, count: int) -> None:
        for _ in range(count):
            name = f"{release.service}-{next(self._numbers)}"
            release.engines.append(name)
            self._fleet.add_target(name, version, release.service, SLOTS)

    def _remove_engines(self, names: list[str]) -> None:
        for name in names:
            if name in self._fleet.targets:
                self._fleet.remove_target(name)

    def _run_callers(self, release: Release, until: float) -> list[gevent.Greenlet]:
        """Begin streams until the disruption ends; return the callers, who resume them."""
        calling = []
        gevent.sleep(PAUSE_S)
        noticed_at = self._fleet.now() + UNNOTICED_S
        while (now := self._fleet.now()) < until:
            is_unnoticed = now < noticed_at
            wait_max_s = UNNOTICED_WAIT_MAX_S if is_unnoticed else WAIT_MAX_S
            wait_s = self._random.uniform(0.0, wait_max_s)
            if self._random.random() < WAITING_SHARE:
                wait_s += until - now
            begin_ip = self._choose_other_entry(release)
            resume_ip = self._choose_resuming_entry(release)
            calling.append(
                gevent.spawn(self._break_off, release, begin_ip, resume_ip, wait_s, until)
            )
            gevent.sleep(UNNOTICED_PAUSE_S if is_unnoticed else PAUSE_S)
        return calling

    def _choose_other_entry(self, release: Release) -> str:
        others = [instance.ip for instance in self._fronts if instance is not release.instance]
        return self._random.choice(others)

    def _choose_resuming_entry(self, release: Release) -> str:
        """Return the instance that is out of step, or any entry if that one takes no callers."""
        instance = release.instance
        return instance.ip if instance.is_front else self._random.choice(self._fronts).ip

    def _break_off(
        self, release: Release, begin_ip: str, resume_ip: str, wait_s: float, until: float
    ) -> None:
        """Begin a stream at one entry, break it off, and resume it at another one."""
        stream = self._begin(release, begin_ip)
        if stream is None:
            return
        gevent.sleep(wait_s)
        for _ in range(TRIES_MAX):
            now = self._fleet.now()
            phase = "during" if now < until else "behind"
            outcome, stream = self._resume(release, stream, resume_ip, phase)
            if outcome == "went on" or now > until + BEHIND_S:
                return
            gevent.sleep(TRY_PAUSE_S)

    def _begin_streams(self, release: Release) -> list[BegunStream | None]:
        """Begin CALM_STREAMS streams at entries that are in step; None for each that failed."""
        ips = [self._choose_other_entry(release) for _ in range(CALM_STREAMS)]
        begun = []
        for ip in ips:
            begun.append(gevent.spawn(self._begin, release, ip))
            gevent.sleep(PAUSE_S)
        gevent.joinall(begun)
        return [task.value for task in begun]

    def _begin(self, release: Release, ip: str) -> BegunStream | None:
        """Begin a stream that breaks off behind some events; return None if it brings none."""
        stream_id = self._callers.make_id("r")
        headers = {
            "Clementinepin-Request-Id": stream_id,
            "Clementinepin-Token-Count": f"50,{EVENTS}",
            "Clementinepin-Deadline-Ms": str(DEADLINE_MS),
            "Clementinepin-Prompt-Prefix": f"{stream_id}:10",
        }
        response = self._callers.call_stream(ip, release.service, headers, BREAK_EVENTS)
        if response.status != 200 or b"\n\n" not in response.body:
            return None
        body = response.body[: response.body.rindex(b"\n\n") + 2]
        self._callers.check_stream(stream_id, EVENTS, body, False)
        version = next((v for v in VERSIONS if make_text(stream_id, 1, v).encode() in body), "")
        return BegunStream(stream_id, release.service, headers, body, version)

    def _resume(
        self, release: Release, stream: BegunStream, ip: str, phase: str
    ) -> tuple[str, BegunStream]:
        """Resume a stream and count the outcome; return it, and the stream as far as it came."""
        last_event = stream.body.count(b"\n\n")
        resumption = {
            "Clementinepin-Request-Id": self._callers.make_id("r"),
            "Resumes": stream.stream_id,
            "Last-Event-Id": str(last_event),
        }
        response = self._callers.call_stream(ip, stream.service, stream.headers | resumption)
        outcome = classify_resumption(stream, last_event, response)
        if outcome == "rejected" and not self._has_engine(stream):
            outcome = "rejected without an engine of the version"
        counts = self.outcomes.setdefault((release.disruption, phase), Counter())
        counts[outcome] += 1
        if response.status != 200:
            return outcome, stream
        body = stream.body + response.body
        self._callers.check_stream(stream.stream_id, EVENTS, body, response.whole)
        return outcome, stream._replace(body=body[: body.rindex(b"\n\n") + 2])

    def _has_engine(self, stream: BegunStream) -> bool:
        rows = {(t.service, t.version) for t in self._fleet.targets.values()}
        return (stream.service, stream.version) in rows


def classify_resumption(stream: BegunStream, last_event: int, response: Response) -> str:
    """Return what became of a resumption behind ``last_event``."""
    if response.status != 200:
        return "rejected" if response.status else "without a response"
    for version in VERSIONS:
        if make_text(stream.stream_id, last_event + 1, version).encode() in response.body:
            return "went on" if version == stream.version else "of two versions"
    return "went on" if response.whole and last_event == EVENTS else "broken off"
