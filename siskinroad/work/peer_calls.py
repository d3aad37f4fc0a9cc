"""Requests to other daemons, each matched with its reply or a timeout."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from siskinroad.errors import OutcomeUnknownError
from siskinroad.fair_timeout import let_loop_poll
from siskinroad.peers import PeerTransport
from siskinroad.work.messages import Message

__all__ = ["PeerCalls", "run_until"]

# Seconds between two checks of whether waiting for a reply is still worthwhile. A
# larger value delays the failure of requests to a daemon that has died.
LIVENESS_CHECK_INTERVAL = 0.2

T = TypeVar("T")


async def run_until(
    calls: Iterable[Coroutine[Any, Any, T]], take: Callable[[T], bool]
) -> None:
    """Run calls at the same time, and cancel the others once enough have ended.

    Parameters
    ----------
    take : callable
        Called with each result; returns whether that was enough.
    """
    tasks = [asyncio.ensure_future(call) for call in calls]
    pending = set(tasks)
    try:
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            results = [take(task.result()) for task in done]
            if any(results):
                return
    finally:
        for task in tasks:
            task.cancel()


class PeerCalls:
    """Client that numbers its requests and matches replies to them.

    Parameters
    ----------
    peers : PeerTransport
        Connections to the other daemons.
    first_id : int
        First request number. It differs between the incarnations of a daemon, so that
        a late reply to an earlier incarnation is not matched to a request of this one.
    """

    def __init__(self, peers: PeerTransport, first_id: int) -> None:
        self._peers = peers
        self._request_ids = itertools.count(first_id)
        self._pending: dict[int, asyncio.Future[Message]] = {}

    async def request(
        self,
        peer: str,
        make_request: Callable[[int], Message],
        reply_type: type[T],
        timeout: float,
        should_keep_waiting: Callable[[], bool] = lambda: True,
    ) -> T:
        """Send the request that ``make_request`` returns and wait for its reply.

        Parameters
        ----------
        peer : str
            Name of the daemon.
        make_request : callable
            Returns the message, given its request number.
        reply_type : type
            Expected type of the reply.
        timeout : float
            Longest wait in seconds.
        should_keep_waiting : callable
            Returns whether to keep waiting, such as whether the peer is alive; called
            every ``LIVENESS_CHECK_INTERVAL`` seconds.

        Raises
        ------
        OutcomeUnknownError
            If no reply of type ``reply_type`` arrived before the timeout, or before
            ``should_keep_waiting`` returned False.
        """
        request_id = next(self._request_ids)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        self._peers.send(peer, make_request(request_id))
        try:
            await self._wait_for_reply(future, timeout, should_keep_waiting)
        finally:
            del self._pending[request_id]
        if not future.done():
            raise OutcomeUnknownError(
                "no reply before the timeout or the loss of the peer",
                step="peers",
                peer=peer,
            )
        reply = future.result()
        if not isinstance(reply, reply_type):
            raise OutcomeUnknownError(
                "peer sent a reply of the wrong type", step="peers", peer=peer
            )
        return reply

    async def _wait_for_reply(
        self,
        future: asyncio.Future[Message],
        timeout: float,
        should_keep_waiting: Callable[[], bool],
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout

        def is_over() -> bool:
            return loop.time() >= deadline or not should_keep_waiting()

        while not future.done():
            if is_over():
                # The reply, or a sign of life of the peer, may have arrived unread.
                await let_loop_poll()
                if is_over():
                    return
            remaining = max(0.0, deadline - loop.time())
            await asyncio.wait(
                [future], timeout=min(remaining, LIVENESS_CHECK_INTERVAL)
            )

    def handle_reply(self, request_id: int, reply: Message) -> None:
        """Match a reply to its request; drop it if the request no longer waits."""
        future = self._pending.get(request_id)
        if future is not None and not future.done():
            future.set_result(reply)
