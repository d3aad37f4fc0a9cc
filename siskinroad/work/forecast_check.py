"""Check of a load forecast against what came true, for each queue.

The load that it answers: a forecast that is off, as after a fault that it cannot see,
would turn away jobs that have room. So each accepted job's forecast is compared with
its end, and nothing may be refused on a forecast that is worse than chance.

Nothing here does I/O. Loop times are in seconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

__all__ = ["ForecastCheck", "ForecastRecord", "QueueAccuracy"]

# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.1
# Ends of a queue's jobs before refusals may rely on its forecast.
MIN_SAMPLES = 20
# Least fraction of the jobs forecast to be late that have to be late: that of a coin.
MIN_LATE_FRACTION = 0.5
# Bounds of the learned factors: one odd job must not carry a forecast away.
MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
# Waits below this fraction of a job's run time tell nothing about forecast waits.
MIN_WAIT_FRACTION = 0.2
# Forecasts kept of jobs that have not ended.
MAX_RECORDS = 20_000


@dataclass(slots=True, frozen=True)
class ForecastRecord:
    """What was forecast for an accepted job; all times in seconds.

    Attributes
    ----------
    accepted_at : float
        Loop time.
    plain_wait_s, plain_chain_s : float
        Forecast wait and run time before the learned factors.
    end_s : float
        Forecast time from acceptance to end.
    allowed_s : float
        Time within which the job is in time.
    """

    queue: str
    accepted_at: float
    plain_wait_s: float
    plain_chain_s: float
    end_s: float
    allowed_s: float


@dataclass(slots=True)
class QueueAccuracy:
    """How good the forecast of one queue is.

    Attributes
    ----------
    samples : int
        Jobs that have ended.
    error_s : float
        Mean distance in seconds between forecast and actual end.
    late_fraction : float
        Fraction of the jobs forecast to be late that were late.
    chain_factor, wait_factor : float
        Learned ratio of actual to forecast run time, and of actual to forecast wait.
    """

    samples: int = 0
    error_s: float = 0.0
    late_fraction: float = 1.0
    chain_factor: float = 1.0
    wait_factor: float = 1.0

    @property
    def is_trusted(self) -> bool:
        """Whether jobs may be refused on the forecast."""
        has_samples = self.samples >= MIN_SAMPLES
        return has_samples and self.late_fraction >= MIN_LATE_FRACTION

    def record_lateness(self, is_late: bool) -> None:
        """Record whether a job that was forecast to be late was late."""
        self.late_fraction += SAMPLE_WEIGHT * (is_late - self.late_fraction)

    def record_end(self, record: ForecastRecord, actual_s: float) -> None:
        """Record the end of a job."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.error_s += weight * (abs(record.end_s - actual_s) - self.error_s)
        if record.plain_chain_s <= 0:
            return
        if record.plain_wait_s < MIN_WAIT_FRACTION * record.plain_chain_s:
            ratio = _bound((actual_s - record.plain_wait_s) / record.plain_chain_s)
            self.chain_factor += weight * (ratio - self.chain_factor)
        else:
            chain_s = record.plain_chain_s * self.chain_factor
            ratio = _bound((actual_s - chain_s) / record.plain_wait_s)
            self.wait_factor += SAMPLE_WEIGHT * (ratio - self.wait_factor)


@dataclass(slots=True)
class ForecastCheck:
    """Forecasts of the accepted jobs of a pool, and how good they were."""

    queues: dict[str, QueueAccuracy] = field(default_factory=dict)
    _records: dict[str, ForecastRecord] = field(default_factory=dict)
    _late_at: list[tuple[float, str]] = field(default_factory=list)

    def accuracy(self, queue: str) -> QueueAccuracy:
        """Return the accuracy of a queue's forecast."""
        found = self.queues.get(queue)
        if found is None:
            found = self.queues[queue] = QueueAccuracy()
        return found

    def record_forecast(self, job: str, record: ForecastRecord) -> None:
        """Keep the forecast of a job that was accepted."""
        if job in self._records:
            return
        self._records[job] = record
        if record.end_s > record.allowed_s:
            late_at = record.accepted_at + record.allowed_s
            heapq.heappush(self._late_at, (late_at, job))
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def record_end(self, job: str, now: float, *, is_complete: bool) -> None:
        """Compare the forecast of a job with its end, unless it was not completed."""
        record = self._records.pop(job, None)
        if record is None or not is_complete:
            return
        actual_s = now - record.accepted_at
        accuracy = self.accuracy(record.queue)
        accuracy.record_end(record, actual_s)
        if record.end_s > record.allowed_s and actual_s <= record.allowed_s:
            accuracy.record_lateness(False)

    def record_late_jobs(self, now: float) -> None:
        """Count the jobs that have become late by now, as was forecast."""
        while self._late_at and self._late_at[0][0] < now:
            _, job = heapq.heappop(self._late_at)
            record = self._records.get(job)
            if record is not None:
                self.accuracy(record.queue).record_lateness(True)


def _bound(ratio: float) -> float:
    return min(MAX_FACTOR, max(MIN_FACTOR, ratio))
