"""Group commit: records that are pending together are written as one append.

A record's future is done once the log has confirmed its append. MemoryDB likewise holds
replies until the log acknowledges them ("Amazon MemoryDB: A Fast and Durable
Memory-First Cloud Database", section 3.2).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import PlatformError
from siskinroad.platform import Platform
from siskinroad.records import MAX_BATCH, Record, encode_batch

__all__ = ["Appender"]

# Seconds to collect records before an append. A smaller value makes more appends, a
# larger one delays every record.
BATCH_DELAY = 0.005
# Bounds in seconds of the pause after a failed append; it doubles with each failure.
# Smaller values load a failing platform, larger ones delay recovery.
MIN_BACKOFF = 0.05
MAX_BACKOFF = 1.0
# Most pending records. Without a bound, memory would grow while the log is down; a
# smaller one refuses records during a short outage.
MAX_PENDING = 20_000
# Most records in one append, so that an append stays small; a smaller value needs more
# appends for the same records.
MAX_BATCH_RECORDS = 256


@dataclass(slots=True)
class _PendingRecord:
    record: Record
    fut: asyncio.Future[int]
    deadline: float


class Appender:
    """Batch appender of one daemon's records to one stream, in order.

    An append whose reply is lost is repeated, since a record that is in the log twice
    has no further effect.

    Parameters
    ----------
    on_append : callable
        Called with the offset after each confirmed append.
    """

    def __init__(
        self,
        platform: Platform,
        stream: str,
        writer: str,
        rng: random.Random,
        on_append: Callable[[int], None] = lambda offset: None,
    ) -> None:
        self.platform = platform
        self.stream = stream
        self.writer = writer
        self.rng = rng
        self.on_append = on_append
        self.appends = 0
        self.failures = 0
        self._pending: list[_PendingRecord] = []
        self._wake = asyncio.Event()

    def append(self, record: Record, timeout: float) -> asyncio.Future[int]:
        """Queue a record for the next append.

        Parameters
        ----------
        timeout : float
            Seconds after which the future fails with ``PlatformError``; the
            record may be in the log nevertheless.

        Returns
        -------
        asyncio.Future
            Its result is the offset of the append.
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[int] = loop.create_future()
        fut.add_done_callback(_mark_retrieved)
        if len(self._pending) >= MAX_PENDING:
            fut.set_exception(
                PlatformError(
                    "record not appended: too many records pending", step="append"
                )
            )
            return fut
        self._pending.append(_PendingRecord(record, fut, loop.time() + timeout))
        self._wake.set()
        return fut

    async def wait_flushed(self) -> None:
        """Wait until no record is pending."""
        while self._pending:
            futures = [entry.fut for entry in self._pending]
            await asyncio.wait(futures)

    async def run(self) -> None:
        """Append pending records until cancelled."""
        backoff = MIN_BACKOFF
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY)
            if await self._flush():
                backoff = MIN_BACKOFF
                continue
            await asyncio.sleep(self.rng.uniform(backoff / 2, backoff))
            backoff = min(backoff * 2, MAX_BACKOFF)

    async def _flush(self) -> bool:
        """Append one batch; return whether the platform answered."""
        now = asyncio.get_running_loop().time()
        self._expire(now)
        batch = self._pending[: min(MAX_BATCH_RECORDS, MAX_BATCH)]
        if not batch:
            self._wake.clear()
            return True
        data = encode_batch(self.writer, [entry.record for entry in batch])
        try:
            offset = await self.platform.append(self.stream, data)
        except PlatformError:
            self.failures += 1
            self._expire(asyncio.get_running_loop().time())
            return False
        self.appends += 1
        del self._pending[: len(batch)]
        for entry in batch:
            if not entry.fut.done():
                entry.fut.set_result(offset)
        self.on_append(offset)
        return True

    def _expire(self, now: float) -> None:
        expired = [entry for entry in self._pending if entry.deadline <= now]
        if not expired:
            return
        self._pending = [entry for entry in self._pending if entry.deadline > now]
        for entry in expired:
            if not entry.fut.done():
                exc = PlatformError("append not confirmed in time", step="append")
                entry.fut.set_exception(exc)


def _mark_retrieved(fut: asyncio.Future[int]) -> None:
    """Retrieve the exception, so that asyncio does not log a future nobody awaits."""
    if not fut.cancelled():
        fut.exception()
