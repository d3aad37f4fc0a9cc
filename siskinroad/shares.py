"""Weighted dominant-resource fairness between owners, averaged over time."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources

__all__ = ["Shares"]

# Seconds of future use, at the present allocation, that count towards an owner's rank.
# With a smaller value, one owner could start many tasks before its rank rises.
LOOK_AHEAD = 20.0
# Time constant of the decay of past use, in seconds. With a smaller value, an owner
# that has used much capacity ranks with the others again too soon.
DECAY_TIME = 600.0


@dataclass(slots=True)
class _Account:
    owner: Owner
    held: Resources = NOTHING
    dominant_share: float = 0.0
    decayed_use: float = 0.0
    accrued_until: float = 0.0


class Shares:
    """Allocations and past use of each owner.

    An owner's rank is its dominant share integrated over time and decayed over
    ``DECAY_TIME`` seconds, plus what its present allocation adds in the next
    ``LOOK_AHEAD`` seconds, divided by the owner's weight. The owner with the lowest
    rank goes first.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self.total = NOTHING

    def set_owners(self, owners: dict[str, Owner]) -> None:
        """Apply the owners of a configuration."""
        for name, owner in owners.items():
            if name in self._accounts:
                self._accounts[name].owner = owner
            else:
                self._accounts[name] = _Account(owner)

    def set_total(self, total: Resources, now: float) -> None:
        """Set the total capacity that shares are fractions of."""
        for account in self._accounts.values():
            self._accrue(account, now)
        self.total = total
        for account in self._accounts.values():
            account.dominant_share = account.held.dominant(total)

    def change_allocation(
        self, name: str, held: Resources, sign: int, now: float
    ) -> None:
        """Add resources to an owner's allocation (sign 1) or subtract them (-1)."""
        account = self._account(name)
        self._accrue(account, now)
        account.held = account.held + held if sign > 0 else account.held - held
        account.dominant_share = account.held.dominant(self.total)

    def held(self, name: str) -> Resources:
        """Return the resources allocated to an owner."""
        return self._account(name).held

    def rank(self, name: str, now: float) -> float:
        """Return an owner's rank; the lowest goes first."""
        account = self._account(name)
        self._accrue(account, now)
        return (
            account.decayed_use + account.dominant_share * LOOK_AHEAD
        ) / account.owner.weight

    def quota(self, name: str) -> Resources:
        """Return an owner's quota; a dimension of 0 means no limit."""
        return self._account(name).owner.quota

    def within_quota(self, name: str, need: Resources) -> bool:
        """Return whether an owner's quota allows another ``need``."""
        account = self._account(name)
        quota = account.owner.quota
        held = account.held
        return (
            _is_within(held.cpu_milli + need.cpu_milli, quota.cpu_milli)
            and _is_within(held.memory_mib + need.memory_mib, quota.memory_mib)
            and _is_within(held.accelerators + need.accelerators, quota.accelerators)
        )

    def fair_share(self, name: str, backlogged: set[str]) -> float:
        """Return the fraction of the total due to one of the backlogged owners."""
        weights = {x: self._account(x).owner.weight for x in backlogged | {name}}
        return weights[name] / sum(weights.values())

    def dominant_share(self, name: str) -> float:
        """Return the dominant share of an owner's allocation."""
        return self._account(name).dominant_share

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(Owner(name, 1.0, 1.0, NOTHING))
            self._accounts[name] = account
        return account

    def _accrue(self, account: _Account, now: float) -> None:
        elapsed = now - account.accrued_until
        if elapsed <= 0:
            return
        retained = max(0.0, 1.0 - elapsed / DECAY_TIME)
        account.decayed_use = (
            account.decayed_use * retained + account.dominant_share * elapsed
        )
        account.accrued_until = now


def _is_within(amount: int, quota: int) -> bool:
    return quota == 0 or amount <= quota
