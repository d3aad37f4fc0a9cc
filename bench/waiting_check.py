"""Check that no task waits for long once faults are over and there is capacity.

What runs is read from the hosts, not from the owner: a task that only the owner
believes to run counts as waiting.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bench.faulty_hosts import FaultyHost
from bench.faulty_pool import FaultyPool
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.job import StepRun, Task
from siskinroad.work.model import Advice, TaskId
from siskinroad.work.pool_state import PoolState

# Seconds within which a waiting task is placed: the users' limit for a long-running
# task from the end of its last run.
WAIT_LIMIT_S = 6.0
# Largest number of hosts in one advisor call.
HOSTS_PER_CALL = 100
# Fraction of the pool that other work may hold while a task is due to be placed.
MAX_USED_FRACTION = 0.5
# Seconds between two checks.
CHECK_INTERVAL_S = 0.1
# Hosts that a violation describes at most.
MAX_DESCRIBED_HOSTS = 6


@dataclass(slots=True)
class WaitingCheck:
    """Check of the tasks that wait.

    Attributes
    ----------
    calm_at : float
        Time from which no fault is in force.
    violations : dict of TaskId to str
        Description of each task that waited for too long, when it was found.
    worst_s : float
        Longest wait in seconds that was counted.
    """

    pool: FaultyPool
    find_pool_state: Callable[[], PoolState | None]
    calm_at: float
    violations: dict[TaskId, str] = field(default_factory=dict)
    worst_s: float = 0.0
    _since: dict[TaskId, float] = field(default_factory=dict)

    def check(self, now: float) -> None:
        """Update the waits of all tasks, and note those that are too long."""
        pool_state = self.find_pool_state()
        for host in self.pool.hosts.values():
            host.advance(now)
        if pool_state is None:
            return
        if now < self.calm_at:
            return
        waiting = self._find_waiting(pool_state, now)
        is_idle = self._is_mostly_idle()
        still_due: set[TaskId] = set()
        for step, tasks in waiting:
            if is_idle and self._has_capacity(pool_state, step, waiting, now):
                still_due.update(task.id for task in tasks)
                for task in tasks:
                    self._check_task(pool_state, step, task, now)
        for key in [key for key in self._since if key not in still_due]:
            del self._since[key]

    def _check_task(
        self, pool_state: PoolState, step: StepRun, task: Task, now: float
    ) -> None:
        waited_s = now - self._since.setdefault(task.id, now)
        queue = pool_state.queues[step.job.queue]
        limit_s = WAIT_LIMIT_S + self._advice_time_s(queue.advice)
        self.worst_s = max(self.worst_s, waited_s)
        if waited_s > limit_s and task.id not in self.violations:
            self.violations[task.id] = describe_wait(
                self.pool, pool_state, step, task, waited_s, now
            )

    def _advice_time_s(self, advice: Advice | None) -> float:
        """Return the seconds of the advisor calls that name every host once."""
        if advice is None:
            return 0.0
        count = len(self.pool.hosts)
        calls = -(-count // HOSTS_PER_CALL)
        return calls * advice.base + count * advice.per_host

    # What runs on the hosts

    def _find_waiting(
        self, pool_state: PoolState, now: float
    ) -> list[tuple[StepRun, list[Task]]]:
        """Return the tasks that are due to run and do not, by step."""
        found = []
        for step in pool_state.ready.values():
            if step.job.is_closed:
                continue
            tasks = [
                task
                for task in step.tasks
                if task.state not in ("done", "abandoned")
                and not self._is_at_work(task, now)
            ]
            if tasks:
                found.append((step, tasks))
        return found

    def _is_at_work(self, task: Task, now: float) -> bool:
        for host in self.pool.hosts.values():
            run = host.runs.get(task.id)
            if run is not None and not run.is_stalled:
                return True
        return self._has_ended_unheard(task)

    def _has_ended_unheard(self, task: Task) -> bool:
        """Return whether a host is about to list the end of the task as done."""
        return any(
            end.task == task.id and end.end_kind == "done"
            for host in self.pool.hosts.values()
            for end in host.ends
        )

    def _is_mostly_idle(self) -> bool:
        capacity = used = 0
        for host in self.pool.hosts.values():
            capacity += host.entry.capacity.cpu_milli
            used += host.used().cpu_milli
        return used < MAX_USED_FRACTION * capacity

    # Capacity

    def _has_capacity(
        self,
        pool_state: PoolState,
        step: StepRun,
        waiting: list[tuple[StepRun, list[Task]]],
        now: float,
    ) -> bool:
        """Return whether the step's waiting tasks fit, whatever else is placed."""
        count = sum(len(tasks) for other, tasks in waiting if other is step)
        others = [each for each in waiting if each[0] is not step]
        slots = sum(
            self._count_slots(pool_state, step, host, others, now)
            for host in self.pool.hosts.values()
        )
        return slots >= count

    def _compute_demand(
        self,
        pool_state: PoolState,
        host: FaultyHost,
        waiting: list[tuple[StepRun, list[Task]]],
        now: float,
    ) -> Resources:
        """Return what the waiting tasks that a host is allowed to run may take of it.

        Tasks that have waited for too long are left out, so that they hide no others.
        """
        demand = NOTHING
        for step, tasks in waiting:
            if self._is_allowed(pool_state, step, host, now):
                count = sum(1 for task in tasks if task.id not in self.violations)
                demand = demand + step.need.times(count)
        return demand

    def _count_slots(
        self,
        pool_state: PoolState,
        step: StepRun,
        host: FaultyHost,
        others: list[tuple[StepRun, list[Task]]],
        now: float,
    ) -> int:
        """Return how many tasks of the step a host can take."""
        if not self._is_allowed(pool_state, step, host, now):
            return 0
        demand = self._compute_demand(pool_state, host, others, now)
        available = host.entry.capacity - host.used() - demand
        limit = step.spec.spread or len(step.tasks)
        limit -= sum(
            1 for key in host.runs if (key.job, key.step) == (step.job.id, step.number)
        )
        count = 0
        while count < limit and step.need.times(count + 1).fits(available):
            count += 1
        return count

    def _is_allowed(
        self, pool_state: PoolState, step: StepRun, host: FaultyHost, now: float
    ) -> bool:
        name = host.entry.name
        if host.entry.draining or name not in self.pool.listed:
            return False
        if any(now < until for until in host.faults.values()):
            return False
        if step.spec.label and step.spec.label not in host.entry.labels:
            return False
        queue = pool_state.queues[step.job.queue]
        return queue.advice is None or self.pool.advisor.allows(step.key, name)


