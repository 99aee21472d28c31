"""Protocol of the network between instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

Handler = Callable[[str, dict[str, Any]], Mapping[str, Any]]


class PeerNetwork(Protocol):
    """Unary messages between instances. Messages are TypedDicts; unknown keys are ignored."""

    def register(self, method: str, handler: Handler) -> None:
        """Serve a method; the handler gets the sender's name and the message, in a greenlet."""

    def call(
        self, instance: str, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, Any]:
        """Call a peer before the monotonic deadline; raises PeerUnavailableError."""

    def list_live(self) -> list[str]:
        """Return the names of live instances, this one included, sorted."""

    def mark_leaving(self, instance: str) -> None:
        """Note a peer's own word that it leaves."""
