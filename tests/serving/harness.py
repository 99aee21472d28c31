"""One instance with a fake slot broker and scripted targets."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving._app import App
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._slot_requests import Slot, SlotRequest
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    Target,
)
from clementinepin.systems import estimates
from clementinepin.systems.dispatch_actions import RunOutcome
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS, make_route
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    UNFRAMED_EVENTS,
    ScriptedTarget,
    make_chunk,
    make_event,
    read_id,
)

ID = "Clementinepin-Request-Id: q1"


class FakeSlots:
    """Grants the first target that is not excluded, without limits."""

    dispatcher_name = "d"

    def __init__(self) -> None:
        self.target_ids: list[str] = []
        self.outcomes: list[RunOutcome] = []
        self.successes: list[bool] = []
        self.rejection: OverloadedError | None = None
        self.silent: list[tuple[str, str]] = []
        self.limits_per_s: list[float | None] = []
        self.is_link_silent: Callable[[str], bool] = lambda _target_id: False

    def acquire(self, request: SlotRequest, on_waiting: Any) -> Slot:
        if self.rejection is not None:
            raise self.rejection
        for number, target_id in enumerate(self.target_ids):
            if target_id not in request.excluded:
                return Slot(number, target_id, alone=False)
        raise OverloadedError("all targets are excluded", 0.25)

    def release(
        self, slot: Slot, outcome: RunOutcome, *, succeeded: bool = False, events: int = 0
    ) -> None:
        self.outcomes.append(outcome)
        self.successes.append(succeeded)

    def report_load(
        self,
        slot: Slot,
        load: Any,
        limit_per_s: float | None,
        leaving_started_at_ms: int | None = None,
    ) -> None:
        self.limits_per_s.append(limit_per_s)

    @contextmanager
    def watch_silence(
        self, slot: Slot, request_id: str, on_link_lost: Callable[[], bool]
    ) -> Iterator[None]:
        def report() -> None:
            if not (self.is_link_silent(slot.target_id) and on_link_lost()):
                self.silent.append((slot.target_id, request_id))

        timer = gevent.spawn_later(estimates.SILENT_MIN_S, report)
        try:
            yield
        finally:
            timer.kill(block=False)


class Harness:
    """An entry with a fake slot broker, whose targets are added by the test."""

    def __init__(self) -> None:
        self.slots = FakeSlots()
        # A port found before the start could be taken by a connection of another test meanwhile.
        address = ("127.0.0.1", 0)
        settings = SETTINGS._replace(name="f1", runs_jobs=False, entry_address=address)
        self.app = App(
            settings,
            MemoryStore(),
            create_wire(),
            create_system_clock(),
            random.Random(1),
            ServingMetrics(),
        )
        self.app._forwarder._slots = self.slots  # type: ignore[assignment]
        self.slots.is_link_silent = self.app._pools.is_link_silent
        self._targets: list[ScriptedTarget] = []
        self.app._servers[0].start()
        self.port: int = self.app._servers[0]._server.server_port

    def set_route(self, **changes: object) -> Route:
        route = make_route(**changes)
        self.app.fleet.configuration.current = RoutingConfiguration(1, (route,), {}, CallerLimits())
        return route

    def add_target(self, target: ScriptedTarget) -> ScriptedTarget:
        target_id = f"t{len(self._targets)}"
        self._targets.append(target)
        self.slots.target_ids.append(target_id)
        self.app.fleet.targets.rows[target_id] = Target(
            target_id, "llm", "127.0.0.1", target.port, "a", 8, False
        )
        return target

    def stop(self) -> None:
        for target in self._targets:
            target.stop()
        self.app._servers[0].stop_accepting()


def get_status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1]) if response else 0


def send_events(
    *numbers: int,
    end: bool = True,
    cut: bytes = b"",
    signature: bytes = b"s1",
    framed: bool = True,
) -> Any:
    """Return a script that sends a stream of events.

    ``cut`` is the incomplete event at the end. Without ``end`` the stream breaks off. Without
    ``framed`` it has no chunks, and its end is that of the connection in any case.
    """

    def script(sock: Any, request: bytes) -> bool:
        head = HEAD % (signature, read_id(request))
        frame = make_chunk if framed else bytes
        sock.sendall(head + (EVENTS if framed else UNFRAMED_EVENTS))
        for number in numbers:
            sock.sendall(frame(make_event(number)))
        if cut:
            sock.sendall(frame(cut))
        if end and framed:
            sock.sendall(b"0\r\n\r\n")
        return end and framed

    return script


def close_at_once(sock: Any, request: bytes) -> bool:
    return False
