"""Benchmarks; each prints one JSON object on its last line."""

from __future__ import annotations
