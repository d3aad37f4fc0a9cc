"""Learned speeds of a pool's hosts, from the run times of their tasks.

Load pattern: some hosts of a pool are constantly slower than the others, and a few in a
hundred tasks take many times as long as their like on any host. A host is judged by the
median of its newest jobs' run times, relative to what their queues' tasks take on a
typical host, so that no single long task or job decides. Hosts of nearly the same speed
count as equal: until a host is clearly slower or faster than the median host, nothing
changes. What is known of a host ends with its incarnation and grows old.

Nothing here does I/O. Loop times are passed as ``now`` in seconds.
"""

from __future__ import annotations

import logging
import math
import statistics
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["HostSpeeds", "SpeedSample"]

# Newest run times by which a host is judged.
MAX_SAMPLES = 18
# Run times, and jobs that they come from, before a host is judged: the declared time of
# a single job may be far off.
MIN_SAMPLES = 5
MIN_JOBS = 3
# The same for a host that differs by more than ``EARLY_RATIO``. A new owner has learned
# nothing, and has the work of its predecessor to start.
EARLY_SAMPLES = 3
EARLY_JOBS = 2
EARLY_RATIO = 1.8
# Seconds after which a run time counts no more, so that a host which gets no work is
# tried again.
MAX_SAMPLE_AGE_S = 20.0
# Ratio to the median host from which a host counts as slower or faster, and below which
# it no longer does. Tasks of one queue differ by about a third, and the fastest and the
# slowest host of one make by little more than a half.
UNEVEN_RATIO = 1.6
EVEN_RATIO = 1.3
# Fraction and number of the judged hosts that must be slower, or faster, before any
# counts as that: chance makes a few of many hosts seem so. Once they do, half of the
# fraction suffices.
UNEVEN_FRACTION = 0.125
MIN_UNEVEN_HOSTS = 3
# Ratio from which a host counts as slower or faster also without others.
SINGLE_RATIO = 2.5
# Number of hosts, and fraction of those with any run, that must be judged before they
# are compared.
MIN_HOSTS = 4
MIN_JUDGED_FRACTION = 0.5
# Seconds between two comparisons of the hosts.
COMPARE_INTERVAL_S = 0.5

log = logging.getLogger("siskinroad.host_speeds")


@dataclass(slots=True, frozen=True)
class SpeedSample:
    """Run time of one task on a host.

    Attributes
    ----------
    ratio : float
        Ratio to the time that tasks of its queue take on a typical host.
    at : float
        Loop time in seconds at which the run ended.
    """

    job: str
    ratio: float
    at: float


@dataclass(slots=True, frozen=True)
class _Median:
    """Median ratio of a host's newest jobs; ``is_early`` if there are few of them."""

    ratio: float
    is_early: bool


