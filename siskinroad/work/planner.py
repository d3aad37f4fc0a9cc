"""Scheduler that places the waiting tasks of a pool on its hosts.

Steps are ordered by priority and then by target time, so that short urgent steps do
not queue behind long wide ones. `host_withholder` keeps hosts for a blocked large step,
`late_steps` gives late ones their turn.
"""

from __future__ import annotations

import logging

from siskinroad.work.advice_requester import AdviceRequester
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import Effect, StartRun
from siskinroad.work.headroom import UrgentHeadroom
from siskinroad.work.host import Host
from siskinroad.work.host_withholder import HostWithholder, is_large
from siskinroad.work.job import StepRun, Task
from siskinroad.work.job_table import QueueTimes
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

__all__ = ["Planner"]

# Least fraction of its predicted time in which a step may reach the end of its job.
# Declared times are rough: a larger value counts steps as late that can still meet
# their target time.
EARLIEST_END_FRACTION = 0.8
# A job has no value left for its users once it has taken this multiple of its allowed
# time.
WORTHLESS_FACTOR = 3.0
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
        quarantined: list[Host] = []
        for host in pool_state.hosts.values():
            trials += now < host.trial_until
            if host.is_quarantined:
                quarantined.append(host)
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
        self._usual_hosts = make_schedulable_hosts(hosts, self._usual_hosts)
        sole_hosts = find_sole_hosts(
            quarantined, self._usual_hosts, steps, pool_state.queues, now
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
        max_trials = max(1, int(MAX_TRIAL_FRACTION * len(pool_state.hosts)))
        planning_pass.trial_hosts = max_trials - trials
        planning_pass.non_urgent_cpu_milli = self._compute_non_urgent_cpu(planning_pass)
        ranked = self._rank_steps(steps, now, wall)
        self._put_late_step_first(planning_pass, ranked)
        self._plan_steps(planning_pass, ranked)
        planning_pass.effects += self.room_maker.make_room(planning_pass, ranked)
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
        waiting = sum(
            step.need.cpu_milli * step.waiting_count
            for step in planning_pass.steps
            if self._is_urgent(step.job.queue)
            and self._may_be_placed(planning_pass, step)
        )
        self.urgent_headroom.observe(urgent_used + waiting, planning_pass.now)
        capacity = planning_pass.schedulable_hosts.cpu_milli
        return (
            capacity
            - used
            - self.urgent_headroom.compute_headroom(capacity, urgent_used)
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

    def _rank_steps(
        self, steps: list[StepRun], now: float, wall: float
    ) -> list[tuple[int, StepRun]]:
        """Return the steps by priority, lateness and target time, with the lateness.

        Steps that can still meet their target time come first. Under overload, the
        earliest target time first would spend capacity on steps that are late anyway,
        and so make the next ones late too. Long-running steps are ranked by target time
        alone: their users count every second without them, however late they are.
        """
        times: dict[str, QueueTimes] = {}
        ranked: list[tuple[int, int, float, int, int]] = []
        for i, step in enumerate(steps):
            name = step.job.queue
            queue = self.pool_state.queues.get(name)
            if queue is None:
                continue
            if name not in times:
                times[name] = self.pool_state.queue_times(name)
            lateness, target_time = _compute_lateness(step, times[name], now, wall)
            step.rank = (queue.priority, 0 if step.spec.long_running else lateness)
            ranked.append((*step.rank, target_time, i, lateness))
        ranked.sort()
        return [(lateness, steps[i]) for _, _, _, i, lateness in ranked]

    def _put_late_step_first(
        self, planning_pass: PlanningPass, ranked: list[tuple[int, StepRun]]
    ) -> None:
        """Move the late large step that has its turn to the front, if there is one."""
        late_steps = [
            step
            for lateness, step in ranked
            if lateness and not step.spec.long_running and is_large(planning_pass, step)
        ]
        late_step = self._late_step_turns.choose(late_steps, planning_pass.now)
        if late_step is None:
            return
        planning_pass.late_step = late_step
        item = next(item for item in ranked if item[1] is late_step)
        ranked.remove(item)
        ranked.insert(0, item)

    def _plan_steps(
        self, planning_pass: PlanningPass, ranked: list[tuple[int, StepRun]]
    ) -> None:
        """Plan the steps in their order, up to the largest number for one pass.

        Half of a pass that cannot take all steps is for the first ones, half for those
        that were planned longest ago, so that each step gets its turn.
        """
        plannable = self._find_plannable(planning_pass, ranked)
        if len(plannable) > MAX_STEPS_PER_PASS:
            first = plannable[: MAX_STEPS_PER_PASS // 2]
            rest = plannable[MAX_STEPS_PER_PASS // 2 :]
            turns = sorted(rest, key=lambda item: item[1].last_turn_at)
            count = MAX_STEPS_PER_PASS - len(first)
            deferred = {step.key for _, step in turns[count:]}
            planning_pass.deferred_steps = deferred
            plannable = first + [i for i in rest if i[1].key not in deferred]
            planning_pass.planned_steps = [step for _, step in plannable]
        for lateness, step in plannable:
            step.planned_at = planning_pass.now
            self._plan_step(planning_pass, step, lateness)

    def _find_plannable(
        self, planning_pass: PlanningPass, ranked: list[tuple[int, StepRun]]
    ) -> list[tuple[int, StepRun]]:
        """Return the steps that could start a task or request advice in this pass.

        The first large step of the others is added: only one has hosts withheld for it,
        and these would fill up in each pass without a free channel.
        """
        plannable: list[tuple[int, StepRun]] = []
        has_large = False
        for lateness, step in ranked:
            if step.spec.gang and step.waiting_count < len(step.tasks):
                continue
            if not self._may_use_hosts(planning_pass, step):
                if has_large or not self.host_withholder.may_withhold(
                    planning_pass, step, lateness
                ):
                    continue
                has_large = True
            plannable.append((lateness, step))
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
        if advice is not None and not self.advice_requester.check_or_request_advice(
            planning_pass, step, advice
        ):
            return
        placement = place_tasks(
            planning_pass,
            step,
            needs_ticket=advice is not None,
            is_bounded=queue.priority > 0 and not step.spec.long_running,
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
                "planner: task placed on a quarantined host; no other may run it",
                extra={
                    "request": step.job.id,
                    "task": f"{step.occurrence}.{step.number}.{task.id.index}",
                    "host": host.name,
                    "quarantine_left_s": round(
                        host.quarantined_until - planning_pass.now, 2
                    ),
                },
            )
        run = step.make_run(task, run_number, host.token, planning_pass.now)
        task.run = run_number
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
            StartRun(host.name, run, payload, task.checkpoint, ticket)
        )


def _compute_lateness(
    step: StepRun, times: QueueTimes, now: float, wall: float
) -> tuple[int, float]:
    """Return how late a step is, and its target time.

    The lateness is 0 if the step can still meet its target time, 1 if it cannot, and 2
    if its job has no value left. The allowed time of a long-running step counts from
    when its tasks began to wait, as its job never ends by itself.
    """
    job = step.job
    remaining_s = job.remaining_times[step.number] * times.run_time_ratio
    allowed_time = times.allowed_time(job)
    base_time = job.base_time(step.occurrence)
    if step.spec.long_running:
        base_time = max(base_time, wall - (now - step.waiting_since))
    target_time = base_time + allowed_time
    earliest_end = wall + EARLIEST_END_FRACTION * remaining_s
    if earliest_end <= target_time:
        return 0, target_time
    worthless_at = target_time + (WORTHLESS_FACTOR - 1) * allowed_time
    return (1 if earliest_end < worthless_at else 2), target_time
