"""Limits on the reads that a daemon makes for its peers at once.

Answers to more of them would fill a peer's link, and this daemon's memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from siskinroad.work.relay_codec import AppendCall, NewestCall, ReadCall, StoreCall

__all__ = ["RelayedReads"]

# Most reads for one peer at once. Some are held open by the store, so that a peer whose
# calls all fail needs one for each topic that it follows. The answers to the second
# kind are up to eight times as long as those to the first.
MAX_READS = 16
MAX_NEWEST_READS = 2
# Most reads for all peers at once: the daemon's own calls need connections too.
MAX_READS_FOR_ALL = 40
# Reads for all peers from which on the store holds none open for longer than this time
# in seconds. Else reads of topics in which nothing happens would keep all others out.
CROWDED_READS = 30
CROWDED_WAIT_S = 0.1


class RelayedReads:
    """The reads that are being made for each peer."""

    def __init__(self) -> None:
        self._open: Counter[tuple[str, type]] = Counter()

    @contextmanager
    def admit(self, peer: str, call: StoreCall) -> Iterator[bool]:
        """Count a call while the body makes it; yield whether it may be made."""
        key = (peer, type(call))
        if not self._is_allowed(key, call):
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
        is_crowded = self._count_reads() > CROWDED_READS
        return min(wait, CROWDED_WAIT_S) if is_crowded else wait

    def _count_reads(self) -> int:
        return sum(n for (_, kind), n in self._open.items() if kind is not AppendCall)

    def _is_allowed(self, key: tuple[str, type], call: StoreCall) -> bool:
        if isinstance(call, AppendCall):
            return True
        if self._count_reads() >= MAX_READS_FOR_ALL:
            return False
        match call:
            case ReadCall():
                return self._open[key] < MAX_READS
            case NewestCall():
                return self._open[key] < MAX_NEWEST_READS
