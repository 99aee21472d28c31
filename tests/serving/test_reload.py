"""Tests of reloading the settings file: live settings apply at once, others are reported."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_store, create_wire
from clementinepin.serve import reload_settings
from clementinepin.serving._app import App
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving.models import InstanceSettings
from tests.ports import find_port
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS
from tests.serving.scripted import ScriptedTarget

FILE = """
node = "{name}"
serves = ["store"]
ip = "127.0.0.1"
zone = "a"
internal_ports = [{port}]
[bounds]
grace_period_s = 20
status_retention_s = 30
[limits]
max_fds = 1200
[platform]
address = "127.0.0.1:{store_port}"
"""


def create_app(settings: InstanceSettings) -> App:
    clock = create_system_clock()
    return App(settings, MemoryStore(), create_wire(), clock, random.Random(1), ServingMetrics())


def reload(path: Path, app: App, moved: list[tuple[str, int]]) -> list[Any]:
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    reload_settings(str(path), 0, app, moved.append)
    logger.remove(sink)
    return lines


@pytest.fixture
def app() -> App:
    return create_app(SETTINGS._replace(link_port=find_port(), region=""))


def test_limits_and_the_store_address_change_without_a_restart(app: App, tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(FILE.format(name="store-1", port=app._settings.link_port, store_port=4321))
    moved: list[tuple[str, int]] = []
    (line,) = reload(path, app, moved)
    assert line["extra"]["needs_restart"] == []
    assert moved == [("127.0.0.1", 4321)]
    assert app._settings.grace_s == 20.0
    assert app._job_parts is not None
    assert app._job_parts.runner.status_retention_s == 30.0


def test_name_and_port_need_a_restart_and_stay(app: App, tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(FILE.format(name="store-9", port=1, store_port=4321))
    (line,) = reload(path, app, [])
    assert line["extra"]["needs_restart"] == ["name", "link_port"]
    assert app._settings.name == "store-1"


def test_an_unreadable_file_changes_nothing(app: App, tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text("node = ")
    moved: list[tuple[str, int]] = []
    (line,) = reload(path, app, moved)
    assert line["message"] == "settings_unreadable"
    assert not moved
    assert app._settings.grace_s == 8.0


def test_the_next_call_uses_the_new_store_address() -> None:
    missing = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
    old, new = ScriptedTarget(missing, missing), ScriptedTarget(missing, missing)
    store = create_store(("127.0.0.1", old.port), create_system_clock())
    assert store.get("a") is None
    store.move(("127.0.0.1", new.port))
    assert store.get("a") is None
    assert (len(old.requests), len(new.requests)) == (1, 1)
    old.stop()
    new.stop()


def test_a_reload_that_fails_unexpectedly_ends_neither_its_signal_nor_a_stop(
    app: App, tmp_path: Path
) -> None:
    """The reload before a stop runs in the main greenlet, whose end would cut all requests off."""
    path = tmp_path / "local.toml"
    path.write_text(FILE.format(name="store-1", port=app._settings.link_port, store_port=4321))

    def fail(_address: tuple[str, int]) -> None:
        raise RecursionError("odd")

    reload_settings(str(path), 0, app, fail)
