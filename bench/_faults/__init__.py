"""Private modules of the fault benchmark."""

from __future__ import annotations
