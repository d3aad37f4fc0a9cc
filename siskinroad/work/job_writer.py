"""Storage of submitted jobs, for each pool through one daemon: the pool's job writer.

A partition of the store processes one append at a time. With a slow store, eight
daemons that each append for themselves wait for each other, and a new owner's claim
waits behind them all. The job writer therefore batches the jobs of all daemons. It is
the pool's owner, or else the daemon that is about to own the pool, or else one that all
daemons select by the same rule.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.batcher import Batcher
from siskinroad.work.messages import SubmitOutcome, SubmitReply, SubmitRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.records import job_of_key, job_topic
from siskinroad.work.reply_margin import reply_margin
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["JobRefusedError", "JobWriter", "QueueClosedError"]

FindClosing = Callable[[str, Record, int | None], Awaitable[int]]

# Seconds of the caller's time that are reserved for storing a job directly if the
# job writer does not answer; the job writer has the rest, and all of a shorter time.
DIRECT_APPEND_TIME = 0.6
# Number of newest records whose outcome is remembered: those of an outage and of some
# minutes before it, which callers may submit again.
REMEMBERED_OUTCOMES = 20_000

log = logging.getLogger("siskinroad.job_writer")


class JobRefusedError(SiskinroadError):
    """The pool's owner has turned a job away for load; nothing is stored.

    Attributes
    ----------
    reason : str
        Why the job was turned away.
    retry_after_s : float
        Seconds after which the caller should return.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason, step="admission")
        self.reason = reason
        self.retry_after_s = retry_after_s


