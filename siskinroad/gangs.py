"""Reservations of hosts for batch tasks and gangs, and backfill without delaying them.

When a batch task or gang is next and does not fit, the hosts whose running tasks
are expected to end soonest are reserved for it. Other work may use these hosts only
if it is expected to end before the reserved work starts. Two reservations never
share a host, so two gangs cannot deadlock, each with a part of the capacity that the
other needs.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.placement import HostView
from siskinroad.resources import Resources

__all__ = ["Reservation", "plan_reservation"]

# Hosts considered for one reservation, unless its members may need more; it bounds the
# time of planning.
MAX_CANDIDATES = 128


@dataclass(slots=True)
class Reservation:
    """Hosts reserved for one batch task or gang.

    Attributes
    ----------
    key : str
        Key of the item.
    hosts : set of str
        Names of the hosts; other work may use them only until ``start``.
    start : float
        Loop time at which all members are expected to fit.
    planned_at : float
        Loop time at which the reservation was planned.
    """

    key: str
    hosts: set[str]
    start: float
    planned_at: float

    def admits(self, expected_end: float) -> bool:
        """Return whether work that ends at ``expected_end`` may use the hosts."""
        return expected_end <= self.start


@dataclass(slots=True)
class _FreeCapacity:
    cpu: int
    memory: int
    accelerators: int
    slots: int

    def add(self, held: Resources) -> None:
        self.cpu += held.cpu_milli
        self.memory += held.memory_mib
        self.accelerators += held.accelerators
        self.slots += held.slots

    def count_fitting(self, need: Resources) -> int:
        count = self.slots // max(need.slots, 1)
        if need.cpu_milli:
            count = min(count, self.cpu // need.cpu_milli)
        if need.memory_mib:
            count = min(count, self.memory // need.memory_mib)
        if need.accelerators:
            count = min(count, self.accelerators // need.accelerators)
        return max(count, 0)


def plan_reservation(
    key: str,
    need: Resources,
    size: int,
    hosts: list[HostView],
    expected_end: Callable[[str], float],
    now: float,
) -> Reservation | None:
    """Plan a reservation for a batch task or gang that does not fit yet.

    Parameters
    ----------
    need : Resources
        Resources to allocate to one member.
    hosts : list of HostView
        Candidates; the first ``MAX_CANDIDATES`` are considered, or two for each
        member if that is more.
    expected_end : callable
        Returns the loop time at which a task is expected to end.

    Returns
    -------
    Reservation or None
        None if the item would not fit even after all tasks that are expected to end
        have ended, with the hosts' present limits.
    """
    events: list[tuple[float, int, HostView, Resources]] = []
    free: dict[str, _FreeCapacity] = {}
    counts: dict[str, int] = {}
    for host in hosts[: max(MAX_CANDIDATES, 2 * size)]:
        capacity = _FreeCapacity(
            host.cpu, host.memory, host.accelerators, host.free_gang_tasks
        )
        free[host.name] = capacity
        counts[host.name] = capacity.count_fitting(need)
        for task, held in host.tasks.items():
            events.append((max(expected_end(task), now), len(events), host, held))
    events.sort(key=lambda event: event[:2])
    total = sum(counts.values())
    start = now
    for time, _, host, held in events:
        if total >= size:
            break
        if time == math.inf:
            return None
        free[host.name].add(held)
        count = free[host.name].count_fitting(need)
        total += count - counts[host.name]
        counts[host.name] = count
        start = time
    if total < size:
        return None
    return Reservation(key, _fewest_hosts(counts, size), start, now)


def _fewest_hosts(counts: dict[str, int], size: int) -> set[str]:
    chosen = set()
    for name in sorted(counts, key=lambda name: (-counts[name], name)):
        if size <= 0:
            break
        chosen.add(name)
        size -= counts[name]
    return chosen
