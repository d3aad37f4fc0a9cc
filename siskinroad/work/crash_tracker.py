"""Tracker of the hosts of a pool that crash, and of the tasks that may be the cause.

Nothing here does I/O. Loop times are passed as ``now``, in seconds.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from siskinroad.work.crash_record import TRIAL_S
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun, Task
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["CrashTracker"]

# Seconds within which the losses of several hosts count as one event, with a cause that
# they share: it shows nothing of the tasks on them.
COINCIDENCE_S = 0.1
# Seconds for which a host whose leases have expired is remembered, until it answers or
# another host takes its address; and the losses of hosts.
MEMORY_S = 60.0
# Earlier crashes soon after a start that make a task the main suspect of a further one,
# beside tasks without any.
MIN_FORMER_CRASHES = 2
# Number of the youngest lost runs that a log line names.
MAX_NAMED = 4

log = logging.getLogger("siskinroad.pool_state")


@dataclass(slots=True, frozen=True)
class _LostRun:
    """A run that was lost with its host.

    Attributes
    ----------
    age_s : float
        Seconds that it had run, at the most.
    """

    run: Run
    age_s: float

    @property
    def is_on_trial(self) -> bool:
        """Whether the run was lost during its trial."""
        return self.run.trial_s > 0 and self.age_s <= self.run.trial_s


@dataclass(slots=True, frozen=True)
class _Loss:
    """Loss of the runs of a host, which may have crashed or only been silent.

    Attributes
    ----------
    at : float
        Loop time of the first request that failed.
    noted_at : float
        Loop time at which the runs were ended.
    """

    host: str
    incarnation_ms: int
    runs: list[_LostRun]
    at: float
    noted_at: float


class CrashTracker:
    """Tracker of crashed hosts.

    Parameters
    ----------
    hosts : dict of str to Host
        The hosts of the pool.
    find_step : callable
        Returns the step of a task, or None.
    mark_changed : callable
        Called with each job whose record of crashes has changed.

    Attributes
    ----------
    causes : list of tuple of StepRun and Task
        Tasks that are to be given up.
    observe_lost_host : callable
        Receives the reason of each loss of all runs of a host.
    """

    def __init__(
        self,
        hosts: dict[str, Host],
        find_step: Callable[[TaskId], StepRun | None],
        mark_changed: Callable[[str], None],
    ) -> None:
        self.causes: list[tuple[StepRun, Task]] = []
        self.observe_lost_host: Callable[[str], None] = lambda reason: None
        self._hosts = hosts
        self._find_step = find_step
        self._mark_changed = mark_changed
        self._lapsed: dict[str, _Loss] = {}
        # When hosts were lost that had a run on trial, and the others.
        self._explained: dict[str, float] = {}
        self._unexplained: deque[tuple[float, str]] = deque()

    def record_crash(
        self, host: Host, runs: Iterable[Run], reason: str, now: float
    ) -> None:
        """Record that a host answers as another incarnation, without these runs.

        A host that was leaving has ended its runs by doing so.
        """
        loss = _make_loss(host, runs, now)
        self.observe_lost_host(reason)
        _log_loss(loss, reason, host.entry.draining, now)
        if not host.entry.draining:
            self._blame_runs(loss, now)
        self._confirm_lapse(host, now)

    def record_lapse(self, host: Host, now: float) -> None:
        """Record that a host is silent and its leases have expired.

        It has not necessarily crashed: its next incarnation, or another host at its
        address, will show.
        """
        if not host.runs or host.entry.draining:
            return
        self._lapsed = {
            address: loss
            for address, loss in self._lapsed.items()
            if now - loss.noted_at <= MEMORY_S
        }
        loss = _make_loss(host, host.runs.values(), now)
        self._lapsed[host.entry.address] = loss
        self._note_explained(loss, now)
        for lost in loss.runs:
            step = self._find_step(lost.run.key[0])
            task = step.job.task(lost.run.key[0]) if step is not None else None
            if task is not None and lost.age_s <= TRIAL_S:
                task.crashes.suspect(now, is_on_trial=lost.is_on_trial)

    def note_report(self, host: Host, incarnation_ms: int, now: float) -> None:
        """Note which incarnation of a host has reported."""
        loss = self._lapsed.get(host.entry.address)
        if loss is None or loss.host != host.name:
            return
        if loss.incarnation_ms == incarnation_ms:
            del self._lapsed[host.entry.address]
        else:
            self._confirm_lapse(host, now)

    def note_listed(self, entry: HostEntry, now: float) -> None:
        """Note a listed host, which may have taken the address of a lost one."""
        loss = self._lapsed.get(entry.address)
        if loss is not None and loss.host != entry.name:
            del self._lapsed[entry.address]
            self._note_lapsed_crash(loss, now)

    def _confirm_lapse(self, host: Host, now: float) -> None:
        loss = self._lapsed.get(host.entry.address)
        if loss is not None and loss.host == host.name:
            del self._lapsed[host.entry.address]
            self._note_lapsed_crash(loss, now)

    def _note_lapsed_crash(self, loss: _Loss, now: float) -> None:
        self.observe_lost_host("lapsed")
        _log_loss(loss, "lapsed", False, now)
        self._blame_runs(loss, now)

    def note_survival(self, task: Task, run: Run, reported_at: float) -> None:
        """Note that a run of a task goes on."""
        crashes = task.crashes
        if not crashes.notes and not crashes.is_suspected:
            return
        if crashes.note_survival(reported_at - run.begun_at):
            self._mark_changed(task.id.job)

    def _blame_runs(self, loss: _Loss, now: float) -> None:
        is_alone = not self._has_coincidence(loss)
        main_suspect = self._find_main_suspect(loss)
        if not self._note_explained(loss, now):
            self._unexplained.append((loss.at, loss.host))
        while self._unexplained and now - self._unexplained[0][0] > MEMORY_S:
            self._unexplained.popleft()
        blamed: set[tuple[tuple[str, int, int], int]] = set()
        for lost in loss.runs:
            step = self._find_step(lost.run.key[0])
            if step is None or step.job.is_closed:
                continue
            # The members of a gang that were on the host count as one.
            gang = (step.key, lost.run.key[1])
            if step.spec.gang and gang in blamed:
                continue
            blamed.add(gang)
            self._blame_run(
                loss, lost, step, is_alone=is_alone, main_suspect=main_suspect
            )

    def _note_explained(self, loss: _Loss, now: float) -> bool:
        """Note a loss that a run on trial explains; return whether one does."""
        if not any(lost.is_on_trial for lost in loss.runs):
            return False
        self._explained = {
            host: at for host, at in self._explained.items() if now - at <= MEMORY_S
        }
        self._explained[loss.host] = loss.at
        return True

    def _has_coincidence(self, loss: _Loss) -> bool:
        """Return whether another host was lost, or fell silent, at the same time.

        One with a run on trial does not count, as that run explains it.
        """
        others = [at for at, host in self._unexplained if host != loss.host]
        others += [
            host.failing_since
            for host in self._hosts.values()
            if host.name != loss.host
            and host.is_failing
            and not _has_run_on_trial(host)
            and self._explained.get(host.name) != host.failing_since
        ]
        return any(abs(at - loss.at) <= COINCIDENCE_S for at in others)

    def _blame_run(
        self,
        loss: _Loss,
        lost: _LostRun,
        step: StepRun,
        *,
        is_alone: bool,
        main_suspect: Run | None,
    ) -> None:
        task = step.job.task(lost.run.key[0])
        if task is None or task.state == "done":
            return
        is_on_trial = lost.is_on_trial and _is_youngest(lost, loss.runs)
        is_cause_shown = is_on_trial or lost.run is main_suspect
        for each in step.tasks if step.spec.gang else [task]:
            each.crashes.add(
                loss.host,
                is_young=lost.age_s <= TRIAL_S,
                has_begun=lost.run.begun_at > 0.0,
            )
        self._mark_changed(step.job.id)
        if task.crashes.is_cause(is_shown=is_alone and is_cause_shown):
            self.causes.append((step, task))
        log.warning(
            "pool_state: host crashed under a task",
            extra={
                "request": task.id.job,
                "task": f"{step.occurrence}.{step.number}.{task.id.index}",
                "run": lost.run.key[1],
                "host": loss.host,
                "age_s": round(lost.age_s, 2),
                "has_begun": lost.run.begun_at > 0.0,
                "crashes": len(task.crashes.notes),
                "is_on_trial": is_on_trial,
                "is_cause_shown": is_cause_shown,
                "is_alone": is_alone,
            },
        )

    def _find_main_suspect(self, loss: _Loss) -> Run | None:
        """Return the only one of the young runs whose task has young crashes.

        It must have two already, so that a third host has crashed soon after its start.
        """
        suspects = []
        for lost in loss.runs:
            step = self._find_step(lost.run.key[0])
            task = step.job.task(lost.run.key[0]) if step is not None else None
            if task is None or lost.age_s > TRIAL_S or not task.crashes.young_count:
                continue
            suspects.append((lost.run, task.crashes.young_count))
        if len(suspects) != 1 or suspects[0][1] < MIN_FORMER_CRASHES:
            return None
        return suspects[0][0]


def _has_run_on_trial(host: Host) -> bool:
    """Return whether a host that does not reply has a run on trial."""
    run = host.runs.get(host.trial_run) if host.trial_run is not None else None
    if run is None:
        return False
    return host.run_age_at_loss(run, host.failing_since) <= run.trial_s


def _make_loss(host: Host, runs: Iterable[Run], now: float) -> _Loss:
    lost = [_LostRun(run, host.run_age_at_loss(run, now)) for run in runs]
    lost.sort(key=lambda each: each.age_s)
    at = host.failing_since if host.is_failing else now
    return _Loss(host.name, host.incarnation_ms, lost, at, now)


def _is_youngest(lost: _LostRun, runs: list[_LostRun]) -> bool:
    """Return whether all other runs had begun a trial's length before this one.

    The other members of a gang do not count.
    """
    gang = (lost.run.step, lost.run.key[1])
    return all(
        other.age_s >= lost.age_s + TRIAL_S
        for other in runs
        if other is not lost and (other.run.step, other.run.key[1]) != gang
    )


def _log_loss(loss: _Loss, reason: str, is_draining: bool, now: float) -> None:
    youngest = [
        f"{each.run.key[0].job}.{each.run.key[0].occurrence}.{each.run.key[0].step}"
        f".{each.run.key[0].index}#{each.run.key[1]} {each.age_s:.2f} s"
        for each in loss.runs[:MAX_NAMED]
    ]
    log.warning(
        "pool_state: host has lost its runs",
        extra={
            "host": loss.host,
            "why": reason,
            "runs": len(loss.runs),
            "youngest": youngest,
            "failing_s": round(now - loss.at, 2),
            "draining": is_draining,
        },
    )
