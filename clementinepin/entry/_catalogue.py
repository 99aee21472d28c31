"""Resources ``/v1/models`` and ``/v1/entries``."""

from __future__ import annotations

from typing import Any

from clementinepin.config import ApplicationSpec
from clementinepin.entry._calls import find_application
from clementinepin.entry._context import EntryContext
from clementinepin.entry._http import Request, Response, make_json_response
from clementinepin.infrastructure import ListedInstance


class Catalogue:
    """Lists the applications of an account and the entries that callers may use."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def list_models(self, request: Request) -> Response:
        """Return the applications of the account."""
        applications = self._context.get_configuration().applications
        names = sorted(name for name in request.account.applications if name in applications)
        data = [_format_application(applications[name]) for name in names]
        return make_json_response({"object": "list", "data": data})

    def retrieve_model(self, request: Request) -> Response:
        """Return one application of the account."""
        configuration = self._context.get_configuration()
        name = request.params["name"]
        return make_json_response(
            _format_application(find_application(configuration, request.account, name))
        )

    def advise_entries(self, request: Request) -> Response:
        """Return the entries to use, best first, and how long this advice is valid."""
        advice = self._context.fleet.advise_entries()
        scheme = "https" if self._context.core.settings.security.tls_certificate else "http"
        data = [_format_entry(entry, scheme) for entry in advice.entries]
        return make_json_response(
            {"object": "list", "data": data, "valid_until": advice.valid_until}
        )


def _format_application(application: ApplicationSpec) -> dict[str, Any]:
    return {
        "id": application.name,
        "object": "model",
        "created": 0,
        "owned_by": "clementinepin",
        "priorities": list(application.priorities),
    }


def _format_entry(entry: ListedInstance, scheme: str) -> dict[str, Any]:
    return {
        "name": entry.name,
        "url": f"{scheme}://{entry.address}:{entry.port}",
        "address": entry.address,
        "port": entry.port,
        "data_centre": entry.data_centre,
        "region": entry.region,
    }
