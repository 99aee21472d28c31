"""Interface of the network between instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from clementinepin.infrastructure import ListedInstance

# Gets the sender's name and a message, and returns the reply.
Handler = Callable[[str, dict[str, Any]], Mapping[str, Any]]
# Returns the message to attach to a probe.
Provider = Callable[[], Mapping[str, Any]]
# Gets the sender's name and the message attached to its probe.
Receiver = Callable[[str, dict[str, Any]], None]


class PeerNetwork(Protocol):
    """Unary calls between instances. Messages are TypedDicts; unknown keys are ignored."""

    def register(self, method: str, handler: Handler) -> None:
        """Serve a method. The handler runs in a greenlet with the sender's name and the message."""

    def call(
        self, instance: str, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, Any]:
        """Call a peer and return its reply.

        Raises PeerUnavailableError if there is none before the monotonic deadline, and
        PeerRefusedError if the peer's handler failed.
        """

    def list_live(self) -> list[str]:
        """Return the names of live instances, this one included, sorted.

        Leaving instances, this one included, are left out. If none remains, only this one is
        returned.
        """

    def list_members(self) -> list[ListedInstance]:
        """Return the instances that are not dead; leaving ones have the state ``leaving``."""

    def mark_leaving(self, instance: str) -> None:
        """Record that an instance reported itself as leaving."""

    def attach(self, topic: str, provide: Provider, receive: Receiver) -> None:
        """Add a small message to each probe and receive those of the peers.

        A message should stay under 100 bytes. If each instance attaches the newest message that
        it has received, it reaches all instances within seconds even if many probes are lost.
        """

    def broadcast(self, method: str, message: Mapping[str, Any]) -> None:
        """Call a method on all other live instances, best effort, with one message each.

        Returns without waiting. An instance may miss the message or get it twice.
        """

    def gather(
        self, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, dict[str, Any]]:
        """Call a method on all live instances, this one included; return the replies by name.

        Instances that do not reply before the monotonic deadline are missing in the result.
        """