def describe_wait(
    pool: FaultyPool,
    pool_state: PoolState,
    step: StepRun,
    task: Task,
    waited_s: float,
    now: float,
) -> str:
    """Return what is known of a task that waits, and of the hosts that it may use."""
    tickets = {name: round(until - now, 2) for name, (_, until) in step.tickets.items()}
    valid = sorted(name for name, left_s in tickets.items() if left_s > 0)
    listed = len(pool_state.hosts)
    lines = [
        f"{task.id} waited {waited_s:.1f} s at {now:.1f}: {task.state}, run {task.run}"
        f" on {task.host or 'no host'}, queue {step.job.queue}, {step.spec}",
        f"  requested {len(step.advice.answered)} of {listed} hosts, pending request"
        f" {step.is_advice_pending}, tickets {len(tickets)}, valid {valid[:9]}",
    ]
    allowed = [
        host
        for name, host in sorted(pool_state.hosts.items())
        if pool_state.queues[step.job.queue].advice is None
        or pool.advisor.allows(step.key, name)
    ]
    own = [host for host in allowed if host.name == task.host]
    others = [host for host in allowed if host.name != task.host]
    for host in (own + others)[:MAX_DESCRIBED_HOSTS]:
        name = host.name
        states = [run.state for key, run in host.runs.items() if key[0] == task.id]
        truth = pool.hosts.get(name)
        lines.append(
            f"  {name}: schedulable {host.is_schedulable(now)}, quarantined"
            f" {host.is_quarantined}, settled {host.is_settled}, replied"
            f" {now - host.replied_at:.1f} s ago, unlisted {bool(host.unlisted_at)},"
            f" draining {host.entry.draining}, used {host.used.cpu_milli}"
            f" (truly {truth.used().cpu_milli if truth else None}), reserved"
            f" {len(host.reserved)}, runs of it {states}, requested"
            f" {name in step.advice.answered}, ticket {tickets.get(name)}"
        )
    return "\n".join(lines)
