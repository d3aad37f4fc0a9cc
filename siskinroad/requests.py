"""Callers' requests queued or in progress at the owner of a shard."""

from __future__ import annotations

import asyncio
import logging
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
from siskinroad.host_monitor import MonitoredOwner
from siskinroad.queues import Item
from siskinroad.upstreams import UpstreamResponse

__all__ = ["RequestTable"]

# Responses with at least this HTTP status count as failed attempts.
SERVER_ERROR_STATUS = 500
# Seconds after which a request refused at a handover may be sent again.
NO_OWNER_RETRY_AFTER = 0.1
# Reasons of refusals that are replaced by the upstream's last answer, if any.
UPSTREAM_FAILURES = (Reason.UPSTREAM_FAILED, Reason.RETRIES_EXHAUSTED)

log = logging.getLogger("siskinroad.requests")


@dataclass(slots=True)
class _Request:
    """One request.

    ``is_sent`` is set while an attempt is in flight, ``may_have_run`` once any
    attempt may have run.
    """

    fut: asyncio.Future[UpstreamResponse]
    path: str
    body: bytes
    answer: UpstreamResponse | None = None
    is_sent: bool = False
    may_have_run: bool = False


class RequestTable:
    """Table of the requests queued for one shard or in progress on its hosts."""

    def __init__(self, owner: MonitoredOwner) -> None:
        self.owner = owner
        self._requests: dict[str, _Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: str) -> bool:
        return key in self._requests

    def submit(
        self, key: str, workload: Workload, path: str, body: bytes, deadline: float
    ) -> asyncio.Future[UpstreamResponse]:
        """Queue a caller's request.

        Returns
        -------
        asyncio.Future
            Result: the upstream's complete answer. Exception: ``Refusal``.
        """
        owner = self.owner
        now = owner.now()
        fut: asyncio.Future[UpstreamResponse] = (
            asyncio.get_running_loop().create_future()
        )
        if owner.is_closed:
            fut.set_exception(_no_owner_refusal())
            return fut
        if workload.start_within > 0:
            deadline = min(deadline, now + workload.start_within)
        item = Item(key, workload, now, deadline)
        self._requests[key] = _Request(fut, path, body)
        owner.run(owner.scheduler.submit(item, now))
        return fut

    def cancel(self, key: str) -> None:
        """Cancel a request whose caller has stopped waiting."""
        self.owner.run(self.owner.scheduler.cancel(key, self.owner.now()))

    def refuse_unsent(self) -> None:
        """Refuse all requests without an attempt in flight, for the next owner to run.

        Those of which an earlier attempt may have run are refused as unknown.
        """
        for key, req in list(self._requests.items()):
            if not req.is_sent:
                self.answer(key, _no_owner_refusal())

    async def send(self, effect: StartTask) -> None:
        """Send a request to its host and report the result to the scheduler."""
        owner = self.owner
        item = effect.item
        req = self._requests[item.key]
        end = await self._send_once(effect, req)
        req.is_sent = False
        req.may_have_run |= end in (End.UNKNOWN, End.FAILED)
        if end is not End.DONE:
            owner.ports.count_event("retry", end.value)
        owner.run(owner.scheduler.record_attempt_end(item.key, 0, end, owner.now()))
        if owner.is_closed and item.state == "waiting":
            self.answer(item.key, _no_owner_refusal())

    async def _send_once(self, effect: StartTask, req: _Request) -> End:
        owner = self.owner
        host = owner.monitors[effect.hosts[0]].host
        timeout_s = effect.item.workload.timeout
        try:
            if not owner.ports.may_place():
                return End.NOT_SENT
            req.is_sent = True
            req.answer = await owner.ports.upstreams.request(
                host, effect.attempt, owner.epoch, req.path, req.body, timeout_s
            )
        except Refusal:
            return End.REJECTED
        except NotSentError:
            return End.NOT_SENT
        except StaleEpochError:
            owner.mark_stale()
            return End.NOT_SENT
        except OutcomeUnknownError:
            return End.UNKNOWN
        except Exception:
            log.exception(
                "requests: attempt %s on host %s failed; its outcome is unknown",
                effect.attempt,
                host.name,
            )
            return End.UNKNOWN
        return End.DONE if req.answer.status < SERVER_ERROR_STATUS else End.FAILED

    def answer_refused(self, key: str, refusal: Refusal) -> None:
        """Answer with a refusal, or with the upstream's last answer.

        The upstream's answer takes precedence if the refusal says that it failed.
        """
        answer = self._requests[key].answer
        has_failed = refusal.reason in UPSTREAM_FAILURES
        self.answer(key, answer if has_failed and answer is not None else refusal)

    def answer_finished(self, key: str) -> None:
        """Answer a request that has run or was cancelled while it ran."""
        answer = self._requests[key].answer
        if answer is None:
            refusal = Refusal(Reason.CANCELLED, step="owner", outcome=Outcome.UNKNOWN)
            self.answer(key, refusal)
        else:
            self.answer(key, answer)

    def answer(self, key: str, result: UpstreamResponse | Refusal) -> None:
        """Complete a request exactly once.

        A refusal says that the outcome is unknown if any attempt may have run.
        """
        req = self._requests.pop(key)
        if req.fut.done():
            return
        if isinstance(result, Refusal):
            if req.may_have_run:
                result.outcome = Outcome.UNKNOWN
            req.fut.set_exception(result)
            req.fut.exception()
        else:
            req.fut.set_result(result)


def _no_owner_refusal() -> Refusal:
    return Refusal(Reason.NO_OWNER, step="owner", retry_after=NO_OWNER_RETRY_AFTER)
