"""Rows and the tables that hold them."""

from __future__ import annotations
