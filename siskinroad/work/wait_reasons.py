"""Reasons why waiting tasks are not placed, found from the end of a planning pass.

The checks follow the order of the planner. Each one leaves fewer hosts that could take
the task; the reason is the first check that leaves too few, so it names the first
thing that would have to change.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from siskinroad.resources import Resources
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun, Task
from siskinroad.work.model import Advice, Queue
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    step_allows_host,
    task_avoids_host,
)
from siskinroad.work.start_limits import count_startable
from siskinroad.work.step_advice import TICKET_MARGIN

__all__ = ["WaitExaminer", "WaitReason"]


class WaitReason(StrEnum):
    """Why a task is not placed; the members are in the order of the checks.

    ``ADVICE_NO_CHANNEL``: no advisor channel is free for the step's request.
    ``ADVICE_NOT_REQUESTED``: a channel is free, but no request was made.
    ``ADVICE_NOT_ALLOWED``: the step was asked about for every capable host, and has a
    ticket for none of them. ``TICKETED_HOSTS_FULL``: only hosts without a ticket have
    free capacity, and no request is pending. ``TICKETS_STALE``: hosts with free
    capacity have tickets that have expired or are about to, and no request is pending.
    ``AWAITS_TRIAL``: hosts have crashed under the task, and none is quiet enough for
    its next start. ``DEFERRED``: the step is left to the next passes, as too many steps
    wait.
    ``ACCOUNT_SHARE``: there is room for the task or its request only once the steps of
    other client accounts have theirs, as its account has sent or uses more than its
    share. ``ACCOUNT_LIMIT``: another task would exceed what the job's client account
    may have running in this pool.
    ``UNEXPLAINED``: none of the checks fails; the planner should have placed the task.
    ``NOT_EXAMINED``: more steps wait than are examined at once.
    """

    OWNER_UNCONFIRMED = "owner_unconfirmed"
    UNSETTLED = "unsettled"
    NO_QUEUE = "no_queue"
    GANG_INCOMPLETE = "gang_incomplete"
    ACCOUNT_LIMIT = "account_limit"
    NO_SCHEDULABLE_HOST = "no_schedulable_host"
    NO_CAPABLE_HOST = "no_capable_host"
    ADVICE_PENDING = "advice_pending"
    ADVICE_NOT_ALLOWED = "advice_not_allowed"
    ADVICE_NO_CHANNEL = "advice_no_channel"
    ADVICE_NOT_REQUESTED = "advice_not_requested"
    NO_CAPACITY = "no_capacity"
    TICKETED_HOSTS_FULL = "ticketed_hosts_full"
    RESERVED = "reserved"
    EXCLUDED_BY_BLOCKED_STEP = "excluded_by_blocked_step"
    SPREAD = "spread"
    URGENT_HEADROOM = "urgent_headroom"
    AVOIDS_FAILED_HOST = "avoids_failed_host"
    AWAITS_TRIAL = "awaits_trial"
    TICKETS_STALE = "tickets_stale"
    DEFERRED = "deferred"
    ACCOUNT_SHARE = "account_share"
    UNEXPLAINED = "unexplained"
    NOT_EXAMINED = "not_examined"


# Reasons that the steps planned first, or the room left to them, may be the cause of.
_SHORTAGES = frozenset(
    (
        WaitReason.ADVICE_NO_CHANNEL,
        WaitReason.NO_CAPACITY,
        WaitReason.TICKETED_HOSTS_FULL,
        WaitReason.RESERVED,
        WaitReason.DEFERRED,
        WaitReason.TICKETS_STALE,
        WaitReason.ADVICE_NOT_REQUESTED,
        WaitReason.UNEXPLAINED,
    )
)


class WaitExaminer:
    """Examiner of the steps that still wait at the end of a planning pass.

    It is made for one examination: the capacity of each host, and the hosts that fit a
    need, are computed once for all steps.

    Parameters
    ----------
    planning_pass : PlanningPass
        The pass, right after its last step was planned.
    """

    def __init__(self, planning_pass: PlanningPass) -> None:
        self._pass = planning_pass
        self._fitting: dict[tuple[Resources, str], dict[Host, Resources]] = {}
        self._behind_others = {
            ranked.step.key
            for ranked in planning_pass.ranked
            if ranked.is_behind_others
        }

    def find_reasons(self, step: StepRun) -> dict[WaitReason, list[Task]]:
        """Return the waiting tasks of a ready step by their reason."""
        reasons = self._find_first_reasons(step)
        if step.key not in self._behind_others:
            return reasons
        found: dict[WaitReason, list[Task]] = {}
        for reason, tasks in reasons.items():
            cause = WaitReason.ACCOUNT_SHARE if reason in _SHORTAGES else reason
            found.setdefault(cause, []).extend(tasks)
        return found

    def _find_first_reasons(self, step: StepRun) -> dict[WaitReason, list[Task]]:
        """Return the waiting tasks by the first check that fails."""
        tasks = step.waiting()
        queue = self._pass.pool_state.queues.get(step.job.queue)
        if queue is None:
            return {WaitReason.NO_QUEUE: tasks}
        if step.spec.gang and len(tasks) < len(step.tasks):
            return {WaitReason.GANG_INCOMPLETE: tasks}
        if step.key in self._pass.limited_steps or not count_startable(
            self._pass.pool_state.account_use, step
        ):
            return {WaitReason.ACCOUNT_LIMIT: tasks}
        reason = self._check_hosts(step, queue.advice)
        if reason is not None:
            return {reason: tasks}
        return self._check_capacity(step, queue, tasks)

    def _check_hosts(self, step: StepRun, advice: Advice | None) -> WaitReason | None:
        schedulable_hosts = self._pass.schedulable_hosts
        if not schedulable_hosts.hosts:
            return WaitReason.NO_SCHEDULABLE_HOST
        capable = schedulable_hosts.find_capable_hosts(step)
        if not capable.hosts:
            return WaitReason.NO_CAPABLE_HOST
        if advice is None or not capable.names.isdisjoint(step.tickets):
            return None
        if step.is_advice_pending:
            return WaitReason.ADVICE_PENDING
        unasked = sum(1 for name in capable.names if name not in step.advice.answered)
        if not unasked:
            return WaitReason.ADVICE_NOT_ALLOWED
        channels = self._pass.channels
        # The pass is over, so that this assignment has no effect on any request.
        if channels is not None and not channels.assign(advice.duration(unasked)):
            return WaitReason.ADVICE_NO_CHANNEL
        return self._find_unplanned_reason(step, WaitReason.ADVICE_NOT_REQUESTED)

    def _check_capacity(
        self, step: StepRun, queue: Queue, tasks: list[Task]
    ) -> dict[WaitReason, list[Task]]:
        sole_hosts = self._pass.open_hosts.sole_hosts
        fitting = {
            host: unused
            for host, unused in self._find_fitting(step).items()
            if sole_hosts.allow(step, host)
        }
        free = fitting
        if queue.advice is not None:
            free = {h: r for h, r in fitting.items() if h.name in step.tickets}
        if not _fits_step(step, free):
            return {self._explain_full_hosts(step, queue, fitting): tasks}
        reason, free = self._check_allocation(step, queue, free)
        if reason is not None:
            return {reason: tasks}
        return self._check_tasks(step, queue, tasks, free)

    def _find_fitting(self, step: StepRun) -> dict[Host, Resources]:
        """Return the capable hosts whose unused capacity fits a task of the step."""
        key = (step.need, step.spec.label)
        fitting = self._fitting.get(key)
        if fitting is None:
            capable = self._pass.schedulable_hosts.find_capable_hosts(step)
            fitting = self._fitting[key] = {}
            for host in capable.hosts:
                unused = host.entry.capacity - host.used
                if step.need.fits(unused):
                    fitting[host] = unused
        return fitting

    def _explain_full_hosts(
        self, step: StepRun, queue: Queue, fitting: dict[Host, Resources]
    ) -> WaitReason:
        if queue.advice is None or not _fits_step(step, fitting):
            return WaitReason.NO_CAPACITY
        if step.is_advice_pending:
            return WaitReason.ADVICE_PENDING
        return WaitReason.TICKETED_HOSTS_FULL

    def _check_allocation(
        self, step: StepRun, queue: Queue, hosts: Iterable[Host]
    ) -> tuple[WaitReason | None, dict[Host, Resources]]:
        """Return the reason that holds for all tasks, and the hosts that are left."""
        now = self._pass.now
        free = {host: host.free_capacity(step.key, now, step.rank) for host in hosts}
        free = {host: r for host, r in free.items() if step.need.fits(r)}
        if not _fits_step(step, free):
            return WaitReason.RESERVED, free
        excluded = self._pass.excluded_hosts
        free = {host: r for host, r in free.items() if host.name not in excluded}
        if not _fits_step(step, free):
            return WaitReason.EXCLUDED_BY_BLOCKED_STEP, free
        if not _fits_step(step, free, has_spread_limit=True):
            return WaitReason.SPREAD, free
        nothing = TentativePlacement()
        free = {h: r for h, r in free.items() if step_allows_host(step, h, nothing)}
        is_bounded = queue.priority > 0 and not step.spec.long_running
        count = step.waiting_count if step.spec.gang else 1
        cpu_milli = step.need.cpu_milli * count
        if is_bounded and cpu_milli > self._pass.non_urgent_cpu_milli:
            return WaitReason.URGENT_HEADROOM, free
        return None, free

    def _check_tasks(
        self,
        step: StepRun,
        queue: Queue,
        tasks: list[Task],
        free: dict[Host, Resources],
    ) -> dict[WaitReason, list[Task]]:
        """Return the tasks by reason, with regard to the hosts that each avoids."""
        reason = self._check_tickets(step, queue, free)
        now = self._pass.now
        if step.spec.gang:
            allowed = {
                host: available
                for host, available in free.items()
                if not any(task_avoids_host(task, host, now) for task in tasks)
            }
            if not _fits_step(step, allowed):
                reason = _find_avoidance_reason(tasks[0])
            return {reason: tasks}
        reasons: dict[WaitReason, list[Task]] = {}
        for task in tasks:
            avoids_all = all(task_avoids_host(task, host, now) for host in free)
            if task.crashes.needs_trial and not self._pass.may_try(task):
                avoids_all = True
            own_reason = _find_avoidance_reason(task) if avoids_all else reason
            reasons.setdefault(own_reason, []).append(task)
        return reasons

    def _check_tickets(
        self, step: StepRun, queue: Queue, hosts: Iterable[Host]
    ) -> WaitReason:
        """Return the reason of the tasks that avoid none of the hosts left."""
        if queue.advice is not None and _has_stale_ticket(step, hosts, self._pass.now):
            if step.is_advice_pending:
                return WaitReason.ADVICE_PENDING
            return WaitReason.TICKETS_STALE
        return self._find_unplanned_reason(step, WaitReason.UNEXPLAINED)

    def _find_unplanned_reason(
        self, step: StepRun, otherwise: WaitReason
    ) -> WaitReason:
        """Return that the pass left the step out, or else the given reason."""
        is_deferred = step.key in self._pass.deferred_steps
        return WaitReason.DEFERRED if is_deferred else otherwise


def _fits_step(
    step: StepRun, free: dict[Host, Resources], *, has_spread_limit: bool = False
) -> bool:
    """Return whether hosts fit one task of a step, or all tasks of a gang.

    Parameters
    ----------
    free : dict of Host to Resources
        Free capacity of each host, which fits at least one task.
    has_spread_limit : bool
        Whether the limit on the tasks of the step for one host counts.
    """
    missing = step.waiting_count if step.spec.gang else 1
    placement = TentativePlacement()
    for host, available in free.items():
        while missing and step.need.fits(available):
            if has_spread_limit and not step_allows_host(step, host, placement):
                break
            available = available - step.need
            placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
            missing -= 1
        if not missing:
            return True
    return False


def _find_avoidance_reason(task: Task) -> WaitReason:
    if task.crashes.needs_trial:
        return WaitReason.AWAITS_TRIAL
    return WaitReason.AVOIDS_FAILED_HOST


def _has_stale_ticket(step: StepRun, hosts: Iterable[Host], now: float) -> bool:
    """Return whether a ticket for one of the hosts can no longer be used."""
    return any(step.tickets[h.name][1] - TICKET_MARGIN <= now for h in hosts)
