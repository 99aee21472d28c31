"""Tests of the choice between the services of a route that is split by weights."""

from __future__ import annotations

from collections import Counter

import pytest

from clementinepin.systems.service_choice import choose_service

KEYS = [f"i{number}" for number in range(4_000)]
BOTH = {"a", "b"}


@pytest.mark.parametrize(
    ("weights", "share"), [((10, 90), 0.1), ((50, 50), 0.5), ((1, 0), 1.0), ((0, 5), 0.0)]
)
def test_requests_are_split_by_weight(weights: tuple[int, int], share: float) -> None:
    """Guards against items that all run at the first service of a split (review/7)."""
    shares = list(zip("ab", weights, strict=True))
    counts = Counter(choose_service(shares, key, BOTH) for key in KEYS)
    assert counts["a"] / len(KEYS) == pytest.approx(share, abs=0.02)


def test_a_key_has_the_same_service_each_time() -> None:
    shares = [("a", 10), ("b", 90)]
    for key in KEYS[:100]:
        assert choose_service(shares, key, BOTH) == choose_service(shares[::-1], key, BOTH)


@pytest.mark.parametrize("usable", ["a", "b"])
def test_a_service_without_targets_gets_nothing_while_another_one_has_some(usable: str) -> None:
    """Guards against items that wait for a service that has no targets (review/7)."""
    shares = [("a", 10), ("b", 90)]
    assert {choose_service(shares, key, {usable}) for key in KEYS} == {usable}


def test_a_service_without_weight_gets_nothing_though_no_other_one_has_targets() -> None:
    assert {choose_service([("a", 0), ("b", 90)], key, {"a"}) for key in KEYS} == {"b"}


def test_without_any_target_requests_are_split_by_weight() -> None:
    assert {choose_service([("a", 10), ("b", 90)], key, set()) for key in KEYS} == BOTH


def test_a_change_of_a_weight_moves_keys_in_one_direction_only() -> None:
    """Mutation: draw by the sum of all weights: streams that could stay move both ways."""
    for key in KEYS:
        before = choose_service([("a", 50), ("b", 50)], key, BOTH)
        after = choose_service([("a", 20), ("b", 50)], key, BOTH)
        assert (before, after) != ("b", "a")


def test_without_any_weight_it_is_the_first_service() -> None:
    assert choose_service([("a", 0), ("b", 0)], "i1", {"b"}) == "a"


def test_weights_of_a_service_that_is_named_twice_add_up() -> None:
    assert {choose_service([("a", 90), ("a", 10)], key, set()) for key in KEYS} == {"a"}
