"""Callers' requests in the hands of a shard's owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from siskinroad.cell import Workload
from siskinroad.effects import End, StartTask
from siskinroad.errors import (
    NotSentError,
    Outcome,
    OutcomeUnknownError,
    Reason,
    Refusal,
    StaleEpochError,
)
from siskinroad.hostwatch import WatchedOwner
from siskinroad.queues import Item
from siskinroad.upstreams import Answer

__all__ = ["Requests"]

SERVER_ERROR = 500
HAND_BACK_PAUSE = 0.1
FAILED = (Reason.UPSTREAM_FAILED, Reason.RETRIES_EXHAUSTED)


@dataclass(slots=True)
class _Request:
    """One request; ``maybe_ran`` once any try of it may have run."""

    fut: asyncio.Future[Answer]
    path: str
    body: bytes
    answer: Answer | None = None
    sent: bool = False
    maybe_ran: bool = False


class Requests:
    """The requests that wait for hosts of one shard or are in progress there."""

    def __init__(self, owner: WatchedOwner) -> None:
        self.owner = owner
        self._waiting: dict[str, _Request] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: str) -> bool:
        return key in self._waiting

    def submit(
        self, key: str, workload: Workload, path: str, body: bytes, deadline: float
    ) -> asyncio.Future[Answer]:
        """Queue a caller's request.

        Returns
        -------
        asyncio.Future
            Its result is the upstream's whole answer; it fails with ``Refusal``.
        """
        owner = self.owner
        now = owner.now()
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if owner.closed:
            fut.set_exception(_no_owner())
            return fut
        if workload.start_within > 0:
            deadline = min(deadline, now + workload.start_within)
        item = Item(key, workload, now, deadline)
        self._waiting[key] = _Request(fut, path, body)
        owner.run(owner.scheduler.submit(item, now))
        return fut

    def cancel(self, key: str) -> None:
        """Cancel a request whose caller no longer waits."""
        self.owner.run(self.owner.scheduler.cancel(key, self.owner.now()))

    def hand_back_unsent(self) -> None:
        """Refuse as not run what was not sent, for the next owner to take."""
        for key, req in list(self._waiting.items()):
            if not req.sent:
                self.answer(key, _no_owner())

    async def send(self, effect: StartTask) -> None:
        """Send a request to its host and take in what became of it."""
        owner = self.owner
        item = effect.item
        req = self._waiting[item.key]
        end = await self._try(effect, req)
        req.sent = False
        req.maybe_ran |= end in (End.UNKNOWN, End.FAILED)
        if end is not End.DONE:
            owner.ports.count("retry", end.value)
        owner.run(owner.scheduler.ended(item.key, 0, end, owner.now()))
        if owner.closed and item.state == "waiting":
            self.answer(item.key, _no_owner())

    async def _try(self, effect: StartTask, req: _Request) -> End:
        owner = self.owner
        host = owner.watches[effect.hosts[0]].host
        limit = effect.item.workload.timeout
        try:
            if not owner.ports.may_place():
                return End.NOT_SENT
            req.sent = True
            req.answer = await owner.ports.upstreams.request(
                host, effect.attempt, owner.epoch, req.path, req.body, limit
            )
        except Refusal:
            return End.REJECTED
        except NotSentError:
            return End.NOT_SENT
        except StaleEpochError:
            owner.go_stale()
            return End.NOT_SENT
        except OutcomeUnknownError:
            return End.UNKNOWN
        return End.DONE if req.answer.status < SERVER_ERROR else End.FAILED

    def refused(self, key: str, refusal: Refusal) -> None:
        """Answer with a refusal, or with the upstream's own answer if it gave one."""
        answer = self._waiting[key].answer
        failed = refusal.reason in FAILED
        self.answer(key, answer if failed and answer is not None else refusal)

    def finished(self, key: str) -> None:
        """Answer a request that has run or was cancelled while it ran."""
        answer = self._waiting[key].answer
        if answer is None:
            refusal = Refusal(Reason.CANCELLED, step="owner", outcome=Outcome.UNKNOWN)
            self.answer(key, refusal)
        else:
            self.answer(key, answer)

    def answer(self, key: str, result: Answer | Refusal) -> None:
        """Give a request its one answer; doubt about a try is never lost."""
        req = self._waiting.pop(key)
        if req.fut.done():
            return
        if isinstance(result, Refusal):
            if req.maybe_ran:
                result.outcome = Outcome.UNKNOWN
            req.fut.set_exception(result)
            req.fut.exception()
        else:
            req.fut.set_result(result)


def _no_owner() -> Refusal:
    return Refusal(Reason.NO_OWNER, step="owner", retry_after=HAND_BACK_PAUSE)
