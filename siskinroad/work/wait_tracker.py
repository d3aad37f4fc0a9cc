"""Waits of a pool's tasks: one reason for each, and since when both hold."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.work.job import StepRun, Task
from siskinroad.work.planning_pass import PlanningPass
from siskinroad.work.pool_state import PoolState
from siskinroad.work.wait_reasons import WaitExaminer, WaitReason

__all__ = ["StepWait", "WaitTracker"]

# Largest number of steps that one examination looks at. It bounds the time for which
# the event loop is blocked.
MAX_EXAMINED_STEPS = 100

WaitKey = tuple[tuple[str, int, int], WaitReason]


@dataclass(slots=True, eq=False)
class StepWait:
    """Tasks of one step that wait for the same reason.

    Attributes
    ----------
    tasks : list of Task
        These tasks, longest waiting first.
    reason_since : float
        Loop time of the first of the successive examinations that found the reason.
    """

    step: StepRun
    reason: WaitReason
    tasks: list[Task]
    reason_since: float

    @property
    def key(self) -> WaitKey:
        """The step's key and the reason."""
        return self.step.key, self.reason

    @property
    def waiting_since(self) -> float:
        """Loop time at which the longest waiting task began to wait."""
        return self.tasks[0].waiting_since


class WaitTracker:
    """Tracker of the waiting tasks of one pool.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self._pool_state = pool_state
        self._reasons_since: dict[WaitKey, float] = {}

    def examine(self, now: float, planning_pass: PlanningPass | None) -> list[StepWait]:
        """Return the waits of all tasks that could be placed, longest first.

        Parameters
        ----------
        planning_pass : PlanningPass or None
            The pass that has just ended; None if the claim is not confirmed, so that
            nothing is planned.
        """
        for step in self._pool_state.ready.values():
            step.stamp_waits(now)
        if planning_pass is None:
            waits = self._hold_all(now)
        else:
            waits = self._find_unsettled(now)
            waits += self._examine_steps(planning_pass)
        for wait in waits:
            wait.tasks.sort(key=lambda task: task.waiting_since)
            wait.reason_since = self._reasons_since.get(wait.key, now)
        self._reasons_since = {wait.key: wait.reason_since for wait in waits}
        waits.sort(key=lambda wait: wait.waiting_since)
        return waits

    def _hold_all(self, now: float) -> list[StepWait]:
        waits = []
        for step in self._pool_state.ready.values():
            tasks = [t for t in step.tasks if t.state in ("waiting", "unsettled")]
            if tasks:
                waits.append(StepWait(step, WaitReason.OWNER_UNCONFIRMED, tasks, now))
        return waits

    def _find_unsettled(self, now: float) -> list[StepWait]:
        if self._pool_state.is_settled:
            return []
        waits = []
        for step in self._pool_state.ready.values():
            tasks = [task for task in step.tasks if task.state == "unsettled"]
            if tasks:
                waits.append(StepWait(step, WaitReason.UNSETTLED, tasks, now))
        return waits

    def _examine_steps(self, planning_pass: PlanningPass) -> list[StepWait]:
        now = planning_pass.now
        examiner = WaitExaminer(planning_pass)
        ready = self._pool_state.ready.values()
        steps = [step for step in ready if step.waiting_count]
        steps.sort(key=_find_first_wait)
        waits = []
        for step in steps[:MAX_EXAMINED_STEPS]:
            for reason, tasks in examiner.find_reasons(step).items():
                waits.append(StepWait(step, reason, tasks, now))
        for step in steps[MAX_EXAMINED_STEPS:]:
            reason = WaitReason.NOT_EXAMINED
            waits.append(StepWait(step, reason, step.waiting(), now))
        return waits


def _find_first_wait(step: StepRun) -> float:
    return min(task.waiting_since for task in step.iterate_waiting())
