"""Limits of the client accounts that a daemon has seen, also of removed accounts.

The jobs of an account that was removed or renamed still run, so its last limit stays.
After a limit was lowered, the runs in one pool may be far above it: the version that
lowered it is kept, so that the other pools start nothing before they know better.
"""

from __future__ import annotations

from siskinroad.resources import Resources
from siskinroad.work.model import Configuration

__all__ = ["WHOLE", "AccountLimits", "make_shares"]

# A whole limit, in the unit of its division.
WHOLE = 1000
# Seconds for which a pool's share does not grow after the set of pools has changed: an
# owner that cannot reach the store may act by an earlier configuration for 10 s.
POOLS_SETTLE_S = 12.0


class AccountLimits:
    """Limits by account, shared by all owners of a daemon.

    Attributes
    ----------
    version : int
        Version of the configuration that was applied last.
    pools : tuple of str
        Sorted names of its pools.
    by_name : dict of str to Resources
        Last known limit of each account; 0 in a dimension means that there is none.
    lowered : dict of str to int
        Version of the configuration that last lowered the limit of an account.
    """

    def __init__(self) -> None:
        self.version = 0
        self.pools: tuple[str, ...] = ()
        self.by_name: dict[str, Resources] = {}
        self.lowered: dict[str, int] = {}
        self._shares: dict[str, int] = {}
        self._former_shares: dict[str, int] = {}
        self._shares_hold_from = -1e9

    def apply(self, configuration: Configuration, now: float = 0.0) -> None:
        """Apply a configuration; one without accounts leaves all limits as they are."""
        self.version = configuration.version
        pools = tuple(sorted(configuration.pools))
        if pools != self.pools:
            if self.pools:
                self._former_shares = self._shares
                self._shares_hold_from = now + POOLS_SETTLE_S
            self.pools = pools
            self._shares = make_shares(pools)
        if configuration.accounts is None:
            return
        for name, account in configuration.accounts.by_name.items():
            limit = account.owner.quota
            former = self.by_name.get(name)
            if former is not None and _is_lower(limit, former):
                self.lowered[name] = configuration.version
            self.by_name[name] = limit

    def is_settling(self, now: float) -> bool:
        """Return whether shares do not grow for now, after a change of the pools."""
        return now < self._shares_hold_from

    def share(self, pool: str, now: float) -> int:
        """Return the equal share of a pool in thousandths of each limit."""
        share = self._shares.get(pool, 0)
        if self.is_settling(now):
            return min(share, self._former_shares.get(pool, 0))
        return share


def make_shares(pools: tuple[str, ...]) -> dict[str, int]:
    """Return the equal share of each pool, in thousandths; they add up to the whole."""
    shares = {}
    for i, pool in enumerate(pools):
        shares[pool] = WHOLE // len(pools) + (i < WHOLE % len(pools))
    return shares


def _is_lower(limit: Resources, former: Resources) -> bool:
    """Return whether a limit is lower than a former one in some dimension."""
    pairs = (
        (limit.cpu_milli, former.cpu_milli),
        (limit.memory_mib, former.memory_mib),
        (limit.accelerators, former.accelerators),
    )
    return any(new and (not old or new < old) for new, old in pairs)
