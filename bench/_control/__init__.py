"""Private modules of the benchmark of control costs."""

from __future__ import annotations
