"""In-memory implementation of the store with injectable faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from siskinroad.work.store import (
    Fence,
    FencedError,
    NewestPage,
    NewestRecord,
    OffsetMismatchError,
    ReadResult,
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
    TrimmedError,
)

__all__ = ["MemoryLogs", "MemoryStore", "StoreFaults"]


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject into store calls.

    Attributes
    ----------
    is_unavailable : bool
        Every call fails without effect, with ``StoreUnavailableError``.
    is_silent : bool
        Every call goes unanswered and has no effect, and ends with
        ``StoreUnknownError``.
    call_delay_s : float
        Delay of every call in seconds.
    lost_replies : int
        Number of further appends that take effect without a reply.
    late_append_delay : float
        Seconds after which an append without a reply takes effect.
    cut : set of str
        Names of the clients that cannot reach the store.
    no_read_replies : set of str
        Names of the clients whose reads get no reply, while their appends succeed.
    """

    is_unavailable: bool = False
    is_silent: bool = False
    call_delay_s: float = 0.0
    lost_replies: int = 0
    late_append_delay: float = 0.0
    cut: set[str] = field(default_factory=set)
    no_read_replies: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Topic:
    first: int = 0
    records: list[Record] = field(default_factory=list)
    newest: dict[str, NewestRecord] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, tuple[int, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class MemoryLogs:
    """Topics shared by all clients.

    Attributes
    ----------
    changed : asyncio.Event
        Set at the next append to any topic, then replaced by a new event.
    page_size : int
        Largest number of keys in one page of the newest records.
    record_bytes, call_bytes : int
        Longest record that an append may have, and most bytes of all its records.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    topics: dict[str, _Topic] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    page_size: int = 500
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    def topic(self, name: str) -> _Topic:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, _Topic())

    def append(
        self, name: str, records: list[Record], at: int | None, fence: Fence | None
    ) -> int:
        """Append records immediately, without injected faults."""
        lengths = [len(record.value) for record in records]
        if (
            max(lengths, default=0) > self.record_bytes
            or sum(lengths) > self.call_bytes
        ):
            raise StoreUnavailableError("records too long", step="store.append")
        topic = self.topic(name)
        if fence is not None:
            highest_epoch = topic.epochs.get(fence.producer, -1)
            if fence.epoch < highest_epoch:
                raise FencedError(
                    "append has a lower epoch than the store has seen",
                    step="store.append",
                )
            topic.epochs[fence.producer] = fence.epoch
            last_append = topic.sequences.get(fence.producer)
            if last_append == (fence.epoch, fence.sequence):
                return topic.end
            topic.sequences[fence.producer] = (fence.epoch, fence.sequence)
        if at is not None and at != topic.end:
            raise OffsetMismatchError(topic.end)
        offset = topic.end
        for record in records:
            topic.newest[record.key] = NewestRecord(record.key, record.value, topic.end)
            if not record.value:
                del topic.newest[record.key]
            topic.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def trim(self, name: str, before: int | None = None) -> None:
        """Drop the records of a topic, but keep the newest of each key.

        Parameters
        ----------
        before : int, optional
            Offset of the first record that stays; without it, none stays.
        """
        topic = self.topic(name)
        first = topic.end if before is None else max(before, topic.first)
        del topic.records[: first - topic.first]
        topic.first = first


class MemoryStore(Store):
    """Store client on shared ``MemoryLogs``.

    Parameters
    ----------
    logs : MemoryLogs
        The topics, and the faults in force.
    client : str
        Name by which ``StoreFaults.cut`` and ``StoreFaults.no_read_replies`` select
        this client.
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
        await self._simulate_delay(timeout)
        faults = self.logs.faults
        if faults.lost_replies <= 0:
            return self.logs.append(topic, records, at, fence)
        faults.lost_replies -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(
            faults.late_append_delay, self._append_late, topic, records, at, fence
        )
        await asyncio.sleep(timeout)
        raise StoreUnknownError("no reply within the timeout", step="store.append")

    def _append_late(
        self, topic: str, records: list[Record], at: int | None, fence: Fence | None
    ) -> None:
        try:
            self.logs.append(topic, records, at, fence)
        except (OffsetMismatchError, FencedError):
            return

    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> ReadResult:
        """Read records; see the base class."""
        await self._simulate_delay(timeout)
        if self.client in self.logs.faults.no_read_replies:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no reply within the timeout", step="store.read")
        log = self.logs.topic(topic)
        deadline = asyncio.get_running_loop().time() + wait
        while start >= log.end:
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await self.logs.changed.wait()
            except TimeoutError:
                break
            await self._raise_if_unreachable(timeout)
        await self._raise_if_unreachable(timeout)
        if start < log.first:
            raise TrimmedError(log.first)
        return ReadResult(start, tuple(log.records[start - log.first :]), log.end)

    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return the newest record of each key; see the base class."""
        await self._simulate_delay(timeout)
        log = self.logs.topic(topic)
        keys = sorted(key for key in log.newest if key > after)
        page_keys = keys[: self.logs.page_size]
        items = tuple(log.newest[key] for key in page_keys)
        return NewestPage(items, len(page_keys) < len(keys), log.end)

    async def _simulate_delay(self, timeout: float) -> None:
        await asyncio.sleep(self.logs.faults.call_delay_s)
        await self._raise_if_unreachable(timeout)

    async def _raise_if_unreachable(self, timeout: float) -> None:
        if self.logs.faults.is_unavailable or self.client in self.logs.faults.cut:
            await asyncio.sleep(timeout)
            raise StoreUnavailableError("unreachable", step="store")
        if self.logs.faults.is_silent:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no reply within the timeout", step="store")
