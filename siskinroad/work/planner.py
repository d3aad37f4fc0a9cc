"""Scheduler that places the waiting tasks of a pool on its hosts.

`waiting_order` ranks the steps. `host_withholder` keeps hosts for a blocked large step,
`late_steps` gives late ones their turn, `lasting_steps` puts long-running ones first.
"""

from __future__ import annotations

import logging

from siskinroad.work.advice_requester import AdviceRequester
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import Effect, StartRun
from siskinroad.work.headroom import UrgentHeadroom, limit_to_usable
from siskinroad.work.host import Host
from siskinroad.work.host_withholder import HostWithholder, is_large
from siskinroad.work.job import StepRun, Task
from siskinroad.work.lasting_steps import put_overdue_first
from siskinroad.work.late_steps import LateStepTurns
from siskinroad.work.making_room import RoomMaker
from siskinroad.work.model import Queue
from siskinroad.work.open_hosts import make_open_hosts
from siskinroad.work.placement import place_tasks
from siskinroad.work.planning_pass import (
    MAX_TRIAL_FRACTION,
    PlanningPass,
    TentativePlacement,
)
from siskinroad.work.pool_state import PoolState
from siskinroad.work.schedulable_hosts import SchedulableHosts, make_schedulable_hosts
from siskinroad.work.sole_hosts import find_sole_hosts
from siskinroad.work.start_limits import StartLimits, count_startable
from siskinroad.work.urgent_room import compute_usable_cpu
from siskinroad.work.waiting_order import Lateness, RankedStep, WaitingOrder

__all__ = ["Planner"]

# Largest number of steps for which one planning pass looks for hosts. A pass that takes
# as long as a ticket is valid would start nothing any more.
MAX_STEPS_PER_PASS = 64

log = logging.getLogger("siskinroad.planner")


