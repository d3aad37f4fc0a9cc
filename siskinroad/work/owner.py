"""The owner of a pool: carries out what its book and planner decide."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from siskinroad.errors import NotSentError, OutcomeUnknownError, SiskinroadError
from siskinroad.work.batcher import Batcher
from siskinroad.work.book import Book
from siskinroad.work.claim import PRODUCER, Inheritance, release_pool
from siskinroad.work.effects import (
    AskAdvice,
    Effect,
    PaceRun,
    SettleHost,
    StartRun,
    StopRun,
)
from siskinroad.work.follow import Follower
from siskinroad.work.host import LEASE_TIME, Host, Run
from siskinroad.work.hosts import HostLink, Order, Rejection, StartOrder
from siskinroad.work.job import Job
from siskinroad.work.lines import AdviceLines
from siskinroad.work.model import HostEntry, Setup, Timing
from siskinroad.work.planner import Planner
from siskinroad.work.records import (
    Accepted,
    Cancelled,
    HostSet,
    OwnerRecord,
    job_topic,
    progress_topic,
    record_of,
    unpack,
)
from siskinroad.work.steward import Steward
from siskinroad.work.store import (
    Fence,
    FencedError,
    Newest,
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["RIGHT_TIME", "Deposed", "OwnerParts", "PoolOwner"]

# Seconds after its last confirmed read of the claims for which an owner goes on
# without the store. Outages of the store are shorter; a successor that does not
# know the owner dead waits this long before it gives up silent hosts.
RIGHT_TIME = 10.0
TICK_TIME = 0.2
# Seconds by which events are gathered before the next plan.
PLAN_PAUSE = 0.004
# Seconds between two records of progress, so that one append carries many ends.
FLUSH_SPACING = 0.08
FLUSH_RETRY = 0.25
HOLD_WAIT = 1.0
HOLD_ANSWER = 0.8
HOLD_RETRY = 0.2
# Seconds for which a report's ends may wait for their record before the next call.
RECORD_PATIENCE = 0.6
ORDER_TIME = 0.7
# Orders on their way to one host; more would open more connections.
ORDERS_PER_HOST = 3
SETTLE_RETRY = 0.25
EARLY_TIME = 0.05
# Records of one append: the store bounds the bytes of a call.
MAX_RECORDS = 400

log = logging.getLogger("siskinroad.owner")


class Deposed(SiskinroadError):
    """Another daemon has claimed the pool."""


@dataclass(slots=True, frozen=True)
class OwnerParts:
    """What an owner works with; the same for every pool of a daemon."""

    node: str
    incarnation: int
    store: Store
    link: HostLink
    lines: AdviceLines
    timing: Timing
    metrics: WorkMetrics
    wall: Callable[[], float]
    is_later_life: Callable[[str, int], bool]


@dataclass(slots=True, frozen=True)
class _Batch:
    """One append of progress, and what it lets the owner show and acknowledge."""

    records: tuple[Record, ...]
    outcomes: tuple[tuple[Job, str], ...]
    hosts: HostSet
    marks: tuple[tuple[str, int, int], ...]


class PoolOwner:
    """One term of one pool.

    Parameters
    ----------
    found : Inheritance
        What the claim has found in the store.
    """

    def __init__(
        self, pool: str, parts: OwnerParts, found: Inheritance, setup: Setup
    ) -> None:
        self.pool = pool
        self.parts = parts
        self.term = found.term
        self.book = Book(pool, found.term)
        self.book.configure(setup)
        self.planner = Planner(self.book)
        self.steward = Steward(self.book, parts.timing)
        self.right_until = -1e9
        self.former = found.former
        self._former_alone = found.former_alone
        self._former_released = found.released_term >= found.former_term
        self._sequence = 0
        self._recorded_hosts: HostSet | None = found.hosts
        self._batch: _Batch | None = None
        self._plan_wanted = asyncio.Event()
        self._flush_wanted = asyncio.Event()
        self._flushed = asyncio.Event()
        self._orders: dict[str, asyncio.Semaphore] = {}
        self._holding: dict[str, asyncio.Task[None]] = {}
        self._group: asyncio.TaskGroup | None = None
        self._cancel_waiters: dict[str, asyncio.Event] = {}
        self._load(found)
        self.follower = Follower(parts.store, job_topic(pool), self._take_records)
        self.follower.next = found.next
        # The claim has read all that came before it.
        self.follower.confirmed_at = asyncio.get_running_loop().time()
        self.intake = Batcher(parts.store, job_topic(pool), self._stored)

    def _stored(self, records: list[Record]) -> None:
        """Begin jobs that are known to be in the store, before they are read."""
        loop = asyncio.get_running_loop()
        for record in records:
            # Nothing that is stored under this term can be known to a former owner.
            item = Newest(record.key, record.value, self.term)
            self._take_record(item, loop.time(), self.parts.wall())
        self._plan_wanted.set()

    def _load(self, found: Inheritance) -> None:
        loop = asyncio.get_running_loop()
        now, wall = loop.time(), self.parts.wall()
        book = self.book
        if found.former is None:
            book.settled = True
        else:
            book.settled = False
            names = found.hosts.names if found.hosts else ()
            book.expect_hosts(names, now + RIGHT_TIME + LEASE_TIME * 1.1)
            self._check_former(now)
        for accepted in found.accepted.values():
            book.accept(accepted, now, wall, fresh=False)
        for progress in found.progress.values():
            book.restore(progress, now)
        for job_id in found.cancelled:
            book.cancel(job_id, now, wall)
        self.right_until = now + RIGHT_TIME
        log.info(
            "owner: begins its term",
            extra={
                "pool": self.pool,
                "term": self.term,
                "former": found.former.node if found.former else None,
                "jobs": len(found.accepted),
                "hosts": len(found.hosts.names) if found.hosts else 0,
            },
        )

    def _check_former(self, now: float) -> None:
        """Shorten the wait for silent hosts once the former owner is dead."""
        former = self.former
        if former is None or not self._former_alone:
            return
        later = self.parts.is_later_life(former.node, former.incarnation)
        if self._former_released or later:
            self.book.former_gone(now + LEASE_TIME * 1.1)
            self.former = None

    # Life

    async def run(self) -> None:
        """Own the pool until cancelled.

        Raises
        ------
        Deposed
            Another daemon has claimed the pool.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                group.create_task(self.follower.run())
                group.create_task(self._run_plans())
                group.create_task(self._run_flushes())
                group.create_task(self._run_ticks())
        except* Deposed as excs:
            raise excs.exceptions[0] from None
        finally:
            self._group = None
            self.intake.close()

    async def release(self) -> None:
        """Record what is known and give the pool up; to be called after ``run``."""
        try:
            while self.book.dirty or self._batch is not None:
                await self._flush()
            await release_pool(self.parts.store, self.pool, self.term)
        except SiskinroadError as exc:
            log.warning(
                "owner: release is not on record",
                extra={"pool": self.pool, "term": self.term, "error": str(exc)},
            )

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        if self._group is None:
            coro.close()
            return
        self._group.create_task(coro)

    def may_act(self) -> bool:
        """Return whether the claim was confirmed recently enough."""
        return asyncio.get_running_loop().time() < self.right_until

    def lose_right(self) -> None:
        """Stop acting until the claim is confirmed again, as after a pause."""
        self.right_until = -1e9

    # What the daemon tells

    def configure(self, setup: Setup) -> None:
        """Put a configuration in force."""
        self.book.configure(setup)
        self._plan_wanted.set()

    def hosts_listed(self, entries: dict[str, HostEntry]) -> None:
        """Take in the live list."""
        now = asyncio.get_running_loop().time()
        for entry in entries.values():
            if entry.pool == self.pool:
                self.book.host_listed(entry)
                self._hold(entry.name)
        for name in self.book.hosts:
            listed = entries.get(name)
            if listed is None or listed.pool != self.pool:
                self.book.host_unlisted(name, now)
        self._plan_wanted.set()

    # Accepted jobs

    def _take_records(self, items: tuple[Newest, ...], whole: bool) -> None:
        now = asyncio.get_running_loop().time()
        wall = self.parts.wall()
        for item in items:
            if item.value:
                self._take_record(item, now, wall)
        self._plan_wanted.set()

    def _take_record(self, item: Newest, now: float, wall: float) -> None:
        try:
            stored = unpack(item.value)
        except SiskinroadError as exc:
            log.error(
                "owner: record is not readable",
                extra={"pool": self.pool, "key": item.key, "error": str(exc)},
            )
            return
        match stored:
            case OwnerRecord() if item.offset + 1 > self.term:
                raise Deposed(f"by {stored.node}", step="owner", peer=stored.node)
            case Accepted(job=job):
                known = job in self.book.jobs
                self.book.accept(stored, now, wall, fresh=item.offset + 1 > self.term)
                if not known:
                    log.info(
                        "owner: job taken in",
                        extra={
                            "request": job,
                            "queue": stored.queue,
                            "offset": item.offset,
                            "age_s": round(wall - stored.at, 3),
                        },
                    )
            case Cancelled(job=job):
                self._carry_out(self.book.cancel(job, now, wall))
                self._flush_wanted.set()

    # Plans

    async def _run_plans(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._plan_wanted.wait()
            await asyncio.sleep(PLAN_PAUSE)
            self._plan_wanted.clear()
            if not self.may_act():
                continue
            now, wall = loop.time(), self.parts.wall()
            self._carry_out(self.planner.plan(now, wall))

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_TIME)
            now, wall = loop.time(), self.parts.wall()
            self.right_until = max(
                self.right_until, self.follower.confirmed_at + RIGHT_TIME
            )
            self._check_former(now)
            effects = self.book.lapse_silent(now)
            self.book.settle_tasks(now)
            self.book.open_due(now, wall, EARLY_TIME)
            effects += self.steward.look(now, wall)
            self._carry_out(effects)
            if self.book.dirty or self._host_set() != self._recorded_hosts:
                self._flush_wanted.set()
            self._plan_wanted.set()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartRun():
                    self._spawn(self._start(effect))
                case StopRun():
                    self._spawn(self._stop(effect))
                case PaceRun():
                    self._spawn(self._pace(effect))
                case SettleHost(host=host):
                    self._spawn(self._settle(host))
                case AskAdvice():
                    self._spawn(self._ask(effect))
        if self.book.dirty:
            self._flush_wanted.set()

    # Orders

    def _order_slot(self, host: str) -> asyncio.Semaphore:
        slot = self._orders.get(host)
        if slot is None:
            slot = self._orders[host] = asyncio.Semaphore(ORDERS_PER_HOST)
        return slot

    async def _start(self, effect: StartRun) -> None:
        host = self.book.hosts.get(effect.host)
        if host is None:
            return
        loop = asyncio.get_running_loop()
        async with self._order_slot(host.name):
            now = loop.time()
            until = host.lease_until(now)
            if until is None or not self.may_act():
                self._carry_out(self.book.start_not_sent(host, effect.run, now))
                return
            # A token raised meanwhile voids this start; the new one applies.
            effect.run.token = host.token
            host.granted(now)
            task, number = effect.run.key
            order = StartOrder(
                host.name,
                host.entry.address,
                host.token,
                task,
                number,
                effect.payload,
                until,
                effect.checkpoint,
                effect.ticket,
            )
            effects = await self._send_start(host, effect.run, order)
        self._carry_out(effects)
        self._plan_wanted.set()

    async def _send_start(
        self, host: Host, run: Run, order: StartOrder
    ) -> list[Effect]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        outcome = "started"
        try:
            async with asyncio.timeout(ORDER_TIME):
                answer = await self.parts.link.start(order)
        except NotSentError as exc:
            outcome = f"not sent: {exc}"
            effects = self.book.start_not_sent(host, run, loop.time())
            host.heard_at = -1e9
        except (OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            effects = self.book.start_unanswered(host, run, loop.time())
            host.heard_at = -1e9
        else:
            effects = self._started(host, run, order, answer.rejection)
            if answer.rejection is not None:
                outcome = answer.rejection.value
        self.parts.metrics.starts.labels(outcome.partition(":")[0]).inc()
        log.info(
            "owner: start",
            extra={
                "request": order.task.job,
                "task": f"{order.task.occurrence}.{order.task.step}.{order.task.index}",
                "run": order.run,
                "host": host.name,
                "token": order.token,
                "list_age_s": round(sent_at - host.clock_at, 2),
                "took_s": round(loop.time() - sent_at, 3),
                "outcome": outcome,
            },
        )
        return effects

    def _started(
        self, host: Host, run: Run, order: StartOrder, rejection: Rejection | None
    ) -> list[Effect]:
        now = asyncio.get_running_loop().time()
        if rejection is Rejection.FENCED and order.token >= host.token:
            self._doubt_claim(host)
        if rejection is Rejection.UNWELL:
            host.heard_at = -1e9
        if rejection is Rejection.OTHER_LIFE:
            self.book.host_unlisted(host.name, now)
            host.heard_at = -1e9
        return self.book.start_answered(host, run, rejection, now)

    def _doubt_claim(self, host: Host) -> None:
        """Note that a host has seen a higher token than this owner ever gave it."""
        log.warning(
            "owner: host follows another owner",
            extra={"host": host.name, "pool": self.pool, "token": host.token},
        )
        host.heard_at = -1e9

    async def _stop(self, effect: StopRun) -> None:
        """Send a stop until it is answered or the run is over."""
        host = self.book.hosts.get(effect.host)
        task, number = effect.run.key
        while host is not None and effect.run.state != "over":
            order = Order(host.name, host.entry.address, host.token, task, number)
            outcome = "sent"
            try:
                async with self._order_slot(host.name):
                    async with asyncio.timeout(ORDER_TIME):
                        answer = await self.parts.link.stop(order)
                if answer.rejection is not None:
                    outcome = answer.rejection.value
            except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
                outcome = f"unknown: {exc}"
            log.info(
                "owner: stop",
                extra={
                    "request": task.job,
                    "task": f"{task.occurrence}.{task.step}.{task.index}",
                    "run": number,
                    "host": host.name,
                    "why": effect.reason,
                    "outcome": outcome,
                },
            )
            if not outcome.startswith("unknown"):
                return
            await asyncio.sleep(SETTLE_RETRY)
            host = self.book.hosts.get(effect.host)

    async def _pace(self, effect: PaceRun) -> None:
        host = self.book.hosts.get(effect.host)
        if host is None:
            return
        task, number = effect.run.key
        order = Order(host.name, host.entry.address, host.token, task, number)
        outcome = "sent"
        try:
            async with self._order_slot(host.name), asyncio.timeout(ORDER_TIME):
                await self.parts.link.pace(order, effect.percent)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            effect.run.pace = -1
        log.info(
            "owner: pace",
            extra={
                "request": task.job,
                "host": host.name,
                "percent": effect.percent,
                "outcome": outcome,
            },
        )

    async def _ask(self, effect: AskAdvice) -> None:
        loop = asyncio.get_running_loop()
        step = self.book.ready.get(effect.step)
        if step is None:
            return
        try:
            advised = await self.parts.lines.ask(
                effect.step, effect.hosts, effect.duration
            )
        except SiskinroadError:
            self.parts.metrics.retries.labels("advice").inc()
            await asyncio.sleep(0.05)
        else:
            until = loop.time() + advised.valid
            step.asked.update(effect.hosts)
            for host, ticket in advised.tickets.items():
                step.tickets[host] = (ticket, until)
        step.asking = False
        self._plan_wanted.set()

    # Holding hosts

    def _hold(self, name: str) -> None:
        task = self._holding.get(name)
        if (task is None or task.done()) and self._group is not None:
            self._holding[name] = self._group.create_task(self._run_hold(name))

    async def _run_hold(self, name: str) -> None:
        """Extend a host's lease and read its ends for as long as it is known."""
        while True:
            host = self.book.hosts.get(name)
            if host is None:
                return
            if not self.may_act():
                await asyncio.sleep(HOLD_RETRY)
                continue
            wait = HOLD_WAIT if host.settled and host.heard_at > 0 else 0.0
            if host.seen > host.acknowledged:
                wait = 0.0
            if not await self._hold_once(host, wait):
                await asyncio.sleep(HOLD_RETRY)
                continue
            if host.seen > host.acknowledged:
                await self._await_record(host)

    async def _hold_once(self, host: Host, wait: float) -> bool:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        # A silent host is granted nothing more: a call that it answers only
        # later must not extend what is about to be started elsewhere.
        until = host.lease_until(sent_at) if host.heard_at > 0 else None
        if until is not None:
            host.granted(sent_at)
        token = host.token
        try:
            async with asyncio.timeout(wait + HOLD_ANSWER):
                report = await self.parts.link.hold(
                    host.name,
                    host.entry.address,
                    token,
                    host.acknowledged,
                    until,
                    wait,
                )
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            self._host_silent(host, exc)
            return False
        if isinstance(report, Rejection):
            return self._hold_rejected(host, report, token)
        now, wall = loop.time(), self.parts.wall()
        effects = self.book.report(host, report, token, sent_at, now, wall)
        self._carry_out(effects)
        if report.ended or report.running:
            self._plan_wanted.set()
        return True

    def _host_silent(self, host: Host, exc: Exception) -> None:
        now = asyncio.get_running_loop().time()
        if host.heard_at > 0:
            log.warning(
                "owner: host does not answer",
                extra={
                    "host": host.name,
                    "silent_s": round(now - host.heard_at, 2),
                    "error": str(exc),
                },
            )
        host.heard_at = min(host.heard_at, 0.0)

    def _hold_rejected(self, host: Host, rejection: Rejection, token: int) -> bool:
        if rejection is Rejection.FENCED and token >= host.token:
            self._doubt_claim(host)
        if rejection is Rejection.OTHER_LIFE:
            now = asyncio.get_running_loop().time()
            log.warning("owner: host has another life", extra={"host": host.name})
            host.heard_at = -1e9
            self._carry_out(self.book.host_replaced(host, now))
        return False

    async def _await_record(self, host: Host) -> None:
        """Wait a little for the record of the ends that a host has listed."""
        self._flush_wanted.set()
        until = asyncio.get_running_loop().time() + RECORD_PATIENCE
        while host.seen > host.acknowledged:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await self._flushed.wait()
            except TimeoutError:
                return

    async def _settle(self, name: str) -> None:
        """Call a host under its raised token until it answers or has lapsed."""
        while True:
            host = self.book.hosts.get(name)
            if host is None or not any(
                run.state == "doubtful" for run in host.runs.values()
            ):
                return
            if self.may_act() and await self._hold_once(host, 0.0):
                self._plan_wanted.set()
                return
            await asyncio.sleep(SETTLE_RETRY)

    # Records of progress

    async def _run_flushes(self) -> None:
        while True:
            await self._flush_wanted.wait()
            self._flush_wanted.clear()
            try:
                await self._flush()
            except (StoreUnavailableError, StoreUnknownError) as exc:
                log.warning(
                    "owner: progress is not recorded yet",
                    extra={"pool": self.pool, "error": str(exc)},
                )
                self._flush_wanted.set()
                await asyncio.sleep(FLUSH_RETRY)
                continue
            except FencedError as exc:
                raise Deposed("progress is fenced", step="owner.flush") from exc
            await asyncio.sleep(FLUSH_SPACING)

    def _host_set(self) -> HostSet:
        known = set(self.book.hosts)
        if not self.book.settled:
            known |= self.book.waiting_for_hosts
        return HostSet(tuple(sorted(known)), self.term, self.book.settled)

    async def _flush(self) -> None:
        """Record every job that has changed, then acknowledge the hosts' ends.

        A batch whose append had no answer is repeated as it was, under the same
        number, so that it takes effect once and nothing newer is lost with it.
        """
        if self._batch is None:
            self._batch = self._make_batch()
        batch = self._batch
        if batch.records:
            fence = Fence(PRODUCER, self.term, self._sequence + 1)
            await self.parts.store.append(
                progress_topic(self.pool), list(batch.records), fence=fence, timeout=1.0
            )
            self._sequence += 1
        self._batch = None
        self._recorded(batch)
        if self.book.dirty:
            self._flush_wanted.set()

    def _make_batch(self) -> _Batch:
        changed = list(self.book.dirty)[:MAX_RECORDS]
        self.book.dirty.difference_update(changed)
        jobs = [self.book.jobs[job] for job in changed if job in self.book.jobs]
        records = [record_of(job.progress()) for job in jobs]
        hosts = self._host_set()
        if hosts != self._recorded_hosts:
            records.append(record_of(hosts))
        marks: tuple[tuple[str, int, int], ...] = ()
        if not self.book.dirty:
            known = self.book.hosts.values()
            marks = tuple((host.name, host.born, host.seen) for host in known)
        outcomes = tuple((job, job.outcome) for job in jobs)
        return _Batch(tuple(records), outcomes, hosts, marks)

    def _recorded(self, batch: _Batch) -> None:
        self._recorded_hosts = batch.hosts
        for name in batch.hosts.names:
            if name in self.book.hosts:
                self.book.hosts[name].recorded = True
        for job, outcome in batch.outcomes:
            job.recorded = outcome
            waiter = self._cancel_waiters.pop(job.id, None)
            if waiter is not None:
                waiter.set()
        for name, born, seen in batch.marks:
            host = self.book.hosts.get(name)
            if host is not None and host.born == born:
                host.acknowledged = max(host.acknowledged, seen)
        self._flushed.set()
        self._flushed = asyncio.Event()

    # What callers ask

    def show(self, job_id: str) -> str | None:
        """Return a job's state; None if there is no such job.

        Raises
        ------
        SiskinroadError
            The owner does not know: it has not read the newest records.
        """
        job = self.book.jobs.get(job_id)
        if job is not None:
            return job.shown()
        self._check_fresh()
        return None

    def _check_fresh(self) -> None:
        age = asyncio.get_running_loop().time() - self.follower.confirmed_at
        if age > 2.5:
            raise SiskinroadError(f"records are {age:.1f} s old", step="owner.show")

    async def cancel(self, job_id: str, timeout: float) -> bool:
        """Cancel a job; return False if there is none.

        Raises
        ------
        StoreUnknownError
            The cancelling is carried out but not on record yet.
        """
        job = self.book.jobs.get(job_id)
        if job is None:
            self._check_fresh()
            return False
        if job.recorded:
            return True
        now, wall = asyncio.get_running_loop().time(), self.parts.wall()
        waiter = self._cancel_waiters.setdefault(job_id, asyncio.Event())
        self._carry_out(self.book.cancel(job_id, now, wall))
        self._flush_wanted.set()
        try:
            async with asyncio.timeout(timeout):
                await waiter.wait()
        except TimeoutError:
            raise StoreUnknownError("not on record", step="owner.cancel") from None
        return True

    def pending(self, queue: str) -> int:
        """Return the accepted jobs of a queue of which nothing has begun."""
        self._check_fresh()
        return self.book.pending(queue)
