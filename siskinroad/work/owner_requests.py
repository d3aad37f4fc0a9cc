"""Requests about jobs to the owners of pools, for the callers of this daemon.

A queue may have been sent to other pools by earlier versions of the configuration. The
jobs that were accepted then stay where they are, so a request about a job goes to the
owners of these pools too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence

import msgspec

from siskinroad.errors import SiskinroadError
from siskinroad.work.caller_reply import CallerReply, ReplyKind, refuse_for_now
from siskinroad.work.messages import JobReply, JobRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.reply_margin import leave_reply_margin
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["OWNER_REQUEST_TIMEOUT", "OwnerRequests", "choose_reply"]

# Seconds for one request to a pool's owner, the number of attempts, and the seconds
# between them.
OWNER_REQUEST_TIMEOUT = 0.7
OWNER_REQUEST_ATTEMPTS = 2
OWNER_RETRY_PAUSE = 0.15
# Seconds left below which a request is not sent any more.
MIN_REQUEST_TIME = 0.02


class OwnerRequests:
    """The component that asks the owners of pools about jobs.

    Parameters
    ----------
    node : str
        This daemon's name.
    find_owner : callable
        Returns the daemon that owns a pool, or None.
    serve : callable
        Answers a request about a pool that this daemon owns, within a time in seconds.
    """

    def __init__(
        self,
        node: str,
        peer_calls: PeerCalls,
        find_owner: Callable[[str], str | None],
        serve: Callable[[JobRequest, float], Awaitable[JobReply]],
        metrics: WorkMetrics,
    ) -> None:
        self._node = node
        self._peer_calls = peer_calls
        self._find_owner = find_owner
        self._serve = serve
        self._metrics = metrics

    async def request_all(
        self,
        pools: Sequence[str],
        verb: str,
        subject: str,
        deadline: float,
        account: str = "",
    ) -> list[CallerReply]:
        """Ask the owners of several pools at once; return their replies in order."""
        if len(pools) == 1:
            return [await self.request(pools[0], verb, subject, deadline, account)]
        calls = (self.request(pool, verb, subject, deadline, account) for pool in pools)
        return list(await asyncio.gather(*calls))

    async def request(
        self, pool: str, verb: str, subject: str, deadline: float, account: str = ""
    ) -> CallerReply:
        """Ask a pool's owner, twice if it does not answer."""
        return await self._request(
            JobRequest(0, pool, verb, subject, account), deadline
        )

    async def close_all(
        self,
        pools: Mapping[str, tuple[str, ...]],
        version: int,
        job: str,
        deadline: float,
    ) -> list[CallerReply]:
        """Ask owners whether a job was accepted before queues were closed there.

        Parameters
        ----------
        pools : dict of str to tuple of str
            Names of the queues by pool.
        version : int
            They are closed for jobs of older assignments than that of this version.
        """
        calls = (
            self._request(
                JobRequest(0, pool, "close", job, queues=queues, version=version),
                deadline,
            )
            for pool, queues in pools.items()
        )
        return list(await asyncio.gather(*calls))

    async def _request(self, msg: JobRequest, deadline: float) -> CallerReply:
        loop = asyncio.get_running_loop()
        reason = "no_owner"
        owner_deadline = leave_reply_margin(deadline)
        for attempt in range(OWNER_REQUEST_ATTEMPTS):
            remaining_s = owner_deadline - loop.time()
            if remaining_s <= MIN_REQUEST_TIME:
                break
            if attempt:
                await asyncio.sleep(min(OWNER_RETRY_PAUSE, remaining_s / 2))
                self._metrics.retries.labels("owner").inc()
            owner_reply = await self._request_once(
                msg, min(OWNER_REQUEST_TIMEOUT, remaining_s)
            )
            if owner_reply is not None and not owner_reply.unknown_reason:
                return _convert_owner_reply(msg.verb, owner_reply)
            if owner_reply is not None:
                reason = owner_reply.unknown_reason
        return refuse_for_now(reason)

    async def _request_once(self, msg: JobRequest, timeout: float) -> JobReply | None:
        node = self._find_owner(msg.pool)
        if node is None:
            return None
        if node == self._node:
            return await self._serve(msg, timeout)
        try:
            return await self._peer_calls.request(
                node,
                lambda n: msgspec.structs.replace(msg, id=n),
                JobReply,
                timeout,
            )
        except SiskinroadError:
            return JobReply(0, "owner_silent", "", 0)


def choose_reply(replies: Iterable[CallerReply]) -> CallerReply:
    """Return the reply that tells most of one job, of those about several pools."""
    return min(replies, key=_rank_reply)


def _rank_reply(reply: CallerReply) -> int:
    """Rank a reply about one job in one pool; the lowest tells most.

    An owner that knows the job goes before one that cannot tell. A cancellation that
    was stored without an owner does not show that the job is in that pool.
    """
    match reply.kind:
        case ReplyKind.OK if reply.state:
            return 0
        case ReplyKind.NO_JOB:
            return 3
        case ReplyKind.OK:
            return 2
    return 1


def _convert_owner_reply(verb: str, owner_reply: JobReply) -> CallerReply:
    if owner_reply.is_other_account:
        return CallerReply(ReplyKind.OTHER_ACCOUNT, reason="other_account")
    if verb == "pending":
        return CallerReply(ReplyKind.OK, pending=owner_reply.pending)
    if not owner_reply.state:
        return CallerReply(ReplyKind.NO_JOB)
    return CallerReply(ReplyKind.OK, state=owner_reply.state)
