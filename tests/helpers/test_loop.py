from __future__ import annotations

import pytest

from clementinepin.helpers.loop import LoopBackendError, check_loop_backend


class _Loop:
    def __init__(self, backend: str) -> None:
        self.backend = backend


def test_running_loop_is_allowed():
    assert check_loop_backend() in ("epoll", "poll", "select")


def test_other_library_is_rejected():
    with pytest.raises(LoopBackendError):
        check_loop_backend(_Loop("default"))


def test_io_uring_is_rejected():
    loop = _Loop("iouring")
    _Loop.__module__ = "gevent.libev.corecext"
    with pytest.raises(LoopBackendError):
        check_loop_backend(loop)
