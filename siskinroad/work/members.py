"""Which daemons there are, which of them live, and who should own a pool."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from siskinroad.work.messages import Beat
from siskinroad.work.records import Member

__all__ = ["ALIVE_TIME", "BEAT_TIME", "OWNER_ALIVE_TIME", "OWNER_BEAT_TIME", "Members"]

# Seconds between two beats, and without one until a daemon is taken as dead.
# Owners beat faster: what a dead one runs has to be held within its lease, and
# new work waits for its successor.
BEAT_TIME = 0.6
ALIVE_TIME = 2.0
OWNER_BEAT_TIME = 0.2
OWNER_ALIVE_TIME = 0.75
# Seconds without an answer of the store after which others should own.
STORE_AGE = 2.5


@dataclass(slots=True)
class _Heard:
    beat: Beat
    at: float


@dataclass(slots=True)
class Members:
    """The daemons on record and the newest beat of each.

    Attributes
    ----------
    node : str
        This daemon's name.
    incarnation : int
        This daemon's life; a later life has a higher one.
    given_up : dict of str to float
        Loop time at which a pool's owner gave it up, or its process ended.
    """

    node: str
    incarnation: int
    known: dict[str, Member] = field(default_factory=dict)
    heard: dict[str, _Heard] = field(default_factory=dict)
    given_up: dict[str, float] = field(default_factory=dict)

    def learn(self, member: Member) -> bool:
        """Take in a member on record; return whether it is news."""
        old = self.known.get(member.node)
        if old is not None and old.incarnation >= member.incarnation:
            return False
        self.known[member.node] = member
        return True

    def forget_all_but(self, nodes: set[str]) -> None:
        """Drop members that are no longer on record."""
        for node in [n for n in self.known if n not in nodes]:
            del self.known[node]

    def hear(self, beat: Beat, now: float) -> None:
        """Take in a beat, but never one of an earlier life."""
        old = self.heard.get(beat.node)
        if old is not None and beat.leaving:
            kept = {pool for pool, _ in beat.owned}
            for pool, _ in old.beat.owned:
                if pool not in kept:
                    self.given_up[pool] = now
        if old is None or old.beat.incarnation <= beat.incarnation:
            self.heard[beat.node] = _Heard(beat, now)

    def ended(self, node: str, now: float) -> None:
        """Note that a daemon's process seems to have ended.

        Its pools may be claimed at once. It is no proof that its leases only have
        to lapse, and the next beat of the daemon takes it back.
        """
        old = self.heard.pop(node, None)
        for pool, _ in old.beat.owned if old is not None else ():
            self.given_up[pool] = now

    def others(self) -> list[str]:
        """Return every other member on record."""
        return [node for node in self.known if node != self.node]

    def alive(self, now: float) -> list[str]:
        """Return the other daemons heard of late that do not leave, by name."""
        return sorted(
            node
            for node, heard in self.heard.items()
            if now - heard.at <= ALIVE_TIME
            and not heard.beat.leaving
            and node != self.node
        )

    def answers(self, node: str, now: float) -> bool:
        """Return whether a daemon, leaving or not, was heard of late."""
        heard = self.heard.get(node)
        return heard is not None and now - heard.at <= ALIVE_TIME

    def is_later_life(self, node: str, incarnation: int) -> bool:
        """Return whether a later life of a daemon has been heard."""
        if node == self.node:
            return incarnation < self.incarnation
        heard = self.heard.get(node)
        return heard is not None and heard.beat.incarnation > incarnation

    def owner(self, pool: str, now: float) -> str | None:
        """Return the living daemon that owns a pool under the highest term."""
        best: tuple[int, str] | None = None
        for node, heard in self.heard.items():
            if now - heard.at > OWNER_ALIVE_TIME:
                continue
            for name, term in heard.beat.owned:
                if name == pool and (best is None or (term, node) > best):
                    best = (term, node)
        return best[1] if best else None

    def claimant(self, pool: str, now: float) -> str | None:
        """Return another living daemon that is about to own the pool.

        A claim takes seconds while the store is slow; a second one would undo it.
        """
        for node in self.alive(now):
            heard = self.heard[node]
            fresh = now - heard.at <= OWNER_ALIVE_TIME
            if fresh and pool in heard.beat.claiming:
                return node
        return None

    def gatherer(self, pool: str, now: float, store_age: float) -> str:
        """Return the daemon that stores a pool's jobs while nobody owns it.

        It is the one that is about to own it, or of all that reach the store the
        first by rank, this one included.
        """
        claimant = self.claimant(pool, now)
        if claimant is not None:
            return claimant
        nodes = self.reaches_store(now)
        if store_age <= STORE_AGE or not nodes:
            nodes.append(self.node)
        return min(nodes, key=lambda node: _rank(pool, node))

    def has_given_up(self, pool: str, now: float) -> bool:
        """Return whether the pool's owner has just handed it over or ended."""
        return now - self.given_up.get(pool, -1e9) <= ALIVE_TIME

    def reaches_store(self, now: float) -> list[str]:
        """Return the living daemons that the store answered of late."""
        return [
            node
            for node in self.alive(now)
            if self.heard[node].beat.store_age <= STORE_AGE
        ]

    def should_claim(self, pool: str, now: float, owned: int, store_age: float) -> bool:
        """Return whether this daemon is the one to claim a pool without an owner.

        The daemon that owns least comes first, and of equal ones that with the
        lowest hash for the pool, so that all of them agree on one.
        """
        if store_age > STORE_AGE:
            return False
        own = (owned, _rank(pool, self.node))
        for node in self.reaches_store(now):
            beat = self.heard[node].beat
            # One that has just started defers to others, and they to nobody.
            if not beat.able:
                continue
            if (len(beat.owned), _rank(pool, node)) < own:
                return False
        return True


def _rank(pool: str, node: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{node}".encode(), digest_size=8).digest()
