"""Set of the hosts that may get new work, with what follows from their entries alone.

It is kept from one planning pass to the next for as long as the same hosts have the
same entries, so that a pass does not examine each host for each step.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.model import HostEntry
from siskinroad.work.step_advice import Ticket

__all__ = ["SchedulableHosts", "is_mostly_free", "make_schedulable_hosts"]

# Fraction of a host from which a task counts as large: gaps of that size are filled by
# small tasks first, so that a large one may never fit.
LARGE_TASK_FRACTION = 0.5
# Fraction of the processors in use up to which a step that waits lacks hosts that it
# may use, rather than capacity.
MOSTLY_FREE_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class CapableHosts:
    """Hosts that could hold a task of some need and label if they were empty.

    Attributes
    ----------
    hosts : list of Host
        These hosts, in the order of the set.
    names : frozenset of str
        Their names.
    has_large : bool
        Whether the task would take a large fraction of one of them.
    """

    hosts: list[Host]
    names: frozenset[str]
    has_large: bool


@dataclass(slots=True, eq=False)
class SchedulableHosts:
    """Hosts that may get new work.

    Attributes
    ----------
    positions : dict of str to int
        Position of each host by name.
    cpu_milli : int
        Thousandths of a processor of all hosts.
    """

    hosts: list[Host]
    entries: list[HostEntry]
    positions: dict[str, int]
    cpu_milli: int
    _shapes: dict[tuple[Resources, frozenset[str]], list[int]]
    _capable: dict[tuple[Resources, str], CapableHosts] = field(default_factory=dict)
    _shares: dict[tuple[Resources, Resources], float] = field(default_factory=dict)

    def is_made_of(self, hosts: list[Host], entries: list[HostEntry]) -> bool:
        """Return whether this set has the same hosts with the same entries."""
        return hosts == self.hosts and entries == self.entries

    def find_capable_hosts(self, step: StepRun) -> CapableHosts:
        """Return the hosts that could hold a task of a step if they were empty."""
        key = (step.need, step.spec.label)
        capable_hosts = self._capable.get(key)
        if capable_hosts is None:
            capable_hosts = self._capable[key] = self._examine_shapes(*key)
        return capable_hosts

    def _examine_shapes(self, need: Resources, label: str) -> CapableHosts:
        positions: list[int] = []
        has_large = False
        for (capacity, labels), here in self._shapes.items():
            if need.fits(capacity) and (not label or label in labels):
                positions += here
                has_large |= need.dominant(capacity) >= LARGE_TASK_FRACTION
        hosts = [self.hosts[i] for i in sorted(positions)]
        return CapableHosts(hosts, frozenset(h.name for h in hosts), has_large)

    def find_hosts(self, names: Iterable[str]) -> list[Host]:
        """Return the hosts of the set that are named, in the order of the set."""
        known = self.positions
        return [self.hosts[i] for i in sorted(known[n] for n in names if n in known)]

    def count(self, names: dict[str, Ticket]) -> int:
        """Return how many hosts of the set are named."""
        known = self.positions
        return sum(1 for name in names if name in known) if names else 0

    def has_any(self, names: dict[str, Ticket]) -> bool:
        """Return whether any host of the set is named."""
        return not self.positions.keys().isdisjoint(names)

    def compute_share(self, need: Resources, host: Host) -> float:
        """Return the fraction of a host's capacity that a need takes."""
        key = (need, host.entry.capacity)
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = need.dominant(host.entry.capacity)
        return share


def make_schedulable_hosts(
    hosts: list[Host], former: SchedulableHosts | None
) -> SchedulableHosts:
    """Return the set of the given hosts: the former one if nothing has changed."""
    entries = [host.entry for host in hosts]
    if former is not None and former.is_made_of(hosts, entries):
        # Entries that are listed anew are compared by their fields only once.
        former.entries = entries
        return former
    shapes: dict[tuple[Resources, frozenset[str]], list[int]] = {}
    for i, entry in enumerate(entries):
        shapes.setdefault((entry.capacity, entry.labels), []).append(i)
    positions = {entry.name: i for i, entry in enumerate(entries)}
    cpu_milli = sum(entry.capacity.cpu_milli for entry in entries)
    return SchedulableHosts(hosts, entries, positions, cpu_milli, shapes)


def is_mostly_free(hosts: Iterable[Host]) -> bool:
    """Return whether so few processors are in use that capacity is not short."""
    capacity = used = 0
    for host in hosts:
        capacity += host.entry.capacity.cpu_milli
        used += host.used.cpu_milli
    return used <= MOSTLY_FREE_FRACTION * capacity
