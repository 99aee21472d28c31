"""Limits that targets name: how many requests a second they take from all instances together."""

from __future__ import annotations


class TargetLimit:
    """The limit that a target names, and what is left of it. Times are monotonic seconds.

    ``named_at`` is when the target began to name a limit. ``starts`` is how many requests may start
    at ``updated_at``; it is negative after starts that nobody asked for. ``share`` is the part of
    the limit that this instance decides about.
    """

    __slots__ = ("named_at", "per_s", "share", "starts", "updated_at")

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self.share = 1.0
        self.named_at = now
        self.starts = 0.0
        self.updated_at = now
