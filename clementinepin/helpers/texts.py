"""Sizes of texts."""

from __future__ import annotations

from collections.abc import Iterable


def count_bytes(texts: Iterable[str]) -> int:
    """Return the bytes of texts in UTF-8, the form in which they are sent and stored."""
    return sum(len(text) if text.isascii() else len(text.encode()) for text in texts)
