"""Request bodies for engines, shared by online calls and batch items."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:  # the daemon on the users' platform does not load clementinepin.config
    from clementinepin.config import ApplicationSpec

UNSTREAMABLE_FIELDS: Final = ("logprobs", "tools", "functions", "best_of", "echo")


def make_engine_model(application: ApplicationSpec) -> str:
    """Return the model name in an engine's request: MODEL or MODEL:ADAPTER."""
    if application.adapter:
        return f"{application.model}:{application.adapter}"
    return application.model


def make_engine_body(body: dict[str, Any], application: ApplicationSpec) -> dict[str, Any]:
    """Return the body for an engine, without the ``resume`` field, which callers may not set."""
    engine_body = {name: value for name, value in body.items() if name != "resume"}
    engine_body["model"] = make_engine_model(application)
    return engine_body


def is_streamable_body(body: dict[str, Any]) -> bool:
    """Return whether the whole response can be assembled from the text of a stream."""
    has_one_choice = body.get("n") in (None, 1) and isinstance(body.get("prompt", ""), str)
    return has_one_choice and not any(body.get(name) for name in UNSTREAMABLE_FIELDS)
