"""Timing of advice requests, and the choice of hosts to request advice about.

Three workloads shape the rules:

- Steps whose tickets expire while they wait for capacity. The capacity is reserved
  until new tickets arrive.
- Accelerator hosts that are 90 % utilized, which would be idle for the duration of each
  advisor call. Tickets are renewed before the capacity becomes free.
- Jobs of several short steps. Advice for the next step is requested while the one
  before it still runs.
"""

from __future__ import annotations

from collections.abc import Iterable

from siskinroad.work.effects import RequestAdvice
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.model import Advice
from siskinroad.work.planning_pass import PlanningPass, TentativePlacement
from siskinroad.work.pool_state import PoolState
from siskinroad.work.run_ends import RunEnds

__all__ = ["AdviceRequester"]

# Seconds before its expiry from which a ticket is no longer used. With a smaller
# margin, it may expire while the start command travels between two regions or waits
# behind another command.
TICKET_MARGIN = 0.2
# Largest number of hosts in one advisor call, a limit of the platform's interface.
MAX_HOSTS_PER_CALL = 100
# Extra hosts in a renewal of tickets, beyond those whose tickets expire.
SPARE_HOSTS = 2
# Seconds for which capacity stays reserved beyond the expected duration of the call.
RESERVATION_MARGIN = 0.3
# Tickets are requested early by the expected duration of the call plus this margin in
# seconds.
EARLY_REQUEST_MARGIN = 0.15
# Largest number of blocked steps whose tickets one planning pass renews before their
# capacity is free.
MAX_EARLY_RENEWALS = 3
# Seconds by which sums of times may differ through rounding.
ROUNDING_S = 1e-6


