"""Forwarding of requests to the daemon that owns their shard.

The sender repeats a request until it is acknowledged, then polls for its reply until
it arrives, so that a lost message only delays the reply. The receiver runs each request
at most once. A peer that acknowledges nothing for ``PEER_SILENCE_TIMEOUT``
seconds counts as lost.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.messages import Forward, ForwardAck, ForwardQuery, Message, Reply
from siskinroad.upstreams import UpstreamResponse

__all__ = ["Forwarder", "Receiver"]

# Seconds after which a request or poll without a reply is repeated.
RESEND_INTERVAL = 0.4
# Seconds without an acknowledgement after which the peer counts as lost. It spans
# several resends: a shorter time gives up after a few lost messages.
PEER_SILENCE_TIMEOUT = 1.4
# Seconds beyond a request's deadline for which its reply is awaited, so that the
# owner's own refusal arrives before the forwarder's time limit.
REPLY_MARGIN = 1.0
# Most bytes of replies that are cached for peers that poll again, counting
# ``REPLY_OVERHEAD`` bytes for each. A reply that is dropped too early leaves the
# outcome of its request unknown to the sender.
MAX_CACHED_BYTES = 1 << 20
REPLY_OVERHEAD = 400
# Most request ids that are remembered. A request that is repeated after its id has
# been dropped would run twice.
MAX_SEEN_IDS = 5000

Send = Callable[[str, Message], None]


@dataclass(slots=True)
class _PendingForward:
    """A forwarded request that awaits its reply."""

    fut: asyncio.Future[Reply]
    last_ack_at: float
    is_acked: bool = False


class Forwarder:
    """Sender of requests to other daemons, which waits for their replies."""

    def __init__(self, name: str, incarnation: int, send: Send) -> None:
        self.name = name
        self.incarnation = incarnation
        self.send = send
        self._pending: dict[str, _PendingForward] = {}
        self._sequence = 0

    def new_id(self) -> str:
        """Return a new request id, unique among daemons and their incarnations."""
        self._sequence += 1
        return f"{self.name}.{self.incarnation}.{self._sequence}"

    async def forward(self, peer: str, msg: Forward) -> UpstreamResponse:
        """Forward a request to the owner and return its complete answer.

        Raises
        ------
        Refusal
            The owner's own refusal, or ``PEER_LOST`` with the outcome unknown.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingForward(loop.create_future(), loop.time())
        self._pending[msg.id] = pending
        try:
            async with asyncio.timeout(msg.left + REPLY_MARGIN):
                reply = await self._exchange(peer, msg, pending)
        except TimeoutError:
            raise _peer_lost_refusal(peer) from None
        finally:
            del self._pending[msg.id]
        return _decode_reply(reply, peer)

    async def _exchange(
        self, peer: str, msg: Forward, pending: _PendingForward
    ) -> Reply:
        loop = asyncio.get_running_loop()
        while not pending.fut.done():
            if loop.time() - pending.last_ack_at >= PEER_SILENCE_TIMEOUT:
                raise _peer_lost_refusal(peer)
            self.send(
                peer, ForwardQuery(self.name, msg.id) if pending.is_acked else msg
            )
            await asyncio.wait({pending.fut}, timeout=RESEND_INTERVAL)
        return pending.fut.result()

    def receive_ack(self, msg: ForwardAck) -> None:
        """Record that the peer has received a request."""
        pending = self._pending.get(msg.id)
        if pending is not None:
            pending.is_acked = True
            pending.last_ack_at = asyncio.get_running_loop().time()

    def receive_reply(self, msg: Reply) -> bool:
        """Complete a pending request; return False if it is no longer pending."""
        pending = self._pending.get(msg.id)
        if pending is None or pending.fut.done():
            return False
        pending.fut.set_result(msg)
        return True


