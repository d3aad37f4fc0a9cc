"""Timing of advice requests, and the choice of hosts to request advice about.

Five workloads shape the rules:

- Steps whose tickets expire while they wait for capacity. The capacity is reserved
  until new tickets arrive.
- Accelerator hosts that are 90 % utilized, which would be idle for the duration of each
  advisor call. Tickets are renewed before the capacity becomes free.
- Jobs of several short steps. Advice for the next step is requested while the one
  before it still runs.
- Pools with more hosts than one call may name. A step whose allowed hosts are full asks
  about the others, each of them once: hosts with capacity, and for large tasks, for
  which capacity has to be withheld from smaller ones, all hosts.
- Hundreds of steps whose tickets have expired, after a burst. The channels take a few
  requests at a time; a step without a request reserves nothing, and predictions for
  blocked steps are spread over the passes. Otherwise a pass takes longer than a ticket
  is valid, and nothing is started any more.
"""

from __future__ import annotations

import heapq
import logging
from collections.abc import Iterable

from siskinroad.work.capacity_forecast import CapacityForecast
from siskinroad.work.effects import RequestAdvice
from siskinroad.work.host import Host, Reservation
from siskinroad.work.job import StepRun
from siskinroad.work.lasting_steps import is_overdue
from siskinroad.work.model import Advice
from siskinroad.work.placement import place_tasks
from siskinroad.work.planning_pass import PlanningPass, TentativePlacement
from siskinroad.work.pool_state import PoolState
from siskinroad.work.speed_preference import order_by_preference
from siskinroad.work.step_advice import TICKET_MARGIN

__all__ = ["AdviceRequester", "count_spare_hosts"]

# Largest number of hosts in one advisor call, a limit of the platform's interface.
MAX_HOSTS_PER_CALL = 100
# Least number of extra hosts in a renewal of tickets, beyond those that expire,
# and the largest part of a call's fixed time that more of them may add. Other hosts may
# have capacity when the answer arrives than when it was requested: without tickets for
# them, one renewal follows another.
SPARE_HOSTS = 2
MAX_SPARE_TIME_FRACTION = 0.25
# Seconds for which capacity stays reserved beyond the expected duration of the call.
RESERVATION_MARGIN = 0.3
# Seconds for which capacity may stay reserved for a step without any answer of the
# advisor. Without an end, a failing advisor would keep capacity from all other steps,
# more urgent ones included.
MAX_RESERVATION_S = 2.0
# Tickets are requested early by the expected duration of the call plus this margin in
# seconds.
EARLY_REQUEST_MARGIN = 0.15
# Largest number of blocked steps for which one planning pass requests advice.
MAX_BLOCKED_STEP_REQUESTS = 3
# Largest number of blocked steps for which one planning pass predicts free capacity. If
# there are more, the least seconds between two predictions for one step, so that all
# get their turn.
MAX_EXAMINED_STEPS = 8
EXAMINATION_INTERVAL_S = 0.1
# Seconds between two checks of whether a blocked step should ask about other hosts.
# There may be hundreds of planning passes a second and hundreds of blocked steps.
OTHERS_CHECK_INTERVAL_S = 0.2
# Seconds for which a blocked step waits for expected capacity on its allowed hosts
# rather than ask about others. A run may be expected to end soon for any length of
# time, and the capacity may go to other steps.
MAX_CAPACITY_WAIT_S = 2.0
# Seconds within which allowed hosts must have capacity for a large task or a gang, or
# full hosts are asked about too. With a small value, each call delays those of other
# steps for hosts that are not needed.
LARGE_TASK_HORIZON_S = 5.0
# Seconds by which sums of times may differ through rounding.
ROUNDING_S = 1e-6

log = logging.getLogger("siskinroad.advice_requester")


