"""Table of a pool's jobs: which steps are ready, due, late or done.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import logging

from siskinroad.health import Health
from siskinroad.work.job import Job, JobState, StepRun, Task, make_job
from siskinroad.work.model import Queue, Setup, TaskId
from siskinroad.work.records import Accepted, Progress
from siskinroad.work.speed import Speeds

__all__ = ["JobBook"]

# Number of hosts assumed for each advice request when the time of a job is estimated,
# as the platform's documentation specifies.
HOSTS_PER_ADVICE_REQUEST = 30

log = logging.getLogger("siskinroad.book")


class JobBook:
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
    timed : set of str
        Jobs with occurrences that are not due yet.
    dirty : set of str
        Jobs that have changed since they were last stored.
    settled : bool
        Every run of former owners has been reconciled, so none can be running
        without this owner's knowledge.
    """

    def __init__(self, pool: str, term: int) -> None:
        self.pool = pool
        self.term = term
        self.setup: Setup | None = None
        self.queues: dict[str, Queue] = {}
        self.jobs: dict[str, Job] = {}
        self.ready: dict[tuple[str, int, int], StepRun] = {}
        self.timed: set[str] = set()
        self.dirty: set[str] = set()
        self.health = Health()
        self.speeds = Speeds()
        self.settled = False

    def configure(self, setup: Setup) -> None:
        """Apply a configuration; queues it no longer lists keep their last rules."""
        self.setup = setup
        for queue in setup.queues:
            self.queues[queue.name] = queue

    def accept(self, accepted: Accepted, now: float, wall: float, fresh: bool) -> Job:
        """Add an accepted job and return it; a repeated submission changes nothing.

        Parameters
        ----------
        fresh : bool
            Whether no former owner can have started any of its tasks.
        """
        known = self.jobs.get(accepted.job)
        if known is not None:
            return known
        job = make_job(accepted)
        self.jobs[job.id] = job
        if job.spec.occurrences > 1 or job.spec.first:
            self.timed.add(job.id)
        else:
            job.open_occurrence(settled=fresh or self.settled)
        self._find_ready(job, now)
        return job

    def restore(self, progress: Progress, now: float) -> None:
        """Apply the stored progress of an accepted job."""
        job = self.jobs.get(progress.job)
        if job is None:
            return
        job.restore(progress)
        for step in list(job.steps.values()):
            self._close_step_if_done(step, now)
        self._find_ready(job, now)

    def open_due(self, now: float, wall: float, max_lead: float) -> None:
        """Open occurrences that are due within ``max_lead`` seconds."""
        for job_id in list(self.timed):
            job = self.jobs[job_id]
            while job.opened < job.spec.occurrences and not job.closed:
                if job.spec.due(job.opened) > wall + max_lead:
                    break
                job.open_occurrence(settled=self.settled)
                self._find_ready(job, now)
            if job.closed or job.opened >= job.spec.occurrences:
                self.timed.discard(job_id)

    def pending(self, queue: str) -> int:
        """Return the number of open jobs of a queue that have not started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.queue == queue and not job.started and not job.closed
        )

    def forget_closed(self, wall: float, retention: float) -> list[str]:
        """Remove jobs closed more than ``retention`` seconds ago; return their ids."""
        expired = [
            job.id
            for job in self.jobs.values()
            if job.recorded and wall - job.outcome_at > retention
        ]
        for job_id in expired:
            del self.jobs[job_id]
            self.health.remove_workload(job_id)
        return expired

    def allowed(self, job: Job) -> float:
        """Return the seconds within which a job should be complete.

        The time is based on the job's longest chain of steps, with declared run
        times scaled to measured ones, and one advice request for each of its steps.
        """
        queue = self.queues.get(job.queue)
        if queue is None:
            return 0.0
        chain = max(job.tails) * self.speeds.factor(job.queue)
        if queue.advice is not None:
            chain += job.chain_length * queue.advice.duration(HOSTS_PER_ADVICE_REQUEST)
        return queue.slack * chain + queue.target

    def objective(self, job: Job, occurrence: int = 0) -> float:
        """Return the Unix time by which an occurrence should be complete."""
        base_time = job.spec.due(occurrence) if job.spec.first else job.accepted_at
        return base_time + self.allowed(job)

    def task(self, key: TaskId) -> Task | None:
        """Return a task, or None if the job or the task is unknown."""
        job = self.jobs.get(key.job)
        return job.task(key) if job else None

    def step(self, key: TaskId) -> StepRun | None:
        """Return the step of a task, or None if it is unknown."""
        return self.step_by_key((key.job, key.occurrence, key.step))

    def step_by_key(self, key: tuple[str, int, int]) -> StepRun | None:
        """Return a step by its job, occurrence and number, or None."""
        job = self.jobs.get(key[0])
        return job.steps.get((key[1], key[2])) if job else None

    def _find_ready(self, job: Job, now: float) -> None:
        if job.closed:
            return
        for step in job.steps.values():
            if step.key not in self.ready and not step.is_done() and job.is_ready(step):
                step.ready_at = now
                self.ready[step.key] = step

    def _close_step_if_done(self, step: StepRun, now: float) -> None:
        """Replace a step in ``ready`` by the steps that depend on it, if it is done."""
        job = step.job
        if not step.is_done():
            return
        self.ready.pop(step.key, None)
        self._find_ready(job, now)

    def _complete_job_if_done(self, job: Job, wall: float) -> None:
        if job.closed or job.opened < job.spec.occurrences:
            return
        if all(step.is_done() for step in job.steps.values()):
            self._set_outcome(job, JobState.COMPLETE, wall)

    def _set_outcome(self, job: Job, outcome: str, wall: float) -> None:
        job.outcome = outcome
        job.outcome_at = wall
        self.dirty.add(job.id)
        for key in [key for key in self.ready if key[0] == job.id]:
            del self.ready[key]
        log.info(
            "book: job %s",
            outcome,
            extra={
                "request": job.id,
                "queue": job.queue,
                "age_s": round(wall - job.accepted_at, 3),
                "late_s": round(wall - self.objective(job, job.opened - 1), 3),
            },
        )
