"""Pure decisions over tables: each takes the time and a random generator as arguments."""

from __future__ import annotations
