"""Interface to the platform: append-only streams and a lagging list of hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec

__all__ = [
    "CELL_STREAM",
    "HostList",
    "HostState",
    "ListedHost",
    "LogPage",
    "Platform",
    "data_centre_stream",
]

CELL_STREAM = "cell"


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the host list; ``GONE`` means permanently terminated."""

    name: str
    state: HostState


class HostList(msgspec.Struct, frozen=True):
    """The host list of one data centre; ``hosts`` is None if it is unchanged."""

    version: str
    hosts: list[ListedHost] | None


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of one stream.

    Attributes
    ----------
    first : int
        Oldest offset that is still retained.
    start : int
        Offset of the first record in ``records``.
    records : list of bytes
        One entry per append.
    tail : int
        Offset that the next append will be given.
    """

    first: int
    start: int
    records: list[bytes]
    tail: int

    @property
    def next(self) -> int:
        """Offset after the last record of this page."""
        return self.start + len(self.records)


def data_centre_stream(data_centre: str) -> str:
    """Return the name of a data centre's own stream."""
    return f"dc.{data_centre}"


class Platform(ABC):
    """Base class of clients of the platform.

    Every method raises ``PlatformError`` if the call fails or exceeds its time limit.
    An append that raises may have taken effect all the same.
    """

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset."""

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Read up to ``limit`` records, beginning at offset ``start``.

        Raises
        ------
        LogTrimmedError
            If the record at ``start`` is no longer retained.
        """

    @abstractmethod
    async def hosts(self, data_centre: str, known: str) -> HostList:
        """Return the list of a data centre's upstream and entry hosts.

        The list lags behind the state of the hosts.

        Parameters
        ----------
        known : str
            Version of the list that the caller holds; empty if it holds none.
        """

    async def close(self) -> None:
        """Close all connections."""
        return None
