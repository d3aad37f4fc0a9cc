"""Periodic snapshots of the streams' state, appended to the streams themselves.

The platform trims old records. A snapshot within the retention time lets a daemon
restore the state from the records that remain.
"""

from __future__ import annotations

import asyncio
import logging

from siskinroad.appender import Appender
from siskinroad.daemon_context import DaemonContext
from siskinroad.errors import PlatformError
from siskinroad.snapshots import split_snapshot

__all__ = ["SNAPSHOT_MAX_AGE", "SNAPSHOT_MAX_APPENDS", "Snapshotter"]

# Seconds between two checks whether a snapshot is due.
CHECK_INTERVAL = 5.0
# Seconds, and appends to the stream, after which a new snapshot is due. With larger
# values records may be trimmed before a snapshot covers them; smaller ones cost more
# appends.
SNAPSHOT_MAX_AGE = 600.0
SNAPSHOT_MAX_APPENDS = 2000
# Seconds for the append of one part. A smaller value abandons the snapshot while the
# platform is slow.
APPEND_TIMEOUT = 30.0
# Least time in seconds between two snapshots written on request; a smaller value writes
# one for each of several peers that lack the same records.
REQUEST_INTERVAL = 10.0

log = logging.getLogger("siskinroad.snapshots")


class Snapshotter:
    """Writer of snapshots while this daemon reads the log for its data centre.

    The reader of each data centre also writes a snapshot of the cell's stream when it
    finds one due. Two at once are harmless.
    """

    def __init__(self, daemon: DaemonContext) -> None:
        self.daemon = daemon
        self.started_count = 0
        self._last_request_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_ledger_snapshot = (1, 0.0)
        self._last_cell_snapshot = (1, 0.0)

    async def run(self) -> None:
        """Write snapshots that are due until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if not self.daemon.ledger.is_complete:
                self.daemon.periodic.request_snapshot()
            if self.daemon.members.log_reader_name(loop.time()) == self.daemon.cfg.name:
                await self._write_due(loop.time())

    async def _write_due(self, now: float) -> None:
        daemon = self.daemon
        if _is_due(daemon.ledger.next_offset, self._last_ledger_snapshot, now):
            await self._write_ledger(now)
        if _is_due(daemon.configuration.next_offset, self._last_cell_snapshot, now):
            await self._write_cell(now)

    def write_on_request(self) -> None:
        """Write a snapshot of the ledger for a peer that missed trimmed records."""
        now = asyncio.get_running_loop().time()
        if (
            self.daemon.ledger.is_complete
            and now - self._last_request_at >= REQUEST_INTERVAL
        ):
            self._last_request_at = now
            task = asyncio.get_running_loop().create_task(self._write_ledger(now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def write_all(self) -> None:
        """Write a snapshot of each stream, due or not."""
        now = asyncio.get_running_loop().time()
        await self._write_ledger(now)
        await self._write_cell(now)

    async def _write_ledger(self, now: float) -> None:
        ledger = self.daemon.ledger
        if ledger.is_complete:
            self._last_ledger_snapshot = (ledger.next_offset, now)
            data = ledger.encode()
            await self._write(self.daemon.appender, ledger.next_offset, data)

    async def _write_cell(self, now: float) -> None:
        config = self.daemon.configuration
        if config.revision:
            self._last_cell_snapshot = (config.next_offset, now)
            data = config.encode()
            await self._write(self.daemon.cell_appender, config.next_offset, data)

    async def _write(self, appender: Appender, as_of: int, data: bytes) -> None:
        daemon = self.daemon
        self.started_count += 1
        name = f"{daemon.cfg.name}-{daemon.incarnation}-{self.started_count}"
        try:
            for part in split_snapshot(name, as_of, data):
                await appender.append(part, APPEND_TIMEOUT)
        except PlatformError as exc:
            log.warning(
                "snapshots: snapshot not appended: %s; the next one follows when due",
                exc,
            )


def _is_due(offset: int, last: tuple[int, float], now: float) -> bool:
    """Return whether a snapshot is due, given the last one's offset and time."""
    appends = offset - last[0]
    return appends >= SNAPSHOT_MAX_APPENDS or (
        appends > 0 and now - last[1] > SNAPSHOT_MAX_AGE
    )
