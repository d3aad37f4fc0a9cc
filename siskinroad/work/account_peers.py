"""Way from the owner of one pool to the owners of the others, in any daemon."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from siskinroad.work.messages import LoanReply, LoanRequest
from siskinroad.work.peer_calls import PeerCalls

__all__ = ["AccountPeers", "LoanServer", "PoolOwnerAddress"]

# Seconds to wait for a reply: a lender stores a loan before it answers.
REPLY_TIMEOUT = 1.0


class LoanServer(Protocol):
    """Owner of a pool in the same daemon."""

    @property
    def term_number(self) -> int:
        """Term of the owner."""

    async def serve(self, msg: LoanRequest) -> LoanReply:
        """Return the reply to a request."""


@dataclass(slots=True, frozen=True)
class PoolOwnerAddress:
    """Daemon that owns a pool, empty for this one, and the term that it announces."""

    node: str
    term: int


@dataclass(slots=True)
class AccountPeers:
    """Caller of the owners of other pools.

    Attributes
    ----------
    find_other, find_own : callable
        Return the other daemon that owns a pool, and this daemon's owner of it; None if
        there is none.
    """

    peer_calls: PeerCalls
    find_other: Callable[[str], PoolOwnerAddress | None]
    find_own: Callable[[str], LoanServer | None]
    _own_ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def find(self, pool: str) -> PoolOwnerAddress | None:
        """Return the owner of a pool, None if none is known."""
        own = self.find_own(pool)
        if own is not None:
            return PoolOwnerAddress("", own.term_number)
        return self.find_other(pool)

    async def request(
        self,
        address: PoolOwnerAddress,
        pool: str,
        make_request: Callable[[int], LoanRequest],
    ) -> LoanReply | None:
        """Send a request to the owner of a pool; return its reply.

        Returns None if the owner of this daemon is not there any more.

        Raises
        ------
        OutcomeUnknownError
            No reply arrived in time.
        """
        if address.node:
            return await self.peer_calls.request(
                address.node, make_request, LoanReply, REPLY_TIMEOUT
            )
        own = self.find_own(pool)
        if own is None:
            return None
        return await own.serve(make_request(next(self._own_ids)))
