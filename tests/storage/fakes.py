"""A disk with faults, a network of stores in one process, and instances with data folders."""

from __future__ import annotations

import errno
import hashlib
import random
from types import SimpleNamespace

from clementinepin.config import InstanceSettings
from clementinepin.core import Core
from clementinepin.helpers.metrics import create_metrics
from clementinepin.peers.exceptions import PeerUnavailableError
from clementinepin.storage import create_segment_store
from clementinepin.storage._files import FileInfo


class MemoryDisk:
    """Files in memory.

    ``full`` makes writes fail; ``torn`` makes the next write fail after half of its data.
    """

    def __init__(self, clock):
        self.clock = clock
        self.files = {}
        self.full = False
        self.torn = False

    def write(self, path, data):
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        self.files[path] = (data[: len(data) // 2] if self.torn else data, self.clock.wall())
        if self.torn:
            self.torn = False
            raise OSError(errno.EIO, "torn write")

    def rename(self, source, target):
        self.files[target] = self.files.pop(source)

    def read(self, path):
        if path not in self.files:
            raise FileNotFoundError(path)
        return self.files[path][0]

    def remove(self, path):
        if path not in self.files:
            raise FileNotFoundError(path)
        del self.files[path]

    def list_files(self, folder):
        return [
            FileInfo(path.removeprefix(folder + "/"), len(data), at)
            for path, (data, at) in self.files.items()
        ]

    def flip_bit(self, name):
        path = next(p for p in self.files if name in p)
        data, at = self.files[path]
        self.files[path] = (data[:-1] + bytes([data[-1] ^ 1]), at)


def write_folder_id(disk, seed):
    """Give a folder an id that is the same in each run."""
    disk.files["/d/folder.id"] = (hashlib.sha256(seed.encode()).hexdigest()[:16].encode(), 0.0)


class Network:
    """Handlers by instance; instances in ``down`` do not reply and are not live."""

    def __init__(self):
        self.handlers = {}
        self.down = set()
        self.calls = 0

    def connect(self, name):
        self.handlers[name] = {}
        return NetworkPeers(self, name)

    def list_live(self):
        return sorted(set(self.handlers) - self.down)


class NetworkPeers:
    """PeerNetwork of one instance that calls the handlers of the others directly."""

    def __init__(self, network, name):
        self.network = network
        self.name = name

    def register(self, method, handler):
        self.network.handlers[self.name][method] = handler

    def call(self, instance, method, message, *, deadline):
        self.network.calls += 1
        if instance in self.network.down or instance not in self.network.handlers:
            raise PeerUnavailableError(instance)
        return dict(self.network.handlers[instance][method](self.name, dict(message)))

    def list_live(self):
        return self.network.list_live()


class StorageNode:
    """One instance with a segment store; without a data folder if ``disk`` is None."""

    def __init__(self, clock, key_value, network, name, data_centre, disk=None, budget=10**9):
        settings = SimpleNamespace(
            instance=InstanceSettings(name, "127.0.0.1", 0, 0, data_centre, "r"),
            storage=SimpleNamespace(folder="/d" if disk else None, budget_bytes=budget),
        )
        self.core = Core(settings, clock, create_metrics(None, 0, ""), random.Random(7))
        self.disk = disk
        if disk:
            write_folder_id(disk, f"{name}{clock.wall()}")
        self.store = create_segment_store(
            self.core, key_value, network.connect(name), disk or MemoryDisk(clock)
        )
        self.store._open_folder()
        self.store._maintain()

    def maintain(self, steps=1):
        for _ in range(steps):
            self.store._maintain()


class Cluster:
    """Instances ``a``, ``b``... with the given data centres, each with a data folder."""

    def __init__(self, clock, key_value, data_centres):
        self.clock = clock
        self.key_value = key_value
        self.network = Network()
        self.nodes = {}
        for name, data_centre in zip("abcdefgh", data_centres, strict=False):
            self.add(name, data_centre)
        for node in self.nodes.values():
            node.store._directory.refresh()

    def add(self, name, data_centre, with_disk=True, budget=10**9):
        disk = MemoryDisk(self.clock) if with_disk else None
        node = StorageNode(
            self.clock, self.key_value, self.network, name, data_centre, disk, budget
        )
        self.nodes[name] = node
        return node

    def advance(self, seconds, rounds=1):
        """Advance the clock in equal rounds, each followed by maintenance of all live nodes."""
        for _ in range(rounds):
            self.clock.advance(seconds / rounds)
            for name, node in self.nodes.items():
                if name not in self.network.down:
                    node.maintain()

    def find_holders(self, name):
        """Return the live nodes whose disk has a file of the segment, intact or not."""
        return {
            node_name
            for node_name, node in self.nodes.items()
            if node_name not in self.network.down
            and node.disk
            and any(name in path for path in node.disk.files)
        }
