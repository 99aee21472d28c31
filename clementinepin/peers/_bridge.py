"""Bridge between the gevent loop and an asyncio loop in a native thread."""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.pool import Pool

from clementinepin.peers.exceptions import PeerUnavailableError

HANDLER_GREENLETS_MAX = 256
# The coroutine ends at its own timeout; its result needs time to reach the greenlet.
RESULT_MARGIN_S = 1.0
STOP_TIMEOUT_S = 5.0


class AsyncBridge:
    """Runs coroutines for greenlets and functions in greenlets for coroutines.

    The threads share only the queue of callbacks, which ``_post`` fills, and its watcher.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run_loop, name="peers", daemon=True)
        self._callbacks: deque[Callable[[], None]] = deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._greenlets = Pool(HANDLER_GREENLETS_MAX)
        self._closed = False

    def start(self) -> None:
        """Start the thread of the asyncio loop."""
        self._watcher.start(self._run_callbacks)
        self._thread.start()

    def call(self, create: Callable[[], Coroutine[Any, Any, Any]], timeout_s: float) -> Any:
        """Run a coroutine on the asyncio loop and return its result; called in a greenlet.

        Raises the errors of the coroutine, TimeoutError if it does not end within the timeout, and
        PeerUnavailableError if the bridge is not running or the loop does not respond.
        """
        if self._closed or not self._thread.is_alive():
            raise PeerUnavailableError("the peer network is not running")
        result = AsyncResult()
        self._loop.call_soon_threadsafe(self._start_task, create, timeout_s, result)
        try:
            return result.get(timeout=timeout_s + RESULT_MARGIN_S)
        except gevent.Timeout as err:
            raise PeerUnavailableError(f"no result within {timeout_s + RESULT_MARGIN_S} s") from err

    async def run_in_greenlet(self, function: Callable[[], Any]) -> Any:
        """Run a function in a greenlet and return its result; called on the asyncio loop."""
        future: asyncio.Future[Any] = self._loop.create_future()
        self._post(lambda: self._spawn(function, future))
        return await future

    def stop(self) -> None:
        """Cancel running coroutines and end the thread."""
        if self._closed:
            return
        self._closed = True
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._cancel_tasks)
            gevent.get_hub().threadpool.apply(self._thread.join, (STOP_TIMEOUT_S,))
        self._run_callbacks()
        self._watcher.stop()
        self._watcher.close()

    def _start_task(
        self,
        create: Callable[[], Coroutine[Any, Any, Any]],
        timeout_s: float,
        result: AsyncResult[Any],
    ) -> None:
        task = self._loop.create_task(asyncio.wait_for(create(), timeout_s))
        task.add_done_callback(lambda done: self._finish(done, result))

    def _finish(self, task: asyncio.Task[Any], result: AsyncResult[Any]) -> None:
        if task.cancelled():
            error: BaseException | None = PeerUnavailableError("the peer network stopped")
        else:
            error = task.exception()
        if error is None:
            value = task.result()
            self._post(lambda: result.set(value))
        else:
            self._post(lambda: result.set_exception(error))

    def _post(self, function: Callable[[], None]) -> None:
        """Run a function in the gevent thread; called on the asyncio loop."""
        self._callbacks.append(function)
        if not self._closed:
            self._watcher.send()

    def _run_callbacks(self) -> None:
        while self._callbacks:
            self._callbacks.popleft()()

    def _spawn(self, function: Callable[[], Any], future: asyncio.Future[Any]) -> None:
        """Run a function in a greenlet and set its result on the future, in the gevent thread."""
        if self._closed or self._greenlets.full():
            self._resolve(
                future, None, PeerUnavailableError("too many messages are handled at once")
            )
            return
        self._greenlets.spawn(self._run_function, function, future)

    def _run_function(self, function: Callable[[], Any], future: asyncio.Future[Any]) -> None:
        try:
            value = function()
        except Exception as err:
            self._resolve(future, None, err)
            return
        self._resolve(future, value, None)

    def _resolve(self, future: asyncio.Future[Any], value: Any, error: Exception | None) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(_set_future, future, value, error)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()

    def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        finished = asyncio.gather(*tasks, return_exceptions=True)
        finished.add_done_callback(lambda _done: self._loop.stop())


def _set_future(future: asyncio.Future[Any], value: Any, error: Exception | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(value)
    else:
        future.set_exception(error)
