"""Choice of the cheapest host for each waiting task of one step."""

from __future__ import annotations

import heapq

from siskinroad.resources import Resources
from siskinroad.work.crash_record import is_quiet
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun, Task
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    step_allows_host,
    task_avoids_host,
)
from siskinroad.work.speed_preference import (
    choose_speed_preference,
    compute_speed_cost,
)
from siskinroad.work.step_advice import TICKET_MARGIN

__all__ = ["place_tasks"]

# Demand of other steps, as a fraction of a host's capacity, that adds one to the
# host's cost.
DEMAND_QUANTUM = 0.5

Cost = tuple[float, ...]


def place_tasks(
    planning_pass: PlanningPass,
    step: StepRun,
    *,
    needs_ticket: bool,
    is_bounded: bool,
    max_tasks: int | None = None,
) -> TentativePlacement | None:
    """Choose a host for each waiting task, or for as many as fit.

    Parameters
    ----------
    needs_ticket : bool
        Whether only hosts may be chosen for which the step has a ticket.
    is_bounded : bool
        Whether the step may use only the processors left to steps that are not
        urgent.
    max_tasks : int, optional
        Largest number of tasks to place; by default all.

    Returns
    -------
    TentativePlacement or None
        None if no task fits, or not the whole gang.
    """
    cpu_milli = planning_pass.non_urgent_cpu_milli if is_bounded else float("inf")
    if step.need.cpu_milli > cpu_milli:
        return None
    candidates = planning_pass.open_hosts.find_candidates(
        step, planning_pass.now, needs_ticket=needs_ticket
    )
    placement = _place_on(planning_pass, step, candidates, cpu_milli, max_tasks)
    if placement is not None:
        return placement
    withheld = planning_pass.find_withheld_hosts(step, needs_ticket=needs_ticket)
    if not withheld:
        return None
    hosts = candidates | withheld
    return _place_on(planning_pass, step, hosts, cpu_milli, max_tasks)


def _place_on(
    planning_pass: PlanningPass,
    step: StepRun,
    candidates: dict[Host, Resources],
    cpu_milli: float,
    max_tasks: int | None,
) -> TentativePlacement | None:
    """Place tasks on hosts with free capacity; None if too few fit."""
    if not candidates:
        return None
    placement = _Placer(planning_pass, step, candidates).place(cpu_milli, max_tasks)
    if len(placement.chosen) < (step.waiting_count if step.spec.gang else 1):
        return None
    return placement


