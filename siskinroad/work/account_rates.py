"""Jobs that an account sends beyond the rate that is owed to it.

The load that it answers: one account sends five to seven times its usual for some
seconds. Nothing beyond its weight in jobs a second is owed to it, but each of these
jobs would delay those of the other accounts.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from siskinroad.cell import Owner
from siskinroad.work.job import Job

__all__ = ["AccountRates"]

# Seconds at the owed rate, and further jobs, that an account may send at once after a
# pause. Jobs that come at random at the owed rate would often count as beyond it.
BURST_S = 1.0
BURST_JOBS = 1.0
# Seconds between two log lines about one account.
LOG_INTERVAL_S = 5.0

log = logging.getLogger("siskinroad.account_rates")


@dataclass(slots=True)
class _Allowance:
    """Jobs that an account may still send at once, at a Unix time in seconds.

    Attributes
    ----------
    excess_jobs : int
        Jobs beyond the rate since the last log line.
    """

    jobs: float
    at: float
    excess_jobs: int = 0
    logged_at: float = -1e9


@dataclass(slots=True)
class AccountRates:
    """Judge of whether each job was within its account's rate when it was accepted.

    Jobs beyond the rate use up nothing of it, so that an account which sends too much
    still gets its rate. Acceptance times are stored with the jobs: a new owner judges
    the open ones again, and counts none of those that are done.
    """

    _allowances: dict[str, _Allowance] = field(default_factory=dict)

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
        most = owner.weight * BURST_S + BURST_JOBS
        allowance = self._allowances.get(owner.name)
        if allowance is None:
            allowance = _Allowance(most, job.accepted_at)
            self._allowances[owner.name] = allowance
        elapsed_s = max(0.0, job.accepted_at - allowance.at)
        allowance.jobs = min(most, allowance.jobs + elapsed_s * owner.weight)
        allowance.at = max(allowance.at, job.accepted_at)
        if allowance.jobs < 1.0:
            _log_excess(job, owner, allowance)
            return True
        allowance.jobs -= 1.0
        return False


def _log_excess(job: Job, owner: Owner, allowance: _Allowance) -> None:
    """Log at most each ``LOG_INTERVAL_S`` that an account is beyond its rate."""
    allowance.excess_jobs += 1
    if job.accepted_at - allowance.logged_at < LOG_INTERVAL_S:
        return
    log.info(
        "account_rates: account sends more than is owed to it; "
        "these jobs follow those of others",
        extra={
            "request": job.id,
            "account": owner.name,
            "owed_per_s": owner.weight,
            "excess_jobs": allowance.excess_jobs,
        },
    )
    allowance.logged_at = job.accepted_at
    allowance.excess_jobs = 0
