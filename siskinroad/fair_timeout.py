"""Timeout that a late event loop does not cut short.

A loop that is late runs the callback of an expired timeout in the same turn in which it
reads the reply, and so drops a reply that has arrived in time. A fair timeout lets the
loop poll its sockets some more times before it expires. On a loop that is on time, this
adds less than a millisecond.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

__all__ = ["FairTimeout", "FairTimer", "let_loop_poll"]

# Turns of the loop between the end of the time limit and the timeout. Fewer than eight
# do not cover opening a connection, writing the request and reading the reply.
GRACE_TURNS = 8


class FairTimer:
    """Call of a function after a delay, once the loop has polled its sockets.

    Parameters
    ----------
    delay_s : float
        Delay in seconds.
    """

    __slots__ = ("_callback", "_handle")

    def __init__(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._callback = callback
        loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle = loop.call_later(
            delay_s, self._count_down, GRACE_TURNS
        )

    def cancel(self) -> None:
        """Cancel the call, if it has not been made yet."""
        self._handle.cancel()

    def _count_down(self, turns: int) -> None:
        if turns:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_soon(self._count_down, turns - 1)
        else:
            self._callback()


class FairTimeout:
    """Asynchronous context manager that raises ``TimeoutError`` after a time limit.

    Parameters
    ----------
    limit_s : float
        Time limit in seconds.
    """

    __slots__ = ("_limit_s", "_timeout", "_timer")

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._timeout = asyncio.timeout(None)
        self._timer: FairTimer | None = None

    async def __aenter__(self) -> FairTimeout:
        await self._timeout.__aenter__()
        self._timer = FairTimer(self._limit_s, self._expire)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._timer is not None
        self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _expire(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())


async def let_loop_poll() -> None:
    """Let the loop read what has arrived before a conclusion from silence."""
    for _ in range(GRACE_TURNS):
        await asyncio.sleep(0)
