"""Runs that the former owner of a pool has told of, as its successor counts on them.

Why no task runs twice by that is said in docs/PLATFORM-DESIGN.md.
"""

from __future__ import annotations

from collections.abc import Callable

from siskinroad.work.job import StepRun, Task
from siskinroad.work.model import TaskId
from siskinroad.work.records import HostSet, KnownRuns

__all__ = ["FormerRuns", "find_former_runs"]


class FormerRuns:
    """The runs that the former owner may have started and that may go on.

    Parameters
    ----------
    known : KnownRuns
        What the former owner has told.
    told_at : float
        Loop time at which this was known here.
    """

    def __init__(self, known: KnownRuns, told_at: float) -> None:
        self.told_at = told_at
        self._unstored_jobs = frozenset(known.unstored_jobs)
        self._hosts: dict[TaskId, set[str]] = {}
        for host, tasks in known.hosts:
            for fields in tasks:
                self._hosts.setdefault(TaskId(*fields), set()).add(host)

    def list_settled(
        self, step: StepRun, is_host_settled: Callable[[str], bool]
    ) -> list[Task]:
        """Return the unsettled tasks of a step that can have no unknown run.

        Parameters
        ----------
        is_host_settled : callable
            Returns whether the runs on a host are known, by its name.
        """
        if step.job.id in self._unstored_jobs:
            return []
        unsettled = [task for task in step.tasks if task.state == "unsettled"]
        if step.spec.gang:
            has_run = any(task.id in self._hosts for task in step.tasks)
            is_whole = len(unsettled) == len(step.tasks)
            return unsettled if is_whole and not has_run else []
        return [
            task
            for task in unsettled
            if all(map(is_host_settled, self._hosts.get(task.id, ())))
        ]


def find_former_runs(
    hosts: HostSet | None, term: int, known: KnownRuns | None, now: float
) -> FormerRuns | None:
    """Return the runs that the owner of a term has told of, if they are all there are.

    Parameters
    ----------
    hosts : HostSet or None
        The set of hosts that the claim has read.
    """
    if known is None or hosts is None or not hosts.settled or hosts.term != term:
        return None
    return FormerRuns(known, now)
