"""Jobs, their steps and tasks, and the progress that is stored of them."""

from __future__ import annotations

import sys
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from siskinroad.charts import load_chart
from siskinroad.resources import Resources
from siskinroad.work.crash_record import CrashRecord
from siskinroad.work.host import LOWEST_RANK, Run
from siskinroad.work.index_ranges import IndexRanges
from siskinroad.work.model import JobSpec, Step, TaskId
from siskinroad.work.records import Accepted, Progress, TaskProgress, progress_key
from siskinroad.work.step_advice import StepAdvice, Ticket

__all__ = [
    "Job",
    "JobState",
    "PresumedEnd",
    "StepRun",
    "Task",
    "TaskTally",
    "make_closed_job",
    "make_job",
]

# Most tasks of done occurrences that are kept with their runs.
KEPT_DONE_TASKS = 2_000
# Highest run number that is taken from a stored note. No owner counts as far, and hosts
# are expected to count up to 2**53, so that many more runs may follow.
MAX_STORED_RUN = 1 << 52
# Most tasks without a note that are opened for one of a later occurrence. An owner has
# 20,000 unfinished ones at most, and more only as hosts list their runs.
MAX_UNNOTED_TASKS = 40_000

# Specification of an ended job whose steps are not kept.
NO_SPEC = JobSpec("", ())

_TASK_CHART = load_chart("task")
# States in which a task waits for its placement.
_WAIT_STATES = frozenset(("waiting", "unsettled"))


class JobState:
    """Job states as shown to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class PresumedEnd:
    """End of a run that its host has not listed.

    Attributes
    ----------
    reason : str
        Why the run was considered over, such as an expired lease.
    at : float
        Loop time in seconds at which it was.
    """

    reason: str
    at: float


@dataclass(slots=True, eq=False)
class TaskTally:
    """Tasks of one step by state, kept up to date as they move.

    Attributes
    ----------
    waiting : list of int
        Sorted indices of the waiting tasks.
    done_count : int
        Number of tasks that have succeeded.
    unstamped : list of int
        Indices of the tasks that began to wait since ``StepRun.stamp_waits``.
    """

    waiting: list[int] = field(default_factory=list)
    done_count: int = 0
    unstamped: list[int] = field(default_factory=list)

    def add(self, index: int, state: str) -> None:
        """Add a task, or a task's new state."""
        if state == "waiting":
            insort(self.waiting, index)
        elif state == "done":
            self.done_count += 1

    def remove(self, index: int, state: str) -> None:
        """Remove a task's former state."""
        if state == "waiting":
            del self.waiting[bisect_left(self.waiting, index)]
        elif state == "done":
            self.done_count -= 1


