"""Small fakes of the outside systems, for tests, the demo and benchmarks."""

from __future__ import annotations
