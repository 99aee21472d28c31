"""Run many idle stand-in engines in one process.

Usage: ``python -m bench._control.farm PORT...``.
"""

from __future__ import annotations

import sys

import gevent

from standins.engine import EngineOptions, EngineState
from standins.engine._http import EngineServer
from standins.web import create_server

MODELS = tuple(f"model-{number}" for number in range(7))
STEP_BASE_S = 0.005


def main() -> None:
    """Serve one engine on each port until killed."""
    for port in sys.argv[1:]:
        options = EngineOptions(f"engine-{port}", "engines", True, step_base_s=STEP_BASE_S)
        state = EngineState(options)
        for model in MODELS:
            state.loaded[("model", model)] = "1"
        engine = EngineServer(state)
        gevent.spawn(engine.run_steps)
        create_server(int(port), engine.create_app()).start()
    gevent.wait()


if __name__ == "__main__":
    main()
