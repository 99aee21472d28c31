"""The ``entry`` component: starts the HTTP server and stops it gracefully."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final

import gevent
from loguru import logger

from clementinepin.batch import BatchService
from clementinepin.claims import ClaimStore
from clementinepin.core import ConfigurationChanged, Core
from clementinepin.entry._app import EntryApp
from clementinepin.entry._auth import Authenticator
from clementinepin.entry._context import BackgroundCalls, EntryContext, TargetClients
from clementinepin.entry._drain import DrainGate
from clementinepin.entry._resume import ResumeSigner
from clementinepin.entry._routes import create_router
from clementinepin.entry._server import EntryServer, create_tls
from clementinepin.fleet import Fleet
from clementinepin.peers import PeerNetwork
from clementinepin.scheduling import Scheduler
from clementinepin.targets import Dialer, Engine, TargetAddress, create_plain_service

LOG_PREFIX: Final = "entry:"
STOP_POLL_S: Final = 0.05


class Entry:
    """Serves HTTP requests of callers and operators."""

    name = "entry"

    def __init__(self, context: EntryContext, peers: PeerNetwork) -> None:
        self._core = context.core
        self._peers = peers
        self._background = context.background
        self._gate = DrainGate(context.core, context.fleet)
        self._authenticator = Authenticator(context.core.settings.security.operator_key_digest)
        self._app = EntryApp(self._core, create_router(context), self._authenticator, self._gate)
        self._server = self._create_server()
        context.core.subscribe(ConfigurationChanged, self._use_configuration)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Start to listen and return."""
        if self._core.configuration is not None:
            self._authenticator.use_configuration(self._core.configuration)
        self._server.start()
        logger.info("{} Listening on port {}.", LOG_PREFIX, self.port)

    def stop(self, deadline: float) -> None:
        """Drain and close the server; requests that exceed ``deadline`` are aborted.

        Requests are accepted until ``refuse_at`` and rejected from then on. The server closes when
        no call is in flight. ``deadline`` is in monotonic seconds.
        """
        clock = self._core.clock
        refuse_at = self._gate.refuse_at
        if refuse_at is not None:
            gevent.sleep(max(0.0, min(refuse_at, deadline) - clock.monotonic()))
        while self._count_active() and clock.monotonic() < deadline:
            gevent.sleep(STOP_POLL_S)
        if self._count_active():
            logger.warning(
                "{} Aborting {} requests that did not end before the deadline.",
                LOG_PREFIX,
                self._count_active(),
            )
        self._server.stop(timeout=STOP_POLL_S)

    def _count_active(self) -> int:
        return self._server.active + self._background.active

    def describe_state(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values without secrets."""
        server = self._server
        return {
            "port": self.port,
            "connections": server.connections,
            "active": server.active,
            "active_without_caller": self._background.active,
            "refused_connections": server.refused,
            "rejected_headers": server.rejected,
            "body_bytes_held": self._app.budget.held,
            "refuse_at": self._gate.refuse_at,
            "peers_live": self._peers.list_live(),
        }

    def _create_server(self) -> EntryServer:
        settings = self._core.settings
        return EntryServer(
            (settings.instance.address, settings.instance.port),
            self._app,
            self._core.clock,
            connections_max=settings.limits.connections_max,
            header_timeout_s=settings.limits.header_timeout_s,
            tls=create_tls(settings.security.tls_certificate, settings.security.tls_key),
        )

    def _use_configuration(self, event: ConfigurationChanged) -> None:
        self._authenticator.use_configuration(event.configuration)


def create_entry(
    core: Core,
    scheduler: Scheduler,
    batch: BatchService,
    claims: ClaimStore,
    fleet: Fleet,
    peers: PeerNetwork,
    create_engine: Callable[[TargetAddress], Engine],
    dialer: Dialer | None = None,
) -> Entry:
    """Return the entry component."""
    context = EntryContext(
        core=core,
        scheduler=scheduler,
        batch=batch,
        claims=claims,
        fleet=fleet,
        targets=TargetClients(
            core.clock, create_engine, partial(create_plain_service, dialer=dialer)
        ),
        signer=ResumeSigner(core.settings.security.peer_secret),
        background=BackgroundCalls(),
    )
    return Entry(context, peers)
