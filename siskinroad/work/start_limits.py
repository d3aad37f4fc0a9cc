"""Steps that the limits of their client accounts keep from starting any task.

Load pattern: one account sends many times its usual. Its steps beyond the limit are
left out of a planning pass before it begins, so that they withhold no hosts, reserve
no capacity and ask for no advice. So are its smaller steps during a large one's turn.
"""

from __future__ import annotations

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.account_turns import LargeStep, is_large
from siskinroad.work.account_use import UNLIMITED, AccountUse, FirstNeed
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
        self._now = now
        # Until then the owner can borrow nothing, and holding back would be in vain.
        self._has_turns = pool_state.is_settled
        self._large: dict[str, list[LargeStep]] = {}
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
            is_held_back = not count_startable(use, step)
            self._note_if_large(use, step, is_held_back=is_held_back)
            if not is_held_back:
                allowed.append(step)
                continue
            self.limited_steps.add(step.key)
            use.held_back.add(account)
            if use.occupied(account) == NOTHING:
                first = FirstNeed(_find_first_need(step))
                use.first_needs.setdefault(account, first)
        use.demand = demand
        return self._give_turns(use, allowed)

    def _note_if_large(
        self, use: AccountUse, step: StepRun, *, is_held_back: bool
    ) -> None:
        account = step.job.account
        share = use.find_share(account, self._now) if self._has_turns else None
        need = _find_first_need(step)
        if share is None or not is_large(need, share) or not _can_start(use, step):
            return
        large = LargeStep(
            step.key, step.job.accepted_at, need, step.waiting_count, is_held_back
        )
        self._large.setdefault(account, []).append(large)

    def _give_turns(self, use: AccountUse, allowed: list[StepRun]) -> list[StepRun]:
        """Leave out what would start before a large step whose turn it is."""
        use.turns.keep(set(self._large))
        chosen: dict[str, tuple[str, int, int]] = {}
        for account, steps in self._large.items():
            is_low = use.is_low(account, use.find_known_use(account))
            large = use.turns.choose(account, steps, self._now, is_low=is_low)
            if large is None:
                continue
            chosen[account] = large.key
            if large.is_held_back:
                use.first_needs[account] = FirstNeed(large.need, large.accepted_at)
        if not chosen:
            return allowed
        left: list[StepRun] = []
        for step in allowed:
            if chosen.get(step.job.account, step.key) == step.key:
                left.append(step)
                continue
            self.limited_steps.add(step.key)
            use.held_back.add(step.job.account)
        return left


def _find_first_need(step: StepRun) -> Resources:
    """Return what the first start of a step takes: one task, or a whole gang."""
    if step.spec.gang:
        return step.account_need.times(step.waiting_count)
    return step.account_need


def _can_start(use: AccountUse, step: StepRun) -> bool:
    """Return whether no more than one task of a gang is beyond the whole limit."""
    limit = use.find_limit(step.job.account)
    if limit is None:
        return False
    if not step.spec.gang:
        return True
    others = step.account_need.times(step.waiting_count - 1)
    return (
        others.cpu_milli <= (limit.cpu_milli or UNLIMITED)
        and others.memory_mib <= (limit.memory_mib or UNLIMITED)
        and others.accelerators <= (limit.accelerators or UNLIMITED)
    )


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
