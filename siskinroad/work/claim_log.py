"""Log of what this daemon's decisions to claim a pool rest on."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.work.heard_owners import HeardOwner, HeardOwners
from siskinroad.work.loop_delay import LoopDelay
from siskinroad.work.members import HEARTBEAT_TIMEOUT, Members
from siskinroad.work.messages import Heartbeat

__all__ = ["ClaimLog"]

# Least seconds between two lines about one pool.
LOG_INTERVAL = 1.0

log = logging.getLogger("siskinroad.claim_manager")


class ClaimLog:
    """Writer of one line for each decision to claim a pool.

    Parameters
    ----------
    loop_delay : LoopDelay
        Delays of the event loop, which may have delayed the owner's heartbeats.
    """

    def __init__(
        self, members: Members, heard_owners: HeardOwners, loop_delay: LoopDelay
    ) -> None:
        self._members = members
        self._heard_owners = heard_owners
        self._loop_delay = loop_delay
        self._logged_at: dict[str, float] = {}

    def log_claim(self, pool: str, own: Heartbeat, vacant_since: float | None) -> None:
        """Log what the claim of a pool rests on, at most once in ``LOG_INTERVAL``.

        Parameters
        ----------
        own : Heartbeat
            The heartbeat that this daemon would send now.
        vacant_since : float or None
            Loop time since which no owner acts for the pool, as far as known here.
        """
        now = asyncio.get_running_loop().time()
        if now - self._logged_at.get(pool, -1e9) < LOG_INTERVAL:
            return
        self._logged_at[pool] = now
        since = now if vacant_since is None else vacant_since
        delay_s = self._loop_delay.largest_since(now - HEARTBEAT_TIMEOUT)
        log.info(
            "claim_manager: claiming a pool",
            extra={
                "pool": pool,
                **self._describe_owner(pool, now),
                "vacant_s": round(now - since, 2),
                "store_age_s": own.store_age,
                "processor": own.processor,
                "candidates": self._members.count_candidates(now),
                "largest_processor": self._members.find_largest_processor(now),
                "loop_delay_s": round(delay_s, 3),
            },
        )

    def _describe_owner(self, pool: str, now: float) -> dict[str, object]:
        """Return the owner last heard, and how its ownership ended if that is known."""
        heard = self._heard_owners.find(pool)
        if heard is None:
            has_ended = False
        else:
            has_ended = self._members.has_ended_since(heard.node, heard.heard_at)
        return {
            "owner": heard.node if heard is not None else None,
            "owner_term": heard.term if heard is not None else None,
            "owner_silent_s": _round_age(heard, now),
            "is_released": self._members.was_released(pool, now) and not has_ended,
            "has_ended": has_ended,
        }


def _round_age(heard: HeardOwner | None, now: float) -> float | None:
    return round(now - heard.heard_at, 2) if heard is not None else None
