"""Decision functions over tables, without I/O.

The time and any random generator are arguments, so that tests can replay each decision.
"""

from __future__ import annotations
