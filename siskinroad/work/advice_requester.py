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
from siskinroad.work.model import Advice, Queue
from siskinroad.work.planning_pass import PlanningPass, TentativePlacement, host_can_fit
from siskinroad.work.pool_state import PoolState

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


class AdviceRequester:
    """Decides when to request advice, and about which hosts.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool whose steps need advice.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state

    def check_or_request_advice(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> bool:
        """Return whether the step has tickets; request advice for new hosts if not."""
        if step.is_advice_pending:
            return bool(step.tickets)
        unknown = [h for h in planning_pass.hosts if h.name not in step.requested_hosts]
        eligible = [h.name for h in unknown if host_can_fit(h, step)]
        if not eligible:
            return bool(step.tickets)
        if step.requested_hosts and any(
            h.name in step.tickets for h in planning_pass.hosts
        ):
            return True
        self._request_advice(planning_pass, step, advice, eligible[:MAX_HOSTS_PER_CALL])
        return False

    def find_hosts_with_stale_tickets(
        self, step: StepRun, hosts: Iterable[Host], at: float
    ) -> list[Host]:
        """Return the hosts whose tickets can no longer be used at loop time ``at``."""
        return [h for h in hosts if step.tickets[h.name][1] - TICKET_MARGIN <= at]

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
            capacity = step.spec.need.times(placement.counts[host.name])
            host.reserved[step.key] = (capacity, until)
        if not step.is_advice_pending:
            self._request_advice(planning_pass, step, advice, names)

    def renew_early(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request new tickets early enough to arrive before the capacity is free."""
        if step.is_advice_pending or planning_pass.renewed_steps >= MAX_EARLY_RENEWALS:
            return
        hosts, at = self._predict_next_capacity(planning_pass, step)
        stale = self.find_hosts_with_stale_tickets(step, hosts, at)
        if not stale:
            return
        names = self._add_spare_hosts(step, stale)
        if at - planning_pass.now <= advice.duration(len(names)) + EARLY_REQUEST_MARGIN:
            planning_pass.renewed_steps += 1
            self._request_advice(planning_pass, step, advice, names)

    def _predict_next_capacity(
        self, planning_pass: PlanningPass, step: StepRun
    ) -> tuple[list[Host], float]:
        """Return the hosts that will have capacity for a step, and when all have it.

        The list is empty if no such time can be predicted.
        """
        openings: list[tuple[float, Host]] = []
        for host in planning_pass.hosts:
            if host.name in step.tickets:
                openings += [
                    (at, host)
                    for at in self._predict_capacity_times(planning_pass, step, host)
                ]
        openings.sort(key=lambda opening: opening[0])
        count = len(step.waiting()) if step.spec.gang else 1
        chosen = openings[:count]
        if len(chosen) < count:
            return [], planning_pass.now
        return list({h.name: h for _, h in chosen}.values()), chosen[-1][0]

    def _predict_capacity_times(
        self, planning_pass: PlanningPass, step: StepRun, host: Host
    ) -> list[float]:
        """Return the loop times at which a host has capacity for one more task each."""
        need = step.spec.need
        capacity = host.free_capacity(step.key, planning_pass.now)
        speed_estimates = self.pool_state.speed_estimates
        ends = [
            (
                planning_pass.now + speed_estimates.remaining_s(run, planning_pass.now),
                run.need,
            )
            for run in host.runs.values()
        ]
        ends.sort(key=lambda end: end[0])
        times: list[float] = []
        at = planning_pass.now
        for end, freed in [*ends, (float("inf"), need)]:
            while need.fits(capacity):
                capacity = capacity - need
                times.append(at)
            capacity = capacity + freed
            at = end
        return times

    def request_for_next_steps(self, planning_pass: PlanningPass) -> None:
        """Request advice for steps that become ready when the running ones end."""
        for step in list(self.pool_state.ready.values()):
            queue = self.pool_state.queues.get(step.job.queue)
            if queue is None or queue.advice is None or step.job.is_closed:
                continue
            for after in step.job.steps.values():
                if step.number in after.spec.after:
                    self._request_if_ready_soon(
                        planning_pass, after, queue, queue.advice
                    )

    def _request_if_ready_soon(
        self, planning_pass: PlanningPass, step: StepRun, queue: Queue, advice: Advice
    ) -> None:
        """Request advice for a step if all steps that it depends on end soon."""
        if step.is_advice_pending or step.requested_hosts:
            return
        predecessors = [step.job.steps[step.occurrence, i] for i in step.spec.after]
        eligible = [h.name for h in planning_pass.hosts if host_can_fit(h, step)][
            :MAX_HOSTS_PER_CALL
        ]
        duration = advice.duration(len(eligible)) + EARLY_REQUEST_MARGIN
        remaining_time_s = max(
            self._remaining_time_s(each, planning_pass.now) for each in predecessors
        )
        if eligible and remaining_time_s <= duration:
            self._request_advice(planning_pass, step, advice, eligible)

    def _remaining_time_s(self, step: StepRun, now: float) -> float:
        """Return the estimated seconds until a step ends; infinity if unknown."""
        if step.waiting():
            return float("inf")
        remaining_time_s = 0.0
        for task in step.tasks:
            if task.state == "done":
                continue
            host = self.pool_state.hosts.get(task.host)
            run = host.runs.get((task.id, task.run)) if host is not None else None
            if run is None or run.state != "running":
                return float("inf")
            remaining_time_s = max(
                remaining_time_s, self.pool_state.speed_estimates.remaining_s(run, now)
            )
        return remaining_time_s

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
