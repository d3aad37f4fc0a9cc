"""Processors kept free for urgent work, learned from its own demand.

Load that this answers: short urgent steps that arrive in bursts while long
paperwork fills every gap as soon as it opens. Stopping paperwork frees its room
only after the host's grace, which is longer than an urgent step may wait.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["UrgentRoom"]

# Seconds in which a peak of urgent demand loses half of its weight.
PEAK_HALF_LIFE = 10.0
# Part of the learned peak that is kept free, and the most of the pool.
KEPT_PART = 0.8
MOST_KEPT = 0.4


@dataclass(slots=True)
class UrgentRoom:
    """A decaying peak of what urgent tasks hold and wait for, in processors.

    Attributes
    ----------
    peak : float
        Thousandths of a processor.
    """

    peak: float = 0.0
    at: float = 0.0

    def observe(self, demand: float, now: float) -> None:
        """Take in what urgent tasks hold and wait for now."""
        faded = self.peak * 0.5 ** ((now - self.at) / PEAK_HALF_LIFE)
        self.peak = max(demand, faded)
        self.at = now

    def keep(self, capacity: float, held: float) -> float:
        """Return what less urgent work has to leave free.

        Parameters
        ----------
        capacity : float
            All processors of the pool.
        held : float
            What urgent tasks hold already.
        """
        wanted = min(self.peak * KEPT_PART, capacity * MOST_KEPT)
        return max(0.0, wanted - held)
