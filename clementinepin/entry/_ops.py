"""Resources ``/ops/...`` for operators."""

from __future__ import annotations

from typing import Any, Final

import voluptuous as vol

from clementinepin.entry._batches import LIST_MAX
from clementinepin.entry._calls import check_body
from clementinepin.entry._context import EntryContext
from clementinepin.entry._http import Request, Response, make_json_response

OWN_SERVICE: Final = "clementinepin"
FILE_SET_SCHEMA: Final = vol.Schema(
    {
        vol.Optional("base"): vol.Any(None, vol.All(int, vol.Range(min=0))),
        vol.Required("files"): vol.All({str: str}, vol.Length(min=1, max=1_000)),
    }
)


class Operations:
    """Configuration, views of the fleet, jobs, draining and the state dump."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def apply(self, request: Request) -> Response:
        """Accept a file set as a whole."""
        body = request.read_json()
        check_body(body, FILE_SET_SCHEMA)
        files = {name: text.encode() for name, text in body["files"].items()}
        result = self._context.fleet.apply(files, base=body.get("base"))
        return make_json_response({"revision": result.revision, "digest": result.digest})

    def show_configuration(self, request: Request) -> Response:
        """Return the revision in force here, and by instance."""
        configuration = self._context.core.configuration
        return make_json_response(
            {
                "revision": configuration.revision if configuration else 0,
                "digest": configuration.digest if configuration else "",
                "in_force": self._context.fleet.count_in_force(),
            }
        )

    def list_instances(self, request: Request) -> Response:
        """List our own instances as this one sees them."""
        return make_json_response({"data": self._list(own=True)})

    def list_targets(self, request: Request) -> Response:
        """List targets and the stewards of their services."""
        stewards = self._context.fleet.list_stewards()
        return make_json_response({"data": self._list(own=False), "stewards": stewards})

    def list_jobs(self, request: Request) -> Response:
        """List the jobs of all accounts."""
        rows = self._context.batch.list_jobs(None, limit=LIST_MAX)
        return make_json_response({"data": [row._asdict() for row in rows]})

    def cancel_job(self, request: Request) -> Response:
        """Cancel any account's job."""
        params = request.params
        status = self._context.batch.cancel(params["account"], params["job_id"])
        return make_json_response(status._asdict())

    def drain(self, request: Request) -> Response:
        """Start leaving; answers at once."""
        core = self._context.core
        limit_s = core.settings.limits.drain_s
        core.drain(core.clock.monotonic() + limit_s)
        return make_json_response({"draining": True, "until": core.clock.wall() + limit_s}, 202)

    def dump_state(self, request: Request) -> Response:
        """Return the state dump of this process."""
        return make_json_response(self._context.core.describe_state())

    def _list(self, *, own: bool) -> list[dict[str, Any]]:
        rows = self._context.fleet.list_instances()
        return [row._asdict() for row in rows if (row.service == OWN_SERVICE) is own]
