"""Submits of a daemon's callers: a job is accepted once it is stored.

Storing a job does not require that the owner of its pool can be reached.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.fair_timeout import let_loop_poll
from siskinroad.resources import Resources
from siskinroad.work.caller_reply import (
    CallerReply,
    ReplyKind,
    refuse_for_now,
    refuse_key,
)
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.job_writer import JobRefusedError, JobWriter, QueueClosedError
from siskinroad.work.key_check import Caller, KeyCheck
from siskinroad.work.messages import SubmitOutcome
from siskinroad.work.model import JobSpec, Queue
from siskinroad.work.owner_requests import OwnerRequests, choose_reply
from siskinroad.work.queue_assigner import QueueAssigner, QueueSupersededError
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import Accepted, assigned_key, record_of
from siskinroad.work.reply_margin import leave_reply_margin
from siskinroad.work.retry_times import choose_retry_time, choose_store_wait
from siskinroad.work.store import MAX_RECORD_BYTES, Record
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["JobSubmitter", "make_append_reply"]

# Seconds since the store's last answer after which new work is refused at once. A
# silent store is probed every quarter of a second, so recovery is noticed soon; a
# smaller limit would also refuse work while the store is merely slow.
STORE_SILENCE_LIMIT = 2.0
# Attempts to store a job whose queue is closed meanwhile, as in a storm of versions.
MAX_ATTEMPTS = 3
# Seconds for which a submit waits for a newer version that this daemon has not read,
# and between two looks. A caller finds another daemon sooner than a late version comes.
VERSION_WAIT_S = 0.5
VERSION_WAIT_INTERVAL_S = 0.03
# Seconds between two looks whether the store is back, for a submit that waits.
STORE_WAIT_INTERVAL = 0.03

log = logging.getLogger("siskinroad.job_service")


class JobSubmitter:
    """The component that stores the jobs which callers submit to this daemon.

    Parameters
    ----------
    data_centre : str
        This daemon's data centre.
    key_check : KeyCheck
        Check of callers' keys.
    queue_registry : QueueRegistry
        The pools that may hold jobs of each queue.
    assigner : QueueAssigner
        Writer of the registry's records that a submit needs.
    list_capacities : callable
        Returns the largest capacity that each listed host of a pool has had.
    configuration_reader : ConfigurationReader
        Source of the configuration in force.
    last_store_answer_at : callable
        Returns the loop time of the store's last answer, direct or relayed.
    """

    def __init__(
        self,
        data_centre: str,
        key_check: KeyCheck,
        job_writer: JobWriter,
        owner_requests: OwnerRequests,
        queue_registry: QueueRegistry,
        assigner: QueueAssigner,
        list_capacities: Callable[[str], list[Resources]],
        metrics: WorkMetrics,
        wall: Callable[[], float],
        configuration_reader: ConfigurationReader,
        last_store_answer_at: Callable[[], float],
    ) -> None:
        self._data_centre = data_centre
        self._key_check = key_check
        self._job_writer = job_writer
        self._owner_requests = owner_requests
        self._queue_registry = queue_registry
        self._assigner = assigner
        self._list_capacities = list_capacities
        self._metrics = metrics
        self._wall = wall
        self._configuration_reader = configuration_reader
        self._last_store_answer_at = last_store_answer_at

    def _store_age_s(self) -> float:
        return asyncio.get_running_loop().time() - self._last_store_answer_at()

    async def submit(
        self,
        queue: Queue,
        job: str,
        spec: JobSpec,
        deadline: float,
        caller: Caller,
    ) -> CallerReply:
        """Store a job and return the reply to its caller."""
        at_least = 0
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._submit(queue, job, spec, deadline, caller, at_least)
            except QueueClosedError as exc:
                at_least = exc.version
                log.info(
                    "job_service: job was stored in a closed queue; submitting it anew",
                    extra={"request": job, "queue": queue.name, "error": str(exc)},
                )
            except QueueSupersededError as exc:
                newer = await self._await_newer_queue(queue, job, exc.version, deadline)
                if newer is None:
                    return CallerReply(ReplyKind.UNKNOWN, reason="queue_superseded")
                queue = newer
        return CallerReply(ReplyKind.UNKNOWN, reason="queue_closed")

    async def _await_newer_queue(
        self, queue: Queue, job: str, version: int, deadline: float
    ) -> Queue | None:
        """Return the queue at the same address by a newer version of the configuration.

        Returns None if that does not come soon, or has no such queue. The caller is not
        told then that the job has not run: it may have been stored before.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        wait_until = min(began + VERSION_WAIT_S, leave_reply_margin(deadline))
        reader = self._configuration_reader
        while reader.version < version and loop.time() < wait_until:
            await asyncio.sleep(VERSION_WAIT_INTERVAL_S)
        newer: Queue | None = None
        if reader.configuration is not None and reader.version >= version:
            path = queue.prefix + job
            newer = reader.configuration.find_queue(queue.virtual_host, path)
        log.info(
            "job_service: submit needs a newer version of the configuration",
            extra={
                "request": job,
                "queue": queue.name,
                "pool": queue.pool,
                "needed": version,
                "version": reader.version,
                "waited_s": round(loop.time() - began, 2),
                "outcome": newer.pool if newer is not None else "none",
            },
        )
        return newer

    async def _submit(
        self,
        queue: Queue,
        job: str,
        spec: JobSpec,
        deadline: float,
        caller: Caller,
        at_least: int,
    ) -> CallerReply:
        """Store a job by an assignment of its queue of a version, or a newer one.

        Raises
        ------
        QueueClosedError
            The queue was closed by a later version, maybe before the job was stored.
        QueueSupersededError
            A newer version of the configuration is needed.
        """
        if not self._queue_registry.is_read:
            return await self._reply_without_registry(queue, job, deadline)
        assigned = await self._assign(queue, job, deadline, at_least)
        if isinstance(assigned, CallerReply):
            return assigned
        former_reply = await self._close_former_pools(queue, assigned, job, deadline)
        if former_reply is not None:
            return former_reply
        unfit_reason = self._describe_unfit_step(queue, spec)
        if unfit_reason:
            refusal = CallerReply(ReplyKind.NEVER, reason=unfit_reason)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        if not await self._wait_for_store(job, deadline):
            refusal = self._refuse_unstored("store_silent", queue, job, deadline)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        key_outcome = self._key_check.recheck(queue, caller)
        key_refusal = refuse_key(key_outcome, self._configuration_reader.age_s())
        if key_refusal is not None:
            return key_refusal
        accepted = Accepted(
            job,
            queue.name,
            queue.pool,
            self._wall(),
            spec,
            self._data_centre,
            caller.account,
            assigned,
        )
        record = self._make_record(accepted, queue)
        if len(record.value) > MAX_RECORD_BYTES:
            refusal = CallerReply(ReplyKind.NEVER, reason="too_long_to_store")
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        try:
            outcome = await self._job_writer.store(
                queue.pool, record, leave_reply_margin(deadline)
            )
        except JobRefusedError as exc:
            # Its owner, which refuses it, does not know of the job.
            return CallerReply(
                ReplyKind.NOT_NOW, reason=exc.reason, retry_after=exc.retry_after_s
            )
        reply = make_append_reply(outcome, self._store_age_s())
        if reply.kind is ReplyKind.NOT_NOW:
            refusal = self._refuse_unstored("store_unavailable", queue, job, deadline)
            return await self._refuse_unless_accepted(queue, job, refusal, deadline)
        return reply

    def _make_record(self, accepted: Accepted, queue: Queue) -> Record:
        record = record_of(accepted)
        if not self._queue_registry.former_pools(queue):
            return record
        key = assigned_key(accepted.job, accepted.assigned)
        return Record(key, record.value)

    async def _reply_without_registry(
        self, queue: Queue, job: str, deadline: float
    ) -> CallerReply:
        """Reply to a submit before this daemon knows all pools that may hold the job.

        That it has not run cannot be said: a former pool may have it.
        """
        refusal = refuse_for_now("queues_not_read", self._store_age_s())
        reply = await self._refuse_unless_accepted(queue, job, refusal, deadline)
        return _leave_open(reply)

    async def _assign(
        self, queue: Queue, job: str, deadline: float, at_least: int
    ) -> int | CallerReply:
        """Return by which version the queue is assigned to its pool, or a refusal.

        Without a stored assignment, the job would be lost to all daemons once a later
        version sends the queue elsewhere before its pool had an owner.

        Raises
        ------
        QueueSupersededError
            A newer version of the configuration is needed.
        """
        try:
            version = self._assigner.find(queue, at_least)
            if version is not None:
                return version
            if not await self._wait_for_store(job, deadline):
                return await self._refuse_unassigned(
                    "store_silent", queue, job, deadline
                )
            async with asyncio.timeout_at(leave_reply_margin(deadline)):
                return await self._assigner.assign(queue, at_least)
        except QueueSupersededError:
            raise
        except (SiskinroadError, TimeoutError):
            return await self._refuse_unassigned(
                "store_unavailable", queue, job, deadline
            )

    async def _refuse_unassigned(
        self, reason: str, queue: Queue, job: str, deadline: float
    ) -> CallerReply:
        """Reply to a submit whose queue's assignment cannot be stored now.

        The queue is not closed in a former pool then, where an append that is under way
        may still bring the job.
        """
        refusal = self._refuse_unstored(reason, queue, job, deadline)
        reply = await self._refuse_unless_accepted(queue, job, refusal, deadline)
        has_moved = bool(self._queue_registry.former_pools(queue))
        return _leave_open(reply) if has_moved else reply

    async def _close_former_pools(
        self, queue: Queue, assigned: int, job: str, deadline: float
    ) -> CallerReply | None:
        """Reply to a submit whose job may be accepted in a former pool of its queue.

        Returns None if no former pool holds the job, nor takes it any more: it is to be
        stored. What a daemon has under way, or one of a former version will store
        there, comes behind the closing.
        """
        pools = self._queue_registry.former_queues(queue)
        if not pools:
            return None
        replies = await self._owner_requests.close_all(pools, assigned, job, deadline)
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
        that the job has not run, so it is sent only if no owner of a pool that may hold
        it knows of the job, or has a record of it underway.
        """
        pools = (queue.pool, *self._queue_registry.former_pools(queue))
        replies = await self._owner_requests.request_all(pools, "recall", job, deadline)
        reply = choose_reply(replies)
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
        return reply

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


def _leave_open(reply: CallerReply) -> CallerReply:
    """Return a reply that does not say that a job which was refused has not run."""
    if reply.kind is not ReplyKind.NOT_NOW:
        return reply
    return CallerReply(
        ReplyKind.UNKNOWN, reason=reply.reason, retry_after=reply.retry_after
    )


def make_append_reply(outcome: SubmitOutcome, store_age_s: float) -> CallerReply:
    """Return the reply to a caller whose record was appended with this outcome."""
    match outcome:
        case SubmitOutcome.STORED:
            return CallerReply(ReplyKind.OK)
        case SubmitOutcome.NOT_DONE:
            return refuse_for_now("store_unavailable", store_age_s)
        case SubmitOutcome.UNKNOWN:
            return CallerReply(ReplyKind.UNKNOWN, reason="store_did_not_answer")
