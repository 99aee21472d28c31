"""Errors of the segment store."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, NotRunError


class StorageUnavailableError(NotRunError):
    """The data could not be made durable; the write was not accepted."""

    code = "storage_unavailable"


class SegmentLostError(ClementinepinError):
    """No intact copy of a segment could be reached."""

    code = "segment_lost"
    status = 503
