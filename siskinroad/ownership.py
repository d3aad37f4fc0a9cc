"""Exclusive ownership of shards: one daemon at a time places work on a shard's hosts.

Exclusive ownership rests on these rules, which ``docs/OWNERSHIP.md`` explains:

1. A claim's epoch is its position in the log, and a claim is valid only if it
   replaces the one in force, so all readers agree on which daemon holds which
   epoch.
2. A holder places work only until ``LEASE_TIME`` after the last confirmation of
   its claim. A claim is confirmed by a read of the log to its end, or by all
   other admitted daemons stating that they have made no competing claim and know of
   no later one.
3. A daemon that replaces a holder waits ``LEASE_TIME + LEASE_MARGIN`` after it
   learns that its own claim is valid, unless the holder has released the shard,
   was restarted or was terminated by the platform.
4. A daemon may replace a holder's claim only if the holder counts it among the
   daemons whose statements it needs. A daemon that the holder does not know
   therefore cannot take over unnoticed.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from siskinroad.charts import load_chart
from siskinroad.ledger import Claim, Ledger
from siskinroad.membership import Membership
from siskinroad.records import ClaimMade, ClaimReleased, DaemonJoined, Record

__all__ = [
    "LEASE_MARGIN",
    "LEASE_TIME",
    "Append",
    "DropShard",
    "Ownership",
    "OwnershipEffect",
    "ReleaseShard",
    "ResumeShard",
    "ShardClaim",
    "SuspendShard",
    "TakeOverShard",
    "rendezvous",
]

# Seconds after a confirmation during which the holder of a claim may place work. A
# larger value delays the takeover from a dead holder.
LEASE_TIME = 2.0
# Seconds that a successor waits beyond the lease. With a smaller margin the former
# holder may still be placing work when the successor starts.
LEASE_MARGIN = 0.3
# Seconds after which a claim or a request for admission that has not appeared in the
# log is appended again.
CLAIM_RETRY_INTERVAL = 2.0
# Seconds after a host's rejection of an epoch for which the newer claim is awaited in
# the log. After that the shard is released, to be claimed with a higher epoch. A
# smaller value releases it while the log is merely late.
REJECTION_TIMEOUT = 10.0
# Seconds for which another daemon must be the preferred owner of a shard before the
# shard is handed over to it.
HANDOVER_DELAY = 3.0
# States of a claim whose daemon has waited for the former holder's lease to expire.
_HELD_STATES = ("taking", "owning", "suspended")


def rendezvous(shard: str, names: list[str]) -> str:
    """Return the name with the highest hash for a shard (rendezvous hashing)."""

    def weight(name: str) -> bytes:
        data = f"{shard}\0{name}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(names, key=lambda name: (weight(name), name))


@dataclass(slots=True, frozen=True)
class Append:
    """Append of a record to the data centre's stream."""

    record: Record


@dataclass(slots=True, frozen=True)
class TakeOverShard:
    """Takeover: query the tasks that the shard's hosts run, then start placing work."""

    shard: str
    epoch: int


@dataclass(slots=True, frozen=True)
class SuspendShard:
    """Suspension of all starts, as the claim may no longer be in force."""

    shard: str


@dataclass(slots=True, frozen=True)
class ResumeShard:
    """Resumption of starts, as the claim has been confirmed again."""

    shard: str


@dataclass(slots=True, frozen=True)
class ReleaseShard:
    """Release: stop starting work, wait for starts in progress, append the release."""

    shard: str
    epoch: int


@dataclass(slots=True, frozen=True)
class DropShard:
    """Discard of the shard's work without further starts, as its claim is lost."""

    shard: str


OwnershipEffect = (
    Append | TakeOverShard | SuspendShard | ResumeShard | ReleaseShard | DropShard
)


@dataclass(slots=True)
class ShardClaim:
    """State of the claim that this daemon has or seeks on one shard.

    Attributes
    ----------
    state : str
        State in the chart ``claim``.
    epoch : int
        Epoch of the latest claim that this daemon won; 0 before the first.
    claimed_at : float
        Loop time at which the latest claim was appended.
    takeover_at : float
        Loop time from which the shard may be taken over.
    retry_at : float
        Loop time before which no further claim is made.
    rejected_at : float or None
        Loop time at which a host first rejected the claim's epoch.
    """

    state: str = "idle"
    epoch: int = 0
    claimed_at: float = 0.0
    takeover_at: float = 0.0
    retry_at: float = 0.0
    rejected_at: float | None = None


