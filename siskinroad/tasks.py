"""Accepted jobs in the hands of a shard's owner."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from siskinroad.effects import End, StartTask
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.hostwatch import TASK_LEASE, HostWatch, WatchedOwner
from siskinroad.ledger import JobState
from siskinroad.names import AttemptName, attempt_name, job_of, task_name
from siskinroad.queues import Item
from siskinroad.records import JobAccepted
from siskinroad.scheduler import TICK_TIME
from siskinroad.upstreams import TaskStart

__all__ = ["Tasks"]

SILENT_MARGIN = 1.0
OUTCOMES = {End.DONE: "done", End.STOPPED: "cancelled"}

log = logging.getLogger("siskinroad.tasks")


@dataclass(slots=True)
class _Job:
    """A job that has not settled; ``ended`` runs ahead of the record.

    ``unrecorded`` counts the ends that are not on record yet.
    """

    accepted: JobAccepted
    ended: dict[int, str] = field(default_factory=dict)
    cancelled: bool = False
    unrecorded: int = 0


class Tasks:
    """The tasks of the jobs that are homed at one shard."""

    def __init__(self, owner: WatchedOwner) -> None:
        self.owner = owner
        self.jobs: dict[str, _Job] = {}
        self._unrecorded: set[str] = set()
        self._unacked: dict[str, list[tuple[HostWatch, str]]] = {}

    # Jobs

    def accept(self, state: JobState) -> None:
        """Queue the tasks of an accepted job that have not ended."""
        if state.accepted.job not in self.jobs and not state.settled:
            self._queue_job(self._note(state))

    def restore(self, states: list[JobState]) -> None:
        """Note the jobs homed here before the hosts are asked what they run."""
        for state in states:
            if not state.settled:
                self._note(state)

    def _note(self, state: JobState) -> _Job:
        job = _Job(state.accepted, dict(state.ended), state.cancelled)
        self.jobs[state.accepted.job] = job
        return job

    def _queue_job(self, job: _Job) -> None:
        for index in range(job.accepted.count):
            self._queue(job, index)

    def _queue(self, job: _Job, index: int) -> None:
        owner = self.owner
        key = f"{job.accepted.job}/{index}"
        if index in job.ended or key in owner.scheduler.shard.items:
            return
        item = self._item(job, index)
        if item is None:
            self.record_end(key, "refused")
        elif job.cancelled:
            self.record_end(key, "cancelled")
        else:
            owner.run(owner.scheduler.requeue(item, owner.now()))

    def _item(self, job: _Job, index: int) -> Item | None:
        cell = self.owner.scheduler.shard.cell
        workload = cell.workloads.get(job.accepted.workload)
        if workload is None:
            return None
        key = f"{job.accepted.job}/{index}"
        return Item(key, workload, self.owner.now(), payload=job.accepted.payload)

    def queue_unfound(self) -> None:
        """Queue what no host runs, once no host can be running it unseen."""
        owner = self.owner
        silent = [watch for watch in owner.watches.values() if not watch.answered]
        if silent:
            wait = TASK_LEASE + SILENT_MARGIN
            log.info("tasks: %s waits %.0f s for silent hosts", owner.shard, wait)
            owner.spawn(self._queue_later(silent, owner.now() + wait))
            return
        for run in list(owner.scheduler.shard.running.values()):
            owner.run(owner.scheduler.attempts.fail_partial(run))
        for job in list(self.jobs.values()):
            self._queue_job(job)

    async def _queue_later(self, silent: list[HostWatch], until: float) -> None:
        while self.owner.now() < until and any(not w.cleared for w in silent):
            await asyncio.sleep(TICK_TIME)
        for watch in silent:
            watch.answered = True
        self.queue_unfound()

    def cancel(self, name: str) -> None:
        """Cancel every task of a job: none starts any more."""
        job = self.jobs.get(name)
        if job is None:
            return
        job.cancelled = True
        scheduler = self.owner.scheduler
        for index in range(job.accepted.count):
            self.owner.run(scheduler.cancel(f"{name}/{index}", self.owner.now()))

    def adopt(self, name: AttemptName, host: str) -> bool:
        """Take over a task that a host runs; return whether it is known now."""
        job_name, index = job_of(name.key)
        job = self.jobs.get(job_name)
        if job is None or index in job.ended or job.cancelled:
            return False
        scheduler = self.owner.scheduler
        item = scheduler.shard.items.get(name.key)
        if item is not None and item.state == "waiting":
            scheduler.attempts.withdraw(item)
            item = None
        item = item or self._item(job, index)
        if item is None:
            return False
        return scheduler.adopt(item, name, host, self.owner.now())

    # Attempts

    async def start(self, effect: StartTask, member: int) -> None:
        """Start one member on its host."""
        owner = self.owner
        key = effect.item.key
        watch = owner.watches[effect.hosts[member]]
        start = _start_of(effect, member)
        try:
            if not owner.ports.is_certain():
                raise NotSentError("claim is not certain", step="owner")
            await owner.ports.upstreams.start(watch.host, owner.epoch, start)
            owner.scheduler.started(key)
        except NotSentError:
            self._not_started(key, member)
        except StaleEpochError:
            owner.go_stale()
            self._not_started(key, member)
        except OutcomeUnknownError:
            owner.ports.count("retry", "start_unknown")
        finally:
            watch.starting.discard(start.attempt)
            watch.settled_at = owner.now()

    def _not_started(self, key: str, member: int) -> None:
        owner = self.owner
        owner.ports.count("retry", End.NOT_SENT.value)
        owner.run(owner.scheduler.ended(key, member, End.NOT_SENT, owner.now()))

    def finished(self, key: str, end: End) -> None:
        """Put the end of an item on record."""
        self.record_end(key, OUTCOMES.get(end, "failed"))

    def record_end(self, key: str, outcome: str) -> None:
        """Put the outcome of a task or gang on record."""
        name, index = job_of(key)
        job = self.jobs.get(name)
        if job is None:
            return
        self._unrecorded.add(key)
        job.ended[index] = outcome
        job.unrecorded += 1
        fut = self.owner.ports.ended(name, index, outcome)
        fut.add_done_callback(lambda _: self._recorded(key))

    def _recorded(self, key: str) -> None:
        self._unrecorded.discard(key)
        self._acknowledge_all(key)
        name, _ = job_of(key)
        job = self.jobs[name]
        job.unrecorded -= 1
        if not job.unrecorded and len(job.ended) >= job.accepted.count:
            del self.jobs[name]

    def outcomes(self, name: str) -> dict[int, str]:
        """Return the outcomes by index of a job that has not settled here."""
        job = self.jobs.get(name)
        return job.ended if job is not None else {}

    def acknowledge(self, key: str, watch: HostWatch, attempt: str) -> None:
        """Let a host forget an ended attempt once nothing depends on it.

        A host keeps what it ran until the end of the whole item is on record,
        or until the item waits for another try.
        """
        self._unacked.setdefault(key, []).append((watch, attempt))
        running = key in self.owner.scheduler.shard.running
        if not running and key not in self._unrecorded:
            self._acknowledge_all(key)

    def _acknowledge_all(self, key: str) -> None:
        for watch, attempt in self._unacked.pop(key, []):
            watch.recording.discard(attempt)
            watch.acked.append(attempt)


def _start_of(effect: StartTask, member: int) -> TaskStart:
    item = effect.item
    need = item.workload.demand
    return TaskStart(
        task_name(item.key, member),
        attempt_name(effect.attempt, member),
        item.workload.name,
        need.cpu_milli,
        need.memory_mib,
        need.accelerators,
        item.payload,
        TASK_LEASE,
    )
