"""How fast hosts work, from the progress and the ends of what runs on them.

Declared run times are off by a factor that is much the same for all tasks of a
queue; it is learned for each queue, and what is left is the host's own.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from siskinroad.work.host import Host, Run

__all__ = ["Speeds", "seeming_time"]

# Weight of a new sample in the mean of its queue.
SAMPLE_WEIGHT = 0.1
# Ends of a queue's tasks before its declared times are trusted.
MIN_SAMPLES = 8
# Seconds of work before a run's progress tells anything.
MIN_ELAPSED = 0.35
# Part of its expected time that a run must have worked before it is judged.
MIN_PART = 0.5
# Jobs whose runs must agree that a host is slow.
MIN_JOBS = 3


@dataclass(slots=True)
class _Queue:
    ratio: float = 1.0
    samples: int = 0


@dataclass(slots=True)
class Speeds:
    """Learned ratios of true to declared run times, by queue."""

    queues: dict[str, _Queue] = field(default_factory=dict)

    def ended(self, queue: str, declared: float, seconds: float) -> None:
        """Take in a run that ended well."""
        if declared <= 0 or seconds <= 0:
            return
        known = self.queues.setdefault(queue, _Queue())
        known.samples += 1
        # The first samples weigh more, so that the mean does not stick to 1.
        weight = max(SAMPLE_WEIGHT, 1 / known.samples)
        known.ratio += weight * (seconds / declared - known.ratio)

    def expected(self, queue: str, declared: float) -> float | None:
        """Return the seconds that a task should take; None if not known yet."""
        known = self.queues.get(queue)
        if known is None or known.samples < MIN_SAMPLES or declared <= 0:
            return None
        return declared * self.factor(queue)

    def factor(self, queue: str) -> float:
        """Return how many times their declared time a queue's tasks take."""
        known = self.queues.get(queue)
        return known.ratio if known and known.samples >= MIN_SAMPLES else 1.0

    def ratio(self, run: Run) -> float | None:
        """Return how many times its expected time a run seems to take.

        None while it is too young for that, judged by its newest report.
        """
        expected = self.expected(run.queue, run.declared)
        total = seeming_time(run)
        if expected is None or total is None or run.long_running:
            return None
        if run.reported_at - run.begun_at < MIN_PART * expected:
            return None
        return total / expected

    def remaining(self, run: Run, now: float) -> float:
        """Return the seconds until a run has probably ended.

        From its progress once that tells anything, until then from what its queue's
        tasks take; an unknown length or a run that lasts never ends.
        """
        if run.long_running:
            return float("inf")
        total = seeming_time(run)
        if total is None:
            left = run.declared * (100 - run.progress_at_begin) / 100
            total = left * self.factor(run.queue) or float("inf")
        begun_at = run.begun_at or now
        return max(0.0, total - (now - begun_at))

    def slowness(self, host: Host) -> float:
        """Return how many times slower than others a host is; 1 if not known.

        One job alone proves nothing: its declared time may be far off.
        """
        ratios: list[float] = []
        jobs: set[str] = set()
        for run in host.runs.values():
            ratio = self.ratio(run) if run.state == "running" else None
            if ratio is not None:
                ratios.append(ratio)
                jobs.add(run.key[0].job)
        if len(jobs) < MIN_JOBS:
            return 1.0
        return statistics.median(ratios)


def seeming_time(run: Run) -> float | None:
    """Return the seconds that a run takes in all at its pace so far."""
    worked = run.reported_at - run.begun_at
    if not run.begun_at or worked < MIN_ELAPSED:
        return None
    return worked * 100 / max(run.progress - run.progress_at_begin, 1)
