"""Limits on concurrency for each host and on what waits at the door."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from siskinroad.cell import Urgency

__all__ = ["ByteLimit", "ConcurrencyLimit", "Door", "Headroom", "Rate"]

INCREASE = 0.25
DECREASE = 0.7
MIN_LIMIT = 1.0
DECREASE_PAUSE = 1.0

ARRIVAL_HALF_LIFE = 5.0
PEAK_HALF_LIFE = 300.0
HEADROOM_TIME = 0.05
HEADROOM_MARGIN = {Urgency.STANDARD: 0.5, Urgency.BACKGROUND: 2.5}
NEGLIGIBLE = 1e-3

SHED_AT = {Urgency.URGENT: 1.0, Urgency.STANDARD: 0.9, Urgency.BACKGROUND: 0.7}


@dataclass(slots=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease within a host's slots.

    A failure of the host lowers the limit, at most once in ``DECREASE_PAUSE``
    seconds, since one event fails many requests at once. Slow answers do not:
    run times have heavy tails, and taking a long answer for an overload starved
    healthy hosts.
    """

    slots: int
    limit: float = 0.0
    lowered_at: float = -1e9

    def __post_init__(self) -> None:
        self.limit = float(self.slots)

    def success(self) -> int:
        """Note an answer; return the limit now."""
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
class Rate:
    """Events a second, decaying with a half-life in seconds."""

    half_life: float
    value: float = 0.0
    at: float = 0.0

    def count(self, now: float) -> None:
        """Note one event."""
        self.value = self.present(now) + math.log(2) / self.half_life
        self.at = now

    def present(self, now: float) -> float:
        """Return the rate."""
        return self.value * 0.5 ** ((now - self.at) / self.half_life)


@dataclass(slots=True)
class Headroom:
    """Room kept for urgent work, learned from its own arrivals.

    What is kept is the urgent work that may arrive in ``HEADROOM_TIME`` beyond
    what ends in that time by itself, with a margin for chance. Hosts whose tasks
    end often need little; hosts full of long tasks need more.
    """

    arrivals: Rate = field(default_factory=lambda: Rate(ARRIVAL_HALF_LIFE))
    peak: float = 0.0
    peak_at: float = 0.0
    ends: Rate = field(default_factory=lambda: Rate(ARRIVAL_HALF_LIFE))

    def arrived(self, now: float) -> None:
        """Note one urgent arrival."""
        self.arrivals.count(now)
        decay = 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE)
        self.peak = max(self.arrivals.value, self.peak * decay)
        self.peak_at = now

    def ended(self, now: float) -> None:
        """Note the end of any task."""
        self.ends.count(now)

    def keep(self, urgency: Urgency, now: float) -> int:
        """Return how many urgent tasks a class must leave room for."""
        decay = 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE)
        expected = self.peak * decay * HEADROOM_TIME
        if expected < NEGLIGIBLE or urgency is Urgency.URGENT:
            return 0
        freed = self.ends.present(now) * HEADROOM_TIME
        margin = HEADROOM_MARGIN[urgency] * expected**0.5
        return math.ceil(max(0.0, expected - freed) + margin)


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
