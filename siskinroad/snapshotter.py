"""Re-appends the state of the streams well inside the retention time."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.appender import Appender
from siskinroad.daemonview import DaemonView
from siskinroad.errors import PlatformError
from siskinroad.snapshots import split

__all__ = ["SNAPSHOT_RECORDS", "SNAPSHOT_TIME", "Snapshotter"]

CHECK_TIME = 5.0
SNAPSHOT_TIME = 600.0
SNAPSHOT_RECORDS = 2000
APPEND_TIME = 30.0
WANTED_PAUSE = 10.0

log = logging.getLogger("siskinroad.snapshots")


class Snapshotter:
    """Writes snapshots while this daemon reads the log for its data centre.

    The cell's stream is written by every data centre's reader in turn: whoever
    finds the last snapshot too old. Two at once do no harm.
    """

    def __init__(self, daemon: DaemonView) -> None:
        self.daemon = daemon
        self.written = 0
        self._wanted_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._ledger_at = (1, 0.0)
        self._cell_at = (1, 0.0)

    async def run(self) -> None:
        """Write snapshots until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_TIME)
            if not self.daemon.ledger.whole:
                self.daemon.beats.want_snapshot()
            if self.daemon.members.reader(loop.time()) == self.daemon.cfg.name:
                await self._check(loop.time())

    async def _check(self, now: float) -> None:
        daemon = self.daemon
        if _due(daemon.ledger.next_offset, self._ledger_at, now):
            await self._write_ledger(now)
        if _due(daemon.configuration.next_offset, self._cell_at, now):
            await self._write_cell(now)

    def wanted(self) -> None:
        """Write a snapshot for a peer whose records were trimmed."""
        now = asyncio.get_running_loop().time()
        if self.daemon.ledger.whole and now - self._wanted_at >= WANTED_PAUSE:
            self._wanted_at = now
            task = asyncio.get_running_loop().create_task(self._write_ledger(now))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def write_all(self) -> None:
        """Write a snapshot of each stream now."""
        now = asyncio.get_running_loop().time()
        await self._write_ledger(now)
        await self._write_cell(now)

    async def _write_ledger(self, now: float) -> None:
        ledger = self.daemon.ledger
        if ledger.whole:
            self._ledger_at = (ledger.next_offset, now)
            data = ledger.encode()
            await self._write(self.daemon.appender, ledger.next_offset, data)

    async def _write_cell(self, now: float) -> None:
        config = self.daemon.configuration
        if config.revision:
            self._cell_at = (config.next_offset, now)
            data = config.encode()
            await self._write(self.daemon.cell_appender, config.next_offset, data)

    async def _write(self, appender: Appender, as_of: int, data: bytes) -> None:
        daemon = self.daemon
        self.written += 1
        name = f"{daemon.cfg.name}-{daemon.incarnation}-{self.written}"
        try:
            for part in split(name, as_of, data):
                await appender.put(part, APPEND_TIME)
        except PlatformError as exc:
            log.warning("snapshots: not written: %s", exc)


def _due(offset: int, last: tuple[int, float], now: float) -> bool:
    """Return whether enough records or time have passed since the last one."""
    records = offset - last[0]
    return records >= SNAPSHOT_RECORDS or (
        records > 0 and now - last[1] > SNAPSHOT_TIME
    )
