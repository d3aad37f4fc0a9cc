"""What accounts may hold by runs of former owners that are not known yet."""

from __future__ import annotations

from collections.abc import Iterable

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.job import Job, JobState

__all__ = ["sum_unsettled"]

# Seconds after the end of a job by which all its runs are over: a cut off host ends
# them with its lease.
CLOSED_JOB_RUN_S = 10.0


def sum_unsettled(jobs: Iterable[Job], wall: float) -> dict[str, Resources]:
    """Return the most that unknown runs of former owners hold, by account.

    Each unsettled task may have a run; with speculative copies, each task may have
    one more than is known. Those of a closed job are stopped, which takes a while.
    """
    unknown: dict[str, Resources] = {}
    for job in jobs:
        if not job.account:
            continue
        if job.is_closed and wall - job.outcome_at > CLOSED_JOB_RUN_S:
            continue
        is_complete = job.outcome == JobState.COMPLETE
        for step in job.steps.values():
            may_run = sum(
                task.state in ("unsettled", "abandoned") and not is_complete
                for task in step.tasks
            )
            if step.spec.copies:
                may_run += len(step.tasks)
            if may_run:
                need = step.account_need.times(may_run)
                unknown[job.account] = unknown.get(job.account, NOTHING) + need
    return unknown
