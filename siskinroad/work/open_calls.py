"""Calls without an answer, which end once the store has answered after an outage.

A call that was sent while the store was silent is never answered. The time limit of an
append would otherwise hold up all records of its topic for seconds after the store's
return, and that of a read the claim of a pool.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from siskinroad.work.store import StoreUnknownError

__all__ = ["OpenCalls"]

# Seconds for which a call has been open before it is ended: a younger one may have
# reached the store after its return.
MIN_OPEN_TIME = 0.2


class OpenCalls:
    """The calls of one kind of one daemon that have no answer yet."""

    def __init__(self) -> None:
        self._sent_at: dict[asyncio.Timeout, float] = {}
        self._is_arriving: dict[asyncio.Timeout, Callable[[], bool]] = {}

    @asynccontextmanager
    async def track(
        self, is_arriving: Callable[[], bool] = lambda: False
    ) -> AsyncIterator[None]:
        """Track the call that the body makes.

        Parameters
        ----------
        is_arriving : callable, optional
            Returns whether the answer is arriving; such a call is not ended.

        Raises
        ------
        StoreUnknownError
            If the call was ended; an append may still take effect.
        """
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._sent_at[timeout] = asyncio.get_running_loop().time()
                self._is_arriving[timeout] = is_arriving
                yield
        except TimeoutError as exc:
            raise StoreUnknownError(
                "call not answered, while the store answers again", step="relay"
            ) from exc
        finally:
            self._sent_at.pop(timeout, None)
            self._is_arriving.pop(timeout, None)

    def end_old(self) -> int:
        """End the calls that have been open for some time; return their number."""
        now = asyncio.get_running_loop().time()
        old = [
            timeout
            for timeout, sent_at in self._sent_at.items()
            if now - sent_at >= MIN_OPEN_TIME
            and not timeout.expired()
            and not self._is_arriving[timeout]()
        ]
        for timeout in old:
            timeout.reschedule(now)
        return len(old)
