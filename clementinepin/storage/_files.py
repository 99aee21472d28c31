"""File operations behind a Protocol, so that tests can inject disk faults."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol, TypeVar

import gevent

T = TypeVar("T")


class FileInfo(NamedTuple):
    """A file in a folder; ``changed_at`` is in wall-clock seconds."""

    name: str
    size_bytes: int
    changed_at: float


class FileOperations(Protocol):
    """File operations that a data folder uses. Every method may raise OSError."""

    def write(self, path: str, data: bytes) -> None:
        """Write a new file and sync it."""

    def rename(self, source: str, target: str) -> None:
        """Rename within a folder, and sync the folder."""

    def read(self, path: str) -> bytes:
        """Return a file's content."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def list_files(self, folder: str) -> list[FileInfo]:
        """Return the files of a folder, which is created if absent."""


class _DiskOperations:
    """Operations of the real disk, run in gevent's thread pool.

    Only ``remove`` runs on the event loop: ``SegmentFolder.remove_stale`` relies on it not
    yielding.
    """

    def write(self, path: str, data: bytes) -> None:
        _run(lambda: _write_synced(path, data))

    def rename(self, source: str, target: str) -> None:
        _run(lambda: _rename_synced(source, target))

    def read(self, path: str) -> bytes:
        return _run(Path(path).read_bytes)

    def remove(self, path: str) -> None:
        Path(path).unlink()

    def list_files(self, folder: str) -> list[FileInfo]:
        return _run(lambda: _list_files(folder))


def create_file_operations() -> FileOperations:
    """Return the operations of the operating system."""
    return _DiskOperations()


def _run(function: Callable[[], T]) -> T:
    result: T = gevent.get_hub().threadpool.apply(function)
    return result


def _write_synced(path: str, data: bytes) -> None:
    with Path(path).open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _rename_synced(source: str, target: str) -> None:
    Path(source).replace(target)
    descriptor = os.open(Path(target).parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _list_files(folder: str) -> list[FileInfo]:
    Path(folder).mkdir(parents=True, exist_ok=True)
    with os.scandir(folder) as entries:
        infos = [(entry.name, entry.stat()) for entry in entries if entry.is_file()]
    return [FileInfo(name, info.st_size, info.st_mtime) for name, info in infos]
