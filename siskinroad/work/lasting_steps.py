"""Long-running steps that have waited for a while, which are planned before all others.

Load pattern: an owner that plans a few times a second beside hundreds of waiting steps.
Its passes cannot plan all of them, and urgent ones take what is free. Users count each
second without a long-running task, and all the others only if they end too late.
"""

from __future__ import annotations

from siskinroad.work.job import StepRun
from siskinroad.work.waiting_order import RankedStep

__all__ = ["is_overdue", "put_overdue_first"]

# Seconds for which a long-running task waits in the usual order. Callers take one for
# lost after 3 s, which are to suffice for an advisor call between two slow passes.
LASTING_PATIENCE_S = 1.0
# Largest number of steps that one pass puts first, a quarter of those that it plans.
MAX_OVERDUE_STEPS = 16
# Rank of such a step, before all others: the reservations of these do not count.
OVERDUE_RANK = (-1, 0)


def is_overdue(step: StepRun, now: float) -> bool:
    """Return whether long-running tasks of a step have waited for too long."""
    return step.spec.long_running and now - step.waiting_since > LASTING_PATIENCE_S


def put_overdue_first(ranked: list[RankedStep], now: float) -> list[RankedStep]:
    """Return the steps in their order, but for the overdue ones, which come first.

    If there are too many of these, the ones come first that were planned longest ago.
    """
    overdue = [
        each for each in ranked if _may_start(each.step) and is_overdue(each.step, now)
    ]
    if not overdue:
        return ranked
    overdue.sort(key=lambda each: each.step.last_turn_at)
    keys = {each.step.key for each in overdue[:MAX_OVERDUE_STEPS]}
    first = [each for each in ranked if each.step.key in keys]
    for each in first:
        each.has_floor_turn = True
        each.step.rank = OVERDUE_RANK
    return first + [each for each in ranked if each.step.key not in keys]


def _may_start(step: StepRun) -> bool:
    """Return whether no member of a gang still runs, which starts as a whole."""
    return not step.spec.gang or step.waiting_count == len(step.tasks)
