"""Membership of daemons: liveness by heartbeats, and the choice of pool owners."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from siskinroad.work.messages import Beat
from siskinroad.work.records import Member

__all__ = ["ALIVE_TIME", "BEAT_TIME", "OWNER_ALIVE_TIME", "OWNER_BEAT_TIME", "Members"]

# Seconds between two heartbeats of a daemon, and seconds without one after which it is
# considered dead. Both are shorter for owners: the leases of a dead owner's hosts must
# be renewed by its successor before they expire, and new work waits for the successor.
BEAT_TIME = 0.6
ALIVE_TIME = 2.0
OWNER_BEAT_TIME = 0.2
OWNER_ALIVE_TIME = 0.75
# Seconds without a reply from the store after which a daemon claims no pool and writes
# no jobs of unowned pools, so that daemons which reach the store do.
MAX_STORE_AGE = 2.5


@dataclass(slots=True)
class _LastHeartbeat:
    """Newest heartbeat of a daemon and the loop time of its receipt."""

    beat: Beat
    at: float


@dataclass(slots=True)
class Members:
    """The daemons listed in the store and the newest heartbeat of each.

    Attributes
    ----------
    node : str
        This daemon's name.
    incarnation : int
        This daemon's incarnation; a later incarnation has a higher number.
    released_at : dict of str to float
        Loop time at which a pool's owner released it or its process ended, by pool.
    """

    node: str
    incarnation: int
    known: dict[str, Member] = field(default_factory=dict)
    heard: dict[str, _LastHeartbeat] = field(default_factory=dict)
    released_at: dict[str, float] = field(default_factory=dict)

    def learn(self, member: Member) -> bool:
        """Add a member listed in the store; return whether it is new."""
        previous = self.known.get(member.node)
        if previous is not None and previous.incarnation >= member.incarnation:
            return False
        self.known[member.node] = member
        return True

    def forget_all_but(self, nodes: set[str]) -> None:
        """Remove members that are no longer listed in the store."""
        for node in [n for n in self.known if n not in nodes]:
            del self.known[node]

    def hear(self, beat: Beat, now: float) -> None:
        """Apply a heartbeat, unless it is from an earlier incarnation."""
        previous = self.heard.get(beat.node)
        if previous is not None and beat.leaving:
            kept = {pool for pool, _ in beat.owned}
            for pool, _ in previous.beat.owned:
                if pool not in kept:
                    self.released_at[pool] = now
        if previous is None or previous.beat.incarnation <= beat.incarnation:
            self.heard[beat.node] = _LastHeartbeat(beat, now)

    def ended(self, node: str, now: float) -> None:
        """Note that a daemon's process seems to have ended.

        Its pools may then be claimed at once. This does not prove that it no longer
        renews leases; its next heartbeat makes it a live daemon again.
        """
        previous = self.heard.pop(node, None)
        for pool, _ in previous.beat.owned if previous is not None else ():
            self.released_at[pool] = now

    def others(self) -> list[str]:
        """Return the names of all other members listed in the store."""
        return [node for node in self.known if node != self.node]

    def alive(self, now: float) -> list[str]:
        """Return the other live daemons that are not leaving, sorted by name."""
        return sorted(
            node
            for node, heard in self.heard.items()
            if now - heard.at <= ALIVE_TIME
            and not heard.beat.leaving
            and node != self.node
        )

    def answers(self, node: str, now: float) -> bool:
        """Return whether a daemon, leaving or not, sent a heartbeat recently."""
        heard = self.heard.get(node)
        return heard is not None and now - heard.at <= ALIVE_TIME

    def is_later_life(self, node: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a daemon is known."""
        if node == self.node:
            return incarnation < self.incarnation
        heard = self.heard.get(node)
        return heard is not None and heard.beat.incarnation > incarnation

    def owner(self, pool: str, now: float) -> str | None:
        """Return the live daemon that owns a pool under the highest term."""
        best: tuple[int, str] | None = None
        for node, heard in self.heard.items():
            if now - heard.at > OWNER_ALIVE_TIME:
                continue
            for name, term in heard.beat.owned:
                if name == pool and (best is None or (term, node) > best):
                    best = (term, node)
        return best[1] if best else None

    def claimant(self, pool: str, now: float) -> str | None:
        """Return another live daemon that is claiming the pool.

        A claim takes seconds while the store is slow; a second one would take
        the pool from the first claimant.
        """
        for node in self.alive(now):
            heard = self.heard[node]
            is_fresh = now - heard.at <= OWNER_ALIVE_TIME
            if is_fresh and pool in heard.beat.claiming:
                return node
        return None

    def gatherer(self, pool: str, now: float, store_age: float) -> str:
        """Return the daemon that writes a pool's jobs to the store while it is unowned.

        This is the daemon that is claiming the pool. If there is none, it is the
        first by rank of all daemons that reach the store, this one included.
        """
        claimant = self.claimant(pool, now)
        if claimant is not None:
            return claimant
        nodes = self.reaches_store(now)
        if store_age <= MAX_STORE_AGE or not nodes:
            nodes.append(self.node)
        return min(nodes, key=lambda node: _rank(pool, node))

    def was_released(self, pool: str, now: float) -> bool:
        """Return whether the pool's owner has recently released it or ended."""
        return now - self.released_at.get(pool, -1e9) <= ALIVE_TIME

    def reaches_store(self, now: float) -> list[str]:
        """Return the other live daemons that the store replied to recently."""
        return [
            node
            for node in self.alive(now)
            if self.heard[node].beat.store_age <= MAX_STORE_AGE
        ]

    def should_claim(self, pool: str, now: float, owned: int, store_age: float) -> bool:
        """Return whether this daemon should claim a pool that has no owner.

        The daemon that owns the fewest pools comes first; ties go to the lowest hash
        for the pool. So all daemons choose the same one.
        """
        if store_age > MAX_STORE_AGE:
            return False
        own = (owned, _rank(pool, self.node))
        for node in self.reaches_store(now):
            beat = self.heard[node].beat
            # A daemon that has just started defers to others, but others not to it.
            if not beat.able:
                continue
            if (len(beat.owned), _rank(pool, node)) < own:
                return False
        return True


def _rank(pool: str, node: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{node}".encode(), digest_size=8).digest()
