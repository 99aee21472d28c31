"""Chooses the service of a request among those between which its route is split.

Load pattern: operators move a route from one service to another by weights, and take the targets of
the former one away. Requests and items that were accepted before follow, wherever they are handled.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from typing import Final

from clementinepin.helpers.rendezvous import score_pair

SCORES: Final = 2.0**64


def choose_service(shares: Iterable[tuple[str, float]], key: str, usable: Container[str]) -> str:
    """Return the service of a request, at random by weight, the same for a key at all instances.

    ``shares`` are services and their weights, and ``usable`` the services that have targets; others
    get a request only if no service of the route has any. A change of a weight moves as few keys as
    possible. Without any weight above 0 it is the first service.
    """
    rows = list(shares)
    weights = sum_weights(rows)
    if not weights:
        return rows[0][0]
    weights = {name: weight for name, weight in weights.items() if name in usable} or weights
    return min(weights, key=lambda name: -math.log(_draw(key, name)) / weights[name])


def sum_weights(shares: Iterable[tuple[str, float]]) -> dict[str, float]:
    """Return the services of a route that get requests, with their weights."""
    weights: dict[str, float] = {}
    for service, weight in shares:
        if weight > 0:
            weights[service] = weights.get(service, 0.0) + weight
    return weights


def _draw(key: str, service: str) -> float:
    """Return a number above 0 and below 1 that is the same for a key and a service."""
    return (score_pair(key, service) + 0.5) / SCORES
