"""Requests handed to the daemon that owns their shard, and its answers.

A request is sent again until it is acknowledged and asked after until it is
answered, so that a connection that has gone silent loses nothing; the receiver
runs each one once. A peer that is silent for ``LOST_TIME`` seconds is lost.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.messages import Forward, ForwardAck, ForwardAsk, Message, Reply
from siskinroad.upstreams import Answer

__all__ = ["Forwarder", "Receiver"]

RESEND_TIME = 0.4
LOST_TIME = 1.4
REPLY_MARGIN = 1.0
KEPT_BYTES = 1 << 20
REPLY_OVERHEAD = 400
KEPT_IDS = 5000

Send = Callable[[str, Message], None]


@dataclass(slots=True)
class _Out:
    fut: asyncio.Future[Reply]
    heard: float
    acked: bool = False


class Forwarder:
    """Sends requests to other daemons and waits for their answers."""

    def __init__(self, name: str, incarnation: int, send: Send) -> None:
        self.name = name
        self.incarnation = incarnation
        self.send = send
        self._out: dict[str, _Out] = {}
        self._sequence = 0

    def new_id(self) -> str:
        """Return an id that no daemon has used."""
        self._sequence += 1
        return f"{self.name}.{self.incarnation}.{self._sequence}"

    async def forward(self, peer: str, msg: Forward) -> Answer:
        """Return the whole answer of the owner.

        Raises
        ------
        Refusal
            The owner's own, or ``PEER_LOST`` with the outcome unknown.
        """
        loop = asyncio.get_running_loop()
        out = _Out(loop.create_future(), loop.time())
        self._out[msg.id] = out
        try:
            async with asyncio.timeout(msg.left + REPLY_MARGIN):
                reply = await self._exchange(peer, msg, out)
        except TimeoutError:
            raise _lost(peer) from None
        finally:
            del self._out[msg.id]
        return _answer_of(reply, peer)

    async def _exchange(self, peer: str, msg: Forward, out: _Out) -> Reply:
        loop = asyncio.get_running_loop()
        while not out.fut.done():
            if loop.time() - out.heard >= LOST_TIME:
                raise _lost(peer)
            self.send(peer, ForwardAsk(self.name, msg.id) if out.acked else msg)
            await asyncio.wait({out.fut}, timeout=RESEND_TIME)
        return out.fut.result()

    def hear_ack(self, msg: ForwardAck) -> None:
        """Note that a request has arrived."""
        out = self._out.get(msg.id)
        if out is not None:
            out.acked = True
            out.heard = asyncio.get_running_loop().time()

    def hear_reply(self, msg: Reply) -> bool:
        """Take an answer; return False if nobody waits for it any more."""
        out = self._out.get(msg.id)
        if out is None or out.fut.done():
            return False
        out.fut.set_result(msg)
        return True


def _lost(peer: str) -> Refusal:
    return Refusal(
        Reason.PEER_LOST,
        step="forward",
        outcome=Outcome.UNKNOWN,
        retry_after=1.0,
        peer=peer,
    )


def _answer_of(reply: Reply, peer: str) -> Answer:
    if not reply.reason:
        return Answer(reply.status, reply.body, reply.content_type)
    raise Refusal(
        Reason(reply.reason),
        step=reply.step,
        outcome=Outcome(reply.outcome),
        retry_after=reply.retry_after,
        message=reply.message,
        peer=peer,
    )


class Receiver:
    """Runs the requests that other daemons hand over, each once.

    Parameters
    ----------
    run : callable
        Carries out one forwarded request; raises ``Refusal``.
    """

    def __init__(
        self,
        incarnation: int,
        send: Send,
        run: Callable[[Forward], Awaitable[Answer]],
    ) -> None:
        self.incarnation = incarnation
        self.send = send
        self.run = run
        self.active: dict[str, asyncio.Task[None]] = {}
        self._replies: OrderedDict[str, Reply] = OrderedDict()
        self._kept_bytes = 0
        self._seen: OrderedDict[str, None] = OrderedDict()

    def hear(self, msg: Forward) -> None:
        """Take a request, for the first time or again."""
        reply = self._replies.get(msg.id)
        if reply is not None:
            self.send(msg.name, reply)
        elif msg.id in self.active:
            self.send(msg.name, ForwardAck(msg.id))
        elif msg.id in self._seen or msg.incarnation != self.incarnation:
            self.send(msg.name, _reply_of(msg.id, _lost("")))
        else:
            self._begin(msg)

    def hear_ask(self, msg: ForwardAsk) -> None:
        """Answer a peer that asks after its request."""
        reply = self._replies.get(msg.id)
        if reply is not None:
            self.send(msg.name, reply)
        elif msg.id in self.active:
            self.send(msg.name, ForwardAck(msg.id))
        else:
            self.send(msg.name, _reply_of(msg.id, _lost("")))

    def _begin(self, msg: Forward) -> None:
        self._seen[msg.id] = None
        if len(self._seen) > KEPT_IDS:
            self._seen.popitem(last=False)
        self.send(msg.name, ForwardAck(msg.id))
        task = asyncio.get_running_loop().create_task(self._serve(msg))
        self.active[msg.id] = task

    async def _serve(self, msg: Forward) -> None:
        try:
            answer = await self.run(msg)
            kind = answer.content_type
            reply = Reply(msg.id, answer.status, answer.body, kind)
        except Refusal as exc:
            reply = _reply_of(msg.id, exc)
        except Exception as exc:
            refusal = Refusal(
                Reason.INTERNAL,
                step="receive",
                outcome=Outcome.UNKNOWN,
                message=repr(exc),
            )
            reply = _reply_of(msg.id, refusal)
        finally:
            del self.active[msg.id]
        self._keep(reply)
        self.send(msg.name, reply)

    def _keep(self, reply: Reply) -> None:
        """Keep an answer for a peer that asks again, within a bound on bytes."""
        self._replies[reply.id] = reply
        self._kept_bytes += len(reply.body) + REPLY_OVERHEAD
        while self._kept_bytes > KEPT_BYTES and len(self._replies) > 1:
            _, old = self._replies.popitem(last=False)
            self._kept_bytes -= len(old.body) + REPLY_OVERHEAD


def _reply_of(key: str, exc: Refusal) -> Reply:
    return Reply(
        key,
        reason=exc.reason.value,
        step=exc.step,
        outcome=exc.outcome.value,
        retry_after=exc.retry_after,
        message=exc.message,
    )
