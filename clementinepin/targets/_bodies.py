"""What online calls and batch items have in common in the bodies that engines get."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:  # the daemon on the users' platform needs no file sets
    from clementinepin.config import ApplicationSpec

WHOLE_ONLY_FIELDS: Final = ("logprobs", "tools", "functions", "best_of", "echo")


def make_engine_model(application: ApplicationSpec) -> str:
    """Return the name that engines know: MODEL or MODEL:ADAPTER."""
    if application.adapter:
        return f"{application.model}:{application.adapter}"
    return application.model


def make_engine_body(body: dict[str, Any], application: ApplicationSpec) -> dict[str, Any]:
    """Return a body for an engine; a caller has no say in what is resumed."""
    engine_body = {name: value for name, value in body.items() if name != "resume"}
    engine_body["model"] = make_engine_model(application)
    return engine_body


def is_plain_body(body: dict[str, Any]) -> bool:
    """Tell whether an answer can be put together from the text of a stream."""
    single = body.get("n") in (None, 1) and isinstance(body.get("prompt", ""), str)
    return single and not any(body.get(name) for name in WHOLE_ONLY_FIELDS)
