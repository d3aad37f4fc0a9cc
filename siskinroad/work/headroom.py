"""Processor headroom reserved for urgent work, learned from its demand.

Short urgent steps arrive in bursts, while long work that is not urgent fills every
gap as soon as it opens. Stopping that work frees its processors only after the host's
stop grace, which is longer than an urgent step may wait.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["UrgentHeadroom", "limit_to_usable"]

# Seconds in which a peak of urgent demand decays by half.
PEAK_HALF_LIFE_S = 10.0
# Fraction of the learned peak that is reserved for urgent tasks.
RESERVED_PEAK_FRACTION = 0.8
# Largest fraction of the pool's processors that is reserved for urgent tasks.
MAX_RESERVED_FRACTION = 0.4


@dataclass(slots=True)
class UrgentHeadroom:
    """Decaying peak of the processors that urgent tasks hold and wait for.

    Attributes
    ----------
    peak : float
        Decaying peak of the demand in thousandths of a processor.
    observed_at : float
        Loop time in seconds of the newest observation.
    """

    peak: float = 0.0
    observed_at: float = 0.0

    def observe(self, demand: float, now: float) -> None:
        """Update the peak with the current demand, in thousandths of a processor."""
        decayed_peak = self.peak * 0.5 ** ((now - self.observed_at) / PEAK_HALF_LIFE_S)
        self.peak = max(demand, decayed_peak)
        self.observed_at = now

    def compute_headroom(self, capacity: float, urgent_used: float) -> float:
        """Return the thousandths of a processor that other work has to leave free.

        Parameters
        ----------
        capacity : float
            Thousandths of a processor of the whole pool.
        urgent_used : float
            Thousandths of a processor that urgent tasks hold already.
        """
        desired_headroom = min(
            self.peak * RESERVED_PEAK_FRACTION, capacity * MAX_RESERVED_FRACTION
        )
        return max(0.0, desired_headroom - urgent_used)


def limit_to_usable(headroom: float, waiting: float, usable: float) -> float:
    """Return the headroom without the part for waiting tasks that cannot use it.

    The part beyond the waiting tasks is for bursts to come, whose hosts are not known.

    Parameters
    ----------
    headroom : float
        Headroom as learned, in thousandths of a processor.
    waiting : float
        Demand of the urgent tasks that wait, in thousandths of a processor.
    usable : float
        Free thousandths of a processor that these tasks could use.
    """
    for_waiting = min(headroom, waiting)
    for_bursts = headroom - for_waiting
    return min(for_waiting, usable) + for_bursts
