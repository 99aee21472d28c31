"""Helpers that several components use."""

from __future__ import annotations
