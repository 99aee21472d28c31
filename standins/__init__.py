"""Stand-ins for the outer systems, and a launcher, for tests, the demo and benchmarks."""

from __future__ import annotations
