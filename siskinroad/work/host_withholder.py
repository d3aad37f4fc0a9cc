"""Hosts that a blocked large step withholds from the steps after it.

Single tasks would fill every gap before a gang or a large task fits. So a blocked one
withholds the hosts that will fit it first, and preempts less urgent runs there that can
resume from a checkpoint.
"""

from __future__ import annotations

import heapq

from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun
from siskinroad.work.model import Queue
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    can_hold_all,
    compute_available_after_stops,
    compute_shortfall,
    fits_beside_long_running,
    step_allows_host,
)
from siskinroad.work.pool_state import PoolState

__all__ = ["HostWithholder", "is_large"]

# Largest fraction of a pool's hosts from which a blocked step may exclude later steps.
MAX_EXCLUDED_FRACTION = 0.5
# Remaining seconds of work up to which a run is not preempted: stopping it and starting
# it from its checkpoint take nearly as long.
MIN_PREEMPTIBLE_S = 1.5
# Highest run number that may be preempted; it bounds how often one task is stopped.
MAX_PREEMPTIBLE_RUN = 4


class HostWithholder:
    """Choice of the hosts to withhold, and of the runs to preempt there.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state

    def may_withhold(
        self, planning_pass: PlanningPass, step: StepRun, lateness: int
    ) -> bool:
        """Return whether hosts may be withheld for a step if it is blocked."""
        if step is planning_pass.late_step:
            return True
        if planning_pass.has_withheld or (lateness and not step.spec.long_running):
            return False
        return is_large(planning_pass, step)

    def withhold(
        self, planning_pass: PlanningPass, step: StepRun, queue: Queue
    ) -> None:
        """Withhold the hosts that will fit a blocked large step first from later steps.

        Only one step per planning pass does so, the most urgent that can still meet
        its target time or is long-running: hosts held back for several steps would
        mostly be idle. Beside it, the late step that has its turn gets one host, or as
        many as its gang has members.
        """
        is_late = step is planning_pass.late_step
        schedulable_hosts = planning_pass.schedulable_hosts
        capable = schedulable_hosts.find_capable_hosts(step)
        count = step.waiting_count
        max_hosts = max(1, int(len(schedulable_hosts.hosts) * MAX_EXCLUDED_FRACTION))
        if step.spec.gang and count > max_hosts:
            return
        hosts = capable.hosts
        if queue.advice is not None:
            hosts = [host for host in hosts if host.name in step.tickets]
        nothing = TentativePlacement()
        sole_hosts = planning_pass.open_hosts.sole_hosts
        hosts = [
            host
            for host in hosts
            if fits_beside_long_running(host, step)
            and step_allows_host(step, host, nothing)
            and sole_hosts.allow(step, host)
        ]
        if step.spec.gang and not can_hold_all(hosts, step):
            return
        if is_late and not step.spec.gang:
            max_hosts = 1
        first_hosts = heapq.nsmallest(
            min(count, max_hosts),
            hosts,
            key=lambda h: compute_shortfall(
                compute_available_after_stops(h, step, planning_pass.now), step
            ),
        )
        planning_pass.has_withheld |= bool(first_hosts) and not is_late
        for host in first_hosts:
            planning_pass.exclude_host(host)
            self._preempt_runs(planning_pass, step, host, queue)

    def _preempt_runs(
        self, planning_pass: PlanningPass, step: StepRun, host: Host, queue: Queue
    ) -> None:
        """Stop less urgent runs on a host, to resume from a checkpoint elsewhere.

        Stops only as many as the step needs to fit, and only runs that would hold
        their resources for clearly longer than a stop takes.
        """
        if not self._has_less_urgent_runs(host, queue):
            return
        available = compute_available_after_stops(host, step, planning_pass.now)
        if step.need.fits(available):
            return
        chosen: list[Run] = []
        runs = [
            r
            for r in host.runs.values()
            if self._is_preemptible(planning_pass, r, queue)
        ]
        for run in sorted(runs, key=lambda r: r.begun_at, reverse=True):
            if step.need.fits(available):
                break
            available = available + run.need
            chosen.append(run)
        if not step.need.fits(available):
            return
        for run in chosen:
            planning_pass.effects += self.pool_state.stop(host, run, "preempted")

    def _has_less_urgent_runs(self, host: Host, queue: Queue) -> bool:
        queues = self.pool_state.queues
        return any(
            name in queues and queues[name].priority > queue.priority
            for name in host.queue_uses
        )

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


def is_large(planning_pass: PlanningPass, step: StepRun) -> bool:
    """Return whether small tasks may keep a step's tasks off all hosts."""
    capable = planning_pass.schedulable_hosts.find_capable_hosts(step)
    return step.spec.gang or capable.has_large
