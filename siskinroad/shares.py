"""Whose turn it is: weighted dominant-resource fairness over time."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources

__all__ = ["Shares"]

LOOK_AHEAD = 20.0
MEMORY = 600.0


@dataclass(slots=True)
class _Account:
    owner: Owner
    held: Resources = NOTHING
    share: float = 0.0
    served: float = 0.0
    since: float = 0.0


class Shares:
    """What each owner holds and has been served.

    An owner's rank is the dominant share that it was served, decayed over
    ``MEMORY`` seconds, plus what it will have been served ``LOOK_AHEAD`` seconds
    from now if it keeps what it holds, over its weight. The lowest rank goes
    first.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self.total = NOTHING

    def set_owners(self, owners: dict[str, Owner]) -> None:
        """Put a configuration's owners in force."""
        for name, owner in owners.items():
            if name in self._accounts:
                self._accounts[name].owner = owner
            else:
                self._accounts[name] = _Account(owner)

    def set_total(self, total: Resources, now: float) -> None:
        """Set the capacity that shares are taken of."""
        for account in self._accounts.values():
            self._settle(account, now)
        self.total = total
        for account in self._accounts.values():
            account.share = account.held.dominant(total)

    def change(self, name: str, held: Resources, sign: int, now: float) -> None:
        """Note that an owner holds more (1) or less (-1)."""
        account = self._account(name)
        self._settle(account, now)
        account.held = account.held + held if sign > 0 else account.held - held
        account.share = account.held.dominant(self.total)

    def held(self, name: str) -> Resources:
        """Return what an owner holds."""
        return self._account(name).held

    def rank(self, name: str, now: float) -> float:
        """Return an owner's place in the order; the lowest is next."""
        account = self._account(name)
        self._settle(account, now)
        return (account.served + account.share * LOOK_AHEAD) / account.owner.weight

    def within_quota(self, name: str, need: Resources) -> bool:
        """Return whether an owner may hold ``need`` more."""
        account = self._account(name)
        quota = account.owner.quota
        held = account.held
        return (
            _within(held.cpu_milli + need.cpu_milli, quota.cpu_milli)
            and _within(held.memory_mib + need.memory_mib, quota.memory_mib)
            and _within(held.accelerators + need.accelerators, quota.accelerators)
        )

    def fair_part(self, name: str, backlogged: set[str]) -> float:
        """Return an owner's part of the total among the owners that have work."""
        weights = {x: self._account(x).owner.weight for x in backlogged | {name}}
        return weights[name] / sum(weights.values())

    def share(self, name: str) -> float:
        """Return the dominant share that an owner holds."""
        return self._account(name).share

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(Owner(name, 1.0, 1.0, NOTHING))
            self._accounts[name] = account
        return account

    def _settle(self, account: _Account, now: float) -> None:
        passed = now - account.since
        if passed <= 0:
            return
        keep = max(0.0, 1.0 - passed / MEMORY)
        account.served = account.served * keep + account.share * passed
        account.since = now


def _within(value: int, quota: int) -> bool:
    return quota == 0 or value <= quota
