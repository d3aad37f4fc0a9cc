"""An owner's knowledge of its pool's jobs: what is ready, due, late or done.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``.
"""

from __future__ import annotations

import logging

from siskinroad.health import Health
from siskinroad.work.job import Job, JobState, StepRun, Task, make_job
from siskinroad.work.model import Queue, Setup, TaskId
from siskinroad.work.records import Accepted, Progress
from siskinroad.work.speed import Speeds

__all__ = ["JobBook"]

# Hosts that one question to the advisor counts for in a job's objective, by the
# platform's page.
ADVICE_HOSTS = 30

log = logging.getLogger("siskinroad.book")


class JobBook:
    """Jobs of one pool, without the hosts that run them.

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
        Jobs that have changed since they were recorded.
    settled : bool
        No run of a former owner is unaccounted for.
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
        """Put a configuration in force; queues that are gone keep their rules."""
        self.setup = setup
        for queue in setup.queues:
            self.queues[queue.name] = queue

    def accept(self, accepted: Accepted, now: float, wall: float, fresh: bool) -> Job:
        """Take in an accepted job; a repeated submission changes nothing.

        Parameters
        ----------
        fresh : bool
            No former owner can have started any of its tasks.
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
        """Take over what the store has of an accepted job."""
        job = self.jobs.get(progress.job)
        if job is None:
            return
        job.restore(progress)
        for step in list(job.steps.values()):
            self._step_changed(step, now)
        self._find_ready(job, now)

    def open_due(self, now: float, wall: float, early: float) -> None:
        """Open the occurrences whose time has come, at most ``early`` ahead."""
        for job_id in list(self.timed):
            job = self.jobs[job_id]
            while job.opened < job.spec.occurrences and not job.closed:
                if job.spec.due(job.opened) > wall + early:
                    break
                job.open_occurrence(settled=self.settled)
                self._find_ready(job, now)
            if job.closed or job.opened >= job.spec.occurrences:
                self.timed.discard(job_id)

    def pending(self, queue: str) -> int:
        """Return the accepted jobs of a queue of which nothing has begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.queue == queue and not job.started and not job.closed
        )

    def forget_closed(self, wall: float, kept: float) -> list[str]:
        """Forget jobs that ended more than ``kept`` seconds ago; return them."""
        old = [
            job.id
            for job in self.jobs.values()
            if job.recorded and wall - job.outcome_at > kept
        ]
        for job_id in old:
            del self.jobs[job_id]
            self.health.forget_workload(job_id)
        return old

    def allowed(self, job: Job) -> float:
        """Return the seconds that a job's users grant it until it is complete.

        They count its longest chain of work as it is, not as it was declared, and
        one question to the advisor for each step of it.
        """
        queue = self.queues.get(job.queue)
        if queue is None:
            return 0.0
        chain = max(job.tails) * self.speeds.factor(job.queue)
        if queue.advice is not None:
            chain += job.links * queue.advice.duration(ADVICE_HOSTS)
        return queue.slack * chain + queue.target

    def objective(self, job: Job, occurrence: int = 0) -> float:
        """Return the Unix time in seconds by which an occurrence is worth most."""
        begins = job.spec.due(occurrence) if job.spec.first else job.accepted_at
        return begins + self.allowed(job)

    def task(self, key: TaskId) -> Task | None:
        """Return a task, or None if its job or the task is not known."""
        job = self.jobs.get(key.job)
        return job.task(key) if job else None

    def step(self, key: TaskId) -> StepRun | None:
        """Return the step of a task, or None if it is not known."""
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

    def _step_changed(self, step: StepRun, now: float) -> None:
        """Note the end of a step and of its job."""
        job = step.job
        if not step.is_done():
            return
        self.ready.pop(step.key, None)
        self._find_ready(job, now)

    def _check_complete(self, job: Job, wall: float) -> None:
        if job.closed or job.opened < job.spec.occurrences:
            return
        if all(step.is_done() for step in job.steps.values()):
            self._finish(job, JobState.COMPLETE, wall)

    def _finish(self, job: Job, outcome: str, wall: float) -> None:
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
