"""Job service: accepts, shows and cancels batch jobs and gangs.

A job is accepted once its record is stored, and settled once the outcome of each of
its tasks is stored.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from siskinroad.cell import Cell, Workload
from siskinroad.errors import Outcome, PlatformError, Reason, Refusal
from siskinroad.ledger import JobState, Ledger
from siskinroad.messages import JobReply, JobRequest, Message
from siskinroad.records import JobAccepted, JobCancelled, Record
from siskinroad.request_handler import home_data_centre_of
from siskinroad.routing import Place, ShardLoad, choose_shard
from siskinroad.shards import OwnedShards

__all__ = ["JobService", "JobView", "data_centre_of"]

# Seconds after which the append of a job's record fails; it may be stored
# nevertheless, so the outcome is then unknown.
RECORD_TIMEOUT = 5.0
# Seconds to wait for the reply of a job's owner. It must exceed ``RECORD_TIMEOUT``,
# or the owner's own refusal would come too late. A refusal because the stored record
# was not read back in time may still come later.
REPLY_TIMEOUT = 7.0
# Seconds after which a request to the owner is repeated.
RESEND_INTERVAL = 0.5
# Largest number of tasks in one job; its owner queues each one separately.
MAX_TASKS = 20_000
# Largest payload of a job in bytes; it is stored in the job's log record.
MAX_PAYLOAD_BYTES = 65536
# Longest wait of one ``watch`` call, in seconds.
MAX_WATCH_TIME = 60.0
# Seconds between two reads of a job's state during a ``watch`` call.
WATCH_POLL_INTERVAL = 0.1
# Seconds for which a submission waits for an owner to become known. A shorter time
# refuses jobs during a takeover.
NO_OWNER_TIMEOUT = 6.0
# Seconds between two attempts within ``NO_OWNER_TIMEOUT``.
NO_OWNER_RETRY_INTERVAL = 0.1
# Refusals after which a submission is tried again within ``NO_OWNER_TIMEOUT``.
RETRIED_REASONS = (Reason.NO_OWNER, Reason.HOME_DATA_CENTRE_UNREACHABLE)


class JobView(msgspec.Struct, frozen=True):
    """State of a job as shown to its caller, with task counts by state."""

    job: str
    workload: str
    count: int
    done: int
    failed: int
    cancelled: int
    running: int
    waiting: int
    settled: bool


@dataclass(slots=True)
class _PendingCall:
    """A request to a job's owner that awaits its reply."""

    fut: asyncio.Future[JobReply]
    send_count: int = 0


def data_centre_of(job: str) -> str:
    """Return the data centre in a job's name."""
    return job.rpartition(".")[0]


