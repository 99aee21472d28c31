from __future__ import annotations

import random

import pytest

from clementinepin.exceptions import Outcome
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.storage._budget import INLINE_FLEET_BYTES_PER_DAY
from clementinepin.storage._repair import ORPHAN_MIN_AGE_S, RECLAIM_GRACE_S, REPAIR_AFTER_S
from clementinepin.storage._store import KEEP_S
from clementinepin.storage._transfers import TRANSFER_TIMEOUT_S, UPLOADS_MAX
from clementinepin.storage.exceptions import SegmentLostError, StorageUnavailableError
from tests.storage.fakes import Cluster

BULK = random.Random(1).randbytes(2_500_000)


def test_small_segment_is_stored_inline_and_named_by_digest(cluster, key_value):
    name = cluster.nodes["a"].store.write(b"small" * 100)
    assert cluster.nodes["d"].store.read(name) == b"small" * 100
    assert cluster.nodes["b"].store.write(b"small" * 100) == name
    assert len(key_value.list_range("segments/")) == 1
    assert not cluster.find_holders(name)


def test_large_segment_has_copies_in_three_data_centres(cluster):
    name = cluster.nodes["a"].store.write(BULK)
    assert len(cluster.find_holders(name)) == 3
    for node in cluster.nodes.values():
        assert node.store.read(name) == BULK


def test_write_is_refused_with_only_one_data_centre(clock, key_value):
    """Mutation: set ``COPIES_MIN`` to 1; copies in one data centre then count as durable."""
    cluster = Cluster(clock, key_value, ["dc1", "dc1", "dc1"])
    with pytest.raises(StorageUnavailableError) as caught:
        cluster.nodes["a"].store.write(BULK)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_at > clock.wall()


