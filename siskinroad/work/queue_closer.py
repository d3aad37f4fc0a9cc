"""Closing of queues that are sent to another pool, by the owner of the former one."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.follower import Follower
from siskinroad.work.progress import ProgressLog
from siskinroad.work.queue_closings import QueueClosings
from siskinroad.work.records import (
    QueueClosed,
    QueueClosing,
    closing_key,
    job_topic,
    record_of,
)
from siskinroad.work.store import Record, StoreUnavailableError, StoreUnknownError
from siskinroad.work.term import Term

__all__ = ["QueueCloser"]

# Seconds for one call to the store.
STORE_TIMEOUT_S = 2.0

log = logging.getLogger("siskinroad.queue_closer")


class QueueCloser:
    """The component of an owner that closes queues of its pool (`queue_closings`)."""

    def __init__(
        self,
        term: Term,
        closings: QueueClosings,
        follower: Follower,
        progress: ProgressLog,
    ) -> None:
        self._term = term
        self._closings = closings
        self._follower = follower
        self._progress = progress
        self._task: asyncio.Task[None] | None = None

    async def close(
        self, queues: tuple[str, ...], version: int, timeout: float
    ) -> None:
        """Return once queues are closed for jobs of older assignments than a version.

        The closing goes on after the timeout, so that a later call finds it done.

        Raises
        ------
        SiskinroadError
            The closing is not complete yet.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while todo := self._closings.list_incomplete(queues, version):
            task = self._task
            is_own = task is None or task.done()
            if is_own:
                task = self._task = self._term.spawn(self._run(todo, version))
            if task is None:
                raise StoreUnavailableError("owner is stopping", step="queue_closer")
            remaining_s = deadline - asyncio.get_running_loop().time()
            done, _ = await asyncio.wait({task}, timeout=max(0.0, remaining_s))
            if not done:
                raise StoreUnknownError("closing is under way", step="queue_closer")
            if is_own and self._closings.list_incomplete(todo, version):
                raise StoreUnavailableError("closing has failed", step="queue_closer")

    async def _run(self, queues: list[str], version: int) -> None:
        extra = {
            "pool": self._term.pool,
            "term": self._term.number,
            "queues": queues,
            "version": version,
        }
        try:
            await self._mark(queues, version)
            await self._complete(queues, version)
        except SiskinroadError as exc:
            log.warning(
                "queue_closer: queues are not closed yet; a later submit tries again",
                extra={**extra, "error": str(exc)},
            )
            return
        log.info(
            "queue_closer: queues closed; jobs of older assignments that are stored "
            "from now on are not accepted",
            extra=extra,
        )

    async def _mark(self, queues: list[str], version: int) -> None:
        """Store the closings in the topic of jobs, and read all records up to them."""
        unnoted = self._closings.list_unnoted(queues, version)
        if not unnoted:
            return
        records: list[Record] = []
        for queue in unnoted:
            former = QueueClosing(queue, self._closings.noted.get(queue, 0))
            if former.version:
                records.append(Record(closing_key(former), b""))
            records.append(record_of(QueueClosing(queue, version)))
        await self._term.dependencies.store.append(
            job_topic(self._term.pool), records, timeout=STORE_TIMEOUT_S
        )
        await self._follower.confirm(STORE_TIMEOUT_S)

    async def _complete(self, queues: list[str], version: int) -> None:
        """Store the progress of all jobs of the queues, then that they are closed."""
        if self._closings.list_unnoted(queues, version):
            raise StoreUnavailableError("closings not read", step="queue_closer")
        pool_state = self._term.pool_state
        names = set(queues)
        pool_state.dirty.update(
            job.id
            for job in pool_state.jobs.values()
            if job.queue in names and not job.stored_outcome
        )
        closed = [QueueClosed(queue, version) for queue in queues]
        await self._progress.store_closings(closed)
        for each in closed:
            self._closings.complete_closing(each)