class JobService:
    """Service for jobs, which calls the daemon that owns a job's shard if needed."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        place: Place,
        shards: OwnedShards,
        ledger: Ledger,
        append: Callable[[Record, float], asyncio.Future[int]],
        wait_applied: Callable[[int], Awaitable[None]],
        loads: Callable[[], list[ShardLoad]],
        send: Callable[[str, Message], None],
        explain_locally: Callable[[str], str],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.explain_locally = explain_locally
        self.place = place
        self.shards = shards
        self.ledger = ledger
        self.append = append
        self.wait_applied = wait_applied
        self.loads = loads
        self.send = send
        self.rng = rng
        self._id_prefix = f"{name}-{incarnation}"
        self._sequence = 0
        self._pending: dict[str, _PendingCall] = {}
        self._serving: dict[str, asyncio.Task[None]] = {}

    # At the daemon that receives the caller's request

    async def submit(
        self, cell: Cell, workload: Workload, count: int, payload: bytes, key: str
    ) -> JobView:
        """Submit a job; its record is stored when this returns.

        Parameters
        ----------
        key : str
            Idempotency key: a second submission with it returns the same job. May
            be empty.

        Raises
        ------
        Refusal
            The job was not accepted, or the outcome is unknown.
        """
        _check_submission(workload, count, payload)
        suffix = self._make_name_suffix(workload, key)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + NO_OWNER_TIMEOUT
        centre = home_data_centre_of(cell, workload, key, self.place) if key else ""
        outcome = Outcome.NOT_RUN
        while True:
            try:
                load = self._choose_shard(workload, centre)
                job = f"{load.place.data_centre}.{suffix}"
                return await self._call_owner(
                    load.owner, "submit", job, load.shard, workload.name, count, payload
                )
            except Refusal as exc:
                if exc.outcome is Outcome.UNKNOWN:
                    # Elsewhere the job would have another name and could run twice.
                    outcome, centre = Outcome.UNKNOWN, load.place.data_centre
                if exc.reason not in RETRIED_REASONS or loop.time() >= deadline:
                    exc.outcome = outcome
                    raise
            await asyncio.sleep(NO_OWNER_RETRY_INTERVAL)

    def _make_name_suffix(self, workload: Workload, key: str) -> str:
        if key:
            data = f"{workload.name}\0{key}".encode()
            return "k" + hashlib.blake2b(data, digest_size=10).hexdigest()
        self._sequence += 1
        return f"{self._id_prefix}-{self._sequence}"

    def _choose_shard(self, workload: Workload, centre: str) -> ShardLoad:
        """Choose a shard for a job, in the named data centre if there is one."""
        now = asyncio.get_running_loop().time()
        loads = self.loads()
        if centre:
            loads = [load for load in loads if load.place.data_centre == centre]
        local_loads = [load for load in loads if load.place == self.place]
        load = choose_shard(workload, local_loads, self.place, set(), now, self.rng)
        if load is None:
            load = choose_shard(workload, loads, self.place, set(), now, self.rng)
        if load is None:
            reason = Reason.HOME_DATA_CENTRE_UNREACHABLE if centre else Reason.NO_OWNER
            raise Refusal(reason, step="submit", retry_after=1.0)
        return load

    async def watch(self, job: str, wait: float) -> JobView:
        """Return a job's state once it has settled or ``wait`` seconds have passed."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(wait, MAX_WATCH_TIME)
        while True:
            view = await self._call_owner(self._owner_of(job), "watch", job)
            if view.settled or loop.time() >= deadline:
                return view
            await asyncio.sleep(WATCH_POLL_INTERVAL)

    async def cancel(self, job: str) -> JobView:
        """Cancel a job; none of its tasks is started after this returns."""
        return await self._call_owner(self._owner_of(job), "cancel", job)

    async def explain(self, key: str) -> str:
        """Explain in one sentence why a task waits, where it runs or how it ended."""
        job = key.rpartition("/")[0] or key
        owner = self._owner_of(job)
        if owner == self.name:
            return self.explain_locally(key)
        reply = await self._exchange(owner, self._make_request("explain", key))
        return reply.body.decode()

    def _owner_of(self, job: str) -> str:
        if data_centre_of(job) != self.place.data_centre:
            return self._remote_owner_of(job)
        state = self.ledger.jobs.get(job)
        if state is None:
            text = "no such job, or it ended long ago"
            raise Refusal(Reason.UNKNOWN_SERVICE, step="job", message=text)
        shard = state.accepted.shard
        if shard in self.shards.owners:
            return self.name
        for load in self.loads():
            if load.shard == shard:
                return load.owner
        return self.name

    def _remote_owner_of(self, job: str) -> str:
        centre = data_centre_of(job)
        for load in self.loads():
            if load.place.data_centre == centre and load.owner:
                return load.owner
        raise Refusal(Reason.HOME_DATA_CENTRE_UNREACHABLE, step="job", retry_after=2.0)

    async def _call_owner(
        self,
        owner: str,
        op: str,
        job: str,
        shard: str = "",
        workload: str = "",
        count: int = 0,
        payload: bytes = b"",
    ) -> JobView:
        msg = self._make_request(op, job, shard, workload, count, payload)
        if owner == self.name:
            return await self._serve(msg)
        reply = await self._exchange(owner, msg)
        if reply.status == 0:
            return msgspec.json.decode(reply.body, type=JobView)
        raise _decode_refusal(reply)

    def _make_request(
        self,
        op: str,
        job: str,
        shard: str = "",
        workload: str = "",
        count: int = 0,
        payload: bytes = b"",
    ) -> JobRequest:
        self._sequence += 1
        key = f"{self._id_prefix}-{self._sequence}"
        return JobRequest(self.name, key, op, job, shard, workload, count, payload)

    async def _exchange(self, owner: str, msg: JobRequest) -> JobReply:
        loop = asyncio.get_running_loop()
        pending = _PendingCall(loop.create_future())
        self._pending[msg.id] = pending
        deadline = loop.time() + REPLY_TIMEOUT
        try:
            while loop.time() < deadline:
                self.send(owner, msg)
                pending.send_count += 1
                await asyncio.wait({pending.fut}, timeout=RESEND_INTERVAL)
                if pending.fut.done():
                    return _check_repeated(pending.fut.result(), pending.send_count)
        finally:
            del self._pending[msg.id]
        raise Refusal(
            Reason.PEER_LOST,
            step="job",
            outcome=Outcome.UNKNOWN,
            retry_after=1.0,
            peer=owner,
        )

    def receive_reply(self, msg: JobReply) -> None:
        """Complete a pending request with the owner's reply."""
        pending = self._pending.get(msg.id)
        if pending is not None and not pending.fut.done():
            pending.fut.set_result(msg)

    # At the daemon that owns the job's shard

    def receive(self, msg: JobRequest) -> None:
        """Serve a peer's request; ignore a repetition while it is being served."""
        if msg.id in self._serving:
            return
        task = asyncio.get_running_loop().create_task(self._serve_and_reply(msg))
        self._serving[msg.id] = task
        task.add_done_callback(lambda _: self._serving.pop(msg.id, None))

    async def _serve_and_reply(self, msg: JobRequest) -> None:
        try:
            if msg.op == "explain":
                text = self.explain_locally(msg.job)
                self.send(msg.name, JobReply(msg.id, 0, text.encode()))
                return
            view = await self._serve(msg)
            reply = JobReply(msg.id, 0, msgspec.json.encode(view))
        except Refusal as exc:
            reply = JobReply(msg.id, 1, _encode_refusal(exc))
        self.send(msg.name, reply)

    async def _serve(self, msg: JobRequest) -> JobView:
        match msg.op:
            case "submit":
                return await self._accept(msg)
            case "cancel":
                return await self._cancel(msg.job)
            case "watch":
                return self._make_view(self._get_state(msg.job))
        raise Refusal(
            Reason.BAD_REQUEST, step="job", message=f"unknown job operation {msg.op}"
        )

    def _get_state(self, job: str) -> JobState:
        state = self.ledger.jobs.get(job)
        if state is None:
            text = "no such job, or it ended long ago"
            raise Refusal(Reason.UNKNOWN_SERVICE, step="job", message=text)
        return state

    async def _accept(self, msg: JobRequest) -> JobView:
        existing = self.ledger.jobs.get(msg.job)
        if existing is not None:
            return self._make_view(existing)
        workload = self._admit(msg)
        record = JobAccepted(
            msg.job,
            workload.name,
            workload.owner,
            msg.shard,
            msg.count,
            msg.payload,
            self.shards.ownership.epoch(msg.shard),
        )
        await self._record(record)
        return self._make_view(self._get_state(msg.job))

    def _admit(self, msg: JobRequest) -> Workload:
        owner = self.shards.owners.get(msg.shard)
        if owner is None:
            raise Refusal(Reason.NO_OWNER, step="submit", retry_after=0.5)
        workload = owner.scheduler.shard.cell.workloads.get(msg.workload)
        if workload is None or workload.kind == "service":
            raise Refusal(Reason.UNKNOWN_SERVICE, step="submit", message=msg.workload)
        reason = owner.scheduler.never_runnable_reason(workload)
        if reason:
            raise Refusal(Reason.CAN_NEVER_RUN, step="submit", message=reason)
        waiting = owner.scheduler.shard.waiting.lane(workload).live
        if waiting + msg.count > workload.queue_limit:
            raise Refusal(Reason.QUEUE_FULL, step="submit", retry_after=5.0)
        if not owner.scheduler.shard.admission_limit.admits(
            len(owner.scheduler.shard.items) + msg.count, workload.urgency
        ):
            raise Refusal(Reason.SHED, step="submit", retry_after=5.0)
        return workload

    async def _record(self, record: Record) -> None:
        try:
            offset = await self.append(record, RECORD_TIMEOUT)
            await self.wait_applied(offset)
        except (PlatformError, TimeoutError):
            raise Refusal(
                Reason.LOG_UNAVAILABLE,
                step="job",
                outcome=Outcome.UNKNOWN,
                retry_after=5.0,
                message="the log did not confirm the record in time; "
                "repeat the call, a submission with the same key, to find out",
            ) from None

    async def _cancel(self, job: str) -> JobView:
        state = self._get_state(job)
        if not state.settled and not state.cancelled:
            await self._record(JobCancelled(job))
        return self._make_view(self._get_state(job))

    def _make_view(self, state: JobState) -> JobView:
        accepted = state.accepted
        owner = self.shards.owners.get(accepted.shard)
        owner_outcomes = owner.tasks.outcomes(accepted.job) if owner is not None else {}
        outcomes = list({**owner_outcomes, **state.ended}.values())
        done = outcomes.count("done")
        cancelled = outcomes.count("cancelled")
        running = self._count_running(accepted)
        remaining = accepted.count - len(outcomes)
        return JobView(
            accepted.job,
            accepted.workload,
            accepted.count,
            done,
            len(outcomes) - done - cancelled,
            cancelled,
            min(running, remaining),
            max(0, remaining - running),
            state.settled,
        )

    def _count_running(self, accepted: JobAccepted) -> int:
        owner = self.shards.owners.get(accepted.shard)
        if owner is None:
            return 0
        running = owner.scheduler.shard.running
        if accepted.count > len(running):
            prefix = accepted.job + "/"
            return sum(1 for key in running if key.startswith(prefix))
        keys = (f"{accepted.job}/{index}" for index in range(accepted.count))
        return sum(1 for key in keys if key in running)


