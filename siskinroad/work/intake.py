"""Stores accepted jobs, all of a pool by way of one daemon.

Load that this answers: a slow store while a pool changes its owner. A partition
takes one append after another, so that eight daemons which each append by themselves
wait behind each other, and the claim of the next owner behind them all. One daemon
gathers what all others hand in: the owner, or else the one that is about to own the
pool, or else one that all agree on.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.batcher import Batcher
from siskinroad.work.calls import Calls
from siskinroad.work.messages import SubmitOutcome, SubmitReply, SubmitRequest
from siskinroad.work.records import job_topic
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["Intake"]

# Seconds that are left for storing a job directly when the gathering daemon has
# not answered; it has the rest of the caller's time.
DIRECT_TIME = 0.6
# Seconds of its time that are left for the answer's way back.
WAY_SLACK = 0.15

log = logging.getLogger("siskinroad.intake")


class Intake:
    """Appends records to the pools' topics of jobs.

    Parameters
    ----------
    node : str
        This daemon's name.
    gatherer : callable
        Returns the daemon that gathers a pool's jobs.
    alive : callable
        Returns whether a daemon was heard of late.
    store_heard_at : callable
        Returns the loop time of the store's last answer by any way.
    """

    def __init__(
        self,
        node: str,
        store: Store,
        calls: Calls,
        gatherer: Callable[[str], str],
        alive: Callable[[str], bool],
        store_heard_at: Callable[[], float],
        metrics: WorkMetrics,
    ) -> None:
        self._node = node
        self._store = store
        self._calls = calls
        self._gatherer = gatherer
        self._alive = alive
        self._store_heard_at = store_heard_at
        self._metrics = metrics
        self._batchers: dict[str, Batcher] = {}

    async def store(self, pool: str, record: Record, deadline: float) -> SubmitOutcome:
        """Store a record by way of the gathering daemon, or else directly.

        Storing it twice is harmless, as its key is its own, but it is not done
        where the gathering daemon has tried in vain: a slow partition gets slower.
        """
        outcome = await self._hand_over(pool, record, deadline)
        if outcome is not None:
            return outcome
        direct = await self.append(pool, record, deadline)
        # The first try may take effect though the second one did nothing.
        stored = direct is SubmitOutcome.STORED
        return SubmitOutcome.STORED if stored else SubmitOutcome.UNKNOWN

    async def _hand_over(
        self, pool: str, record: Record, deadline: float
    ) -> SubmitOutcome | None:
        """Return what the gathering daemon says; None if it does not answer."""
        node = self._gatherer(pool)
        if node == self._node:
            return await self.append(pool, record, deadline)
        left = deadline - asyncio.get_running_loop().time()
        left = max(left - DIRECT_TIME, left / 2)
        try:
            reply = await self._calls.ask(
                node,
                lambda n: SubmitRequest(n, pool, record.key, record.value, left),
                SubmitReply,
                left,
                lambda: self._alive(node),
            )
        except SiskinroadError as exc:
            self._metrics.retries.labels("owner").inc()
            log.warning(
                "intake: gathering daemon does not answer",
                extra={"request": record.key, "peer": node, "error": str(exc)},
            )
            return None
        return reply.outcome

    async def accept(self, msg: SubmitRequest) -> SubmitReply:
        """Store a job that another daemon has handed over."""
        deadline = asyncio.get_running_loop().time() + msg.left - WAY_SLACK
        record = Record(msg.key, msg.value)
        return SubmitReply(msg.id, await self.append(msg.pool, record, deadline))

    async def append(self, pool: str, record: Record, deadline: float) -> SubmitOutcome:
        """Append directly, gathered with what else is handed in meanwhile."""
        batcher = self._batchers.get(pool)
        if batcher is None:
            batcher = Batcher(self._store, job_topic(pool), self._store_heard_at)
            self._batchers[pool] = batcher
        try:
            await batcher.put(record, deadline)
        except StoreUnavailableError as exc:
            return self._not_stored(SubmitOutcome.NOT_DONE, pool, record, exc)
        except StoreUnknownError as exc:
            return self._not_stored(SubmitOutcome.UNKNOWN, pool, record, exc)
        return SubmitOutcome.STORED

    def _not_stored(
        self, outcome: SubmitOutcome, pool: str, record: Record, exc: SiskinroadError
    ) -> SubmitOutcome:
        label = "store_unknown"
        if outcome is SubmitOutcome.NOT_DONE:
            label = "store_unavailable"
        self._metrics.retries.labels(label).inc()
        now = asyncio.get_running_loop().time()
        log.info(
            "intake: not stored",
            extra={
                "request": record.key,
                "pool": pool,
                "outcome": outcome.value,
                "store_age_s": round(now - self._store_heard_at(), 2),
                "error": str(exc),
            },
        )
        return outcome

    def close(self) -> None:
        """Give up what waits; what is on its way may yet take effect."""
        for batcher in self._batchers.values():
            batcher.close()
