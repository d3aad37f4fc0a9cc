"""Limits on the concurrency of hosts, on the items of a shard and on held bytes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from siskinroad.cell import Urgency

__all__ = ["AdmissionLimit", "ByteLimit", "ConcurrencyLimit", "Headroom", "Rate"]

# Tasks by which a host's limit grows after as many successes as the limit allows
# tasks.
INCREASE = 0.25
# Factor by which a failure of the host lowers its limit.
DECREASE_FACTOR = 0.7
# Lowest limit, in tasks. A host with a lower one would get no work and never recover.
MIN_LIMIT = 1.0
# Minimum seconds between two decreases. One event can fail many requests at
# once, and with a smaller value it would lower the limit once for each of them.
MIN_DECREASE_INTERVAL = 1.0
# Seconds without a failure after which a host regains ``RECOVERED_FRACTION`` of its
# slots. Only successful requests raise the limit otherwise, and a host whose slots hold
# tasks gets none.
RECOVERY_INTERVAL = 5.0
RECOVERED_FRACTION = 0.1

# Half-life of the measured rates of arrivals and of ends, in seconds.
ARRIVAL_HALF_LIFE = 5.0
# Half-life of the remembered peak of urgent arrivals, in seconds. With a smaller
# value, no capacity is left for a burst that follows a quiet time.
PEAK_HALF_LIFE = 300.0
# Seconds of urgent arrivals for which the headroom must suffice.
HEADROOM_WINDOW = 0.05
# Safety margin of each class, in square roots of the expected arrivals.
HEADROOM_MARGIN = {Urgency.STANDARD: 0.5, Urgency.BACKGROUND: 2.5}
# Expected urgent tasks below which no headroom is kept.
NEGLIGIBLE_TASKS = 1e-3

# Fraction of a limit at which work of each class is refused, least urgent first.
SHED_FRACTION = {Urgency.URGENT: 1.0, Urgency.STANDARD: 0.9, Urgency.BACKGROUND: 0.7}


@dataclass(slots=True)
class ConcurrencyLimit:
    """Concurrency limit of a host: additive increase, multiplicative decrease.

    A failure of the host lowers the limit, at most once in ``MIN_DECREASE_INTERVAL``
    seconds, since one event fails many requests at once. Successes raise it, and so
    does time without a failure. Slow replies do not lower
    it: run times have a heavy tail, and treating a slow reply as a sign of overload
    starved healthy hosts.
    """

    slots: int
    limit: float = 0.0
    lowered_at: float = -1e9
    raised_at: float = -1e9

    def __post_init__(self) -> None:
        self.limit = float(self.slots)

    def record_success(self) -> int:
        """Record a success and return the new limit."""
        self.limit = min(self.limit + INCREASE / self.limit, float(self.slots))
        return self.max_tasks

    def record_failure(self, now: float) -> int:
        """Record a failure of the host and return the new limit."""
        if now - self.lowered_at >= MIN_DECREASE_INTERVAL:
            self.limit = max(self.limit * DECREASE_FACTOR, MIN_LIMIT)
            self.lowered_at = now
        return self.max_tasks

    def recover(self, now: float) -> None:
        """Raise the limit if it was not changed for ``RECOVERY_INTERVAL`` seconds."""
        if now - max(self.lowered_at, self.raised_at) >= RECOVERY_INTERVAL:
            raised = self.limit + RECOVERED_FRACTION * self.slots
            self.limit = min(raised, float(self.slots))
            self.raised_at = now

    @property
    def is_lowered(self) -> bool:
        """Whether the limit is below the host's slots."""
        return self.limit < self.slots

    @property
    def max_tasks(self) -> int:
        """Limit as a whole number of tasks."""
        return max(int(self.limit + 1e-9), 1)


@dataclass(slots=True)
class Rate:
    """Rate of events per second, decaying with a half-life in seconds."""

    half_life: float
    value: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float) -> None:
        """Record one event."""
        self.value = self.current(now) + math.log(2) / self.half_life
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the rate, decayed to ``now``."""
        return self.value * 0.5 ** ((now - self.updated_at) / self.half_life)


@dataclass(slots=True)
class Headroom:
    """Capacity kept free for urgent work, derived from its arrivals.

    The headroom holds the urgent work that may arrive in ``HEADROOM_WINDOW``, less
    the work that is expected to end in that time, plus a safety margin. A pool whose
    tasks end often needs little headroom; one full of long tasks needs more.
    """

    arrivals: Rate = field(default_factory=lambda: Rate(ARRIVAL_HALF_LIFE))
    peak: float = 0.0
    peak_at: float = 0.0
    ends: Rate = field(default_factory=lambda: Rate(ARRIVAL_HALF_LIFE))

    def count_arrival(self, now: float) -> None:
        """Record the arrival of one urgent item."""
        self.arrivals.count(now)
        decay = 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE)
        self.peak = max(self.arrivals.value, self.peak * decay)
        self.peak_at = now

    def count_end(self, now: float) -> None:
        """Record the end of a task of any class."""
        self.ends.count(now)

    def reserved_tasks(self, urgency: Urgency, now: float) -> int:
        """Return how many urgent tasks must still fit after a start of this class."""
        decay = 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE)
        expected = self.peak * decay * HEADROOM_WINDOW
        if expected < NEGLIGIBLE_TASKS or urgency is Urgency.URGENT:
            return 0
        freed = self.ends.current(now) * HEADROOM_WINDOW
        margin = HEADROOM_MARGIN[urgency] * expected**0.5
        return math.ceil(max(0.0, expected - freed) + margin)


@dataclass(slots=True)
class ByteLimit:
    """Limit on the bytes of request bodies that are held at one time."""

    limit: int
    held: int = 0

    def reserve(self, count: int, urgency: Urgency) -> bool:
        """Reserve ``count`` bytes unless that exceeds the limit of the class."""
        if self.held + count > self.limit * SHED_FRACTION[urgency]:
            return False
        self.held += count
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self.held -= count


@dataclass(slots=True)
class AdmissionLimit:
    """Admission limit by urgency class: the least urgent work is shed first.

    Attributes
    ----------
    limit : int
        Items of all workloads that one shard may hold at a time.
    """

    limit: int = 100_000

    def admits(self, item_count: int, urgency: Urgency) -> bool:
        """Return whether the class may add an item to the ``item_count`` present."""
        return item_count < self.limit * SHED_FRACTION[urgency]
