"""Start, signal and stop child processes, for benches, tests and the demo."""

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
    """One child process; it can be started again with the same arguments and log file."""

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
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait(STOP_WAIT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.send(signal.SIGCONT)

    def restart(self) -> None:
        """Kill the process if it still runs, and start it again with the same arguments."""
        self.kill()
        self._popen = self._start()

    def wait(self, seconds: float) -> int | None:
        """Wait for the end; return the exit code, or None if it still runs after ``seconds``."""
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
    """Context manager of child processes; on exit it stops all that still run."""

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
        """Return a free port that this group has not returned before."""
        return next(self._ports)

    def start(self, name: str, arguments: list[str]) -> ChildProcess:
        """Start ``python -m`` with arguments; its output goes to ``NAME.log`` in the folder."""
        process = ChildProcess(name, arguments, self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    def stop(self) -> None:
        """Terminate all processes, also suspended ones.

        Kill those that still run after ``STOP_WAIT_S``.
        """
        running = [p for p in self.processes.values() if p.exit_code is None]
        for process in running:
            process.resume()
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_WAIT_S
        for process in running:
            if process.wait(max(0.0, deadline - time.monotonic())) is None:
                process.kill()


def wait_until(condition: Callable[[], bool], seconds: float, message: str) -> float:
    """Poll a condition; return the seconds it took.

    Raise ProcessNotReadyError with the text ``message`` if it is not met after ``seconds``.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise ProcessNotReadyError(message)
        gevent.sleep(POLL_S)
    return time.monotonic() - started


def stop_on_signal() -> None:
    """Exit on SIGTERM through all context managers, so that child processes end too."""

    def exit_process(number: int, _: object) -> None:
        sys.exit(128 + number)

    signal.signal(signal.SIGTERM, exit_process)


def accepts_connections(port: int) -> bool:
    """Return whether something listens on a loopback port."""
    try:
        with socket.create_connection((LOOPBACK, port), timeout=0.2):
            return True
    except OSError:
        return False


def _iterate_free_ports() -> Iterator[int]:
    """Yield free ports, beginning at one that depends on the process id.

    Parallel test processes therefore rarely try the same ports.
    """
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
