"""Which waiting tasks start where.

Loads that this answers: short urgent steps beside long wide ones (order by
priority, then by objective); gangs beside single tasks that would fill every gap
(one blocked large step closes the hosts that will fit it first, and stops less
urgent work there that goes on from a checkpoint).
"""

from __future__ import annotations

import logging

from siskinroad.resources import Resources
from siskinroad.work.asking import Asker
from siskinroad.work.book import Book
from siskinroad.work.effects import Effect, StartRun
from siskinroad.work.headroom import UrgentRoom
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun, Task
from siskinroad.work.lines import LineTimes
from siskinroad.work.model import Queue
from siskinroad.work.plan import (
    Plan,
    Trial,
    allows,
    avoids,
    can_hold,
    is_large,
    missing,
    room_soon,
)

__all__ = ["Planner"]

# Part of its declared time in which a step may end: declarations are rough.
EARLIEST_PART = 0.8
# Times its objective after which a job is worth nothing more to its users.
LATE_FACTOR = 3.0
# Part of a host's room, in demand of others, that makes a difference of one in
# the choice between hosts.
DEMAND_STEP = 0.5
# Part of a pool's hosts that a blocked step may close to later work.
MAX_CLOSED_PART = 0.5
# Seconds of work left below which nothing is stopped for more urgent work: a stop
# and the start from the checkpoint take nearly as long.
MIN_PREEMPTED = 1.5
# Runs of a task after which it is left alone.
MOST_RUNS = 4

log = logging.getLogger("siskinroad.planner")