@dataclass(slots=True)
class _HostSamples:
    """Newest run times of one incarnation of a host."""

    incarnation_ms: int
    samples: deque[SpeedSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def find_median(self, now: float) -> _Median | None:
        """Return the median ratio of the newest jobs; None without enough of them."""
        by_job: dict[str, list[float]] = {}
        count = 0
        for sample in self.samples:
            if now - sample.at <= MAX_SAMPLE_AGE_S:
                by_job.setdefault(sample.job, []).append(sample.ratio)
                count += 1
        if count < EARLY_SAMPLES or len(by_job) < EARLY_JOBS:
            return None
        is_early = count < MIN_SAMPLES or len(by_job) < MIN_JOBS
        return _Median(
            statistics.median(map(statistics.median, by_job.values())), is_early
        )


class HostSpeeds:
    """Learned speeds of the hosts of one pool.

    Attributes
    ----------
    slowdowns : dict of str to float
        Ratio of run times on a host to those on the median host, of the hosts that are
        clearly slower (above 1) or faster (below 1); others are missing.
    largest_slowdown : float
        Largest of these ratios, or 1.
    """

    def __init__(self) -> None:
        self.slowdowns: dict[str, float] = {}
        self.largest_slowdown = 1.0
        self._hosts: dict[str, _HostSamples] = {}
        self._ratios: dict[str, float] = {}
        self._suspected: frozenset[str] = frozenset()
        self._is_pool_uneven = False
        self._compared_at = -1e9

    def record_run(self, host: str, incarnation_ms: int, sample: SpeedSample) -> None:
        """Add the run time of a successful run; forget earlier incarnations."""
        known = self._hosts.get(host)
        if known is None or known.incarnation_ms != incarnation_ms:
            self._hosts[host] = known = _HostSamples(incarnation_ms)
            self.slowdowns.pop(host, None)
        known.samples.append(sample)

    def remove_host(self, host: str) -> None:
        """Forget a host that was removed, restarted or replaced."""
        self._hosts.pop(host, None)
        self.slowdowns.pop(host, None)

    def slowdown(self, host: str) -> float:
        """Return the ratio of run times on a host to those on the median host."""
        return self.slowdowns.get(host, 1.0)

    def typical_s(self, host: str, seconds: float) -> float | None:
        """Return what a run on a host would have taken on the median host.

        Returns None for a host that is clearly slower or faster: what its tasks would
        take elsewhere is then only as certain as its own slowdown. In an even pool,
        this is the run time itself.
        """
        if host in self.slowdowns:
            return None
        return seconds / self._ratios.get(host, 1.0) if self.slowdowns else seconds

    def speed_class(self, host: str) -> int:
        """Return a host's slowdown in powers of two, so that noise orders no hosts.

        It is 0 for a typical host, negative for a faster one.
        """
        slowdown = self.slowdowns.get(host)
        if slowdown is None:
            return 0
        exponent = max(1, round(abs(math.log2(slowdown))))
        return exponent if slowdown > 1.0 else -exponent

    def compare_if_due(self, now: float) -> None:
        """Compare the hosts, if the last comparison is old enough."""
        if now - self._compared_at < COMPARE_INTERVAL_S:
            return
        self._compared_at = now
        medians = {
            name: median
            for name, samples in self._hosts.items()
            if (median := samples.find_median(now)) is not None
        }
        least = max(MIN_HOSTS, MIN_JUDGED_FRACTION * len(self._hosts))
        self._ratios = _compare(medians) if len(medians) >= least else {}
        suspected = {
            name: ratio
            for name, ratio in self._ratios.items()
            if _is_uneven(ratio, self._find_limit(name, medians[name]))
        }
        self._suspected = frozenset(suspected)
        self._is_pool_uneven = self._has_enough(suspected.values())
        slowdowns = {
            name: ratio
            for name, ratio in suspected.items()
            if self._is_pool_uneven
            or (_is_uneven(ratio, SINGLE_RATIO) and not medians[name].is_early)
        }
        self._log_changes(slowdowns, now)
        self.slowdowns = slowdowns
        self.largest_slowdown = max(1.0, max(slowdowns.values(), default=1.0))

    def _has_enough(self, ratios: Iterable[float]) -> bool:
        """Return whether enough hosts are slower, or faster, for an uneven pool."""
        slower = faster = 0
        for ratio in ratios:
            slower += ratio > 1.0
            faster += ratio < 1.0
        fraction = UNEVEN_FRACTION / 2 if self._is_pool_uneven else UNEVEN_FRACTION
        least = max(fraction * len(self._ratios), MIN_UNEVEN_HOSTS)
        return max(slower, faster) >= least

    def _find_limit(self, host: str, median: _Median) -> float:
        """Return the ratio from which a host counts as slower or faster."""
        if host in self._suspected:
            return EVEN_RATIO
        return EARLY_RATIO if median.is_early else UNEVEN_RATIO

    def count_by_bucket(self, bounds: Iterable[float]) -> dict[float, int]:
        """Return the number of known hosts up to each bound, above the one before."""
        counts = dict.fromkeys(bounds, 0)
        for name in self._hosts:
            slowdown = self.slowdown(name)
            bound = next((b for b in counts if slowdown <= b), None)
            if bound is not None:
                counts[bound] += 1
        return counts

    def _log_changes(self, slowdowns: Mapping[str, float], now: float) -> None:
        """Log the hosts that have come to count as slower, faster or typical."""
        for name in slowdowns.keys() ^ self.slowdowns.keys():
            known = self._hosts.get(name)
            samples = known.samples if known is not None else ()
            oldest_s = now - samples[0].at if samples else 0.0
            log.info(
                "host_speeds: host counts as %s",
                _describe(slowdowns.get(name, 1.0)),
                extra={
                    "host": name,
                    "slowdown": round(slowdowns.get(name, 1.0), 2),
                    "samples": len(samples),
                    "oldest_sample_s": round(oldest_s, 2),
                },
            )


def _compare(medians: Mapping[str, _Median]) -> dict[str, float]:
    """Return the ratio to the median host of each host that can be judged."""
    typical = statistics.median(median.ratio for median in medians.values())
    return {name: median.ratio / typical for name, median in medians.items()}


def _is_uneven(ratio: float, limit: float) -> bool:
    return not 1 / limit < ratio < limit


def _describe(slowdown: float) -> str:
    if slowdown > 1.0:
        return "slower"
    return "faster" if slowdown < 1.0 else "typical"
