"""Batching of appends to one topic: records that arrive during an append form the next.

A partition of the store processes one append at a time. If appends are slow and every
record is appended alone, many submissions queue up until all of them miss their
deadlines. If the store stops answering, only the batch in flight has an unknown
outcome: everything queued behind it is known not to be stored and is refused soon.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.fair_timeout import FairTimer
from siskinroad.work.store import (
    MAX_APPEND_BYTES,
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["Batcher"]

# Bounds in seconds of the time limit of one append before it is repeated. A long
# limit delays recovery from a lost answer; a short one loads a slow partition with
# repeats, each of which it processes.
MIN_APPEND_TIMEOUT = 1.0
MAX_APPEND_TIMEOUT = 2.0
# The time limit as a multiple of the smoothed latency, and the weight of a new
# measurement in that latency.
APPEND_TIMEOUT_FACTOR = 4.0
LATENCY_WEIGHT = 0.2
# Seconds between two attempts, so that a store that rejects at once is not flooded.
RETRY_PAUSE = 0.05
# Seconds after which records queued behind an unanswered append are refused: the
# first if the store answers no call at all, the second if it answers other calls.
SILENCE_LIMIT = 1.0
STUCK_APPEND_LIMIT = 2.0
# Seconds before its deadline at which a record is no longer retried.
DEADLINE_MARGIN = 0.05
# Records in one append.
MAX_RECORDS_PER_APPEND = 200

log = logging.getLogger("siskinroad.batcher")


@dataclass(slots=True, eq=False)
class _PendingAppend:
    record: Record
    deadline: float
    future: asyncio.Future[int]
    may_be_stored: bool = False


class Batcher:
    """A batch appender for records that may be repeated, as each has a key of its own.

    Parameters
    ----------
    last_answer_at : callable
        Returns the loop time of the store's last answer to any call.
    on_stored : callable
        Receives the records of each append that was answered, and the offset of the
        first one.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        last_answer_at: Callable[[], float] = lambda: -1e9,
        on_stored: Callable[[list[Record], int], None] = lambda records, offset: None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._last_answer_at = last_answer_at
        self._on_stored = on_stored
        self._pending: list[_PendingAppend] = []
        self._task: asyncio.Task[None] | None = None
        self._latency = 0.0
        self._silent_since: float | None = None

    async def put(self, record: Record, deadline: float) -> int:
        """Append a record; return its offset once the store has it.

        Parameters
        ----------
        deadline : float
            Loop time until which an unanswered append is repeated.

        Raises
        ------
        StoreUnavailableError
            The record is not in the store.
        StoreUnknownError
            The record may be in the store, or may still reach it.
        """
        if self._is_silent():
            raise StoreUnavailableError(
                "record not sent: no answer from the store to any call since an append "
                "reached the silence limit",
                step="batcher",
            )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[int] = loop.create_future()
        self._pending.append(_PendingAppend(record, deadline, future))
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        return await future

    def close(self) -> None:
        """Stop appending; the batch in flight may still take effect."""
        if self._task is not None:
            self._task.cancel()
        self._fail_all(self._pending, StoreUnknownError("closed", step="batcher"))
        self._pending = []

    def _is_silent(self) -> bool:
        """Return whether no call was answered since an append reached the limit."""
        since = self._silent_since
        return since is not None and self._last_answer_at() <= since

    async def _run(self) -> None:
        while self._pending:
            count = self._count_fitting()
            batch = self._pending[:count]
            self._pending = self._pending[count:]
            try:
                await self._store_batch(batch)
            except asyncio.CancelledError:
                self._fail_all(batch, StoreUnknownError("closed", step="batcher"))
                raise

    def _count_fitting(self) -> int:
        """Return how many of the pending records one append takes, at least one."""
        length = 0
        for count, pending in enumerate(self._pending[:MAX_RECORDS_PER_APPEND]):
            length += len(pending.record.value)
            if count and length > MAX_APPEND_BYTES:
                return count
        return MAX_RECORDS_PER_APPEND

    async def _store_batch(self, batch: list[_PendingAppend]) -> None:
        """Append a batch, repeated until its outcome is known or time runs out."""
        began = asyncio.get_running_loop().time()
        timers = [
            FairTimer(SILENCE_LIMIT, lambda: self._refuse_if_silent(began)),
            FairTimer(
                STUCK_APPEND_LIMIT,
                lambda: self._refuse_unsent(
                    "append not answered within the stuck-append limit; record not sent"
                ),
            ),
        ]
        attempts = 0
        try:
            while batch:
                batch = await self._append(batch, attempts)
                attempts += 1
                if batch:
                    await asyncio.sleep(RETRY_PAUSE)
        finally:
            for timer in timers:
                timer.cancel()

    async def _append(
        self, batch: list[_PendingAppend], attempts: int
    ) -> list[_PendingAppend]:
        """Append a batch once; return the records that are to be retried."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        remaining_s = max(pending.deadline for pending in batch) - sent_at
        records = [pending.record for pending in batch]
        timeout = max(DEADLINE_MARGIN, min(self._append_timeout(attempts), remaining_s))
        try:
            offset = await self._store.append(self._topic, records, timeout=timeout)
        except StoreUnavailableError as exc:
            not_stored = [pending for pending in batch if not pending.may_be_stored]
            self._fail_all(not_stored, exc)
            return self._fail_expired([p for p in batch if p.may_be_stored], exc)
        except StoreUnknownError as exc:
            for pending in batch:
                pending.may_be_stored = True
            return self._fail_expired(batch, exc)
        self._latency += LATENCY_WEIGHT * (loop.time() - sent_at - self._latency)
        self._silent_since = None
        self._on_stored(records, offset)
        for i, pending in enumerate(batch):
            if not pending.future.done():
                pending.future.set_result(offset + i)
        return []

    def _append_timeout(self, attempts: int) -> float:
        timeout = max(MIN_APPEND_TIMEOUT, APPEND_TIMEOUT_FACTOR * self._latency)
        return min(MAX_APPEND_TIMEOUT, timeout * 2**attempts)

    def _refuse_if_silent(self, since: float) -> None:
        if self._last_answer_at() <= since:
            self._silent_since = since
            self._refuse_unsent(
                "no answer from the store to any call within the silence limit; "
                "record not sent"
            )

    def _refuse_unsent(self, reason: str) -> None:
        """Refuse the records that have not been sent."""
        log.warning(
            "batcher: append not answered; refusing the records queued behind it",
            extra={"topic": self._topic, "refused": len(self._pending), "why": reason},
        )
        self._fail_all(self._pending, StoreUnavailableError(reason, step="batcher"))
        self._pending = []

    def _fail_expired(
        self, batch: list[_PendingAppend], exc: SiskinroadError
    ) -> list[_PendingAppend]:
        """Fail the records too close to their deadlines; return those to retry."""
        now = asyncio.get_running_loop().time()
        expired = [p for p in batch if p.deadline - now < DEADLINE_MARGIN]
        self._fail_all(expired, StoreUnknownError(str(exc), step="batcher"))
        return [p for p in batch if p not in expired and not p.future.done()]

    @staticmethod
    def _fail_all(batch: list[_PendingAppend], exc: SiskinroadError) -> None:
        for pending in batch:
            if not pending.future.done():
                pending.future.set_exception(exc)
