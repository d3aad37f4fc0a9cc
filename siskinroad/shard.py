"""State of one shard: its hosts, its waiting work and its running attempts."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from siskinroad.accounts import Accounts
from siskinroad.cell import Cell, Host, Pool, Urgency, Workload
from siskinroad.effects import End
from siskinroad.estimates import Estimates
from siskinroad.gangs import Reservation
from siskinroad.health import Health
from siskinroad.limits import AdmissionLimit, ConcurrencyLimit, Headroom
from siskinroad.placement import HostIndex, HostView
from siskinroad.queues import Item, Lane, WaitingWork
from siskinroad.resources import NOTHING, Resources
from siskinroad.retries import Budget
from siskinroad.shares import Shares
from siskinroad.upstreams import Usage

__all__ = ["PoolState", "Running", "Shard", "milliseconds"]


@dataclass(slots=True, eq=False)
class Running:
    """Attempt in progress.

    Attributes
    ----------
    hosts : dict of int to str
        Host of each member that has not ended yet.
    held : Resources
        Resources allocated to each member at the start.
    known_members : set of int
        Members that were started here or found running.
    peak : dict of int to Usage
        Highest usage reported for each member.
    worst_end : End
        The most severe end of a member so far.
    evicted_at : float or None
        Loop time at which its eviction began, while that is in progress.
    has_ignored_eviction : bool
        Whether an eviction was not carried out in time.
    stop_repeated_at : dict of int to float
        Loop time at which the stop of a member was last sent again.
    """

    item: Item
    attempt: str
    hosts: dict[int, str]
    held: Resources
    started: float
    expected_end: float
    peak: dict[int, Usage] = field(default_factory=dict)
    known_members: set[int] = field(default_factory=set)
    worst_end: End = End.DONE
    is_throttled: bool = False
    evicted_at: float | None = None
    has_ignored_eviction: bool = False
    is_stopping: bool = False
    stop_repeated_at: dict[int, float] = field(default_factory=dict)

    @property
    def is_evicting(self) -> bool:
        """Whether an eviction is in progress."""
        return self.evicted_at is not None

    def record_peak_usage(self, member: int, usage: Usage) -> None:
        """Raise a member's peak usage to the reported usage where that is higher."""
        peak = self.peak.get(member, Usage())
        self.peak[member] = Usage(
            max(peak.cpu_milli, usage.cpu_milli),
            max(peak.memory_mib, usage.memory_mib),
        )


@dataclass(slots=True)
class PoolState:
    """Hosts of one pool within the shard, and the state of their scheduling.

    Attributes
    ----------
    urgent_need : Resources
        Largest demand of the urgent workloads, in each dimension.
    evictable : dict of str to Running
        Background attempts that can be checkpointed, by key of the item.
    evicting : dict of str to Running
        Attempts whose eviction is in progress, by key of the item, oldest first.
    last_planned : float
        Loop time at which a reservation was last planned.
    failed_plans : dict of str to float
        Loop time of the last plan of a reservation that failed, by key of the item.
    underserved_since : dict of str to float
        Loop time since which an owner has lacked its fair share.
    """

    pool: Pool
    index: HostIndex
    headroom: Headroom = field(default_factory=Headroom)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    last_planned: float = -1e9
    failed_plans: dict[str, float] = field(default_factory=dict)
    urgent_need: Resources = NOTHING
    evictable: dict[str, Running] = field(default_factory=dict)
    evicting: dict[str, Running] = field(default_factory=dict)
    underserved_since: dict[str, float] = field(default_factory=dict)


