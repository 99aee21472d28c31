"""Routes of all resources."""

from __future__ import annotations

from clementinepin.entry._batches import Batches
from clementinepin.entry._catalogue import Catalogue
from clementinepin.entry._completions import CHAT_PATH, COMPLETIONS_PATH, Completions
from clementinepin.entry._context import EntryContext
from clementinepin.entry._files import Files
from clementinepin.entry._http import Request, Response, make_json_response
from clementinepin.entry._ops import Operations
from clementinepin.entry._router import Access, Route, Router
from clementinepin.entry._services import Services


def create_router(context: EntryContext) -> Router:
    """Return the router for all resources."""
    return Router([*_list_caller_routes(context), *_list_operator_routes(context)])


def _list_caller_routes(context: EntryContext) -> list[Route]:
    completions, files, batches = Completions(context), Files(context), Batches(context)
    catalogue, services = Catalogue(context), Services(context)
    account = Access.ACCOUNT
    return [
        Route("GET", "/healthz", Access.OPEN, _respond_health),
        Route("POST", COMPLETIONS_PATH, account, completions.complete),
        Route("POST", CHAT_PATH, account, completions.chat),
        Route("GET", "/v1/models", account, catalogue.list_models),
        Route("GET", "/v1/models/{name}", account, catalogue.retrieve_model),
        Route("GET", "/v1/entries", Access.EITHER, catalogue.advise_entries),
        Route("POST", "/v1/files", account, files.upload),
        Route("GET", "/v1/files/{file_id}", account, files.retrieve),
        Route("GET", "/v1/files/{file_id}/content", account, files.read),
        Route("POST", "/v1/batches", account, batches.create),
        Route("GET", "/v1/batches", account, batches.list_jobs),
        Route("GET", "/v1/batches/{job_id}", account, batches.retrieve),
        Route("POST", "/v1/batches/{job_id}/cancel", account, batches.cancel),
        Route("*", "/services/{name}/{rest}", account, services.call),
    ]


def _list_operator_routes(context: EntryContext) -> list[Route]:
    operations = Operations(context)
    operator = Access.OPERATOR
    return [
        Route("POST", "/ops/config", operator, operations.apply),
        Route("GET", "/ops/config", operator, operations.show_configuration),
        Route("GET", "/ops/instances", operator, operations.list_instances),
        Route("GET", "/ops/targets", operator, operations.list_targets),
        Route("GET", "/ops/jobs", operator, operations.list_jobs),
        Route("POST", "/ops/jobs/{account}/{job_id}/cancel", operator, operations.cancel_job),
        Route("POST", "/ops/drain", operator, operations.drain),
        Route("GET", "/ops/state", operator, operations.dump_state),
    ]


def _respond_health(_: Request) -> Response:
    return make_json_response({"status": "ok"})
