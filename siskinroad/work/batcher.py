"""Appends to one topic, gathered while the one before is on its way.

A partition of the store takes one append after another. Loads that this answers:
many submissions while each append is slow, which one by one would wait behind each
other until all of them are too late; a store that stops answering, where only the
batch on its way has an unknown outcome and all behind it is refused, truly and soon.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["Batcher"]

# Bounds in seconds of how long one append is waited for before it is repeated:
# an answer that is lost never comes, but a slow partition works on every repeat.
LEAST_PATIENCE = 1.0
MOST_PATIENCE = 2.0
# Times the smoothed answer time that is waited, and the weight of a new one.
PATIENCE_FACTOR = 4.0
ANSWER_WEIGHT = 0.2
# Seconds between two tries: a store that rejects at once is not flooded.
REPEAT_PAUSE = 0.05
# Seconds after which what waits behind a batch is refused: at once if the store
# answers nothing at all, later if it answers other calls.
SILENT_TIME = 1.0
STUCK_TIME = 2.0
# Seconds before its deadline at which a record is given up.
DEADLINE_SLACK = 0.05
MAX_RECORDS = 200

log = logging.getLogger("siskinroad.batcher")


@dataclass(slots=True, eq=False)
class _Waiting:
    record: Record
    deadline: float
    fut: asyncio.Future[None]
    unsure: bool = False


class Batcher:
    """Appends records whose repetition is harmless: each has a key of its own.

    Parameters
    ----------
    answered_at : callable
        Returns the loop time of the store's last answer to any call.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        answered_at: Callable[[], float] = lambda: -1e9,
    ) -> None:
        self._store = store
        self._topic = topic
        self._answered_at = answered_at
        self._waiting: list[_Waiting] = []
        self._task: asyncio.Task[None] | None = None
        self._answer_time = 0.0
        self._silent_since: float | None = None

    async def put(self, record: Record, deadline: float) -> None:
        """Append a record; return once the store has it.

        Parameters
        ----------
        deadline : float
            Loop time until which an append without an answer is repeated.

        Raises
        ------
        StoreUnavailableError
            The record is not in the store.
        StoreUnknownError
            The record may be in the store, or may yet be.
        """
        if self._is_silent():
            raise StoreUnavailableError("no answer of late", step="batcher")
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        self._waiting.append(_Waiting(record, deadline, fut))
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        await fut

    def close(self) -> None:
        """Give up; what is on its way may yet take effect."""
        if self._task is not None:
            self._task.cancel()
        self._fail(self._waiting, StoreUnknownError("closed", step="batcher"))
        self._waiting = []

    def _is_silent(self) -> bool:
        """Return whether the store has answered nothing since an append stuck."""
        since = self._silent_since
        return since is not None and self._answered_at() <= since

    async def _run(self) -> None:
        while self._waiting:
            batch = self._waiting[:MAX_RECORDS]
            self._waiting = self._waiting[MAX_RECORDS:]
            try:
                await self._store_batch(batch)
            except asyncio.CancelledError:
                self._fail(batch, StoreUnknownError("closed", step="batcher"))
                raise

    async def _store_batch(self, batch: list[_Waiting]) -> None:
        """Append a batch, repeated until its outcome is known or it is too late."""
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(SILENT_TIME, self._refuse_if_silent, loop.time()),
            loop.call_later(STUCK_TIME, self._refuse_waiting, "append is stuck"),
        ]
        tries = 0
        try:
            while batch:
                batch = await self._append(batch, tries)
                tries += 1
                if batch:
                    await asyncio.sleep(REPEAT_PAUSE)
        finally:
            for timer in timers:
                timer.cancel()

    async def _append(self, batch: list[_Waiting], tries: int) -> list[_Waiting]:
        """Append a batch once; return what is to be appended again."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        left = max(waiting.deadline for waiting in batch) - sent_at
        records = [waiting.record for waiting in batch]
        timeout = max(DEADLINE_SLACK, min(self._patience(tries), left))
        try:
            await self._store.append(self._topic, records, timeout=timeout)
        except StoreUnavailableError as exc:
            sure = [waiting for waiting in batch if not waiting.unsure]
            self._fail(sure, exc)
            return self._in_time([w for w in batch if w.unsure], exc)
        except StoreUnknownError as exc:
            for waiting in batch:
                waiting.unsure = True
            return self._in_time(batch, exc)
        self._answer_time += ANSWER_WEIGHT * (loop.time() - sent_at - self._answer_time)
        self._silent_since = None
        for waiting in batch:
            if not waiting.fut.done():
                waiting.fut.set_result(None)
        return []

    def _patience(self, tries: int) -> float:
        wanted = max(LEAST_PATIENCE, PATIENCE_FACTOR * self._answer_time)
        return min(MOST_PATIENCE, wanted * 2**tries)

    def _refuse_if_silent(self, since: float) -> None:
        if self._answered_at() <= since:
            self._silent_since = since
            self._refuse_waiting("store does not answer")

    def _refuse_waiting(self, why: str) -> None:
        """Refuse what was never sent."""
        log.warning(
            "batcher: an append has no answer",
            extra={"topic": self._topic, "refused": len(self._waiting), "why": why},
        )
        self._fail(self._waiting, StoreUnavailableError(why, step="batcher"))
        self._waiting = []

    def _in_time(self, batch: list[_Waiting], exc: SiskinroadError) -> list[_Waiting]:
        """Return what still has time; the outcome of the rest is unknown."""
        now = asyncio.get_running_loop().time()
        over = [w for w in batch if w.deadline - now < DEADLINE_SLACK]
        self._fail(over, StoreUnknownError(str(exc), step="batcher"))
        return [w for w in batch if w not in over and not w.fut.done()]

    @staticmethod
    def _fail(batch: list[_Waiting], exc: SiskinroadError) -> None:
        for waiting in batch:
            if not waiting.fut.done():
                waiting.fut.set_exception(exc)