def test_inline_budget_is_exhausted_and_refills(clock, key_value):
    node = Cluster(clock, key_value, []).add("a", "dc1", with_disk=False)
    chunk = 900_000
    for n in range(int(INLINE_FLEET_BYTES_PER_DAY // (chunk + 1_000))):
        node.store.write(random.Random(n).randbytes(chunk))
    with pytest.raises(StorageUnavailableError) as caught:
        node.store.write(random.Random(-1).randbytes(chunk))
    clock.advance(caught.value.retry_at - clock.wall() + 1.0)
    node.store.write(random.Random(-1).randbytes(chunk))


@pytest.mark.parametrize("fault", ["full", "torn", "down"])
def test_write_uses_another_holder_if_one_fails(cluster, fault):
    name = cluster.nodes["a"].store.write(BULK)
    other = BULK + b"x"
    victim = sorted(cluster.find_holders(name))[0]
    for holder in cluster.nodes:
        if holder != victim:
            continue
        if fault == "down":
            cluster.network.down.add(holder)
        else:
            setattr(cluster.nodes[holder].disk, fault, True)
    writer = next(n for n in cluster.nodes if n != victim)
    second = cluster.nodes[writer].store.write(other)
    assert len(cluster.find_holders(second) - {victim}) >= 2
    assert cluster.nodes[writer].store.read(second) == other


def test_write_with_all_disks_full_leaves_no_record(cluster, key_value):
    for node in cluster.nodes.values():
        node.disk.full = True
    with pytest.raises(StorageUnavailableError):
        cluster.nodes["a"].store.write(BULK)
    assert key_value.list_range("segments/") == []


def test_reader_skips_damaged_copies_and_scrub_replaces_them(cluster):
    name = cluster.nodes["a"].store.write(BULK)
    first, second, third = sorted(cluster.find_holders(name))
    cluster.nodes[first].disk.flip_bit(name)
    cluster.nodes[second].disk.flip_bit(name)
    assert cluster.nodes["a"].store.read(name) == BULK
    cluster.advance(20.0, rounds=20)
    cluster.network.down.add(third)
    assert cluster.nodes[first].store.read(name) == BULK


def test_copy_missing_from_a_disk_is_replaced(cluster):
    """Mutation: ``_serve_get`` does not record the missing copy; it is then never replaced."""
    name = cluster.nodes["a"].store.write(BULK)
    holders = sorted(cluster.find_holders(name))
    outside = next(n for n in cluster.nodes if n not in holders)
    for holder in holders[:2]:
        cluster.nodes[holder].disk.files.clear()
        cluster.nodes[holder].store._folder.held.clear()
    for node in cluster.nodes.values():
        assert node.store.read(name) == BULK
    cluster.advance(5.0, rounds=5)
    cluster.network.down.add(holders[2])
    assert cluster.nodes[outside].store.read(name) == BULK


def test_folder_keeps_its_id(cluster, clock):
    node = cluster.nodes["a"]
    del node.disk.files["/d/folder.id"]
    node.store._open_folder()
    folder_id = node.store._folder.folder_id
    node.store._open_folder()
    assert node.store._folder.folder_id == folder_id
    assert len(folder_id) == 16


def test_partial_file_of_a_crash_is_removed_on_open(cluster, clock):
    node = cluster.nodes["a"]
    node.disk.files["/d/x.1234.partial"] = (b"half", clock.wall())
    node.store._open_folder()
    assert "/d/x.1234.partial" not in node.disk.files


def test_segment_without_an_intact_copy_raises_segment_lost(cluster):
    """Mutation: do not compare the digest in ``decompress``; wrong data is then returned."""
    name = cluster.nodes["a"].store.write(BULK)
    other = cluster.nodes["a"].store.write(BULK + b"z")
    for holder in cluster.find_holders(name):
        disk = cluster.nodes[holder].disk
        other_file = next(
            node.disk.files[f"/d/{other}.segment"]
            for node in cluster.nodes.values()
            if f"/d/{other}.segment" in node.disk.files
        )
        disk.files[f"/d/{name}.segment"] = other_file
    with pytest.raises(SegmentLostError):
        cluster.nodes["a"].store.read(name)
    with pytest.raises(SegmentLostError):
        cluster.nodes["a"].store.read("0" * 40)


def test_lost_holder_is_replaced_without_an_operator(cluster):
    """Mutation: ``plan_repair`` returns None; a second loss then leaves only one copy."""
    name = cluster.nodes["a"].store.write(BULK)
    victim = sorted(cluster.find_holders(name))[0]
    cluster.network.down.add(victim)
    cluster.advance(REPAIR_AFTER_S + 60.0, rounds=30)
    assert len(cluster.find_holders(name)) == 3
    survivor = next(n for n in cluster.nodes if n != victim)
    assert cluster.nodes[survivor].store.read(name) == BULK


def test_segments_with_one_copy_left_are_repaired_first(clock, key_value, monkeypatch):
    """Mutations: do not sort the queue; do not rebuild it after the second loss."""
    monkeypatch.setattr("clementinepin.storage._repair.REPAIRS_PER_STEP", 0)
    cluster = Cluster(clock, key_value, [f"dc{n}" for n in range(6)])
    rng = random.Random(2)
    names = [cluster.nodes["a"].store.write(rng.randbytes(40_000)) for _ in range(40)]
    for lost in "bc":
        cluster.network.down.add(lost)
        cluster.advance(REPAIR_AFTER_S + 20.0, rounds=4)
    copies = {name: len(cluster.find_holders(name)) for name in names}
    queues = [n.store._repair._repair_queue for n in cluster.nodes.values() if n.disk]
    queues = [q for node, q in zip(cluster.nodes, queues, strict=True) if node not in "bc"]
    for queue in queues:
        order = [copies[name] for name in reversed(queue)]
        assert order == sorted(order)
    queued = {name for queue in queues for name in queue}
    assert queued == {name for name, count in copies.items() if count < 3}
    assert 1 in copies.values()


def test_third_copy_is_made_when_a_third_data_centre_joins(clock, key_value):
    """Mutation: ``_check_record`` queues nothing; the segment then keeps two copies."""
    cluster = Cluster(clock, key_value, ["dc1", "dc2"])
    name = cluster.nodes["a"].store.write(BULK)
    assert len(cluster.find_holders(name)) == 2
    cluster.add("c", "dc3")
    cluster.advance(ORPHAN_MIN_AGE_S + 200.0, rounds=20)
    assert len(cluster.find_holders(name)) == 3
    assert len(cluster.nodes["a"].store._records.load(name).row.holders) == 3


def test_empty_replacement_of_a_holder_counts_as_lost(cluster):
    """An empty disk in place of a lost one must not count as a holder of the old copies.

    Mutation: ``_load_or_create_id`` gives each folder the same id.
    """
    name = cluster.nodes["a"].store.write(BULK)
    victim = sorted(cluster.find_holders(name))[0]
    old = cluster.nodes[victim]
    old.store._folder.held.clear()
    cluster.clock.advance(1.0)
    cluster.add(victim, old.core.settings.instance.data_centre)
    for node in cluster.nodes.values():
        node.store._directory.refresh()
    cluster.advance(REPAIR_AFTER_S + 60.0, rounds=30)
    assert len(cluster.find_holders(name)) == 3


def test_copy_without_a_record_is_removed_but_not_if_written_again(cluster, key_value):
    """Mutation: set ``ORPHAN_MIN_AGE_S`` to 0; a write in progress then loses its copies."""
    name = cluster.nodes["a"].store.write(BULK)
    key_value.delete("segments/" + name, expected=None)
    cluster.clock.advance(ORPHAN_MIN_AGE_S + 1.0)
    assert cluster.nodes["a"].store.write(BULK) == name
    cluster.advance(20.0, rounds=10)
    assert len(cluster.find_holders(name)) == 3
    key_value.delete("segments/" + name, expected=None)
    cluster.advance(20.0, rounds=10)
    assert len(cluster.find_holders(name)) == 3
    cluster.advance(ORPHAN_MIN_AGE_S + 20.0, rounds=10)
    assert not cluster.find_holders(name)


def test_removal_keeps_a_copy_that_was_written_concurrently(cluster, clock):
    """Mutation: do not check ``changed_at`` in ``remove_stale``; the new copy is then lost."""
    name = cluster.nodes["a"].store.write(BULK)
    node = cluster.nodes[sorted(cluster.find_holders(name))[0]]
    clock.advance(ORPHAN_MIN_AGE_S)
    stale_before = clock.wall() - 1.0
    cluster.nodes["a"].store.write(BULK)
    assert not node.store._folder.remove_stale(name, stale_before)
    clock.advance(ORPHAN_MIN_AGE_S)
    assert node.store._folder.remove_stale(name, clock.wall() - 1.0)


def test_reclaim_waits_for_keep_until_and_a_second_write_extends_it(cluster, key_value):
    name = cluster.nodes["a"].store.write(b"old" * 50)
    cluster.clock.advance(KEEP_S - 10.0)
    again = cluster.nodes["b"].store.write(b"kept" * 50)
    cluster.clock.advance(RECLAIM_GRACE_S)
    cluster.advance(10.0)
    assert key_value.get("segments/" + name) is not None
    assert cluster.nodes["a"].store.write(b"old" * 50) == name
    cluster.advance(RECLAIM_GRACE_S, rounds=40)
    assert cluster.nodes["a"].store.read(name) == b"old" * 50
    cluster.advance(KEEP_S + RECLAIM_GRACE_S, rounds=2)
    cluster.advance(8_000.0, rounds=4)
    assert key_value.get("segments/" + name) is None
    assert key_value.get("segments/" + again) is None


def test_outage_refuses_writes_but_copies_are_read_by_rank(cluster, key_value):
    name = cluster.nodes["a"].store.write(BULK)
    inline = cluster.nodes["a"].store.write(b"inline")
    key_value.down = True
    with pytest.raises(StorageUnavailableError):
        cluster.nodes["a"].store.write(BULK + b"y")
    assert cluster.nodes["b"].store.read(name) == BULK
    with pytest.raises(PlatformUnavailableError):
        cluster.nodes["b"].store.read(inline)


def test_lost_reply_of_the_record_write_is_resolved(cluster, key_value):
    key_value.replies_to_lose = 1
    name = cluster.nodes["a"].store.write(BULK)
    assert cluster.nodes["b"].store.read(name) == BULK


def test_a_copy_that_is_replaced_while_the_damaged_one_is_read_is_kept(cluster):
    """Mutation: remove the copy whatever was written meanwhile: the healed copy is lost."""
    name = cluster.nodes["a"].store.write(BULK)
    node = cluster.nodes[min(cluster.find_holders(name))]
    folder, disk = node.store._folder, node.disk
    intact = folder.read(name)
    disk.flip_bit(name)
    read_file = disk.read

    def read_and_heal(path):
        content = read_file(path)
        disk.read = read_file
        folder.put(name, intact)
        return content

    disk.read = read_and_heal
    assert folder.read(name).frame == intact.frame
    assert name in folder.held


def test_abandoned_uploads_do_not_block_later_ones(cluster, clock):
    """Mutation: keep uploads for good: after 64 of them the instance refuses all copies."""
    transfers = cluster.nodes["b"].store._transfers
    message = {"folder_id": cluster.nodes["b"].store._folder.folder_id, "offset": 0}
    message |= {"size_bytes": 10, "holders": (), "keep_until": 0.0, "data": b"x"}
    for number in range(UPLOADS_MAX):
        assert transfers._serve_put("a", {**message, "name": str(number)})["accepted"]
    assert not transfers._serve_put("a", {**message, "name": "next"})["accepted"]
    clock.advance(TRANSFER_TIMEOUT_S)
    assert transfers._serve_put("a", {**message, "name": "later"})["accepted"]
