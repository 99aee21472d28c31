"""Check that gevent runs on an allowed event loop."""

from __future__ import annotations

from typing import Any

import gevent

from clementinepin.exceptions import ClementinepinError

ALLOWED_LIBRARY = "libev"
REFUSED_BACKENDS = ("iouring", "io_uring", "linuxaio")


class LoopBackendError(ClementinepinError):
    """The event loop may use io_uring, which is not permitted on the instances."""

    code = "loop_backend_refused"


def check_loop_backend(loop: Any = None) -> str:
    """Return the backend of the loop; raise LoopBackendError if it is not allowed."""
    loop = gevent.get_hub().loop if loop is None else loop
    library = type(loop).__module__
    backend = str(getattr(loop, "backend", ""))
    if ALLOWED_LIBRARY not in library:
        raise LoopBackendError(f"event loop {library} is not allowed, set GEVENT_LOOP=libev-cext")
    if not backend or backend in REFUSED_BACKENDS:
        raise LoopBackendError(f"event loop backend {backend!r} is not allowed")
    return backend
