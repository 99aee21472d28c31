"""State of one item of a job while it is run."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from clementinepin.serving import _job_records as records
from clementinepin.serving.models import ItemState, JobItem
from clementinepin.systems import stream_ends
from clementinepin.tables.streams import RunEnd
from clementinepin.targets import Abort
from clementinepin.targets.exceptions import TargetProtocolError


class ItemRun:
    """State of one item across its runs.

    ``state`` is None until the item is completed or dead, and stays None if it is cancelled.
    ``losses`` counts runs in a row that lost their target without a new event. ``retry_after_s`` is
    how long the dispatcher that rejected the newest run wants it to wait. ``preempted`` says that
    the dispatcher asked the latest run to free its slot. ``framing`` says what marks the end of the
    newest response's body. ``ends`` has the runs that ended behind the last event without proof.
    ``target_id`` is the newest target, ``target_version`` its software version and
    ``target_service`` its service; ``software_version`` and ``service`` are those of the events so
    far. ``resumed_at_event_id`` is the last event before the newest run, and ``prefix_ids`` are the
    parts of the item's prompt.
    """

    def __init__(self, item: JobItem, head: records.JobHead, failures: int) -> None:
        self.item = item
        self.head = head
        self.failures = failures
        self.losses = 0
        self.retry_after_s = 0.0
        self.texts: list[str] = []
        self.last_event_id = 0
        self.resumed_at_event_id = 0
        self.prefix_ids: tuple[str, ...] = ()
        self.state: ItemState | None = None
        self.cancelled = False
        self.wait_reason = ""
        self.preempted = False
        self.framing = ""
        self.target_id = ""
        self.target_version = ""
        self.target_service = ""
        self.software_version = ""
        self.service = ""
        self.ends: list[RunEnd] = []
        self.abort = Abort()
        self.cancel_wait: Callable[[], None] = lambda: None

    @property
    def text(self) -> str:
        """Return the data of all events so far, one event per line."""
        return "\n".join(self.texts)

    @property
    def awaits_end(self) -> bool:
        """Return whether another run is to show that no event follows the last one."""
        return bool(self.ends)

    @property
    def run_events(self) -> int:
        """Return how many events the newest run has brought; 0 if it had to begin again."""
        return max(0, self.last_event_id - self.resumed_at_event_id)

    def record_end(self) -> bool:
        """Return whether no event follows the last one, as the newest run ended its connection.

        Raises TargetProtocolError if the item has no event: it has at least one.
        """
        if not self.last_event_id:
            raise TargetProtocolError("the stream ended before its first event")
        self.ends.append(RunEnd(self.target_id, self.run_events > 0))
        return stream_ends.is_end_proven(self.ends, stream_ends.RUNS_MIN)

    def begin_again(self) -> None:
        """Drop all events, so that the next run starts from the beginning."""
        self.texts.clear()
        self.last_event_id = 0
        self.software_version = ""
        self.service = ""
        self.ends.clear()

    def resume_from(
        self, last_event_id: int, texts: list[str], software_version: str, service: str
    ) -> None:
        """Start after the events that an earlier run produced at a service's software version.

        ``service`` is empty if it was not recorded.
        """
        self.software_version = software_version
        self.service = service
        self.last_event_id = last_event_id
        self.texts = list(texts)
        logger.bind(request_id=self.item.item_id, job=self.head.job_id, events=last_event_id).info(
            "item_resumed"
        )

    def cancel(self) -> None:
        """Stop the run and any wait for a slot for good."""
        self.cancelled = True
        self.abort.trigger()
        self.cancel_wait()

    def leave_lost_link(self) -> bool:
        """Abort a request whose response can't come; False if it does not go by the own link."""
        if self.abort.relay:
            return False
        self.abort.trigger()
        return True

    def preempt(self) -> None:
        """Abort the request to the target; the item resumes later after its last event."""
        self.preempted = True
        self.abort.trigger()
