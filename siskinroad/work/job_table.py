"""Table of a pool's jobs, with their ready steps, due times and target times.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.health import Health
from siskinroad.work.job import (
    Job,
    JobState,
    StepRun,
    Task,
    make_closed_job,
    make_job,
)
from siskinroad.work.model import Configuration, Queue, TaskId
from siskinroad.work.records import Accepted, Progress, progress_topic
from siskinroad.work.speed_estimates import SpeedEstimates

__all__ = ["EARLY_CANCEL_MEMORY_S", "JobTable", "QueueTimes"]

# Number of hosts assumed for each advice request when the time of a job is estimated,
# as the platform's documentation specifies.
HOSTS_PER_ADVICE_REQUEST = 30
# Seconds for which a cancellation of an unknown job is remembered: an append without an
# answer may take effect some seconds later. Most of them that are remembered.
EARLY_CANCEL_MEMORY_S = 30.0
MAX_EARLY_CANCELS = 10_000
# Most occurrences of one job that are opened at once: a job may be submitted long after
# the first of them were due.
MAX_OPENED_AT_ONCE = 100
# Most unfinished tasks of one job beyond which no further occurrence is opened: the
# progress of a job is stored by one append.
MAX_UNFINISHED_TASKS = 20_000

log = logging.getLogger("siskinroad.pool_state")


@dataclass(slots=True, frozen=True)
class QueueTimes:
    """What the time that a queue allows its jobs is computed from.

    Attributes
    ----------
    run_time_ratio : float
        Learned ratio of actual to declared run times.
    advice_s : float
        Seconds that one advice request takes; 0 if the queue needs none.
    slack : float
        Multiple of the job's expected duration that its target time allows.
    target : float
        Seconds that the target time allows in addition.
    """

    run_time_ratio: float
    advice_s: float
    slack: float
    target: float

    def allowed_time(self, job: Job) -> float:
        """Return the seconds within which a job should be complete.

        The time is based on the job's longest chain of steps, with declared run
        times scaled to measured ones, and one advice request for each of its steps.
        """
        chain_s = job.longest_time * self.run_time_ratio
        chain_s += job.chain_length * self.advice_s
        return self.slack * chain_s + self.target


class JobTable:
    """Table of the jobs of one pool, without the hosts that run them.

    Parameters
    ----------
    pool : str
        Name of the pool.
    term : int
        The owner's term.

    Attributes
    ----------
    ready : dict of tuple to StepRun
        Steps whose tasks may start or run.
    scheduled_jobs : set of str
        Jobs with occurrences that are not due yet.
    dirty : set of str
        Jobs that have changed since they were last stored.
    additions : int
        Number of times that tasks were added which a former owner may have started.
    is_settled : bool
        Every run of former owners has been reconciled, so none can be running
        without this owner's knowledge.
    observe_result : callable
        Receives each job that ends, with its result: whether it was complete in time,
        or how it ended otherwise.
    """

    def __init__(self, pool: str, term: int) -> None:
        self.pool = pool
        self.term = term
        self.configuration: Configuration | None = None
        self.queues: dict[str, Queue] = {}
        self.jobs: dict[str, Job] = {}
        self._maybe_pending: dict[str, list[Job]] = {}
        self.ready: dict[tuple[str, int, int], StepRun] = {}
        self.scheduled_jobs: set[str] = set()
        self.dirty: set[str] = set()
        self.additions = 0
        self.health = Health()
        self.speed_estimates = SpeedEstimates()
        self.is_settled = False
        self._early_cancels: dict[str, float] = {}
        self.observe_result: Callable[[Job, str], None] = lambda job, result: None

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; queues missing from it keep their last settings."""
        self.configuration = configuration
        for queue in configuration.queues:
            self.queues[queue.name] = queue

    def accept(self, accepted: Accepted, now: float, wall: float, is_new: bool) -> Job:
        """Add an accepted job and return it; a repeated submission changes nothing.

        Parameters
        ----------
        is_new : bool
            Whether no former owner can have started any of its tasks.
        """
        existing = self.jobs.get(accepted.job)
        if existing is not None:
            return existing
        job = make_job(accepted)
        self.jobs[job.id] = job
        if not is_new:
            self.additions += 1
        self._maybe_pending.setdefault(job.queue, []).append(job)
        if job.spec.occurrences > 1 or job.spec.first:
            self.scheduled_jobs.add(job.id)
        else:
            job.open_occurrence(is_settled=is_new or self.is_settled)
        self._collect_ready_steps(job, now)
        return job

    def note_early_cancel(self, job_id: str, now: float) -> None:
        """Remember the cancellation of a job whose record has not been read."""
        self._early_cancels.pop(job_id, None)
        self._early_cancels[job_id] = now
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            del self._early_cancels[next(iter(self._early_cancels))]

    def take_early_cancel(self, job_id: str, now: float) -> bool:
        """Return whether a job was cancelled shortly before its record was read."""
        cancelled_at = self._early_cancels.pop(job_id, -math.inf)
        return now - cancelled_at <= EARLY_CANCEL_MEMORY_S

    def has_early_cancel(self, job_id: str) -> bool:
        """Return whether the cancellation of an unknown job is remembered."""
        return job_id in self._early_cancels

    def take_old_early_cancels(self, now: float) -> list[str]:
        """Remove and return the cancellations that are remembered no longer."""
        old = [
            job_id
            for job_id, at in self._early_cancels.items()
            if now - at > EARLY_CANCEL_MEMORY_S
        ]
        for job_id in old:
            del self._early_cancels[job_id]
        return old

    def restore(self, progress: Progress, now: float) -> None:
        """Apply the stored progress of an accepted job."""
        job = self.jobs.get(progress.job)
        if job is None:
            return
        left_out = job.restore(progress)
        self.additions += 1
        if left_out:
            log.error(
                "pool_state: stored progress has what cannot be; using the rest of it",
                extra={
                    "topic": progress_topic(self.pool),
                    "key": job.id,
                    "left_out": len(left_out),
                    "error": left_out[0],
                },
            )
        if job.is_closed:
            job.outcome_stored_at = now
            self._remove_ready_steps(job)
            return
        for step in list(job.steps.values()):
            self._close_step_if_done(step, now)
        self._collect_ready_steps(job, now)

    def open_due(self, now: float, wall: float, max_lead: float) -> None:
        """Open occurrences that are due within ``max_lead`` seconds."""
        for job_id in list(self.scheduled_jobs):
            job = self.jobs[job_id]
            if job.is_closed:
                self.scheduled_jobs.discard(job_id)
                continue
            due = job.opened_occurrences
            last = min(job.spec.occurrences, due + _count_openable(job))
            while due < last and job.spec.due(due) <= wall + max_lead:
                due += 1
            self.open_occurrences(job, due - 1, now)

    def open_occurrences(self, job: Job, last: int, now: float) -> None:
        """Open a job's occurrences up to the one numbered ``last``."""
        while job.opened_occurrences <= min(last, job.spec.occurrences - 1):
            if job.is_closed:
                break
            job.open_occurrence(is_settled=self.is_settled)
            self.additions += 1
            self._collect_ready_steps(job, now)
        if job.is_closed or job.opened_occurrences >= job.spec.occurrences:
            self.scheduled_jobs.discard(job.id)

    def count_pending(self, queue: str) -> int:
        """Return the number of open jobs of a queue that have not started."""
        # A job that has started or is closed never becomes pending again.
        pending = [
            job
            for job in self._maybe_pending.get(queue, ())
            if not job.has_started and not job.is_closed
        ]
        self._maybe_pending[queue] = pending
        return len(pending)

    def add_closed(self, accepted: Accepted, progress: Progress, now: float) -> None:
        """Add a job that had ended under a former owner, without its steps."""
        job = make_closed_job(accepted, progress)
        job.outcome_stored_at = now
        self.jobs.setdefault(job.id, job)

    def list_expired(self, now: float, retention: float) -> list[Job]:
        """Return the jobs whose end is stored for more than ``retention`` seconds."""
        return [
            job
            for job in self.jobs.values()
            if job.stored_outcome and now - job.outcome_stored_at > retention
        ]

    def forget(self, job: Job) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(job.id, None)
        self.scheduled_jobs.discard(job.id)
        self.health.remove_workload(job.id)
        pending = self._maybe_pending.get(job.queue, [])
        if job in pending:
            pending.remove(job)

    def queue_times(self, name: str) -> QueueTimes:
        """Return the times of a queue; a queue that is unknown allows none."""
        queue = self.queues.get(name)
        ratio = self.speed_estimates.run_time_ratio(name)
        if queue is None:
            return QueueTimes(ratio, 0.0, 0.0, 0.0)
        advice_s = 0.0
        if queue.advice is not None:
            advice_s = queue.advice.duration(HOSTS_PER_ADVICE_REQUEST)
        return QueueTimes(ratio, advice_s, queue.slack, queue.target)

    def target_time(self, job: Job, occurrence: int = 0) -> float:
        """Return the Unix time by which an occurrence should be complete."""
        allowed_time = self.queue_times(job.queue).allowed_time(job)
        return job.base_time(occurrence) + allowed_time

    def task(self, key: TaskId) -> Task | None:
        """Return a task, or None if the job or the task is unknown."""
        job = self.jobs.get(key.job)
        return job.task(key) if job else None

    def forget_advice(self, host: str) -> int:
        """Forget the advice about a host in all open jobs.

        Returns the number of steps that had a ticket for it.
        """
        tickets = 0
        for job in self.jobs.values():
            if job.is_closed:
                continue
            for step in job.steps.values():
                tickets += host in step.tickets
                step.advice.forget_host(host)
        return tickets

    def step(self, key: TaskId) -> StepRun | None:
        """Return the step of a task, or None if it is unknown."""
        return self.step_by_key((key.job, key.occurrence, key.step))

    def step_by_key(self, key: tuple[str, int, int]) -> StepRun | None:
        """Return a step by its job, occurrence and number, or None if it is unknown."""
        job = self.jobs.get(key[0])
        return job.steps.get((key[1], key[2])) if job else None

    def _collect_ready_steps(self, job: Job, now: float) -> None:
        if job.is_closed:
            return
        for step in job.steps.values():
            if step.key not in self.ready and not step.is_done() and job.is_ready(step):
                step.ready_at = now
                self.ready[step.key] = step

    def _remove_ready_steps(self, job: Job) -> None:
        for step in job.steps.values():
            self.ready.pop(step.key, None)

    def _close_step_if_done(self, step: StepRun, now: float) -> None:
        """Replace a step in ``ready`` by the steps that depend on it, if it is done."""
        job = step.job
        if not step.is_done():
            return
        self.ready.pop(step.key, None)
        self._collect_ready_steps(job, now)
        job.keep_few_done(step.occurrence)

    def _complete_job_if_done(self, job: Job, wall: float) -> None:
        if job.is_closed or job.opened_occurrences < job.spec.occurrences:
            return
        if all(step.is_done() for step in job.steps.values()):
            self._set_outcome(job, JobState.COMPLETE, wall)

    def _set_outcome(self, job: Job, outcome: str, wall: float) -> None:
        job.outcome = outcome
        job.outcome_at = wall
        self.dirty.add(job.id)
        self._remove_ready_steps(job)
        late_s = wall - self.target_time(job, job.opened_occurrences - 1)
        result = outcome
        if outcome == JobState.COMPLETE:
            result = "in_time" if late_s <= 0 else "late"
        self.observe_result(job, result)
        log.info(
            "pool_state: job %s",
            outcome,
            extra={
                "request": job.id,
                "queue": job.queue,
                "account": job.account,
                "is_excess": job.is_excess,
                "data_centre": job.data_centre,
                "age_s": round(wall - job.accepted_at, 3),
                "late_s": round(late_s, 3),
            },
        )


def _count_openable(job: Job) -> int:
    """Return how many occurrences of a job may be opened now."""
    room = MAX_UNFINISHED_TASKS - job.count_unfinished()
    return max(0, min(MAX_OPENED_AT_ONCE, room // job.spec.task_count))
