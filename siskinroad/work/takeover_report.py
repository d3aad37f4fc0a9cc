"""Report of what a new owner waits for before it places tasks of earlier terms."""

from __future__ import annotations

import logging

from siskinroad.work.claim import InheritedState
from siskinroad.work.former_owners import FormerOwners
from siskinroad.work.pool_state import PoolState
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["TakeoverReport", "log_term_started"]

# Seconds between two lines. Mostly all hosts have answered before the first one is due.
REPORT_INTERVAL_S = 1.0
# Largest number of hosts, of former owners, and of claims, that a line names.
MAX_NAMES = 4

log = logging.getLogger("siskinroad.owner")


def log_term_started(
    pool_state: PoolState, inherited: InheritedState, now: float
) -> None:
    """Log what a new owner has read, and how long it waits for leases at most."""
    former, hosts = inherited.former, inherited.hosts
    leases_end_in_s = 0.0
    if not pool_state.is_settled:
        leases_end_in_s = max(0.0, pool_state.former_leases_end_at - now)
    newest_claims = inherited.claims[-MAX_NAMES:]
    log.info(
        "owner: term started",
        extra={
            "pool": pool_state.pool,
            "term": pool_state.term,
            "former": former.node if former else None,
            "jobs": len(pool_state.jobs),
            "hosts": len(hosts.names) if hosts else 0,
            "hosts_term": hosts.term if hosts else None,
            "claim_count": len(inherited.claims),
            "claims": [f"{each.node} {each.term}" for each in newest_claims],
            "are_former_owners_known": inherited.former_owners is not None,
            "leases_end_in_s": round(leases_end_in_s, 2),
        },
    )


class TakeoverReport:
    """Log lines and metric of one owner's takeover, until its tasks are settled.

    Parameters
    ----------
    former_owners : FormerOwners
        The owners of earlier terms that may still renew leases.
    now : float
        The loop time.

    Attributes
    ----------
    started_at : float
        Loop time in seconds at which the term has started.
    """

    def __init__(
        self,
        pool_state: PoolState,
        former_owners: FormerOwners,
        metrics: WorkMetrics,
        now: float,
    ) -> None:
        self._pool_state = pool_state
        self._former_owners = former_owners
        self._metrics = metrics
        self.started_at = now
        self._reported_at = now
        self._is_over = pool_state.is_settled
        self._gauge = metrics.takeover_wait.labels(pool_state.pool)

    def report_if_due(self, now: float) -> None:
        """Write what the tasks wait for; record the wait once it is over."""
        if self._is_over:
            return
        if self._pool_state.is_settled:
            self._metrics.takeover.observe(now - self.started_at)
            self.close()
            return
        self._gauge.set(now - self.started_at)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            self._write(now)

    def close(self) -> None:
        """Reset the gauge, at the end of the wait or of the term."""
        self._is_over = True
        self._gauge.set(0)

    def _write(self, now: float) -> None:
        pool_state = self._pool_state
        silent = pool_state.list_unsettled_hosts()
        remaining = self._former_owners.remaining
        owners = (
            None
            if remaining is None
            else [f"{each.node} {each.term}" for each in remaining[:MAX_NAMES]]
        )
        log.info(
            "owner: tasks of earlier terms wait for hosts that have not answered",
            extra={
                "pool": pool_state.pool,
                "term": pool_state.term,
                "waited_s": round(now - self.started_at, 2),
                "silent_hosts": len(silent),
                "hosts": silent[:MAX_NAMES],
                "former_owners": owners,
                "wait": self._describe_wait(),
                "leases_end_in_s": round(pool_state.former_leases_end_at - now, 2),
                "claims_age_s": pool_state.claims.age_s(now),
            },
        )

    def _describe_wait(self) -> str:
        """Return why the leases are waited for as long as they are."""
        if self._former_owners.shortened_by:
            return self._former_owners.shortened_by
        remaining = self._former_owners.remaining
        if remaining is None:
            return "longest: not all former owners are known"
        if not all(each.uses_witnesses for each in remaining):
            return "longest: a former owner is of an earlier version"
        return "longest: too few witnesses or hosts show that leases end"
