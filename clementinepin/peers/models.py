"""Protocol of the network between instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from clementinepin.infrastructure import ListedInstance

Handler = Callable[[str, dict[str, Any]], Mapping[str, Any]]
Provider = Callable[[], Mapping[str, Any]]
Receiver = Callable[[str, dict[str, Any]], None]


class PeerNetwork(Protocol):
    """Unary messages between instances. Messages are TypedDicts; unknown keys are ignored."""

    def register(self, method: str, handler: Handler) -> None:
        """Serve a method; the handler gets the sender's name and the message, in a greenlet."""

    def call(
        self, instance: str, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, Any]:
        """Call a peer before the monotonic deadline; raises PeerUnavailableError."""

    def list_live(self) -> list[str]:
        """Return the names of live instances, this one included, sorted.

        Leaving instances are left out, this one too once it leaves, unless none remains.
        """

    def list_members(self) -> list[ListedInstance]:
        """Return the instances that are not dead, leaving ones marked so."""

    def mark_leaving(self, instance: str) -> None:
        """Note a peer's own word that it leaves."""

    def attach(self, topic: str, provide: Provider, receive: Receiver) -> None:
        """Send a small message with each probe, and receive the peers'; keep it under 100 bytes.

        What is attached reaches every instance within seconds, however often messages are lost,
        if each hands on the newest that it received.
        """

    def spread(self, method: str, message: Mapping[str, Any]) -> None:
        """Call a method on all other live instances at once, best effort, one message each.

        Returns at once. An instance may miss the message or get it twice.
        """

    def gather(
        self, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, dict[str, Any]]:
        """Call a method on all live instances, this one too; return the answers by name."""
