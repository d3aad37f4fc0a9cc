"""An in-memory twin of the store, with faults on request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from siskinroad.work.store import (
    Fence,
    FencedError,
    Newest,
    NewestPage,
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
    Tail,
    TailMovedError,
    TrimmedError,
)

__all__ = ["MemoryLogs", "MemoryStore", "StoreFaults"]


@dataclass(slots=True)
class StoreFaults:
    """Faults in force.

    Attributes
    ----------
    down : bool
        No call is sent, and all of them say so.
    silent : bool
        Nothing is answered or done, and no call can say so.
    slow : float
        Seconds that every call takes.
    lost_answers : int
        So many of the next appends take effect without an answer.
    late : float
        Seconds after which an append without an answer takes effect.
    cut : set of str
        Clients that cannot reach the store.
    deaf : set of str
        Clients whose reads get no answer, while their appends take effect.
    """

    down: bool = False
    silent: bool = False
    slow: float = 0.0
    lost_answers: int = 0
    late: float = 0.0
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Topic:
    first: int = 0
    records: list[Record] = field(default_factory=list)
    newest: dict[str, Newest] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, tuple[int, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class MemoryLogs:
    """The topics that all clients share."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    topics: dict[str, _Topic] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    page: int = 500

    def topic(self, name: str) -> _Topic:
        """Return a topic, made on first use."""
        return self.topics.setdefault(name, _Topic())

    def append(
        self, name: str, records: list[Record], at: int | None, fence: Fence | None
    ) -> int:
        """Append at once, without faults."""
        topic = self.topic(name)
        if fence is not None:
            known = topic.epochs.get(fence.producer, -1)
            if fence.epoch < known:
                raise FencedError("lower epoch", step="store.append")
            topic.epochs[fence.producer] = fence.epoch
            last = topic.sequences.get(fence.producer)
            if last == (fence.epoch, fence.sequence):
                return topic.end
            topic.sequences[fence.producer] = (fence.epoch, fence.sequence)
        if at is not None and at != topic.end:
            raise TailMovedError(topic.end)
        offset = topic.end
        for record in records:
            topic.newest[record.key] = Newest(record.key, record.value, topic.end)
            if not record.value:
                del topic.newest[record.key]
            topic.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def trim(self, name: str) -> None:
        """Drop the history of a topic; the newest of each key stays."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()


class MemoryStore(Store):
    """One client's view of ``MemoryLogs``.

    Parameters
    ----------
    client : str
        Name by which faults cut this client off.
    """

    def __init__(self, logs: MemoryLogs, client: str = "") -> None:
        self.logs = logs
        self.client = client

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        at: int | None = None,
        fence: Fence | None = None,
        timeout: float = 1.0,
    ) -> int:
        """Append records; see the base class."""
        await self._reach(timeout)
        faults = self.logs.faults
        if faults.lost_answers <= 0:
            return self.logs.append(topic, records, at, fence)
        faults.lost_answers -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(faults.late, self._late, topic, records, at, fence)
        await asyncio.sleep(timeout)
        raise StoreUnknownError("no answer", step="store.append")

    def _late(
        self, topic: str, records: list[Record], at: int | None, fence: Fence | None
    ) -> None:
        try:
            self.logs.append(topic, records, at, fence)
        except (TailMovedError, FencedError):
            return

    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> Tail:
        """Read records; see the base class."""
        await self._reach(timeout)
        if self.client in self.logs.faults.deaf:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no answer", step="store.read")
        log = self.logs.topic(topic)
        until = asyncio.get_running_loop().time() + wait
        while start >= log.end:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self.logs.changed.wait()
            except TimeoutError:
                break
            await self._check_reach(timeout)
        await self._check_reach(timeout)
        if start < log.first:
            raise TrimmedError(log.first)
        return Tail(start, tuple(log.records[start - log.first :]), log.end)

    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return the newest records; see the base class."""
        await self._reach(timeout)
        log = self.logs.topic(topic)
        keys = sorted(key for key in log.newest if key > after)
        shown = keys[: self.logs.page]
        items = tuple(log.newest[key] for key in shown)
        return NewestPage(items, len(shown) < len(keys), log.end)

    async def _reach(self, timeout: float) -> None:
        await asyncio.sleep(self.logs.faults.slow)
        await self._check_reach(timeout)

    async def _check_reach(self, timeout: float) -> None:
        if self.logs.faults.down or self.client in self.logs.faults.cut:
            await asyncio.sleep(timeout)
            raise StoreUnavailableError("unreachable", step="store")
        if self.logs.faults.silent:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no answer", step="store")
