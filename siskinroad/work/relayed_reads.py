"""Limits on the reads that a daemon makes for its peers at once.

Answers to more of them would fill a peer's link, and this daemon's memory.

Load pattern: nearly a hundred daemons of which the store answers one only, and each of
the others follows several topics through it. Reads beyond the limit for one peer are
not made. Those beyond the limit for all peers wait for their turn: rejected, their
daemons would pause longer and longer, while others had places again and again.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum

from siskinroad.work.records import is_job_topic
from siskinroad.work.relay_codec import AppendCall, NewestCall, ReadCall, StoreCall

__all__ = ["RelayedReads"]


class ReadKind(StrEnum):
    """Kind of a read, by which reads are limited.

    ``JOBS`` is a read of a pool's jobs and claims: without these an owner loses its
    pool.
    """

    JOBS = "jobs"
    OTHER = "other"
    NEWEST = "newest"


# Most reads for one peer at once. Some are held open by the store, so that a peer whose
# calls all fail needs one for each topic that it follows. The answers to the newest
# records are up to eight times as long as those to the others.
MAX_READS = {ReadKind.JOBS: 16, ReadKind.OTHER: 16, ReadKind.NEWEST: 2}
# Most reads for all peers at once: the daemon's own calls need connections too. Reads
# of jobs have places of their own beside the others.
MAX_JOB_READS_FOR_ALL = 16
MAX_READS_FOR_ALL = 40
# Most seconds for which a read waits for its turn. Its daemon gives it up soon after.
MAX_TURN_WAIT_S = 1.0
# Reads for all peers from which on the store holds none open for longer than this time
# in seconds. Else reads of topics in which nothing happens would keep all others out.
CROWDED_READS = 30
CROWDED_WAIT_S = 0.1


class RelayedReads:
    """The reads that are being made for each peer, and those that wait for it."""

    def __init__(self) -> None:
        self._asked: Counter[tuple[str, ReadKind]] = Counter()
        self._job_places = asyncio.Semaphore(MAX_JOB_READS_FOR_ALL)
        self._places = asyncio.Semaphore(MAX_READS_FOR_ALL)

    @asynccontextmanager
    async def admit(self, peer: str, call: StoreCall) -> AsyncIterator[bool]:
        """Wait for a call's turn; yield whether the body may make it."""
        if isinstance(call, AppendCall):
            yield True
            return
        kind = _find_kind(call)
        key = (peer, kind)
        if self._asked[key] >= MAX_READS[kind]:
            yield False
            return
        self._asked[key] += 1
        places = self._job_places if kind is ReadKind.JOBS else self._places
        try:
            async with _take_place(places) as has_place:
                yield has_place
        finally:
            self._asked[key] -= 1
            if not self._asked[key]:
                del self._asked[key]

    def limit_wait(self, wait: float) -> float:
        """Return the seconds for which the store may hold a read open, at most."""
        is_crowded = self._asked.total() > CROWDED_READS
        return min(wait, CROWDED_WAIT_S) if is_crowded else wait


@asynccontextmanager
async def _take_place(places: asyncio.Semaphore) -> AsyncIterator[bool]:
    """Take a place while the body runs; yield whether there was one in time."""
    try:
        async with asyncio.timeout(MAX_TURN_WAIT_S):
            await places.acquire()
    except TimeoutError:
        yield False
        return
    try:
        yield True
    finally:
        places.release()


def _find_kind(call: ReadCall | NewestCall) -> ReadKind:
    match call:
        case NewestCall():
            return ReadKind.NEWEST
        case ReadCall(topic=topic):
            return ReadKind.JOBS if is_job_topic(topic) else ReadKind.OTHER
