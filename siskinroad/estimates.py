"""Estimates of the size and run time of tasks, learned for each workload.

They are learned from usage reports, which lag behind the actual usage.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from siskinroad.cell import Workload
from siskinroad.resources import Resources

__all__ = ["Estimates", "Histogram"]

# Histogram buckets for each factor of two. With fewer, quantiles come out too high.
BUCKETS_PER_DOUBLING = 4
# Factor applied to the weight of earlier samples when one arrives. With a larger
# value, estimates follow changes of a workload more slowly.
DECAY = 0.995
# Decayed number of samples from which estimates replace the declared values.
MIN_SAMPLES = 5.0
# Multiple of its declared size that is allocated to a task while its workload has too
# few samples. A smaller value overcommits hosts where the declared sizes are too low.
UNKNOWN_FACTOR = 4.0
# Quantile of the peak usage that is allocated to a task, and the factor by which it
# is raised.
PEAK_QUANTILE = 0.95
PEAK_MARGIN = 1.1
# Largest factor between the declared and the estimated size, in both directions.
MAX_RATIO = 16.0
# Quantile of the run times that is taken as the expected run time.
RUN_TIME_QUANTILE = 0.5


@dataclass(slots=True)
class Histogram:
    """Histogram with decaying counts and logarithmic buckets.

    A quantile is at most one bucket, a factor of 2 to the power of 1/4, above the
    true one.
    """

    counts: dict[int, float] = field(default_factory=dict)
    total: float = 0.0
    scale: float = 1.0

    def add(self, value: float) -> None:
        """Add one positive sample and decay the weight of the older ones."""
        index = math.ceil(BUCKETS_PER_DOUBLING * math.log2(max(value, 1e-9)))
        self.scale /= DECAY
        self.counts[index] = self.counts.get(index, 0.0) + self.scale
        self.total += self.scale
        if self.scale > 1e12:
            self._rescale()

    def quantile(self, q: float) -> float:
        """Return the upper edge of the bucket that contains quantile ``q``."""
        remaining = q * self.total
        for index in sorted(self.counts):
            remaining -= self.counts[index]
            if remaining <= 1e-9 * self.total:
                return 2.0 ** (index / BUCKETS_PER_DOUBLING)
        return 0.0

    @property
    def weight(self) -> float:
        """Decayed number of samples."""
        return self.total / self.scale if self.scale else 0.0

    def _rescale(self) -> None:
        scale = self.scale
        kept = {i: c / scale for i, c in self.counts.items() if c / scale > 1e-6}
        self.counts = kept
        self.total = sum(kept.values())
        self.scale = 1.0


@dataclass(slots=True)
class _WorkloadStatistics:
    cpu: Histogram = field(default_factory=Histogram)
    memory: Histogram = field(default_factory=Histogram)
    run_time: Histogram = field(default_factory=Histogram)
    declared: Resources | None = None
    allocation: Resources | None = None
    run_time_s: float | None = None


class Estimates:
    """Estimated size and run time of the tasks of each workload.

    Accelerators and slots are allocated as declared and not estimated.
    """

    def __init__(self) -> None:
        self._stats: dict[str, _WorkloadStatistics] = {}

    def observe(
        self, workload: Workload, run_time: float, cpu_milli: int, memory_mib: int
    ) -> None:
        """Add the run time in seconds and the peak usage of one ended task."""
        stats = self._stats.setdefault(workload.name, _WorkloadStatistics())
        stats.run_time.add(run_time)
        stats.cpu.add(max(cpu_milli, 1))
        stats.memory.add(max(memory_mib, 1))
        stats.allocation = None
        stats.run_time_s = None

    def is_known(self, workload: Workload) -> bool:
        """Return whether enough tasks have ended to estimate their size."""
        stats = self._stats.get(workload.name)
        return stats is not None and stats.memory.weight >= MIN_SAMPLES

    def allocation(self, workload: Workload, capacity: Resources) -> Resources:
        """Return the resources to allocate to one task on a host of ``capacity``.

        Requests get what their workload declares. A task of a workload without
        enough samples gets ``UNKNOWN_FACTOR`` times what it declares.
        """
        if workload.kind == "service":
            return workload.demand
        stats = self._stats.get(workload.name)
        if stats is None:
            stats = self._stats[workload.name] = _WorkloadStatistics()
        if stats.allocation is None or stats.declared is not workload.demand:
            stats.declared = workload.demand
            stats.allocation = _compute_allocation(workload.demand, stats, capacity)
        return stats.allocation

    def run_time(self, workload: Workload) -> float:
        """Return the expected run time in seconds: the median, once it is known."""
        if workload.long_running:
            return math.inf
        stats = self._stats.get(workload.name)
        if stats is None or stats.run_time.weight < MIN_SAMPLES:
            return workload.run_time
        if stats.run_time_s is None:
            stats.run_time_s = stats.run_time.quantile(RUN_TIME_QUANTILE)
        return stats.run_time_s


def _compute_allocation(
    demand: Resources, stats: _WorkloadStatistics, capacity: Resources
) -> Resources:
    if stats.memory.weight < MIN_SAMPLES:
        return _scale_demand(demand, UNKNOWN_FACTOR, capacity)
    return _estimate_peak(demand, stats, capacity)


def _scale_demand(demand: Resources, factor: float, capacity: Resources) -> Resources:
    return Resources(
        min(
            round(demand.cpu_milli * factor), max(capacity.cpu_milli, demand.cpu_milli)
        ),
        min(
            round(demand.memory_mib * factor),
            max(capacity.memory_mib, demand.memory_mib),
        ),
        demand.accelerators,
        demand.slots,
    )


def _estimate_peak(
    demand: Resources, stats: _WorkloadStatistics, capacity: Resources
) -> Resources:
    cpu = stats.cpu.quantile(PEAK_QUANTILE) * PEAK_MARGIN
    memory = stats.memory.quantile(PEAK_QUANTILE) * PEAK_MARGIN
    return Resources(
        min(_clamp(cpu, demand.cpu_milli), capacity.cpu_milli),
        min(_clamp(memory, demand.memory_mib), capacity.memory_mib),
        demand.accelerators,
        demand.slots,
    )


def _clamp(value: float, declared: int) -> int:
    low = declared / MAX_RATIO
    high = declared * MAX_RATIO
    return max(1, math.ceil(min(max(value, low), high)))
