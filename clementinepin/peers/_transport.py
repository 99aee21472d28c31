"""gRPC server and client connections of an instance, on the asyncio loop."""

from __future__ import annotations

import asyncio
import ssl
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from clementinepin.exceptions import ClementinepinError
from clementinepin.peers.exceptions import (
    PeerAuthenticationError,
    PeerRefusedError,
    PeerUnavailableError,
)

CALL_PATH = "/clementinepin.peers.v1.Peers/Call"
CHANNELS_MAX = 64
CHANNEL_IDLE_S = 60.0
SWEEP_PERIOD_S = 10.0
CLOSE_TIMEOUT_S = 2.0

Authenticator = Callable[[Mapping[str, object]], Any]
Dispatcher = Callable[[Any, bytes], Awaitable[bytes]]


class BytesCodec(CodecBase):
    """Codec that passes bytes through; the messages are already encoded as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message unchanged."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the data unchanged."""
        return data


class PeerService:
    """The only gRPC method; the metadata has the name of the peer method to call."""

    def __init__(self, authenticate: Authenticator, dispatch: Dispatcher) -> None:
        self._authenticate = authenticate
        self._dispatch = dispatch

    def __mapping__(self) -> dict[str, Handler]:
        """Return the route of the method for grpclib's server."""
        return {CALL_PATH: Handler(self._serve, Cardinality.UNARY_UNARY, bytes, bytes)}

    async def _serve(self, stream: Stream[bytes, bytes]) -> None:
        try:
            envelope = self._authenticate(dict(stream.metadata or {}))
            body = await stream.recv_message()
            reply = await self._dispatch(envelope, body or b"")
        except PeerAuthenticationError as err:
            raise GRPCError(Status.UNAUTHENTICATED, err.code) from err
        except PeerUnavailableError as err:
            raise GRPCError(Status.UNAVAILABLE, err.code) from err
        except ClementinepinError as err:
            raise GRPCError(Status.FAILED_PRECONDITION, err.code) from err
        await stream.send_message(reply)


class _Connection(NamedTuple):
    address: tuple[str, int]
    channel: Channel
    used_at: float


class PeerTransport:
    """Server and a bounded set of reused connections.

    All methods run on the asyncio loop.
    """

    def __init__(
        self,
        service: PeerService,
        server_context: ssl.SSLContext | None,
        client_context: ssl.SSLContext | None,
    ) -> None:
        self._service = service
        self._server_context = server_context
        self._client_context = client_context
        self._server: Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._connections: dict[str, _Connection] = {}
        self._calls: Counter[str] = Counter()

    async def listen(self, address: str, port: int) -> None:
        """Start the server."""
        self._server = Server([self._service], codec=BytesCodec())
        await self._server.start(address, port, ssl=self._server_context)
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())

    async def send(
        self,
        peer: str,
        address: tuple[str, int],
        body: bytes,
        metadata: Mapping[str, str],
        timeout_s: float,
    ) -> bytes:
        """Send one message and return the reply.

        Raises PeerRefusedError if the peer's handler failed, else PeerUnavailableError.
        """
        channel = self._get_channel(peer, address)
        request = channel.request(
            CALL_PATH,
            Cardinality.UNARY_UNARY,
            bytes,
            bytes,
            timeout=timeout_s,
            metadata=dict(metadata),
        )
        self._calls[peer] += 1
        try:
            async with request as stream:
                await stream.send_message(body, end=True)
                reply = await stream.recv_message()
        except GRPCError as err:
            raise _convert_error(peer, err) from err
        except (TimeoutError, OSError, StreamTerminatedError, ProtocolError) as err:
            self._close_channel(peer)
            raise PeerUnavailableError(f"{peer}: {err}") from err
        except (OverflowError, ValueError) as err:
            # The member's address is none that a socket accepts.
            self._close_channel(peer)
            raise PeerUnavailableError(f"{peer}: {type(err).__name__}: {err}") from err
        finally:
            self._calls[peer] -= 1
        return reply or b""

    async def _sweep(self) -> None:
        """Close connections without calls periodically; never returns."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            idle_before = asyncio.get_running_loop().time() - CHANNEL_IDLE_S
            for peer, connection in list(self._connections.items()):
                if connection.used_at < idle_before and not self._calls[peer]:
                    self._close_channel(peer)
            self._calls = +self._calls

    async def close(self) -> None:
        """Close all connections and the server."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for peer in list(self._connections):
            self._close_channel(peer)
        if self._server is not None:
            self._server.close()
            await asyncio.wait_for(self._server.wait_closed(), CLOSE_TIMEOUT_S)

    def count_connections(self) -> int:
        """Return the number of open connections to peers."""
        return len(self._connections)

    def _get_channel(self, peer: str, address: tuple[str, int]) -> Channel:
        """Return the connection to a peer; above CHANNELS_MAX close the least recently used one."""
        now = asyncio.get_running_loop().time()
        connection = self._connections.pop(peer, None)
        if connection is not None and connection.address != address:
            connection.channel.close()
            connection = None
        if connection is None:
            channel = Channel(*address, codec=BytesCodec(), ssl=self._client_context)
            connection = _Connection(address, channel, now)
        self._connections[peer] = connection._replace(used_at=now)
        if len(self._connections) > CHANNELS_MAX:
            self._close_channel(next(iter(self._connections)))
        return connection.channel

    def _close_channel(self, peer: str) -> None:
        connection = self._connections.pop(peer, None)
        if connection is not None:
            connection.channel.close()


def _convert_error(peer: str, err: GRPCError) -> PeerUnavailableError:
    if err.status == Status.FAILED_PRECONDITION:
        return PeerRefusedError(f"{peer}: {err.message}", str(err.message))
    return PeerUnavailableError(f"{peer}: {err.status.name} {err.message or ''}")
