"""Which daemon may place work on a shard's hosts: at most one at a time.

The argument, whose steps ``docs/OWNERSHIP.md`` spells out:

1. A claim's epoch is its place in the log, and a claim is valid only if it
   replaces the one in force, so all readers agree on who holds which epoch.
2. A holder places work only until ``LEASE_TIME`` after a moment at which its
   claim was confirmed: by a read of the log to its end, or by every other
   admitted daemon stating that it has made no claim against it.
3. Whoever replaces a holder waits ``LEASE_TIME + LEASE_MARGIN`` from when it
   learns that its own claim is valid, unless the holder released the shard, was
   restarted or was terminated by the platform.
4. A daemon claims from a holder only if that holder counts it among those whose
   statement it needs, so no unknown daemon can take over unseen.
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
    "Holding",
    "Ownership",
    "OwnershipEffect",
    "ReleaseShard",
    "ResumeShard",
    "SuspendShard",
    "TakeShard",
    "rendezvous",
]

LEASE_TIME = 2.0
LEASE_MARGIN = 0.3
RETRY_CLAIM_TIME = 2.0
HANDOVER_PAUSE = 3.0


def rendezvous(shard: str, names: list[str]) -> str:
    """Return the name with the highest hash for a shard."""

    def weight(name: str) -> bytes:
        data = f"{shard}\0{name}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(names, key=lambda name: (weight(name), name))


@dataclass(slots=True, frozen=True)
class Append:
    """Append a record to the data centre's stream."""

    record: Record


@dataclass(slots=True, frozen=True)
class TakeShard:
    """Ask the shard's hosts what they run, then begin to place work."""

    shard: str
    epoch: int


@dataclass(slots=True, frozen=True)
class SuspendShard:
    """Start nothing new: it is not certain that the claim still holds."""

    shard: str


@dataclass(slots=True, frozen=True)
class ResumeShard:
    """The claim is confirmed again."""

    shard: str


@dataclass(slots=True, frozen=True)
class ReleaseShard:
    """Start nothing new, wait for starts under way, then append the release."""

    shard: str
    epoch: int


@dataclass(slots=True, frozen=True)
class DropShard:
    """Another daemon holds the shard: start nothing and forget its work."""

    shard: str


OwnershipEffect = (
    Append | TakeShard | SuspendShard | ResumeShard | ReleaseShard | DropShard
)


@dataclass(slots=True)
class Holding:
    """Standing of this daemon on one shard; ``state`` follows the claim chart."""

    state: str = "idle"
    epoch: int = 0
    since: float = 0.0
    ready: float = 0.0
    retry: float = 0.0


