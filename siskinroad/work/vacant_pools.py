"""News of the large daemons while a pool has no owner.

In a large cell, a daemon hears of most others by digests. Aggregators that are lost
together with an owner leave it without news of those that live, and what is passed on
between data centres is older than a silence that counts. So a small daemon could claim
the pool although larger ones live. Therefore

- each daemon that could be the best claimant sends its heartbeat to all others itself,
  so that all know it before they stop waiting for those that they have not heard;
- a daemon that has recently heard of a much larger candidate waits for longer.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.work.members import Members
from siskinroad.work.messages import Heartbeat

__all__ = ["VacantPools", "has_much_larger"]

# Seconds for which a daemon counts as recently heard, though it may be lost by now.
RECENT_S = 4.0
# Factor from which a daemon, or its processor per host, is much larger than another.
MUCH_LARGER = 2.0
# Least seconds between two heartbeats to all: three of them within the wait for
# claimants that were not heard.
ANNOUNCE_INTERVAL = 0.3
# Seconds of a vacancy after which only daemons that were heard meanwhile count: if all
# large ones are lost, the small ones must hear each other before they claim.
UNHEARD_AFTER = 0.6
# Seconds of a vacancy after which no more are sent, as nobody waits for them.
ANNOUNCE_S = 3.0
# Least seconds between two log lines about one pool.
LOG_INTERVAL = 1.0

log = logging.getLogger("siskinroad.claim_manager")


def list_heard(members: Members, since: float) -> list[Heartbeat]:
    """Return the heartbeats of the other daemons heard of since a loop time."""
    return [
        last_heartbeat.heartbeat
        for node, last_heartbeat in members.last_heartbeats.items()
        if last_heartbeat.received_at >= since and node != members.node
    ]


def has_much_larger(members: Members, pool: str, own: Heartbeat, now: float) -> bool:
    """Return whether a much better claimant of a pool was recently heard of.

    Owners that have fallen silent do not count, as they would lose the pool again.

    Parameters
    ----------
    own : Heartbeat
        The heartbeat that this daemon would send now.
    """
    if own.processor <= 0.0:
        return False
    least = MUCH_LARGER * members.find_processor_per_host(pool, own)
    return any(
        each.can_claim
        and each.reaches_store
        and not each.is_leaving
        and not members.is_silent_owner(each.node, now)
        and members.find_processor_per_host(pool, each) >= least
        for each in list_heard(members, now - RECENT_S)
    )


class VacantPools:
    """Sender of one daemon's heartbeats to all others while a pool is vacant.

    Parameters
    ----------
    send_to_all : callable
        Sends a heartbeat to all other daemons.
    """

    def __init__(
        self, members: Members, send_to_all: Callable[[Heartbeat], None]
    ) -> None:
        self._members = members
        self._send_to_all = send_to_all
        self._sent_at = -1e9
        self._logged_at: dict[str, float] = {}

    def announce(self, own: Heartbeat, vacant_since: float) -> None:
        """Send the own heartbeat to all others, if this may be the best claimant.

        Call it again and again while a pool is vacant.
        """
        now = asyncio.get_running_loop().time()
        if now - vacant_since > ANNOUNCE_S or now - self._sent_at < ANNOUNCE_INTERVAL:
            return
        if self._may_be_best(own, vacant_since, now):
            self._sent_at = now
            self._send_to_all(own)

    def _may_be_best(self, own: Heartbeat, vacant_since: float, now: float) -> bool:
        if not own.can_claim or not own.reaches_store:
            return False
        is_late = now - vacant_since > UNHEARD_AFTER
        since = vacant_since if is_late else now - RECENT_S
        processors = [each.processor for each in list_heard(self._members, since)]
        return MUCH_LARGER * own.processor >= max(processors, default=0.0)

    def must_wait(self, pool: str, own: Heartbeat, vacant_since: float) -> bool:
        """Return whether this daemon must leave a vacant pool to a much larger one."""
        now = asyncio.get_running_loop().time()
        if not has_much_larger(self._members, pool, own, now):
            return False
        if now - self._logged_at.get(pool, -1e9) >= LOG_INTERVAL:
            self._logged_at[pool] = now
            recent = list_heard(self._members, now - RECENT_S)
            log.info(
                "claim_manager: much larger daemon heard lately; not claiming yet",
                extra={
                    "pool": pool,
                    "vacant_s": round(now - vacant_since, 2),
                    "processor": own.processor,
                    "largest_processor": max(each.processor for each in recent),
                },
            )
        return True
