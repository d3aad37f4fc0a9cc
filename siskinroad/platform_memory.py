"""In-memory implementation of the platform, with fault injection."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from siskinroad.errors import LogTrimmedError, PlatformError
from siskinroad.platform import HostList, HostState, ListedHost, LogPage, Platform

__all__ = ["MemoryPlatform", "MemoryPlatformState", "PlatformFaults"]

# Largest record that an append accepts.
MAX_RECORD_BYTES = 1 << 20


@dataclass(slots=True)
class PlatformFaults:
    """Faults injected into the platform.

    Attributes
    ----------
    down : bool
        All calls fail, and appends have no effect.
    lost_replies : int
        Number of further appends that take effect but whose replies are lost.
    delay : float
        Delay of each call, in seconds.
    cut : set of str
        Names of the clients that cannot reach the platform.
    """

    down: bool = False
    lost_replies: int = 0
    delay: float = 0.0
    cut: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Stream:
    first: int = 1
    records: deque[bytes] = field(default_factory=deque)

    @property
    def tail(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class MemoryPlatformState:
    """State shared by all clients of one in-memory platform.

    Attributes
    ----------
    max_records_per_stream : int
        Largest number of records that a stream retains; older ones are trimmed.
    host_lists : dict
        State of each listed host, by data centre and host name.
    appends, reads : int
        Number of appends and reads since the start.
    bytes_appended, bytes_read : int
        Bytes appended and read since the start.
    """

    max_records_per_stream: int = 100_000
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    host_lists: dict[str, dict[str, HostState]] = field(default_factory=dict)
    list_version: int = 1
    appends: int = 0
    reads: int = 0
    bytes_appended: int = 0
    bytes_read: int = 0
    streams: dict[str, _Stream] = field(default_factory=dict)

    def append(self, stream: str, data: bytes) -> int:
        """Append one record immediately, without faults, and return its offset."""
        log = self.streams.setdefault(stream, _Stream())
        offset = log.tail
        log.records.append(data)
        self.appends += 1
        self.bytes_appended += len(data)
        if len(log.records) > self.max_records_per_stream:
            log.records.popleft()
            log.first += 1
        return offset

    def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Read records immediately, without faults."""
        log = self.streams.setdefault(stream, _Stream())
        if start < log.first:
            raise LogTrimmedError(log.first)
        low = min(start, log.tail) - log.first
        high = min(low + limit, len(log.records))
        records = [log.records[i] for i in range(low, high)]
        self.reads += 1
        self.bytes_read += sum(map(len, records))
        return LogPage(log.first, log.first + low, records, log.tail)

    def set_host_state(self, data_centre: str, name: str, state: HostState) -> None:
        """Set the state of a host in the list of its data centre."""
        self.host_lists.setdefault(data_centre, {})[name] = state
        self.list_version += 1

    def trim(self, stream: str, first: int) -> None:
        """Drop the records before ``first``."""
        log = self.streams.setdefault(stream, _Stream())
        while log.records and log.first < first:
            log.records.popleft()
            log.first += 1


class MemoryPlatform(Platform):
    """One client of a ``MemoryPlatformState``.

    Parameters
    ----------
    log : MemoryPlatformState
        The shared state.
    client : str
        Name of this client in ``PlatformFaults.cut``.
    """

    def __init__(self, log: MemoryPlatformState, client: str = "") -> None:
        self.log = log
        self.client = client

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see the base class."""
        await self._apply_faults("platform.append")
        if len(data) > MAX_RECORD_BYTES:
            raise PlatformError(
                "record is larger than the limit of 1 MiB",
                step="platform.append",
            )
        offset = self.log.append(stream, data)
        if self.log.faults.lost_replies > 0:
            self.log.faults.lost_replies -= 1
            raise PlatformError(
                "record appended, but its reply was lost", step="platform.append"
            )
        return offset

    async def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Read records; see the base class."""
        await self._apply_faults("platform.read")
        return self.log.read(stream, start, limit)

    async def hosts(self, data_centre: str, known: str) -> HostList:
        """Return the host list; see the base class."""
        await self._apply_faults("platform.hosts")
        version = str(self.log.list_version)
        if version == known:
            return HostList(version, None)
        host_lists = self.log.host_lists.get(data_centre, {})
        return HostList(
            version, [ListedHost(n, state) for n, state in host_lists.items()]
        )

    async def _apply_faults(self, step: str) -> None:
        faults = self.log.faults
        if faults.delay:
            await asyncio.sleep(faults.delay)
        if faults.down or self.client in faults.cut:
            raise PlatformError("platform unreachable", step=step)
