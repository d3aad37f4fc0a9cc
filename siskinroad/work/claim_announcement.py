"""Announcement of one claim to the witnesses of the former owners."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.work.claim import InheritedState
from siskinroad.work.records import FormerOwner
from siskinroad.work.term import SendNotices
from siskinroad.work.witnesses import find_bound_at

__all__ = ["ClaimAnnouncement"]

# Seconds between two rounds of notices.
ROUND_INTERVAL = 0.3
# Seconds between two checks of whether the acknowledgements are enough.
CHECK_INTERVAL = 0.05

log = logging.getLogger("siskinroad.claim_announcement")


class ClaimAnnouncement:
    """Notices of a claim, until no former owner extends leases any more.

    Parameters
    ----------
    send_notices : SendNotices
        Sends notices to members, see `ClaimNotices.send`.
    node : str
        Name of this daemon, which states nothing to former owners.
    inherited : InheritedState
        What was read at the claim.
    find_former : callable
        Returns the former owners that may still renew leases, or None if not all of
        them are known.
    find_fenced : callable
        Returns the names of the hosts that have answered under this term.
    """

    def __init__(
        self,
        send_notices: SendNotices,
        node: str,
        pool: str,
        inherited: InheritedState,
        find_former: Callable[[], tuple[FormerOwner, ...] | None],
        find_fenced: Callable[[], frozenset[str]],
    ) -> None:
        self._send_notices = send_notices
        self._pool = pool
        self._term = inherited.term
        self._fenced_at = inherited.fenced_at
        self._refused_at = inherited.refused_at
        self._refused_at[node] = inherited.fenced_at
        self._find_former = find_former
        self._find_fenced = find_fenced

    async def run(self, is_needed: Callable[[], bool]) -> float | None:
        """Return the loop time since which no former owner extends leases.

        Parameters
        ----------
        is_needed : callable
            Returns whether that still matters; None is returned if it does not.
        """
        sending = asyncio.create_task(self._run_sending())
        try:
            while is_needed():
                bound_at = self._find_bound_at()
                if bound_at is not None:
                    return bound_at
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            sending.cancel()
        return None

    def _find_bound_at(self) -> float | None:
        """Return the loop time since which no former owner extends leases, or None.

        What a former owner has stored could change until the store has fenced it.
        """
        former = self._find_limited()
        times = [self._bound_at(each) for each in former]
        known = [at for at in times if at is not None]
        if not former or len(known) < len(times):
            return None
        return max(self._fenced_at, *known)

    def _find_limited(self) -> tuple[FormerOwner, ...]:
        """Return the former owners, if all are known and limit their leases."""
        former = self._find_former() or ()
        return former if all(each.uses_witnesses for each in former) else ()

    def _bound_at(self, former: FormerOwner) -> float | None:
        now = asyncio.get_running_loop().time()
        return find_bound_at(former, self._refused_at, self._find_fenced(), now)

    async def _run_sending(self) -> None:
        while True:
            try:
                await self._send_round()
            except Exception:
                # It only lengthens the owner's wait.
                log.exception(
                    "claim_announcement: round of notices failed; making another one",
                    extra={"pool": self._pool, "term": self._term},
                )
            await asyncio.sleep(ROUND_INTERVAL)

    async def _send_round(self) -> None:
        unbound = [f for f in self._find_limited() if self._bound_at(f) is None]
        witnesses = {node for each in unbound for node in each.witnesses or ()}
        asked = sorted(witnesses.difference(self._refused_at))
        if asked:
            await self._send_notices(self._pool, self._term, asked, self._refused_at)
