"""Placement: hosts of a pool, indexed by their free capacity."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

from siskinroad.resources import Resources

__all__ = ["MAX_PROBES", "HostIndex", "HostView"]

# Levels into which the free processors and the free memory of hosts are divided.
RESOURCE_LEVELS = 16
# Most hosts that one search visits; it bounds the time of a search.
MAX_PROBES = 64
# Fitting hosts after which a search stops; the best of them is used.
MAX_FITTING_HOSTS = 6
# Most needs for which a search is continued; it bounds the memory of an index.
MAX_CONTINUED_SEARCHES = 256
# Most levels into which the free slots of hosts are divided; it bounds the memory of
# an index of hosts with many slots.
MAX_SLOT_LEVELS = 64


@dataclass(slots=True, eq=False)
class HostView:
    """State of one host, as known to the daemon that owns its shard.

    Attributes
    ----------
    capacity : Resources
        Total resources of the host.
    cpu, memory, accelerators, slots : int
        Unallocated resources; never negative.
    is_open : bool
        Whether new work may be placed on the host.
    limit : int
        Concurrent tasks that are allowed now, at most the host's slots.
    gang_limit : int
        Members of one gang that are allowed now if the host is empty. A gang is one
        start, so on probation this is more than ``limit``.
    tasks : dict of str to Resources
        Resources allocated to each task on the host.
    task_counts : dict of str to int
        Number of tasks on the host, by workload.
    levels : list of int
        Level in each row of the index; empty if the host is not indexed.
    is_counted : bool
        Whether the sums of the index include the host.
    """

    name: str
    rack: str
    capacity: Resources
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    slots: int = 0
    is_open: bool = False
    limit: int = 0
    gang_limit: int = 0
    state: str = "unseen"
    tasks: dict[str, Resources] = field(default_factory=dict)
    task_counts: dict[str, int] = field(default_factory=dict)
    levels: list[int] = field(default_factory=list)
    is_counted: bool = False

    def __post_init__(self) -> None:
        self.cpu = self.capacity.cpu_milli
        self.memory = self.capacity.memory_mib
        self.accelerators = self.capacity.accelerators
        self.slots = self.capacity.slots
        self.limit = self.gang_limit = self.capacity.slots

    def fits(self, need: Resources) -> bool:
        """Return whether ``need`` fits into the free capacity of the host."""
        return (
            need.slots <= self.slots
            and need.cpu_milli <= self.cpu
            and need.memory_mib <= self.memory
            and need.accelerators <= self.accelerators
            and self.capacity.slots - self.slots < self.limit
        )

    @property
    def free_tasks(self) -> int:
        """Tasks that its limit still allows; negative if it was lowered below its use.

        A limit is at most the host's slots.
        """
        return self.limit - (self.capacity.slots - self.slots)

    @property
    def free_gang_tasks(self) -> int:
        """Members of one gang that its limits still allow; may be negative."""
        return self.free_tasks if self.tasks else self.gang_limit

    def count_fitting(self, need: Resources) -> int:
        """Return how many tasks of one item fit on the host if each needs ``need``."""
        count = self.free_gang_tasks // max(need.slots, 1)
        if need.cpu_milli:
            count = min(count, self.cpu // need.cpu_milli)
        if need.memory_mib:
            count = min(count, self.memory // need.memory_mib)
        if need.accelerators:
            count = min(count, self.accelerators // need.accelerators)
        return max(count, 0)

    def used(self) -> Resources:
        """Return the allocated resources."""
        cap = self.capacity
        return Resources(
            cap.cpu_milli - self.cpu,
            cap.memory_mib - self.memory,
            cap.accelerators - self.accelerators,
            cap.slots - self.slots,
        )


class HostIndex:
    """Index of a pool's hosts, grouped into levels by free capacity.

    There is a row of levels for each dimension. A search uses the row of the
    dimension of which the task needs the largest fraction of a host, begins at the
    level that the task needs, and stops after ``MAX_PROBES`` hosts. If none of them
    fits, the next search for the same need continues behind them.
    """

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self.hosts: dict[str, HostView] = {}
        self.open_count = 0
        self.free_cpu = 0
        self.free_memory = 0
        self.free_accelerators = 0
        self.free_slots = 0
        self._search_offsets: dict[Resources, int] = {}
        self._level_counts = (
            RESOURCE_LEVELS,
            RESOURCE_LEVELS,
            capacity.accelerators or 1,
            min(capacity.slots, MAX_SLOT_LEVELS),
        )
        self._rows: list[list[dict[str, HostView]]] = [
            [{} for _ in range(level_count + 1)] for level_count in self._level_counts
        ]

    def free(self) -> Resources:
        """Return the unallocated resources of all open hosts."""
        return Resources(
            self.free_cpu, self.free_memory, self.free_accelerators, self.free_slots
        )

    def add(self, host: HostView) -> None:
        """Add a host, whether it is open or not."""
        self.hosts[host.name] = host
        self.refresh(host)

    def remove(self, name: str) -> HostView | None:
        """Remove a host and return it, or None if it is not indexed."""
        host = self.hosts.pop(name, None)
        if host is not None:
            host.is_open = False
            self.refresh(host)
        return host

    def refresh(self, host: HostView) -> None:
        """Update a host's levels after ``is_open`` or its free capacity has changed."""
        if host.is_counted != host.is_open:
            host.is_counted = host.is_open
            self._add_to_sums(host, 1 if host.is_open else -1)
        levels = self._levels_of(host) if host.is_open and host.slots > 0 else []
        if levels == host.levels:
            return
        for row, level in zip(self._rows, host.levels, strict=False):
            del row[level][host.name]
        for row, level in zip(self._rows, levels, strict=False):
            row[level][host.name] = host
        host.levels = levels

    def _add_to_sums(self, host: HostView, sign: int) -> None:
        self.open_count += sign
        self.free_cpu += sign * host.cpu
        self.free_memory += sign * host.memory
        self.free_accelerators += sign * host.accelerators
        self.free_slots += sign * host.slots

    def _levels_of(self, host: HostView) -> list[int]:
        cap = self.capacity
        level_counts = self._level_counts
        return [
            host.cpu * level_counts[0] // cap.cpu_milli,
            host.memory * level_counts[1] // cap.memory_mib,
            host.accelerators,
            host.slots * level_counts[3] // cap.slots,
        ]

    def _row_for(self, need: Resources) -> tuple[list[dict[str, HostView]], int]:
        """Return the row to search and the lowest level that can have fitting hosts."""
        cap = self.capacity
        if need.accelerators:
            return self._rows[2], need.accelerators
        fractions = (
            need.cpu_milli / cap.cpu_milli,
            need.memory_mib / cap.memory_mib,
            0.0,
            need.slots / cap.slots,
        )
        largest = max(range(len(fractions)), key=fractions.__getitem__)
        return self._rows[largest], int(
            fractions[largest] * self._level_counts[largest]
        )

    def allocate(
        self, host: HostView, task: str, need: Resources, workload: str
    ) -> None:
        """Allocate ``need`` on a host to a task."""
        assert task not in host.tasks
        host.tasks[task] = need
        host.task_counts[workload] = host.task_counts.get(workload, 0) + 1
        self._adjust(host, need, -1)

    def release(self, host: HostView, task: str, workload: str) -> None:
        """Release the resources of a task."""
        need = host.tasks.pop(task)
        remaining = host.task_counts[workload] - 1
        if remaining:
            host.task_counts[workload] = remaining
        else:
            del host.task_counts[workload]
        self._adjust(host, need, 1)

    def resize(self, host: HostView, task: str, need: Resources) -> None:
        """Change the allocation of a task, up to the free capacity of the host."""
        self._adjust(host, host.tasks[task], 1)
        free = Resources(host.cpu, host.memory, need.accelerators, need.slots)
        need = need.clip(free)
        host.tasks[task] = need
        self._adjust(host, need, -1)

    def _adjust(self, host: HostView, need: Resources, sign: int) -> None:
        host.cpu += sign * need.cpu_milli
        host.memory += sign * need.memory_mib
        host.accelerators += sign * need.accelerators
        host.slots += sign * need.slots
        if host.is_counted:
            self.free_cpu += sign * need.cpu_milli
            self.free_memory += sign * need.memory_mib
            self.free_accelerators += sign * need.accelerators
            self.free_slots += sign * need.slots
        self.refresh(host)

    def best_fit(
        self, need: Resources, avoid: set[str], reserved: set[str]
    ) -> HostView | None:
        """Return the fitting host with the least free capacity, accelerators first.

        Parameters
        ----------
        need : Resources
            Resources to allocate to the task.
        avoid : set of str
            Hosts on which the task failed.
        reserved : set of str
            Hosts reserved for other items.
        """
        row, start = self._row_for(need)
        return self._search(
            row[start:],
            need,
            avoid | reserved,
            lambda host: (host.accelerators, host.memory),
        )

    def least_loaded(
        self, need: Resources, avoid: set[str], reserved: set[str], workload: str
    ) -> HostView | None:
        """Return a fitting host from among those with the most free capacity.

        Of the hosts found, one with the fewest tasks of the same workload is used.
        """
        row, start = self._row_for(need)
        return self._search(
            row[start:][::-1],
            need,
            avoid | reserved,
            lambda host: (host.task_counts.get(workload, 0), -host.slots),
        )

    def _search(
        self,
        levels: Sequence[dict[str, HostView]],
        need: Resources,
        excluded: set[str],
        key: Callable[[HostView], tuple[int, int]],
    ) -> HostView | None:
        """Return the best of the fitting hosts on the first level that has some.

        At most ``MAX_FITTING_HOSTS`` fitting hosts are compared.
        """
        offset = self._search_offsets.pop(need, 0)
        found: list[HostView] = []
        probes = 0
        skipped = 0
        for level in levels:
            skip = min(max(offset - skipped, 0), len(level))
            skipped += skip
            for host in islice(level.values(), skip, None):
                probes += 1
                if host.fits(need) and host.name not in excluded:
                    found.append(host)
                if len(found) >= MAX_FITTING_HOSTS or probes >= MAX_PROBES:
                    break
            if found or probes >= MAX_PROBES:
                break
        if found and offset:
            self._continue_search_at(need, offset)
        elif not found and probes >= MAX_PROBES:
            self._continue_search_at(need, offset + probes)
        return min(found, key=key) if found else None

    def _continue_search_at(self, need: Resources, offset: int) -> None:
        """Let the next search for a need skip the hosts that did not fit."""
        if len(self._search_offsets) >= MAX_CONTINUED_SEARCHES:
            self._search_offsets.clear()
        self._search_offsets[need] = offset

    def place_gang(
        self, need: Resources, size: int, avoid: set[str], reserved: set[str]
    ) -> list[tuple[HostView, int]] | None:
        """Return the hosts for a gang and the number of its tasks on each, or None.

        Hosts with the most free capacity are used first. The remaining members go
        to the host with the least free capacity that fits them, so that few hosts
        stay partly free.
        """
        excluded = avoid | reserved
        chosen: list[tuple[HostView, int]] = []
        remaining = size
        for host in self._descending(need):
            if host.name in excluded:
                continue
            fit_count = host.count_fitting(need)
            if fit_count <= 0:
                continue
            if fit_count >= remaining:
                unavailable = excluded | {view.name for view, _ in chosen}
                best_fit_host = self.best_fit(need.times(remaining), unavailable, set())
                chosen.append((best_fit_host or host, remaining))
                return chosen
            chosen.append((host, fit_count))
            remaining -= fit_count
        return None

    def _descending(self, need: Resources) -> Iterator[HostView]:
        row, start = self._row_for(need)
        for level in reversed(row[start:]):
            yield from list(level.values())
