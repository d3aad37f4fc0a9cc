"""Limits on the reads that a daemon makes for its peers at once.

Answers to more of them would fill a peer's link, and this daemon's memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
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
# Reads for all peers from which on the store holds none open for longer than this time
# in seconds. Else reads of topics in which nothing happens would keep all others out.
CROWDED_READS = 30
CROWDED_WAIT_S = 0.1


class RelayedReads:
    """The reads that are being made for each peer."""

    def __init__(self) -> None:
        self._open: Counter[tuple[str, ReadKind]] = Counter()

    @contextmanager
    def admit(self, peer: str, call: StoreCall) -> Iterator[bool]:
        """Count a call while the body makes it; yield whether it may be made."""
        if isinstance(call, AppendCall):
            yield True
            return
        key = (peer, _find_kind(call))
        if not self._is_allowed(key):
            yield False
            return
        self._open[key] += 1
        try:
            yield True
        finally:
            self._open[key] -= 1
            if not self._open[key]:
                del self._open[key]

    def limit_wait(self, wait: float) -> float:
        """Return the seconds for which the store may hold a read open, at most."""
        is_crowded = self._open.total() > CROWDED_READS
        return min(wait, CROWDED_WAIT_S) if is_crowded else wait

    def _is_allowed(self, key: tuple[str, ReadKind]) -> bool:
        _, kind = key
        if self._open[key] >= MAX_READS[kind]:
            return False
        job_reads = sum(
            n for (_, each), n in self._open.items() if each is ReadKind.JOBS
        )
        if kind is ReadKind.JOBS:
            return job_reads < MAX_JOB_READS_FOR_ALL
        return self._open.total() - job_reads < MAX_READS_FOR_ALL


def _find_kind(call: ReadCall | NewestCall) -> ReadKind:
    match call:
        case NewestCall():
            return ReadKind.NEWEST
        case ReadCall(topic=topic):
            return ReadKind.JOBS if is_job_topic(topic) else ReadKind.OTHER