class Planner:
    """Scheduler of one pool's waiting tasks.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.

    Attributes
    ----------
    last_pass : PlanningPass or None
        Newest planning pass, as it was when its last step was planned.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state
        self.last_pass: PlanningPass | None = None
        self.urgent_headroom = UrgentHeadroom()
        self.advice_requester = AdviceRequester(pool_state)
        self.host_withholder = HostWithholder(pool_state)
        self.room_maker = RoomMaker(pool_state)
        self.waiting_order = WaitingOrder(pool_state, pool_state.rank_account)
        self._late_step_turns = LateStepTurns()
        self._usual_hosts: SchedulableHosts | None = None

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
        pool_state = self.pool_state
        given_up = pool_state.give_up_crashing_tasks(wall)
        hosts: list[Host] = []
        trials = 0
        held_back: list[Host] = []
        for host in pool_state.hosts.values():
            trials += now < host.trial_until
            if host.is_quarantined or now < host.trial_until:
                held_back.append(host)
            elif host.is_usable(now):
                hosts.append(host)
        steps = [
            step
            for step in pool_state.ready.values()
            if step.waiting_count and not step.job.is_closed
        ]
        for step in steps:
            if step.tally.unstamped:
                step.stamp_waits(now)
        limits = StartLimits(pool_state, now, wall)
        steps = limits.leave_out_limited(steps)
        self._usual_hosts = make_schedulable_hosts(hosts, self._usual_hosts)
        sole_hosts = find_sole_hosts(
            held_back, self._usual_hosts, steps, pool_state.queues, now
        )
        schedulable_hosts = self._usual_hosts
        if sole_hosts.hosts:
            schedulable_hosts = make_schedulable_hosts(hosts + sole_hosts.hosts, None)
        planning_pass = PlanningPass(
            pool_state,
            now,
            wall,
            schedulable_hosts,
            make_open_hosts(schedulable_hosts, steps, sole_hosts),
            steps,
            channels,
        )
        planning_pass.effects += given_up
        planning_pass.limited_steps = limits.limited_steps
        max_trials = max(1, int(MAX_TRIAL_FRACTION * len(pool_state.hosts)))
        planning_pass.trial_hosts = max_trials - trials
        planning_pass.non_urgent_cpu_milli = self._compute_non_urgent_cpu(planning_pass)
        cpu_milli = schedulable_hosts.cpu_milli
        ranked = self.waiting_order.rank(steps, now, wall, cpu_milli)
        planning_pass.excess_cpu_milli = self._compute_excess_cpu(planning_pass, ranked)
        self._put_late_step_first(planning_pass, ranked)
        ranked = put_overdue_first(ranked, now)
        planning_pass.ranked = ranked
        self._plan_steps(planning_pass, ranked)
        planning_pass.effects += self.room_maker.make_room(planning_pass)
        self.advice_requester.request_for_next_steps(planning_pass)
        self.last_pass = planning_pass
        return planning_pass.effects

    def _compute_non_urgent_cpu(self, planning_pass: PlanningPass) -> float:
        """Return the thousandths of a processor left to steps that are not urgent."""
        used = 0
        urgent_used = 0
        for host in planning_pass.schedulable_hosts.hosts:
            used += host.used.cpu_milli
            for name, use in host.queue_uses.items():
                if self._is_urgent(name):
                    urgent_used += use.cpu_milli
        steps = [
            step
            for step in planning_pass.steps
            if self._is_urgent(step.job.queue)
            and self._may_be_placed(planning_pass, step)
        ]
        waiting = sum(step.need.cpu_milli * step.waiting_count for step in steps)
        self.urgent_headroom.observe(urgent_used + waiting, planning_pass.now)
        hosts = planning_pass.schedulable_hosts
        headroom = self.urgent_headroom.compute_headroom(hosts.cpu_milli, urgent_used)
        usable = compute_usable_cpu(steps, hosts, self.pool_state.queues, headroom)
        return hosts.cpu_milli - used - limit_to_usable(headroom, waiting, usable)

    def _compute_excess_cpu(
        self, planning_pass: PlanningPass, ranked: list[RankedStep]
    ) -> float:
        """Return the thousandths of a processor for urgent work that is not owed.

        Steps that are owed and of use have the first call on what is free, also on gaps
        that fit none of their tasks yet: small tasks beyond the rate of their account
        would fill each gap as soon as it opens.
        """
        if not any(each.is_excess for each in ranked):
            return float("inf")
        owed = sum(
            each.step.need.cpu_milli * each.step.waiting_count
            for each in ranked
            if not each.is_excess
            and each.lateness is not Lateness.NO_USE
            and self._is_urgent(each.step.job.queue)
            and self._may_be_placed(planning_pass, each.step)
        )
        hosts = planning_pass.schedulable_hosts
        used = sum(host.used.cpu_milli for host in hosts.hosts)
        return hosts.cpu_milli - used - owed

    def _must_leave_room(self, planning_pass: PlanningPass, ranked: RankedStep) -> bool:
        """Return whether what is free is left to steps that are owed."""
        return (
            ranked.is_excess
            and not ranked.has_floor_turn
            and self._is_urgent(ranked.step.job.queue)
            and ranked.step.need.cpu_milli > planning_pass.excess_cpu_milli
        )

    def _is_urgent(self, queue_name: str) -> bool:
        queue = self.pool_state.queues.get(queue_name)
        return queue is not None and queue.priority == 0

    def _may_be_placed(self, planning_pass: PlanningPass, step: StepRun) -> bool:
        """Return whether some host may run a step's tasks, once it has capacity."""
        capable = planning_pass.schedulable_hosts.find_capable_hosts(step)
        if self.pool_state.queues[step.job.queue].advice is None or step.tickets:
            return bool(capable.hosts)
        return not capable.names <= step.advice.answered

    def _put_late_step_first(
        self, planning_pass: PlanningPass, ranked: list[RankedStep]
    ) -> None:
        """Move the late large step that has its turn to the front, if there is one."""
        late_steps = [
            each.step
            for each in ranked
            if each.lateness
            and not each.step.spec.long_running
            and is_large(planning_pass, each.step)
        ]
        late_step = self._late_step_turns.choose(late_steps, planning_pass.now)
        if late_step is None:
            return
        planning_pass.late_step = late_step
        item = next(item for item in ranked if item.step is late_step)
        ranked.remove(item)
        ranked.insert(0, item)

    def _plan_steps(
        self, planning_pass: PlanningPass, ranked: list[RankedStep]
    ) -> None:
        """Plan the steps in their order, up to the largest number for one pass.

        Half of a pass that cannot take all steps is for the first ones, half for those
        that were planned longest ago, so that each step gets its turn.
        """
        plannable = self._find_plannable(planning_pass, ranked)
        if len(plannable) > MAX_STEPS_PER_PASS:
            first = plannable[: MAX_STEPS_PER_PASS // 2]
            rest = plannable[MAX_STEPS_PER_PASS // 2 :]
            turns = sorted(rest, key=lambda item: item.step.last_turn_at)
            count = MAX_STEPS_PER_PASS - len(first)
            deferred = {each.step.key for each in turns[count:]}
            planning_pass.deferred_steps = deferred
            plannable = first + [i for i in rest if i.step.key not in deferred]
            planning_pass.planned_steps = [each.step for each in plannable]
        for each in plannable:
            each.step.planned_at = planning_pass.now
            if self._must_leave_room(planning_pass, each):
                continue
            waiting_count = each.step.waiting_count
            self._plan_step(planning_pass, each.step, each.lateness)
            if each.is_excess:
                started = waiting_count - each.step.waiting_count
                planning_pass.excess_cpu_milli -= each.step.need.cpu_milli * started

    def _find_plannable(
        self, planning_pass: PlanningPass, ranked: list[RankedStep]
    ) -> list[RankedStep]:
        """Return the steps that could start a task or request advice in this pass.

        The first large step of the others is added: only one has hosts withheld for it,
        and these would fill up in each pass without a free channel.
        """
        plannable: list[RankedStep] = []
        has_large = False
        for each in ranked:
            step = each.step
            if step.spec.gang and step.waiting_count < len(step.tasks):
                continue
            if not self._may_use_hosts(planning_pass, step):
                if has_large or not self.host_withholder.may_withhold(
                    planning_pass, step, each.lateness
                ):
                    continue
                has_large = True
            plannable.append(each)
        return plannable

    def _may_use_hosts(self, planning_pass: PlanningPass, step: StepRun) -> bool:
        """Return whether a step could start a task or request advice in this pass."""
        advice = self.pool_state.queues[step.job.queue].advice
        if advice is None:
            return True
        return self.advice_requester.may_use_tickets(planning_pass, step, advice)

    def _plan_step(
        self, planning_pass: PlanningPass, step: StepRun, lateness: int
    ) -> None:
        queue = self.pool_state.queues[step.job.queue]
        advice = queue.advice
        max_tasks = count_startable(self.pool_state.account_use, step)
        if not max_tasks:
            # Steps before it in this pass have taken what its account's limit left.
            planning_pass.limited_steps.add(step.key)
            return
        if advice is not None and not self.advice_requester.check_or_request_advice(
            planning_pass, step, advice
        ):
            return
        placement = place_tasks(
            planning_pass,
            step,
            needs_ticket=advice is not None,
            is_bounded=queue.priority > 0 and not step.spec.long_running,
            max_tasks=max_tasks,
        )
        if placement is None:
            if self.host_withholder.may_withhold(planning_pass, step, lateness):
                self.host_withholder.withhold(planning_pass, step, queue)
            if advice is not None:
                self.advice_requester.request_for_blocked_step(
                    planning_pass, step, advice
                )
            return
        self._start_tasks(planning_pass, step, placement, queue)

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
        if host.is_quarantined:
            log.info(
                "planner: task placed on a quarantined host; others do not hold it",
                extra={
                    "request": step.job.id,
                    "task": f"{step.occurrence}.{step.number}.{task.id.index}",
                    "host": host.name,
                    "quarantine_left_s": round(
                        host.quarantined_until - planning_pass.now, 2
                    ),
                    "is_on_probation": planning_pass.now < host.trial_until,
                },
            )
        run = step.make_run(task, run_number, host.token, planning_pass.now)
        task.run = run_number
        task.was_ordered = True
        task.host = host.name
        task.move("order")
        host.reserved.pop(step.key, None)
        planning_pass.non_urgent_cpu_milli -= step.need.cpu_milli
        planning_pass.add_run(host, run)
        if task.crashes.needs_trial:
            planning_pass.begin_trial(host, run)
        step.runs_by_host[host.name] = step.runs_by_host.get(host.name, 0) + 1
        ticket = step.tickets.get(host.name, ("", 0.0))[0]
        payload = step.job.spec.payload
        planning_pass.effects.append(
            StartRun(host.name, run, payload, step.find_checkpoint(task), ticket)
        )
