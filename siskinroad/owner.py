"""A shard in this daemon's hands: the scheduler's effects carried out."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from siskinroad.cell import Cell, Host, Workload
from siskinroad.effects import ControlTask, Effect, End, Finished, Refused, StartTask
from siskinroad.errors import (
    NotSentError,
    Outcome,
    OutcomeUnknownError,
    Reason,
    Refusal,
    StaleEpochError,
)
from siskinroad.hostwatch import TASK_LEASE, HostWatch, watch_host
from siskinroad.ledger import JobState
from siskinroad.queues import Item
from siskinroad.resources import Resources
from siskinroad.scheduler import TICK_TIME, Scheduler
from siskinroad.upstreams import Answer, TaskStart, Upstreams

__all__ = ["OwnerPorts", "ShardOwner", "job_of"]

SERVER_ERROR = 500
RELEASE_POLL = 0.02

log = logging.getLogger("siskinroad.owner")


@dataclass(slots=True, frozen=True)
class OwnerPorts:
    """What an owner needs of its daemon.

    Attributes
    ----------
    may_place : callable
        Returns whether requests may be sent to the shard's hosts just now.
    is_certain : callable
        Returns whether tasks may be started there just now.
    ended : callable
        Takes job, index and outcome of a task that has ended for good and
        returns a future that is done once this is on record.
    count : callable
        Counts an event by name and label.
    waited : callable
        Notes the seconds that an item waited before its start.
    """

    upstreams: Upstreams
    may_place: Callable[[], bool]
    is_certain: Callable[[], bool]
    ended: Callable[[str, int, str], asyncio.Future[int]]
    count: Callable[[str, str], None]
    waited: Callable[[Workload, float], None]
    rng: random.Random


@dataclass(slots=True)
class _Request:
    fut: asyncio.Future[Answer]
    path: str
    body: bytes
    answer: Answer | None = None
    sent: bool = False
    maybe_ran: bool = False


def job_of(key: str) -> tuple[str, int]:
    """Return the job and index of a batch task's or gang's key."""
    job, _, index = key.rpartition("/")
    return job, int(index) if index.isdecimal() else -1


class ShardOwner:
    """Places work on one shard from its take-over to its release.

    Parameters
    ----------
    shard, epoch : str, int
        The claim under which this daemon places work.
    hosts : list of Host
        The shard's hosts.
    """

    def __init__(
        self, shard: str, epoch: int, cell: Cell, hosts: list[Host], ports: OwnerPorts
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.shard = shard
        self.epoch = epoch
        self.ports = ports
        self.scheduler = Scheduler(cell, ports.rng, now)
        self.scheduler.paused = True
        self.jobs: dict[str, JobState] = {}
        self.stale = False
        self.watches: dict[str, HostWatch] = {}
        self._requests: dict[str, _Request] = {}
        self._unrecorded: set[str] = set()
        self._unacked: dict[str, list[tuple[HostWatch, str]]] = {}
        self._sending: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        for host in hosts:
            self._add_host(host)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _add_host(self, host: Host) -> None:
        self.scheduler.add_host(host, self._now())
        self.watches[host.name] = HostWatch(host)

    # Life

    async def take(self) -> None:
        """Ask every host what it runs, then start to place work."""
        async with asyncio.TaskGroup() as group:
            for watch in self.watches.values():
                group.create_task(self._first_inventory(watch))
        if self._closed:
            return
        for watch in self.watches.values():
            self._spawn(watch_host(self, watch))
        self._spawn(self._tick())
        self._requeue_unfound()
        self.resume()

    async def _first_inventory(self, watch: HostWatch) -> None:
        await watch.ask(self, wait=0.0, renew=True)

    def resume(self) -> None:
        """Start work again; this is called when the claim is certain."""
        if not self._closed:
            self.run(self.scheduler.resume(self._now()))

    def suspend(self, *, requests: bool = False) -> None:
        """Start nothing until resumed, or requests only."""
        self.scheduler.paused = not requests
        self.scheduler.requests_only = requests

    async def release(self) -> None:
        """Start nothing more and wait until no start of a task is under way.

        Requests in progress go on; the next owner sees them on the hosts.
        """
        self.suspend()
        while any(watch.starting for watch in self.watches.values()):
            await asyncio.sleep(RELEASE_POLL)

    def close(self) -> None:
        """Stop deciding; what was sent is answered as far as is known.

        Requests that still wait are refused as not run, so that the callers'
        daemons send them to the next owner.
        """
        self._closed = True
        self.scheduler.paused = True
        for key, req in list(self._requests.items()):
            if not req.sent:
                self._hand_back(key)
        for task in self._tasks - self._sending:
            task.cancel()

    def _hand_back(self, key: str) -> None:
        self._answer(key, Refusal(Reason.NO_OWNER, step="owner", retry_after=0.1))

    async def idle(self) -> None:
        """Wait until every request and start that was sent has its answer."""
        while self._sending:
            await asyncio.wait(set(self._sending))

    @property
    def requests(self) -> int:
        """Requests that are waiting or in progress."""
        return len(self._requests)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._sending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("owner: %s failed", self.shard, exc_info=task.exception())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_TIME)
            self.run(self.scheduler.tick(self._now()))

    def configure(self, cell: Cell, hosts: list[Host]) -> None:
        """Put another configuration in force."""
        now = self._now()
        names = {host.name for host in hosts}
        for name in [name for name in self.watches if name not in names]:
            watch = self.watches.pop(name)
            watch.removed = True
            self.run(self.scheduler.remove_host(name, now))
        self.run(self.scheduler.configure(cell, now))
        for host in hosts:
            if host.name not in self.watches:
                self._add_host(host)
                self._spawn(watch_host(self, self.watches[host.name]))
            self.watches[host.name].host = host

    def host_event(self, name: str, event: str) -> None:
        """Apply an event of the ``upstream`` chart to a host."""
        self.run(self.scheduler.host_event(name, event, self._now()))

    # Requests

    def submit(
        self, key: str, workload: Workload, path: str, body: bytes, deadline: float
    ) -> asyncio.Future[Answer]:
        """Queue a caller's request.

        Returns
        -------
        asyncio.Future
            Its result is the upstream's whole answer; it fails with ``Refusal``.
        """
        now = self._now()
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if self._closed:
            fut.set_exception(Refusal(Reason.NO_OWNER, step="owner", retry_after=0.1))
            return fut
        if workload.start_within > 0:
            deadline = min(deadline, now + workload.start_within)
        item = Item(key, workload, now, deadline)
        self._requests[key] = _Request(fut, path, body)
        self.run(self.scheduler.submit(item, now))
        return fut

    def cancel_request(self, key: str) -> None:
        """Cancel a request whose caller no longer waits."""
        self.run(self.scheduler.cancel(key, self._now()))

    async def _send_request(self, effect: StartTask) -> None:
        item = effect.item
        req = self._requests[item.key]
        host = self.watches[effect.hosts[0]].host
        end = End.UNKNOWN
        try:
            if not self.ports.may_place():
                raise NotSentError("claim is not certain", step="owner")
            req.sent = True
            answer = await self.ports.upstreams.request(
                host,
                effect.attempt,
                self.epoch,
                req.path,
                req.body,
                item.workload.timeout,
            )
            req.answer = answer
            end = End.DONE if answer.status < SERVER_ERROR else End.FAILED
        except Refusal:
            end = End.REJECTED
        except NotSentError:
            end = End.NOT_SENT
        except StaleEpochError:
            end = End.NOT_SENT
            self.go_stale()
        except OutcomeUnknownError:
            end = End.UNKNOWN
        req.sent = False
        req.maybe_ran |= end in (End.UNKNOWN, End.FAILED)
        if end is not End.DONE:
            self.ports.count("retry", end.value)
        self.run(self.scheduler.ended(item.key, 0, end, self._now()))
        if self._closed and item.state == "waiting":
            self._hand_back(item.key)

    def go_stale(self) -> None:
        """Stop placing, since a host has seen a later owner's epoch."""
        if not self.stale:
            self.stale = True
            self.suspend()
            log.warning("owner: %s was claimed by another daemon", self.shard)

    # Jobs

    def accept(self, state: JobState) -> None:
        """Queue the tasks of an accepted job that have not ended."""
        job = state.accepted.job
        if job in self.jobs or state.settled:
            return
        self.jobs[job] = state
        for index in range(state.accepted.count):
            self._queue_task(state, index)

    def _item(self, state: JobState, index: int) -> Item | None:
        cell = self.scheduler.shard.cell
        workload = cell.workloads.get(state.accepted.workload)
        if workload is None:
            return None
        key = f"{state.accepted.job}/{index}"
        return Item(key, workload, self._now(), payload=state.accepted.payload)

    def _queue_task(self, state: JobState, index: int) -> None:
        key = f"{state.accepted.job}/{index}"
        if index in state.ended or key in self.scheduler.shard.items:
            return
        item = self._item(state, index)
        if item is None:
            self.ports.ended(state.accepted.job, index, "refused")
        elif state.cancelled:
            self.ports.ended(state.accepted.job, index, "cancelled")
        else:
            self.run(self.scheduler.requeue(item, self._now()))

    def restore(self, states: list[JobState]) -> None:
        """Note the jobs homed here before the hosts are asked what they run."""
        for state in states:
            if not state.settled:
                self.jobs[state.accepted.job] = state

    def _requeue_unfound(self) -> None:
        """Queue what no host runs, once no host can be running it unseen."""
        silent = [w for w in self.watches.values() if not w.answered]
        if silent:
            wait = TASK_LEASE + 1.0
            log.info("owner: %s waits %.0f s for silent hosts", self.shard, wait)
            self._spawn(self._requeue_later(silent, self._now() + wait))
            return
        for run in list(self.scheduler.shard.running.values()):
            self.run(self.scheduler.attempts.fail_partial(run))
        for state in list(self.jobs.values()):
            for index in range(state.accepted.count):
                self._queue_task(state, index)

    async def _requeue_later(self, silent: list[HostWatch], until: float) -> None:
        while self._now() < until and any(not w.cleared for w in silent):
            await asyncio.sleep(TICK_TIME)
        for watch in silent:
            watch.answered = True
        self._requeue_unfound()

    def cancel_job(self, job: str) -> None:
        """Cancel every task of a job: none starts any more."""
        state = self.jobs.get(job)
        if state is None:
            return
        state.cancelled = True
        for index in range(state.accepted.count):
            key = f"{job}/{index}"
            self.run(self.scheduler.cancel(key, self._now()))

    def adopt(self, attempt: str, host: str) -> bool:
        """Take over a task that a host runs; return whether it is known now."""
        name, _, member = attempt.rpartition("~")
        key = name.rpartition("#")[0]
        job, index = job_of(key)
        state = self.jobs.get(job)
        if state is None or index in state.ended or state.cancelled:
            return False
        item = self.scheduler.shard.items.get(key)
        if item is None:
            item = self._item(state, index)
        elif item.state == "waiting":
            self.scheduler.attempts.withdraw(item)
            item = self._item(state, index)
        if item is None or not member.isdecimal():
            return False
        now = self._now()
        return self.scheduler.adopt(item, name, int(member), host, now)

    async def _start_task(self, effect: StartTask, member: int) -> None:
        item = effect.item
        watch = self.watches[effect.hosts[member]]
        need = item.workload.demand
        start = TaskStart(
            f"{item.key}~{member}",
            f"{effect.attempt}~{member}",
            item.workload.name,
            need.cpu_milli,
            need.memory_mib,
            need.accelerators,
            item.payload,
            TASK_LEASE,
        )
        try:
            if not self.ports.is_certain():
                raise NotSentError("claim is not certain", step="owner")
            await self.ports.upstreams.start(watch.host, self.epoch, start)
            self.scheduler.started(item.key)
        except NotSentError:
            self._not_started(item.key, member)
        except StaleEpochError:
            self.go_stale()
            self._not_started(item.key, member)
        except OutcomeUnknownError:
            self.ports.count("retry", "start_unknown")
        finally:
            watch.starting.discard(start.attempt)
            watch.settled_at = self._now()

    def _not_started(self, key: str, member: int) -> None:
        self.ports.count("retry", End.NOT_SENT.value)
        self.run(self.scheduler.ended(key, member, End.NOT_SENT, self._now()))

    # Effects

    def run(self, effects: list[Effect]) -> None:
        """Carry out what the scheduler has decided, in order."""
        for effect in effects:
            match effect:
                case StartTask():
                    self._start(effect)
                case ControlTask():
                    self._spawn(self._control(effect))
                case Refused():
                    self._refused(effect)
                case Finished():
                    self._finished(effect)

    def _start(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1:
            self.ports.waited(item.workload, self._now() - item.enqueued)
        if item.workload.kind == "service":
            self._sending.add(self._spawn(self._send_request(effect)))
            return
        for member, host in enumerate(effect.hosts):
            # Noted before the first step of the coroutine, since the inventory
            # being taken in just now may be older than this decision.
            self.watches[host].starting.add(f"{effect.attempt}~{member}")
            self._sending.add(self._spawn(self._start_task(effect, member)))

    async def _control(self, effect: ControlTask) -> None:
        watch = self.watches.get(effect.host)
        if watch is None or effect.key in self._requests:
            return
        attempt = f"{effect.attempt}~{effect.member}"
        self.ports.count("control", effect.do.value)
        try:
            await self.ports.upstreams.control(
                watch.host, self.epoch, attempt, effect.do
            )
        except StaleEpochError:
            self.go_stale()
        except (NotSentError, OutcomeUnknownError):
            watch.again.append(effect)

    def _refused(self, effect: Refused) -> None:
        key = effect.item.key
        refusal = effect.refusal
        if key not in self._requests:
            self._record_end(key, refusal.reason.value)
            return
        req = self._requests[key]
        failed = refusal.reason in (Reason.UPSTREAM_FAILED, Reason.RETRIES_EXHAUSTED)
        if failed and req.answer is not None:
            self._answer(key, req.answer)
        else:
            self._answer(key, refusal)

    def _finished(self, effect: Finished) -> None:
        key = effect.item.key
        req = self._requests.get(key)
        if req is None:
            outcome = {End.DONE: "done", End.STOPPED: "cancelled"}
            self._record_end(key, outcome.get(effect.end, "failed"))
        elif req.answer is not None:
            self._answer(key, req.answer)
        else:
            refusal = Refusal(Reason.CANCELLED, step="owner", outcome=Outcome.UNKNOWN)
            self._answer(key, refusal)

    def _answer(self, key: str, result: Answer | Refusal) -> None:
        req = self._requests.pop(key)
        fut = req.fut
        if fut.done():
            return
        if isinstance(result, Refusal):
            if req.maybe_ran:
                result.outcome = Outcome.UNKNOWN
            fut.set_exception(result)
            fut.exception()
        else:
            fut.set_result(result)

    def _record_end(self, key: str, outcome: str) -> None:
        job, index = job_of(key)
        if job not in self.jobs:
            return
        self._unrecorded.add(key)
        fut = self.ports.ended(job, index, outcome)
        fut.add_done_callback(lambda _: self._recorded(key))
        state = self.jobs[job]
        state.ended.setdefault(index, outcome)
        if state.settled:
            del self.jobs[job]

    def _recorded(self, key: str) -> None:
        self._unrecorded.discard(key)
        self._acknowledge_all(key)

    def acknowledge(self, key: str, watch: HostWatch, attempt: str) -> None:
        """Let a host forget an ended attempt once nothing depends on it.

        A host keeps what it ran until the end of the whole item is on record,
        or until the item waits for another try.
        """
        self._unacked.setdefault(key, []).append((watch, attempt))
        pending = key in self._unrecorded or key in self.scheduler.shard.running
        if not pending:
            self._acknowledge_all(key)

    def _acknowledge_all(self, key: str) -> None:
        for watch, attempt in self._unacked.pop(key, []):
            watch.recording.discard(attempt)
            watch.acked.append(attempt)

    # News for others

    def free_slots(self) -> int:
        """Return the room for one more request, in slots."""
        if self.scheduler.paused:
            return 0
        pools = self.scheduler.shard.pools.values()
        return sum(state.index.free_slots for state in pools)

    def waits(self) -> dict[str, float]:
        """Return the expected wait of each workload that has one, in seconds."""
        now = self._now()
        lanes = self.scheduler.shard.waiting.lanes
        waits = {name: lane.expected_wait(now) for name, lane in lanes.items()}
        return {name: round(wait, 2) for name, wait in waits.items() if wait > 0.01}

    def used(self) -> tuple[Resources, Resources]:
        """Return what is given away and the capacity of the open hosts."""
        used = Resources()
        total = Resources()
        for view in self.scheduler.shard.views():
            if view.open:
                used = used + view.used()
                total = total + view.capacity
        return used, total