class _Placer:
    """Placement of one step's tasks, cheapest host first.

    Quarantined hosts come last. With the same rack penalty, hosts with a usable ticket
    come first: a step that chose by capacity alone could renew tickets again and again,
    each time for other hosts. Among these, the speed of the hosts decides if it is
    uneven; `speed_preference`.

    Placing a task changes only the cost of its own host, so the hosts are kept in a
    heap by cost, and only the changed one is entered again.
    """

    def __init__(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        candidates: dict[Host, Resources],
    ) -> None:
        self._pass = planning_pass
        queue = planning_pass.pool_state.queues[step.job.queue]
        self._needs_ticket = queue.advice is not None
        self._step = step
        self._available = candidates
        self._placement = TentativePlacement()
        self._has_choice = len(candidates) > 1
        self._ticketed_hosts = 0
        if self._has_choice:
            self._ticketed_hosts = planning_pass.schedulable_hosts.count(step.tickets)
        self._costs: dict[Host, Cost] = {}
        self._heap: list[tuple[Cost, int]] = []
        self._trial_hosts: set[Host] = set()
        self._host_speeds = planning_pass.pool_state.speed_estimates.host_speeds
        self._speed_preference = choose_speed_preference(planning_pass, step)

    def place(
        self, cpu_milli: float, max_tasks: int | None = None
    ) -> TentativePlacement:
        """Place tasks until none fits, or ``cpu_milli`` processors are used."""
        need = self._step.need
        is_gang = self._step.spec.gang
        self._enter_all()
        for task in self._step.iterate_waiting():
            if need.cpu_milli > cpu_milli:
                break
            if len(self._placement.chosen) == max_tasks:
                break
            host = self._choose_host(task)
            if host is None:
                if is_gang or not self._costs:
                    break
                continue
            cpu_milli -= need.cpu_milli
            self._place(task, host)
        return self._placement

    def _choose_host(self, task: Task) -> Host | None:
        if task.crashes.needs_trial:
            return self._choose_for_trial(task)
        if task.avoided_hosts or task.older_run_host:
            return self._choose_for_failed(task)
        while self._heap:
            cost, position = self._heap[0]
            host = self._pass.schedulable_hosts.hosts[position]
            if self._costs.get(host) == cost:
                return host
            heapq.heappop(self._heap)
        return None

    def _choose_for_failed(self, task: Task) -> Host | None:
        """Return the cheapest host for a task that avoids some; None if none fits."""
        now = self._pass.now
        positions = self._pass.schedulable_hosts.positions
        return min(
            (host for host in self._costs if not task_avoids_host(task, host, now)),
            key=lambda host: (
                host.name in task.avoided_hosts,
                self._costs[host],
                positions[host.name],
            ),
            default=None,
        )

    def _choose_for_trial(self, task: Task) -> Host | None:
        """Return the host with the fewest runs that a crash would take; None if none.

        The members of a gang are on trial together, and may share a host.
        """
        if not self._pass.may_try(task):
            return None
        now = self._pass.now
        positions = self._pass.schedulable_hosts.positions
        counts = self._placement.counts
        is_gang = self._step.spec.gang
        return min(
            (
                host
                for host in self._costs
                if not task_avoids_host(task, host, now)
                and (is_gang or not counts.get(host.name))
            ),
            key=lambda host: (
                host.name in task.crashes.hosts,
                not is_quiet(host, now),
                len(host.runs),
                self._costs[host],
                positions[host.name],
            ),
            default=None,
        )

    def _place(self, task: Task, host: Host) -> None:
        placement = self._placement
        # The members of a gang are one start, on trial and on probation.
        is_alone = task.crashes.needs_trial or host.needs_probation
        if is_alone and not self._step.spec.gang:
            self._trial_hosts.add(host)
        self._available[host] = self._available[host] - self._step.need
        placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
        placement.chosen.append((task, host))
        if self._step.spec.one_rack and len(placement.chosen) == 1:
            # The first task decides the rack, and so changes the cost of every host.
            self._enter_all()
        else:
            self._enter(host)

    def _enter_all(self) -> None:
        self._costs.clear()
        self._heap.clear()
        for host in self._available:
            self._enter(host)

    def _enter(self, host: Host) -> None:
        """Enter a host with its present cost, unless it fits no further task."""
        self._costs.pop(host, None)
        if host in self._trial_hosts:
            return
        available = self._available[host]
        if not self._step.need.fits(available):
            return
        if not step_allows_host(self._step, host, self._placement):
            return
        cost: Cost = ()
        if self._has_choice:
            rack_penalty, *others = self._compute_cost(host, available)
            speed_cost = compute_speed_cost(
                self._speed_preference, self._host_speeds, host.name
            )
            cost = (
                host.is_quarantined,
                rack_penalty,
                self._has_stale_ticket(host),
                speed_cost,
                *others,
            )
        self._costs[host] = cost
        position = self._pass.schedulable_hosts.positions[host.name]
        heapq.heappush(self._heap, (cost, position))

    def _has_stale_ticket(self, host: Host) -> bool:
        if not self._needs_ticket:
            return False
        valid_until = self._step.tickets[host.name].valid_until
        return valid_until - TICKET_MARGIN <= self._pass.now

    def _compute_cost(self, host: Host, available: Resources) -> Cost:
        """Return the cost of placing a task on a host, as a tuple; the lowest wins.

        Serving and long-running tasks, whose users notice a disturbance, are kept
        apart from best-effort tasks. A gang that is slow across racks stays in the
        rack of its first task.
        """
        step = self._step
        spec = step.spec
        placement = self._placement
        rack = host.entry.rack
        rack_penalty = 1.0 if spec.data_rack and rack != spec.data_rack else 0.0
        if spec.one_rack and placement.chosen:
            rack_penalty += rack != placement.chosen[0][1].entry.rack
        here = placement.counts.get(host.name, 0)
        if spec.filler:
            serving_runs = sum(1 for run in host.runs.values() if run.tail_limit)
            best_effort_runs = sum(1 for run in host.runs.values() if run.filler)
            best_effort_runs += here
            return (rack_penalty, serving_runs, best_effort_runs, -available.cpu_milli)
        if spec.tail_limit or spec.long_running:
            best_effort_runs = sum(1 for run in host.runs.values() if run.filler)
            same_step_runs = step.runs_by_host.get(host.name, 0) + here
            cpu_milli = -available.cpu_milli
            return (rack_penalty, best_effort_runs, same_step_runs, cpu_milli)
        # Hosts in greater demand by other steps are avoided. The smallest gap is filled
        # first, so that whole hosts stay free for large tasks.
        remaining_cpu_milli = available.cpu_milli - step.need.cpu_milli
        return (
            rack_penalty,
            self._compute_other_demand(host),
            available.accelerators - spec.accelerators,
            remaining_cpu_milli,
        )

    def _compute_other_demand(self, host: Host) -> int:
        """Return the demand of other steps for a host, in whole ``DEMAND_QUANTUM``."""
        step = self._step
        own = 0.0
        if host.name in step.tickets:
            share = self._pass.schedulable_hosts.compute_share(step.need, host)
            own = step.waiting_count / self._ticketed_hosts * share
        return int((self._pass.find_demand(host) - own) / DEMAND_QUANTUM)
