"""Limits in bytes hold for texts whose characters take several bytes."""

from __future__ import annotations

from clementinepin.serving._checkpoints import VALUE_MAX_BYTES, collect_checkpoints
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._job_views import PAGE_TEXT_MAX_BYTES, JobView, JobViews
from clementinepin.serving._messages import ReadJob
from clementinepin.serving._owned_job import TEXT_BYTES_PER_WRITE_MAX, choose_write_group
from clementinepin.serving.models import ItemResult, ItemState
from tests.serving.parts import make_head, make_items

WIDE = "\N{GRINNING FACE}"  # four bytes


class FakeLinks:
    def handle(self, message_type, handler) -> None:
        return


def make_run(text: str) -> ItemRun:
    run = ItemRun(make_items(1)[0], make_head(), 0)
    run.texts, run.last_event_id = [text], 1
    return run


def test_a_checkpoint_of_wide_characters_fits_into_a_value():
    """Mutation: count characters: the store rejects the write of all jobs, each time."""
    runs = {str(n): make_run(WIDE * (VALUE_MAX_BYTES // 10)) for n in range(4)}
    rows = collect_checkpoints(runs).values()
    assert 0 < sum(len(t.encode()) for row in rows for t in row.texts) <= VALUE_MAX_BYTES


def test_results_of_wide_characters_are_split_over_writes():
    """Mutation: count characters: the write is four times as long as a slow link bears."""
    runs = [make_run(WIDE * (TEXT_BYTES_PER_WRITE_MAX // 10)) for _ in range(5)]
    assert len(choose_write_group(runs)) == 2


def test_a_page_of_wide_characters_stays_within_its_size():
    """Mutation: count characters: a page is larger than a value may be."""
    text = WIDE * (PAGE_TEXT_MAX_BYTES // 10)
    results = [ItemResult(f"i{n}", ItemState.COMPLETED, text) for n in range(5)]
    views = JobViews(FakeLinks(), lambda: True, lambda _job: "")  # type: ignore[arg-type]
    view = JobView(5, results)
    views.put("j1", view)
    assert view.size == sum(len(r.text.encode()) for r in results)
    assert len(views.answer(ReadJob(1, "j1", 0, 0.0)).results) == 2
