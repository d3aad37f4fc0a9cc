"""The job service of a daemon: submits, shows, cancels and counts jobs for callers.

A job is accepted once it is stored, which does not require its owner to be reachable.
All other requests go to the pool's owner.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.fair_timeout import let_loop_poll
from siskinroad.resources import Resources
from siskinroad.work.caller_reply import CallerReply, ReplyKind, refuse_for_now
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.job import JobState
from siskinroad.work.job_writer import JobRefusedError, JobWriter
from siskinroad.work.key_check import ANONYMOUS, Caller, KeyCheck, KeyOutcome
from siskinroad.work.messages import JobReply, JobRequest, SubmitOutcome
from siskinroad.work.model import Configuration, JobSpec, Queue
from siskinroad.work.owner import PoolOwner
from siskinroad.work.owner_requests import (
    OWNER_REQUEST_TIMEOUT,
    OwnerRequests,
    choose_reply,
)
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import Accepted, Cancelled, Member, record_of
from siskinroad.work.reply_margin import leave_reply_margin
from siskinroad.work.retry_times import choose_retry_time, choose_store_wait
from siskinroad.work.store import MAX_RECORD_BYTES
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["CallerReply", "JobService", "ReplyKind"]

# Seconds since the store's last answer after which new work is refused at once. A
# silent store is probed every quarter of a second, so recovery is noticed soon; a
# smaller limit would also refuse work while the store is merely slow.
STORE_SILENCE_LIMIT = 2.0
# Seconds between two looks whether the store is back, for a submit that waits.
STORE_WAIT_INTERVAL = 0.03
log = logging.getLogger("siskinroad.job_service")


class JobService:
    """The job service that handles the requests of callers.

    Parameters
    ----------
    member : Member
        This daemon.
    configuration_reader : ConfigurationReader
        Source of the configuration in force.
    owners : dict of str to PoolOwner
        The pools that this daemon owns.
    queue_registry : QueueRegistry
        The pools that may hold jobs of each queue.
    find_owner : callable
        Returns the daemon that owns a pool, or None.
    list_capacities : callable
        Returns the largest capacity that each listed host of a pool has had.
    last_store_answer_at : callable
        Returns the loop time of the store's last answer, direct or relayed.
    key_check : KeyCheck
        Check of callers' keys.
    """

    def __init__(
        self,
        member: Member,
        configuration_reader: ConfigurationReader,
        key_check: KeyCheck,
        job_writer: JobWriter,
        peer_calls: PeerCalls,
        owners: dict[str, PoolOwner],
        queue_registry: QueueRegistry,
        find_owner: Callable[[str], str | None],
        list_capacities: Callable[[str], list[Resources]],
        metrics: WorkMetrics,
        wall: Callable[[], float],
        last_store_answer_at: Callable[[], float],
    ) -> None:
        self._configuration_reader = configuration_reader
        self._key_check = key_check
        self._data_centre = member.data_centre
        self._job_writer = job_writer
        self._owners = owners
        self._queue_registry = queue_registry
        self._owner_requests = OwnerRequests(
            member.node, peer_calls, find_owner, self.handle_request, metrics
        )
        self._find_owner = find_owner
        self._list_capacities = list_capacities
        self._metrics = metrics
        self._wall = wall
        self._last_store_answer_at = last_store_answer_at

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first one was read."""
        return self._configuration_reader.configuration

    def describe_configuration(self) -> dict[str, float]:
        """Return the version in force and its age in seconds, for log lines."""
        reader = self._configuration_reader
        return {"version": reader.version, "version_age_s": round(reader.age_s(), 2)}

    def _store_age_s(self) -> float:
        return asyncio.get_running_loop().time() - self._last_store_answer_at()

    def find_queue(
        self, virtual_host: str, path: str, is_subject: Callable[[str], bool]
    ) -> Queue | CallerReply:
        """Return the queue that serves a request, or the refusal if there is none.

        That a queue does not exist is said only by a version of the configuration that
        was the newest recently: a caller does not ask again after such a reply. A
        request does not wait until this is known, as it would be served by a newer
        version than requests that come after it.

        Parameters
        ----------
        is_subject : callable
            Returns whether a path names something of a queue, given what follows the
            queue's prefix.
        """
        reader = self._configuration_reader
        queue = self._look_up_queue(virtual_host, path, is_subject)
        if queue is not None:
            return queue
        if reader.configuration is None:
            return refuse_for_now("no_configuration")
        if not reader.is_confirmed():
            return refuse_for_now("configuration_unconfirmed", reader.age_s())
        return CallerReply(ReplyKind.NO_QUEUE, reason="no_queue")

    def _look_up_queue(
        self, virtual_host: str, path: str, is_subject: Callable[[str], bool]
    ) -> Queue | None:
        if self.configuration is None:
            return None
        queue = self.configuration.find_queue(virtual_host, path)
        if queue is None or not is_subject(path[len(queue.prefix) :]):
            return None
        return queue

    def identify(self, queue: Queue, key: str) -> Caller | CallerReply:
        """Return the caller that a key stands for, or the refusal of the request."""
        outcome, caller = self._key_check.identify(queue, key)
        refusal = self._make_key_refusal(outcome)
        return caller if refusal is None else refusal

    def _make_key_refusal(self, outcome: KeyOutcome) -> CallerReply | None:
        match outcome:
            case KeyOutcome.NOT_NEEDED | KeyOutcome.ADMITTED:
                return None
            case KeyOutcome.UNKNOWN_KEY:
                return CallerReply(ReplyKind.NO_KEY, reason=outcome.value)
        age_s = self._configuration_reader.age_s()
        return refuse_for_now(outcome.value, age_s)

    async def submit(
        self,
        queue: Queue,
        job: str,
        spec: JobSpec,
        deadline: float,
        caller: Caller = ANONYMOUS,
    ) -> CallerReply:
        """Store a job; it is accepted once it is stored."""
        if not self._queue_registry.is_read:
            refusal = refuse_for_now("queues_not_read", self._store_age_s())
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        former_reply = await self._look_up_in_former_pools(queue, job, deadline)
        if former_reply is not None:
            return self._log_reply(job, "submit", former_reply, queue)
        unfit_reason = self._describe_unfit_step(queue, spec)
        if unfit_reason:
            refusal = CallerReply(ReplyKind.NEVER, reason=unfit_reason)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        if not await self._wait_for_store(job, deadline):
            refusal = self._refuse_unstored("store_silent", queue, job, deadline)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        key_refusal = self._make_key_refusal(self._key_check.recheck(queue, caller))
        if key_refusal is not None:
            return self._log_reply(job, "submit", key_refusal, queue)
        accepted = Accepted(
            job,
            queue.name,
            queue.pool,
            self._wall(),
            spec,
            self._data_centre,
            caller.account,
        )
        record = record_of(accepted)
        if len(record.value) > MAX_RECORD_BYTES:
            refusal = CallerReply(ReplyKind.NEVER, reason="too_long_to_store")
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        try:
            outcome = await self._job_writer.store(
                queue.pool, record, leave_reply_margin(deadline)
            )
        except JobRefusedError as exc:
            # Its owner, which refuses it, does not know of the job.
            refusal = CallerReply(
                ReplyKind.NOT_NOW, reason=exc.reason, retry_after=exc.retry_after_s
            )
            return self._log_reply(job, "submit", refusal, queue)
        reply = self._make_submit_reply(outcome)
        if reply.kind is ReplyKind.NOT_NOW:
            refusal = self._refuse_unstored("store_unavailable", queue, job, deadline)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        return self._log_reply(job, "submit", reply, queue)

    async def _look_up_in_former_pools(
        self, queue: Queue, job: str, deadline: float
    ) -> CallerReply | None:
        """Reply to a submit whose job may be accepted in a former pool of its queue.

        Returns None if no former pool holds the job: it is to be stored.
        """
        pools = self._queue_registry.former_pools(queue)
        if not pools:
            return None
        replies = await self._owner_requests.request_all(pools, "recall", job, deadline)
        reply = choose_reply(replies)
        match reply.kind:
            case ReplyKind.NO_JOB:
                return None
            case ReplyKind.OK:
                return CallerReply(ReplyKind.OK, reason="accepted_in_former_pool")
        return CallerReply(
            ReplyKind.UNKNOWN, reason=reply.reason, retry_after=reply.retry_after
        )

    async def _wait_for_store(self, job: str, deadline: float) -> bool:
        """Return whether the store answers, after a wait where that serves the caller.

        Nothing is sent meanwhile; the store probe finds out when the store is back.
        """
        if self._store_age_s() <= STORE_SILENCE_LIMIT:
            return True
        # A late loop has not read the answers yet that have arrived.
        await let_loop_poll()
        loop = asyncio.get_running_loop()
        began = loop.time()
        wait_s = choose_store_wait(deadline - began)
        while self._store_age_s() > STORE_SILENCE_LIMIT:
            left_s = began + wait_s - loop.time()
            if left_s <= 0:
                break
            await asyncio.sleep(min(STORE_WAIT_INTERVAL, left_s))
        is_back = self._store_age_s() <= STORE_SILENCE_LIMIT
        if wait_s:
            outcome = "back" if is_back else "silent"
            self._metrics.store_waits.labels(outcome).inc()
            log.info(
                "job_service: submit waited for the store, as its caller cannot return",
                extra={
                    "request": job,
                    "remaining_s": round(deadline - began, 2),
                    "waited_s": round(loop.time() - began, 2),
                    "store_age_s": round(self._store_age_s(), 2),
                    "outcome": outcome,
                },
            )
        return is_back

    async def _refuse_unless_accepted(
        self, queue: Queue, job: str, refusal: CallerReply, deadline: float
    ) -> CallerReply:
        """Reply to a submit that cannot be stored now, or never could.

        The caller may have submitted the job before and lost the answer. A refusal says
        that the job has not run, so it is sent only if the pool's owner does not know
        of the job, and has no record of it underway.
        """
        reply = await self._owner_requests.request(queue.pool, "recall", job, deadline)
        match reply.kind:
            case ReplyKind.OK:
                reply = CallerReply(ReplyKind.OK)
            case ReplyKind.NO_JOB:
                reply = refusal
            case _:
                reply = CallerReply(
                    ReplyKind.UNKNOWN,
                    reason=reply.reason,
                    retry_after=refusal.retry_after or reply.retry_after,
                )
        return self._log_reply(job, "submit", reply, queue)

    def _describe_unfit_step(self, queue: Queue, spec: JobSpec) -> str:
        capacities = self._list_capacities(queue.pool)
        if not capacities:
            return ""
        for i, step in enumerate(spec.steps):
            if not any(step.need.fits(capacity) for capacity in capacities):
                return f"no host can hold a task of step {i}"
        return ""

    def _refuse_unstored(
        self, reason: str, queue: Queue, job: str, deadline: float
    ) -> CallerReply:
        """Refuse a submit that the store cannot take now."""
        remaining_s = deadline - asyncio.get_running_loop().time()
        retry_after = choose_retry_time(
            self._store_age_s(), remaining_s, queue.target, job
        )
        return CallerReply(ReplyKind.NOT_NOW, reason=reason, retry_after=retry_after)

    def _make_submit_reply(self, outcome: SubmitOutcome) -> CallerReply:
        match outcome:
            case SubmitOutcome.STORED:
                return CallerReply(ReplyKind.OK)
            case SubmitOutcome.NOT_DONE:
                return refuse_for_now("store_unavailable", self._store_age_s())
            case SubmitOutcome.UNKNOWN:
                return CallerReply(ReplyKind.UNKNOWN, reason="store_did_not_answer")

    async def show(
        self, queue: Queue, job: str, deadline: float, caller: Caller = ANONYMOUS
    ) -> CallerReply:
        """Return a job's state."""
        replies = await self._owner_requests.request_all(
            self._list_pools(queue), "show", job, deadline, caller.account
        )
        return self._log_reply(job, "show", self._choose_reply(replies), queue)

    def _choose_reply(self, replies: list[CallerReply]) -> CallerReply:
        """Return the reply about one job, of those about the pools of its queue.

        That a job does not exist is said only once this daemon knows all these pools.
        """
        reply = choose_reply(replies)
        if reply.kind is ReplyKind.NO_JOB and not self._queue_registry.is_read:
            return refuse_for_now("queues_not_read", self._store_age_s())
        return reply

    def _list_pools(self, queue: Queue) -> tuple[str, ...]:
        """Return all pools that may hold jobs of a queue, the present one first."""
        return (queue.pool, *self._queue_registry.former_pools(queue))

    async def cancel(
        self, queue: Queue, job: str, deadline: float, caller: Caller = ANONYMOUS
    ) -> CallerReply:
        """Cancel a job in each pool that may hold it."""
        calls = (
            self._cancel_in_pool(pool, job, deadline, caller.account)
            for pool in self._list_pools(queue)
        )
        replies = await asyncio.gather(*calls)
        return self._log_reply(job, "cancel", self._choose_reply(replies), queue)

    async def _cancel_in_pool(
        self, pool: str, job: str, deadline: float, account: str
    ) -> CallerReply:
        """Cancel a job, through the store if the pool's owner cannot be reached."""
        reply = await self._owner_requests.request(
            pool, "cancel", job, deadline, account
        )
        if reply.kind is not ReplyKind.NOT_NOW:
            return reply
        record = record_of(Cancelled(job, self._wall()))
        outcome = await self._job_writer.store(
            pool, record, leave_reply_margin(deadline)
        )
        return self._make_submit_reply(outcome)

    async def count_pending(self, queue: Queue, deadline: float) -> CallerReply:
        """Return how many jobs of a queue have not started, in all its pools."""
        replies = await self._owner_requests.request_all(
            self._list_pools(queue), "pending", queue.name, deadline
        )
        refusals = [reply for reply in replies if reply.kind is not ReplyKind.OK]
        pending = sum(reply.pending for reply in replies)
        reply = refusals[0] if refusals else CallerReply(ReplyKind.OK, pending=pending)
        return self._log_reply(queue.name, "pending", reply, queue)

    async def handle_request(
        self, msg: JobRequest, timeout: float = OWNER_REQUEST_TIMEOUT
    ) -> JobReply:
        """Answer a request about a pool that this daemon owns."""
        owner = self._owners.get(msg.pool)
        if owner is None:
            return JobReply(msg.id, "not_owner", "", 0)
        if _is_other_account(owner, msg):
            return JobReply(msg.id, "", "", 0, is_other_account=True)
        try:
            match msg.verb:
                case "show":
                    return JobReply(msg.id, "", owner.show(msg.subject) or "", 0)
                case "recall":
                    return self._recall(msg, owner)
                case "cancel":
                    is_known = await owner.cancel(msg.subject, timeout)
                    return JobReply(msg.id, "", "cancelled" if is_known else "", 0)
                case "pending":
                    return JobReply(msg.id, "", "", owner.count_pending(msg.subject))
        except SiskinroadError as exc:
            log.warning(
                "job_service: owner could not answer; replying owner_unsure",
                extra={"request": msg.subject, "verb": msg.verb, "error": str(exc)},
            )
            return JobReply(msg.id, "owner_unsure", "", 0)
        return JobReply(msg.id, "unknown_verb", "", 0)

    def _recall(self, msg: JobRequest, owner: PoolOwner) -> JobReply:
        """Answer whether a job was accepted, without fresh records.

        While the store is down, nothing is accepted that this daemon does not know.
        """
        job = owner.pool_state.jobs.get(msg.subject)
        if job is not None:
            return JobReply(msg.id, "", job.shown_state(), 0)
        match self._job_writer.recall(msg.subject):
            case SubmitOutcome.STORED:
                return JobReply(msg.id, "", JobState.QUEUED, 0)
            case SubmitOutcome.UNKNOWN:
                return JobReply(msg.id, "append_unresolved", "", 0)
        return JobReply(msg.id, "", "", 0)

    def _log_reply(
        self, subject: str, verb: str, reply: CallerReply, queue: Queue | None = None
    ) -> CallerReply:
        if reply.kind not in (ReplyKind.OK, ReplyKind.NO_JOB):
            self._metrics.refusals.labels(verb, reply.reason or reply.kind).inc()
        log.info(
            "job_service: replied to caller",
            extra={
                "request": subject,
                "verb": verb,
                "queue": queue.name if queue else None,
                **self.describe_configuration(),
                "store_age_s": round(self._store_age_s(), 1),
                "owner": self._find_owner(queue.pool) if queue else None,
                "outcome": reply.kind.value,
                "state": reply.state,
                "reason": reply.reason,
            },
        )
        return reply


def _is_other_account(owner: PoolOwner, msg: JobRequest) -> bool:
    """Return whether a job that the request names belongs to another account."""
    if not msg.account or msg.verb not in ("show", "cancel"):
        return False
    job = owner.pool_state.jobs.get(msg.subject)
    return job is not None and job.account not in ("", msg.account)
