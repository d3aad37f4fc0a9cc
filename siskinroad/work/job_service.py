"""The job service of a daemon: submits, shows, cancels and counts jobs for callers.

What a submit needs is in `job_submitter`; all other requests go to the pool's owner.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.resources import Resources
from siskinroad.work.caller_reply import (
    CallerReply,
    ReplyKind,
    refuse_for_now,
    refuse_key,
)
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.job import JobState
from siskinroad.work.job_submitter import JobSubmitter, make_append_reply
from siskinroad.work.job_writer import JobWriter
from siskinroad.work.key_check import ANONYMOUS, Caller, KeyCheck
from siskinroad.work.messages import JobReply, JobRequest, SubmitOutcome
from siskinroad.work.model import Configuration, JobSpec, Queue
from siskinroad.work.owner import PoolOwner
from siskinroad.work.owner_requests import (
    OWNER_REQUEST_TIMEOUT,
    OwnerRequests,
    choose_reply,
)
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.queue_assigner import QueueAssigner
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import Cancelled, Member, record_of
from siskinroad.work.reply_margin import leave_reply_margin
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["CallerReply", "JobService", "ReplyKind"]

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
    assigner : QueueAssigner
        Writer of the registry's records that a submit needs.
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
        assigner: QueueAssigner,
        find_owner: Callable[[str], str | None],
        list_capacities: Callable[[str], list[Resources]],
        metrics: WorkMetrics,
        wall: Callable[[], float],
        last_store_answer_at: Callable[[], float],
    ) -> None:
        self._configuration_reader = configuration_reader
        self._key_check = key_check
        self._job_writer = job_writer
        self._owners = owners
        self._queue_registry = queue_registry
        self._owner_requests = OwnerRequests(
            member.node, peer_calls, find_owner, self.handle_request, metrics
        )
        self._find_owner = find_owner
        self._metrics = metrics
        self._wall = wall
        self._last_store_answer_at = last_store_answer_at
        self._submitter = JobSubmitter(
            member.data_centre,
            key_check,
            job_writer,
            self._owner_requests,
            queue_registry,
            assigner,
            list_capacities,
            metrics,
            wall,
            configuration_reader,
            last_store_answer_at,
        )

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
        refusal = refuse_key(outcome, self._configuration_reader.age_s())
        return caller if refusal is None else refusal

    async def submit(
        self,
        queue: Queue,
        job: str,
        spec: JobSpec,
        deadline: float,
        caller: Caller = ANONYMOUS,
    ) -> CallerReply:
        """Store a job; it is accepted once it is stored."""
        reply = await self._submitter.submit(queue, job, spec, deadline, caller)
        return self._log_reply(job, "submit", reply, queue)

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
        return make_append_reply(outcome, self._store_age_s())

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
                case "close":
                    return await self._close(msg, owner, timeout)
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

    async def _close(
        self, msg: JobRequest, owner: PoolOwner, timeout: float
    ) -> JobReply:
        """Answer whether a job was accepted before its queue was closed here.

        What is stored later, by whomever, does not count any more.
        """
        await owner.queue_closer.close(msg.queues, msg.version, timeout)
        job = owner.pool_state.jobs.get(msg.subject)
        return JobReply(msg.id, "", job.shown_state() if job is not None else "", 0)

    def _recall(self, msg: JobRequest, owner: PoolOwner) -> JobReply:
        """Answer whether a job was accepted, without fresh records.

        While the store is down, nothing is accepted that this daemon does not know.
        """
        job = owner.pool_state.jobs.get(msg.subject)
        if job is not None:
            return JobReply(msg.id, "", job.shown_state(), 0)
        if owner.closings.is_open_question(msg.subject):
            return JobReply(msg.id, "stored_after_closing", "", 0)
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