class Ownership:
    """The claims of one daemon; decides, and does no I/O.

    Parameters
    ----------
    name, incarnation : str, int
        This daemon.
    ledger : Ledger
        The data centre's stream as far as it was read.
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
        self.gone: set[str] = set()
        self.draining = False
        self.holdings: dict[str, Holding] = {}
        self.confirmed = float("-inf")
        self._chart = load_chart("claim")
        self._joining = float("-inf")
        self._misplaced: dict[str, float] = {}

    # What is told

    def set_shards(self, shards: dict[str, bool]) -> None:
        """Set the shards of the data centre; the value says whether hosts fence."""
        self.shards = dict(shards)

    def set_gone(self, names: set[str]) -> None:
        """Set the daemons that the platform shows as terminated."""
        self.gone = set(names)

    def log_confirmed(self, stamp: float) -> None:
        """Note that the log was read to its end by a read begun at ``stamp``."""
        self.confirmed = max(self.confirmed, stamp)

    def taken(self, shard: str, epoch: int) -> bool:
        """Note that the hosts were asked; return whether the claim still holds."""
        holding = self.holdings.get(shard)
        if holding is None or holding.epoch != epoch or holding.state != "taking":
            return False
        self._move(holding, "taken")
        return True

    # What is asked

    def contests(self) -> list[str]:
        """Return the shards on which this daemon has or may have a claim."""
        return [s for s, h in self.holdings.items() if h.state != "idle"]

    def admits(self) -> list[str]:
        """Return the daemons whose statement a peer confirmation needs."""
        names = set(self.ledger.joined)
        names |= {m.name for m in self.members.members.values() if m.joined}
        return sorted(names - {self.name} - self.gone)

    def joined(self) -> bool:
        """Return whether this incarnation has been admitted."""
        return self.ledger.joined.get(self.name) == self.incarnation

    def epoch(self, shard: str) -> int:
        """Return the epoch of this daemon's own claim, 0 if it has none."""
        holding = self.holdings.get(shard)
        return holding.epoch if holding is not None else 0

    def lease_until(self, shard: str) -> float:
        """Return the loop time until which the claim is certain."""
        return max(self.confirmed, self._peers_confirmed(shard)) + LEASE_TIME

    def may_place(self, shard: str, now: float) -> bool:
        """Return whether requests may be sent to the shard's hosts at ``now``.

        Hosts that refuse lower epochs are never overfilled by two owners, so that
        there only a claim known to be lost forbids it.
        """
        fenced = self.shards.get(shard, False)
        return self._holds(shard) and (fenced or now < self.lease_until(shard))

    def is_certain(self, shard: str, now: float) -> bool:
        """Return whether tasks may be started at ``now``.

        Hosts cannot know of a task that another owner starts elsewhere, so this
        takes a claim that is certain.
        """
        return self._holds(shard) and now < self.lease_until(shard)

    def _holds(self, shard: str) -> bool:
        holding = self.holdings.get(shard)
        if holding is None or holding.state not in ("owning", "suspended"):
            return False
        return not self._lost(shard, holding)

    def _peers_confirmed(self, shard: str) -> float:
        names = self.admits()
        if not names:
            return float("-inf")
        oldest = float("inf")
        for name in names:
            member = self.members.members.get(name)
            if member is None or shard in member.contests:
                return float("-inf")
            oldest = min(oldest, member.echoed)
        return oldest

    def _lost(self, shard: str, holding: Holding) -> bool:
        claim = self.ledger.claims.get(shard)
        return claim is None or claim.epoch != holding.epoch

    # What follows

    def tick(self, now: float) -> list[OwnershipEffect]:
        """Return what is to be done; call this on news and every 0.1 s."""
        if not self.ledger.whole:
            return []
        effects = self._join(now)
        for shard in sorted(self.shards):
            effects += self._tick_shard(shard, now)
        for shard in sorted(self.holdings.keys() - self.shards.keys()):
            effects += self._abandon(shard)
        return effects

    def _join(self, now: float) -> list[OwnershipEffect]:
        if self.joined() or self.draining or now < self._joining + RETRY_CLAIM_TIME:
            return []
        self._joining = now
        return [Append(DaemonJoined(self.name, self.incarnation))]

    def _tick_shard(self, shard: str, now: float) -> list[OwnershipEffect]:
        holding = self.holdings.get(shard)
        if holding is None:
            holding = self.holdings[shard] = Holding()
        match holding.state:
            case "idle":
                return self._idle(shard, holding, now)
            case "claiming":
                return self._claiming(shard, holding, now)
            case "waiting" | "taking":
                return self._waiting(shard, holding, now)
            case _:
                return self._owning(shard, holding, now)

    def _idle(self, shard: str, holding: Holding, now: float) -> list[OwnershipEffect]:
        claim = self.ledger.claims.get(shard)
        if claim is not None and self._is_late(claim, holding):
            return self._take_late(shard, holding, claim, now)
        if now < holding.retry or self.draining or not self.joined():
            return []
        if self._wanted_owner(shard, claim, now) != self.name:
            return []
        if claim is not None and not self._may_replace(claim, now):
            return []
        self._move(holding, "claim")
        holding.since = now
        replaces = claim.epoch if claim is not None else 0
        record = ClaimMade(shard, self.name, self.incarnation, replaces)
        return [Append(record)]

    def _is_late(self, claim: Claim, holding: Holding) -> bool:
        """Return whether a claim that was given up has got into the log after all."""
        newer = claim.epoch > holding.epoch
        return self._is_mine(claim) and newer and not claim.released

    def _take_late(
        self, shard: str, holding: Holding, claim: Claim, now: float
    ) -> list[OwnershipEffect]:
        if self.draining:
            holding.epoch = claim.epoch
            return [Append(ClaimReleased(shard, claim.epoch))]
        self._move(holding, "claim")
        return self._claiming(shard, holding, now)

    def _wanted_owner(self, shard: str, claim: Claim | None, now: float) -> str:
        alive = self.members.alive(now)
        held = claim is not None and not claim.released
        if held and claim and any(member.name == claim.daemon for member in alive):
            return claim.daemon
        names = [m.name for m in alive if m.joined and not m.draining]
        return rendezvous(shard, [*names, self.name])

    def _may_replace(self, claim: Claim, now: float) -> bool:
        if self._is_over(claim):
            return True
        member = self.members.members.get(claim.daemon)
        return member is not None and self.name in member.admits

    def _is_over(self, claim: Claim) -> bool:
        """Return whether the holder certainly places no work any more."""
        if claim.released or claim.daemon in self.gone or claim.daemon == self.name:
            return True
        member = self.members.members.get(claim.daemon)
        heard = member.incarnation if member is not None else 0
        joined = self.ledger.joined.get(claim.daemon, 0)
        return max(heard, joined) > claim.incarnation

    def _claiming(
        self, shard: str, holding: Holding, now: float
    ) -> list[OwnershipEffect]:
        claim = self.ledger.claims.get(shard)
        mine = claim is not None and self._is_mine(claim)
        if claim is not None and mine and claim.epoch > holding.epoch:
            self._move(holding, "confirmed")
            holding.epoch = claim.epoch
            holding.ready = now if self._replaced_over(shard) else now + _WAIT
            return self._waiting(shard, holding, now)
        if now - holding.since >= RETRY_CLAIM_TIME:
            self._move(holding, "lost")
            holding.retry = now
        return []

    def _is_mine(self, claim: Claim) -> bool:
        return claim.daemon == self.name and claim.incarnation == self.incarnation

    def _replaced_over(self, shard: str) -> bool:
        return all(self._is_over(x) for x in self.ledger.replaced.get(shard, []))

    def _waiting(
        self, shard: str, holding: Holding, now: float
    ) -> list[OwnershipEffect]:
        if self._lost(shard, holding):
            return self._lose(shard, holding, now)
        if holding.state == "waiting" and self._replaced_over(shard):
            holding.ready = min(holding.ready, now)
        if holding.state == "waiting" and now >= holding.ready:
            self._move(holding, "ready")
            return [TakeShard(shard, holding.epoch)]
        return []

    def _lose(self, shard: str, holding: Holding, now: float) -> list[OwnershipEffect]:
        self._move(holding, "lost")
        holding.retry = now + LEASE_TIME
        return [DropShard(shard)]

    def _owning(
        self, shard: str, holding: Holding, now: float
    ) -> list[OwnershipEffect]:
        if self._lost(shard, holding):
            return self._lose(shard, holding, now)
        if self._should_release(shard, now):
            return self._release(shard, holding)
        sure = now < self.lease_until(shard)
        if not sure and holding.state == "owning":
            self._move(holding, "doubt")
            return [SuspendShard(shard)]
        if sure and holding.state == "suspended":
            self._move(holding, "renewed")
            return [ResumeShard(shard)]
        return []

    def _should_release(self, shard: str, now: float) -> bool:
        if self.draining:
            return True
        heirs = [
            member.name
            for member in self.members.alive(now)
            if member.joined
            and not member.draining
            and self.members.stable(member.name, now)
        ]
        wanted = rendezvous(shard, [*heirs, self.name])
        if wanted == self.name or now - self.confirmed > LEASE_TIME:
            self._misplaced.pop(shard, None)
            return False
        since = self._misplaced.setdefault(shard, now)
        return now - since >= HANDOVER_PAUSE

    def _release(self, shard: str, holding: Holding) -> list[OwnershipEffect]:
        self._move(holding, "release")
        self._misplaced.pop(shard, None)
        return [ReleaseShard(shard, holding.epoch)]

    def _abandon(self, shard: str) -> list[OwnershipEffect]:
        holding = self.holdings.pop(shard)
        if holding.state in ("owning", "suspended", "taking"):
            return [ReleaseShard(shard, holding.epoch)]
        return []

    def _move(self, holding: Holding, event: str) -> None:
        holding.state = self._chart.next(holding.state, event)


_WAIT = LEASE_TIME + LEASE_MARGIN
