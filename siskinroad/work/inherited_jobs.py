"""The jobs that a claim has read, as the new owner takes them over."""

from __future__ import annotations

import logging
from collections import Counter

from siskinroad.work.claim import InheritedState
from siskinroad.work.job import JobState
from siskinroad.work.job_table import EARLY_CANCEL_MEMORY_S
from siskinroad.work.pool_state import PoolState
from siskinroad.work.queue_closings import QueueClosings
from siskinroad.work.records import Accepted, Cancelled, Progress, decode_stored
from siskinroad.work.unsettled_use import CLOSED_JOB_RUN_S

__all__ = ["load_jobs", "log_unknown_queues", "note_late_job"]

log = logging.getLogger("siskinroad.owner")


def load_jobs(
    pool_state: PoolState, inherited: InheritedState, now: float, wall: float
) -> None:
    """Add the jobs of former owners, with their progress and cancellations."""
    progress_by_job = inherited.progress
    for job_id, value in inherited.accepted.items():
        accepted = decode_stored(value)
        assert isinstance(accepted, Accepted)
        if inherited.closings.is_excluded(accepted, progress_by_job):
            note_late_job(inherited.closings, accepted, pool_state, now)
            continue
        progress = progress_by_job.get(job_id)
        if progress is not None and _has_nothing_running(accepted, progress, wall):
            pool_state.add_closed(accepted, progress, now)
            continue
        job = pool_state.accept(accepted, now, wall, is_new=False)
        job.progress_parts = inherited.parted_progress.count_parts(job_id)
        if progress is not None:
            pool_state.restore(progress, now)
    for cancelled in inherited.cancelled.values():
        _apply_cancel(pool_state, cancelled, now, wall)


def note_late_job(
    closings: QueueClosings, accepted: Accepted, pool_state: PoolState, now: float
) -> None:
    """Note and log a job that was stored after its queue was closed."""
    closings.note_late_job(accepted, now)
    log.warning(
        "owner: job was stored after its queue was closed here; not accepted",
        extra={
            "request": accepted.job,
            "queue": accepted.queue,
            "pool": pool_state.pool,
            "term": pool_state.term,
            "assigned": accepted.assigned,
            "closed": closings.noted.get(accepted.queue, 0),
            "complete": closings.complete.get(accepted.queue, 0),
        },
    )


def _has_nothing_running(accepted: Accepted, progress: Progress, wall: float) -> bool:
    """Return whether a job has ended and none of its tasks can still have a run."""
    if not progress.state:
        return False
    if wall - progress.at > CLOSED_JOB_RUN_S:
        return True
    has_copies = any(step.copies for step in accepted.spec.steps)
    return progress.state == JobState.COMPLETE and not has_copies


def _apply_cancel(
    pool_state: PoolState, cancelled: Cancelled, now: float, wall: float
) -> None:
    """Apply a stored cancellation, also one of a job whose record is yet to come.

    One of long before the job was accepted meant an earlier submission that was never
    stored.
    """
    job = pool_state.jobs.get(cancelled.job)
    if job is None:
        age_s = max(0.0, wall - cancelled.at)
        if age_s <= EARLY_CANCEL_MEMORY_S:
            pool_state.note_early_cancel(cancelled.job, now - age_s)
    elif job.accepted_at - cancelled.at <= EARLY_CANCEL_MEMORY_S:
        pool_state.cancel(cancelled.job, now, wall)


def log_unknown_queues(pool_state: PoolState) -> None:
    """Log the open jobs of queues whose settings are not known."""
    waiting = Counter(
        job.queue
        for job in pool_state.jobs.values()
        if not job.is_closed and job.queue not in pool_state.queues
    )
    for queue, jobs in waiting.items():
        log.error(
            "owner: queue of accepted jobs is in no known configuration; "
            "they wait until one has it",
            extra={"pool": pool_state.pool, "queue": queue, "jobs": jobs},
        )
