"""Results of the jobs that this instance owns, in memory: reading them needs no store call."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from clementinepin.helpers.texts import count_bytes
from clementinepin.serving import _messages as messages
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving.models import ItemResult

VIEWS_MAX_BYTES: Final = 16_000_000  # about 1,500 results; job runners have 170 MB and more
PAGE_TEXT_MAX_BYTES: Final = 900_000  # a page of results may hold a megabyte


class JobView:
    """The listed results of one job, which are only ever appended to.

    ``size`` is the length of all texts in bytes. ``is_open`` says that more results will follow.
    ``is_writing`` is set while the store may have more results than the view: from the start of a
    write until its outcome is known.
    """

    def __init__(self, total: int, results: list[ItemResult]) -> None:
        self.total = total
        self.results = results
        self.size = count_bytes(result.text for result in results)
        self.is_open = len(results) < total
        self.is_writing = False
        self.changed = Event()

    def extend(self, results: list[ItemResult]) -> None:
        """Append stored results and wake waiting readers."""
        self.results = self.results + results
        self.size += count_bytes(result.text for result in results)
        self.is_open = len(self.results) < self.total
        self.is_writing = False
        self._notify_readers()

    def close(self) -> None:
        """Record that no more results will follow, and wake waiting readers."""
        self.is_open = False
        self._notify_readers()

    def _notify_readers(self) -> None:
        self.changed.set()
        self.changed = Event()


class JobViews:
    """Answers other instances' reads while it is certain that this instance is still the owner."""

    def __init__(
        self,
        links: LinkServer,
        is_owner_certain: Callable[[], bool],
        find_owner: Callable[[str], str],
    ) -> None:
        self._is_owner_certain = is_owner_certain
        self._find_owner = find_owner
        self._rows: OrderedDict[str, JobView] = OrderedDict()
        links.handle(messages.ReadJob, self._handle_read)

    def put(self, job_id: str, view: JobView) -> None:
        """Serve reads of a job; drop the oldest views beyond ``VIEWS_MAX_BYTES``."""
        self._rows[job_id] = view
        while sum(v.size for v in self._rows.values()) > VIEWS_MAX_BYTES and len(self._rows) > 1:
            self._rows.popitem(last=False)

    def get(self, job_id: str) -> JobView | None:
        """Return the view of a job or None."""
        return self._rows.get(job_id)

    def drop(self, job_id: str) -> None:
        """Stop serving reads of a job."""
        view = self._rows.pop(job_id, None)
        if view is not None:
            view.close()

    def drop_incomplete(self) -> None:
        """Stop serving reads of the jobs to which another instance may add results."""
        for job_id in [k for k, view in self._rows.items() if len(view.results) < view.total]:
            self.drop(job_id)

    def answer(self, call: messages.ReadJob) -> messages.JobPage:
        """Return a page of results from position ``call.after`` on.

        Waits up to ``call.wait_s`` seconds while the job is open and has none. If this instance may
        not be the owner, the page only names the likely owner. It names none while the store may
        have a result at the position, which readers of the store may have seen.
        """
        view = self._rows.get(call.job_id)
        if view is not None and view.is_open and call.after >= len(view.results):
            view.changed.wait(call.wait_s)
        view = self._rows.get(call.job_id)
        if view is None or not self._is_owner_certain():
            return messages.JobPage(call.number, False, self._find_owner(call.job_id))
        if view.is_writing and call.after >= len(view.results):
            return messages.JobPage(call.number, False, "")
        rows: list[tuple[str, str, str]] = []
        size = 0
        for result in view.results[call.after :]:
            size += count_bytes([result.text])
            if rows and size > PAGE_TEXT_MAX_BYTES:
                break
            rows.append((result.item_id, str(result.state), result.text))
        return messages.JobPage(call.number, True, "", view.total, rows)

    def _handle_read(self, link: Link, call: messages.ReadJob) -> None:
        gevent.spawn(lambda: link.send(self.answer(call)))
