"""The platform's store as the product needs it: logs with the newest of each key."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from siskinroad.errors import SiskinroadError

__all__ = [
    "Fence",
    "FencedError",
    "Newest",
    "NewestPage",
    "Record",
    "Store",
    "StoreUnavailableError",
    "StoreUnknownError",
    "Tail",
    "TailMovedError",
    "TrimmedError",
    "newest_of_all",
]


class StoreUnavailableError(SiskinroadError):
    """The store did nothing."""


class StoreUnknownError(SiskinroadError):
    """The store may have carried the call out, or may yet do so."""


class FencedError(SiskinroadError):
    """A producer with a higher epoch has taken the partition over."""


class TailMovedError(SiskinroadError):
    """The partition no longer ends where the append required it to."""

    def __init__(self, end: int, *, step: str = "store.append") -> None:
        super().__init__(f"the log ends at {end}", step=step)
        self.end = end


class TrimmedError(SiskinroadError):
    """Records before ``first`` are no longer retained."""

    def __init__(self, first: int) -> None:
        super().__init__(f"the log starts at {first}", step="store.read")
        self.first = first


class Record(msgspec.Struct, frozen=True):
    """A keyed record; an empty ``value`` drops the key."""

    key: str
    value: bytes


class Newest(msgspec.Struct, frozen=True):
    """The newest record of a key."""

    key: str
    value: bytes
    offset: int


@dataclass(slots=True, frozen=True)
class NewestPage:
    """The newest records of some keys, in the order of the keys."""

    items: tuple[Newest, ...]
    more: bool
    end: int


@dataclass(slots=True, frozen=True)
class Tail:
    """Records from an offset on.

    Attributes
    ----------
    start, end : int
        Offset of the first of ``records``, and offset that the next append gets.
    """

    start: int
    records: tuple[Record, ...]
    end: int

    @property
    def next(self) -> int:
        """Offset after the last of ``records``."""
        return self.start + len(self.records)


@dataclass(slots=True, frozen=True)
class Fence:
    """A producer's epoch and the number of its append.

    Lower epochs are rejected by the partition from the first append on, and a
    repeated append takes effect once.
    """

    producer: str
    epoch: int
    sequence: int


class Store(ABC):
    """Named partitions of keyed records.

    Every method raises ``StoreUnavailableError`` where nothing was done and
    ``StoreUnknownError`` where that is not certain.
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
        """Append records, all or none, and return the offset of the first.

        Parameters
        ----------
        at : int, optional
            Append only if the partition ends at this offset.
        fence : Fence, optional
            The producer's epoch and sequence number.

        Raises
        ------
        TailMovedError
            The partition ends elsewhere.
        FencedError
            A higher epoch was seen.
        """

    @abstractmethod
    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> Tail:
        """Return records from ``start`` on, waiting up to ``wait`` seconds for one.

        Raises
        ------
        TrimmedError
            If ``start`` is no longer retained.
        """

    @abstractmethod
    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return a page of the newest record of each key behind ``after``."""

    async def close(self) -> None:
        """Release connections."""
        return None


async def newest_of_all(store: Store, topic: str, timeout: float) -> NewestPage:
    """Return the newest record of every key; ``end`` is that of the first page.

    The pages are no snapshot: records at or behind ``end`` must be read again.
    """
    page = await store.newest(topic, timeout=timeout)
    items = list(page.items)
    end = page.end
    while page.more and page.items:
        page = await store.newest(topic, page.items[-1].key, timeout=timeout)
        items += page.items
    return NewestPage(tuple(items), False, end)