class AdviceRequester:
    """Decides when to request advice, and about which hosts.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool whose steps need advice.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state
        self._run_ends = RunEnds(pool_state.speed_estimates)

    def check_or_request_advice(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> bool:
        """Return whether the step has tickets; request advice for new hosts if not."""
        if step.is_advice_pending:
            return bool(step.tickets)
        schedulable_hosts = planning_pass.schedulable_hosts
        capable = schedulable_hosts.find_capable_hosts(step)
        answered = step.advice.answered
        if capable.names <= answered:
            return bool(step.tickets)
        if answered and schedulable_hosts.has_any(step.tickets):
            return True
        eligible = [
            name
            for name in capable.names - answered
            if step.advice.may_ask_about(name, planning_pass.now)
        ]
        eligible.sort(key=schedulable_hosts.positions.__getitem__)
        if not eligible:
            return bool(step.tickets)
        self._request_advice(planning_pass, step, advice, eligible[:MAX_HOSTS_PER_CALL])
        return False

    def find_hosts_with_stale_tickets(
        self, step: StepRun, hosts: Iterable[Host], at: float
    ) -> list[Host]:
        """Return the hosts whose tickets can no longer be used at loop time ``at``."""
        tickets = step.tickets
        return [h for h in hosts if tickets[h.name].valid_until - TICKET_MARGIN <= at]

    def reserve_and_renew(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        placement: TentativePlacement,
        advice: Advice,
        hosts: list[Host],
    ) -> None:
        """Reserve the chosen capacity and request new tickets for ``hosts``."""
        names = self._add_spare_hosts(step, hosts)
        until = planning_pass.now + advice.duration(len(names)) + RESERVATION_MARGIN
        for host in hosts:
            capacity = step.need.times(placement.counts[host.name])
            host.reserved[step.key] = (capacity, until)
        if not step.is_advice_pending:
            self._request_advice(planning_pass, step, advice, names)

    def renew_early(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request new tickets early enough to arrive before the capacity is free."""
        if step.is_advice_pending or planning_pass.renewed_steps >= MAX_EARLY_RENEWALS:
            return
        longest_s = advice.duration(len(step.tickets)) + EARLY_REQUEST_MARGIN
        limit = planning_pass.now + longest_s + ROUNDING_S
        if not any(
            ticket.valid_until - TICKET_MARGIN <= limit
            for ticket in step.tickets.values()
        ):
            return
        hosts, at = self._predict_next_capacity(planning_pass, step, limit)
        stale = self.find_hosts_with_stale_tickets(step, hosts, at)
        if not stale:
            return
        names = self._add_spare_hosts(step, stale)
        if at - planning_pass.now <= advice.duration(len(names)) + EARLY_REQUEST_MARGIN:
            planning_pass.renewed_steps += 1
            self._request_advice(planning_pass, step, advice, names)

    def _predict_next_capacity(
        self, planning_pass: PlanningPass, step: StepRun, limit: float
    ) -> tuple[list[Host], float]:
        """Return the hosts that will have capacity for a step, and when all have it.

        The list is empty if no such time up to ``limit`` can be predicted.
        """
        count = step.waiting_count if step.spec.gang else 1
        now = planning_pass.now
        openings: list[tuple[float, Host]] = []
        for host in planning_pass.schedulable_hosts.find_hosts(step.tickets):
            times = self._predict_capacity_times(step, host, count, now, limit)
            openings += [(at, host) for at in times]
        openings.sort(key=lambda opening: opening[0])
        chosen = openings[:count]
        if len(chosen) < count:
            return [], now
        return list({h.name: h for _, h in chosen}.values()), chosen[-1][0]

    def _predict_capacity_times(
        self, step: StepRun, host: Host, count: int, now: float, limit: float
    ) -> list[float]:
        """Return when a host has capacity for one more task each, up to ``count``.

        Times after ``limit`` are left out.
        """
        need = step.need
        capacity = host.free_capacity(step.key, now)
        times: list[float] = []
        at = now
        ends = iter(self._run_ends.find_ends(host, now))
        while at <= limit:
            while need.fits(capacity):
                capacity = capacity - need
                times.append(at)
                if len(times) == count:
                    return times
            end, freed = next(ends, (float("inf"), need))
            capacity = capacity + freed
            at = max(at, end)
        return times

    def request_for_next_steps(self, planning_pass: PlanningPass) -> None:
        """Request advice for steps that become ready when the running ones end."""
        self._run_ends.keep_only(self.pool_state.hosts)
        for step in self.pool_state.ready.values():
            job = step.job
            successors = job.successors[step.number]
            if not successors or step.waiting_count or job.is_closed:
                continue
            queue = self.pool_state.queues.get(job.queue)
            if queue is None or queue.advice is None:
                continue
            for number in successors:
                after = job.steps[step.occurrence, number]
                self._request_if_ready_soon(planning_pass, after, queue.advice)

    def _request_if_ready_soon(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request advice for a step if all steps that it depends on end soon."""
        if step.is_advice_pending or step.advice.answered:
            return
        capable = planning_pass.schedulable_hosts.find_capable_hosts(step)
        eligible = [host.name for host in capable.hosts[:MAX_HOSTS_PER_CALL]]
        limit_s = advice.duration(len(eligible)) + EARLY_REQUEST_MARGIN
        predecessors = [step.job.steps[step.occurrence, i] for i in step.spec.after]
        if eligible and all(
            self._ends_within(each, limit_s, planning_pass.now) for each in predecessors
        ):
            self._request_advice(planning_pass, step, advice, eligible)

    def _ends_within(self, step: StepRun, limit_s: float, now: float) -> bool:
        """Return whether a step is expected to end within ``limit_s`` seconds."""
        if step.waiting_count:
            return False
        speed_estimates = self.pool_state.speed_estimates
        for task in step.tasks:
            if task.state == "done":
                continue
            host = self.pool_state.hosts.get(task.host)
            run = host.runs.get((task.id, task.run)) if host is not None else None
            if run is None or run.state != "running":
                return False
            if speed_estimates.remaining_s(run, now) > limit_s:
                return False
        return True

    def _add_spare_hosts(self, step: StepRun, hosts: Iterable[Host]) -> list[str]:
        """Return the names of ``hosts`` and of a few others with tickets."""
        names = {host.name for host in hosts}
        spare = [
            n for n in step.tickets if n not in names and n in self.pool_state.hosts
        ]
        return [*sorted(names), *spare[:SPARE_HOSTS]]

    def _request_advice(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        advice: Advice,
        names: Iterable[str],
    ) -> None:
        """Request advice if a channel is free soon; otherwise a later pass does."""
        hosts = tuple(names)
        duration = advice.duration(len(hosts))
        if planning_pass.channels is not None and not planning_pass.channels.assign(
            duration
        ):
            return
        step.is_advice_pending = True
        planning_pass.effects.append(RequestAdvice(step.key, hosts, duration))
