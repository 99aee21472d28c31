"""Private parts of the fault bench."""

from __future__ import annotations
