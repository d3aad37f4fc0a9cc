"""The job service of a daemon: submits, shows, cancels and counts jobs for callers.

A job is accepted once it is stored, which does not require its owner to be reachable.
All other requests go to the pool's owner.
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

# Seconds since the store's last answer after which new work is refused at once. A
# silent store is probed every quarter of a second, so recovery is noticed soon; a
# smaller limit would also refuse work while the store is merely slow.
STORE_SILENCE_LIMIT = 2.0
# Seconds for one request to a pool's owner, the number of attempts, and the seconds
# between them.
OWNER_REQUEST_TIMEOUT = 0.7
OWNER_REQUEST_ATTEMPTS = 2
OWNER_RETRY_PAUSE = 0.15
# Seconds of a caller's deadline that are reserved for returning the reply.
DEADLINE_MARGIN = 0.15
# Least seconds after which a caller should retry: about the time of a takeover.
MIN_RETRY_AFTER = 1.0
# The retry time as a fraction of the outage's age so far, and its maximum in seconds.
RETRY_AFTER_FACTOR = 0.5
MAX_RETRY_AFTER = 4.0

log = logging.getLogger("siskinroad.desk")


class ReplyKind(StrEnum):
    """The kinds of reply to a caller."""

    OK = "ok"
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"
    NOT_NOW = "not_now"
    NEVER = "never"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to one request of a caller.

    Attributes
    ----------
    state : str
        The job's state, if it was requested.
    pending : int
        Number of jobs of the queue that have not started.
    reason : str
        Why the request was refused.
    retry_after : float
        Seconds after which the caller should retry; 0 if it should not.
    """

    kind: ReplyKind
    state: str = ""
    pending: int = 0
    reason: str = ""
    retry_after: float = 0.0


def _refuse_for_now(reason: str, outage: float = 0.0) -> Reply:
    """Refuse with a retry time that grows with the age of the outage.

    An outage that has lasted for a while is likely to last for as long again.
    """
    wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, outage * RETRY_AFTER_FACTOR))
    return Reply(ReplyKind.NOT_NOW, reason=reason, retry_after=wait)


class Desk:
    """The job service that handles the requests of callers.

    Parameters
    ----------
    node : str
        This daemon's name.
    owners : dict of str to PoolOwner
        The pools that this daemon owns.
    find_owner : callable
        Returns the daemon that owns a pool, or None.
    list_capacities : callable
        Returns the capacities of a pool's listed hosts.
    store_heard_at : callable
        Returns the loop time of the store's last answer, direct or relayed.
    """

    def __init__(
        self,
        node: str,
        intake: Intake,
        calls: Calls,
        owners: dict[str, PoolOwner],
        find_owner: Callable[[str], str | None],
        list_capacities: Callable[[str], list[Resources]],
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
        self._list_capacities = list_capacities
        self._metrics = metrics
        self._wall = wall
        self._store_heard_at = store_heard_at

    def _store_age(self) -> float:
        return asyncio.get_running_loop().time() - self._store_heard_at()

    def find(self, virtual_host: str, path: str) -> Queue | Reply:
        """Return the queue that serves a request, or the refusal if there is none."""
        if self.setup is None:
            return _refuse_for_now("no_configuration")
        queue = self.setup.find(virtual_host, path)
        return queue or Reply(ReplyKind.NO_QUEUE, reason="no_queue")

    async def submit(
        self, queue: Queue, job: str, spec: JobSpec, deadline: float
    ) -> Reply:
        """Store a job; it is accepted once it is stored."""
        never = self._describe_unfit_step(queue, spec)
        if never:
            return self._log_reply(job, "submit", Reply(ReplyKind.NEVER, reason=never))
        if self._store_age() > STORE_SILENCE_LIMIT:
            reply = _refuse_for_now("store_silent", self._store_age())
            return self._log_reply(job, "submit", reply, queue)
        accepted = Accepted(job, queue.name, queue.pool, self._wall(), spec)
        until = deadline - DEADLINE_MARGIN
        outcome = await self._intake.store(queue.pool, record_of(accepted), until)
        reply = self._make_submit_reply(outcome)
        return self._log_reply(job, "submit", reply, queue)

    def _describe_unfit_step(self, queue: Queue, spec: JobSpec) -> str:
        sizes = self._list_capacities(queue.pool)
        if not sizes:
            return ""
        for i, step in enumerate(spec.steps):
            if not any(step.need.fits(size) for size in sizes):
                return f"no host can hold a task of step {i}"
        return ""

    def _make_submit_reply(self, outcome: SubmitOutcome) -> Reply:
        match outcome:
            case SubmitOutcome.STORED:
                return Reply(ReplyKind.OK)
            case SubmitOutcome.NOT_DONE:
                return _refuse_for_now("store_unavailable", self._store_age())
            case SubmitOutcome.UNKNOWN:
                return Reply(ReplyKind.UNKNOWN, reason="store_did_not_answer")

    async def show(self, queue: Queue, job: str, deadline: float) -> Reply:
        """Return a job's state."""
        reply = await self._request_owner(queue.pool, "show", job, deadline)
        return self._log_reply(job, "show", reply, queue)

    async def cancel(self, queue: Queue, job: str, deadline: float) -> Reply:
        """Cancel a job, through the store if its owner cannot be reached."""
        reply = await self._request_owner(queue.pool, "cancel", job, deadline)
        if reply.kind is ReplyKind.NOT_NOW:
            record = record_of(Cancelled(job, self._wall()))
            until = deadline - DEADLINE_MARGIN
            outcome = await self._intake.store(queue.pool, record, until)
            reply = self._make_submit_reply(outcome)
        return self._log_reply(job, "cancel", reply, queue)

    async def pending(self, queue: Queue, deadline: float) -> Reply:
        """Return how many jobs of a queue have not started."""
        reply = await self._request_owner(queue.pool, "pending", queue.name, deadline)
        return self._log_reply(queue.name, "pending", reply, queue)

    async def _request_owner(
        self, pool: str, verb: str, subject: str, deadline: float
    ) -> Reply:
        loop = asyncio.get_running_loop()
        reason = "no_owner"
        for attempt in range(OWNER_REQUEST_ATTEMPTS):
            left = deadline - DEADLINE_MARGIN - loop.time()
            if left <= 0.02:
                break
            if attempt:
                await asyncio.sleep(min(OWNER_RETRY_PAUSE, left / 2))
                self._metrics.retries.labels("owner").inc()
            answer = await self._request_owner_once(
                pool, verb, subject, min(OWNER_REQUEST_TIMEOUT, left)
            )
            if answer is not None and not answer.unsure:
                return _make_owner_reply(verb, answer)
            if answer is not None:
                reason = answer.unsure
        return _refuse_for_now(reason)

    async def _request_owner_once(
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

    async def answer(
        self, msg: JobQuestion, timeout: float = OWNER_REQUEST_TIMEOUT
    ) -> JobAnswer:
        """Answer another daemon's request about a pool that this daemon owns."""
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

    def _log_reply(
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


def _make_owner_reply(verb: str, answer: JobAnswer) -> Reply:
    if verb == "pending":
        return Reply(ReplyKind.OK, pending=answer.pending)
    if not answer.state:
        return Reply(ReplyKind.NO_JOB)
    return Reply(ReplyKind.OK, state=answer.state)
