"""Limits on concurrency for each host and on what waits at the door."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.cell import Urgency

__all__ = ["ByteLimit", "ConcurrencyLimit", "Door", "Headroom"]

INCREASE = 0.25
DECREASE = 0.7
MIN_LIMIT = 1.0
DECREASE_PAUSE = 1.0
SLOW_FACTOR = 4.0
BASELINE_RISE = 0.02

HEADROOM_HALF_LIFE = 300.0
HEADROOM_FACTOR = 1.1

SHED_AT = {Urgency.URGENT: 1.0, Urgency.STANDARD: 0.9, Urgency.BACKGROUND: 0.7}


@dataclass(slots=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease within a host's slots.

    A failure or an answer far slower than usual lowers the limit; at most once
    in ``DECREASE_PAUSE`` seconds, since one event fails many requests at once.
    """

    slots: int
    limit: float = 0.0
    usual: float = 0.0
    lowered_at: float = -1e9

    def __post_init__(self) -> None:
        self.limit = float(self.slots)

    def success(self, seconds: float, now: float) -> int:
        """Note an answer after ``seconds``; return the limit now."""
        if self.usual == 0.0 or seconds < self.usual:
            self.usual = seconds
        else:
            self.usual += (seconds - self.usual) * BASELINE_RISE
        if seconds > self.usual * SLOW_FACTOR and seconds > 1.0:
            return self.failure(now)
        self.limit = min(self.limit + INCREASE / self.limit, float(self.slots))
        return self.whole

    def failure(self, now: float) -> int:
        """Note a failure of the host; return the limit now."""
        if now - self.lowered_at >= DECREASE_PAUSE:
            self.limit = max(self.limit * DECREASE, MIN_LIMIT)
            self.lowered_at = now
        return self.whole

    @property
    def whole(self) -> int:
        """The limit in whole tasks."""
        return max(int(self.limit + 1e-9), 1)


@dataclass(slots=True)
class Headroom:
    """Room kept for urgent work, learned from its own arrivals.

    The peak of urgent work in progress decays with a half-life; what lies
    between the present and a margin over the peak is kept free.
    """

    running: int = 0
    waiting: int = 0
    peak: float = 0.0
    at: float = 0.0

    def note(self, running: int, waiting: int, now: float) -> None:
        """Note the urgent tasks that run and wait."""
        decay = 0.5 ** ((now - self.at) / HEADROOM_HALF_LIFE)
        present = float(running + waiting)
        self.peak = max(present, present + (self.peak - present) * decay)
        self.running = running
        self.waiting = waiting
        self.at = now

    def keep(self) -> int:
        """Return how many urgent tasks there must be room for."""
        if self.peak == 0.0:
            return 0
        wanted = self.peak * HEADROOM_FACTOR + self.peak**0.5
        return max(0, int(wanted + 0.999) - self.running)


@dataclass(slots=True)
class ByteLimit:
    """Bytes of bodies held for callers at one time."""

    limit: int
    held: int = 0

    def take(self, count: int, urgency: Urgency) -> bool:
        """Take ``count`` bytes if the class may still have them."""
        if self.held + count > self.limit * SHED_AT[urgency]:
            return False
        self.held += count
        return True

    def give_back(self, count: int) -> None:
        """Give back what was taken."""
        self.held -= count


@dataclass(slots=True)
class Door:
    """Admission by class: the least urgent is shed first.

    Attributes
    ----------
    limit : int
        Items that one shard lets wait, over all workloads.
    """

    limit: int = 100_000

    def admits(self, waiting: int, urgency: Urgency) -> bool:
        """Return whether one more item of the class may wait."""
        return waiting < self.limit * SHED_AT[urgency]