def _check_submission(workload: Workload, count: int, payload: bytes) -> None:
    if workload.kind == "service":
        text = f"{workload.name} is a service: it takes requests, not jobs"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)
    max_count = 1 if workload.kind == "gang" else MAX_TASKS
    if not 1 <= count <= max_count:
        text = f"count must be from 1 to {max_count}, got {count}"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)
    if len(payload) > MAX_PAYLOAD_BYTES:
        text = f"payload must be at most {MAX_PAYLOAD_BYTES} bytes, got {len(payload)}"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)


def _check_repeated(reply: JobReply, send_count: int) -> JobReply:
    """Return a reply, a refusal of a repeated request with its outcome unknown.

    The owner may have accepted the first copy, and a restart may have lost its reply.
    """
    if reply.status == 0 or send_count == 1:
        return reply
    refusal = _decode_refusal(reply)
    refusal.outcome = Outcome.UNKNOWN
    return JobReply(reply.id, reply.status, _encode_refusal(refusal))


def _encode_refusal(exc: Refusal) -> bytes:
    fields: list[Any] = [
        exc.reason.value,
        exc.step,
        exc.outcome.value,
        exc.retry_after,
        exc.message,
    ]
    return msgspec.json.encode(fields)


def _decode_refusal(reply: JobReply) -> Refusal:
    reason, step, outcome, retry_after, message = msgspec.json.decode(reply.body)
    return Refusal(
        Reason(reason),
        step=step,
        outcome=Outcome(outcome),
        retry_after=retry_after,
        message=message,
    )
