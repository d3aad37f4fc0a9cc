"""Finds out soon that the store answers again after a silence.

Load that this answers: an outage that ends while every daemon still waits for the
answers to its old questions. Callers are refused until one answer has come.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import Store, TrimmedError

__all__ = ["StoreWatch"]

# Seconds without an answer after which the store is asked: reads that wait a
# second answer more often than that.
QUIET_TIME = 1.2
# Seconds between two questions, and for the answer to one.
ASK_SPACING = 0.25
ASK_TIME = 0.6

log = logging.getLogger("siskinroad.watch")


class StoreWatch:
    """Asks the store a small question now and then while it is silent.

    Parameters
    ----------
    store : Store
        The store as this daemon reaches it by itself.
    topic : str
        A topic that every daemon may read.
    answered_at : callable
        Returns the loop time of the store's last direct answer.
    answered : callable
        Called when a question has been answered.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        answered_at: Callable[[], float],
        answered: Callable[[], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._answered_at = answered_at
        self._answered = answered

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ASK_SPACING)
            if loop.time() - self._answered_at() >= QUIET_TIME:
                await self._ask()

    async def _ask(self) -> None:
        try:
            await self._store.read(self._topic, 0, wait=0.0, timeout=ASK_TIME)
        except TrimmedError:
            self._answered()
        except SiskinroadError as exc:
            log.debug("watch: store is silent", extra={"error": str(exc)})
        else:
            self._answered()
