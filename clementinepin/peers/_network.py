"""The network between instances: gRPC calls, membership and tree broadcasts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import gevent
from loguru import logger

from clementinepin.core import spawn_loop
from clementinepin.exceptions import ClementinepinError
from clementinepin.infrastructure import ListedInstance
from clementinepin.peers import _messages as messages
from clementinepin.peers import _security as security
from clementinepin.peers._bridge import AsyncBridge
from clementinepin.peers._membership import MembershipService
from clementinepin.peers._transport import PeerService, PeerTransport
from clementinepin.peers._trees import TreeService
from clementinepin.peers.exceptions import (
    PeerAuthenticationError,
    PeerMessageInvalidError,
    PeerMethodUnknownError,
    PeerReplyInvalidError,
    PeerUnavailableError,
)
from clementinepin.peers.models import Handler, PeerNetwork, Provider, Receiver
from clementinepin.systems import membership

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "peers:"
LISTEN_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 3.0


class GrpcPeerNetwork:
    """Component ``peers``: implements PeerNetwork over grpclib."""

    name = "peers"

    def __init__(self, core: Core) -> None:
        self._core = core
        self._own = core.settings.instance.name
        self._secret = core.settings.security.peer_secret
        self._handlers: dict[str, Handler] = {}
        self._bridge = AsyncBridge()
        self._transport = PeerTransport(
            PeerService(self._authenticate, self._dispatch_async),
            security.create_server_context(core.settings.security),
            security.create_client_context(core.settings.security),
        )
        self._membership = MembershipService(core, self)
        self._trees = TreeService(core, self, self._membership.table, self._dispatch)
        self._prober: gevent.Greenlet | None = None

    def start(self) -> None:
        """Listen and start to probe. Raises PeerUnavailableError if the port can't be opened."""
        own = self._core.settings.instance
        self._bridge.start()
        try:
            self._bridge.call(
                lambda: self._transport.listen(own.address, own.peer_port), LISTEN_TIMEOUT_S
            )
        except OSError as err:
            raise PeerUnavailableError(f"can't listen on port {own.peer_port}: {err}") from err
        self._prober = spawn_loop(
            self._membership.run_period, membership.PROBE_PERIOD_S, LOG_PREFIX
        )

    def stop(self, deadline: float) -> None:
        """Stop probing and close all connections."""
        if self._prober is not None:
            self._prober.kill()
        try:
            self._bridge.call(self._transport.close, CLOSE_TIMEOUT_S)
        except (PeerUnavailableError, TimeoutError):
            logger.debug("{} Connections were not closed in time.", LOG_PREFIX)
        self._bridge.stop()

    def describe_state(self) -> dict[str, Any]:
        """Return members, connections and methods in JSON types."""
        table = self._membership.table
        rows = {
            name: {
                "incarnation": row.incarnation,
                "state": row.state.name.lower(),
                "leaving": row.leaving,
            }
            for name, row in sorted(table.rows.items())
        }
        return {
            "members": rows,
            "pending": len(table.pending),
            "connections": self._transport.count_connections(),
            "methods": sorted(self._handlers),
        }

    def register(self, method: str, handler: Handler) -> None:
        """Serve a method with a handler."""
        self._handlers[method] = handler

    def call(
        self, instance: str, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, Any]:
        """Call a peer and return its reply.

        Raises PeerUnavailableError if there is none before the monotonic deadline,
        PeerReplyInvalidError if it can't be decoded, and PeerRefusedError if the peer's handler
        failed.
        """
        if instance == self._own:
            return dict(self._dispatch(instance, method, dict(message)))
        row = self._membership.table.rows.get(instance)
        remaining_s = deadline - self._core.clock.monotonic()
        if row is None or remaining_s <= 0:
            raise PeerUnavailableError(f"{instance}: unknown instance, or the deadline has passed")
        body = messages.encode_message(message)
        metadata = security.sign_message(
            self._secret, self._own, instance, method, body, self._core.clock.wall()
        )
        address = (row.instance.address, row.instance.peer_port)
        self._core.metrics.incr("peers.messages_sent")
        self._core.metrics.incr("peers.bytes_sent", len(body))
        try:
            reply = self._bridge.call(
                lambda: self._transport.send(instance, address, body, metadata, remaining_s),
                remaining_s,
            )
        except TimeoutError as err:
            raise PeerUnavailableError(f"{instance}: no reply before the deadline") from err
        try:
            return messages.decode_message(reply)
        except PeerMessageInvalidError as err:
            raise PeerReplyInvalidError(f"{instance}: {err}") from err

    def list_live(self) -> list[str]:
        """Return the names of live instances, sorted."""
        return membership.list_live(self._membership.table)

    def list_members(self) -> list[ListedInstance]:
        """Return the instances that are not dead."""
        return membership.list_present(self._membership.table)

    def mark_leaving(self, instance: str) -> None:
        """Record that an instance reported itself as leaving."""
        membership.mark_leaving(self._membership.table, instance)

    def attach(self, topic: str, provide: Provider, receive: Receiver) -> None:
        """Add a small message to each probe; ``receive`` gets those of the peers."""
        self._membership.attach(topic, provide, receive)

    def broadcast(self, method: str, message: Mapping[str, Any]) -> None:
        """Call a method on all other live instances, best effort, without waiting for them."""
        self._trees.broadcast(method, message)

    def gather(
        self, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, dict[str, Any]]:
        """Return the replies that live instances gave before the monotonic deadline, by name."""
        return self._trees.gather(method, message, deadline=deadline)

    def _authenticate(self, metadata: Mapping[str, object]) -> security.Envelope:
        return security.verify_metadata(self._secret, self._own, metadata, self._core.clock.wall())

    async def _dispatch_async(self, envelope: security.Envelope, body: bytes) -> bytes:
        if security.digest_body(body) != envelope.digest:
            raise PeerAuthenticationError("digest of the body does not match the metadata")
        return await self._bridge.run_in_greenlet(lambda: self._serve(envelope, body))

    def _serve(self, envelope: security.Envelope, body: bytes) -> bytes:
        message = messages.decode_message(body)
        reply = self._dispatch(envelope.sender, envelope.method, message)
        return messages.encode_message(reply)

    def _dispatch(self, sender: str, method: str, message: dict[str, Any]) -> Mapping[str, Any]:
        """Return the reply of a method's handler.

        Raises PeerMethodUnknownError if there is no handler, and PeerUnavailableError if it fails
        with an error that is not a ClementinepinError.
        """
        handler = self._handlers.get(method)
        if handler is None:
            raise PeerMethodUnknownError(method)
        try:
            return handler(sender, message)
        except ClementinepinError:
            raise
        except Exception as err:
            logger.opt(exception=err).warning("{} Handler of method {} failed.", LOG_PREFIX, method)
            raise PeerUnavailableError(f"handler of method {method} failed") from err


def create_peer_network(core: Core) -> PeerNetwork:
    """Return the component ``peers``, registered with the core."""
    network = GrpcPeerNetwork(core)
    core.register(network)
    return network
