"""Reader of the closings of queues, for a daemon that does not own the pool.

Such a daemon may have stored a job behind a closing that it has not read. It asks the
store after each append, by one read for all jobs that were stored before the read.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.records import (
    CLOSINGS_START,
    QueueClosing,
    decode_stored,
    job_topic,
)
from siskinroad.work.store import Store, read_all_newest

__all__ = ["ClosingReader", "NewestClosings"]

# Seconds for one read of a pool's closings.
READ_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class NewestClosings:
    """The closings in a pool's topic of jobs.

    Attributes
    ----------
    versions : dict of str to int
        Version of the newest closing of each queue.
    end : int
        Offset at which the topic ended as it was read.
    """

    versions: dict[str, int]
    end: int


class ClosingReader:
    """Reader of the newest closing of each queue in a pool's topic of jobs."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._next: dict[str, asyncio.Task[NewestClosings]] = {}
        self._reading: dict[str, asyncio.Task[NewestClosings]] = {}

    async def read(self, pool: str) -> NewestClosings:
        """Return the newest closings, by a read that is sent after this call.

        Raises
        ------
        SiskinroadError
            The store has not answered.
        """
        task = self._next.get(pool)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._read_next(pool))
            self._next[pool] = task
        return await asyncio.shield(task)

    async def _read_next(self, pool: str) -> NewestClosings:
        """Read once the read that is under way has ended."""
        under_way = self._reading.get(pool)
        if under_way is not None:
            await asyncio.wait({under_way})
        task = self._next.pop(pool)
        self._reading[pool] = task
        try:
            return await self._read(pool)
        finally:
            del self._reading[pool]

    async def _read(self, pool: str) -> NewestClosings:
        page = await read_all_newest(
            self._store, job_topic(pool), READ_TIMEOUT_S, CLOSINGS_START
        )
        versions: dict[str, int] = {}
        for item in page.items:
            with contextlib.suppress(SiskinroadError):
                closing = decode_stored(item.value)
                if isinstance(closing, QueueClosing):
                    newest = max(closing.version, versions.get(closing.queue, 0))
                    versions[closing.queue] = newest
        return NewestClosings(versions, page.end)

    async def close(self) -> None:
        """Abandon the reads."""
        tasks = [*self._next.values(), *self._reading.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
