"""Questions to other daemons, each with its answer or a timeout."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeVar

from siskinroad.errors import OutcomeUnknownError
from siskinroad.peers import Peers
from siskinroad.work.messages import Message

__all__ = ["Calls"]

# Seconds between two looks at whether the asked daemon is still alive.
ALIVE_CHECK = 0.2

T = TypeVar("T")


class Calls:
    """Numbers questions and matches answers to them.

    Parameters
    ----------
    peers : Peers
        Links to the other daemons.
    first : int
        First number; differs between the lives of one daemon, so that an answer
        to an earlier life is not taken for one to this.
    """

    def __init__(self, peers: Peers, first: int) -> None:
        self._peers = peers
        self._numbers = itertools.count(first)
        self._waiting: dict[int, asyncio.Future[Message]] = {}

    async def ask(
        self,
        peer: str,
        make: Callable[[int], Message],
        kind: type[T],
        timeout: float,
        alive: Callable[[], bool] = lambda: True,
    ) -> T:
        """Send the question that ``make`` returns and wait for its answer.

        Parameters
        ----------
        alive : callable
            Returns whether waiting on makes sense; asked now and then.

        Raises
        ------
        OutcomeUnknownError
            No answer of type ``kind`` came in time.
        """
        number = next(self._numbers)
        fut: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        self._peers.send(peer, make(number))
        try:
            await self._wait(fut, timeout, alive)
        finally:
            del self._waiting[number]
        if not fut.done():
            raise OutcomeUnknownError("no answer", step="peers", peer=peer)
        answer = fut.result()
        if not isinstance(answer, kind):
            raise OutcomeUnknownError("other answer", step="peers", peer=peer)
        return answer

    async def _wait(
        self, fut: asyncio.Future[Message], timeout: float, alive: Callable[[], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout
        while not fut.done() and loop.time() < until and alive():
            left = until - loop.time()
            await asyncio.wait([fut], timeout=min(left, ALIVE_CHECK))

    def answered(self, number: int, answer: Message) -> None:
        """Take in an answer; one that nobody waits for any more is dropped."""
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(answer)