class QueueClosedError(SiskinroadError):
    """A job may have been stored after its queue was closed in the pool.

    Attributes
    ----------
    version : int
        Version that closed the queue: a job is accepted by an assignment of this or a
        later one.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"queue was closed by version {version}", step="job_writer")
        self.version = version


class JobWriter:
    """The component that appends records to the pools' job topics.

    Parameters
    ----------
    node : str
        This daemon's name.
    find_job_writer : callable
        Returns the job writer of a pool.
    is_alive : callable
        Returns whether a heartbeat of a daemon was received recently.
    last_store_answer_at : callable
        Returns the loop time of the store's last answer, direct or relayed.

    Attributes
    ----------
    admit : callable
        Returns the record to be stored for a new one, as a pool's owner on this daemon
        has it; raises ``JobRefusedError`` if the owner turns it away for load.
    note_stored : callable
        Receives the pool and the records of each answered append, and the offset of the
        first one.
    find_closing : callable
        Returns the version that closed a job's queue before it was stored, or 0; see
        `AppendCheck.find_closing`.
    """

    def __init__(
        self,
        node: str,
        store: Store,
        peer_calls: PeerCalls,
        find_job_writer: Callable[[str], str],
        is_alive: Callable[[str], bool],
        last_store_answer_at: Callable[[], float],
        metrics: WorkMetrics,
    ) -> None:
        self._node = node
        self._store = store
        self._peer_calls = peer_calls
        self._find_job_writer = find_job_writer
        self._is_alive = is_alive
        self._last_store_answer_at = last_store_answer_at
        self._metrics = metrics
        self._batchers: dict[str, Batcher] = {}
        self._outcomes: dict[str, SubmitOutcome] = {}
        self.admit: Callable[[str, Record], Record] = lambda pool, record: record
        self.note_stored: Callable[[str, list[Record], int], None] = (
            lambda pool, records, offset: None
        )
        self.find_closing: FindClosing = _find_no_closing

    async def store(self, pool: str, record: Record, deadline: float) -> SubmitOutcome:
        """Store a record through the job writer, or directly if that does not answer.

        Storing a record twice is harmless, as its key is unique. It is not stored
        directly where the job writer reports failure, because a slow partition
        would become slower.

        Raises
        ------
        JobRefusedError
            The pool's owner has turned the job away; it is not stored.
        QueueClosedError
            The job's queue was closed in the pool, maybe before the job was stored.
        """
        outcome = await self._submit_to_job_writer(pool, record, deadline)
        if outcome is not None:
            return outcome
        if asyncio.get_running_loop().time() >= deadline:
            return SubmitOutcome.UNKNOWN
        direct = await self.append(pool, record, deadline)
        # The job writer may still store the record even if the direct append failed.
        is_stored = direct is SubmitOutcome.STORED
        return SubmitOutcome.STORED if is_stored else SubmitOutcome.UNKNOWN

    async def _submit_to_job_writer(
        self, pool: str, record: Record, deadline: float
    ) -> SubmitOutcome | None:
        """Return the outcome from the job writer; None if it does not answer."""
        node = self._find_job_writer(pool)
        if node == self._node:
            record = self._admit_if_new(pool, record)
            return await self.append(pool, record, deadline)
        remaining_s = deadline - asyncio.get_running_loop().time()
        if remaining_s > DIRECT_APPEND_TIME:
            remaining_s = max(remaining_s - DIRECT_APPEND_TIME, remaining_s / 2)
        try:
            reply = await self._peer_calls.request(
                node,
                lambda n: SubmitRequest(n, pool, record.key, record.value, remaining_s),
                SubmitReply,
                remaining_s,
                lambda: self._is_alive(node),
            )
        except SiskinroadError as exc:
            self._metrics.retries.labels("owner").inc()
            log.warning(
                "job_writer: job writer did not answer; storing the job directly",
                extra={"request": record.key, "peer": node, "error": str(exc)},
            )
            return None
        if reply.refusal:
            raise JobRefusedError(reply.refusal, reply.retry_after_s)
        if reply.closed_by:
            raise QueueClosedError(reply.closed_by)
        if reply.outcome is SubmitOutcome.STORED and not reply.is_checked:
            return await self._check(pool, record, None)
        return reply.outcome

    def _admit_if_new(self, pool: str, record: Record) -> Record:
        """Return what to store; one that may be stored already is never turned away."""
        if self.recall(job_of_key(record.key)) is not None:
            return record
        return self.admit(pool, record)

    async def accept(self, msg: SubmitRequest) -> SubmitReply:
        """Store a job on behalf of another daemon, or turn it away."""
        time_s = msg.remaining_s - reply_margin(msg.remaining_s)
        deadline = asyncio.get_running_loop().time() + time_s
        record = Record(msg.key, msg.value)
        try:
            record = self._admit_if_new(msg.pool, record)
        except JobRefusedError as exc:
            # An earlier version of the sender reads only that nothing is stored.
            return SubmitReply(
                msg.id, SubmitOutcome.NOT_DONE, exc.reason, exc.retry_after_s
            )
        try:
            outcome = await self.append(msg.pool, record, deadline)
        except QueueClosedError as exc:
            return SubmitReply(msg.id, SubmitOutcome.UNKNOWN, closed_by=exc.version)
        return SubmitReply(msg.id, outcome, is_checked=True)

    async def append(self, pool: str, record: Record, deadline: float) -> SubmitOutcome:
        """Append a record, batched with others that arrive meanwhile.

        Raises
        ------
        QueueClosedError
            The job's queue was closed in the pool, maybe before the job was stored.
        """
        batcher = self._batchers.get(pool)
        if batcher is None:
            batcher = Batcher(
                self._store,
                job_topic(pool),
                self._last_store_answer_at,
                lambda records, offset: self.note_stored(pool, records, offset),
            )
            self._batchers[pool] = batcher
        job = job_of_key(record.key)
        former = self.recall(job)
        self._remember(job, former or SubmitOutcome.UNKNOWN)
        try:
            offset = await batcher.put(record, deadline)
        except StoreUnavailableError as exc:
            if former is None:
                self._outcomes.pop(job, None)
            return self._note_not_stored(SubmitOutcome.NOT_DONE, pool, record, exc)
        except StoreUnknownError as exc:
            return self._note_not_stored(SubmitOutcome.UNKNOWN, pool, record, exc)
        return await self._check(pool, record, offset)

    async def _check(
        self, pool: str, record: Record, offset: int | None
    ) -> SubmitOutcome:
        """Return the outcome for a stored record, which may have come too late."""
        try:
            version = await self.find_closing(pool, record, offset)
        except SiskinroadError as exc:
            return self._note_not_stored(SubmitOutcome.UNKNOWN, pool, record, exc)
        if version:
            log.warning(
                "job_writer: queue was closed, maybe before its job was stored",
                extra={
                    "request": record.key,
                    "pool": pool,
                    "offset": offset,
                    "closed": version,
                },
            )
            raise QueueClosedError(version)
        self._remember(job_of_key(record.key), SubmitOutcome.STORED)
        return SubmitOutcome.STORED

    def recall(self, job: str) -> SubmitOutcome | None:
        """Return whether a job that this daemon sent is, or may be, in the store.

        Returns None for a job that it has not sent, or not lately.
        """
        return self._outcomes.get(job)

    def _remember(self, key: str, outcome: SubmitOutcome) -> None:
        self._outcomes.pop(key, None)
        self._outcomes[key] = outcome
        if len(self._outcomes) > REMEMBERED_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]

    def _note_not_stored(
        self, outcome: SubmitOutcome, pool: str, record: Record, exc: SiskinroadError
    ) -> SubmitOutcome:
        label = "store_unknown"
        if outcome is SubmitOutcome.NOT_DONE:
            label = "store_unavailable"
        self._metrics.retries.labels(label).inc()
        now = asyncio.get_running_loop().time()
        log.info(
            "job_writer: job record not stored or outcome unknown",
            extra={
                "request": record.key,
                "pool": pool,
                "outcome": outcome.value,
                "store_age_s": round(now - self._last_store_answer_at(), 2),
                "error": str(exc),
            },
        )
        return outcome

    def close(self) -> None:
        """Fail the queued records; batches in flight may still take effect."""
        for batcher in self._batchers.values():
            batcher.close()


async def _find_no_closing(pool: str, record: Record, offset: int | None) -> int:
    return 0
