"""Log lines about tasks that wait for long, few enough for an overloaded owner."""

from __future__ import annotations

import logging
from collections import Counter

from siskinroad.work.host import Host
from siskinroad.work.host_states import find_host_state
from siskinroad.work.job import StepRun
from siskinroad.work.planning_pass import PlanningPass
from siskinroad.work.pool_state import PoolState
from siskinroad.work.run_table import format_task_position
from siskinroad.work.wait_tracker import StepWait, WaitKey

__all__ = ["WaitLog", "sum_held_cpu"]

# Seconds of wait from which a task is logged: a wait for capacity or advice is mostly
# over before.
LOGGED_WAIT_S = 2.0
# Seconds after which the line of a step and reason is repeated.
REPEAT_INTERVAL_S = 5.0
# Largest number of lines for one examination.
MAX_LINES = 10
# Largest number of tasks that one line names.
MAX_NAMED_TASKS = 5
# States of a run in which its host may not execute it any more, while its capacity is
# still allocated.
HELD_RUN_STATES = ("doubtful", "stopping", "withdrawn")

log = logging.getLogger("siskinroad.owner")


def sum_held_cpu(host: Host) -> int:
    """Return the thousandths of a processor that doubtful or stopping runs hold."""
    runs = host.runs.values()
    return sum(run.need.cpu_milli for run in runs if run.state in HELD_RUN_STATES)


class WaitLog:
    """Log of long waits, one line for each step and reason.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool whose tasks wait.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self._pool_state = pool_state
        self._logged_at: dict[WaitKey, float] = {}

    def write(
        self, now: float, waits: list[StepWait], planning_pass: PlanningPass | None
    ) -> None:
        """Log the waits that are due, in their order, up to the largest number."""
        logged_at = self._logged_at
        self._logged_at = {w.key: logged_at[w.key] for w in waits if w.key in logged_at}
        due = [wait for wait in waits if self._is_due(wait, now)]
        for wait in due[:MAX_LINES]:
            self._logged_at[wait.key] = now
            extra = _describe_wait(wait, now)
            extra |= _describe_step(wait.step)
            extra |= self._describe_hosts(wait.step, now, planning_pass)
            extra |= _describe_tickets(wait.step, now, planning_pass)
            log.warning("owner: tasks wait for placement", extra=extra)

    def _is_due(self, wait: StepWait, now: float) -> bool:
        if now - wait.waiting_since < LOGGED_WAIT_S:
            return False
        logged_at = self._logged_at.get(wait.key)
        return logged_at is None or now - logged_at >= REPEAT_INTERVAL_S

    def _describe_hosts(
        self, step: StepRun, now: float, planning_pass: PlanningPass | None
    ) -> dict[str, object]:
        """Return the capable hosts by state, and the use of those with tickets."""
        queue = self._pool_state.queues.get(step.job.queue)
        needs_ticket = queue is not None and queue.advice is not None
        label = step.spec.label
        capable = [
            host
            for host in self._pool_state.hosts.values()
            if step.need.fits(host.entry.capacity)
            and (not label or label in host.entry.labels)
        ]
        allowed = [h for h in capable if not needs_ticket or h.name in step.tickets]
        roomy = [h for h in allowed if step.need.fits(h.entry.capacity - h.used)]
        excluded = planning_pass.excluded_hosts if planning_pass is not None else set()
        return {
            "capable_hosts": Counter(find_host_state(h, now).value for h in capable),
            "allowed_hosts": Counter(find_host_state(h, now).value for h in allowed),
            "allowed_cpu_milli": sum(h.entry.capacity.cpu_milli for h in allowed),
            "used_cpu_milli": sum(host.used.cpu_milli for host in allowed),
            "held_cpu_milli": sum(sum_held_cpu(host) for host in allowed),
            "roomy_hosts": Counter(find_host_state(h, now).value for h in roomy),
            "roomy_excluded": sum(1 for host in roomy if host.name in excluded),
            "roomy_reserved": sum(
                1 for host in roomy if host.reserved.keys() - {step.key}
            ),
            "roomy_on_probation": sum(1 for host in roomy if host.needs_probation),
        }


def _describe_wait(wait: StepWait, now: float) -> dict[str, object]:
    job = wait.step.job
    named = wait.tasks[:MAX_NAMED_TASKS]
    return {
        "request": job.id,
        "queue": job.queue,
        "task_count": len(wait.tasks),
        "tasks": [format_task_position(task.id) for task in named],
        "reason": wait.reason.value,
        "waited_s": round(now - wait.waiting_since, 2),
        "reason_s": round(now - wait.reason_since, 2),
    }


def _describe_step(step: StepRun) -> dict[str, object]:
    """Return what a step needs and how its tasks stand, those that run included."""
    need = step.need
    return {
        "is_gang": step.spec.gang,
        "need": [need.cpu_milli, need.memory_mib, need.accelerators],
        "task_states": Counter(task.state for task in step.tasks),
        "newest_run": max(task.run for task in step.tasks),
        "failures": max(task.failure_count for task in step.tasks),
    }


def _describe_tickets(
    step: StepRun, now: float, planning_pass: PlanningPass | None
) -> dict[str, object]:
    valid = sum(1 for _, valid_until in step.tickets.values() if valid_until > now)
    fields: dict[str, object] = {
        "tickets": len(step.tickets),
        "valid_tickets": valid,
        "asked_hosts": len(step.advice.answered),
        "is_advice_pending": step.is_advice_pending,
        "rejected_tickets": len(step.advice.rejections),
    }
    if planning_pass is not None:
        fields["schedulable_hosts"] = len(planning_pass.schedulable_hosts.hosts)
        fields["excluded_hosts"] = len(planning_pass.excluded_hosts)
        fields["non_urgent_cpu_milli"] = round(planning_pass.non_urgent_cpu_milli)
    return fields
