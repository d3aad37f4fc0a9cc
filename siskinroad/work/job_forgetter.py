"""Removal of jobs that ended long ago, from an owner's memory and from the store.

A job is kept for its time since this owner has stored or read its end, by the loop's
clock: the calendar clock may be set.

The record of a job's acceptance is deleted first. An owner that ends in between leaves
the job's progress behind, which the next one deletes. In the other order the next owner
would take a job that has ended for one that has not begun.
"""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import InheritedState
from siskinroad.work.job import JobState
from siskinroad.work.job_keys import JobKeys
from siskinroad.work.progress import ProgressLog
from siskinroad.work.queue_closings import QueueClosings
from siskinroad.work.records import cancel_key, job_topic
from siskinroad.work.store import Record
from siskinroad.work.term import Term

__all__ = ["JobForgetter"]

# Seconds between two removals, and most jobs in one.
FORGET_INTERVAL = 5.0
MAX_FORGOTTEN = 1_000
# Seconds for which an ended job is kept beyond what callers are promised.
FORGET_MARGIN_S = 10.0

log = logging.getLogger("siskinroad.owner")


class JobForgetter:
    """The component of an owner that removes its ended jobs.

    Parameters
    ----------
    retention_s : float
        Seconds for which callers may ask for the state of a job that has ended.
    closings : QueueClosings
        The closings of queues in the pool, with the jobs that came behind them.
    job_keys : JobKeys
        The keys of the jobs in the store.
    """

    def __init__(
        self,
        term: Term,
        progress: ProgressLog,
        retention_s: float,
        closings: QueueClosings,
        job_keys: JobKeys,
    ) -> None:
        self._term = term
        self._progress = progress
        self._retention_s = retention_s + FORGET_MARGIN_S
        self._closings = closings
        self._job_keys = job_keys
        self._old_cancels: list[str] = []

    def add_inherited(self, inherited: InheritedState) -> None:
        """Note what former owners have left behind without its job."""
        for first in inherited.parted_progress.list_firsts():
            if first.state and first.job not in inherited.accepted:
                keys = inherited.parted_progress.list_keys(first.job)
                self._progress.remove_records(keys)
        jobs = self._term.pool_state
        self._old_cancels += [
            job
            for job in inherited.cancelled
            if job not in inherited.accepted and not jobs.has_early_cancel(job)
        ]

    async def run(self) -> None:
        """Remove jobs until cancelled."""
        while True:
            await asyncio.sleep(FORGET_INTERVAL)
            if not self._term.is_owner_confirmed():
                continue
            try:
                await self._forget_some()
            except SiskinroadError as exc:
                log.warning(
                    "owner: records of ended jobs not deleted; trying again",
                    extra={"pool": self._term.pool, "error": str(exc)},
                )

    async def _forget_some(self) -> None:
        pool_state = self._term.pool_state
        now = asyncio.get_running_loop().time()
        self._old_cancels += pool_state.take_old_early_cancels(now)
        cancels = self._old_cancels[:MAX_FORGOTTEN]
        jobs = pool_state.list_expired(now, self._retention_s)[:MAX_FORGOTTEN]
        keys = [key for job in jobs for key in self._job_keys.list_keys(job.id)]
        keys += [
            cancel_key(job.id) for job in jobs if job.outcome == JobState.CANCELLED
        ]
        keys += [cancel_key(job) for job in cancels if job not in pool_state.jobs]
        late_jobs = self._list_old_late_jobs(now)
        unaccepted = [job for job in late_jobs if job not in pool_state.jobs]
        keys += [key for job in unaccepted for key in self._job_keys.list_keys(job)]
        if keys:
            records = [Record(key, b"") for key in keys]
            store = self._term.dependencies.store
            await store.append(job_topic(self._term.pool), records)
        del self._old_cancels[: len(cancels)]
        for late_job in late_jobs:
            del self._closings.late_jobs[late_job]
        for unaccepted_job in unaccepted:
            self._job_keys.forget(unaccepted_job)
        for job in jobs:
            self._job_keys.forget(job.id)
            pool_state.forget(job)
            self._progress.remove_records(job.list_progress_keys())
        if jobs:
            log.info(
                "owner: jobs that ended long ago are forgotten",
                extra={
                    "pool": self._term.pool,
                    "jobs": len(jobs),
                    "left": len(pool_state.jobs),
                    "retention_s": self._retention_s,
                },
            )

    def _list_old_late_jobs(self, now: float) -> list[str]:
        """Return some jobs that came behind a closing, read as long ago as ends."""
        old = [
            job
            for job, late in self._closings.late_jobs.items()
            if now - late.read_at > self._retention_s
        ]
        return old[:MAX_FORGOTTEN]
