"""Storage of the queue registry: the owner of a pool keeps the queues sent to it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

from siskinroad.errors import SiskinroadError
from siskinroad.work.owner import PoolOwner
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import (
    MEMBERS_TOPIC,
    QUEUE_PREFIX,
    StoredQueue,
    decode_stored,
    record_of,
)
from siskinroad.work.store import NewestRecord, Record, Store

__all__ = ["QueueRecorder"]

# Seconds between two checks for queues that are to be stored or forgotten.
CHECK_INTERVAL = 1.0

log = logging.getLogger("siskinroad.queue_recorder")


class QueueRecorder:
    """The writer of the queues of this daemon's pools, and reader of all.

    The records share the topic of the members, which every daemon follows.

    Attributes
    ----------
    check_requested : asyncio.Event
        Set when a queue may have to be stored.
    """

    def __init__(
        self,
        registry: QueueRegistry,
        store: Store,
        owners: Mapping[str, PoolOwner],
    ) -> None:
        self.check_requested = asyncio.Event()
        self._registry = registry
        self._store = store
        self._owners = owners

    def apply_records(self, items: tuple[NewestRecord, ...], is_snapshot: bool) -> None:
        """Apply the queues among the records of the members' topic."""
        now = asyncio.get_running_loop().time()
        items = tuple(item for item in items if item.key.startswith(QUEUE_PREFIX))
        if is_snapshot:
            self._registry.keep_listed({item.key for item in items if item.value})
            self._registry.is_read = True
        for item in items:
            if not item.value:
                self._registry.remove(item.key)
                continue
            try:
                stored = decode_stored(item.value)
            except SiskinroadError as exc:
                log.error(
                    "queue_recorder: record cannot be decoded; ignoring it",
                    extra={"key": item.key, "error": str(exc)},
                )
                continue
            if isinstance(stored, StoredQueue):
                self._registry.apply_record(stored, now, item.offset)
        if items:
            for pool, owner in self._owners.items():
                owner.add_known_queues(self._registry.list_queues(pool))

    async def run(self) -> None:
        """Store and forget queues until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL):
                    await self.check_requested.wait()
            except TimeoutError:
                pass
            self.check_requested.clear()
            for pool, owner in list(self._owners.items()):
                await self._update(pool, owner)

    async def _update(self, pool: str, owner: PoolOwner) -> None:
        """Store what has changed of one pool's queues; a later check tries again."""
        held = owner.list_held_queues() if self._registry.has_ended_queues(pool) else ()
        now = asyncio.get_running_loop().time()
        queues = self._registry.list_unstored(pool, held)
        obsolete: list[str] = []
        if owner.term.is_owner_confirmed():
            obsolete = self._registry.list_obsolete(pool, held, now)
        records = [record_of(queue) for queue in queues]
        records += [Record(key, b"") for key in obsolete]
        if not records:
            return
        extra = {"pool": pool, "stored": len(queues), "forgotten": len(obsolete)}
        try:
            offset = await self._store.append(MEMBERS_TOPIC, records)
        except SiskinroadError as exc:
            log.warning(
                "queue_recorder: queues of a pool not stored; retrying",
                extra={**extra, "error": str(exc)},
            )
            return
        log.info("queue_recorder: queues of a pool stored", extra=extra)
        for i, queue in enumerate(queues):
            self._registry.apply_record(queue, now, offset + i)
        for key in obsolete:
            self._registry.remove(key)
