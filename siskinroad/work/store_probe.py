"""Early detection that the store answers again after an outage.

When an outage ends, every daemon may still be waiting for replies to requests sent
during it, and callers are refused until one reply arrives. Short probes end that wait.
A probe of a silent store is never answered, so the next one is sent beside it: waiting
for its time limit would delay the news of the store's return.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import Store, TrimmedError

__all__ = ["StoreProbe"]

# Seconds without an answer after which the store is probed. Reads that wait for up to
# one second answer more often than that, so a healthy store is not probed.
SILENCE_LIMIT = 1.2
# Seconds between two probes, and the time limit of one.
PROBE_INTERVAL = 0.25
PROBE_TIMEOUT = 0.6

log = logging.getLogger("siskinroad.store_probe")


class StoreProbe:
    """A prober that sends short reads to the store while it is silent.

    Parameters
    ----------
    store : Store
        The store, reached directly and not through a peer.
    topic : str
        The topic to read; every daemon may read it.
    direct_answer_at : callable
        Returns the loop time of the store's last direct answer.
    on_answer : callable
        Called when a probe has been answered.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        direct_answer_at: Callable[[], float],
        on_answer: Callable[[], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._direct_answer_at = direct_answer_at
        self._on_answer = on_answer
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe the store whenever it is silent, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await asyncio.sleep(PROBE_INTERVAL)
                if self._is_silent(loop.time()):
                    probe = loop.create_task(self._probe())
                    self._probes.add(probe)
                    probe.add_done_callback(self._probes.discard)
        finally:
            for probe in self._probes:
                probe.cancel()

    def _is_silent(self, now: float) -> bool:
        if self._store.is_arriving():
            return False
        return now - self._direct_answer_at() >= SILENCE_LIMIT

    async def _probe(self) -> None:
        try:
            await self._store.probe(self._topic, timeout=PROBE_TIMEOUT)
        except TrimmedError:
            self._on_answer()
        except SiskinroadError as exc:
            log.debug("store_probe: store probe failed", extra={"error": str(exc)})
        else:
            self._on_answer()
