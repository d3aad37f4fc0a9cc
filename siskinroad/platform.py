"""What the platform gives: an append-only log and a lagging list of hosts."""

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
    "dc_stream",
]

CELL_STREAM = "cell"


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the live list; ``GONE`` means terminated for good."""

    name: str
    state: HostState


class HostList(msgspec.Struct, frozen=True):
    """The live list of one data centre; ``hosts`` is None if it is unchanged."""

    version: str
    hosts: list[ListedHost] | None


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of one stream.

    Attributes
    ----------
    first : int
        The oldest offset that is still retained.
    start : int
        Offset of the first of ``records``.
    records : list of bytes
        One entry for each append.
    tail : int
        The offset that the next append will get.
    """

    first: int
    start: int
    records: list[bytes]
    tail: int

    @property
    def next(self) -> int:
        """The offset after the last record of this page."""
        return self.start + len(self.records)


def dc_stream(data_centre: str) -> str:
    """Return the name of a data centre's own stream."""
    return f"dc.{data_centre}"


class Platform(ABC):
    """The platform as the daemons see it.

    Every method raises ``PlatformError`` when the platform does not answer in
    time. An append that raises may nevertheless have taken effect.
    """

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset."""

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from ``start`` on.

        Raises
        ------
        LogTrimmedError
            If ``start`` is no longer retained.
        """

    @abstractmethod
    async def hosts(self, data_centre: str, known: str) -> HostList:
        """Return the lagging list of a data centre's upstream and entry hosts.

        Parameters
        ----------
        known : str
            Version of the list that the caller has, empty if none.
        """

    async def close(self) -> None:
        """Release connections."""
        return None