class AdviceRequester:
    """Decides when to request advice, and about which hosts.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool whose steps need advice.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state
        self._forecast = CapacityForecast(pool_state.speed_estimates)
        # Of the last planning pass.
        self._blocked_steps = 0
        self._later_steps: set[tuple[str, int, int]] = set()

    def may_use_tickets(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> bool:
        """Return whether a step has or awaits usable tickets, or could request some."""
        return (
            step.is_advice_pending
            or step.advice.newest_valid_until - TICKET_MARGIN > planning_pass.now
            or _has_free_channel(planning_pass, advice)
        )

    def check_or_request_advice(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> bool:
        """Return whether the step has tickets; request advice for new hosts if not."""
        if step.is_advice_pending:
            return bool(step.tickets)
        schedulable_hosts = planning_pass.schedulable_hosts
        capable = schedulable_hosts.find_capable_hosts(step)
        if capable.names <= step.advice.answered:
            return bool(step.tickets)
        if schedulable_hosts.has_any(step.tickets):
            return True
        names = step.advice.find_unanswered(capable.names, planning_pass.now)
        if not names:
            return bool(step.tickets)
        count = min(len(names), MAX_HOSTS_PER_CALL)
        if _assign_channel(planning_pass, advice.duration(count)):
            hosts = self._choose_hosts(planning_pass, step, names)
            self._add_request(planning_pass, step, advice, hosts)
        return False

    def _choose_hosts(
        self, planning_pass: PlanningPass, step: StepRun, names: set[str]
    ) -> list[str]:
        """Return the names for one call: hosts with capacity first if some are left.

        Among these, the hosts come first that the step prefers for their speed.
        """
        hosts = planning_pass.schedulable_hosts.find_hosts(names)
        if len(hosts) > MAX_HOSTS_PER_CALL:
            now = planning_pass.now
            with_capacity = planning_pass.open_hosts.find_among(names, step, now)
            preferred = order_by_preference(planning_pass, step, with_capacity)
            hosts = list(dict.fromkeys([*preferred, *hosts]))
        return [host.name for host in hosts[:MAX_HOSTS_PER_CALL]]

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
        """Request new tickets for ``hosts``; reserve the chosen capacity until then.

        Without a request, which a later pass makes, the capacity is left to others.
        """
        names = self._add_spare_hosts(step, hosts, advice)
        if not step.is_advice_pending:
            self._request_advice(planning_pass, step, advice, names)
        if not step.is_advice_pending or not _may_reserve(step, planning_pass.now):
            return
        until = planning_pass.now + advice.duration(len(names)) + RESERVATION_MARGIN
        for host in hosts:
            capacity = step.need.times(placement.counts[host.name])
            host.reserved[step.key] = Reservation(capacity, until, step.rank)

    def request_for_blocked_step(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request advice for a blocked step if capacity would otherwise stay unused.

        New tickets are requested early enough to arrive before an allowed host has
        capacity; without such a prospect, advice about other hosts.
        """
        planning_pass.blocked_steps += 1
        if step.is_advice_pending:
            return
        planning_pass.unasked_steps.append(step)
        if planning_pass.renewed_steps >= MAX_BLOCKED_STEP_REQUESTS:
            return
        if not self._may_examine(planning_pass, step, advice):
            return
        planning_pass.examined_steps += 1
        step.advice.examined_at = planning_pass.now
        self._renew_before_capacity(planning_pass, step, advice)
        if not step.is_advice_pending:
            self._ask_about_others(planning_pass, step, advice)

    def _may_examine(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> bool:
        """Return whether this pass may predict free capacity for a blocked step."""
        if planning_pass.examined_steps >= MAX_EXAMINED_STEPS:
            return False
        if self._blocked_steps > MAX_EXAMINED_STEPS:
            examined_s = planning_pass.now - step.advice.examined_at
            if examined_s < EXAMINATION_INTERVAL_S - ROUNDING_S:
                return False
            if self._waits_for_turn(step):
                return False
        return _has_free_channel(planning_pass, advice)

    def _waits_for_turn(self, step: StepRun) -> bool:
        """Return whether others that were blocked too were examined longer ago."""
        return step.key in self._later_steps

    def _choose_later_steps(self, blocked: list[StepRun], now: float) -> None:
        """Set the blocked steps that the next pass leaves to the ones after it.

        Overdue long-running steps get their turns among themselves, before the others.
        """
        turns = sorted(
            blocked,
            key=lambda step: (not is_overdue(step, now), step.advice.examined_at),
        )
        self._later_steps = {step.key for step in turns[MAX_EXAMINED_STEPS:]}

    def _renew_before_capacity(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request new tickets that arrive just before an allowed host has capacity."""
        longest_s = advice.duration(len(step.tickets)) + EARLY_REQUEST_MARGIN
        limit = planning_pass.now + longest_s + ROUNDING_S
        if not any(
            ticket.valid_until - TICKET_MARGIN <= limit
            for ticket in step.tickets.values()
        ):
            return
        hosts, at = self._forecast.predict_next_capacity(planning_pass, step, limit)
        stale = self.find_hosts_with_stale_tickets(step, hosts, at)
        if not stale:
            return
        names = self._add_spare_hosts(step, stale, advice)
        if at - planning_pass.now <= advice.duration(len(names)) + EARLY_REQUEST_MARGIN:
            planning_pass.renewed_steps += 1
            self._request_advice(planning_pass, step, advice, names)

    def _ask_about_others(
        self, planning_pass: PlanningPass, step: StepRun, advice: Advice
    ) -> None:
        """Request advice about hosts without an answer if the allowed ones are full."""
        now = planning_pass.now
        if now - step.advice.others_checked_at < OTHERS_CHECK_INTERVAL_S - ROUNDING_S:
            return
        step.advice.others_checked_at = now
        capable = planning_pass.schedulable_hosts.find_capable_hosts(step)
        names = step.advice.find_unanswered(capable.names, now)
        if not names or self._is_blocked_by_headroom(planning_pass, step):
            return
        open_hosts = planning_pass.open_hosts.find_among(names, step, now)
        if step.spec.gang or (not open_hosts and capable.has_large):
            hosts = self._choose_hosts(planning_pass, step, names)
            horizon_s = LARGE_TASK_HORIZON_S
        else:
            hosts = [host.name for host in open_hosts[:MAX_HOSTS_PER_CALL]]
            horizon_s = EARLY_REQUEST_MARGIN
        horizon_s += advice.duration(len(hosts))
        if not hosts or self._should_wait_for_capacity(planning_pass, step, horizon_s):
            return
        planning_pass.renewed_steps += 1
        self._request_advice(planning_pass, step, advice, hosts)
        if step.is_advice_pending:
            step.advice.capacity_expected_since = None
            self._log_other_hosts(planning_pass, step, len(names), len(hosts))

    def _is_blocked_by_headroom(
        self, planning_pass: PlanningPass, step: StepRun
    ) -> bool:
        """Return whether a blocked step would fit but for the urgent headroom."""
        placement = place_tasks(
            planning_pass, step, needs_ticket=True, is_bounded=False
        )
        return placement is not None

    def _should_wait_for_capacity(
        self, planning_pass: PlanningPass, step: StepRun, horizon_s: float
    ) -> bool:
        """Return whether a blocked step should wait for its allowed hosts."""
        step_advice = step.advice
        now = planning_pass.now
        if not self._forecast.expects_capacity(planning_pass, step, now + horizon_s):
            step_advice.capacity_expected_since = None
            return False
        if step_advice.capacity_expected_since is None:
            step_advice.capacity_expected_since = now
        return now - step_advice.capacity_expected_since < MAX_CAPACITY_WAIT_S

    def _log_other_hosts(
        self, planning_pass: PlanningPass, step: StepRun, unanswered: int, asked: int
    ) -> None:
        log.info(
            "advice_requester: allowed hosts have no capacity; "
            "requesting advice about others",
            extra={
                "request": step.job.id,
                "step": f"{step.occurrence}.{step.number}",
                "waiting": step.waiting_count,
                "allowed": len(step.tickets),
                "allowed_in_use": planning_pass.schedulable_hosts.count(step.tickets),
                "unanswered": unanswered,
                "asked": asked,
            },
        )

    def request_for_next_steps(self, planning_pass: PlanningPass) -> None:
        """Request advice for steps that become ready when the running ones end."""
        self._blocked_steps = planning_pass.blocked_steps
        self._choose_later_steps(planning_pass.unasked_steps, planning_pass.now)
        self._forecast.keep_only(self.pool_state.hosts)
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
            if speed_estimates.remaining_s(run, now, task.host) > limit_s:
                return False
        return True

    def _add_spare_hosts(
        self, step: StepRun, hosts: Iterable[Host], advice: Advice
    ) -> list[str]:
        """Return the names of ``hosts`` and of others with tickets, the freest first.

        If one call cannot name all of them, the tickets that expire first are renewed.
        """
        names = {host.name for host in hosts}
        if len(names) > MAX_HOSTS_PER_CALL:
            tickets = step.tickets
            by_expiry = sorted(names, key=lambda n: (tickets[n].valid_until, n))
            names = set(by_expiry[:MAX_HOSTS_PER_CALL])
        count = min(count_spare_hosts(advice), MAX_HOSTS_PER_CALL - len(names))
        known = self.pool_state.hosts
        others = [known[n] for n in step.tickets if n not in names and n in known]
        spare = heapq.nlargest(count, others, key=_compute_free_cpu)
        return [*sorted(names), *(host.name for host in spare)]

    def _request_advice(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        advice: Advice,
        names: Iterable[str],
    ) -> None:
        """Request advice if a channel is free soon; otherwise a later pass does."""
        hosts = list(names)
        if _assign_channel(planning_pass, advice.duration(len(hosts))):
            self._add_request(planning_pass, step, advice, hosts)

    def _add_request(
        self,
        planning_pass: PlanningPass,
        step: StepRun,
        advice: Advice,
        hosts: list[str],
    ) -> None:
        step.is_advice_pending = True
        step.advice.begin_request()
        duration = advice.duration(len(hosts))
        planning_pass.effects.append(RequestAdvice(step.key, tuple(hosts), duration))


def count_spare_hosts(advice: Advice) -> int:
    """Return the number of extra hosts that a renewal of tickets may name."""
    if advice.per_host <= 0.0:
        return MAX_HOSTS_PER_CALL
    affordable = int(MAX_SPARE_TIME_FRACTION * advice.base / advice.per_host)
    return min(MAX_HOSTS_PER_CALL, max(SPARE_HOSTS, affordable))


def _compute_free_cpu(host: Host) -> int:
    """Return the thousandths of a processor that no run holds on a host."""
    return host.entry.capacity.cpu_milli - host.used.cpu_milli


def _may_reserve(step: StepRun, now: float) -> bool:
    """Return whether capacity may be reserved until the advisor answers."""
    step_advice = step.advice
    if step_advice.reserving_since is None:
        step_advice.reserving_since = now
    reserved_s = now - step_advice.reserving_since
    if reserved_s > MAX_RESERVATION_S and not step_advice.is_reservation_over:
        step_advice.is_reservation_over = True
        log.warning(
            "advice_requester: no answer of the advisor in time; "
            "reserving no more capacity for the step until it answers",
            extra={
                "request": step.job.id,
                "step": f"{step.occurrence}.{step.number}",
                "reserved_s": round(reserved_s, 2),
                "is_call_in_flight": step.is_advice_pending,
            },
        )
    return not step_advice.is_reservation_over


def _has_free_channel(planning_pass: PlanningPass, advice: Advice) -> bool:
    """Return whether a channel takes the shortest or the longest call of a step.

    How many hosts a request names is known only once it is made, and short and long
    calls have channels of their own.
    """
    return planning_pass.has_free_channel(
        advice.duration(1)
    ) or planning_pass.has_free_channel(advice.duration(MAX_HOSTS_PER_CALL))


def _assign_channel(planning_pass: PlanningPass, duration: float) -> bool:
    """Return whether a call may be made now, and count it against its channel."""
    channels = planning_pass.channels
    return channels is None or channels.assign(duration)
