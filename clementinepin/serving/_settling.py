"""Waits for the store within the time of a caller, and says what is true when that ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

import gevent

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure.exceptions import (
    CutOffError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving.exceptions import DeadlineError, OverloadedError

STORE_RETRY_S: Final = 0.1
UNAVAILABLE_RETRY_S: Final = 1.0  # Retry-After while the store is away for all
ELSEWHERE_RETRY_S: Final = 0.05  # another instance can serve the caller at once
T = TypeVar("T")


def settle(
    write: Callable[[], T], deadline: float, clock: Clock, *, repeat_conflicts: bool = False
) -> T:
    """Repeat a conditional write until its outcome is known.

    Raises OverloadedError when it can't have been done, DeadlineError when it may be: a conflict
    does not tell whether an earlier write without a reply was done. It is raised unless
    ``repeat_conflicts`` says that ``write`` reads the record anew.

    Load pattern: an instance that is cut off, while callers still reach it. It ends the request at
    once, as another instance can serve it; while the store is away for all it waits.
    """
    lost = False
    while True:
        retry_s = UNAVAILABLE_RETRY_S
        try:
            return write()
        except ReplyLostError as err:
            lost, failure = True, str(err)
        except CutOffError as err:
            deadline, retry_s, failure = clock.monotonic(), ELSEWHERE_RETRY_S, str(err)
        except PlatformUnavailableError as err:
            failure = str(err)
        except VersionConflictError as err:
            if not repeat_conflicts:
                raise
            failure = str(err)
        if clock.monotonic() + STORE_RETRY_S > deadline:
            if lost:
                raise DeadlineError(f"unknown whether it is stored: {failure}")
            raise OverloadedError(f"not stored: {failure}", retry_s)
        gevent.sleep(STORE_RETRY_S)


def read_patiently(read: Callable[[], T], deadline: float, clock: Clock) -> T:
    """Repeat a read until a deadline; raises OverloadedError, which promises that nothing ran."""
    while True:
        try:
            return read()
        except CutOffError as err:
            raise OverloadedError(f"store: {err}", ELSEWHERE_RETRY_S) from err
        except (ReplyLostError, PlatformUnavailableError) as err:
            if clock.monotonic() + STORE_RETRY_S > deadline:
                raise OverloadedError(f"store: {err}", UNAVAILABLE_RETRY_S) from err
        gevent.sleep(STORE_RETRY_S)
