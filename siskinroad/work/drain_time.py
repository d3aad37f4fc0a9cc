"""Time in which a class of work gets through what is ahead of it.

The load that it answers: urgent work comes while long work that is less urgent holds
most of the pool, and gives it back only as its runs end.
"""

from __future__ import annotations

import math

from siskinroad.work.load_summary import Held

__all__ = ["MIN_CAPACITY_FRACTION", "compute_drain_s"]

# Least fraction of the pool that a class is assumed to get beside more urgent work.
MIN_CAPACITY_FRACTION = 0.05


def compute_drain_s(work_s: float, capacity: float, held: Held) -> float:
    """Return the seconds in which a class works through what is ahead of it.

    Less urgent runs hold a part of its capacity, which comes free at a steady rate.

    Parameters
    ----------
    work_s : float
        Processor-seconds ahead.
    capacity : float
        Processors once the less urgent runs have ended.
    """
    least = capacity * MIN_CAPACITY_FRACTION
    begin = max(least, capacity - held.cpu)
    gained = capacity - begin
    if gained <= 0 or held.rest_cpu_s <= 0:
        return work_s / capacity
    # Runs that end evenly over this time have half of it left on average.
    period_s = 2 * held.rest_cpu_s / held.cpu
    done_s = (begin + gained / 2) * period_s
    if work_s >= done_s:
        return period_s + (work_s - done_s) / capacity
    slope = gained / period_s
    return (math.sqrt(begin**2 + 2 * slope * work_s) - begin) / slope
