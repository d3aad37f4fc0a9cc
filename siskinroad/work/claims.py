"""Claims, ownership and release of pools by this daemon.

The failures that this handles:

- An owner is killed: its pools are claimed as soon as that is known.
- All daemons are killed at once: the first ones to start claim the pools, after a
  check whether the last owner still listens.
- Daemons stop one after another while the store is slow: the next owner waits only
  a short time for the last records.
- A network partition heals: a daemon that was cut off from both the store and the
  owner waits for heartbeats of the owner before it claims.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport, Reachability
from siskinroad.work.claim import claim_pool
from siskinroad.work.members import Members
from siskinroad.work.model import HostEntry, Setup
from siskinroad.work.owner import Deposed, PoolOwner
from siskinroad.work.records import Member, OwnerRecord
from siskinroad.work.relay import RelayStore
from siskinroad.work.term import OwnerParts

__all__ = ["Claims"]

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
# Seconds without claims after the store replies again. The links to other daemons may
# have been cut as well, and it takes this long to receive the owner's heartbeats again.
RECOVERY_CLAIM_DELAY = 1.0
# Duration in seconds of a claim's first read above which the daemon may have been cut
# off from the network meanwhile.
SLOW_READ_TIME = 0.7
# Time-out in seconds, after HANDOVER_WAIT, for a leaving owner to store its last
# records. A longer one could exceed the grace period in which the daemon must stop.
RELEASE_TIMEOUT = 1.0
# Longest time in seconds for which the next owner waits for these records. Then the
# other daemons are told of the release, whether it is stored or not.
HANDOVER_WAIT = 0.15

log = logging.getLogger("siskinroad.claims")


class Claims:
    """Manager of the pools that this daemon owns or is claiming.

    Parameters
    ----------
    send_heartbeat : callable
        Sends a heartbeat with the owned pools to all other daemons at once.

    Attributes
    ----------
    setup : Setup or None
        The configuration in force; nothing is claimed without one.
    leaving : bool
        Whether this daemon is stopping and claims no more pools.
    owners : dict of str to PoolOwner
        Owners of the pools that this daemon owns, by pool.
    wanted : asyncio.Event
        Set when a pool may have lost its owner.
    """

    def __init__(
        self,
        member: Member,
        members: Members,
        peers: PeerTransport,
        store: RelayStore,
        parts: OwnerParts,
        hosts: dict[str, HostEntry],
        send_heartbeat: Callable[[], None],
    ) -> None:
        self.setup: Setup | None = None
        self.leaving = False
        self.owners: dict[str, PoolOwner] = {}
        self.wanted = asyncio.Event()
        self._member = member
        self._members = members
        self._peers = peers
        self._store = store
        self._parts = parts
        self._hosts = hosts
        self._send_heartbeat = send_heartbeat
        self._pool_tasks: dict[str, asyncio.Task[None]] = {}
        self._vacant_since: dict[str, float] = {}
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
    def able(self) -> bool:
        """Whether this daemon is up long enough, configured and not leaving."""
        is_up_long_enough = self._uptime() >= CLAIM_STARTUP_DELAY
        return is_up_long_enough and self.setup is not None and not self.leaving

    def _uptime(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    async def run(self) -> None:
        """Claim pools that have no owner, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(CLAIM_CHECK_INTERVAL):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            for pool in self.setup.pools if self.setup else ():
                should_claim = pool not in self._pool_tasks and self._should_claim(
                    pool, loop.time()
                )
                if should_claim and self.able:
                    self._pool_tasks[pool] = loop.create_task(self._own_pool(pool))
                    self._send_heartbeat()

    def _should_claim(self, pool: str, now: float) -> bool:
        """Return whether this daemon should claim the pool now."""
        if self._members.owner(pool, now) is not None:
            self._vacant_since.pop(pool, None)
            return False
        if self._members.claimant(pool, now) is not None:
            return False
        vacant_since = self._vacant_since.setdefault(pool, now)
        released = self._members.was_released(pool, now)
        if now - vacant_since < CLAIM_DELAY and not released:
            return False
        if now - self._store_recovered_at < RECOVERY_CLAIM_DELAY:
            return False
        age = now - self._store.answered_at
        return self._members.should_claim(pool, now, len(self._pool_tasks), age)

    def store_returned(self) -> None:
        """Note that the store replies to this daemon again after an outage."""
        self._store_recovered_at = asyncio.get_running_loop().time()

    async def _has_live_owner(
        self, pool: str, owner: OwnerRecord, started_at: float
    ) -> bool:
        """Return whether a pool has a live owner, checked just before the claim."""
        loop = asyncio.get_running_loop()
        if loop.time() - started_at > SLOW_READ_TIME:
            await asyncio.sleep(RECOVERY_CLAIM_DELAY)
        if self._members.owner(pool, loop.time()) is not None:
            return True
        return await self._may_be_alive(owner)

    async def _may_be_alive(self, owner: OwnerRecord) -> bool:
        """Return whether the stored owner may be alive though no heartbeat came yet.

        Only a daemon that started recently asks; later on, the owner's heartbeats
        would have been received.
        """
        if self._uptime() > OWNER_PROBE_UPTIME or owner.node == self._member.node:
            return False
        known = self._members.known.get(owner.node)
        if known is None or known.incarnation != owner.incarnation:
            return False
        heard = self._members.heard.get(owner.node)
        if heard is not None and heard.beat.leaving:
            return False
        return await self._peers.probe(owner.node) is Reachability.LISTENS

    async def _own_pool(self, pool: str) -> None:
        """Claim a pool and own it until another daemon takes it over."""
        event = "failed"
        try:
            owner = await self._claim_pool(pool)
            event = "won"
            await owner.run()
        except Deposed as exc:
            event = "deposed"
            log.warning(
                "claims: ownership of pool lost", extra={"pool": pool, "why": str(exc)}
            )
        except SiskinroadError as exc:
            log.warning(
                "claims: claiming or owning pool failed",
                extra={"pool": pool, "why": str(exc)},
            )
        except Exception:
            event = "failed"
            log.exception(
                "claims: owner of pool failed unexpectedly", extra={"pool": pool}
            )
        finally:
            self._parts.metrics.claims.labels(event).inc()
            self.owners.pop(pool, None)
            self._pool_tasks.pop(pool, None)
            self._vacant_since.pop(pool, None)

    async def _claim_pool(self, pool: str) -> PoolOwner:
        assert self.setup is not None
        record = OwnerRecord(self._member.node, self._member.incarnation)
        started_at = asyncio.get_running_loop().time()
        inherited = await claim_pool(
            self._store,
            pool,
            record,
            lambda former: self._has_live_owner(pool, former, started_at),
        )
        owner = PoolOwner(pool, self._parts, inherited, self.setup)
        self.owners[pool] = owner
        self._send_heartbeat()
        # Deferred until the owner runs: before that, its tasks cannot be spawned.
        asyncio.get_running_loop().call_soon(owner.hosts_listed, self._hosts)
        return owner

    async def give_up_all(self) -> None:
        """Release every pool; accepted work continues under other owners."""
        pools = self.pools
        await asyncio.gather(*(self._release_pool(pool) for pool in pools))
        log.info("claims: all pools released", extra={"pools": pools})

    async def _release_pool(self, pool: str) -> None:
        owner = self.owners.get(pool)
        task = self._pool_tasks[pool]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if owner is None:
            self._send_heartbeat()
            return
        # All calls to hosts have ended. The next owner waits for the last records only
        # if the store is fast: hosts list again whatever those records lack.
        release = asyncio.get_running_loop().create_task(owner.release())
        await asyncio.wait({release}, timeout=HANDOVER_WAIT)
        self._send_heartbeat()
        await asyncio.wait({release}, timeout=RELEASE_TIMEOUT)
        if not release.done():
            release.cancel()
            log.warning(
                "claims: release of pool not stored in time", extra={"pool": pool}
            )

    async def close(self) -> None:
        """Stop owning all pools at once, without a release."""
        tasks = list(self._pool_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
