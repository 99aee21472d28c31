"""Start, signal and stop processes on loopback. Only benches, tests and the demo use it."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Final

import gevent

LOOPBACK: Final = "127.0.0.1"
PORT_FIRST: Final = 12_000
PORT_LAST: Final = 31_000
POLL_S: Final = 0.02
STOP_WAIT_S: Final = 10.0


class ProcessNotReadyError(Exception):
    """A process did not become ready before its deadline."""


class ChildProcess:
    """One process that this group started, known by its id."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self._popen = self._start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, or None while it runs."""
        return self._popen.poll()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        if self.exit_code is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End it at once and wait for the end."""
        self.send(signal.SIGKILL)
        self.wait(STOP_WAIT_S)

    def pause(self) -> None:
        """Stop it where it stands."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def restart(self) -> None:
        """Start it again with the same arguments after it ended."""
        self.kill()
        self._popen = self._start()

    def wait(self, seconds: float) -> int | None:
        """Return the exit code, or None when it still runs at the deadline."""
        deadline = time.monotonic() + seconds
        while self.exit_code is None and time.monotonic() < deadline:
            gevent.sleep(POLL_S)
        return self.exit_code

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )


class ProcessGroup:
    """Processes started together; leaving the context stops all that still run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, ChildProcess] = {}
        self._ports = _iterate_free_ports()

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def pick_port(self) -> int:
        """Return a port that is free now."""
        return next(self._ports)

    def start(self, name: str, arguments: list[str]) -> ChildProcess:
        """Start ``python -m`` with arguments; output goes to a log file in the folder."""
        process = ChildProcess(name, arguments, self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    def stop(self) -> None:
        """End every process: a paused one goes on first, a slow one is killed."""
        running = [p for p in self.processes.values() if p.exit_code is None]
        for process in running:
            process.resume()
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_WAIT_S
        for process in running:
            if process.wait(max(0.0, deadline - time.monotonic())) is None:
                process.kill()


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> float:
    """Poll a condition; return the seconds it took or raise ProcessNotReadyError."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise ProcessNotReadyError(what)
        gevent.sleep(POLL_S)
    return time.monotonic() - started


def stop_on_signal() -> None:
    """Let a TERM signal leave all contexts, so that started processes end too."""

    def leave(number: int, _: object) -> None:
        sys.exit(128 + number)

    signal.signal(signal.SIGTERM, leave)


def accepts_connections(port: int) -> bool:
    """Return whether something listens on a loopback port."""
    try:
        with socket.create_connection((LOOPBACK, port), timeout=0.2):
            return True
    except OSError:
        return False


def _iterate_free_ports() -> Iterator[int]:
    span = PORT_LAST - PORT_FIRST
    offset = (os.getpid() * 211) % span
    for number in range(span):
        port = PORT_FIRST + (offset + number) % span
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        yield port
