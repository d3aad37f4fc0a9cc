"""Notices of claims, by which a successor knows when a lost owner's leases end.

A successor that is no witness of a former owner sends a notice of its claim to those
that are. A member that has acknowledged the claim states nothing to owners of earlier
terms any more. A host that has answered the successor rejects their tokens. When these
are enough for a former owner to extend no lease, is said in `witnesses`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection

from siskinroad.errors import SiskinroadError
from siskinroad.work.messages import ClaimNoted, ClaimNotice
from siskinroad.work.peer_calls import PeerCalls

__all__ = ["ClaimNotices"]

# Seconds for which a member may take to acknowledge a claim.
REQUEST_TIMEOUT = 0.7
# Largest number of names in a log line.
MAX_LOGGED_NAMES = 4
# Least seconds between two log lines on a pool with the same result.
LOG_INTERVAL = 1.0

log = logging.getLogger("siskinroad.claim_notices")


class ClaimNotices:
    """Sender and receiver of the notices."""

    def __init__(self, peer_calls: PeerCalls) -> None:
        self._peer_calls = peer_calls
        self._terms: dict[str, int] = {}
        self._logged: dict[tuple[str, str], tuple[object, float]] = {}

    def has_acknowledged(self, pool: str, term: int) -> bool:
        """Return whether this daemon has acknowledged a claim of a later term."""
        return self._terms.get(pool, 0) > term

    def acknowledge(self, msg: ClaimNotice) -> ClaimNoted:
        """Acknowledge the claim of another member.

        From now on, statements to owners of earlier terms cover no time.
        """
        self._terms[msg.pool] = max(msg.term, self._terms.get(msg.pool, 0))
        if self._is_news("acknowledged", msg.pool, msg.term):
            log.info(
                "claim_notices: claim of another member acknowledged",
                extra={"pool": msg.pool, "term": msg.term},
            )
        return ClaimNoted(msg.id)

    def _is_news(self, event: str, pool: str, result: object) -> bool:
        """Return whether to log a result: it has changed, or was logged a while ago."""
        now = asyncio.get_running_loop().time()
        former, logged_at = self._logged.get((event, pool), (None, 0.0))
        if result == former and now - logged_at < LOG_INTERVAL:
            return False
        self._logged[event, pool] = (result, now)
        return True

    async def send(
        self,
        pool: str,
        term: int,
        asked: Collection[str],
        acknowledged_at: dict[str, float],
    ) -> None:
        """Send a notice of a claim to members; return once all were waited for.

        Parameters
        ----------
        acknowledged_at : dict of str to float
            Gets the loop time of the answer of each one that acknowledges the claim.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await asyncio.gather(
            *(self._notify(node, pool, term, acknowledged_at) for node in asked)
        )
        missing = [node for node in asked if node not in acknowledged_at]
        if self._is_news("asked", pool, (term, tuple(missing))):
            log.info(
                "claim_notices: members asked to acknowledge the claim",
                extra={
                    "pool": pool,
                    "term": term,
                    "asked": len(asked),
                    "missing": missing[:MAX_LOGGED_NAMES],
                    "took_s": round(loop.time() - began_at, 3),
                },
            )

    async def _notify(
        self, node: str, pool: str, term: int, acknowledged_at: dict[str, float]
    ) -> None:
        try:
            await self._peer_calls.request(
                node,
                lambda n: ClaimNotice(n, pool, term),
                ClaimNoted,
                REQUEST_TIMEOUT,
            )
        except SiskinroadError:
            return
        acknowledged_at.setdefault(node, asyncio.get_running_loop().time())
