"""Group commit: records that wait together go out as one append.

A record's future is done once its append is confirmed. This is the tracker of
replies held until the log acknowledges them that MemoryDB uses ("Amazon
MemoryDB: A Fast and Durable Memory-First Cloud Database", section 3.2).
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

GATHER_TIME = 0.005
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 1.0
MAX_WAITING = 20_000
MAX_BATCH_RECORDS = 256


@dataclass(slots=True)
class _Waiting:
    record: Record
    fut: asyncio.Future[int]
    until: float


class Appender:
    """Appends the records of one daemon to one stream, in order.

    An append whose answer is lost is repeated: records have no further effect
    when they stand in the log twice.

    Parameters
    ----------
    appended : callable
        Called with the offset after each confirmed append.
    """

    def __init__(
        self,
        platform: Platform,
        stream: str,
        writer: str,
        rng: random.Random,
        appended: Callable[[int], None] = lambda offset: None,
    ) -> None:
        self.platform = platform
        self.stream = stream
        self.writer = writer
        self.rng = rng
        self.appended = appended
        self.appends = 0
        self.failures = 0
        self._waiting: list[_Waiting] = []
        self._wake = asyncio.Event()

    def put(self, record: Record, within: float) -> asyncio.Future[int]:
        """Append a record.

        Parameters
        ----------
        within : float
            Seconds after which the future fails with ``PlatformError``; the
            record may then nevertheless be in the log.

        Returns
        -------
        asyncio.Future
            Its result is the offset of the append.
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[int] = loop.create_future()
        fut.add_done_callback(_retrieve)
        if len(self._waiting) >= MAX_WAITING:
            fut.set_exception(PlatformError("too many records wait", step="append"))
            return fut
        self._waiting.append(_Waiting(record, fut, loop.time() + within))
        self._wake.set()
        return fut

    async def flushed(self) -> None:
        """Wait until nothing waits to be appended."""
        while self._waiting:
            futures = [entry.fut for entry in self._waiting]
            await asyncio.wait(futures)

    async def run(self) -> None:
        """Append what waits until cancelled."""
        pause = FIRST_PAUSE
        while True:
            await self._wake.wait()
            await asyncio.sleep(GATHER_TIME)
            if await self._flush():
                pause = FIRST_PAUSE
                continue
            await asyncio.sleep(self.rng.uniform(pause / 2, pause))
            pause = min(pause * 2, LONGEST_PAUSE)

    async def _flush(self) -> bool:
        """Append one batch; return whether the platform answered."""
        now = asyncio.get_running_loop().time()
        self._expire(now)
        batch = self._waiting[: min(MAX_BATCH_RECORDS, MAX_BATCH)]
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
        del self._waiting[: len(batch)]
        for entry in batch:
            if not entry.fut.done():
                entry.fut.set_result(offset)
        self.appended(offset)
        return True

    def _expire(self, now: float) -> None:
        late = [entry for entry in self._waiting if entry.until <= now]
        if not late:
            return
        self._waiting = [entry for entry in self._waiting if entry.until > now]
        for entry in late:
            if not entry.fut.done():
                exc = PlatformError("append not confirmed in time", step="append")
                entry.fut.set_exception(exc)


def _retrieve(fut: asyncio.Future[int]) -> None:
    """Mark a failure as seen, for callers that do not wait."""
    if not fut.cancelled():
        fut.exception()
