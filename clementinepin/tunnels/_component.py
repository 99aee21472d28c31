"""The ``tunnels`` component: opens and serves tunnels, and knows which links are lost."""

from __future__ import annotations

from typing import Any, Final

import gevent
import msgspec

from clementinepin.core import Core, InstancesChanged, spawn_loop
from clementinepin.exceptions import ClementinepinError
from clementinepin.peers import PeerNetwork
from clementinepin.targets import HedgedRelays, Relay, TargetAddress, create_dialer
from clementinepin.targets.exceptions import TargetNotReachedError
from clementinepin.tunnels import _messages as messages
from clementinepin.tunnels._channel import PeerChannel
from clementinepin.tunnels._server import LOG_PREFIX, SWEEP_PERIOD_S, TunnelServer

OWN_SERVICE: Final = "clementinepin"


class Tunnels:
    """Component ``tunnels``. ``dialer`` opens connections to targets."""

    name = "tunnels"

    def __init__(self, core: Core, peers: PeerNetwork) -> None:
        self._core = core
        self._peers = peers
        self._targets: dict[str, TargetAddress] = {}
        self._server = TunnelServer(peers, core.clock, self._find_target)
        relays = HedgedRelays(self._list_relays, self._open, core.clock, core.random)
        self.dialer = create_dialer(core.clock, relays)
        self._sweeper: gevent.Greenlet | None = None
        core.subscribe(InstancesChanged, self._handle_instances)

    def start(self) -> None:
        """Start to close tunnels that are not used any more."""
        self._sweeper = spawn_loop(self._server.sweep, SWEEP_PERIOD_S, LOG_PREFIX)

    def stop(self, deadline: float) -> None:
        """Wait for the requests of other instances, then close all tunnels."""
        while self._server.open_count and self._core.clock.monotonic() < deadline:
            gevent.sleep(SWEEP_PERIOD_S / 10)
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        self._server.close()

    def describe_state(self) -> dict[str, Any]:
        """Return the targets that only other instances reach, and the number of tunnels served."""
        return {"relayed": self.dialer.list_relayed(), "served": self._server.open_count}

    def _handle_instances(self, event: InstancesChanged) -> None:
        self._targets = {
            row.name: TargetAddress(row.name, row.address, row.port)
            for row in event.rows
            if row.service != OWN_SERVICE
        }

    def _find_target(self, name: str) -> TargetAddress | None:
        """Return the address of a target, or None if it is unknown or this instance is leaving."""
        return None if self._core.draining else self._targets.get(name)

    def _list_relays(self) -> list[Relay]:
        own = self._core.settings.instance.name
        return [Relay(name) for name in self._peers.list_live() if name != own]

    def _open(self, peer: str, target: TargetAddress, deadline: float) -> PeerChannel:
        """Return a tunnel through one peer. Raises TargetNotReachedError."""
        timeout_s = max(0.0, deadline - self._core.clock.monotonic())
        message = messages.OpenMessage(target=target.name, timeout_s=timeout_s)
        try:
            reply = messages.read_message(
                self._peers.call(peer, messages.METHOD_OPEN, message, deadline=deadline),
                messages.OpenReply,
            )
        except (ClementinepinError, msgspec.DecodeError) as err:
            raise TargetNotReachedError(f"{peer}: {err}") from err
        if not reply["tunnel"]:
            raise TargetNotReachedError(reply["failure"], refused=bool(reply["refused"]))
        return PeerChannel(self._peers, self._core.clock, peer, reply["tunnel"])


def create_tunnels(core: Core, peers: PeerNetwork) -> Tunnels:
    """Return the component ``tunnels``."""
    return Tunnels(core, peers)
