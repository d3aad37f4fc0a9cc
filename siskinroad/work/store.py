"""Interface to the platform's store: logs of keyed records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from siskinroad.errors import SiskinroadError

__all__ = [
    "MAX_APPEND_BYTES",
    "MAX_RECORD_BYTES",
    "Fence",
    "FencedError",
    "NewestPage",
    "NewestRecord",
    "OffsetMismatchError",
    "ReadResult",
    "Record",
    "Store",
    "StoreUnavailableError",
    "StoreUnknownError",
    "TrimmedError",
    "read_all_newest",
]


# Longest record, and most bytes of records in one append, that are sent to the store:
# it takes a quarter of a megabyte and two megabytes.
MAX_RECORD_BYTES = 200_000
MAX_APPEND_BYTES = 1_000_000


class StoreUnavailableError(SiskinroadError):
    """The call failed and the store did not carry it out."""


class StoreUnknownError(SiskinroadError):
    """The outcome of the call is unknown: it may have taken effect, or may yet."""


class FencedError(SiskinroadError):
    """The append was rejected because a higher epoch of the producer was seen."""


class OffsetMismatchError(SiskinroadError):
    """The partition does not end at the offset that the append required."""

    def __init__(self, end: int, *, step: str = "store.append") -> None:
        super().__init__(
            f"log ends at offset {end}, not at the required offset", step=step
        )
        self.end = end


class TrimmedError(SiskinroadError):
    """The requested offset is below ``first``, the lowest one retained."""

    def __init__(self, first: int) -> None:
        super().__init__(
            f"requested offset is no longer retained; log starts at offset {first}",
            step="store.read",
        )
        self.first = first


class Record(msgspec.Struct, frozen=True):
    """A keyed record; an empty ``value`` deletes the key."""

    key: str
    value: bytes


class NewestRecord(msgspec.Struct, frozen=True):
    """The newest record of a key, with its offset."""

    key: str
    value: bytes
    offset: int


@dataclass(slots=True, frozen=True)
class NewestPage:
    """One page of the newest records, sorted by key.

    Attributes
    ----------
    items : tuple of NewestRecord
        The newest record of each key of the page.
    more : bool
        Whether further keys follow the last one of ``items``.
    end : int
        Offset that the next append got when the page was read.
    """

    items: tuple[NewestRecord, ...]
    more: bool
    end: int


@dataclass(slots=True, frozen=True)
class ReadResult:
    """The records that a read returned.

    Attributes
    ----------
    start : int
        Offset of the first of ``records``.
    records : tuple of Record
        Consecutive records from ``start``.
    end : int
        Offset that the next append gets.
    """

    start: int
    records: tuple[Record, ...]
    end: int

    @property
    def next_offset(self) -> int:
        """The offset after the last of ``records``, where the next read starts."""
        return self.start + len(self.records)


@dataclass(slots=True, frozen=True)
class Fence:
    """A producer's fencing epoch and the sequence number of its append.

    From the first append with an epoch on, the partition rejects lower epochs of the
    producer. An append repeated with the same epoch and number takes effect once.
    """

    producer: str
    epoch: int
    sequence: int


class Store(ABC):
    """Named partitions of keyed records.

    Every method raises ``StoreUnavailableError`` if the call had no effect, and
    ``StoreUnknownError`` if its outcome is unknown. Timeouts are in seconds; a read
    whose answer is arriving may exceed its timeout.
    """

    @abstractmethod
    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        at: int | None = None,
        fence: Fence | None = None,
        timeout: float = 1.0,
    ) -> int:
        """Append all records or none, and return the offset of the first.

        Parameters
        ----------
        at : int, optional
            Append only if the next offset of the partition is this one.
        fence : Fence, optional
            The producer's epoch and sequence number, against appends of an earlier
            owner and against duplicates.

        Raises
        ------
        OffsetMismatchError
            If the partition does not end at ``at``.
        FencedError
            If the partition has seen a higher epoch of the producer.
        """

    @abstractmethod
    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> ReadResult:
        """Return the records from ``start`` on; wait up to ``wait`` seconds for one.

        Raises
        ------
        TrimmedError
            If ``start`` is no longer retained.
        """

    @abstractmethod
    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return a page of the newest record of each key that sorts after ``after``."""

    async def probe(self, topic: str, *, timeout: float = 1.0) -> None:
        """Return once the store has answered a read of a topic, and drop the answer.

        Raises
        ------
        TrimmedError
            As from ``read``; it is an answer too.
        """
        await self.read(topic, 0, wait=0.0, timeout=timeout)

    def is_arriving(self, topic: str | None = None) -> bool:
        """Return whether the answer to an open read is arriving.

        Such a read is not late, and one that is sent beside it would only delay it.

        Parameters
        ----------
        topic : str, optional
            The topic of the read; by default any.
        """
        return False

    def watch_arrivals(self, on_received: Callable[[], None]) -> None:
        """Call a function whenever bytes of the answer to a read have arrived."""
        return None

    async def close(self) -> None:
        """Close the connections to the store."""
        return None


async def read_all_newest(
    store: Store, topic: str, timeout: float, after: str = ""
) -> NewestPage:
    """Return the newest record of every key after one, with ``end`` of the first page.

    The pages are read one after another and are not a snapshot: the caller must read
    the records from offset ``end`` on again.
    """
    page = await store.newest(topic, after, timeout=timeout)
    items = list(page.items)
    end = page.end
    while page.more and page.items:
        page = await store.newest(topic, page.items[-1].key, timeout=timeout)
        items += page.items
    return NewestPage(tuple(items), False, end)
