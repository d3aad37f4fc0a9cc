"""Scheduler that places the waiting tasks of a pool on its hosts.

Steps are ordered by priority and then by target time, so that short urgent steps do
not queue behind long wide ones. Single tasks would fill every gap before a gang fits:
one blocked large step therefore excludes later steps from the hosts that will fit it
first, and preempts less urgent runs there that can resume from a checkpoint.
"""

from __future__ import annotations

import logging

from siskinroad.resources import Resources
from siskinroad.work.advice_requester import AdviceRequester
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import Effect, StartRun
from siskinroad.work.headroom import UrgentHeadroom
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun, Task
from siskinroad.work.model import Queue
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    compute_available_after_stops,
    compute_shortfall,
    host_can_fit,
    is_large,
    step_allows_host,
    task_avoids_host,
)
from siskinroad.work.pool_state import PoolState

__all__ = ["Planner"]

# Least fraction of its predicted time in which a step may reach the end of its job.
# Declared times are rough: a larger value counts steps as late that can still meet
# their target time.
EARLIEST_END_FRACTION = 0.8
# A job has no value left for its users once it has taken this multiple of its allowed
# time.
WORTHLESS_FACTOR = 3.0
# Demand of other steps, as a fraction of a host's capacity, that adds one to the
# host's cost.
DEMAND_QUANTUM = 0.5
# Largest fraction of a pool's hosts from which a blocked step may exclude later steps.
MAX_EXCLUDED_FRACTION = 0.5
# Remaining seconds of work up to which a run is not preempted: stopping it and starting
# it from its checkpoint take nearly as long.
MIN_PREEMPTIBLE_S = 1.5
# Highest run number that may be preempted; it bounds how often one task is stopped.
MAX_PREEMPTIBLE_RUN = 4

log = logging.getLogger("siskinroad.planner")