class Planner:
    """Places the waiting tasks of a book.

    Parameters
    ----------
    book : Book
        What is known of the pool.
    """

    def __init__(self, book: Book) -> None:
        self.book = book
        self.urgent = UrgentRoom()
        self.asker = Asker(book)

    def plan(
        self, now: float, wall: float, lines: LineTimes | None = None
    ) -> list[Effect]:
        """Start what fits, in order of urgency, and ask for advice.

        Parameters
        ----------
        lines : LineTimes, optional
            When the lines to the advisor are free.
        """
        hosts = [host for host in self.book.hosts.values() if host.open(now)]
        steps = [s for s in self.book.ready.values() if not s.job.closed]
        demand = _demand(steps, hosts)
        plan = Plan(self.book, now, wall, hosts, demand, lines=lines)
        plan.lent = self._room_for_others(steps, hosts, now)
        steps.sort(key=lambda s: self._urgency(s, wall))
        for step in steps:
            self._plan_step(plan, step)
        self.asker.look_ahead(plan)
        return plan.effects

    def _is_urgent(self, queue_name: str) -> bool:
        queue = self.book.queues.get(queue_name)
        return queue is not None and queue.priority == 0

    def _room_for_others(
        self, steps: list[StepRun], hosts: list[Host], now: float
    ) -> float:
        """Return the processors that less urgent work may take in this plan."""
        held = sum(
            run.need.cpu_milli
            for host in hosts
            for run in host.runs.values()
            if self._is_urgent(run.queue)
        )
        waiting = sum(
            step.spec.need.cpu_milli * len(step.waiting())
            for step in steps
            if self._is_urgent(step.job.queue)
        )
        self.urgent.observe(held + waiting, now)
        capacity = sum(host.entry.capacity.cpu_milli for host in hosts)
        used = sum(host.used.cpu_milli for host in hosts)
        return capacity - used - self.urgent.keep(capacity, held)

    def _urgency(self, step: StepRun, wall: float) -> tuple[int, int, float]:
        """Return the order of a step: what can still be in time comes first.

        Under overload, earliest objective first would spend the room on work
        that is late anyway, and so make the next one late too.
        """
        job = step.job
        queue = self.book.queues.get(job.queue)
        left = job.tails[step.number] * self.book.speeds.factor(job.queue)
        ends = wall + EARLIEST_PART * left
        objective = self.book.objective(job, step.occurrence)
        late = 0
        if ends > objective:
            worthless = objective + (LATE_FACTOR - 1) * self.book.allowed(job)
            late = 1 if ends < worthless else 2
        return (queue.priority if queue else 9, late, objective)

    def _plan_step(self, plan: Plan, step: StepRun) -> None:
        waiting = step.waiting()
        queue = self.book.queues.get(step.job.queue)
        if not waiting or queue is None:
            return
        if step.spec.gang and len(waiting) < len(step.tasks):
            return
        advice = queue.advice
        if advice is not None and not self.asker.is_advised(plan, step, advice):
            return
        trial = self._place(plan, step, waiting, queue)
        if trial is None:
            self._make_room(plan, step, queue)
            if advice is not None:
                self.asker.renew_ahead(plan, step, advice)
            return
        self._carry_out(plan, step, trial, queue)

    # Placement

    def _place(
        self, plan: Plan, step: StepRun, waiting: list[Task], queue: Queue
    ) -> Trial | None:
        """Choose a host for each task, or for as many as fit.

        Returns
        -------
        Trial or None
            None if nothing fits, or not the whole gang.
        """
        hosts = plan.hosts
        if queue.advice is not None:
            hosts = [h for h in hosts if h.name in step.tickets]
        hosts = [h for h in hosts if h.name not in plan.closed]
        trial = Trial()
        bounded = queue.priority > 0 and not step.spec.long_running
        lent = plan.lent if bounded else float("inf")
        rooms = {h.name: h.free(step.key, plan.now) for h in hosts}
        for task in waiting:
            if step.spec.need.cpu_milli > lent:
                return None if step.spec.gang or not trial.chosen else trial
            host = self._choose(plan, step, task, hosts, rooms, trial)
            if host is None:
                if step.spec.gang:
                    return None
                continue
            rooms[host.name] = rooms[host.name] - step.spec.need
            lent -= step.spec.need.cpu_milli
            trial.counts[host.name] = trial.counts.get(host.name, 0) + 1
            trial.chosen.append((task, host))
        return trial if trial.chosen else None

    def _choose(
        self,
        plan: Plan,
        step: StepRun,
        task: Task,
        hosts: list[Host],
        rooms: dict[str, Resources],
        trial: Trial,
    ) -> Host | None:
        need = step.spec.need
        best: Host | None = None
        best_cost: tuple[float, ...] = ()
        for host in hosts:
            room = rooms[host.name]
            if not need.fits(room) or avoids(task, host, plan.now):
                continue
            if not allows(step, host, trial):
                continue
            again = host.name in task.avoid
            cost = (again, *_cost(plan, step, host, room, trial))
            if best is None or cost < best_cost:
                best, best_cost = host, cost
        return best

    def _make_room(self, plan: Plan, step: StepRun, queue: Queue) -> None:
        """Keep later work off the hosts that will fit a blocked large step first.

        One step at a time does so, the most urgent that can still be in time:
        hosts that are kept for several at once stand idle for most of them.
        """
        large = step.spec.gang or is_large(plan, step)
        if plan.closed or not large or self._urgency(step, plan.wall)[1]:
            return
        able = [h for h in plan.hosts if can_hold(h, step)]
        if queue.advice is not None:
            able = [h for h in able if h.name in step.tickets]
        able.sort(key=lambda h: missing(room_soon(h, step, plan.now), step))
        count = len(step.waiting())
        most = max(1, int(len(plan.hosts) * MAX_CLOSED_PART))
        if step.spec.gang and count > most:
            return
        for host in able[: min(count, most)]:
            plan.closed.add(host.name)
            self._preempt(plan, step, host, queue)

    def _preempt(self, plan: Plan, step: StepRun, host: Host, queue: Queue) -> None:
        """Stop less urgent work that goes on from its checkpoint elsewhere.

        Only as much as makes the step fit, and only what would hold its room
        for clearly longer than a stop takes.
        """
        room = room_soon(host, step, plan.now)
        chosen: list[Run] = []
        runs = [r for r in host.runs.values() if self._may_preempt(plan, r, queue)]
        for run in sorted(runs, key=lambda r: r.begun_at, reverse=True):
            if step.spec.need.fits(room):
                break
            room = room + run.need
            chosen.append(run)
        if not step.spec.need.fits(room):
            return
        for run in chosen:
            plan.effects += self.book.stop(host, run, "preempted")

    def _may_preempt(self, plan: Plan, run: Run, queue: Queue) -> bool:
        other = self.book.queues.get(run.queue)
        step = self.book.step(run.key[0])
        if other is None or step is None or other.priority <= queue.priority:
            return False
        spec = step.spec
        if not spec.checkpoints or spec.gang or spec.long_running:
            return False
        left = run.declared * (100 - run.progress) / 100
        fresh = run.key[1] <= MOST_RUNS
        return run.state == "running" and fresh and left > MIN_PREEMPTED

    # Effects

    def _carry_out(self, plan: Plan, step: StepRun, trial: Trial, queue: Queue) -> None:
        stale: list[Host] = []
        if queue.advice is not None:
            hosts = [host for _, host in trial.chosen]
            stale = self.asker.without_ticket(step, hosts, plan.now)
            if stale and step.spec.gang:
                self.asker.renew(plan, step, trial, queue.advice, hosts)
                return
            if stale:
                self.asker.renew(plan, step, trial, queue.advice, stale)
        barred = {host.name for host in stale}
        chosen = [(t, h) for t, h in trial.chosen if h.name not in barred]
        number = max(task.run for task in step.tasks) + 1 if step.spec.gang else 0
        for task, host in chosen:
            self._start(plan, step, task, host, number or task.run + 1)

    def _start(
        self, plan: Plan, step: StepRun, task: Task, host: Host, number: int
    ) -> None:
        run = step.make_run(task, number, host.token, plan.now)
        task.run = number
        task.host = host.name
        task.move("order")
        host.reserved.pop(step.key, None)
        plan.lent -= step.spec.need.cpu_milli
        host.add(run)
        step.by_host[host.name] = step.by_host.get(host.name, 0) + 1
        ticket = step.tickets.get(host.name, ("", 0.0))[0]
        payload = step.job.spec.payload
        plan.effects.append(StartRun(host.name, run, payload, task.checkpoint, ticket))


