"""Replays crashes of targets under requests that share a part of their prompts."""

from __future__ import annotations

import pytest

from tests.systems.crash_load import CrashLoad, Load, Tally

CONTACT_S = 3.0  # within which the users expect that a crash is known everywhere
CRASHES_TO_KNOW = 5
SENT_LATER_MAX = 3


def count_sent_later(tally: Tally) -> int:
    """Return how many crashing requests were sent although five targets had crashed under them."""
    if len(tally.crashes) < CRASHES_TO_KNOW:
        return 0
    known_at = tally.crashes[CRASHES_TO_KNOW - 1] + CONTACT_S
    return sum(at > known_at for at in tally.crashing_grants)


def measure_served_share(tally: Tally, since: float, first_part: str = "") -> float:
    """Return the share of sound requests that began at the first attempt, by their first part."""

    def count(rows: list[tuple[float, str]]) -> int:
        return sum(at > since and part.startswith(first_part) for at, part in rows)

    begun, rejected = count(tally.sound_grants), count(tally.sound_rejections)
    return begun / max(1, begun + rejected)


@pytest.mark.parametrize("crashing_first_parts", [1, 3, 40])
def test_requests_that_share_a_crashing_prompt_part_are_not_sent_on(
    crashing_first_parts: int,
) -> None:
    """Requests of one crashing part crashed 15 targets on kirkvoice-serve, each with its own id."""
    for seed in range(5):
        load = CrashLoad(Load(crashing_first_parts=crashing_first_parts), seed)
        tally = load.play(0.0, 60.0)
        assert count_sent_later(tally) <= SENT_LATER_MAX, seed
        known_at = tally.crashes[min(len(tally.crashes), CRASHES_TO_KNOW) - 1]
        assert measure_served_share(tally, known_at + 2 * CONTACT_S) > 0.9, seed
        for part in range(crashing_first_parts):
            assert measure_served_share(tally, known_at + 2 * CONTACT_S, f"a{part}") > 0.5, seed
