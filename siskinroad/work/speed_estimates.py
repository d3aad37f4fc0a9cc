"""Estimates of run times and host speeds, from the progress and ends of runs.

Declared run times are off by a factor that is much the same for all tasks of a queue.
The factor is learned per queue, as it is on a host of typical speed; a remaining
deviation is attributed to the host, whose lasting speed `host_speeds` learns.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from siskinroad.work.host import Host, Run
from siskinroad.work.host_speeds import HostSpeeds, SpeedSample

__all__ = ["SpeedEstimates", "extrapolate_total_s"]

# Least weight of a new sample in the moving average of its queue.
SAMPLE_WEIGHT = 0.1
# Samples of a queue before its learned ratio is used; until then it counts as 1.
MIN_SAMPLES = 8
# Seconds that a run must have worked before its progress is extrapolated; before
# that, its progress says nothing about its speed.
MIN_ELAPSED_S = 0.35
# Fraction of its expected time that a run must have worked before its ratio is used.
MIN_EXPECTED_FRACTION = 0.5
# Jobs with usable runs on a host before its slowdown is estimated: the declared time of
# a single job may be far off.
MIN_JOBS = 3


@dataclass(slots=True)
class _QueueRatio:
    """Learned ratio of one queue, and the number of samples behind it."""

    ratio: float = 1.0
    samples: int = 0


@dataclass(slots=True)
class SpeedEstimates:
    """Learned ratios of actual to declared run times, by queue, and speeds of hosts.

    Attributes
    ----------
    host_speeds : HostSpeeds
        Learned speeds of the pool's hosts.
    """

    queues: dict[str, _QueueRatio] = field(default_factory=dict)
    host_speeds: HostSpeeds = field(default_factory=HostSpeeds)

    def record_end(self, host: Host, run: Run, now: float, *, is_of_host: bool) -> None:
        """Add a successful run to the ratio of its queue and the speed of its host.

        The speed of the host is taken out of the ratio of the queue. Otherwise a queue
        whose tasks go to slow hosts would make these seem typical.

        Parameters
        ----------
        is_of_host : bool
            Whether the run time tells the speed of the host, not that of other hosts
            or of a link.
        """
        seconds = now - run.begun_at
        if not is_of_host or run.long_running or run.filler:
            self.record_run(run.queue, run.declared_s, seconds)
            return
        expected_s = self.expected_s(run.queue, run.declared_s)
        typical_s = self.host_speeds.typical_s(host.name, seconds)
        if typical_s is not None:
            self.record_run(run.queue, run.declared_s, typical_s)
        if expected_s is None or seconds <= 0:
            return
        sample = SpeedSample(run.key[0].job, seconds / expected_s, now)
        self.host_speeds.record_run(host.name, host.incarnation_ms, sample)

    def record_run(self, queue: str, declared_s: float, seconds: float) -> None:
        """Add the run time of a successful run to the ratio of its queue."""
        if declared_s <= 0 or seconds <= 0:
            return
        learned = self.queues.setdefault(queue, _QueueRatio())
        learned.samples += 1
        # The first samples weigh more, so that the average does not stay near 1.
        weight = max(SAMPLE_WEIGHT, 1 / learned.samples)
        learned.ratio += weight * (seconds / declared_s - learned.ratio)

    def expected_s(self, queue: str, declared_s: float) -> float | None:
        """Return the expected seconds of a task; None without enough samples."""
        learned = self.queues.get(queue)
        if learned is None or learned.samples < MIN_SAMPLES or declared_s <= 0:
            return None
        return declared_s * self.run_time_ratio(queue)

    def run_time_ratio(self, queue: str) -> float:
        """Return the ratio of actual to declared time of a queue; 1 until learned."""
        learned = self.queues.get(queue)
        return learned.ratio if learned and learned.samples >= MIN_SAMPLES else 1.0

    def slowdown(self, run: Run) -> float | None:
        """Return the ratio of a run's extrapolated time to its expected time.

        Returns None if the run is too young by its newest report, is long-running, or
        has no expected time.
        """
        worked_s = run.reported_at - run.begun_at
        if run.long_running or worked_s < MIN_ELAPSED_S:
            return None
        expected_s = self.expected_s(run.queue, run.declared_s)
        if expected_s is None or worked_s < MIN_EXPECTED_FRACTION * expected_s:
            return None
        total_s = extrapolate_total_s(run)
        return None if total_s is None else total_s / expected_s

    def remaining_s(self, run: Run, now: float, host: str = "") -> float:
        """Return the estimated seconds until a run ends.

        Extrapolates the run's progress; before that is possible, uses the declared
        time, the ratio of the queue and the speed of ``host``. Infinite for a
        long-running task, and for one without a declared time that cannot be
        extrapolated yet.
        """
        if run.long_running:
            return float("inf")
        total_s = extrapolate_total_s(run)
        if total_s is None:
            declared_remaining_s = run.declared_s * (100 - run.progress_at_begin) / 100
            ratio = self.run_time_ratio(run.queue) * self.host_speeds.slowdown(host)
            total_s = declared_remaining_s * ratio or float("inf")
        begun_at = run.begun_at or now
        return max(0.0, total_s - (now - begun_at))

    def host_slowdown(self, host: Host) -> float:
        """Return the median slowdown of a host's runs; 1 below ``MIN_JOBS`` jobs."""
        if len(host.runs) < MIN_JOBS:
            return 1.0
        slowdowns: list[float] = []
        jobs: set[str] = set()
        for run in host.runs.values():
            slowdown = self.slowdown(run) if run.state == "running" else None
            if slowdown is not None:
                slowdowns.append(slowdown)
                jobs.add(run.key[0].job)
        if len(jobs) < MIN_JOBS:
            return 1.0
        return statistics.median(slowdowns)


def extrapolate_total_s(run: Run) -> float | None:
    """Return the total seconds of a run at its speed so far; None if too young."""
    worked_s = run.reported_at - run.begun_at
    if not run.begun_at or worked_s < MIN_ELAPSED_S:
        return None
    return worked_s * 100 / max(run.progress - run.progress_at_begin, 1)
