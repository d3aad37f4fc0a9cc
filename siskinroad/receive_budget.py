"""Budget of the bytes of requests that a process receives, holds and decodes.

Load that it answers: clients that send bodies far over the limits, or never end them,
on many connections. The limits of one request do not bound their sum; this budget does,
for all listeners that share it.
"""

from __future__ import annotations

from typing import Protocol

__all__ = ["FREE_BYTES", "ReceiveBudget", "budget_from_memory"]

# Bytes of each body that are not counted, so that small requests are served while the
# budget is used up. The number of connections bounds their sum.
FREE_BYTES = 8192
# MB that a process takes at rest, with room for its state.
REST_MB = 40
# Part of the other memory that bodies may take. A body is held twice while it is
# decoded, and connections, jobs and answers need memory too.
BODY_PART = 0.25
# Smallest budget in bytes: one body of the largest size that is accepted, four times.
MIN_BUDGET = 4 << 20
# Budget in bytes where the limit on memory is unknown: 512 bodies of 262,144 bytes.
DEFAULT_BUDGET = 512 * 262_144


class Holder(Protocol):
    """A connection that holds bytes of a request."""

    def give_way(self) -> None:
        """End an incomplete request and free its bytes."""


class ReceiveBudget:
    """Budget of the bytes of bodies, shared by the connections of a process.

    When it is used up, the requests that have been incomplete for longest give way to
    the others. A complete request does not: it may have been passed on.

    Parameters
    ----------
    capacity : int
        Most bytes beyond ``FREE_BYTES`` of each body.

    Attributes
    ----------
    used : int
        Bytes that are counted now.
    """

    def __init__(self, capacity: int = DEFAULT_BUDGET) -> None:
        self.capacity = capacity
        self.used = 0
        self._incomplete: dict[Holder, int] = {}
        self._complete: dict[Holder, int] = {}

    def grow(self, holder: Holder, size: int) -> bool:
        """Count an incomplete body at its present size; return False if it has no room.

        Others may be asked to give way. If it returns False, the holder has to.
        """
        counted = self._incomplete.get(holder, 0)
        growth = max(0, size - FREE_BYTES) - counted
        while growth > self.capacity - self.used:
            oldest = next(iter(self._incomplete), holder)
            if oldest is holder:
                return False
            self.release(oldest)
            oldest.give_way()
        if growth > 0:
            self._incomplete[holder] = counted + growth
            self.used += growth
        return True

    def complete(self, holder: Holder) -> None:
        """Note that a body has been received; it does not give way any more."""
        size = self._incomplete.pop(holder, 0)
        if size:
            self._complete[holder] = size

    def release(self, holder: Holder) -> None:
        """Stop counting the bytes of a holder."""
        self.used -= self._incomplete.pop(holder, 0) + self._complete.pop(holder, 0)


def budget_from_memory(memory_mb: float) -> ReceiveBudget:
    """Return the budget of a process with a limit on its memory; 0 means unknown."""
    if memory_mb <= 0:
        return ReceiveBudget()
    rest = (memory_mb - REST_MB) * BODY_PART * 1e6
    return ReceiveBudget(min(DEFAULT_BUDGET, max(MIN_BUDGET, int(rest))))