@dataclass(slots=True, eq=False)
class Task:
    """One task, across all its runs.

    Attributes
    ----------
    state : str
        State of the ``task`` chart.
    run : int
        Highest run number that must not be used again; 0 if all may be.
    was_ordered : bool
        Whether a start of it was ordered, as far as this owner or the store knows. Only
        then does its run number have to be stored: the numbers of later owners are
        above those that a takeover skips.
    has_begun : bool
        Whether a host has begun a run of it.
    host : str
        Host of the newest run.
    failures : set of int
        Numbers of the runs that failed because of the task itself.
    avoided_hosts : dict of str to float
        Hosts on which a run failed or stalled, and the loop time when it did.
    older_run_host : str
        Host of an older run that continues beside the newest one; empty if none.
    presumed_ends : dict of int to PresumedEnd
        Runs that were ended without an end listed by their host, by run number.
    waiting_since : float
        Loop time at which the task began to wait: when it lost its last run, or else
        that of the first planning pass or examination that saw it.
    tally : TaskTally
        Tally of the step's tasks, which this task keeps up to date.
    crashes : CrashRecord
        Crashes of hosts under the task.
    """

    id: TaskId
    tally: TaskTally = field(default_factory=TaskTally)
    state: str = _TASK_CHART.initial
    run: int = 0
    was_ordered: bool = False
    has_begun: bool = False
    host: str = ""
    failures: set[int] = field(default_factory=set)
    checkpoint: str = ""
    avoided_hosts: dict[str, float] = field(default_factory=dict)
    older_run_host: str = ""
    presumed_ends: dict[int, PresumedEnd] = field(default_factory=dict)
    waiting_since: float = 0.0
    crashes: CrashRecord = field(default_factory=CrashRecord)

    def __post_init__(self) -> None:
        self.tally.add(self.id.index, self.state)
        self.tally.unstamped.append(self.id.index)

    @property
    def failure_count(self) -> int:
        """Number of runs that failed because of the task itself."""
        return len(self.failures)

    def move(self, event: str) -> None:
        """Apply an event of the ``task`` chart."""
        former = self.state
        self.state = _TASK_CHART.next_state(former, event)
        if self.state != former:
            self.tally.remove(self.id.index, former)
            self.tally.add(self.id.index, self.state)
            if former not in _WAIT_STATES and self.state in _WAIT_STATES:
                self.tally.unstamped.append(self.id.index)

    def allows(self, event: str) -> bool:
        """Return whether the chart has ``event`` in this state."""
        return _TASK_CHART.allows(self.state, event)

    def move_to_waiting(self, event: str, now: float) -> None:
        """Apply an event after which the task waits for a host, unless abandoned."""
        self.move(event)
        self.waiting_since = now
        unstamped = self.tally.unstamped
        if unstamped and unstamped[-1] == self.id.index:
            unstamped.pop()

    def make_task_progress(self) -> TaskProgress:
        """Return the task's part of the job's progress record."""
        key = self.id
        return TaskProgress(
            key.occurrence,
            key.step,
            key.index,
            self.state == "done",
            self.run,
            tuple(sorted(self.failures)),
            self.checkpoint,
            self.crashes.notes,
            self.has_begun or self.state == "done",
        )


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence.

    Attributes
    ----------
    tally : TaskTally
        Tally that the step's tasks keep up to date.
    key : tuple
        Job id, occurrence number and step number.
    need : Resources
        Resources that one task allocates.
    account_need : Resources
        What one task counts of its account's limit, also if it is best-effort.
    runs_by_host : dict of str to int
        Number of the step's runs that occupy capacity on each host.
    advice : StepAdvice
        What the step knows from the advisor.
    tickets : dict of str to Ticket
        The tickets in ``advice``.
    is_advice_pending : bool
        Whether an advice request is in flight.
    ready_at : float
        Loop time at which the step became ready to start.
    planned_at : float
        Loop time at which the newest planning pass that planned the step began.
    late_turn_at : float
        Loop time at which the step last got a turn as a late one; see `late_steps`.
    rank : tuple of int
        Priority and lateness in the newest planning pass.
    """

    job: Job
    occurrence: int
    number: int
    spec: Step
    tasks: list[Task]
    tally: TaskTally
    key: tuple[str, int, int] = field(init=False)
    need: Resources = field(init=False)
    account_need: Resources = field(init=False)
    runs_by_host: dict[str, int] = field(default_factory=dict)
    advice: StepAdvice = field(default_factory=StepAdvice)
    tickets: dict[str, Ticket] = field(init=False)
    is_advice_pending: bool = False
    ready_at: float = 0.0
    planned_at: float = -1e9
    late_turn_at: float = -1e9
    rank: tuple[int, int] = LOWEST_RANK

    def __post_init__(self) -> None:
        self.key = (self.job.id, self.occurrence, self.number)
        self.need = self.spec.need
        self.account_need = Resources(
            self.spec.cpu_milli, self.spec.memory_mib, self.spec.accelerators
        )
        self.tickets = self.advice.tickets

    @property
    def last_turn_at(self) -> float:
        """Loop time at which the step was last planned, or became ready."""
        return max(self.planned_at, self.ready_at)

    @property
    def waiting_count(self) -> int:
        """Number of tasks that wait for a host."""
        return len(self.tally.waiting)

    def stamp_waits(self, now: float) -> None:
        """Set when the tasks that began to wait since the last call did so."""
        for index in self.tally.unstamped:
            self.tasks[index].waiting_since = now
        self.tally.unstamped.clear()

    def make_run(self, task: Task, number: int, token: int, now: float) -> Run:
        """Return a new run of one of the step's tasks, not yet started."""
        spec = self.spec
        return Run(
            (task.id, number),
            self.need,
            token,
            now,
            self.key,
            filler=spec.filler,
            copies=spec.copies,
            tail_limit=spec.tail_limit,
            queue=self.job.queue,
            declared_s=spec.estimate,
            long_running=spec.long_running,
            account=self.job.account,
            account_need=self.account_need,
        )

    @property
    def waiting_since(self) -> float:
        """Loop time from which the task that has waited longest waits."""
        tasks = self.iterate_waiting()
        longest = min((task.waiting_since for task in tasks), default=0.0)
        return max(self.ready_at, longest)

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Note the newest checkpoint of a task; that of any member is its gang's."""
        for each in self.tasks if self.spec.gang else [task]:
            each.checkpoint = checkpoint

    def find_checkpoint(self, task: Task) -> str:
        """Return what a task's next run resumes from, the same for a whole gang."""
        if not self.spec.gang:
            return task.checkpoint
        return next((each.checkpoint for each in self.tasks if each.checkpoint), "")

    def waiting(self) -> list[Task]:
        """Return the tasks that wait for a host."""
        return [self.tasks[i] for i in self.tally.waiting]

    def iterate_waiting(self) -> Iterator[Task]:
        """Iterate over the waiting tasks, which must not move meanwhile."""
        return map(self.tasks.__getitem__, self.tally.waiting)

    def is_done(self) -> bool:
        """Return whether every task has succeeded."""
        return self.tally.done_count == len(self.tasks)


