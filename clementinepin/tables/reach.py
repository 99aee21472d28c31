"""How one instance reaches the targets: by links of its own, or only through other instances."""

from __future__ import annotations


class ReachTable:
    """What an instance knows of its links to targets, by target name. Times are monotonic seconds.

    ``probe_at`` has the targets that only other instances reach, and when the own link is tried
    again; ``used_at`` when a connection to them was wanted last. ``unreached_until`` has targets
    that nobody reached of late, ``direct_at`` when the own link worked last. ``hung`` has the links
    on which open connections are dead too, and ``doubted_at`` is when the last of them was found.
    """

    def __init__(self) -> None:
        self.probe_at: dict[str, float] = {}
        self.used_at: dict[str, float] = {}
        self.unreached_until: dict[str, float] = {}
        self.hung: set[str] = set()
        self.doubted_at = float("-inf")
        self.direct_at: dict[str, float] = {}
