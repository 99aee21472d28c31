"""Retries store calls within a caller's deadline.

If a write fails, the error raised tells whether it may have taken effect.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

import gevent

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure.exceptions import (
    IsolatedFromStoreError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving.exceptions import DeadlineError, OverloadedError

STORE_RETRY_S: Final = 0.1
UNAVAILABLE_RETRY_S: Final = 1.0  # Retry-After while no instance reaches the store
# Retry-After of an isolated instance: another one can serve the caller.
OTHER_INSTANCE_RETRY_S: Final = 0.05
T = TypeVar("T")


def resolve_write(
    write: Callable[[], T], deadline: float, clock: Clock, *, repeat_conflicts: bool = False
) -> T:
    """Repeat a conditional write until its outcome is known and return its result.

    Raises OverloadedError if the write can't have taken effect, DeadlineError if it may have.
    VersionConflictError is passed on, as a conflict does not tell whether an earlier write
    without a reply took effect. With ``repeat_conflicts`` it is retried instead: ``write`` must
    then read the record again each time.

    Load pattern: an instance is isolated from the store while callers still reach it. It ends the
    request at once, as another instance can serve it. While no instance reaches the store, the
    write is retried until the deadline.
    """
    reply_lost = False
    while True:
        retry_s = UNAVAILABLE_RETRY_S
        try:
            return write()
        except ReplyLostError as err:
            reply_lost, failure = True, str(err)
        except IsolatedFromStoreError as err:
            deadline, retry_s, failure = clock.monotonic(), OTHER_INSTANCE_RETRY_S, str(err)
        except PlatformUnavailableError as err:
            failure = str(err)
        except VersionConflictError as err:
            if not repeat_conflicts:
                raise
            failure = str(err)
        if clock.monotonic() + STORE_RETRY_S > deadline:
            if reply_lost:
                raise DeadlineError(f"the outcome of the write is unknown: {failure}")
            raise OverloadedError(f"not stored: {failure}", retry_s)
        gevent.sleep(STORE_RETRY_S)


def read_with_retry(read: Callable[[], T], deadline: float, clock: Clock) -> T:
    """Repeat a read until it succeeds.

    Raises OverloadedError, which guarantees that nothing ran, at the deadline or at once if this
    instance is isolated from the store.
    """
    while True:
        try:
            return read()
        except IsolatedFromStoreError as err:
            raise OverloadedError(f"store not readable: {err}", OTHER_INSTANCE_RETRY_S) from err
        except (ReplyLostError, PlatformUnavailableError) as err:
            if clock.monotonic() + STORE_RETRY_S > deadline:
                raise OverloadedError(f"store not readable: {err}", UNAVAILABLE_RETRY_S) from err
        gevent.sleep(STORE_RETRY_S)
