"""Claims, ownership and release of pools by this daemon.

Failures that the manager handles:

- An owner is killed: its pools are claimed as soon as that is known.
- All daemons are killed at once: the first ones to start claim the pools, after
  they have probed whether the stored owner still listens.
- All daemons start at once: each may claim before it knows that the others can. They
  wait a short time for the best claimant, so that not all of them claim every pool.
- Daemons stop one after another while the store is slow: the next owner waits only
  a short time for the last records.
- A network partition heals: a daemon that was cut off from both the store and the
  owner waits for heartbeats of the owner before it claims.
- An owner relies on the other members' statements while the store is down: a daemon of
  which it can't know does not claim yet (`newcomer_check`).
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport, Reachability
from siskinroad.work.claim import InheritedState, claim_pool
from siskinroad.work.claim_log import ClaimLog
from siskinroad.work.heard_owners import HeardOwners
from siskinroad.work.members import Members
from siskinroad.work.messages import Heartbeat
from siskinroad.work.model import Configuration, HostEntry
from siskinroad.work.newcomer_check import NewcomerCheck
from siskinroad.work.owner import OwnershipLostError, PoolOwner
from siskinroad.work.owner_check import OwnerCheck
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import Member, OwnerRecord
from siskinroad.work.relay import RelayStore
from siskinroad.work.term import OwnerDependencies
from siskinroad.work.vacant_pools import VacantPools

__all__ = ["ClaimManager"]

# Longest interval in seconds between two checks for pools without an owner.
CLAIM_CHECK_INTERVAL = 0.2
# Seconds after its start before a daemon claims a pool. With less, it would claim
# before it has received the heartbeats of the other daemons.
CLAIM_STARTUP_DELAY = 0.35
# Uptime in seconds up to which a daemon probes the stored owner before it claims, as
# it may not yet have received that owner's heartbeats.
OWNER_PROBE_UPTIME = 1.5
# Seconds for which a pool must have had no live owner before it is claimed, unless its
# owner released it.
CLAIM_DELAY = 0.25
# Seconds for which a pool without an owner waits for a better claimant that has just
# started and cannot claim yet, or of which that is not known yet.
STARTING_CLAIMANT_WAIT = 0.8
# Seconds for which a pool without an owner waits for a claimant that was not heard of
# meanwhile, and may have been lost together with the owner: longer than the interval of
# heartbeats.
UNHEARD_CLAIMANT_WAIT = 0.9
# The same in seconds, for a daemon that has recently heard of a much larger one.
LARGER_CLAIMANT_WAIT = UNHEARD_CLAIMANT_WAIT + 0.3
# Seconds without a direct reply of the store after which a daemon leaves claims to one
# whose newest reply is not older than RECENT_REPLY: a second of a read that waits, and
# time for a probe.
DIRECT_SILENCE = 1.6
RECENT_REPLY = 1.2
# Seconds without claims after the store replies again. The links to other daemons may
# have been cut as well, and it takes this long to receive the owner's heartbeats again.
RECOVERY_CLAIM_DELAY = 1.0
# Duration in seconds of a claim's first read above which the daemon may have been cut
# off from the network meanwhile.
SLOW_READ_TIME = 0.7
# Timeout in seconds, counted from the end of HANDOVER_WAIT, for a leaving owner to
# store its last records. A longer one could exceed the grace period in which the daemon
# must stop.
RELEASE_TIMEOUT = 1.0
# Seconds after which a leaving owner announces the release to the other daemons, even
# if its last records are not stored yet. A longer wait delays the next owner.
HANDOVER_WAIT = 0.15

log = logging.getLogger("siskinroad.claim_manager")


class ClaimManager:
    """Manager of the pools that this daemon owns or is claiming.

    Parameters
    ----------
    queue_registry : QueueRegistry
        The queues that were ever sent to a pool.
    newcomer_check : NewcomerCheck
        Check whether the other daemons know this one.
    make_heartbeat : callable
        Returns the heartbeat that this daemon would send now.
    send_heartbeat : callable
        Sends a heartbeat with the owned pools to all other daemons at once.
    heard_owners : HeardOwners
        Owners by their own heartbeats.
    owner_check : OwnerCheck
        Check whether other members hear an owner that is silent here.
    vacant_pools : VacantPools
        News of the large daemons while a pool has no owner.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force; nothing is claimed without one.
    is_leaving : bool
        Whether this daemon is stopping and claims no more pools.
    owners : dict of str to PoolOwner
        Owners of the pools that this daemon owns, by pool.
    check_requested : asyncio.Event
        Set when a pool may have lost its owner.
    """

    def __init__(
        self,
        member: Member,
        members: Members,
        peers: PeerTransport,
        store: RelayStore,
        dependencies: OwnerDependencies,
        hosts: dict[str, HostEntry],
        queue_registry: QueueRegistry,
        newcomer_check: NewcomerCheck,
        make_heartbeat: Callable[[], Heartbeat],
        send_heartbeat: Callable[[], None],
        heard_owners: HeardOwners,
        owner_check: OwnerCheck,
        vacant_pools: VacantPools,
    ) -> None:
        self.configuration: Configuration | None = None
        self._queue_registry = queue_registry
        self._newcomer_check = newcomer_check
        self.is_leaving = False
        self.owners: dict[str, PoolOwner] = {}
        self.check_requested = asyncio.Event()
        self._member = member
        self._members = members
        self._peers = peers
        self._store = store
        self._dependencies = dependencies
        self._heard_owners = heard_owners
        self._owner_check = owner_check
        self._vacant_pools = vacant_pools
        self._claim_log = ClaimLog(members, heard_owners, dependencies.loop_delay)
        self._was_hindered = False
        self._hosts = hosts
        self._make_heartbeat = make_heartbeat
        self._send_heartbeat = send_heartbeat
        self._pool_tasks: dict[str, asyncio.Task[None]] = {}
        self._first_notices: set[asyncio.Task[None]] = set()
        self._vacant_since: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._store_recovered_at = -1e9
        self._started_at = asyncio.get_running_loop().time()

    @property
    def pools(self) -> list[str]:
        """Names of the pools that this daemon owns or is claiming."""
        return list(self._pool_tasks)

    @property
    def claiming(self) -> tuple[str, ...]:
        """Names of the pools that this daemon is claiming."""
        return tuple(pool for pool in self._pool_tasks if pool not in self.owners)

    @property
    def can_claim(self) -> bool:
        """Whether this daemon is up long enough, known, configured and not leaving.

        Nor can one that receives nothing, or that others can spare as they reach the
        store and it does not.
        """
        if self._uptime() < CLAIM_STARTUP_DELAY or self.is_leaving:
            return False
        now = asyncio.get_running_loop().time()
        if self._owner_check.is_unanswered or self._needs_relay(now):
            return False
        return self.configuration is not None and self._newcomer_check.may_claim(now)

    def _needs_relay(self, now: float) -> bool:
        """Return whether a pool is vacant and only others reach the store directly."""
        if not self._vacant_since:
            return False
        if now - self._store.direct_answer_at <= DIRECT_SILENCE:
            return False
        return self._members.has_store_age(RECENT_REPLY, now)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, here and to the owners of this daemon's pools."""
        self.configuration = configuration
        for owner in self.owners.values():
            owner.configure(configuration)

    def _uptime(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    async def run(self) -> None:
        """Claim pools that have no owner, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(CLAIM_CHECK_INTERVAL):
                    await self.check_requested.wait()
            except TimeoutError:
                pass
            self.check_requested.clear()
            for pool in self._pools_by_size():
                if pool in self._pool_tasks:
                    continue
                if not self._should_claim(pool, loop.time()):
                    continue
                if not self.can_claim:
                    self._newcomer_check.request_check()
                    continue
                self._claim_log.log_claim(
                    pool, self._make_heartbeat(), self._vacant_since.get(pool)
                )
                self._pool_tasks[pool] = loop.create_task(self._own_pool(pool))
                self._send_heartbeat()
            self._tell_if_hindered()

    def _tell_if_hindered(self) -> None:
        """Tell the others at once if this daemon begins or ends to leave claims."""
        now = asyncio.get_running_loop().time()
        is_unanswered = self._owner_check.is_unanswered
        needs_relay = self._needs_relay(now)
        if (is_unanswered or needs_relay) is self._was_hindered:
            return
        self._was_hindered = is_unanswered or needs_relay
        self._send_heartbeat()
        log.info(
            "claim_manager: whether this daemon leaves claims to others has changed",
            extra={
                "leaves": self._was_hindered,
                "is_unanswered": is_unanswered,
                "needs_relay": needs_relay,
                "store_age_s": round(now - self._store.direct_answer_at, 2),
            },
        )

    def _pools_by_size(self) -> list[str]:
        """Return all pools, those of most hosts first.

        The daemon with the most processor is chosen for the pool that is claimed first.
        A pool that the configuration has no more may still hold accepted jobs.
        """
        if self.configuration is None:
            return []
        configured = self.configuration.pools
        removed = self._queue_registry.list_pools().difference(configured)
        pools = (*configured, *sorted(removed))
        return sorted(pools, key=self._members.pool_size, reverse=True)

    def _should_claim(self, pool: str, now: float) -> bool:
        """Return whether this daemon should claim the pool now."""
        if self._members.acting_owner(pool, now) is not None:
            self._vacant_since.pop(pool, None)
            self._owner_check.forget(pool)
            return False
        if self._members.claimant(pool, now) is not None:
            return False
        vacant_since = self._vacant_since.setdefault(pool, now)
        is_best = self._is_best_claimant(pool, vacant_since, now)
        if now - self._store_recovered_at < RECOVERY_CLAIM_DELAY:
            return False
        if self._was_released(pool, now):
            return is_best
        self._owner_check.ask(pool, vacant_since, is_claimant=is_best)
        if not is_best or now - vacant_since < CLAIM_DELAY:
            return False
        return self._owner_check.is_lost(pool)

    def _is_best_claimant(self, pool: str, vacant_since: float, now: float) -> bool:
        own = self._make_heartbeat()
        self._vacant_pools.announce(own, vacant_since)
        may_wait = now - vacant_since < STARTING_CLAIMANT_WAIT
        is_late = now - vacant_since >= UNHEARD_CLAIMANT_WAIT
        is_best = self._members.should_claim(
            pool,
            now,
            own,
            may_wait=may_wait,
            heard_since=vacant_since if is_late else -math.inf,
        )
        if not is_best or now - vacant_since >= LARGER_CLAIMANT_WAIT:
            return is_best
        return not self._vacant_pools.must_wait(pool, own, vacant_since)

    def _was_released(self, pool: str, now: float) -> bool:
        """Return whether the owner last heard has released the pool or has ended."""
        if not self._members.was_released(pool, now):
            return False
        heard = self._heard_owners.find(pool)
        return heard is None or heard.heard_at <= self._members.released_at[pool]

    def find_acting_term(self, pool: str) -> int | None:
        """Return the term under which this daemon acts for a pool, or None.

        It is 0 while this daemon is claiming the pool.
        """
        owner = self.owners.get(pool)
        if owner is None:
            return 0 if pool in self._pool_tasks else None
        now = asyncio.get_running_loop().time()
        return None if owner.has_lapsed(now) else owner.term.number

    def note_store_recovered(self) -> None:
        """Note that the store replies to this daemon again after an outage."""
        self._store_recovered_at = asyncio.get_running_loop().time()

    async def _has_live_owner(
        self, pool: str, owner: OwnerRecord, started_at: float
    ) -> bool:
        """Return whether a pool has a live owner, checked just before the claim."""
        loop = asyncio.get_running_loop()
        if loop.time() - started_at > SLOW_READ_TIME:
            await asyncio.sleep(RECOVERY_CLAIM_DELAY)
        if self._members.acting_owner(pool, loop.time()) is not None:
            return True
        return await self._may_be_alive(owner)

    async def _may_be_alive(self, owner: OwnerRecord) -> bool:
        """Return whether the stored owner still listens, by a probe.

        Only a daemon that started recently sends the probe; later on, the owner's
        heartbeats would have been received.
        """
        if self._uptime() > OWNER_PROBE_UPTIME or owner.node == self._member.node:
            return False
        known = self._members.known.get(owner.node)
        if known is None or known.incarnation != owner.incarnation:
            return False
        last_heartbeat = self._members.last_heartbeats.get(owner.node)
        if last_heartbeat is not None and last_heartbeat.heartbeat.is_leaving:
            return False
        return await self._peers.probe(owner.node) is Reachability.LISTENS

    async def _own_pool(self, pool: str) -> None:
        """Claim a pool and own it until another daemon takes it over."""
        event = "failed"
        try:
            owner = await self._claim_pool(pool)
            event = "won"
            await owner.run()
        except OwnershipLostError as exc:
            event = "deposed"
            log.warning(
                "claim_manager: ownership of pool lost; its owner here has stopped",
                extra={"pool": pool, "why": str(exc), **self._describe_owner(pool)},
            )
        except SiskinroadError as exc:
            log.warning(
                "claim_manager: claiming or owning pool failed; "
                "it may be claimed again at a later check",
                extra={"pool": pool, "why": str(exc)},
            )
        except Exception:
            event = "failed"
            log.exception(
                "claim_manager: owner of pool failed unexpectedly; "
                "it may be claimed again at a later check",
                extra={"pool": pool},
            )
        finally:
            self._dependencies.metrics.claims.labels(event).inc()
            self.owners.pop(pool, None)
            self._pool_tasks.pop(pool, None)
            self._vacant_since.pop(pool, None)
            self._ended_at[pool] = asyncio.get_running_loop().time()

    def _describe_owner(self, pool: str) -> dict[str, int | float | None]:
        """Return for the logs under which term, and on claims how old, it acted."""
        owner = self.owners.get(pool)
        if owner is None:
            return {}
        now = asyncio.get_running_loop().time()
        claims_age_s = owner.pool_state.claims.age_s(now)
        return {"term": owner.term.number, "claims_age_s": claims_age_s}

    async def _claim_pool(self, pool: str) -> PoolOwner:
        assert self.configuration is not None
        record = OwnerRecord(
            self._member.node, self._member.incarnation, uses_witnesses=True
        )
        started_at = asyncio.get_running_loop().time()
        inherited = await claim_pool(
            self._store,
            pool,
            record,
            lambda former: self._has_live_owner(pool, former, started_at),
            lambda claimed: self._send_first_notices(pool, claimed),
        )
        owner = PoolOwner(
            pool,
            self._dependencies,
            inherited,
            self.configuration,
            self._queue_registry.list_queues(pool),
        )
        self.owners[pool] = owner
        self._send_heartbeat()
        # Deferred until the owner runs: before that, its tasks cannot be spawned.
        asyncio.get_running_loop().call_soon(owner.apply_host_list, self._hosts)
        return owner

    def _send_first_notices(self, pool: str, claimed: InheritedState) -> None:
        """Tell all other members of a claim that has just been stored.

        Which of them are witnesses of the former owner is known only once its state is
        read. One that has released the pool has stopped.
        """
        send_notices = self._dependencies.send_notices
        if send_notices is None or claimed.former_term <= claimed.released_term:
            return
        task = asyncio.create_task(
            send_notices(
                pool,
                claimed.term,
                self._members.other_members(),
                claimed.refused_at,
            )
        )
        self._first_notices.add(task)
        task.add_done_callback(self._first_notices.discard)

    def has_stopped(self, pool: str, term: int) -> bool:
        """Return whether this daemon no longer acts under its claim of a term.

        Asked by a later owner, so an owner of that term here is deposed. A claim in
        progress may be the one of that term.
        """
        owner = self.owners.get(pool)
        if owner is None:
            return pool not in self._pool_tasks
        if owner.term.number > term:
            return True
        owner.recheck_claims()
        return False

    def unclaimed_s(self, pool: str) -> float:
        """Return for how long this daemon has neither owned nor claimed a pool.

        At most its uptime: it does not know what its former incarnation did. A
        suspension is not counted, so that the time may be too short, never too long.
        """
        if pool in self._pool_tasks:
            return 0.0
        since = max(self._started_at, self._ended_at.get(pool, self._started_at))
        return asyncio.get_running_loop().time() - since

    async def release_all(self) -> None:
        """Release every pool; accepted work continues under other owners."""
        pools = self.pools
        await asyncio.gather(*(self._release_pool(pool) for pool in pools))
        log.info("claim_manager: all pools released", extra={"pools": pools})

    async def _release_pool(self, pool: str) -> None:
        owner = self.owners.get(pool)
        task = self._pool_tasks[pool]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if owner is None:
            self._send_heartbeat()
            return
        # All calls to hosts have ended. The announcement waits for the last records for
        # HANDOVER_WAIT at most: hosts list again whatever those records lack.
        release = asyncio.get_running_loop().create_task(owner.release())
        await asyncio.wait({release}, timeout=HANDOVER_WAIT)
        self._send_heartbeat()
        await asyncio.wait({release}, timeout=RELEASE_TIMEOUT)
        if not release.done():
            release.cancel()
            log.warning(
                "claim_manager: release of pool not stored in time; "
                "the next owner may lack the last records",
                extra={"pool": pool},
            )

    async def close(self) -> None:
        """Stop the owners of all pools at once, without a release."""
        self._owner_check.close()
        tasks = [*self._pool_tasks.values(), *self._first_notices]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
