from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.systems import quarantine
from clementinepin.tables import Loss, SuspectRow, SuspectTable

LOSSES = st.builds(Loss, st.sampled_from(("t1", "t2", "t3")), st.floats(0.0, 100.0))
ROWS = st.builds(
    SuspectRow,
    st.just("f"),
    st.lists(LOSSES, max_size=2).map(tuple),
    st.booleans(),
    st.floats(0.0, 100.0),
    st.floats(200.0, 300.0),
)


def merge_all(rows):
    table = SuspectTable(10)
    for row in rows:
        quarantine.merge_suspect(table, row, 100.0)
    return table.get("f")


@given(rows=st.lists(ROWS, min_size=1, max_size=4), data=st.data())
def test_condemnation_survives_any_order_of_messages(rows, data):
    """Fails when `_join` uses only the newer row's `condemned`."""
    shuffled = data.draw(st.permutations(rows))
    merged = merge_all([*rows, *shuffled])
    assert merged.condemned or not any(row.condemned for row in rows)
    assert merged.cleared_at == max(row.cleared_at for row in rows)


@given(rows=st.lists(ROWS, min_size=1, max_size=4))
def test_duplicate_message_changes_nothing(rows):
    """Fails when `merge_suspect` stores the first row of a request without merging it."""
    once = merge_all(rows)
    assert merge_all([*rows, once]) == once


def test_two_losses_condemn_a_request_and_one_does_not():
    """Fails with LOSSES_TO_CONDEMN 3."""
    table = SuspectTable(10)
    quarantine.record_loss(table, "f", "t1", 10.0)
    assert not quarantine.is_condemned(table, "f", 10.0)
    quarantine.record_loss(table, "f", "t2", 11.0)
    assert quarantine.is_condemned(table, "f", 11.0)


def test_one_loss_reported_by_two_instances_counts_once():
    """Fails when `_is_same_loss` compares times exactly."""
    table = SuspectTable(10)
    quarantine.record_loss(table, "f", "t1", 10.0)
    quarantine.record_loss(table, "f", "t1", 10.4)
    assert not quarantine.is_condemned(table, "f", 11.0)


def test_success_clears_a_suspect_but_not_a_condemned_request():
    """Fails when `record_success` also removes the condemnation."""
    table = SuspectTable(10)
    quarantine.record_loss(table, "f", "t1", 10.0)
    quarantine.record_success(table, "f", 11.0)
    assert not quarantine.is_suspect(table, "f", 11.0)
    quarantine.record_loss(table, "g", "t1", 10.0)
    quarantine.record_loss(table, "g", "t2", 12.0)
    quarantine.record_success(table, "g", 13.0)
    assert quarantine.is_condemned(table, "g", 13.0)


def test_table_is_bounded_and_keeps_condemned_requests():
    """Fails when a full table drops the row that expires first even if it is condemned."""
    table = SuspectTable(3)
    quarantine.record_loss(table, "bad", "t1", 1.0)
    quarantine.record_loss(table, "bad", "t2", 4.0)
    table.put(table.get("bad")._replace(expires_at=5.0))
    for i in range(10):
        quarantine.record_loss(table, f"f{i}", "t1", 10.0 + i)
    assert len(table) == 3
    assert table.get("bad").condemned