@dataclass(slots=True, eq=False)
class Job:
    """A job as its owner sees it.

    Attributes
    ----------
    outcome : str
        Final state from ``JobState``; empty while the job is open.
    stored_outcome : str
        Outcome in the store; empty until the outcome is stored.
    outcome_stored_at : float
        Loop time at which this owner stored the outcome, or read it.
    remaining_times : list of float
        Declared seconds from the start of each step to the end of the job.
    longest_time : float
        Declared seconds of the longest chain of steps.
    chain_length : int
        Number of steps in the longest chain of steps that depend on each other.
    successors : tuple of tuple of int
        Numbers of the steps that depend directly on each step.
    opened_occurrences : int
        Number of occurrences that have been opened; the next one to open.
    done_occurrences : IndexRanges
        Occurrences that are done and whose steps are not kept.
    kept_done : list of int
        Occurrences that are done and whose steps are kept, the newest last.
    progress_parts : int
        Records that the store may have of the job's progress.
    data_centre : str
        Data centre in which a caller submitted the job; empty if it is unknown.
    account : str
        Client account for which the job runs; empty if there is none.
    is_excess : bool or None
        The job came beyond the rate owed to its account; None until it is judged.
    has_started : bool
        Whether a host has begun a run of any task.
    """

    id: str
    queue: str
    pool: str
    spec: JobSpec
    accepted_at: float
    remaining_times: list[float] = field(default_factory=list)
    longest_time: float = 0.0
    chain_length: int = 1
    successors: tuple[tuple[int, ...], ...] = ()
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    opened_occurrences: int = 0
    done_occurrences: IndexRanges = field(default_factory=IndexRanges)
    kept_done: list[int] = field(default_factory=list)
    progress_parts: int = 1
    data_centre: str = ""
    account: str = ""
    is_excess: bool | None = None
    outcome: str = ""
    outcome_at: float = 0.0
    stored_outcome: str = ""
    outcome_stored_at: float = 0.0
    has_started: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether the job has an outcome, so that no more tasks may start."""
        return self.outcome != ""

    def shown_state(self) -> str:
        """Return the state to show to callers; an outcome only once it is stored."""
        if self.stored_outcome:
            return self.stored_outcome
        return JobState.ACTIVE if self.has_started else JobState.QUEUED

    def base_time(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence's allowed time counts."""
        return self.spec.due(occurrence) if self.spec.first else self.accepted_at

    def open_occurrence(self, *, is_settled: bool) -> list[StepRun]:
        """Add the steps of the next occurrence.

        Parameters
        ----------
        is_settled : bool
            Whether no former owner can have started any of its tasks.
        """
        number = self.opened_occurrences
        self.opened_occurrences = self.done_occurrences.next_absent(number + 1)
        added = []
        for i, spec in enumerate(self.spec.steps):
            ids = [TaskId(self.id, number, i, n) for n in range(spec.count)]
            tally = TaskTally()
            tasks = [Task(key, tally) for key in ids]
            for task in tasks if not is_settled else ():
                task.move("doubt")
            step = StepRun(self, number, i, spec, tasks, tally)
            self.steps[number, i] = step
            added.append(step)
        return added

    def keep_few_done(self, occurrence: int) -> None:
        """Drop the steps of the oldest done occurrences, if this one is done too.

        A job may be repeated without end; what is done is known by its number then.
        """
        if occurrence in self.kept_done or occurrence in self.done_occurrences:
            return
        steps = range(len(self.spec.steps))
        if not all(self.steps[occurrence, i].is_done() for i in steps):
            return
        self.kept_done.append(occurrence)
        while len(self.kept_done) * self.spec.task_count > KEPT_DONE_TASKS:
            dropped = self.kept_done.pop(0)
            self.done_occurrences.add(dropped)
            for i in steps:
                del self.steps[dropped, i]

    def count_unfinished(self) -> int:
        """Return the number of tasks of opened occurrences that are not done."""
        return sum(
            len(step.tasks) - step.tally.done_count for step in self.steps.values()
        )

    def task(self, key: TaskId) -> Task | None:
        """Return a task, or None if there is no such task."""
        step = self.steps.get((key.occurrence, key.step))
        if step is None or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all steps that ``step`` depends on have succeeded."""
        dependencies = step.spec.after
        return all(self.steps[step.occurrence, i].is_done() for i in dependencies)

    def list_progress_keys(self) -> list[str]:
        """Return the keys of the records of the job's progress."""
        return [progress_key(self.id, i) for i in range(self.progress_parts)]

    def make_progress(self) -> Progress:
        """Return the progress record of the job's current state."""
        task_progresses = tuple(
            task.make_task_progress()
            for step in self.steps.values()
            for task in step.tasks
            if (task.was_ordered or task.state == "done") and not self.outcome
        )
        done = () if self.outcome else self.done_occurrences.as_tuple()
        return Progress(self.id, self.outcome, self.outcome_at, task_progresses, done)

    def restore(self, progress: Progress) -> list[str]:
        """Restore the job from its stored progress record.

        Returns what is left out of it, as it cannot be: another writer has stored it.
        """
        left_out = []
        self.outcome = self.stored_outcome = progress.state
        self.outcome_at = progress.at
        if progress.done:
            self.done_occurrences = IndexRanges(progress.done)
            self.opened_occurrences = self.done_occurrences.next_absent(0)
            self.has_started = True
        last = self._find_last_restorable(progress)
        for task_progress in progress.notes:
            occurrence = task_progress.occurrence
            if last < occurrence < self.spec.occurrences:
                left_out.append(
                    f"expected notes of occurrences up to {last}, got one of "
                    f"{occurrence}"
                )
            else:
                while self.opened_occurrences <= occurrence < self.spec.occurrences:
                    self.open_occurrence(is_settled=False)
            task = self.task(
                TaskId(
                    self.id,
                    task_progress.occurrence,
                    task_progress.step,
                    task_progress.index,
                )
            )
            if task is None:
                continue
            # What the note says besides holds: the task may be done.
            if 0 <= task_progress.run <= MAX_STORED_RUN:
                task.run = task_progress.run
            else:
                left_out.append(
                    f"expected runs 0 to {MAX_STORED_RUN}, got {task_progress.run}"
                )
            task.failures = set(task_progress.failed_runs)
            task.checkpoint = task_progress.checkpoint
            task.crashes.notes = task_progress.crashes
            task.was_ordered = True
            if task_progress.has_begun:
                task.has_begun = self.has_started = True
            lasts = self.spec.steps[task_progress.step].long_running
            # Earlier versions took a task that lasts for done by such an end.
            if task_progress.done and not lasts:
                task.move("done")
        return left_out

    def _find_last_restorable(self, progress: Progress) -> int:
        """Return the last occurrence that notes may open, with all before it.

        Neither time nor memory may grow with a number in a note.
        """
        tasks = len(progress.notes) + MAX_UNNOTED_TASKS
        return self.done_occurrences.find_absent(
            self.opened_occurrences, tasks // self.spec.task_count
        )


