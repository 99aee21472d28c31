"""Benchmarks; the last line that each prints is one JSON object."""

from __future__ import annotations
