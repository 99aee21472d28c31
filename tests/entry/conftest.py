from __future__ import annotations

import pytest

from tests.entry.fakes import ServedEntry
from tests.targets.scripted import ScriptedTarget


@pytest.fixture
def serve():
    """Return a function that starts an entry with one scripted target per script."""
    started = []

    def start(*scripts, **options):
        targets = [ScriptedTarget(s, f"t{i}") for i, s in enumerate(scripts)]
        entry = ServedEntry(targets, **options)
        entry.targets = targets
        started.extend([entry, *targets])
        return entry

    yield start
    for item in started:
        item.stop()
