"""Batch jobs and gangs: accepted once on record, watched and cancelled."""

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
from siskinroad.front import home_of
from siskinroad.ledger import JobState, Ledger
from siskinroad.messages import JobReply, JobRequest, Message
from siskinroad.records import JobAccepted, JobCancelled, Record
from siskinroad.routing import Place, ShardLoad, choose
from siskinroad.shards import ShardSet

__all__ = ["JobDesk", "JobView", "data_centre_of"]

ACCEPT_TIME = 5.0
REPLY_TIME = 7.0
RESEND_TIME = 0.5
MAX_COUNT = 20_000
MAX_PAYLOAD = 65536
MAX_WATCH = 60.0
WATCH_STEP = 0.1
NO_OWNER_PATIENCE = 6.0
NO_OWNER_PAUSE = 0.1
WAITED_FOR = (Reason.NO_OWNER, Reason.HOME_UNREACHABLE)


class JobView(msgspec.Struct, frozen=True):
    """A job as its caller sees it."""

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
class _Out:
    fut: asyncio.Future[JobReply]


def data_centre_of(job: str) -> str:
    """Return the data centre that a job's name carries."""
    return job.rpartition(".")[0]


class JobDesk:
    """Accepts, shows and cancels jobs, here or at the daemon that owns them."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        place: Place,
        shards: ShardSet,
        ledger: Ledger,
        put: Callable[[Record, float], asyncio.Future[int]],
        applied: Callable[[int], Awaitable[None]],
        loads: Callable[[], list[ShardLoad]],
        send: Callable[[str, Message], None],
        explain_here: Callable[[str], str],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.explain_here = explain_here
        self.place = place
        self.shards = shards
        self.ledger = ledger
        self.put = put
        self.applied = applied
        self.loads = loads
        self.send = send
        self.rng = rng
        self._prefix = f"{name}-{incarnation}"
        self._sequence = 0
        self._out: dict[str, _Out] = {}
        self._serving: dict[str, asyncio.Task[None]] = {}

    # At the daemon that a caller asks

    async def submit(
        self, cell: Cell, workload: Workload, count: int, payload: bytes, key: str
    ) -> JobView:
        """Accept a job; it is on record when this returns.

        Parameters
        ----------
        key : str
            Names the job, so that submitting again does no harm; may be empty.

        Raises
        ------
        Refusal
        """
        _check(workload, count, payload)
        token = self._token(workload, key)
        loop = asyncio.get_running_loop()
        until = loop.time() + NO_OWNER_PATIENCE
        while True:
            try:
                load = self._home(cell, workload, key)
                job = f"{load.place.data_centre}.{token}"
                return await self._call(
                    load.owner, "submit", job, load.shard, workload.name, count, payload
                )
            except Refusal as exc:
                if exc.reason not in WAITED_FOR or loop.time() >= until:
                    raise
            await asyncio.sleep(NO_OWNER_PAUSE)

    def _token(self, workload: Workload, key: str) -> str:
        if key:
            data = f"{workload.name}\0{key}".encode()
            return "k" + hashlib.blake2b(data, digest_size=10).hexdigest()
        self._sequence += 1
        return f"{self._prefix}-{self._sequence}"

    def _home(self, cell: Cell, workload: Workload, key: str) -> ShardLoad:
        """Return the shard for a job; with a key always in the same data centre."""
        now = asyncio.get_running_loop().time()
        loads = self.loads()
        if key:
            home = home_of(cell, workload, key, self.place)
            loads = [load for load in loads if load.place.data_centre == home]
        near = [load for load in loads if load.place == self.place]
        load = choose(workload, near, self.place, set(), now, self.rng)
        if load is None:
            load = choose(workload, loads, self.place, set(), now, self.rng)
        if load is None:
            reason = Reason.HOME_UNREACHABLE if key else Reason.NO_OWNER
            raise Refusal(reason, step="submit", retry_after=1.0)
        return load

    async def watch(self, job: str, wait: float) -> JobView:
        """Return a job's state, once it has ended or ``wait`` seconds are over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait, MAX_WATCH)
        while True:
            view = await self._call(self._owner_of(job), "watch", job)
            if view.settled or loop.time() >= until:
                return view
            await asyncio.sleep(WATCH_STEP)

    async def cancel(self, job: str) -> JobView:
        """Cancel a job: when this returns, no task of it starts any more."""
        return await self._call(self._owner_of(job), "cancel", job)

    async def explain(self, key: str) -> str:
        """Return in a sentence why a task waits, or where it runs or ran."""
        job = key.rpartition("/")[0] or key
        owner = self._owner_of(job)
        if owner == self.name:
            return self.explain_here(key)
        reply = await self._exchange(owner, self._message("explain", key))
        return reply.body.decode()

    def _owner_of(self, job: str) -> str:
        if data_centre_of(job) != self.place.data_centre:
            return self._abroad(job)
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

    def _abroad(self, job: str) -> str:
        centre = data_centre_of(job)
        for load in self.loads():
            if load.place.data_centre == centre and load.owner:
                return load.owner
        raise Refusal(Reason.HOME_UNREACHABLE, step="job", retry_after=2.0)

    async def _call(
        self,
        owner: str,
        op: str,
        job: str,
        shard: str = "",
        workload: str = "",
        count: int = 0,
        payload: bytes = b"",
    ) -> JobView:
        msg = self._message(op, job, shard, workload, count, payload)
        if owner == self.name:
            return await self._serve(msg)
        reply = await self._exchange(owner, msg)
        if reply.status == 0:
            return msgspec.json.decode(reply.body, type=JobView)
        raise _refusal_of(reply)

    def _message(
        self,
        op: str,
        job: str,
        shard: str = "",
        workload: str = "",
        count: int = 0,
        payload: bytes = b"",
    ) -> JobRequest:
        self._sequence += 1
        key = f"{self._prefix}-{self._sequence}"
        return JobRequest(self.name, key, op, job, shard, workload, count, payload)

    async def _exchange(self, owner: str, msg: JobRequest) -> JobReply:
        loop = asyncio.get_running_loop()
        out = _Out(loop.create_future())
        self._out[msg.id] = out
        until = loop.time() + REPLY_TIME
        try:
            while loop.time() < until:
                self.send(owner, msg)
                await asyncio.wait({out.fut}, timeout=RESEND_TIME)
                if out.fut.done():
                    return out.fut.result()
        finally:
            del self._out[msg.id]
        raise Refusal(
            Reason.PEER_LOST,
            step="job",
            outcome=Outcome.UNKNOWN,
            retry_after=1.0,
            peer=owner,
        )

    def hear_reply(self, msg: JobReply) -> None:
        """Take the answer of the owner."""
        out = self._out.get(msg.id)
        if out is not None and not out.fut.done():
            out.fut.set_result(msg)

    # At the daemon that owns the job's shard

    def hear(self, msg: JobRequest) -> None:
        """Serve a peer; a repeated request is served once at a time."""
        if msg.id in self._serving:
            return
        task = asyncio.get_running_loop().create_task(self._reply(msg))
        self._serving[msg.id] = task
        task.add_done_callback(lambda _: self._serving.pop(msg.id, None))

    async def _reply(self, msg: JobRequest) -> None:
        try:
            if msg.op == "explain":
                text = self.explain_here(msg.job)
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
                return self._view(self._state(msg.job))
        raise Refusal(Reason.BAD_REQUEST, step="job", message=f"no operation {msg.op}")

    def _state(self, job: str) -> JobState:
        state = self.ledger.jobs.get(job)
        if state is None:
            text = "no such job, or it ended long ago"
            raise Refusal(Reason.UNKNOWN_SERVICE, step="job", message=text)
        return state

    async def _accept(self, msg: JobRequest) -> JobView:
        known = self.ledger.jobs.get(msg.job)
        if known is not None:
            return self._view(known)
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
        return self._view(self._state(msg.job))

    def _admit(self, msg: JobRequest) -> Workload:
        owner = self.shards.owners.get(msg.shard)
        if owner is None:
            raise Refusal(Reason.NO_OWNER, step="submit", retry_after=0.5)
        workload = owner.scheduler.shard.cell.workloads.get(msg.workload)
        if workload is None or workload.kind == "service":
            raise Refusal(Reason.UNKNOWN_SERVICE, step="submit", message=msg.workload)
        why = owner.scheduler.why_never(workload)
        if why:
            raise Refusal(Reason.CAN_NEVER_RUN, step="submit", message=why)
        waiting = owner.scheduler.shard.waiting.lane(workload).live
        if waiting + msg.count > workload.queue_limit:
            raise Refusal(Reason.QUEUE_FULL, step="submit", retry_after=5.0)
        if not owner.scheduler.shard.door.admits(
            len(owner.scheduler.shard.items) + msg.count, workload.urgency
        ):
            raise Refusal(Reason.SHED, step="submit", retry_after=5.0)
        return workload

    async def _record(self, record: Record) -> None:
        try:
            offset = await self.put(record, ACCEPT_TIME)
            await self.applied(offset)
        except (PlatformError, TimeoutError):
            raise Refusal(
                Reason.LOG_UNAVAILABLE,
                step="job",
                outcome=Outcome.UNKNOWN,
                retry_after=5.0,
                message="not confirmed; repeat it with the same key to be sure",
            ) from None

    async def _cancel(self, job: str) -> JobView:
        state = self._state(job)
        if not state.settled and not state.cancelled:
            await self._record(JobCancelled(job))
        return self._view(self._state(job))

    def _view(self, state: JobState) -> JobView:
        accepted = state.accepted
        owner = self.shards.owners.get(accepted.shard)
        known = owner.tasks.outcomes(accepted.job) if owner is not None else {}
        outcomes = list({**known, **state.ended}.values())
        done = outcomes.count("done")
        cancelled = outcomes.count("cancelled")
        running = self._running(accepted)
        left = accepted.count - len(outcomes)
        return JobView(
            accepted.job,
            accepted.workload,
            accepted.count,
            done,
            len(outcomes) - done - cancelled,
            cancelled,
            min(running, left),
            max(0, left - running),
            state.settled,
        )

    def _running(self, accepted: JobAccepted) -> int:
        owner = self.shards.owners.get(accepted.shard)
        if owner is None:
            return 0
        running = owner.scheduler.shard.running
        if accepted.count > len(running):
            prefix = accepted.job + "/"
            return sum(1 for key in running if key.startswith(prefix))
        keys = (f"{accepted.job}/{index}" for index in range(accepted.count))
        return sum(1 for key in keys if key in running)


def _check(workload: Workload, count: int, payload: bytes) -> None:
    if workload.kind == "service":
        text = "a service takes requests, not jobs"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)
    most = 1 if workload.kind == "gang" else MAX_COUNT
    if not 1 <= count <= most:
        text = f"count must be from 1 to {most}"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)
    if len(payload) > MAX_PAYLOAD:
        text = f"payload must be at most {MAX_PAYLOAD} bytes"
        raise Refusal(Reason.BAD_REQUEST, step="submit", message=text)


def _encode_refusal(exc: Refusal) -> bytes:
    fields: list[Any] = [
        exc.reason.value,
        exc.step,
        exc.outcome.value,
        exc.retry_after,
        exc.message,
    ]
    return msgspec.json.encode(fields)


def _refusal_of(reply: JobReply) -> Refusal:
    reason, step, outcome, retry_after, message = msgspec.json.decode(reply.body)
    return Refusal(
        Reason(reason),
        step=step,
        outcome=Outcome(outcome),
        retry_after=retry_after,
        message=message,
    )
