"""What accounts may hold by runs of former owners that are not known yet.

Load pattern: a takeover with a thousand accepted tasks, of which a few run on the hosts
that have not answered yet. If each task counted as if it ran, accounts with much
accepted work could start nothing until all hosts have answered.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.job import Job, JobState, StepRun

__all__ = ["CLOSED_JOB_RUN_S", "UnsettledUse", "sum_unsettled"]

# Seconds after the end of a job by which all its runs are over: a cut off host ends
# them with its lease.
CLOSED_JOB_RUN_S = 10.0
# Seconds for which a sum over all jobs is used. Meanwhile unsettled tasks only become
# fewer, as those that are added are counted at once.
SUM_INTERVAL_S = 0.1


@dataclass(slots=True)
class UnsettledAmounts:
    """Needs of the tasks that may have a run which is not known.

    Attributes
    ----------
    placed, best_effort : dict of str to Resources
        Sums by account: of tasks that take a host's capacity for what they need, and of
        best-effort ones, which run on processors that others leave idle.
    largest_need : Resources
        Largest need of a single task.
    """

    placed: dict[str, Resources] = field(default_factory=dict)
    best_effort: dict[str, Resources] = field(default_factory=dict)
    largest_need: Resources = NOTHING

    def add(self, step: StepRun, count: int) -> None:
        """Add ``count`` tasks of a step."""
        sums = self.best_effort if step.spec.filler else self.placed
        need = step.account_need.times(count)
        sums[step.job.account] = sums.get(step.job.account, NOTHING) + need
        self.largest_need = self.largest_need.union(step.account_need)


class UnsettledUse:
    """The most that unknown runs of former owners hold, kept up to date.

    Such runs exist only on hosts of the former owner that have not answered, and what
    is placed there at once is no more than their capacity.

    Attributes
    ----------
    by_account : dict of str to Resources
        The most that each account may hold by such runs.
    """

    def __init__(self) -> None:
        self.by_account: dict[str, Resources] = {}
        self._amounts = UnsettledAmounts()
        self._summed_at = -math.inf
        self._additions = -1

    def clear(self) -> None:
        """Note that all runs of former owners are known."""
        if self.by_account:
            self.by_account = {}

    def update(
        self,
        jobs: Iterable[Job],
        additions: int,
        silent_hosts: int,
        capacities: Iterable[Resources],
        now: float,
        wall: float,
    ) -> None:
        """Bring up to date what accounts may hold.

        Parameters
        ----------
        additions : int
            Number of times that tasks were added to the jobs.
        silent_hosts : int
            Number of the former owner's hosts that have not answered.
        capacities : iterable of Resources
            Capacities of the hosts that are known.
        now, wall : float
            Loop time and Unix time in seconds.
        """
        if not silent_hosts:
            self.clear()
            return
        is_old = now - self._summed_at >= SUM_INTERVAL_S
        if is_old or additions != self._additions:
            self._amounts = sum_unsettled(jobs, wall)
            self._summed_at = now
            self._additions = additions
        self.by_account = _limit_to_hosts(self._amounts, silent_hosts, capacities)


def sum_unsettled(jobs: Iterable[Job], wall: float) -> UnsettledAmounts:
    """Return the needs of all tasks that may have an unknown run.

    Each unsettled task may have a run; with speculative copies, each task may have
    one more than is known. Those of a closed job are stopped, which takes a while.
    """
    amounts = UnsettledAmounts()
    for job in jobs:
        if not job.account:
            continue
        if job.is_closed and wall - job.outcome_at > CLOSED_JOB_RUN_S:
            continue
        is_complete = job.outcome == JobState.COMPLETE
        for step in job.steps.values():
            may_run = sum(
                task.state in ("unsettled", "abandoned") and not is_complete
                for task in step.tasks
            )
            if step.spec.copies:
                may_run += len(step.tasks)
            if may_run:
                amounts.add(step, may_run)
    return amounts


def _limit_to_hosts(
    amounts: UnsettledAmounts, silent_hosts: int, capacities: Iterable[Resources]
) -> dict[str, Resources]:
    """Return the sums by account, limited to what the silent hosts hold.

    Each of them counts like the largest known host: it may not be listed any more, or
    with less capacity than when its runs were started.
    """
    largest = NOTHING
    for capacity in capacities:
        largest = largest.union(capacity)
    if largest == NOTHING:
        limited = dict(amounts.placed)
    else:
        total = largest.union(amounts.largest_need).times(silent_hosts)
        limited = {name: need.clip(total) for name, need in amounts.placed.items()}
    for name, need in amounts.best_effort.items():
        limited[name] = limited.get(name, NOTHING) + need
    return limited