def make_closed_job(accepted: Accepted, progress: Progress) -> Job:
    """Return a job that has ended, without its steps: only its state is still shown."""
    job = Job(
        accepted.job,
        sys.intern(accepted.queue),
        sys.intern(accepted.pool),
        NO_SPEC,
        accepted.at,
    )
    job.account = accepted.account
    job.outcome = job.stored_outcome = sys.intern(progress.state)
    job.outcome_at = progress.at
    job.has_started = True
    return job


def make_job(accepted: Accepted) -> Job:
    """Return a new job that has not started, made from its accepted record."""
    job = Job(accepted.job, accepted.queue, accepted.pool, accepted.spec, accepted.at)
    job.data_centre = accepted.data_centre
    job.account = accepted.account
    steps = accepted.spec.steps
    job.remaining_times = _longest_chains(steps, [step.estimate for step in steps])
    job.longest_time = max(job.remaining_times)
    job.chain_length = round(max(_longest_chains(steps, [1.0 for _ in steps])))
    job.successors = tuple(
        tuple(j for j, step in enumerate(steps) if i in step.after)
        for i in range(len(steps))
    )
    return job


def _longest_chains(steps: tuple[Step, ...], lengths: list[float]) -> list[float]:
    """Return the length of the longest chain from each step to the end of the job."""
    chains = list(lengths)
    for i in reversed(range(len(steps))):
        after = [chains[j] for j in range(i + 1, len(steps)) if i in steps[j].after]
        chains[i] += max(after, default=0.0)
    return chains
