"""Requests between daemons whether a former owner of a pool has stopped."""

from __future__ import annotations

from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.messages import HAS_STOPPED, STOPPED, JobReply, JobRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.records import FormerOwner

__all__ = ["StopRequests"]

# Seconds for which a former owner may take to answer.
REQUEST_TIMEOUT = 0.7


class StopRequests:
    """Sender and receiver of these requests.

    Parameters
    ----------
    node : str
        This daemon's name.
    has_stopped : callable
        Returns whether this daemon no longer acts under its claim of a pool's term.
    """

    def __init__(
        self,
        node: str,
        peer_calls: PeerCalls,
        has_stopped: Callable[[str, int], bool],
    ) -> None:
        self._node = node
        self._peer_calls = peer_calls
        self._has_stopped = has_stopped

    async def ask(self, pool: str, former: FormerOwner) -> bool:
        """Return whether a former owner of a pool says that it has stopped."""
        if former.node == self._node:
            return self._has_stopped(pool, former.term)
        try:
            reply = await self._peer_calls.request(
                former.node,
                lambda n: JobRequest(n, pool, HAS_STOPPED, str(former.term)),
                JobReply,
                REQUEST_TIMEOUT,
            )
        except SiskinroadError:
            return False
        return reply.state == STOPPED

    def answer(self, msg: JobRequest) -> JobReply:
        """Answer the request of a later owner."""
        if not msg.subject.isascii() or not msg.subject.isdecimal():
            return JobReply(msg.id, "no_term", "", 0)
        has_stopped = self._has_stopped(msg.pool, int(msg.subject))
        return JobReply(msg.id, "", STOPPED if has_stopped else "", 0)