class Planner:
    """Scheduler of one pool's waiting tasks.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state
        self.urgent_headroom = UrgentHeadroom()
        self.advice_requester = AdviceRequester(pool_state)

    def plan(
        self, now: float, wall: float, channels: ChannelTimes | None = None
    ) -> list[Effect]:
        """Place the tasks that fit, most urgent step first.

        Returns the starts, the stops of preempted runs, and the advice requests.

        Parameters
        ----------
        channels : ChannelTimes, optional
            When the advisor channels are free; None if they always are.
        """
        hosts = [
            host for host in self.pool_state.hosts.values() if host.is_schedulable(now)
        ]
        steps = [s for s in self.pool_state.ready.values() if not s.job.is_closed]
        demand = _compute_demand(steps, hosts)
        planning_pass = PlanningPass(
            self.pool_state, now, wall, hosts, demand, channels=channels
        )
        planning_pass.non_urgent_cpu_milli = self._compute_non_urgent_cpu(
            steps, hosts, now
        )
        steps.sort(key=lambda s: self._rank_step(s, wall))
        for step in steps:
            self._plan_step(planning_pass, step)
        self.advice_requester.request_for_next_steps(planning_pass)
        return planning_pass.effects

    def _is_urgent(self, queue_name: str) -> bool:
        queue = self.pool_state.queues.get(queue_name)
        return queue is not None and queue.priority == 0

    def _compute_non_urgent_cpu(
        self, steps: list[StepRun], hosts: list[Host], now: float
    ) -> float:
        """Return the thousandths of a processor left to steps that are not urgent."""
        urgent_used = sum(
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
        self.urgent_headroom.observe(urgent_used + waiting, now)
        capacity = sum(host.entry.capacity.cpu_milli for host in hosts)
        used = sum(host.used.cpu_milli for host in hosts)
        return (
            capacity
            - used
            - self.urgent_headroom.compute_headroom(capacity, urgent_used)
        )

    def _rank_step(self, step: StepRun, wall: float) -> tuple[int, int, float]:
        """Return the sort key of a step: priority, lateness, target time.

        Steps that can still meet their target time come first. Under overload, the
        earliest target time first would spend capacity on steps that are late anyway,
        and so make the next ones late too.
        """
        job = step.job
        queue = self.pool_state.queues.get(job.queue)
        remaining_s = job.remaining_times[
            step.number
        ] * self.pool_state.speed_estimates.run_time_ratio(job.queue)
        earliest_end = wall + EARLIEST_END_FRACTION * remaining_s
        target_time = self.pool_state.target_time(job, step.occurrence)
        lateness = 0
        if earliest_end > target_time:
            worthless_at = target_time + (
                WORTHLESS_FACTOR - 1
            ) * self.pool_state.allowed_time(job)
            lateness = 1 if earliest_end < worthless_at else 2
        return (queue.priority if queue else 9, lateness, target_time)

    def _plan_step(self, planning_pass: PlanningPass, step: StepRun) -> None:
        waiting = step.waiting()
        queue = self.pool_state.queues.get(step.job.queue)
        if not waiting or queue is None:
            return
        if step.spec.gang and len(waiting) < len(step.tasks):
            return
        advice = queue.advice
        if advice is not None and not self.advice_requester.check_or_request_advice(
            planning_pass, step, advice
        ):
            return
        placement = self._try_placement(planning_pass, step, waiting, queue)
        if placement is None:
            self._exclude_hosts(planning_pass, step, queue)
            if advice is not None:
                self.advice_requester.renew_early(planning_pass, step, advice)
            return
        self._start_tasks(planning_pass, step, placement, queue)

    # Placement

    def _try_placement(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        waiting: list[Task],
        queue: Queue,
    ) -> TentativePlacement | None:
        """Choose a host for each task, or for as many as fit.

        Returns
        -------
        TentativePlacement or None
            None if no task fits, or not the whole gang.
        """
        hosts = planning_pass.hosts
        if queue.advice is not None:
            hosts = [h for h in hosts if h.name in step.tickets]
        hosts = [h for h in hosts if h.name not in planning_pass.excluded_hosts]
        placement = TentativePlacement()
        is_bounded = queue.priority > 0 and not step.spec.long_running
        non_urgent_cpu_milli = (
            planning_pass.non_urgent_cpu_milli if is_bounded else float("inf")
        )
        available_by_host = {
            h.name: h.free_capacity(step.key, planning_pass.now) for h in hosts
        }
        for task in waiting:
            if step.spec.need.cpu_milli > non_urgent_cpu_milli:
                return None if step.spec.gang or not placement.chosen else placement
            host = self._choose_host(
                planning_pass, step, task, hosts, available_by_host, placement
            )
            if host is None:
                if step.spec.gang:
                    return None
                continue
            available_by_host[host.name] = available_by_host[host.name] - step.spec.need
            non_urgent_cpu_milli -= step.spec.need.cpu_milli
            placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
            placement.chosen.append((task, host))
        return placement if placement.chosen else None

    def _choose_host(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        task: Task,
        hosts: list[Host],
        available_by_host: dict[str, Resources],
        placement: TentativePlacement,
    ) -> Host | None:
        """Return the cheapest host that fits one more task; None if none does."""
        need = step.spec.need
        best: Host | None = None
        best_cost: tuple[float, ...] = ()
        for host in hosts:
            available = available_by_host[host.name]
            if not need.fits(available) or task_avoids_host(
                task, host, planning_pass.now
            ):
                continue
            if not step_allows_host(step, host, placement):
                continue
            has_failed_here = host.name in task.avoided_hosts
            cost = (
                has_failed_here,
                *_compute_cost(planning_pass, step, host, available, placement),
            )
            if best is None or cost < best_cost:
                best, best_cost = host, cost
        return best

    def _exclude_hosts(
        self, planning_pass: PlanningPass, step: StepRun, queue: Queue
    ) -> None:
        """Exclude later steps from the hosts that will fit a blocked large step first.

        Only one step per planning pass does so, the most urgent that can still meet
        its target time: hosts held back for several steps would mostly be idle.
        """
        is_large_or_gang = step.spec.gang or is_large(planning_pass, step)
        if (
            planning_pass.excluded_hosts
            or not is_large_or_gang
            or self._rank_step(step, planning_pass.wall)[1]
        ):
            return
        capable_hosts = [h for h in planning_pass.hosts if host_can_fit(h, step)]
        if queue.advice is not None:
            capable_hosts = [h for h in capable_hosts if h.name in step.tickets]
        capable_hosts.sort(
            key=lambda h: compute_shortfall(
                compute_available_after_stops(h, step, planning_pass.now), step
            )
        )
        count = len(step.waiting())
        max_hosts = max(1, int(len(planning_pass.hosts) * MAX_EXCLUDED_FRACTION))
        if step.spec.gang and count > max_hosts:
            return
        for host in capable_hosts[: min(count, max_hosts)]:
            planning_pass.excluded_hosts.add(host.name)
            self._preempt_runs(planning_pass, step, host, queue)

    def _preempt_runs(
        self, planning_pass: PlanningPass, step: StepRun, host: Host, queue: Queue
    ) -> None:
        """Stop less urgent runs on a host, to resume from a checkpoint elsewhere.

        Stops only as many as the step needs to fit, and only runs that would hold
        their resources for clearly longer than a stop takes.
        """
        available = compute_available_after_stops(host, step, planning_pass.now)
        chosen: list[Run] = []
        runs = [
            r
            for r in host.runs.values()
            if self._is_preemptible(planning_pass, r, queue)
        ]
        for run in sorted(runs, key=lambda r: r.begun_at, reverse=True):
            if step.spec.need.fits(available):
                break
            available = available + run.need
            chosen.append(run)
        if not step.spec.need.fits(available):
            return
        for run in chosen:
            planning_pass.effects += self.pool_state.stop(host, run, "preempted")

    def _is_preemptible(
        self, planning_pass: PlanningPass, run: Run, queue: Queue
    ) -> bool:
        other = self.pool_state.queues.get(run.queue)
        step = self.pool_state.step(run.key[0])
        if other is None or step is None or other.priority <= queue.priority:
            return False
        spec = step.spec
        if not spec.checkpoints or spec.gang or spec.long_running:
            return False
        remaining_s = run.declared_s * (100 - run.progress) / 100
        is_below_run_limit = run.key[1] <= MAX_PREEMPTIBLE_RUN
        return (
            run.state == "running"
            and is_below_run_limit
            and remaining_s > MIN_PREEMPTIBLE_S
        )

    # Start commands

    def _start_tasks(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        placement: TentativePlacement,
        queue: Queue,
    ) -> None:
        stale: list[Host] = []
        if queue.advice is not None:
            hosts = [host for _, host in placement.chosen]
            stale = self.advice_requester.find_hosts_with_stale_tickets(
                step, hosts, planning_pass.now
            )
            if stale and step.spec.gang:
                self.advice_requester.reserve_and_renew(
                    planning_pass, step, placement, queue.advice, hosts
                )
                return
            if stale:
                self.advice_requester.reserve_and_renew(
                    planning_pass, step, placement, queue.advice, stale
                )
        stale_names = {host.name for host in stale}
        chosen = [(t, h) for t, h in placement.chosen if h.name not in stale_names]
        # The runs of a gang share one number; 0 for single tasks.
        run_number = max(task.run for task in step.tasks) + 1 if step.spec.gang else 0
        for task, host in chosen:
            self._start_task(
                planning_pass, step, task, host, run_number or task.run + 1
            )

    def _start_task(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        task: Task,
        host: Host,
        run_number: int,
    ) -> None:
        run = step.make_run(task, run_number, host.token, planning_pass.now)
        task.run = run_number
        task.host = host.name
        task.move("order")
        host.reserved.pop(step.key, None)
        planning_pass.non_urgent_cpu_milli -= step.spec.need.cpu_milli
        host.add_run(run)
        step.runs_by_host[host.name] = step.runs_by_host.get(host.name, 0) + 1
        ticket = step.tickets.get(host.name, ("", 0.0))[0]
        payload = step.job.spec.payload
        planning_pass.effects.append(
            StartRun(host.name, run, payload, task.checkpoint, ticket)
        )


def _compute_demand(steps: list[StepRun], hosts: list[Host]) -> dict[str, float]:
    """Return the demand of the waiting steps for each host, in whole hosts.

    A step's demand is spread evenly over the hosts that it may use, so that a step
    with a single allowed host counts in full there.
    """
    demand = {host.name: 0.0 for host in hosts}
    capacities = {host.name: host.entry.capacity for host in hosts}
    for step in steps:
        names = [name for name in step.tickets if name in demand]
        if not names:
            continue
        tasks_per_host = len(step.waiting()) / len(names)
        for name in names:
            demand[name] += tasks_per_host * step.spec.need.dominant(capacities[name])
    return demand


def _compute_other_demand(
    planning_pass: PlanningPass, step: StepRun, host: Host
) -> int:
    """Return the demand of other steps for a host, in whole ``DEMAND_QUANTUM``."""
    names = [name for name in step.tickets if name in planning_pass.demand]
    own = 0.0
    if host.name in names:
        share = step.spec.need.dominant(host.entry.capacity)
        own = len(step.waiting()) / len(names) * share
    return int((planning_pass.demand.get(host.name, 0.0) - own) / DEMAND_QUANTUM)


def _compute_cost(
    planning_pass: PlanningPass,
    step: StepRun,
    host: Host,
    available: Resources,
    placement: TentativePlacement,
) -> tuple[float, ...]:
    """Return the cost of placing a task on a host, as a tuple; the lowest wins.

    Serving and long-running tasks, whose users notice a disturbance, are kept apart
    from best-effort tasks. A gang that is slow across racks stays in the rack of its
    first task.
    """
    spec = step.spec
    rack_penalty = 1.0 if spec.data_rack and host.entry.rack != spec.data_rack else 0.0
    if spec.one_rack and placement.chosen:
        rack_penalty += host.entry.rack != placement.chosen[0][1].entry.rack
    if spec.filler:
        serving_runs = sum(1 for run in host.runs.values() if run.tail_limit)
        best_effort_runs = sum(1 for run in host.runs.values() if run.filler)
        best_effort_runs += placement.counts.get(host.name, 0)
        return (rack_penalty, serving_runs, best_effort_runs, -available.cpu_milli)
    if spec.tail_limit or spec.long_running:
        best_effort_runs = sum(1 for run in host.runs.values() if run.filler)
        same_step_runs = step.runs_by_host.get(host.name, 0) + placement.counts.get(
            host.name, 0
        )
        return (rack_penalty, best_effort_runs, same_step_runs, -available.cpu_milli)
    # Hosts in greater demand by other steps are avoided. The smallest gap is filled
    # first, so that whole hosts stay free for large tasks.
    other_demand = _compute_other_demand(planning_pass, step, host)
    remaining_cpu_milli = available.cpu_milli - spec.need.cpu_milli
    return (
        rack_penalty,
        other_demand,
        available.accelerators - spec.accelerators,
        remaining_cpu_milli,
    )