class Ownership:
    """State machine of one daemon's claims; it does no I/O.

    Parameters
    ----------
    name, incarnation : str, int
        Name and incarnation of this daemon.
    ledger : Ledger
        State of the data centre's stream as far as it has been read.
    members : Membership
        The other daemons.
    """

    def __init__(
        self, name: str, incarnation: int, ledger: Ledger, members: Membership
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.ledger = ledger
        self.members = members
        self.shards: dict[str, bool] = {}
        self.terminated: dict[str, float] = {}
        self.draining = False
        self.shard_claims: dict[str, ShardClaim] = {}
        self.confirmed_at = float("-inf")
        self._chart = load_chart("claim")
        self._join_attempted_at = float("-inf")
        self._misplaced_since: dict[str, float] = {}

    # Inputs

    def set_shards(self, shards: dict[str, bool]) -> None:
        """Set the data centre's shards, each with whether its hosts check epochs."""
        self.shards = dict(shards)

    def set_terminated(self, names: set[str], now: float) -> None:
        """Set the daemons that the platform lists as terminated."""
        self.terminated = {name: self.terminated.get(name, now) for name in names}

    def confirm_by_log(self, confirmed_at: float) -> None:
        """Record that a read begun at a loop time reached the end of the log."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def finish_takeover(self, shard: str, epoch: int) -> bool:
        """Record that the hosts were queried; return whether the claim is in force."""
        shard_claim = self.shard_claims.get(shard)
        if (
            shard_claim is None
            or shard_claim.epoch != epoch
            or shard_claim.state != "taking"
        ):
            return False
        self._transition(shard_claim, "taken")
        return True

    def abandon_takeover(self, shard: str, epoch: int, now: float) -> None:
        """Record that a takeover failed, so that the shard is claimed again."""
        shard_claim = self.shard_claims.get(shard)
        if (
            shard_claim is not None
            and shard_claim.epoch == epoch
            and shard_claim.state == "taking"
        ):
            self._transition(shard_claim, "lost")
            shard_claim.retry_at = now + CLAIM_RETRY_INTERVAL

    def record_rejection(self, shard: str, epoch: int, now: float) -> None:
        """Record that a host has rejected the epoch of a claim as stale."""
        shard_claim = self.shard_claims.get(shard)
        if (
            shard_claim is not None
            and shard_claim.epoch == epoch
            and shard_claim.rejected_at is None
        ):
            shard_claim.rejected_at = now

    # Queries

    def shards_denied_to(self, peer: str) -> list[str]:
        """Return the shards on which this daemon confirms no claim of a peer.

        They are those that this daemon has claimed or may have claimed, and those that
        the peer states as its own although the latest claim in the log, even a released
        one, is another daemon's. The peer has not read that claim, nor what was stored
        under it.
        """
        denied = {s for s, claim in self.shard_claims.items() if claim.state != "idle"}
        member = self.members.members.get(peer)
        stated = member.stated_shards if member is not None else None
        for shard, claim in self.ledger.claims.items():
            if claim.daemon != peer and (stated is None or shard in stated):
                denied.add(shard)
        return sorted(denied)

    def required_peers(self) -> list[str]:
        """Return the daemons whose statements a confirmation by peers needs."""
        names = set(self.ledger.joined)
        names |= {m.name for m in self.members.members.values() if m.joined}
        return sorted(
            name
            for name in names
            if name != self.name and not self._is_terminated(name)
        )

    def is_admitted(self) -> bool:
        """Return whether this incarnation has been admitted."""
        return self.ledger.joined.get(self.name) == self.incarnation

    def epoch(self, shard: str) -> int:
        """Return the epoch of this daemon's claim on a shard, 0 if it has none."""
        shard_claim = self.shard_claims.get(shard)
        return shard_claim.epoch if shard_claim is not None else 0

    def lease_until(self, shard: str) -> float:
        """Return the loop time at which the lease on a shard expires."""
        return max(self.confirmed_at, self._peers_confirmed_at(shard)) + LEASE_TIME

    def may_place(self, shard: str, now: float) -> bool:
        """Return whether requests may be sent to the shard's hosts at ``now``.

        Two owners cannot overload hosts that refuse lower epochs. On such hosts
        requests may be sent until the claim is known to be lost.
        """
        refuses_lower_epochs = self.shards.get(shard, False)
        return self._holds_claim(shard) and (
            refuses_lower_epochs or now < self.lease_until(shard)
        )

    def may_start_tasks(self, shard: str, now: float) -> bool:
        """Return whether tasks may be started at ``now``.

        This needs an unexpired lease, also on hosts that refuse lower epochs: a
        host cannot know of a task that another owner starts on another host.
        """
        return self._holds_claim(shard) and now < self.lease_until(shard)

    def is_certain(self, shard: str, now: float) -> bool:
        """Return whether no successor can act on the shard's tasks at ``now``.

        It is also certain during a takeover, before tasks may be started.
        """
        shard_claim = self.shard_claims.get(shard)
        if shard_claim is None or shard_claim.state not in _HELD_STATES:
            return False
        is_lost = self._is_claim_lost(shard, shard_claim)
        return not is_lost and now < self.lease_until(shard)

    def _holds_claim(self, shard: str) -> bool:
        shard_claim = self.shard_claims.get(shard)
        if shard_claim is None or shard_claim.state not in ("owning", "suspended"):
            return False
        return not self._is_claim_lost(shard, shard_claim)

    def _peers_confirmed_at(self, shard: str) -> float:
        names = self.required_peers()
        if not names:
            return float("-inf")
        oldest = float("inf")
        for name in names:
            member = self.members.members.get(name)
            if member is None or shard in member.claimed_shards:
                return float("-inf")
            oldest = min(oldest, member.echoed_at)
        return oldest

    def _is_claim_lost(self, shard: str, shard_claim: ShardClaim) -> bool:
        claim = self.ledger.claims.get(shard)
        return claim is None or claim.epoch != shard_claim.epoch

    # Decisions

    def tick(self, now: float) -> list[OwnershipEffect]:
        """Return the effects to carry out.

        Call this after each input, and every 0.1 s without one.
        """
        if not self.ledger.is_complete:
            return []
        effects = self._request_admission(now)
        for shard in sorted(self.shards):
            effects += self._tick_shard(shard, now)
        for shard in sorted(self.shard_claims.keys() - self.shards.keys()):
            effects += self._release_removed_shard(shard)
        return effects

    def _request_admission(self, now: float) -> list[OwnershipEffect]:
        if (
            self.is_admitted()
            or self.draining
            or now < self._join_attempted_at + CLAIM_RETRY_INTERVAL
        ):
            return []
        self._join_attempted_at = now
        return [Append(DaemonJoined(self.name, self.incarnation))]

    def _tick_shard(self, shard: str, now: float) -> list[OwnershipEffect]:
        shard_claim = self.shard_claims.get(shard)
        if shard_claim is None:
            shard_claim = self.shard_claims[shard] = ShardClaim()
        match shard_claim.state:
            case "idle":
                return self._tick_idle(shard, shard_claim, now)
            case "claiming":
                return self._tick_claiming(shard, shard_claim, now)
            case "waiting" | "taking":
                return self._tick_waiting(shard, shard_claim, now)
            case _:
                return self._tick_owning(shard, shard_claim, now)

    def _tick_idle(
        self, shard: str, shard_claim: ShardClaim, now: float
    ) -> list[OwnershipEffect]:
        claim = self.ledger.claims.get(shard)
        if claim is not None and self._is_late_claim(claim, shard_claim):
            return self._adopt_late_claim(shard, shard_claim, claim, now)
        if now < shard_claim.retry_at or self.draining or not self.is_admitted():
            return []
        if self._preferred_owner(shard, claim, now) != self.name:
            return []
        if claim is not None and not self._may_replace(claim, now):
            return []
        self._transition(shard_claim, "claim")
        shard_claim.claimed_at = now
        replaces = claim.epoch if claim is not None else 0
        record = ClaimMade(shard, self.name, self.incarnation, replaces)
        return [Append(record)]

    def _is_late_claim(self, claim: Claim, shard_claim: ShardClaim) -> bool:
        """Return whether a claim that had timed out has reached the log after all."""
        is_newer = claim.epoch > shard_claim.epoch
        return self._is_mine(claim) and is_newer and not claim.released

    def _adopt_late_claim(
        self, shard: str, shard_claim: ShardClaim, claim: Claim, now: float
    ) -> list[OwnershipEffect]:
        if self.draining:
            shard_claim.epoch = claim.epoch
            return [Append(ClaimReleased(shard, claim.epoch))]
        self._transition(shard_claim, "claim")
        return self._tick_claiming(shard, shard_claim, now)

    def _preferred_owner(self, shard: str, claim: Claim | None, now: float) -> str:
        alive_members = self.members.alive_members(now)
        is_held = claim is not None and not claim.released
        if (
            is_held
            and claim
            and any(member.name == claim.daemon for member in alive_members)
        ):
            return claim.daemon
        names = [m.name for m in alive_members if m.joined and not m.draining]
        return rendezvous(shard, [*names, self.name])

    def _may_replace(self, claim: Claim, now: float) -> bool:
        if self._has_stopped_placing(claim):
            return True
        member = self.members.members.get(claim.daemon)
        return member is not None and self.name in member.admits

    def _is_terminated(self, name: str) -> bool:
        """Return whether a daemon is listed as terminated and has sent nothing since.

        The list may still show an earlier daemon of the name.
        """
        listed_at = self.terminated.get(name)
        member = self.members.members.get(name)
        return listed_at is not None and (
            member is None or member.last_heartbeat <= listed_at
        )

    def _has_stopped_placing(self, claim: Claim) -> bool:
        """Return whether the holder of a claim has certainly stopped placing work."""
        if (
            claim.released
            or self._is_terminated(claim.daemon)
            or claim.daemon == self.name
        ):
            return True
        member = self.members.members.get(claim.daemon)
        live_incarnation = member.incarnation if member is not None else 0
        joined = self.ledger.joined.get(claim.daemon, 0)
        return max(live_incarnation, joined) > claim.incarnation

    def _tick_claiming(
        self, shard: str, shard_claim: ShardClaim, now: float
    ) -> list[OwnershipEffect]:
        claim = self.ledger.claims.get(shard)
        is_mine = claim is not None and self._is_mine(claim)
        if claim is not None and is_mine and claim.epoch > shard_claim.epoch:
            self._transition(shard_claim, "confirmed")
            shard_claim.epoch = claim.epoch
            shard_claim.rejected_at = None
            shard_claim.takeover_at = (
                now
                if self._have_replaced_holders_stopped(shard)
                else now + _TAKEOVER_DELAY
            )
            return self._tick_waiting(shard, shard_claim, now)
        if now - shard_claim.claimed_at >= CLAIM_RETRY_INTERVAL:
            self._transition(shard_claim, "lost")
            shard_claim.retry_at = now
        return []

    def _is_mine(self, claim: Claim) -> bool:
        return claim.daemon == self.name and claim.incarnation == self.incarnation

    def _have_replaced_holders_stopped(self, shard: str) -> bool:
        return all(
            self._has_stopped_placing(x) for x in self.ledger.replaced.get(shard, [])
        )

    def _tick_waiting(
        self, shard: str, shard_claim: ShardClaim, now: float
    ) -> list[OwnershipEffect]:
        if self._is_claim_lost(shard, shard_claim):
            return self._drop_lost_claim(shard, shard_claim, now)
        if shard_claim.state == "waiting" and self._have_replaced_holders_stopped(
            shard
        ):
            shard_claim.takeover_at = min(shard_claim.takeover_at, now)
        if shard_claim.state == "waiting" and now >= shard_claim.takeover_at:
            self._transition(shard_claim, "ready")
            return [TakeOverShard(shard, shard_claim.epoch)]
        return []

    def _drop_lost_claim(
        self, shard: str, shard_claim: ShardClaim, now: float
    ) -> list[OwnershipEffect]:
        self._transition(shard_claim, "lost")
        shard_claim.retry_at = now + LEASE_TIME
        return [DropShard(shard)]

    def _tick_owning(
        self, shard: str, shard_claim: ShardClaim, now: float
    ) -> list[OwnershipEffect]:
        if self._is_claim_lost(shard, shard_claim):
            return self._drop_lost_claim(shard, shard_claim, now)
        rejected_at = shard_claim.rejected_at
        is_rejected = rejected_at is not None and now - rejected_at >= REJECTION_TIMEOUT
        if is_rejected or self._should_release(shard, now):
            return self._release_shard(shard, shard_claim)
        is_lease_valid = now < self.lease_until(shard)
        if not is_lease_valid and shard_claim.state == "owning":
            self._transition(shard_claim, "doubt")
            return [SuspendShard(shard)]
        if is_lease_valid and shard_claim.state == "suspended":
            self._transition(shard_claim, "renewed")
            return [ResumeShard(shard)]
        return []

    def _should_release(self, shard: str, now: float) -> bool:
        """Return whether to drain or to hand the shard over to its preferred owner.

        A member that still states a claim on the shard has not read this daemon's, and
        cannot claim it.
        """
        if self.draining:
            return True
        candidates = [
            member.name
            for member in self.members.alive_members(now)
            if member.joined
            and not member.draining
            and shard not in (member.stated_shards or ())
            and self.members.is_stable(member.name, now)
        ]
        preferred = rendezvous(shard, [*candidates, self.name])
        if preferred == self.name or now - self.confirmed_at > LEASE_TIME:
            self._misplaced_since.pop(shard, None)
            return False
        misplaced_since = self._misplaced_since.setdefault(shard, now)
        return now - misplaced_since >= HANDOVER_DELAY

    def _release_shard(
        self, shard: str, shard_claim: ShardClaim
    ) -> list[OwnershipEffect]:
        self._transition(shard_claim, "release")
        self._misplaced_since.pop(shard, None)
        return [ReleaseShard(shard, shard_claim.epoch)]

    def _release_removed_shard(self, shard: str) -> list[OwnershipEffect]:
        shard_claim = self.shard_claims.pop(shard)
        if shard_claim.state in ("owning", "suspended", "taking"):
            return [ReleaseShard(shard, shard_claim.epoch)]
        return []

    def _transition(self, shard_claim: ShardClaim, event: str) -> None:
        shard_claim.state = self._chart.next_state(shard_claim.state, event)


# Seconds between the confirmation of a claim and the takeover of the shard, by which
# the former holder's lease has expired.
_TAKEOVER_DELAY = LEASE_TIME + LEASE_MARGIN
