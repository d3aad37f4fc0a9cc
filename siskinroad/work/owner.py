"""The owner of a pool: carries out what its book and planner decide."""

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

TICK_TIME = 0.2
# Seconds by which events are gathered before the next plan.
PLAN_PAUSE = 0.004
# Seconds by which an occurrence may begin before it is due.
EARLY_TIME = 0.05
# Seconds between two readings of the claims for a doubt.
DOUBT_SPACING = 0.5
# Seconds since the last read beyond which a job is not said to be unknown.
FRESH_TIME = 2.5

log = logging.getLogger("siskinroad.owner")


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
        self.term = Term(pool, found.term, parts)
        self.term.carry_out = self._carry_out
        self.term.doubted = self.doubt
        self.book = self.term.book
        self.book.configure(setup)
        self.planner = Planner(self.book)
        self.steward = Steward(self.book, parts.timing)
        self.progress = ProgressLog(self.term, found.hosts)
        self.orders = Orders(self.term)
        self.holds = Holds(self.term, self.progress)
        self._doubted_at = -1e9
        self.former = found.former
        self._former_alone = found.former_alone
        self._former_released = found.released_term >= found.former_term
        self._load(found)
        self.follower = Follower(parts.store, job_topic(pool), self._take_records)
        self.follower.next = found.next
        # The claim has read all that came before it.
        self.follower.confirmed_at = asyncio.get_running_loop().time()

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
        self.term.right_until = found.claimed_at + RIGHT_TIME
        log.info(
            "owner: begins its term",
            extra={
                "pool": self.pool,
                "term": self.term.number,
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
                self.term.group = group
                group.create_task(self.follower.run())
                group.create_task(self._run_plans())
                group.create_task(self.progress.run())
                group.create_task(self._run_ticks())
        except* Deposed as excs:
            raise excs.exceptions[0] from None
        finally:
            self.term.group = None

    async def release(self) -> None:
        """Record what is known and give the pool up; to be called after ``run``."""
        extra = {"pool": self.pool, "term": self.term.number}
        try:
            while self.progress.due:
                await self.progress.flush()
        except SiskinroadError as exc:
            # The next owner may have fenced this term already.
            log.warning(
                "owner: last progress is not on record",
                extra={**extra, "error": str(exc)},
            )
        try:
            await release_pool(self.parts.store, self.pool, self.term.number)
        except SiskinroadError as exc:
            log.warning(
                "owner: release is not on record", extra={**extra, "error": str(exc)}
            )

    def lose_right(self) -> None:
        """Stop acting until the claim is confirmed again, as after a pause."""
        self.term.right_until = -1e9
        self.follower.confirmed_at = -1e9

    def doubt(self) -> None:
        """Read the claims at once, and act no more until that is done.

        A host follows a higher token, or another daemon tells of a higher term.
        """
        self.lose_right()
        now = asyncio.get_running_loop().time()
        if now - self._doubted_at >= DOUBT_SPACING:
            self._doubted_at = now
            self.follower.nudge()

    # What the daemon tells

    def configure(self, setup: Setup) -> None:
        """Put a configuration in force."""
        self.book.configure(setup)
        self.term.plan_wanted.set()

    def hosts_listed(self, entries: dict[str, HostEntry]) -> None:
        """Take in the live list."""
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

    def _take_records(self, items: tuple[Newest, ...], whole: bool) -> None:
        self._check_claims(items)
        now = asyncio.get_running_loop().time()
        wall = self.parts.wall()
        for item in items:
            if item.value:
                self._take_record(item, now, wall)
        self.term.plan_wanted.set()

    def _check_claims(self, items: tuple[Newest, ...]) -> None:
        """Stop before any job is taken in that a later claim stands in front of."""
        for item in items:
            if item.key == OWNER_KEY and item.offset + 1 > self.term.number:
                self.term.right_until = -1e9
                raise Deposed(f"term {item.offset + 1}", step="owner")

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

    # Plans

    async def _run_plans(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.term.plan_wanted.wait()
            await asyncio.sleep(PLAN_PAUSE)
            self.term.plan_wanted.clear()
            if not self.term.may_act():
                continue
            now, wall = loop.time(), self.parts.wall()
            lines = self.parts.lines.times(now)
            self._carry_out(self.planner.plan(now, wall, lines))

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_TIME)
            now, wall = loop.time(), self.parts.wall()
            confirmed = self.follower.confirmed_at + RIGHT_TIME
            self.term.right_until = max(self.term.right_until, confirmed)
            self._check_former(now)
            effects = self.book.lapse_silent(now)
            self.book.settle_tasks(now)
            self.book.open_due(now, wall, EARLY_TIME)
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
        if age > FRESH_TIME:
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
        waiter = self.progress.when_recorded(job_id)
        self._carry_out(self.book.cancel(job_id, now, wall))
        self.term.flush_wanted.set()
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
