"""Recognition of hosts that fail nearly all that they start.

Load pattern: many hosts of a pool begin to fail what runs there, perhaps most of them
at once, while others still complete the same work. `siskinroad.health` compares the
failures of one job by host, and so finds nobody to blame once a job fails on most of
them. Here a host is judged by its own newest ends, over several jobs, as long as work
of the same queue succeeds elsewhere: a queue that succeeds nowhere blames no host.

Nothing here does I/O. Loop times are passed as ``now`` in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["FailingHosts"]

# Score from which a host counts as failing: so many failures in a row, if none went
# before. One in twenty healthy runs may fail.
FAILING_SCORE = 3.0
# Score that a success takes off: a host that fails nine runs in ten still counts.
SUCCESS_SCORE = 1.5
# Jobs that must have failed on a host: the tasks of one may fail everywhere.
MIN_FAILED_JOBS = 2
# Seconds within which other hosts must have completed a run of the queue.
SUCCESS_WINDOW_S = 2.0
# Hosts that must have: one other host may be the only one that can run the queue.
MIN_OTHER_HOSTS = 2


@dataclass(slots=True)
class _Record:
    """Failures of one host since it last did well."""

    score: float = 0.0
    jobs: set[str] = field(default_factory=set)


class FailingHosts:
    """Newest ends of the hosts of one pool."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # Newest success of each host, by queue.
        self._successes: dict[str, dict[str, float]] = {}

    def record_success(self, host: str, queue: str, now: float) -> None:
        """Record a run that has succeeded."""
        self._successes.setdefault(queue, {})[host] = now
        record = self._records.get(host)
        if record is None:
            return
        record.score -= SUCCESS_SCORE
        if record.score <= 0.0:
            del self._records[host]

    def record_failure(self, host: str, queue: str, job: str, now: float) -> bool:
        """Record a run that has failed; return whether the host is to blame."""
        record = self._records.setdefault(host, _Record())
        record.score += 1.0
        record.jobs.add(job)
        if record.score < FAILING_SCORE or len(record.jobs) < MIN_FAILED_JOBS:
            return False
        return self._succeeds_elsewhere(host, queue, now)

    def remove_host(self, host: str) -> None:
        """Forget a host that was removed, or whose quarantine has ended."""
        self._records.pop(host, None)
        for successes in self._successes.values():
            successes.pop(host, None)

    def _succeeds_elsewhere(self, host: str, queue: str, now: float) -> bool:
        others = 0
        for name, at in self._successes.get(queue, {}).items():
            if name != host and now - at <= SUCCESS_WINDOW_S:
                others += 1
                if others >= MIN_OTHER_HOSTS:
                    return True
        return False
