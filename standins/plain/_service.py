"""Plain service that counts its runs by request key."""

from __future__ import annotations

import os
from collections import Counter
from pathlib import Path
from typing import Final

import gevent

from standins.web import Request, Response, StreamCutError

CRASH_EXIT_CODE: Final = 70
KEY_HEADERS: Final = ("x-run-key", "idempotency-key", "x-request-id")


class PlainService:
    """Answers every call and counts the runs of each key.

    The journal gets a line for each run, so that counts survive a killed process.
    """

    def __init__(self, name: str, *, delay_s: float = 0.0, journal: Path | None = None) -> None:
        self._name = name
        self._delay_s = delay_s
        self._journal = journal
        self._leaving = False
        self._cut_count = 0
        self.runs: Counter[str] = Counter()
        if journal is not None and journal.exists():
            self.runs.update(journal.read_text().split())

    def route(self, request: Request) -> Response:
        """Answer one call, or serve the counts and faults under ``/standin/``."""
        if request.path == "/standin/runs":
            return Response.from_json({"runs": self.runs})
        if request.path == "/standin/fault":
            return self._set_fault(request)
        if self._leaving:
            return Response(503, b"{}", headers=[("X-Not-Admitted", "leaving")])
        return self._run(request)

    def _run(self, request: Request) -> Response:
        key = next((request.headers[h] for h in KEY_HEADERS if h in request.headers), "none")
        self._count(key)
        gevent.sleep(self._delay_s)
        if self._cut_count:
            self._cut_count -= 1
            raise StreamCutError
        return Response.from_json(
            {
                "service": self._name,
                "method": request.method,
                "path": request.path,
                "key": key,
                "run": self.runs[key],
                "bytes": len(request.body),
            }
        )

    def _count(self, key: str) -> None:
        self.runs[key] += 1
        if self._journal is not None:
            with self._journal.open("a") as file:
                file.write(f"{key}\n")

    def _set_fault(self, request: Request) -> Response:
        body = request.json()
        kind = body["kind"]
        if kind == "crash":
            gevent.spawn_later(float(body.get("after_s", 0.0)), os._exit, CRASH_EXIT_CODE)
        elif kind == "truncate":
            self._cut_count = int(body.get("count", 1))
        elif kind == "late":
            self._delay_s = float(body.get("seconds", 1.0))
        else:
            self._leaving = kind == "leave"
        return Response.from_json({})
