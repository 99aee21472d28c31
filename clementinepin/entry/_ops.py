"""Resources ``/ops/...`` of operators."""

from __future__ import annotations

from typing import Any, Final

import voluptuous as vol

from clementinepin.entry._batches import LIST_LIMIT_MAX
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
    """Handles configuration, fleet views, jobs, draining and the state dump."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def apply(self, request: Request) -> Response:
        """Apply a complete set of configuration files and return its revision."""
        body = request.read_json()
        check_body(body, FILE_SET_SCHEMA)
        files = {name: text.encode() for name, text in body["files"].items()}
        result = self._context.fleet.apply(files, base=body.get("base"))
        return make_json_response({"revision": result.revision, "digest": result.digest})

    def show_configuration(self, request: Request) -> Response:
        """Return this instance's configuration revision, and the revision of each instance."""
        configuration = self._context.core.configuration
        return make_json_response(
            {
                "revision": configuration.revision if configuration else 0,
                "digest": configuration.digest if configuration else "",
                "in_force": self._context.fleet.fetch_revisions_in_force(),
            }
        )

    def list_instances(self, request: Request) -> Response:
        """Return the instances of this system as this instance sees them."""
        return make_json_response({"data": self._list_rows(own=True)})

    def list_targets(self, request: Request) -> Response:
        """Return the targets and the stewards of their services."""
        stewards = self._context.fleet.list_stewards()
        return make_json_response({"data": self._list_rows(own=False), "stewards": stewards})

    def list_jobs(self, request: Request) -> Response:
        """Return the jobs of all accounts."""
        rows = self._context.batch.list_jobs(None, limit=LIST_LIMIT_MAX)
        return make_json_response({"data": [row._asdict() for row in rows]})

    def cancel_job(self, request: Request) -> Response:
        """Cancel a job of any account and return it."""
        params = request.params
        status = self._context.batch.cancel(params["account"], params["job_id"])
        return make_json_response(status._asdict())

    def drain(self, request: Request) -> Response:
        """Start to drain this instance; return without waiting for the end."""
        core = self._context.core
        limit_s = core.settings.limits.drain_s
        core.drain(core.clock.monotonic() + limit_s)
        return make_json_response({"draining": True, "until": core.clock.wall() + limit_s}, 202)

    def dump_state(self, request: Request) -> Response:
        """Return the state dump of this process."""
        return make_json_response(self._context.core.describe_state())

    def _list_rows(self, *, own: bool) -> list[dict[str, Any]]:
        rows = self._context.fleet.list_instances()
        return [row._asdict() for row in rows if (row.service == OWN_SERVICE) is own]
