"""Private parts of the bench of control costs."""

from __future__ import annotations