class Shard:
    """State shared by the components of a scheduler.

    Parameters
    ----------
    cell : Cell
        The configuration in force.
    rng : random.Random
        Seeded source of jitter.
    now : float
        Loop time in seconds.
    """

    def __init__(self, cell: Cell, rng: random.Random, now: float) -> None:
        self.cell = cell
        self.rng = rng
        self.waiting = WaitingWork()
        self.estimates = Estimates()
        self.health = Health()
        self.shares = Shares()
        self.accounts = Accounts(cell.owners, milliseconds(now))
        self.admission_limit = AdmissionLimit()
        self.items: dict[str, Item] = {}
        self.running: dict[str, Running] = {}
        self.limits: dict[str, ConcurrencyLimit] = {}
        self.quarantines: dict[str, str] = {}
        self.lowered_limits: set[str] = set()
        self.overloaded_hosts: set[str] = set()
        self.budgets: dict[str, Budget] = {}
        self.pools: dict[str, PoolState] = {}
        self.pool_of: dict[str, str] = {}
        self.shares.set_owners(cell.owners)

    def configure(self, cell: Cell, now: float) -> None:
        """Apply a new configuration."""
        self.cell = cell
        self.shares.set_owners(cell.owners)
        self.accounts.set_owners(cell.owners, milliseconds(now))
        for workload in cell.workloads.values():
            self.waiting.replace_workload(workload)
        for name, state in self.pools.items():
            if name in cell.pools:
                state.pool = cell.pools[name]
            state.urgent_need = _urgent_need(cell, name)

    def add_host(self, host: Host, now: float) -> None:
        """Add a host; it takes no work until an event has opened it."""
        pool = self.cell.pools[host.pool]
        state = self.pools.get(host.pool)
        if state is None:
            state = PoolState(pool, HostIndex(pool.capacity))
            state.urgent_need = _urgent_need(self.cell, host.pool)
            self.pools[host.pool] = state
        state.index.add(HostView(host.name, host.rack, pool.capacity))
        self.pool_of[host.name] = host.pool
        self.limits[host.name] = ConcurrencyLimit(pool.capacity.slots)
        self.update_capacity(now)

    def remove_host(self, name: str, now: float) -> None:
        """Remove a host on which no task runs."""
        self.pools[self.pool_of.pop(name)].index.remove(name)
        self.health.remove_host(name)
        del self.limits[name]
        self.quarantines.pop(name, None)
        self.lowered_limits.discard(name)
        self.overloaded_hosts.discard(name)
        self.update_capacity(now)

    def record_verdict(self, name: str, event: str) -> None:
        """Record a verdict on a host's health, also while the host is silent.

        The host returns to its quarantine or probation once it answers.
        """
        match event:
            case "eject":
                self.quarantines[name] = "ejected"
            case "probation":
                self.quarantines[name] = "probation"
            case "recover":
                self.quarantines.pop(name, None)

    def update_limit(self, view: HostView) -> None:
        """Set how many tasks a host may hold now."""
        limit = self.limits[view.name]
        if limit.is_lowered:
            self.lowered_limits.add(view.name)
        else:
            self.lowered_limits.discard(view.name)
        if view.name in self.overloaded_hosts:
            view.limit = view.gang_limit = 0
        else:
            view.gang_limit = limit.max_tasks
            view.limit = 1 if view.state == "probation" else limit.max_tasks

    def recover_limits(self, now: float) -> None:
        """Raise the limits that have not been changed for some time."""
        for name in sorted(self.lowered_limits):
            view = self.view(name)
            assert view is not None
            self.limits[name].recover(now)
            self.update_limit(view)

    def view(self, name: str) -> HostView | None:
        """Return the named host, or None if the shard does not have it."""
        pool = self.pool_of.get(name)
        return self.pools[pool].index.hosts.get(name) if pool else None

    def views(self) -> Iterator[HostView]:
        """Yield all hosts of the shard."""
        for state in self.pools.values():
            yield from state.index.hosts.values()

    def pool_state(self, host: str) -> PoolState:
        """Return the state of the pool of a host."""
        return self.pools[self.pool_of[host]]

    def current_workload(self, workload: Workload) -> Workload:
        """Return a workload as configured now, or as given if it was removed."""
        return self.cell.workloads.get(workload.name, workload)

    def allocation(self, workload: Workload, state: PoolState) -> Resources:
        """Return the resources to allocate to each member of a workload's items.

        An estimate above the declared demand is limited to what lets the item start
        in an empty pool: each member's part of the owner's quota and of a host. An
        item that never starts would leave its workload without samples, and the
        estimate as it is.
        """
        capacity = state.pool.capacity
        need = self.estimates.allocation(workload, capacity)
        quota = self.shares.quota(workload.owner)
        members_per_host = -(-workload.size // max(len(state.index.hosts), 1))
        if members_per_host == 1 and quota == NOTHING:
            return need
        demand = workload.demand
        return Resources(
            _limit_amount(
                need.cpu_milli,
                demand.cpu_milli,
                _part(quota.cpu_milli, workload.size),
                capacity.cpu_milli // members_per_host,
            ),
            _limit_amount(
                need.memory_mib,
                demand.memory_mib,
                _part(quota.memory_mib, workload.size),
                capacity.memory_mib // members_per_host,
            ),
            need.accelerators,
            need.slots,
        )

    def update_capacity(self, now: float) -> None:
        """Recompute the total capacity that shares are fractions of."""
        total = NOTHING
        for view in self.views():
            if view.state != "gone":
                total = total + view.capacity
        self.shares.set_total(total, now)
        self.accounts.set_capacity(total, milliseconds(now))

    def change_allocations(
        self, workload: Workload, held: Resources, sign: int, now: float
    ) -> None:
        """Add resources to the allocation of a workload's owner or subtract them.

        Parameters
        ----------
        sign : int
            1 to add, -1 to subtract.
        """
        self.shares.change_allocation(workload.owner, held, sign, now)
        self.accounts.change_allocation(workload.owner, held, sign, milliseconds(now))

    def urgent_lanes(self, pool: str) -> Iterator[Lane]:
        """Yield the lanes of urgent work that waits for a pool."""
        for lane in self.waiting.active[Urgency.URGENT].values():
            if lane.workload.pool == pool:
                yield lane

    def budget(self, owner: str) -> Budget:
        """Return an owner's retry budget."""
        budget = self.budgets.get(owner)
        if budget is None:
            budget = self.budgets[owner] = Budget()
        return budget


def _part(quota: int, size: int) -> int | None:
    """Return each member's part of a quota, or None if there is no limit."""
    return quota // size if quota else None


def _limit_amount(
    estimate: int, declared: int, quota_part: int | None, host_part: int
) -> int:
    """Return an estimate limited to both parts, but not below the declared amount."""
    limit = host_part if quota_part is None else min(quota_part, host_part)
    return min(estimate, max(declared, limit))


def _urgent_need(cell: Cell, pool: str) -> Resources:
    needs = [
        workload.demand
        for workload in cell.workloads.values()
        if workload.pool == pool and workload.urgency is Urgency.URGENT
    ]
    return Resources(
        max((need.cpu_milli for need in needs), default=0),
        max((need.memory_mib for need in needs), default=0),
        max((need.accelerators for need in needs), default=0),
        max((need.slots for need in needs), default=0),
    )


def milliseconds(now: float) -> int:
    """Convert a loop time in seconds to whole milliseconds."""
    return round(now * 1000)
