"""Jobs that an account sends beyond the rate that is owed to it.

The load that it answers: one account sends five to seven times its usual for some
seconds. Nothing beyond its weight in jobs a second is owed to it, but each of these
jobs would delay those of the other accounts.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from siskinroad.cell import Owner
from siskinroad.work.job import Job

__all__ = ["AccountRates"]

# Seconds of the sliding window in which the jobs of an account are counted.
WINDOW_S = 1.0
# Seconds between two log lines about one account.
LOG_INTERVAL_S = 5.0

log = logging.getLogger("siskinroad.account_rates")


@dataclass(slots=True)
class _RecentJobs:
    """Owed jobs of an account in the window.

    Attributes
    ----------
    owed_at : deque of float
        Unix times in seconds at which they were accepted.
    excess_jobs : int
        Jobs beyond the rate since the last log line.
    """

    owed_at: deque[float] = field(default_factory=deque)
    excess_jobs: int = 0
    logged_at: float = -1e9


@dataclass(slots=True)
class AccountRates:
    """Judge of whether each job was within its account's rate when it was accepted.

    Jobs beyond the rate use up nothing of it, so that an account which sends too much
    still gets its rate. Acceptance times are stored with the jobs: a new owner judges
    the open ones again, and counts none of those that are done.
    """

    _recent: dict[str, _RecentJobs] = field(default_factory=dict)

    def judge(self, jobs: Iterable[Job], owners: Mapping[str, Owner]) -> None:
        """Mark those of the jobs that are new, in the order of their acceptance."""
        new = {job.id: job for job in jobs if job.is_excess is None}
        for job in sorted(new.values(), key=lambda job: (job.accepted_at, job.id)):
            owner = owners.get(job.account)
            job.is_excess = owner is not None and self._is_excess(job, owner)

    def _is_excess(self, job: Job, owner: Owner) -> bool:
        """Return whether a job is beyond the rate, and count it if it is not."""
        if owner.weight <= 0:
            return False
        recent = self._recent.setdefault(owner.name, _RecentJobs())
        owed_at = recent.owed_at
        while owed_at and owed_at[0] <= job.accepted_at - WINDOW_S:
            owed_at.popleft()
        if len(owed_at) >= max(1.0, owner.weight * WINDOW_S):
            _log_excess(job, owner, recent)
            return True
        owed_at.append(job.accepted_at)
        return False


def _log_excess(job: Job, owner: Owner, recent: _RecentJobs) -> None:
    """Log at most each ``LOG_INTERVAL_S`` that an account is beyond its rate."""
    recent.excess_jobs += 1
    if job.accepted_at - recent.logged_at < LOG_INTERVAL_S:
        return
    log.info(
        "account_rates: account sends more than is owed to it; "
        "these jobs follow those of others",
        extra={
            "request": job.id,
            "account": owner.name,
            "owed_per_s": owner.weight,
            "excess_jobs": recent.excess_jobs,
        },
    )
    recent.logged_at = job.accepted_at
    recent.excess_jobs = 0
