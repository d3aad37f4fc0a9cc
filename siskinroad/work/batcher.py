"""Appends to one topic, gathered while the one before is on its way.

A partition of the store takes one append after another. Load that this answers:
many submissions while each append is slow, which one by one would wait behind
each other until all of them are too late.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["Batcher"]

# Seconds for one append: several slow ones may stand before it.
APPEND_TIME = 2.0
MAX_RECORDS = 200


@dataclass(slots=True, eq=False)
class _Waiting:
    record: Record
    deadline: float
    fut: asyncio.Future[None]
    unsure: bool = False


class Batcher:
    """Appends records whose repetition is harmless: each has a key of its own."""

    def __init__(self, store: Store, topic: str) -> None:
        self._store = store
        self._topic = topic
        self._waiting: list[_Waiting] = []
        self._task: asyncio.Task[None] | None = None

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

    async def _run(self) -> None:
        while self._waiting:
            batch = self._waiting[:MAX_RECORDS]
            self._waiting = self._waiting[MAX_RECORDS:]
            try:
                await self._append(batch)
            except asyncio.CancelledError:
                self._fail(batch, StoreUnknownError("closed", step="batcher"))
                raise

    async def _append(self, batch: list[_Waiting]) -> None:
        now = asyncio.get_running_loop().time()
        left = max(waiting.deadline for waiting in batch) - now
        records = [waiting.record for waiting in batch]
        try:
            await self._store.append(
                self._topic, records, timeout=max(0.05, min(APPEND_TIME, left))
            )
        except StoreUnavailableError as exc:
            sure = [waiting for waiting in batch if not waiting.unsure]
            self._fail(sure, exc)
            self._again([waiting for waiting in batch if waiting.unsure], exc)
        except StoreUnknownError as exc:
            for waiting in batch:
                waiting.unsure = True
            self._again(batch, exc)
        else:
            for waiting in batch:
                if not waiting.fut.done():
                    waiting.fut.set_result(None)

    def _again(self, batch: list[_Waiting], exc: SiskinroadError) -> None:
        """Repeat what still has time; the rest has an unknown outcome."""
        now = asyncio.get_running_loop().time()
        over = [waiting for waiting in batch if waiting.deadline - now < 0.05]
        self._fail(over, StoreUnknownError(str(exc), step="batcher"))
        self._waiting[:0] = [w for w in batch if w not in over and not w.fut.done()]

    @staticmethod
    def _fail(batch: list[_Waiting], exc: SiskinroadError) -> None:
        for waiting in batch:
            if not waiting.fut.done():
                waiting.fut.set_exception(exc)
