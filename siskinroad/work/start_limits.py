"""Steps that the limits of their client accounts keep from starting any task.

Load pattern: one account sends many times its usual. Its steps beyond the limit are
left out of a planning pass before it begins, so that they withhold no hosts, reserve
no capacity and ask for no advice.
"""

from __future__ import annotations

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.account_use import AccountUse
from siskinroad.work.job import StepRun
from siskinroad.work.pool_state import PoolState

__all__ = ["StartLimits", "count_startable"]


class StartLimits:
    """Check of all waiting steps at the beginning of a planning pass.

    Attributes
    ----------
    limited_steps : set of tuple
        Keys of the steps that may start no task.
    """

    def __init__(self, pool_state: PoolState, now: float, wall: float) -> None:
        pool_state.update_account_use(now, wall)
        self._use = pool_state.account_use
        self.limited_steps: set[tuple[str, int, int]] = set()

    def leave_out_limited(self, steps: list[StepRun]) -> list[StepRun]:
        """Return the steps that may start a task; note what the accounts wait for."""
        use = self._use
        if use is None:
            return steps
        demand: dict[str, Resources] = {}
        use.held_back.clear()
        use.first_needs.clear()
        allowed: list[StepRun] = []
        for step in steps:
            account = step.job.account
            if not account:
                allowed.append(step)
                continue
            waiting = step.account_need.times(step.waiting_count)
            demand[account] = demand.get(account, NOTHING) + waiting
            if count_startable(use, step):
                allowed.append(step)
                continue
            self.limited_steps.add(step.key)
            use.held_back.add(account)
            if use.occupied(account) == NOTHING:
                first = waiting if step.spec.gang else step.account_need
                use.first_needs.setdefault(account, first)
        use.demand = demand
        return allowed


def count_startable(use: AccountUse | None, step: StepRun) -> int:
    """Return how many waiting tasks of a step its account's limit allows to start."""
    if use is None or not step.job.account:
        return step.waiting_count
    return use.count_startable(
        step.job.account,
        step.account_need,
        step.waiting_count,
        is_gang=step.spec.gang,
    )
