"""Private modules of the command-line tool."""

from __future__ import annotations
