"""Summary of a pool's load: what waits, what runs, and what capacity there is.

The load that it answers: thousands of jobs wait, most of them behind others, and each
submit needs an answer at once. So the waiting work is summed by priority a few times a
second, and a forecast reads the sums only.

Work that can no longer be of use, or that no host may run, is left out: a flood of jobs
that can never be done would otherwise look like a long backlog.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import itertools
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.job_table import QueueTimes
from siskinroad.work.model import Step
from siskinroad.work.pool_state import PoolState

__all__ = [
    "USEFUL_TIME_FACTOR",
    "Held",
    "LoadSummary",
    "Room",
    "WaitingLoad",
    "Work",
    "count_free",
    "sample_steps",
    "summarize_load",
]

# Multiple of a job's allowed time until which its result is of use to its caller.
USEFUL_TIME_FACTOR = 3.0
MILLI = 0.001
# Most ready steps that are looked through for one decision.
MAX_LIVE_STEPS = 500
# Most steps that one summary examines.
MAX_EXAMINED_STEPS = 5000


@dataclass(slots=True)
class Work:
    """Amount of work.

    Attributes
    ----------
    cpu, accelerators : float
        Processors and accelerators that its tasks would hold all at once.
    cpu_s, accelerator_s : float
        Processor-seconds and accelerator-seconds until it is done.
    """

    cpu: float = 0.0
    accelerators: float = 0.0
    cpu_s: float = 0.0
    accelerator_s: float = 0.0

    def add(self, other: Work) -> None:
        """Add other work to this."""
        self.cpu += other.cpu
        self.accelerators += other.accelerators
        self.cpu_s += other.cpu_s
        self.accelerator_s += other.accelerator_s

    def add_tasks(self, step: Step, count: int, task_s: float) -> None:
        """Add tasks of a step that take ``task_s`` seconds each."""
        need = step.need
        cpu = need.cpu_milli * MILLI * count
        self.cpu += cpu
        self.cpu_s += cpu * task_s
        if need.accelerators:
            accelerators = need.accelerators * count
            self.accelerators += accelerators
            self.accelerator_s += accelerators * task_s


@dataclass(slots=True)
class WaitingLoad:
    """Waiting work of one priority.

    Attributes
    ----------
    in_time, late : Work
        Work of jobs that can still be in time, and of those that are late but of use.
    over_weight : Work
        The part of both that accounts have sent beyond their weight.
    advice_s : float
        Seconds of advisor calls that its steps still need.
    slack_s : float
        Mean seconds for which the work in time may still wait.
    """

    in_time: Work = field(default_factory=Work)
    late: Work = field(default_factory=Work)
    over_weight: Work = field(default_factory=Work)
    advice_s: float = 0.0
    slack_s: float = 0.0
    _slack_weight: float = 0.0

    def add_slack(self, slack_s: float, weight: float) -> None:
        """Add to the mean slack, weighted by work."""
        self._slack_weight += weight
        if self._slack_weight > 0:
            self.slack_s += (slack_s - self.slack_s) * weight / self._slack_weight


@dataclass(slots=True)
class Held:
    """Processors that runs hold, and the processor-seconds until all have ended."""

    cpu: float = 0.0
    rest_cpu_s: float = 0.0


@dataclass(slots=True)
class Room:
    """Capacity of the hosts that may get new work.

    Attributes
    ----------
    cpu, accelerators : float
        All of it, without what long-running tasks hold.
    free_cpu, free_accelerators : float
        What no run holds.
    cpu_rest_s, accelerator_rest_s : float
        Mean seconds until a run ends, by what it holds.
    held : dict of int to Held
        What runs of each priority hold, without long-running ones.
    """

    cpu: float = 0.0
    accelerators: float = 0.0
    free_cpu: float = 0.0
    free_accelerators: float = 0.0
    cpu_rest_s: float = 0.0
    accelerator_rest_s: float = 0.0
    held: dict[int, Held] = field(default_factory=dict)


@dataclass(slots=True)
class LoadSummary:
    """Load of a pool at one time.

    Attributes
    ----------
    number : int
        Number of the summary within the owner's term, for log lines.
    made_at : float
        Loop time in seconds.
    headroom_cpu : float
        Processors that only work of priority 0 may use.
    waiting : dict of int to WaitingLoad
        Waiting work by priority.
    hopeless_tasks : int
        Waiting tasks that are left out.
    """

    number: int
    made_at: float
    room: Room
    headroom_cpu: float
    waiting: dict[int, WaitingLoad] = field(default_factory=dict)
    hopeless_tasks: int = 0

    def get_waiting(self, priority: int) -> WaitingLoad:
        """Return the load of a priority; an empty one is added if it has none."""
        load = self.waiting.get(priority)
        if load is None:
            load = self.waiting[priority] = WaitingLoad()
        return load


def summarize_load(
    number: int,
    pool_state: PoolState,
    hosts: Iterable[Host],
    headroom_cpu: float,
    over_weight_jobs: Collection[str],
    now: float,
    wall: float,
) -> LoadSummary:
    """Return the summary of a pool's load.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts that may get new work.
    over_weight_jobs : collection of str
        Jobs that accounts have sent beyond their weight.
    """
    usable = list(hosts)
    room = _measure_room(pool_state, usable, now)
    summary = LoadSummary(number, now, room, headroom_cpu)
    adder = _WaitingAdder(summary, pool_state, usable, over_weight_jobs, wall)
    stride, steps = sample_steps(pool_state)
    for step in steps:
        if step.waiting_count and not step.job.is_closed:
            adder.add(step, stride)
    return summary


def sample_steps(pool_state: PoolState) -> tuple[int, Iterator[StepRun]]:
    """Return every n-th ready step, and n, so that a long backlog costs no more."""
    stride = 1 + len(pool_state.ready) // MAX_EXAMINED_STEPS
    return stride, itertools.islice(pool_state.ready.values(), 0, None, stride)


def _measure_room(pool_state: PoolState, hosts: list[Host], now: float) -> Room:
    remaining_s = pool_state.speed_estimates.remaining_s
    room = Room()
    cpu_s = accelerator_s = used_cpu = used_accelerators = 0.0
    for host in hosts:
        capacity, used = host.entry.capacity, host.used
        room.cpu += capacity.cpu_milli * MILLI
        room.accelerators += capacity.accelerators
        room.free_cpu += max(0, capacity.cpu_milli - used.cpu_milli) * MILLI
        room.free_accelerators += max(0, capacity.accelerators - used.accelerators)
        for run in host.runs.values():
            cpu, accelerators = run.need.cpu_milli * MILLI, run.need.accelerators
            rest_s = remaining_s(run, now)
            if rest_s == float("inf"):
                room.cpu -= cpu
                room.accelerators -= accelerators
                continue
            used_cpu += cpu
            used_accelerators += accelerators
            cpu_s += cpu * rest_s
            queue = pool_state.queues.get(run.queue)
            held = room.held.setdefault(queue.priority if queue else 0, Held())
            held.cpu += cpu
            held.rest_cpu_s += cpu * rest_s
            accelerator_s += accelerators * rest_s
    if used_cpu:
        room.cpu_rest_s = cpu_s / used_cpu
    if used_accelerators:
        room.accelerator_rest_s = accelerator_s / used_accelerators
    return room


def count_free(pool_state: PoolState, hosts: Iterable[Host]) -> tuple[float, float]:
    """Return the processors and accelerators free beside all that waits right now.

    Negative as soon as more waits than is free; with more than ``MAX_LIVE_STEPS`` ready
    steps, which take too long to look through, nothing counts as free.
    """
    if len(pool_state.ready) > MAX_LIVE_STEPS:
        return -1.0, -1.0
    cpu_milli = accelerators = 0
    for host in hosts:
        capacity, used = host.entry.capacity, host.used
        cpu_milli += max(0, capacity.cpu_milli - used.cpu_milli)
        accelerators += max(0, capacity.accelerators - used.accelerators)
    for step in pool_state.ready.values():
        count = step.waiting_count
        if count:
            cpu_milli -= step.need.cpu_milli * count
            accelerators -= step.need.accelerators * count
            if cpu_milli < 0 or accelerators < 0:
                break
    return cpu_milli * MILLI, float(accelerators)


class _WaitingAdder:
    """Adder of waiting steps to a summary, with what they have in common kept."""

    def __init__(
        self,
        summary: LoadSummary,
        pool_state: PoolState,
        hosts: list[Host],
        over_weight_jobs: Collection[str],
        wall: float,
    ) -> None:
        self._summary = summary
        self._pool_state = pool_state
        self._shapes = {(host.entry.capacity, host.entry.labels) for host in hosts}
        self._over_weight_jobs = over_weight_jobs
        self._wall = wall
        self._times: dict[str, QueueTimes] = {}
        self._runnable: dict[tuple[Resources, str], bool] = {}

    def add(self, step: StepRun, weight: int) -> None:
        """Add the waiting tasks of a step, and the steps of its job after it.

        Parameters
        ----------
        weight : int
            Number of steps for which it stands.
        """
        queue = self._pool_state.queues.get(step.job.queue)
        if queue is None or not self._is_runnable(step):
            self._summary.hopeless_tasks += step.waiting_count * weight
            return
        times = self._times.get(queue.name)
        if times is None:
            times = self._pool_state.queue_times(queue.name)
            self._times[queue.name] = times
        if step.spec.long_running:
            self._take_room(step, weight)
            return
        allowed_s = times.allowed_time(step.job)
        age_s = self._wall - step.job.base_time(step.occurrence)
        rest_s = step.job.remaining_times[step.number] * times.run_time_ratio
        slack_s = allowed_s - age_s - rest_s
        if slack_s < -(USEFUL_TIME_FACTOR - 1) * allowed_s:
            self._summary.hopeless_tasks += step.waiting_count * weight
            return
        load = self._summary.get_waiting(queue.priority)
        work = _measure_work(step, times.run_time_ratio, weight)
        (load.in_time if slack_s >= 0 else load.late).add(work)
        if slack_s >= 0:
            load.add_slack(slack_s, work.cpu_s + work.accelerator_s)
        if step.job.id in self._over_weight_jobs:
            load.over_weight.add(work)
        if queue.advice is not None and not step.tickets:
            load.advice_s += times.advice_s * weight

    def _take_room(self, step: StepRun, weight: int) -> None:
        """Take what waiting long-running tasks will hold from the capacity."""
        room, need = self._summary.room, step.need
        count = step.waiting_count * weight
        room.cpu -= need.cpu_milli * MILLI * count
        room.accelerators -= need.accelerators * count

    def _is_runnable(self, step: StepRun) -> bool:
        key = (step.need, step.spec.label)
        is_runnable = self._runnable.get(key)
        if is_runnable is None:
            is_runnable = self._runnable[key] = any(
                step.need.fits(capacity)
                and (not step.spec.label or step.spec.label in labels)
                for capacity, labels in self._shapes
            )
        return is_runnable


def _measure_work(step: StepRun, run_time_ratio: float, weight: int) -> Work:
    """Return the work of a step's waiting tasks and of the steps after it."""
    spec, job = step.spec, step.job
    work = Work()
    work.add_tasks(spec, step.waiting_count * weight, spec.estimate * run_time_ratio)
    held_cpu, held_accelerators = work.cpu, work.accelerators
    for number in job.successors[step.number]:
        later = job.spec.steps[number]
        work.add_tasks(later, later.count * weight, later.estimate * run_time_ratio)
    work.cpu, work.accelerators = held_cpu, held_accelerators
    return work