def _demand(steps: list[StepRun], hosts: list[Host]) -> dict[str, float]:
    """Return how much of each host the waiting steps want.

    A step spreads its demand over the hosts that it may use, so that one with a
    single allowed host weighs most there.
    """
    demand = {host.name: 0.0 for host in hosts}
    rooms = {host.name: host.entry.capacity for host in hosts}
    for step in steps:
        names = [name for name in step.tickets if name in demand]
        if not names:
            continue
        count = len(step.waiting()) / len(names)
        for name in names:
            demand[name] += count * step.spec.need.dominant(rooms[name])
    return demand


def _others_demand(plan: Plan, step: StepRun, host: Host) -> int:
    """Return the demand of other steps for a host, in whole steps."""
    names = [name for name in step.tickets if name in plan.demand]
    own = 0.0
    if host.name in names:
        share = step.spec.need.dominant(host.entry.capacity)
        own = len(step.waiting()) / len(names) * share
    return int((plan.demand.get(host.name, 0.0) - own) / DEMAND_STEP)


def _cost(
    plan: Plan, step: StepRun, host: Host, room: Resources, trial: Trial
) -> tuple[float, ...]:
    """Return what a host costs as a place for a task; the least is taken.

    Work that its users feel when it is disturbed keeps away from fillers, and
    fillers from it. A gang that is slow across racks stays where it began.
    """
    spec = step.spec
    far = 1.0 if spec.data_rack and host.entry.rack != spec.data_rack else 0.0
    if spec.one_rack and trial.chosen:
        far += host.entry.rack != trial.chosen[0][1].entry.rack
    if spec.filler:
        serving = sum(1 for run in host.runs.values() if run.tail_limit)
        fillers = sum(1 for run in host.runs.values() if run.filler)
        fillers += trial.counts.get(host.name, 0)
        return (far, serving, fillers, -room.cpu_milli)
    if spec.tail_limit or spec.long_running:
        fillers = sum(1 for run in host.runs.values() if run.filler)
        same = step.by_host.get(host.name, 0) + trial.counts.get(host.name, 0)
        return (far, fillers, same, -room.cpu_milli)
    # Hosts that others need more are left to them. Gaps are filled from the
    # tightest, so that whole hosts stay free for large work.
    wanted = _others_demand(plan, step, host)
    left = room.cpu_milli - spec.need.cpu_milli
    return (far, wanted, room.accelerators - spec.accelerators, left)
