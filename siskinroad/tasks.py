"""Tasks of accepted jobs at the owner of a shard.

A job is settled once the outcome of each of its tasks is stored.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from dataclasses import dataclass, field

from siskinroad.effects import End, StartTask
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.host_monitor import TASK_LEASE_S, HostMonitor, MonitoredOwner
from siskinroad.ledger import JobState
from siskinroad.names import AttemptName, attempt_name, job_of, task_name
from siskinroad.queues import Item
from siskinroad.records import JobAccepted
from siskinroad.restarts import run_restarted
from siskinroad.scheduler import TICK_INTERVAL
from siskinroad.upstreams import TaskStart

__all__ = ["TaskTable"]

# Seconds beyond ``TASK_LEASE_S`` to wait for silent hosts after a takeover. Without
# a margin, a task could be started again while its host still runs it.
SILENT_HOST_MARGIN = 1.0
# Seconds after which an outcome that the log refused is appended again. A shorter time
# loads a log that is behind already; a longer one keeps ended tasks on their hosts.
RECORD_RETRY_INTERVAL = 1.0
# Seconds between two checks whether the log has been read since a takeover. A longer
# time delays the tasks that no host reports.
LOG_POLL_INTERVAL = 0.05
# Stored outcome by the end of an attempt; every other end is stored as "failed".
OUTCOME_BY_END = {End.DONE: "done", End.STOPPED: "cancelled"}

log = logging.getLogger("siskinroad.tasks")


@dataclass(slots=True)
class _Job:
    """A job that has not settled.

    Attributes
    ----------
    accepted : JobAccepted
        Its stored record.
    ended : dict of int to str
        Outcome by task index, including those that are not stored yet.
    is_cancelled : bool
        Whether the job is cancelled, so that none of its tasks may start.
    unrecorded_count : int
        Number of outcomes in ``ended`` that are not stored yet.
    is_settled : bool
        Whether the outcomes of all its tasks have been read back from the log.
    """

    accepted: JobAccepted
    ended: dict[int, str] = field(default_factory=dict)
    is_cancelled: bool = False
    unrecorded_count: int = 0
    is_settled: bool = False


class TaskTable:
    """Table of the unsettled jobs of one shard and their tasks."""

    def __init__(self, owner: MonitoredOwner) -> None:
        self.owner = owner
        self.jobs: dict[str, _Job] = {}
        self._unrecorded: set[str] = set()
        self._unacked: dict[str, list[tuple[HostMonitor, str]]] = {}
        self._deferred_since: float | None = None
        self._has_read_log = False

    # Jobs

    def accept(self, state: JobState) -> None:
        """Queue the tasks of an accepted job that have not ended.

        A job that is read before the log has been read since the takeover may have been
        started by an earlier owner. It is queued with the tasks that no host reports.
        """
        if state.accepted.job in self.jobs or state.settled:
            return
        job = self._add_job(state)
        if self._has_read_log:
            self._queue_job(job)

    def restore(self, states: list[JobState]) -> None:
        """Add the shard's unsettled jobs, before the first inventories are fetched."""
        for state in states:
            if not state.settled:
                self._add_job(state)

    def _add_job(self, state: JobState) -> _Job:
        job = _Job(state.accepted, dict(state.ended), state.cancelled)
        self.jobs[state.accepted.job] = job
        return job

    def _queue_job(self, job: _Job) -> None:
        for index in range(job.accepted.count):
            self._queue_task(job, index)

    def _queue_task(self, job: _Job, index: int) -> None:
        owner = self.owner
        key = f"{job.accepted.job}/{index}"
        if index in job.ended or key in owner.scheduler.shard.items:
            return
        item = self._make_item(job, index)
        if item is None:
            self.record_outcome(key, "refused")
        elif job.is_cancelled:
            self.record_outcome(key, "cancelled")
        else:
            owner.run(owner.scheduler.requeue(item, owner.now()))

    def _make_item(self, job: _Job, index: int) -> Item | None:
        cell = self.owner.scheduler.shard.cell
        workload = cell.workloads.get(job.accepted.workload)
        if workload is None:
            return None
        key = f"{job.accepted.job}/{index}"
        return Item(key, workload, self.owner.now(), payload=job.accepted.payload)

    def queue_unreported(self) -> None:
        """Queue the tasks that no host has reported, once it is certain that none runs.

        This is put off until a read of the log that began after the takeover: an
        earlier owner may have stored ends that their hosts have forgotten since, and
        jobs that it has started. While a host is silent this is put off until the host
        answers or its task leases have expired, since it may still run a task.
        """
        owner = self.owner
        now = owner.now()
        self._has_read_log = owner.ports.log_read_at() >= now
        if self._has_read_log and not self._silent_hosts():
            self._queue_all()
            return
        self._deferred_since = now
        queue = functools.partial(self._queue_when_certain, now)
        name = f"tasks: wait of shard {owner.shard} for the log and silent hosts"
        owner.spawn(run_restarted(queue, name, log))

    def _silent_hosts(self) -> list[HostMonitor]:
        monitors = self.owner.monitors.values()
        return [monitor for monitor in monitors if not monitor.has_answered]

    def _queue_all(self) -> None:
        owner = self.owner
        self._deferred_since = None
        for run in list(owner.scheduler.shard.running.values()):
            owner.run(owner.scheduler.attempts.fail_partial(run))
        for job in list(self.jobs.values()):
            self._queue_job(job)

    def count_deferred(self) -> int:
        """Return the number of tasks that wait for the log or silent hosts."""
        if self._deferred_since is None:
            return 0
        return sum(
            self.is_deferred(f"{job.accepted.job}/{index}")
            for job in self.jobs.values()
            for index in range(job.accepted.count)
        )

    def is_deferred(self, key: str) -> bool:
        """Return whether a task waits for the log or silent hosts."""
        name, index = job_of(key)
        job = self.jobs.get(name)
        if self._deferred_since is None or job is None:
            return False
        is_queued = key in self.owner.scheduler.shard.items
        return 0 <= index < job.accepted.count and not (is_queued or index in job.ended)

    def deferred_for(self) -> float:
        """Return for how many seconds tasks have been deferred, 0 if none are."""
        since = self._deferred_since
        return 0.0 if since is None else self.owner.now() - since

    async def _queue_when_certain(self, taken_over_at: float) -> None:
        self.owner.ports.read_log()
        while self.owner.ports.log_read_at() < taken_over_at:
            await asyncio.sleep(LOG_POLL_INTERVAL)
        self._has_read_log = True
        while silent := self._silent_hosts():
            await self._wait_for_hosts(silent)
        self._queue_all()

    async def _wait_for_hosts(self, silent: list[HostMonitor]) -> None:
        owner = self.owner
        wait = TASK_LEASE_S + SILENT_HOST_MARGIN
        log.info(
            "tasks: shard %s waits for %d silent hosts to answer or their task "
            "leases to expire, in about %.0f s, before it starts tasks that no "
            "host reports",
            owner.shard,
            len(silent),
            wait,
        )
        deadline = owner.now() + wait
        while any(self._may_run_unknown(monitor, deadline) for monitor in silent):
            await asyncio.sleep(TICK_INTERVAL)
        for monitor in silent:
            monitor.has_answered = True

    def _may_run_unknown(self, monitor: HostMonitor, deadline: float) -> bool:
        """Return whether a host may run a task that it has not reported.

        A host that is monitored is waited for until its monitor has concluded, as the
        deadline may pass while the loop is late. A removed one is not monitored.
        """
        if monitor.is_removed:
            return self.owner.now() < deadline
        return not monitor.is_accounted_for

    def cancel(self, name: str) -> None:
        """Cancel every task of a job; none is started after this."""
        job = self.jobs.get(name)
        if job is None:
            return
        job.is_cancelled = True
        for index in range(job.accepted.count):
            self._cancel_task(name, index)

    def apply_outcomes(
        self, name: str, outcomes: dict[int, str], *, is_settled: bool
    ) -> None:
        """Apply outcomes of a job's tasks that were read from the log, by index.

        A task of which an earlier owner has stored the outcome is not run again: its
        host may have forgotten it since.
        """
        job = self.jobs.get(name)
        if job is None:
            return
        for index, outcome in outcomes.items():
            if index not in job.ended:
                job.ended[index] = outcome
                self._cancel_task(name, index)
        job.is_settled = is_settled
        self._forget_if_settled(job)

    def _cancel_task(self, name: str, index: int) -> None:
        owner = self.owner
        owner.run(owner.scheduler.cancel(f"{name}/{index}", owner.now()))

    def adopt(self, name: AttemptName, host: str) -> bool:
        """Adopt a task that a host reports; return False if it must not run.

        It must not, for example, if its job is unknown or cancelled, or if its
        outcome is already decided.
        """
        job_name, index = job_of(name.key)
        job = self.jobs.get(job_name)
        if job is None or index in job.ended or job.is_cancelled:
            return False
        scheduler = self.owner.scheduler
        item = scheduler.shard.items.get(name.key)
        if item is not None and item.state == "waiting":
            scheduler.attempts.withdraw(item)
            item = None
        item = item or self._make_item(job, index)
        if item is None:
            return False
        return scheduler.adopt(item, name, host, self.owner.now())

    # Attempts

    async def start(self, effect: StartTask, member: int) -> None:
        """Start one member of a task or gang on its host."""
        owner = self.owner
        key = effect.item.key
        monitor = owner.monitors[effect.hosts[member]]
        start = _make_task_start(effect, member)
        try:
            if not owner.ports.may_start_tasks():
                raise NotSentError("ownership of the shard is uncertain", step="owner")
            await owner.ports.upstreams.start(monitor.host, owner.epoch, start)
            owner.scheduler.record_attempt_start(key)
        except NotSentError:
            self._report_not_started(key, member)
        except StaleEpochError:
            owner.mark_stale()
            self._report_not_started(key, member)
        except OutcomeUnknownError:
            owner.ports.count_event("retry", "start_unknown")
            monitor.record_unconfirmed_start(start.attempt, owner.now())
        finally:
            monitor.starting.discard(start.attempt)
            monitor.last_start_ended_at = owner.now()

    def _report_not_started(self, key: str, member: int) -> None:
        owner = self.owner
        owner.ports.count_event("retry", End.NOT_SENT.value)
        owner.run(
            owner.scheduler.record_attempt_end(key, member, End.NOT_SENT, owner.now())
        )

    def record_finished(self, key: str, end: End) -> None:
        """Store the outcome of a task or gang whose last attempt has ended."""
        self.record_outcome(key, OUTCOME_BY_END.get(end, "failed"))

    def record_outcome(self, key: str, outcome: str) -> None:
        """Store the outcome of a task or gang."""
        name, index = job_of(key)
        job = self.jobs.get(name)
        if job is None:
            return
        self._unrecorded.add(key)
        job.ended[index] = outcome
        job.unrecorded_count += 1
        self._append_outcome(key, outcome)

    def _append_outcome(self, key: str, outcome: str) -> None:
        fut = self.owner.ports.record_outcome(*job_of(key), outcome)
        fut.add_done_callback(lambda fut: self._on_appended(key, outcome, fut))

    def _on_appended(self, key: str, outcome: str, fut: asyncio.Future[int]) -> None:
        if not fut.cancelled() and fut.exception() is None:
            self._on_recorded(key)
        elif not self.owner.is_closed:
            self.owner.spawn(self._append_later(key, outcome))

    async def _append_later(self, key: str, outcome: str) -> None:
        await asyncio.sleep(RECORD_RETRY_INTERVAL)
        self._append_outcome(key, outcome)

    def _on_recorded(self, key: str) -> None:
        self._unrecorded.discard(key)
        self._acknowledge_all(key)
        name, _ = job_of(key)
        job = self.jobs[name]
        job.unrecorded_count -= 1
        self._forget_if_settled(job)

    def _forget_if_settled(self, job: _Job) -> None:
        """Forget a job once the log shows its end, also to a late copy of its record.

        Until then the job's record, read again, would look like that of a new job.
        """
        if job.is_settled and not job.unrecorded_count:
            del self.jobs[job.accepted.job]

    def outcomes(self, name: str) -> dict[int, str]:
        """Return the outcomes by task index of an unsettled job; empty if unknown."""
        job = self.jobs.get(name)
        return job.ended if job is not None else {}

    def acknowledge(self, key: str, monitor: HostMonitor, attempt: str) -> None:
        """Acknowledge an ended attempt to its host once nothing depends on it.

        The host keeps the attempt in its inventory until the end of the whole
        task or gang is stored, or until it is queued for another attempt.
        """
        self._unacked.setdefault(key, []).append((monitor, attempt))
        running = key in self.owner.scheduler.shard.running
        if not running and key not in self._unrecorded:
            self._acknowledge_all(key)

    def _acknowledge_all(self, key: str) -> None:
        for monitor, attempt in self._unacked.pop(key, []):
            monitor.unrecorded.discard(attempt)
            monitor.acked.append(attempt)


def _make_task_start(effect: StartTask, member: int) -> TaskStart:
    item = effect.item
    resources = item.workload.demand
    return TaskStart(
        task_name(item.key, member),
        attempt_name(effect.attempt, member),
        item.workload.name,
        resources.cpu_milli,
        resources.memory_mib,
        resources.accelerators,
        item.payload,
        TASK_LEASE_S,
    )
