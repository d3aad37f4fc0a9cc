"""Confirmation that no other daemon has claimed a pool, on request of its owner.

What an owner concludes from silence, such as that the leases of a host have expired,
holds only if no successor renewed them. The owner's reads of the claims may lie a while
back then, so the conclusion waits for a later one. While the store does not answer, the
other members are asked instead.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.work.follower import Follower
from siskinroad.work.pool_state import PoolState
from siskinroad.work.progress import OwnershipLostError
from siskinroad.work.term import ConfirmUnclaimed

__all__ = ["ClaimConfirmer"]

# Seconds after which a read of the claims is late, and the other members are asked. By
# then it has been sent through a peer too, if the store does not answer this daemon.
READ_LATE_S = 0.7
# Least seconds between two times that all members are asked. The answers of a large
# cell fill a small link.
MEMBERS_ASK_INTERVAL_S = 1.0

log = logging.getLogger("siskinroad.owner")


class ClaimConfirmer:
    """Reader of a pool's claims whenever a conclusion waits for that.

    Parameters
    ----------
    follower : Follower
        Follower of the topic with the claims; a later claim ends the owner.
    ask_members : ConfirmUnclaimed or None
        Asks the other members while the store does not answer.
    on_confirmed : callable
        Called after each confirmation that was waited for.
    """

    def __init__(
        self,
        pool_state: PoolState,
        follower: Follower,
        ask_members: ConfirmUnclaimed | None,
        on_confirmed: Callable[[], None],
    ) -> None:
        self._pool_state = pool_state
        self._follower = follower
        self._ask_members = ask_members
        self._on_confirmed = on_confirmed
        self._requested = asyncio.Event()
        self._read: asyncio.Task[None] | None = None
        self._read_for = 0.0
        self._waits_since: float | None = None
        self._asked_at = -1e9

    def request(self) -> None:
        """Request a read of the claims that is sent from now on."""
        self._requested.set()

    def note_reads(self) -> None:
        """Tell the pool state of the newest read of the claims."""
        if self._follower.confirmed_at < 0:
            return
        self._pool_state.note_unclaimed(self._follower.confirmed_at)
        if not self._pool_state.claims.is_awaited:
            self._note_confirmed()

    async def run(self) -> None:
        """Confirm the claims on each request, until cancelled.

        What still waits after an attempt is requested again by the owner.
        """
        try:
            while True:
                await self._requested.wait()
                self._requested.clear()
                if await self._confirm():
                    self._note_confirmed()
                    self._on_confirmed()
        finally:
            if self._read is not None:
                self._read.cancel()

    async def _confirm(self) -> bool:
        if self._read is None:
            self._read = asyncio.create_task(self._follower.read_now())
            self._read_for = self._pool_state.claims.awaited_at
        await asyncio.wait({self._read}, timeout=READ_LATE_S)
        while not self._read.done():
            if await self._confirm_by_members():
                return True
            await asyncio.wait({self._read}, timeout=READ_LATE_S)
        read, self._read = self._read, None
        try:
            read.result()
        except SiskinroadError as exc:
            return await self._handle_failed_read(exc)
        self.note_reads()
        return True

    async def _handle_failed_read(self, exc: SiskinroadError) -> bool:
        if isinstance(exc, OwnershipLostError):
            raise exc
        if await self._confirm_by_members():
            return True
        # What is needed since the read began gets a read of its own.
        if self._pool_state.claims.unclaimed_at < self._read_for:
            self._note_failed(exc)
        return False

    async def _confirm_by_members(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._ask_members is None or now - self._asked_at < MEMBERS_ASK_INTERVAL_S:
            return False
        self._asked_at = now
        pool_state = self._pool_state
        confirmed_at = await self._ask_members(
            pool_state.pool, pool_state.claims.unclaimed_at, pool_state.term
        )
        if confirmed_at is None:
            return False
        pool_state.note_unclaimed(confirmed_at)
        return True

    def _note_failed(self, exc: SiskinroadError) -> None:
        if self._waits_since is not None:
            return
        now = asyncio.get_running_loop().time()
        self._waits_since = now
        log.warning(
            "owner: not certain whether another daemon has claimed the pool; "
            "what follows from silent hosts waits",
            extra={
                "pool": self._pool_state.pool,
                "term": self._pool_state.term,
                "claims_age_s": self._pool_state.claims.age_s(now),
                "error": str(exc),
            },
        )

    def _note_confirmed(self) -> None:
        if self._waits_since is None:
            return
        waited_s = asyncio.get_running_loop().time() - self._waits_since
        self._waits_since = None
        log.info(
            "owner: certain again that no other daemon has claimed the pool",
            extra={"pool": self._pool_state.pool, "waited_s": round(waited_s, 2)},
        )