def _peer_lost_refusal(peer: str) -> Refusal:
    return Refusal(
        Reason.PEER_LOST,
        step="forward",
        outcome=Outcome.UNKNOWN,
        retry_after=1.0,
        peer=peer,
    )


def _decode_reply(reply: Reply, peer: str) -> UpstreamResponse:
    if not reply.reason:
        return UpstreamResponse(reply.status, reply.body, reply.content_type)
    raise Refusal(
        Reason(reply.reason),
        step=reply.step,
        outcome=Outcome(reply.outcome),
        retry_after=reply.retry_after,
        message=reply.message,
        peer=peer,
    )


class Receiver:
    """Receiver of forwarded requests, which runs each one at most once.

    Parameters
    ----------
    run : callable
        Runs one forwarded request and returns its answer or raises ``Refusal``.
    """

    def __init__(
        self,
        incarnation: int,
        send: Send,
        run: Callable[[Forward], Awaitable[UpstreamResponse]],
    ) -> None:
        self.incarnation = incarnation
        self.send = send
        self.run = run
        self.running: dict[str, asyncio.Task[None]] = {}
        self._cached_replies: OrderedDict[str, Reply] = OrderedDict()
        self._cached_bytes = 0
        self._seen_ids: OrderedDict[str, None] = OrderedDict()

    def receive(self, msg: Forward) -> None:
        """Handle a forwarded request, which may be a repetition."""
        reply = self._cached_replies.get(msg.id)
        if reply is not None:
            self.send(msg.name, reply)
        elif msg.id in self.running:
            self.send(msg.name, ForwardAck(msg.id))
        elif msg.id in self._seen_ids or msg.incarnation != self.incarnation:
            self.send(msg.name, _refusal_reply(msg.id, _peer_lost_refusal("")))
        else:
            self._start(msg)

    def receive_query(self, msg: ForwardQuery) -> None:
        """Reply to a peer that polls for the reply to its request."""
        reply = self._cached_replies.get(msg.id)
        if reply is not None:
            self.send(msg.name, reply)
        elif msg.id in self.running:
            self.send(msg.name, ForwardAck(msg.id))
        else:
            self.send(msg.name, _refusal_reply(msg.id, _peer_lost_refusal("")))

    def _start(self, msg: Forward) -> None:
        self._seen_ids[msg.id] = None
        if len(self._seen_ids) > MAX_SEEN_IDS:
            self._seen_ids.popitem(last=False)
        self.send(msg.name, ForwardAck(msg.id))
        task = asyncio.get_running_loop().create_task(self._serve(msg))
        self.running[msg.id] = task

    async def _serve(self, msg: Forward) -> None:
        try:
            answer = await self.run(msg)
            kind = answer.content_type
            reply = Reply(msg.id, answer.status, answer.body, kind)
        except Refusal as exc:
            reply = _refusal_reply(msg.id, exc)
        except Exception as exc:
            refusal = Refusal(
                Reason.INTERNAL,
                step="receive",
                outcome=Outcome.UNKNOWN,
                message=repr(exc),
            )
            reply = _refusal_reply(msg.id, refusal)
        finally:
            del self.running[msg.id]
        self._cache_reply(reply)
        self.send(msg.name, reply)

    def _cache_reply(self, reply: Reply) -> None:
        """Cache a reply for a peer that polls again, up to ``MAX_CACHED_BYTES``."""
        self._cached_replies[reply.id] = reply
        self._cached_bytes += len(reply.body) + REPLY_OVERHEAD
        while self._cached_bytes > MAX_CACHED_BYTES and len(self._cached_replies) > 1:
            _, oldest = self._cached_replies.popitem(last=False)
            self._cached_bytes -= len(oldest.body) + REPLY_OVERHEAD


def _refusal_reply(request_id: str, exc: Refusal) -> Reply:
    return Reply(
        request_id,
        reason=exc.reason.value,
        step=exc.step,
        outcome=exc.outcome.value,
        retry_after=exc.retry_after,
        message=exc.message,
    )
