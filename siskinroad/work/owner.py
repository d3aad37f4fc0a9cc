"""The owner of a pool: executes the decisions of its pool state and planner."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import Inheritance, release_pool
from siskinroad.work.effects import (
    AskAdvice,
    Effect,
    PaceRun,
    SettleHost,
    StartRun,
    StopRun,
)
from siskinroad.work.follow import Follower
from siskinroad.work.holds import Holds
from siskinroad.work.host import LEASE_TIME
from siskinroad.work.model import HostEntry, Setup
from siskinroad.work.orders import Orders
from siskinroad.work.planner import Planner
from siskinroad.work.progress import Deposed, ProgressLog
from siskinroad.work.records import (
    OWNER_KEY,
    Accepted,
    Cancelled,
    job_topic,
    unpack,
)
from siskinroad.work.steward import Steward
from siskinroad.work.store import Newest, StoreUnknownError
from siskinroad.work.term import RIGHT_TIME, OwnerParts, Term

__all__ = ["Deposed", "PoolOwner"]

# Seconds between two checks of everything that depends on time.
TICK_INTERVAL = 0.2
# Seconds for which events are collected before the next planning round.
PLAN_DELAY = 0.004
# Seconds before its due time at which an occurrence may already start.
EARLY_START_TIME = 0.05
# Least seconds between two rereads of the claims while ownership is uncertain.
CLAIM_RECHECK_INTERVAL = 0.5
# Seconds since the last confirmed read after which the owner no longer states that
# a job does not exist.
MAX_RECORD_AGE = 2.5

log = logging.getLogger("siskinroad.owner")


class PoolOwner:
    """The owner of one pool for one term.

    Parameters
    ----------
    inherited : Inheritance
        The state that the claim found in the store.
    """

    def __init__(
        self, pool: str, parts: OwnerParts, inherited: Inheritance, setup: Setup
    ) -> None:
        self.pool = pool
        self.parts = parts
        self.term = Term(pool, inherited.term, parts)
        self.term.carry_out = self._carry_out
        self.term.doubted = self.doubt
        self.book = self.term.book
        self.book.configure(setup)
        self.planner = Planner(self.book)
        self.steward = Steward(self.book, parts.timing)
        self.progress = ProgressLog(self.term, inherited.hosts)
        self.orders = Orders(self.term)
        self.holds = Holds(self.term, self.progress)
        self._rechecked_at = -1e9
        self.former = inherited.former
        self._former_alone = inherited.former_alone
        self._former_released = inherited.released_term >= inherited.former_term
        self._load_inherited(inherited)
        self.follower = Follower(parts.store, job_topic(pool), self._apply_records)
        self.follower.next = inherited.next
        # The claim has read every record before its own.
        self.follower.confirmed_at = asyncio.get_running_loop().time()

    def _load_inherited(self, inherited: Inheritance) -> None:
        loop = asyncio.get_running_loop()
        now, wall = loop.time(), self.parts.wall()
        book = self.book
        if inherited.former is None:
            book.settled = True
        else:
            book.settled = False
            names = inherited.hosts.names if inherited.hosts else ()
            book.expect_hosts(names, now + RIGHT_TIME + LEASE_TIME * 1.1)
            self._check_former_owner(now)
        for accepted in inherited.accepted.values():
            book.accept(accepted, now, wall, fresh=False)
        for progress in inherited.progress.values():
            book.restore(progress, now)
        for job_id in inherited.cancelled:
            book.cancel(job_id, now, wall)
        self.term.right_until = inherited.claimed_at + RIGHT_TIME
        log.info(
            "owner: begins its term",
            extra={
                "pool": self.pool,
                "term": self.term.number,
                "former": inherited.former.node if inherited.former else None,
                "jobs": len(inherited.accepted),
                "hosts": len(inherited.hosts.names) if inherited.hosts else 0,
            },
        )

    def _check_former_owner(self, now: float) -> None:
        """Shorten the wait for silent hosts once the former owner has stopped."""
        former = self.former
        if former is None or not self._former_alone:
            return
        later = self.parts.is_later_life(former.node, former.incarnation)
        if self._former_released or later:
            self.book.former_gone(now + LEASE_TIME * 1.1)
            self.former = None

    # Lifecycle

    async def run(self) -> None:
        """Own the pool until cancelled.

        Raises
        ------
        Deposed
            Another daemon has claimed the pool.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self.term.group = group
                group.create_task(self.follower.run())
                group.create_task(self._run_planning())
                group.create_task(self.progress.run())
                group.create_task(self._run_ticks())
        except* Deposed as excs:
            raise excs.exceptions[0] from None
        finally:
            self.term.group = None

    async def release(self) -> None:
        """Store unrecorded progress and release the pool; call this after ``run``."""
        extra = {"pool": self.pool, "term": self.term.number}
        try:
            while self.progress.due:
                await self.progress.flush()
        except SiskinroadError as exc:
            # The next owner may have fenced this term already.
            log.warning(
                "owner: last progress not stored; releasing the pool without it",
                extra={**extra, "error": str(exc)},
            )
        try:
            await release_pool(self.parts.store, self.pool, self.term.number)
        except SiskinroadError as exc:
            log.warning(
                "owner: release of the pool not stored",
                extra={**extra, "error": str(exc)},
            )

    def revoke_right(self) -> None:
        """Stop acting until the claim is confirmed again, as after a suspension."""
        self.term.right_until = -1e9
        self.follower.confirmed_at = -1e9

    def doubt(self) -> None:
        """Reread the claims now, and stop acting until they are confirmed.

        Called when a host has accepted a higher token, or when another daemon
        reports a higher term.
        """
        self.revoke_right()
        now = asyncio.get_running_loop().time()
        if now - self._rechecked_at >= CLAIM_RECHECK_INTERVAL:
            self._rechecked_at = now
            self.follower.nudge()

    # Updates from the daemon

    def configure(self, setup: Setup) -> None:
        """Apply a configuration."""
        self.book.configure(setup)
        self.term.plan_wanted.set()

    def hosts_listed(self, entries: dict[str, HostEntry]) -> None:
        """Apply the live host list."""
        now = asyncio.get_running_loop().time()
        for entry in entries.values():
            if entry.pool == self.pool:
                self.book.host_listed(entry, now)
                self.holds.hold(entry.name)
        for name in self.book.hosts:
            listed = entries.get(name)
            if listed is None or listed.pool != self.pool:
                self.book.host_unlisted(name, now)
        self.term.plan_wanted.set()

    # Accepted jobs

    def _apply_records(self, items: tuple[Newest, ...], is_snapshot: bool) -> None:
        self._check_claims(items)
        now = asyncio.get_running_loop().time()
        wall = self.parts.wall()
        for item in items:
            if item.value:
                self._apply_record(item, now, wall)
        self.term.plan_wanted.set()

    def _check_claims(self, items: tuple[Newest, ...]) -> None:
        """Raise before any job is accepted that was stored after a later claim."""
        for item in items:
            if item.key == OWNER_KEY and item.offset + 1 > self.term.number:
                self.term.right_until = -1e9
                raise Deposed(
                    f"pool claimed by another daemon in term {item.offset + 1}",
                    step="owner",
                )

    def _apply_record(self, item: Newest, now: float, wall: float) -> None:
        try:
            stored = unpack(item.value)
        except SiskinroadError as exc:
            log.error(
                "owner: job record cannot be decoded; ignoring it",
                extra={"pool": self.pool, "key": item.key, "error": str(exc)},
            )
            return
        match stored:
            case Accepted(job=job):
                known = job in self.book.jobs
                self.book.accept(
                    stored, now, wall, fresh=item.offset + 1 > self.term.number
                )
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
                self.term.flush_wanted.set()

    # Planning

    async def _run_planning(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.term.plan_wanted.wait()
            await asyncio.sleep(PLAN_DELAY)
            self.term.plan_wanted.clear()
            if not self.term.may_act():
                continue
            now, wall = loop.time(), self.parts.wall()
            lines = self.parts.lines.times(now)
            self._carry_out(self.planner.plan(now, wall, lines))

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            now, wall = loop.time(), self.parts.wall()
            confirmed = self.follower.confirmed_at + RIGHT_TIME
            self.term.right_until = max(self.term.right_until, confirmed)
            self._check_former_owner(now)
            effects = self.book.lapse_silent(now)
            self.book.settle_tasks(now)
            self.book.open_due(now, wall, EARLY_START_TIME)
            effects += self.steward.look(now, wall)
            self._carry_out(effects)
            if self.progress.due:
                self.term.flush_wanted.set()
            self.term.plan_wanted.set()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartRun():
                    self.term.spawn(self.orders.start(effect))
                case StopRun():
                    self.term.spawn(self.orders.stop(effect))
                case PaceRun():
                    self.term.spawn(self.orders.pace(effect))
                case SettleHost(host=host):
                    self.term.spawn(self.holds.settle(host))
                case AskAdvice():
                    self.term.spawn(self.orders.ask(effect))
        if self.book.dirty:
            self.term.flush_wanted.set()

    # Requests from callers

    def show(self, job_id: str) -> str | None:
        """Return a job's state; None if there is no such job.

        Raises
        ------
        SiskinroadError
            The owner cannot tell, as it has not read the newest records.
        """
        job = self.book.jobs.get(job_id)
        if job is not None:
            return job.shown()
        self._require_fresh_records()
        return None

    def _require_fresh_records(self) -> None:
        age = asyncio.get_running_loop().time() - self.follower.confirmed_at
        if age > MAX_RECORD_AGE:
            raise SiskinroadError(
                f"last confirmed read was {age:.1f} s ago", step="owner.show"
            )

    async def cancel(self, job_id: str, timeout: float) -> bool:
        """Cancel a job; return False if there is no such job.

        Raises
        ------
        StoreUnknownError
            The job is cancelled, but that is not stored yet.
        """
        job = self.book.jobs.get(job_id)
        if job is None:
            self._require_fresh_records()
            return False
        if job.recorded:
            return True
        now, wall = asyncio.get_running_loop().time(), self.parts.wall()
        waiter = self.progress.get_recorded_event(job_id)
        self._carry_out(self.book.cancel(job_id, now, wall))
        self.term.flush_wanted.set()
        try:
            async with asyncio.timeout(timeout):
                await waiter.wait()
        except TimeoutError:
            raise StoreUnknownError(
                "cancellation not stored in time", step="owner.cancel"
            ) from None
        return True

    def pending(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started."""
        self._require_fresh_records()
        return self.book.pending(queue)
