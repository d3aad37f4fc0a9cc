"""What each client account holds and waits for in one pool.

Load pattern: accounts of very different size start and end thousands of short tasks a
minute. Held amounts are kept up to date as runs come and go, so that the check of a
start takes the same time however many accounts and runs there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from siskinroad.resources import NOTHING, Resources
from siskinroad.shares import Shares
from siskinroad.work.account_turns import LargeStepTurns
from siskinroad.work.client_accounts import AccountDirectory

__all__ = ["UNLIMITED", "AccountUse", "FirstNeed", "divide"]

# Amount of a dimension in which an account has no limit.
UNLIMITED = 1 << 60
# Dimensions that can have a limit.
_DIMENSIONS = ("cpu_milli", "memory_mib", "accelerators")


@dataclass(slots=True, frozen=True)
class FirstNeed:
    """What an account's pool gathers parts of the limit for.

    Attributes
    ----------
    need : Resources
        Need of one task, or of all members of a gang.
    accepted_at : float
        Time at which the job was accepted, if it is the turn of a large step; else 0,
        and the account has nothing running in the pool.
    """

    need: Resources
    accepted_at: float = 0.0


class AccountUse:
    """Runs and demand of each client account in one pool.

    Runs count from their order until they are over, whatever their state: ordered,
    doubtful, stopping, withdrawn, speculative copies and members of gangs. Runs that
    belong to no account are not counted.

    Attributes
    ----------
    find_part : callable
        Returns the part of an account's limit that this pool may use, at a loop time;
        ``UNLIMITED`` in a dimension without limit, None for an account of which no
        limit is known. The whole limit until limits are divided between pools.
    find_limit : callable
        Returns the whole limit of an account.
    find_share : callable
        Returns the equal share of an account's limit that this pool has at a loop time,
        whatever is lent; written like a part.
    find_use_elsewhere : callable
        Returns the most that runs in other pools hold, ``UNLIMITED`` in a dimension in
        which not the whole limit is lent to this pool.
    find_known_use : callable
        Returns what runs in other pools hold by the newest answers of their owners.
    find_unsettled : callable
        Returns the largest amount by account that runs of former owners may hold
        without this owner's knowledge.
    demand : dict of str to Resources
        Needs of the waiting tasks by account, from the newest planning pass.
    is_blocked : callable
        Returns whether an account may start nothing in this pool for now.
    held_back : set of str
        Accounts of which the newest planning pass held a step back for the limit.
    first_needs : dict of str to FirstNeed
        Need of the large step whose turn it is; else of the first step that was held
        back, of each account that had nothing running then.
    turns : LargeStepTurns
        Turns of the accounts' large steps.
    """

    def __init__(self) -> None:
        self._shares = Shares()
        self._now = 0.0
        self.find_part: Callable[[str, float], Resources | None] = self._find_whole
        self.find_limit: Callable[[str], Resources | None] = lambda account: None
        self.find_share: Callable[[str, float], Resources | None] = self._find_whole
        self.find_use_elsewhere: Callable[[str, float], Resources] = (
            lambda account, now: NOTHING
        )
        self.find_known_use: Callable[[str], Resources] = lambda account: NOTHING
        self.find_unsettled: Callable[[], dict[str, Resources]] = dict
        self.demand: dict[str, Resources] = {}
        self.is_blocked: Callable[[str], bool] = lambda account: False
        self.held_back: set[str] = set()
        self.first_needs: dict[str, FirstNeed] = {}
        self.turns = LargeStepTurns()
        self.names: set[str] = set()

    def set_accounts(self, accounts: AccountDirectory) -> None:
        """Apply the accounts of a configuration; removed ones keep their weight."""
        self._shares.set_owners(accounts.owners())
        self.names = set(accounts.by_name)

    def _find_whole(self, account: str, now: float) -> Resources | None:
        if account not in self.names:
            return None
        limit = self._shares.quota(account)
        return Resources(
            limit.cpu_milli or UNLIMITED,
            limit.memory_mib or UNLIMITED,
            limit.accelerators or UNLIMITED,
            UNLIMITED,
        )

    def advance(self, now: float) -> None:
        """Set the loop time in seconds at which the next changes count as made."""
        self._now = max(self._now, now)

    def set_total(self, total: Resources, now: float) -> None:
        """Set the capacity of the pool, which shares are fractions of."""
        if total != self._shares.total:
            self._shares.set_total(total, now)

    @property
    def total(self) -> Resources:
        """Capacity of the pool."""
        return self._shares.total

    def add(self, account: str, need: Resources) -> None:
        """Count a run of an account that a host may carry out."""
        if account:
            self._shares.change_allocation(account, need, 1, self._now)

    def remove(self, account: str, need: Resources) -> None:
        """Count a run of an account no more, as it is over."""
        if account:
            self._shares.change_allocation(account, need, -1, self._now)

    def held(self, account: str) -> Resources:
        """Return what the known runs of an account hold."""
        return self._shares.held(account)

    def occupied(self, account: str) -> Resources:
        """Return what an account holds, with all that unsettled tasks may hold."""
        unsettled = self.find_unsettled().get(account)
        held = self._shares.held(account)
        return held if unsettled is None else held + unsettled

    def wanted(self, account: str) -> Resources:
        """Return what an account would hold if its tasks had all that the pool has."""
        demand = self.demand.get(account, NOTHING)
        total = self.total.union(self.held(account))
        return (self.held(account) + demand).clip(total)

    def rank(self, account: str, now: float) -> float:
        """Return the rank of an account by its share; the lowest goes first."""
        return self._shares.rank(account, now)

    def count_startable(
        self, account: str, need: Resources, count: int, *, is_gang: bool = False
    ) -> int:
        """Return how many of ``count`` tasks the account may start now.

        A gang may be started as a whole or not at all. While the account uses under
        half of its limit in all pools, and the whole limit is lent to this one, a task
        may start beyond it, or a gang of which no more than one task is beyond it.
        """
        if not account:
            return count
        if self.is_blocked(account):
            return 0
        part = self.find_part(account, self._now)
        if part is None:
            # Accepted work must not wait for ever for a limit that nobody knows.
            is_alone = self.occupied(account) == NOTHING
            return count if is_alone and (is_gang or count == 1) else int(is_alone)
        allowed = self.count_allowed(account, need, count, part)
        if allowed == count or (allowed and not is_gang):
            return allowed
        needed = count if is_gang else 1
        return needed if self._may_exceed(account, need, needed, part) else 0

    def _may_exceed(
        self, account: str, need: Resources, count: int, part: Resources
    ) -> bool:
        """Return whether the last of ``count`` tasks may be beyond the limit.

        No other pool starts anything as long as the whole limit is lent to this one.
        """
        limit = self.find_limit(account)
        if limit is None:
            return False
        occupied = self.occupied(account)
        lacking = _find_lacking(occupied, need.times(count), part)
        if not _are_low(lacking, occupied, limit):
            return False
        held = occupied + self.find_use_elsewhere(account, self._now)
        return _are_low(lacking, held, limit) and all(
            getattr(held, name) + getattr(need, name) * (count - 1)
            <= getattr(limit, name)
            for name in lacking
        )

    def is_low(self, account: str, elsewhere: Resources) -> bool:
        """Return whether an account uses under half of its limit, with other pools."""
        limit = self.find_limit(account)
        if limit is None:
            return False
        limited = [name for name in _DIMENSIONS if getattr(limit, name)]
        return _are_low(limited, self.occupied(account) + elsewhere, limit)

    def count_allowed(
        self, account: str, need: Resources, count: int, part: Resources
    ) -> int:
        """Return how many of ``count`` tasks fit into a part of the account's limit.

        Parameters
        ----------
        need : Resources
            What one task holds.
        part : Resources
            The most that the account may hold in this pool.
        """
        occupied = self.occupied(account)
        return min(
            count,
            divide(part.cpu_milli - occupied.cpu_milli, need.cpu_milli),
            divide(part.memory_mib - occupied.memory_mib, need.memory_mib),
            divide(part.accelerators - occupied.accelerators, need.accelerators),
        )

    def accounts(self) -> Iterable[str]:
        """Return the accounts that are configured or wait for something."""
        return self.names | self.demand.keys()


def _find_lacking(occupied: Resources, need: Resources, part: Resources) -> list[str]:
    """Return the dimensions in which a part is too small for a need."""
    return [
        name
        for name in _DIMENSIONS
        if getattr(need, name)
        and getattr(occupied, name) + getattr(need, name) > getattr(part, name)
    ]


def _are_low(names: list[str], held: Resources, limit: Resources) -> bool:
    """Return whether under half of a limit is held in some dimensions."""
    return all(2 * getattr(held, name) < getattr(limit, name) for name in names)


def divide(free: int, need: int) -> int:
    """Return how many tasks fit into what is free of one dimension."""
    if need <= 0:
        return UNLIMITED
    return max(0, free) // need
