"""How fast hosts work, from the progress and the ends of what runs on them.

Declared run times are off by a factor that is much the same for all tasks of a
queue; it is learned for each queue, and what is left is the host's own.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from siskinroad.work.host import Host, Run

__all__ = ["Speeds"]

# Weight of a new sample in the mean of its queue.
SAMPLE_WEIGHT = 0.1
# Ends of a queue's tasks before its declared times are trusted.
MIN_SAMPLES = 8
# Seconds of work before a run's progress tells anything.
MIN_ELAPSED = 0.35
# Times its expected time that a task takes on a host that counts as slow: more
# than hosts differ by kind, less than a degraded one is slowed.
SLOW_RATIO = 2.5


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
        return declared * known.ratio

    def ratio(self, run: Run, now: float) -> float | None:
        """Return how many times its expected time a run seems to take."""
        elapsed = now - run.begun_at
        if not run.begun_at or elapsed < MIN_ELAPSED or not run.declared:
            return None
        expected = self.expected(run.queue, run.declared)
        if expected is None or run.long_running:
            return None
        part = max(run.progress - run.progress_at_begin, 1) / 100
        known_elapsed = max(run.moved_at - run.begun_at, MIN_ELAPSED)
        return max(known_elapsed / part, elapsed) / expected

    def is_slow(self, host: Host, now: float) -> bool:
        """Return whether most of what runs on a host is far behind."""
        ratios = [
            ratio
            for run in host.runs.values()
            if run.state == "running" and (ratio := self.ratio(run, now)) is not None
        ]
        return bool(ratios) and statistics.median(ratios) >= SLOW_RATIO

    def remaining(self, run: Run, now: float) -> float | None:
        """Return the seconds that a run seems to need yet."""
        ratio = self.ratio(run, now)
        expected = self.expected(run.queue, run.declared)
        if ratio is None or expected is None:
            return None
        return max(0.0, ratio * expected - (now - run.begun_at))
