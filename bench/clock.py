"""Event loop with a paused clock: time advances straight to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _AutoAdvanceSelector(selectors.SelectSelector):
    """Selector that polls sockets without blocking and advances the clock instead.

    ``now`` is the loop time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    "deadlock: no I/O is ready and no timer is scheduled"
                )
            self.now += timeout
        return ready


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is that of its selector."""

    def __init__(self) -> None:
        self._clock_selector = _AutoAdvanceSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        return self._clock_selector.now


def run_on_paused_clock(coro: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a paused clock; cancel the tasks that it leaves."""
    loop = PausedClockLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coro)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
