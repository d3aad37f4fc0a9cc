"""Membership of daemons: liveness by heartbeats, and the choice of pool owners."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from siskinroad.work.messages import MAX_STORE_AGE, Heartbeat
from siskinroad.work.records import Member

__all__ = [
    "HEARTBEAT_INTERVAL",
    "HEARTBEAT_TIMEOUT",
    "OWNER_HEARTBEAT_INTERVAL",
    "OWNER_HEARTBEAT_TIMEOUT",
    "Members",
    "has_news",
    "rank_node",
]

# Seconds between two heartbeats of a daemon, and seconds without one after which it is
# considered dead. Both are shorter for owners: the leases of a dead owner's hosts must
# be renewed by its successor before they expire, and new work waits for the successor.
HEARTBEAT_INTERVAL = 0.6
HEARTBEAT_TIMEOUT = 2.0
OWNER_HEARTBEAT_INTERVAL = 0.2
OWNER_HEARTBEAT_TIMEOUT = 0.75
# Bytes of the digest of the members' names.
MEMBERS_DIGEST_SIZE = 8


@dataclass(slots=True)
class _LastHeartbeat:
    """Newest heartbeat of a daemon, and when it showed that the daemon was alive.

    Attributes
    ----------
    received_at : float
        Loop time at which the daemon was last alive, by itself or by a digest.
    direct_at : float
        Loop time at which a heartbeat came from the daemon itself. Only that shows
        which pools it owns or claims.
    content_at : float
        Loop time from which the heartbeat's content is.
    """

    heartbeat: Heartbeat
    received_at: float
    direct_at: float
    content_at: float


@dataclass(slots=True)
class Members:
    """The daemons listed in the store and the newest heartbeat of each.

    Attributes
    ----------
    node : str
        This daemon's name.
    incarnation : int
        This daemon's incarnation; a later incarnation has a higher number.
    known : dict of str to Member
        Members listed in the store, by name.
    offsets : dict of str to int
        Offset of each listed member's newest record, by name; none for a member that
        has only introduced itself.
    last_heartbeats : dict
        Newest heartbeat of each other daemon, by name.
    pool_sizes : Mapping of str to int
        Number of listed hosts of each pool that has any.
    released_at : dict of str to float
        Loop time at which a pool's owner released it or its process ended, by pool.
    """

    node: str
    incarnation: int
    known: dict[str, Member] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    last_heartbeats: dict[str, _LastHeartbeat] = field(default_factory=dict)
    pool_sizes: Mapping[str, int] = field(default_factory=dict)
    released_at: dict[str, float] = field(default_factory=dict)
    _ended_at: dict[str, float] = field(default_factory=dict)

    def add_member(self, member: Member) -> bool:
        """Add a member listed in the store; return whether it is new."""
        previous = self.known.get(member.node)
        if previous is not None and previous.incarnation >= member.incarnation:
            return False
        self.known[member.node] = member
        return True

    def remove_unlisted(self, listed: set[str]) -> None:
        """Remove members that are no longer listed in the store."""
        for node in [n for n in self.known if n not in listed]:
            del self.known[node]
            self.offsets.pop(node, None)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a heartbeat, unless it is from an earlier incarnation."""
        previous = self.last_heartbeats.get(heartbeat.node)
        if previous is not None and heartbeat.is_leaving:
            still_owned = {pool for pool, _ in heartbeat.owned}
            for pool, _ in previous.heartbeat.owned:
                if pool not in still_owned:
                    self.released_at[pool] = now
        if previous is None or previous.heartbeat.incarnation <= heartbeat.incarnation:
            self.last_heartbeats[heartbeat.node] = _LastHeartbeat(
                heartbeat, now, now, now
            )

    def record_indirect(self, heartbeat: Heartbeat, heard_at: float) -> bool:
        """Apply a heartbeat from a digest; return whether its content is newer.

        It may have been on its way for longer than a later one that came from the
        daemon itself, so its content counts only if none has come for a while.

        Parameters
        ----------
        heard_at : float
            Loop time at which the aggregator received it.
        """
        node = heartbeat.node
        if heard_at <= self._ended_at.get(node, -1e9):
            return False
        previous = self.last_heartbeats.get(node)
        if previous is None or previous.heartbeat.incarnation < heartbeat.incarnation:
            self.last_heartbeats[node] = _LastHeartbeat(
                heartbeat, heard_at, -1e9, heard_at
            )
            return True
        if previous.heartbeat.incarnation > heartbeat.incarnation:
            return False
        is_heard_directly = heard_at - previous.direct_at <= HEARTBEAT_TIMEOUT
        if is_heard_directly or previous.content_at >= heard_at:
            return False
        is_new = has_news(previous.heartbeat, heartbeat)
        previous.heartbeat = heartbeat
        previous.content_at = heard_at
        previous.received_at = max(previous.received_at, heard_at)
        return is_new

    def note_alive(
        self, heard_at: Mapping[str, float], silent_since: Mapping[str, float]
    ) -> None:
        """Note which daemons were alive, by a digest.

        Parameters
        ----------
        heard_at : Mapping of str to float
            Loop time since which the daemons of a data centre were heard of.
        silent_since : Mapping of str to float
            Loop time at which each of those was that were not.
        """
        for node, last_heartbeat in self.last_heartbeats.items():
            member = self.known.get(node)
            if member is None:
                continue
            at = silent_since.get(node, heard_at.get(member.data_centre))
            if at is not None and at > last_heartbeat.received_at:
                last_heartbeat.received_at = at

    def find_direct_at(self, node: str) -> float | None:
        """Return the loop time of a daemon's newest own heartbeat, or None."""
        last_heartbeat = self.last_heartbeats.get(node)
        return last_heartbeat.direct_at if last_heartbeat is not None else None

    def owns_pool(self, node: str) -> bool:
        """Return whether a daemon owns or claims a pool, by its newest heartbeat."""
        last_heartbeat = self.last_heartbeats.get(node)
        return last_heartbeat is not None and bool(_pools(last_heartbeat.heartbeat))

    def note_ended(self, node: str, now: float) -> None:
        """Note that a daemon's process seems to have ended.

        Its pools may then be claimed at once. This does not prove that it no longer
        renews leases; its next heartbeat makes it a live daemon again.
        """
        previous = self.last_heartbeats.pop(node, None)
        self._ended_at[node] = now
        for pool, _ in previous.heartbeat.owned if previous is not None else ():
            self.released_at[pool] = now

    def has_ended_since(self, node: str, at: float) -> bool:
        """Return whether a daemon's process has ended at or after a loop time."""
        return self._ended_at.get(node, -1e9) >= at

    def digest(self) -> bytes:
        """Return a digest of the names of all members, this daemon included."""
        names = "\0".join(sorted({self.node, *self.known}))
        return hashlib.blake2b(names.encode(), digest_size=MEMBERS_DIGEST_SIZE).digest()

    def other_members(self) -> list[str]:
        """Return the names of all other members listed in the store."""
        return [node for node in self.known if node != self.node]

    def live_members(self, now: float) -> list[str]:
        """Return the sorted names of the other live daemons that are not leaving."""
        return sorted(
            node
            for node, last_heartbeat in self.last_heartbeats.items()
            if now - last_heartbeat.received_at <= HEARTBEAT_TIMEOUT
            and not last_heartbeat.heartbeat.is_leaving
            and node != self.node
        )

    def is_alive(self, node: str, now: float) -> bool:
        """Return whether a daemon, leaving or not, sent a heartbeat recently."""
        last_heartbeat = self.last_heartbeats.get(node)
        return (
            last_heartbeat is not None
            and now - last_heartbeat.received_at <= HEARTBEAT_TIMEOUT
        )

    def has_later_incarnation(self, node: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a daemon is known."""
        if node == self.node:
            return incarnation < self.incarnation
        last_heartbeat = self.last_heartbeats.get(node)
        return (
            last_heartbeat is not None
            and last_heartbeat.heartbeat.incarnation > incarnation
        )

    def owner(self, pool: str, now: float) -> str | None:
        """Return the live daemon that owns a pool under the highest term, or None."""
        best: tuple[int, str] | None = None
        for node, last_heartbeat in self.last_heartbeats.items():
            if now - last_heartbeat.direct_at > OWNER_HEARTBEAT_TIMEOUT:
                continue
            for name, term in last_heartbeat.heartbeat.owned:
                if name == pool and (best is None or (term, node) > best):
                    best = (term, node)
        return best[1] if best else None

    def acting_owner(self, pool: str, now: float) -> str | None:
        """Return the live daemon that owns a pool and acts for it, or None.

        An owner that could not confirm its claim for too long may be heard, although it
        hears nobody and does not reach the store.
        """
        node = self.owner(pool, now)
        if node is None or pool in self.last_heartbeats[node].heartbeat.lapsed:
            return None
        return node

    def claimant(self, pool: str, now: float) -> str | None:
        """Return another live daemon that is claiming the pool, or None.

        A claim takes seconds while the store is slow; a second claim would depose the
        first claimant.
        """
        for node in self.live_members(now):
            last_heartbeat = self.last_heartbeats[node]
            is_fresh = now - last_heartbeat.direct_at <= OWNER_HEARTBEAT_TIMEOUT
            if is_fresh and pool in last_heartbeat.heartbeat.claiming:
                return node
        return None

    def job_writer(self, pool: str, now: float, own: Heartbeat) -> str:
        """Return the daemon that writes a pool's jobs to the store while it is unowned.

        This is the daemon that is claiming the pool. If there is none, it is the one
        that should claim it, of all daemons that reach the store, this one included
        unless it is leaving. While no daemon can claim, it is the one that should if
        all could. In a mixed set (see `should_claim`) it is the first by rank.

        Parameters
        ----------
        own : Heartbeat
            The heartbeat that this daemon would send now.
        """
        claimant = self.claimant(pool, now)
        if claimant is not None:
            return claimant
        writers = self._candidates(now)
        is_eligible = own.store_age <= MAX_STORE_AGE and not own.is_leaving
        if is_eligible or not writers:
            writers.append(own)
        if _is_mixed(writers):
            return min(writers, key=lambda each: rank_node(pool, each.node)).node
        able = [each for each in writers if each.can_claim]
        return self._choose_claimant(pool, able or writers).node

    def was_released(self, pool: str, now: float) -> bool:
        """Return whether the pool's owner has recently released it or ended."""
        return now - self.released_at.get(pool, -1e9) <= HEARTBEAT_TIMEOUT

    def members_reaching_store(self, now: float) -> list[str]:
        """Return the other live daemons that the store replied to recently."""
        return [
            node
            for node in self.live_members(now)
            if self.last_heartbeats[node].heartbeat.store_age <= MAX_STORE_AGE
        ]

    def has_store_age(self, store_age: float, now: float) -> bool:
        """Return whether another live daemon got a store's reply this recently."""
        return any(
            self.last_heartbeats[node].heartbeat.store_age <= store_age
            for node in self.live_members(now)
        )

    def should_claim(
        self,
        pool: str,
        now: float,
        own: Heartbeat,
        *,
        may_wait: bool = False,
        heard_since: float = -math.inf,
    ) -> bool:
        """Return whether this daemon should claim a pool that has no owner.

        Of the daemons that reach the store, the one claims that would have the most
        processor for each host of its pools, this pool included; ties go to the lowest
        hash for the pool. Pools that are being claimed count as owned. So all daemons
        with the same heartbeats and the same list of hosts choose the same one.

        In a mixed set, in which the processor of a candidate is unknown, the one that
        owns the fewest pools claims, ties as above. Earlier versions, which send no
        processor, choose so too, so both versions agree on one daemon for as long as
        one of an earlier version can claim. Earlier versions do not count claims in
        progress, though, and still count an owner that has fallen silent. So they may
        defer to such a daemon, and the pool waits until that claim has ended or that
        owner is no longer a live daemon; two daemons never claim for that reason.

        Parameters
        ----------
        own : Heartbeat
            The heartbeat that this daemon would send now.
        may_wait : bool
            Whether the pool may wait for a daemon that cannot claim yet. Never done in
            a mixed set, as earlier versions do not wait.
        heard_since : float
            Loop time since which another daemon must have been heard of to be waited
            for: one that was lost together with the owner still seems alive.
        """
        if own.store_age > MAX_STORE_AGE:
            return False
        others = [
            each
            for each in self._candidates(now)
            if self.last_heartbeats[each.node].received_at >= heard_since
        ]
        # A daemon that has just started cannot claim yet: if others always deferred to
        # it, the pool would stay without an owner.
        if not may_wait or _is_mixed([own, *others]):
            others = [other for other in others if other.can_claim]
        return self._choose_claimant(pool, [own, *others]) is own

    def pool_size(self, pool: str) -> int:
        """Return the number of listed hosts of a pool, at least 1."""
        return max(1, self.pool_sizes.get(pool, 0))

    def count_candidates(self, now: float) -> int:
        """Return the number of other daemons that may claim a pool."""
        return sum(each.can_claim for each in self._candidates(now))

    def find_largest_processor(self, now: float) -> float:
        """Return the largest processor of the other live daemons, 0 without any."""
        live = self.live_members(now)
        found = [self.last_heartbeats[node].heartbeat.processor for node in live]
        return max(found, default=0.0)

    def _candidates(self, now: float) -> list[Heartbeat]:
        """Return the heartbeats of other daemons that reach the store.

        An owner that has been silent for long enough to lose its pools is left out: it
        would be waited for until it is no longer a live daemon.
        """
        found = [
            self.last_heartbeats[node] for node in self.members_reaching_store(now)
        ]
        return [
            last_heartbeat.heartbeat
            for last_heartbeat in found
            if not self.is_silent_owner(last_heartbeat.heartbeat.node, now)
        ]

    def is_silent_owner(self, node: str, now: float) -> bool:
        """Return whether a daemon has been silent for long enough to lose its pools."""
        last_heartbeat = self.last_heartbeats[node]
        silent_s = now - last_heartbeat.direct_at
        has_pools = bool(_pools(last_heartbeat.heartbeat))
        return has_pools and silent_s > OWNER_HEARTBEAT_TIMEOUT

    def _choose_claimant(self, pool: str, candidates: list[Heartbeat]) -> Heartbeat:
        """Return the best candidate for a pool, the same whatever their order."""
        if _is_mixed(candidates):
            return min(
                candidates,
                key=lambda each: (len(_pools(each)), rank_node(pool, each.node)),
            )
        return min(
            candidates,
            key=lambda each: (
                -self.find_processor_per_host(pool, each),
                rank_node(pool, each.node),
            ),
        )

    def find_processor_per_host(self, pool: str, heartbeat: Heartbeat) -> float:
        """Return a daemon's processor per host, in cores, if it owned the pool too."""
        pools = _pools(heartbeat) | {pool}
        return heartbeat.processor / sum(self.pool_size(each) for each in pools)


def has_news(former: Heartbeat, heartbeat: Heartbeat) -> bool:
    """Return whether others must soon know of what has changed since a heartbeat."""
    return _summarize(former) != _summarize(heartbeat)


def _summarize(heartbeat: Heartbeat) -> tuple[object, ...]:
    return (
        heartbeat.incarnation,
        heartbeat.owned,
        heartbeat.reaches_store,
        heartbeat.is_leaving,
        heartbeat.can_claim,
        heartbeat.claiming,
        heartbeat.processor,
        heartbeat.lapsed,
    )


def _pools(heartbeat: Heartbeat) -> set[str]:
    """Return the pools that a daemon owns or is claiming."""
    return {pool for pool, _ in heartbeat.owned} | set(heartbeat.claiming)


def _is_mixed(heartbeats: Iterable[Heartbeat]) -> bool:
    """Return whether the processor of a daemon is unknown."""
    return any(each.processor <= 0.0 for each in heartbeats)


def rank_node(subject: str, node: str) -> bytes:
    """Return a daemon's rank for a pool or data centre, the same on all daemons."""
    return hashlib.blake2b(f"{subject}\0{node}".encode(), digest_size=8).digest()
