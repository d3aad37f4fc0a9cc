"""Extension of an owner's leases while the store does not answer.

Leases end some seconds after the newest time at which their owner was certain that no
successor counts on their end (`witnesses`). Mostly its reads of the claims show that.
While these are late, as in an outage of the store, the owner's witnesses are asked.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Set

from siskinroad.work.claim_knowledge import LEASE_LIMIT_S
from siskinroad.work.follower import Follower
from siskinroad.work.host import MIN_LEASE_S
from siskinroad.work.pool_state import PoolState
from siskinroad.work.progress import ProgressLog
from siskinroad.work.records import HostSet
from siskinroad.work.term import AskWitnesses
from siskinroad.work.witness_counts import count_tolerated

__all__ = ["LeaseExtender"]

# Seconds since the newest certainty after which the witnesses are asked. A read of the
# claims that the store has held open is younger, unless each call takes over 0.15 s.
ASK_AGE_S = 1.2
# Least seconds between two times that they are asked in vain.
ASK_INTERVAL_S = 1.0
# Longest pause in seconds between two checks of what is known.
LONGEST_PAUSE_S = 1.0
# Least seconds between two log lines on whether leases are granted.
LOG_INTERVAL_S = 1.0

log = logging.getLogger("siskinroad.lease_extender")


class LeaseExtender:
    """Asker of the witnesses whenever the claims were not read for a while.

    Parameters
    ----------
    follower : Follower
        Follower of the topic with the claims.
    ask_witnesses : AskWitnesses or None
        Asks the witnesses.
    progress : ProgressLog
        Tells which witnesses and hosts a successor may read in the store.
    """

    def __init__(
        self,
        pool_state: PoolState,
        follower: Follower,
        ask_witnesses: AskWitnesses | None,
        progress: ProgressLog,
    ) -> None:
        self._pool_state = pool_state
        follower.on_confirmed = self._note_read
        self._ask_witnesses = ask_witnesses
        self._progress = progress
        self._is_lapsed = False
        self._lapsed_at = 0.0
        self._lapsed_s = 0.0
        self._is_lapse_logged = False
        self._logged_at = -1e9

    async def run(self) -> None:
        """Ask the witnesses when needed, until cancelled."""
        loop = asyncio.get_running_loop()
        while self._ask_witnesses is not None:
            leases_end_by = self._pool_state.claims.leases_end_by
            due_in_s = leases_end_by - LEASE_LIMIT_S + ASK_AGE_S - loop.time()
            if due_in_s > 0.0:
                await asyncio.sleep(min(due_in_s, LONGEST_PAUSE_S))
                continue
            asked_at = loop.time()
            if not await self._extend(self._ask_witnesses):
                await asyncio.sleep(max(0.0, asked_at + ASK_INTERVAL_S - loop.time()))

    def report_change(self, now: float) -> None:
        """Log that no lease is granted any more, or that leases are granted again."""
        is_lapsed = self._pool_state.claims.leases_end_by - now < MIN_LEASE_S
        if is_lapsed and not self._is_lapsed:
            self._lapsed_at = now
        if self._is_lapsed and not is_lapsed:
            self._lapsed_s = now - self._lapsed_at
        self._is_lapsed = is_lapsed
        is_news = is_lapsed != self._is_lapse_logged
        if is_news and now - self._logged_at >= LOG_INTERVAL_S:
            self._is_lapse_logged = is_lapsed
            self._logged_at = now
            self._log_change(now)

    def _log_change(self, now: float) -> None:
        claims = self._pool_state.claims
        extra = {
            "pool": self._pool_state.pool,
            "term": self._pool_state.term,
            "certain_age_s": claims.lease_age_s(now),
            "claims_age_s": claims.age_s(now),
        }
        if self._is_lapsed:
            log.warning(
                "lease_extender: no lease is granted, no run is started; neither the "
                "store nor all witnesses show that no successor counts on the end",
                extra=extra,
            )
        else:
            log.info(
                "lease_extender: leases are granted again",
                extra={**extra, "waited_s": round(self._lapsed_s, 2)},
            )

    def _note_read(self, confirmed_at: float) -> None:
        if confirmed_at >= 0:
            self._pool_state.claims.note_lease_certain(confirmed_at)

    async def _extend(self, ask_witnesses: AskWitnesses) -> bool:
        """Ask the witnesses; return whether the leases rest on a newer time now."""
        pool_state = self._pool_state
        claims = pool_state.claims
        host_sets = self._progress.list_host_sets()
        witnesses = {node for each in host_sets for node in each.witnesses or ()}
        asked_at, stated = await ask_witnesses(
            pool_state.pool, claims.unclaimed_at, pool_state.term, sorted(witnesses)
        )
        certain_at = min(
            (self._find_certain_at(each, asked_at, stated) for each in host_sets),
            default=-math.inf,
        )
        former_end_by = claims.leases_end_by
        claims.note_lease_certain(certain_at)
        return claims.leases_end_by > former_end_by

    def _find_certain_at(
        self, hosts: HostSet, asked_at: float, stated: Set[str]
    ) -> float:
        """Return until when no successor that has read a set of hosts counts on it."""
        if hosts.witnesses is None:
            return -math.inf
        missing = len(set(hosts.witnesses).difference(stated))
        if not missing:
            return asked_at
        if missing > count_tolerated(len(hosts.witnesses)):
            return -math.inf
        return min(asked_at, self._pool_state.find_tokens_held_at(hosts.names))
