"""Shards owned by this daemon, from takeover to release."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

from siskinroad.appender import Appender
from siskinroad.cell import Cell, Host, Workload
from siskinroad.errors import PlatformError, Reason, Refusal
from siskinroad.idempotency import IdempotencyGuard
from siskinroad.ledger import Ledger
from siskinroad.messages import ShardUpdate
from siskinroad.metrics import Metrics
from siskinroad.owner import ShardOwner
from siskinroad.owner_context import OwnerPorts
from siskinroad.ownership import (
    Append,
    DropShard,
    Ownership,
    OwnershipEffect,
    ReleaseShard,
    ResumeShard,
    SuspendShard,
    TakeOverShard,
)
from siskinroad.platform import HostState
from siskinroad.records import (
    ClaimReleased,
    JobAccepted,
    JobCancelled,
    Record,
    TasksEnded,
)
from siskinroad.request_handler import Request
from siskinroad.routing import Place, ShardLoad
from siskinroad.upstreams import UpstreamClient, UpstreamResponse

__all__ = ["OwnedShards"]

# Seconds after which the append of a claim record fails; the record may be stored
# nevertheless.
CLAIM_APPEND_TIMEOUT = 2.0
# Time-out, in seconds, of records that must be stored however long the log is
# unavailable.
NO_TIMEOUT = float("inf")
# Seconds after which a release that the appender refused is appended again. A shorter
# time loads an appender that has too many records already.
RELEASE_RETRY_INTERVAL = 1.0

log = logging.getLogger("siskinroad.shards")


class OwnedShards:
    """Shard owners of this daemon, which follow the decisions of ``Ownership``.

    Parameters
    ----------
    appender : Appender
        Appender of the data centre's log stream.
    guard : IdempotencyGuard
        Runs requests that have an idempotency key.
    read_log : callable
        Makes the daemon read the log at once.
    """

    def __init__(
        self,
        place: Place,
        ownership: Ownership,
        ledger: Ledger,
        appender: Appender,
        guard: IdempotencyGuard,
        upstreams: UpstreamClient,
        metrics: Metrics,
        rng: random.Random,
        read_log: Callable[[], None],
    ) -> None:
        self.place = place
        self.ownership = ownership
        self.ledger = ledger
        self.appender = appender
        self.guard = guard
        self.upstreams = upstreams
        self.metrics = metrics
        self.rng = rng
        self.read_log = read_log
        self.cell: Cell | None = None
        self.owners: dict[str, ShardOwner] = {}
        self.retiring: set[ShardOwner] = set()
        self.host_list: dict[str, HostState] = {}
        self._hosts: dict[str, list[Host]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "shards: background task failed; not restarted",
                exc_info=task.exception(),
            )

    # Configuration, host list and records

    def configure(self, cell: Cell) -> None:
        """Apply a cell configuration to every owned shard."""
        self.cell = cell
        self._hosts = cell.shards(self.place.data_centre)
        fencing = {
            shard: cell.pools[hosts[0].pool].fencing
            for shard, hosts in self._hosts.items()
        }
        self.ownership.set_shards(fencing)
        for shard, owner in self.owners.items():
            if shard in self._hosts:
                owner.configure(cell, self._hosts[shard])
                self._apply_host_list(owner)

    def set_host_list(self, host_list: dict[str, HostState]) -> None:
        """Apply the platform's list of the data centre's hosts."""
        self.host_list = host_list
        terminated = {
            name for name, state in host_list.items() if state is HostState.GONE
        }
        self.ownership.set_terminated(terminated, self._now())
        for owner in self.owners.values():
            self._apply_host_list(owner)

    def _apply_host_list(self, owner: ShardOwner) -> None:
        for name, monitor in owner.monitors.items():
            state = self.host_list.get(name)
            monitor.is_listed_leaving = state is HostState.LEAVING
            match state:
                case HostState.LEAVING:
                    owner.host_event(name, "leave")
                case HostState.GONE:
                    monitor.reports_leaving = False
                    owner.host_event(name, "gone")
                case HostState.LIVE if monitor.may_rejoin:
                    owner.host_event(name, "rejoin")

    def apply_records(self, records: list[Record]) -> None:
        """Pass to the owners the job records that the ledger has just applied."""
        for record in records:
            match record:
                case JobAccepted() if record.job in self.ledger.jobs:
                    # Of several records of a job the first sets its shard.
                    state = self.ledger.jobs[record.job]
                    if state.accepted.shard in self.owners:
                        self.owners[state.accepted.shard].tasks.accept(state)
                case TasksEnded():
                    self._apply_outcomes(record)
                case JobCancelled() if record.job in self.ledger.jobs:
                    shard = self.ledger.jobs[record.job].accepted.shard
                    if shard in self.owners:
                        self.owners[shard].tasks.cancel(record.job)

    def _apply_outcomes(self, record: TasksEnded) -> None:
        outcomes = dict.fromkeys(record.indices, record.outcome)
        # A settled job may have been removed from the ledger by its last record.
        state = self.ledger.jobs.get(record.job)
        is_settled = state is None or state.settled
        for owner in self.owners.values():
            owner.tasks.apply_outcomes(record.job, outcomes, is_settled=is_settled)

    def apply_snapshot(self) -> None:
        """Pass to the owners the jobs that the ledger has read from a snapshot."""
        for state in list(self.ledger.jobs.values()):
            owner = self.owners.get(state.accepted.shard)
            if owner is None:
                continue
            owner.tasks.apply_outcomes(
                state.accepted.job, state.ended, is_settled=state.settled
            )
            owner.tasks.accept(state)
            if state.cancelled:
                owner.tasks.cancel(state.accepted.job)

    # Ownership

    def tick(self) -> None:
        """Carry out the ownership decisions that are due."""
        now = self._now()
        for shard, owner in self.owners.items():
            if owner.is_stale:
                self.ownership.record_rejection(shard, owner.epoch, now)
        for effect in self.ownership.tick(now):
            self._carry_out(effect)

    def _carry_out(self, effect: OwnershipEffect) -> None:
        match effect:
            case Append(record=record):
                self.appender.append(record, CLAIM_APPEND_TIMEOUT)
            case TakeOverShard():
                self._spawn(self._try_take_over(effect))
            case SuspendShard(shard=shard):
                self._count_claim_event("suspend")
                if shard in self.owners:
                    has_fencing = self.ownership.shards.get(shard, False)
                    self.owners[shard].suspend(requests=has_fencing)
            case ResumeShard(shard=shard):
                self._count_claim_event("resume")
                if shard in self.owners:
                    self.owners[shard].resume()
            case ReleaseShard():
                self._spawn(self._release(effect))
            case DropShard(shard=shard):
                self._count_claim_event("lose")
                self._drop(shard)

    def _count_claim_event(self, event: str) -> None:
        self.metrics.claims.labels(event).inc()

    async def _try_take_over(self, effect: TakeOverShard) -> None:
        """Take a shard over; after an unexpected error, let it be claimed again."""
        try:
            await self._take_over(effect)
        except Exception:
            log.exception(
                "shards: takeover of shard %s at epoch %d failed; it is claimed again",
                effect.shard,
                effect.epoch,
            )
            owner = self.owners.get(effect.shard)
            if owner is not None and owner.epoch == effect.epoch:
                self._drop(effect.shard)
            self.ownership.abandon_takeover(effect.shard, effect.epoch, self._now())

    async def _take_over(self, effect: TakeOverShard) -> None:
        shard = effect.shard
        hosts = self._hosts.get(shard)
        if self.cell is None or hosts is None:
            return
        self._drop(shard)
        ports = self._make_ports(shard)
        owner = ShardOwner(shard, effect.epoch, self.cell, hosts, ports)
        self.owners[shard] = owner
        self._apply_host_list(owner)
        job_states = self.ledger.jobs.values()
        owner.tasks.restore(
            [state for state in job_states if state.accepted.shard == shard]
        )
        await owner.take_over()
        if self.owners.get(shard) is not owner:
            return
        if not self.ownership.finish_takeover(shard, effect.epoch):
            self._drop(shard)
            return
        owner.resume()
        self._count_claim_event("take")
        log.info("shards: took over shard %s at epoch %d", shard, effect.epoch)

    def _make_ports(self, shard: str) -> OwnerPorts:
        return OwnerPorts(
            self.upstreams,
            lambda: self.ownership.may_place(shard, self._now()),
            lambda: self.ownership.may_start_tasks(shard, self._now()),
            lambda: self.ownership.is_certain(shard, self._now()),
            lambda: self.ownership.confirmed_at,
            self.read_log,
            self._record_outcome,
            self._count_owner_event,
            self._observe_wait,
            self.rng,
        )

    def _record_outcome(
        self, job: str, index: int, outcome: str
    ) -> asyncio.Future[int]:
        return self.appender.append(TasksEnded(job, [index], outcome), NO_TIMEOUT)

    def _count_owner_event(self, name: str, label: str) -> None:
        match name:
            case "retry":
                self.metrics.retries.labels(label).inc()
            case "control":
                self.metrics.task_controls.labels(label).inc()
            case _:
                self.metrics.host_events.labels(label).inc()

    def _observe_wait(self, workload: Workload, seconds: float) -> None:
        urgency = workload.urgency.name.lower()
        self.metrics.wait_seconds.labels(urgency, workload.owner).observe(seconds)

    async def _release(self, effect: ReleaseShard) -> None:
        owner = self.owners.get(effect.shard)
        if owner is not None:
            await owner.release()
        self._drop(effect.shard)
        self._count_claim_event("release")
        await self._record_release(ClaimReleased(effect.shard, effect.epoch))
        log.info("shards: released shard %s at epoch %d", effect.shard, effect.epoch)

    async def _record_release(self, record: ClaimReleased) -> None:
        """Store a release, again if the appender refuses it.

        No other daemon claims the shard of a live daemon before that.
        """
        while True:
            try:
                await self.appender.append(record, NO_TIMEOUT)
                return
            except PlatformError:
                await asyncio.sleep(RELEASE_RETRY_INTERVAL)

    def _drop(self, shard: str) -> None:
        owner = self.owners.pop(shard, None)
        if owner is None:
            return
        owner.close()
        self.retiring.add(owner)
        self._spawn(self._retire(owner))

    async def _retire(self, owner: ShardOwner) -> None:
        await owner.wait_idle()
        self.retiring.discard(owner)

    # Requests

    async def run(self, shard: str, req: Request) -> UpstreamResponse:
        """Run a caller's request on an owned shard.

        Raises
        ------
        Refusal
            ``NO_OWNER`` if this daemon does not own the shard,
            ``OWNERSHIP_UNCERTAIN`` if its ownership is uncertain.
        """
        owner = self.owners.get(shard)
        if owner is None:
            raise Refusal(Reason.NO_OWNER, step="owner", retry_after=0.5)
        if not self.ownership.may_place(shard, self._now()):
            raise Refusal(Reason.OWNERSHIP_UNCERTAIN, step="owner", retry_after=2.0)
        if req.key:
            name = req.workload.name
            return await self.guard.run(
                req.key, name, req.body, lambda: self._submit_request(owner, req)
            )
        return await self._submit_request(owner, req)

    async def _submit_request(
        self, owner: ShardOwner, req: Request
    ) -> UpstreamResponse:
        key = f"r{self.appender.writer}-{self._next_sequence()}"
        fut = owner.requests.submit(key, req.workload, req.path, req.body, req.deadline)
        try:
            return await fut
        except asyncio.CancelledError:
            owner.requests.cancel(key)
            raise

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    # Updates for peers and routing

    def shard_updates(self) -> list[ShardUpdate]:
        """Return an update for peers about each owned shard that accepts work."""
        return [
            ShardUpdate(shard, owner.epoch, owner.free_slots(), owner.expected_waits())
            for shard, owner in self.owners.items()
            if not owner.scheduler.is_paused
        ]

    def loads(self) -> list[ShardLoad]:
        """Return the loads of the owned shards for routing."""
        now = self._now()
        return [
            ShardLoad(
                update.shard,
                update.shard.partition("/")[0],
                self.ownership.name,
                self.place,
                update.free,
                update.waits,
                now,
            )
            for update in self.shard_updates()
        ]

    @property
    def request_count(self) -> int:
        """Number of requests queued or in progress, including at retiring owners."""
        owners = [*self.owners.values(), *self.retiring]
        return sum(len(owner.requests) for owner in owners)

    def close(self) -> None:
        """Close every owner and cancel all background tasks; release no claim."""
        for shard in list(self.owners):
            self._drop(shard)
        for task in list(self._background_tasks):
            task.cancel()
