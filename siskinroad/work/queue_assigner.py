"""Assignment of queues to pools, stored before the first job of a queue is.

A pool that the configuration has no more is claimed, and asked about a job, only if the
store says that a queue was sent there. A version may be in force for a moment only, in
which the pool has no owner yet that could store this. So the daemon that accepts a job
makes certain of it.
"""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.follower import Follower
from siskinroad.work.model import Queue
from siskinroad.work.queue_registry import (
    Assigned,
    QueueRegistry,
    Superseded,
    Unassigned,
)
from siskinroad.work.records import MEMBERS_TOPIC, StoredQueue, record_of
from siskinroad.work.store import Store

__all__ = ["QueueAssigner", "QueueSupersededError"]

# Seconds for one attempt to store an assignment and to read it again.
ASSIGN_TIMEOUT_S = 2.0

log = logging.getLogger("siskinroad.queue_assigner")


class QueueSupersededError(SiskinroadError):
    """A queue is sent to another pool by a version that this daemon has not read.

    Attributes
    ----------
    version : int
        The queue may be used here again from this version on.
    """

    def __init__(self, queue: str, version: int) -> None:
        super().__init__(
            f"queue {queue} is sent to another pool, or was removed; "
            f"expected version {version} or a later one",
            step="queue_assigner",
        )
        self.version = version


class QueueAssigner:
    """The writer of assignments that a submit of this daemon needs.

    Parameters
    ----------
    follower : Follower
        Reader of the topic with the records of the registry.
    """

    def __init__(
        self, registry: QueueRegistry, store: Store, follower: Follower
    ) -> None:
        self._registry = registry
        self._store = store
        self._follower = follower
        self._writing: dict[StoredQueue, asyncio.Task[None]] = {}

    def find(self, queue: Queue, at_least: int = 0) -> int | None:
        """Return by which version a queue is assigned to its pool.

        Returns None if that is to be stored.

        Parameters
        ----------
        at_least : int
            An older version does not count.

        Raises
        ------
        QueueSupersededError
            Another version of the configuration is needed.
        """
        match self._find(queue, at_least):
            case Assigned(version=version):
                return version
            case Superseded(version=version):
                raise QueueSupersededError(queue.name, version)
        return None

    def _find(self, queue: Queue, at_least: int) -> Assigned | Unassigned | Superseded:
        read_to = self._follower.next_offset
        return self._registry.find_assignment(queue, read_to, at_least)

    async def assign(self, queue: Queue, at_least: int = 0) -> int:
        """Return by which version a queue is assigned, once that is stored and read.

        Raises
        ------
        QueueSupersededError
            Another version of the configuration is needed.
        SiskinroadError
            The store has not answered in time.
        """
        while True:
            match self._find(queue, at_least):
                case Assigned(version=version):
                    return version
                case Superseded(version=version):
                    raise QueueSupersededError(queue.name, version)
                case Unassigned(record=record):
                    await self._write_once(record)

    async def _write_once(self, queue: StoredQueue) -> None:
        """Store an assignment, by one append for all submits that need it."""
        task = self._writing.get(queue)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._write(queue))
            self._writing[queue] = task
            task.add_done_callback(lambda _: self._writing.pop(queue))
        await asyncio.shield(task)

    async def _write(self, queue: StoredQueue) -> None:
        extra = {"queue": queue.name, "pool": queue.pool, "version": queue.version}
        loop = asyncio.get_running_loop()
        try:
            offset = await self._store.append(MEMBERS_TOPIC, [record_of(queue)])
            self._registry.apply_record(queue, loop.time(), offset)
            await self._follower.confirm(ASSIGN_TIMEOUT_S)
        except SiskinroadError as exc:
            log.warning(
                "queue_assigner: assignment of a queue not stored or not read",
                extra={**extra, "error": str(exc)},
            )
            raise
        log.info(
            "queue_assigner: queue assigned to its pool",
            extra={**extra, "offset": offset, "read_to": self._follower.next_offset},
        )

    async def close(self) -> None:
        """Abandon what is being stored; it may still take effect."""
        tasks = list(self._writing.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
