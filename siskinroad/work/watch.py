"""Early detection that the store answers again after an outage.

When an outage ends, every daemon may still be waiting for replies to requests sent
during it, and callers are refused until one reply arrives. Short probes end that wait.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import Store, TrimmedError

__all__ = ["StoreWatch"]

# Seconds without an answer after which the store is probed. Reads that wait for up to
# one second answer more often than that, so a healthy store is not probed.
SILENCE_LIMIT = 1.2
# Seconds between two probes, and the time limit of one.
PROBE_INTERVAL = 0.25
PROBE_TIMEOUT = 0.6

log = logging.getLogger("siskinroad.watch")


class StoreWatch:
    """A prober that sends short reads to the store while it is silent.

    Parameters
    ----------
    store : Store
        The store, reached directly and not through a peer.
    topic : str
        The topic to read; every daemon may read it.
    answered_at : callable
        Returns the loop time of the store's last direct answer.
    on_answer : callable
        Called when a probe has been answered.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        answered_at: Callable[[], float],
        on_answer: Callable[[], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._answered_at = answered_at
        self._on_answer = on_answer

    async def run(self) -> None:
        """Probe the store whenever it is silent, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            if loop.time() - self._answered_at() >= SILENCE_LIMIT:
                await self._probe()

    async def _probe(self) -> None:
        try:
            await self._store.read(self._topic, 0, wait=0.0, timeout=PROBE_TIMEOUT)
        except TrimmedError:
            self._on_answer()
        except SiskinroadError as exc:
            log.debug("watch: store probe failed", extra={"error": str(exc)})
        else:
            self._on_answer()
