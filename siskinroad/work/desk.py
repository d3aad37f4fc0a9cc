"""What callers ask of any daemon: hand a job in, see it, cancel it, count.

A job is accepted once the store has it; its owner need not be reached for that.
All else is asked of the pool's owner.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.errors import SiskinroadError
from siskinroad.resources import Resources
from siskinroad.work.calls import Calls
from siskinroad.work.intake import Intake
from siskinroad.work.messages import JobAnswer, JobQuestion, SubmitOutcome
from siskinroad.work.model import JobSpec, Queue, Setup
from siskinroad.work.owner import PoolOwner
from siskinroad.work.records import Accepted, Cancelled, record_of
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["Desk", "Reply", "ReplyKind"]

# Seconds since the store's last answer after which new work is refused at once:
# a silent store is asked every quarter of a second, and slow answers come later.
STORE_DOWN_AGE = 2.0
ASK_TIME = 0.7
ASK_TRIES = 2
ASK_PAUSE = 0.15
# Seconds of a caller's deadline that are left for the answer's way back.
DEADLINE_SLACK = 0.15
# Seconds after which a caller should come back: a take-over needs about so long.
RETRY_AFTER = 1.0
# Part of an outage's age, and most seconds, to send callers away for.
RETRY_PART = 0.5
LONGEST_RETRY = 4.0

log = logging.getLogger("siskinroad.desk")


class ReplyKind(StrEnum):
    """What a caller is told."""

    OK = "ok"
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"
    NOT_NOW = "not_now"
    NEVER = "never"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Reply:
    """The answer to one caller.

    Attributes
    ----------
    state : str
        The job's state, where it was asked for.
    pending : int
        Jobs of the queue of which nothing has begun.
    reason : str
        Why the request was refused.
    retry_after : float
        Seconds after which the caller should come back; 0 if it should not.
    """

    kind: ReplyKind
    state: str = ""
    pending: int = 0
    reason: str = ""
    retry_after: float = 0.0


def _not_now(reason: str, outage: float = 0.0) -> Reply:
    """Refuse for now; what has lasted a while is likely to last as long again."""
    wait = min(LONGEST_RETRY, max(RETRY_AFTER, outage * RETRY_PART))
    return Reply(ReplyKind.NOT_NOW, reason=reason, retry_after=wait)


class Desk:
    """Answers callers.

    Parameters
    ----------
    node : str
        This daemon's name.
    owners : dict of str to PoolOwner
        The pools that this daemon owns.
    find_owner : callable
        Returns the daemon that owns a pool, or None.
    largest : callable
        Returns the capacities of the pool's hosts that are listed.
    store_heard_at : callable
        Returns the loop time of the store's last answer by any way.
    """

    def __init__(
        self,
        node: str,
        intake: Intake,
        calls: Calls,
        owners: dict[str, PoolOwner],
        find_owner: Callable[[str], str | None],
        largest: Callable[[str], list[Resources]],
        metrics: WorkMetrics,
        wall: Callable[[], float],
        store_heard_at: Callable[[], float],
    ) -> None:
        self.setup: Setup | None = None
        self.setup_at = 0.0
        self._node = node
        self._intake = intake
        self._calls = calls
        self._owners = owners
        self._find_owner = find_owner
        self._largest = largest
        self._metrics = metrics
        self._wall = wall
        self._store_heard_at = store_heard_at

    def _store_age(self) -> float:
        return asyncio.get_running_loop().time() - self._store_heard_at()

    def find(self, virtual_host: str, path: str) -> Queue | Reply:
        """Return the queue of a request, or the refusal where there is none."""
        if self.setup is None:
            return _not_now("no_configuration")
        queue = self.setup.find(virtual_host, path)
        return queue or Reply(ReplyKind.NO_QUEUE, reason="no_queue")

    async def submit(
        self, queue: Queue, job: str, spec: JobSpec, deadline: float
    ) -> Reply:
        """Store a job; it is accepted once the store has it."""
        never = self._why_never(queue, spec)
        if never:
            return self._told(job, "submit", Reply(ReplyKind.NEVER, reason=never))
        if self._store_age() > STORE_DOWN_AGE:
            reply = _not_now("store_silent", self._store_age())
            return self._told(job, "submit", reply, queue)
        accepted = Accepted(job, queue.name, queue.pool, self._wall(), spec)
        until = deadline - DEADLINE_SLACK
        outcome = await self._intake.store(queue.pool, record_of(accepted), until)
        reply = self._stored(outcome)
        return self._told(job, "submit", reply, queue)

    def _why_never(self, queue: Queue, spec: JobSpec) -> str:
        sizes = self._largest(queue.pool)
        if not sizes:
            return ""
        for i, step in enumerate(spec.steps):
            if not any(step.need.fits(size) for size in sizes):
                return f"no host can hold a task of step {i}"
        return ""

    def _stored(self, outcome: SubmitOutcome) -> Reply:
        match outcome:
            case SubmitOutcome.STORED:
                return Reply(ReplyKind.OK)
            case SubmitOutcome.NOT_DONE:
                return _not_now("store_unavailable", self._store_age())
            case SubmitOutcome.UNKNOWN:
                return Reply(ReplyKind.UNKNOWN, reason="store_did_not_answer")

    async def show(self, queue: Queue, job: str, deadline: float) -> Reply:
        """Return a job's state."""
        reply = await self._ask(queue.pool, "show", job, deadline)
        return self._told(job, "show", reply, queue)

    async def cancel(self, queue: Queue, job: str, deadline: float) -> Reply:
        """Cancel a job, by way of the store if its owner is not reached."""
        reply = await self._ask(queue.pool, "cancel", job, deadline)
        if reply.kind is ReplyKind.NOT_NOW:
            record = record_of(Cancelled(job, self._wall()))
            until = deadline - DEADLINE_SLACK
            outcome = await self._intake.store(queue.pool, record, until)
            reply = self._stored(outcome)
        return self._told(job, "cancel", reply, queue)

    async def pending(self, queue: Queue, deadline: float) -> Reply:
        """Return how many jobs of a queue have not begun."""
        reply = await self._ask(queue.pool, "pending", queue.name, deadline)
        return self._told(queue.name, "pending", reply, queue)

    async def _ask(self, pool: str, verb: str, subject: str, deadline: float) -> Reply:
        loop = asyncio.get_running_loop()
        reason = "no_owner"
        for attempt in range(ASK_TRIES):
            left = deadline - DEADLINE_SLACK - loop.time()
            if left <= 0.02:
                break
            if attempt:
                await asyncio.sleep(min(ASK_PAUSE, left / 2))
                self._metrics.retries.labels("owner").inc()
            answer = await self._ask_owner(pool, verb, subject, min(ASK_TIME, left))
            if answer is not None and not answer.unsure:
                return _reply(verb, answer)
            if answer is not None:
                reason = answer.unsure
        return _not_now(reason)

    async def _ask_owner(
        self, pool: str, verb: str, subject: str, timeout: float
    ) -> JobAnswer | None:
        node = self._find_owner(pool)
        if node is None:
            return None
        if node == self._node:
            return await self.answer(JobQuestion(0, pool, verb, subject), timeout)
        try:
            return await self._calls.ask(
                node, lambda n: JobQuestion(n, pool, verb, subject), JobAnswer, timeout
            )
        except SiskinroadError:
            return JobAnswer(0, "owner_silent", "", 0)

    async def answer(self, msg: JobQuestion, timeout: float = ASK_TIME) -> JobAnswer:
        """Answer a question about a pool that this daemon owns."""
        owner = self._owners.get(msg.pool)
        if owner is None:
            return JobAnswer(msg.id, "not_owner", "", 0)
        try:
            match msg.verb:
                case "show":
                    return JobAnswer(msg.id, "", owner.show(msg.subject) or "", 0)
                case "cancel":
                    known = await owner.cancel(msg.subject, timeout)
                    return JobAnswer(msg.id, "", "cancelled" if known else "", 0)
                case "pending":
                    return JobAnswer(msg.id, "", "", owner.pending(msg.subject))
        except SiskinroadError as exc:
            log.warning(
                "desk: question is not answered",
                extra={"request": msg.subject, "verb": msg.verb, "error": str(exc)},
            )
            return JobAnswer(msg.id, "owner_unsure", "", 0)
        return JobAnswer(msg.id, "unknown_verb", "", 0)

    def _told(
        self, subject: str, verb: str, reply: Reply, queue: Queue | None = None
    ) -> Reply:
        if reply.kind not in (ReplyKind.OK, ReplyKind.NO_JOB):
            self._metrics.refusals.labels(verb, reply.reason or reply.kind).inc()
        log.info(
            "desk: answered",
            extra={
                "request": subject,
                "verb": verb,
                "queue": queue.name if queue else None,
                "version": self.setup.version if self.setup else None,
                "store_age_s": round(self._store_age(), 1),
                "owner": self._find_owner(queue.pool) if queue else None,
                "outcome": reply.kind.value,
                "state": reply.state,
                "reason": reply.reason,
            },
        )
        return reply


def _reply(verb: str, answer: JobAnswer) -> Reply:
    if verb == "pending":
        return Reply(ReplyKind.OK, pending=answer.pending)
    if not answer.state:
        return Reply(ReplyKind.NO_JOB)
    return Reply(ReplyKind.OK, state=answer.state)
