"""An instance of the product's own interface that reaches targets directly or through another."""

from __future__ import annotations

from typing import Any

from clementinepin.core import InstancesChanged
from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import ListedInstance
from clementinepin.targets import TargetAddress
from clementinepin.tunnels import create_tunnels
from tests.serving.cut_links import CutLink, Manner
from tests.targets.scripted import CUT, ScriptedTarget


class Ways:
    """An instance that reaches its targets directly, or through another one."""

    def __init__(self, networks: list[Any] | None) -> None:
        self._parts: list[Any] = []
        self.dialer = None
        if networks is not None:
            near, self._far = (create_tunnels(n._core, n) for n in networks)
            self._far.start()
            self.dialer = near.dialer
            self._core = networks[1]._core

    def add_target(self, whole: bytes, sizes: range) -> TargetAddress:
        """Return the address of a target that sends a part of each size in turn."""
        parts = iter([whole[:size] for size in sizes])
        target = ScriptedTarget(lambda _request: (next(parts), CUT), "t0")
        return self.add_server(target, target.address.port)

    def add_server(self, server: Any, port: int) -> TargetAddress:
        """Return the address at which the target ``server`` is known, and stop it at the end."""
        self._parts.append(server)
        if self.dialer is None:
            return TargetAddress("t0", "127.0.0.1", port)
        link = CutLink(Manner.REFUSE)
        self._parts.append(link)
        row = ListedInstance("t0", "llm", "127.0.0.1", port, 0, "dc", "r", "live")
        self._core.publish(InstancesChanged((row,)))
        return TargetAddress("t0", "127.0.0.1", link.port)

    def stop(self) -> None:
        if self.dialer is not None:
            self._far.stop(0.0)
        for part in self._parts:
            part.stop()


def get_deadline() -> float:
    return create_system_clock().monotonic() + 10.0
