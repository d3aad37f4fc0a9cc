"""Which host takes a task: hosts indexed by what they have left."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from siskinroad.resources import Resources

__all__ = ["MAX_PROBES", "HostIndex", "HostView"]

LEVELS = 16
MAX_PROBES = 64
CHOICES = 6


@dataclass(slots=True, eq=False)
class HostView:
    """One host as its owner sees it.

    Attributes
    ----------
    capacity : Resources
        All that the host has.
    cpu, memory, accelerators, slots : int
        What is not yet given away; never negative.
    open : bool
        Whether new work may be placed.
    limit : int
        Concurrent tasks allowed just now, at most the host's slots.
    tasks : dict of str to Resources
        What each task on the host holds.
    """

    name: str
    rack: str
    capacity: Resources
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    slots: int = 0
    open: bool = False
    limit: int = 0
    state: str = "unseen"
    tasks: dict[str, Resources] = field(default_factory=dict)
    members: dict[str, int] = field(default_factory=dict)
    level: int = -1
    counted: bool = False

    def __post_init__(self) -> None:
        self.cpu = self.capacity.cpu_milli
        self.memory = self.capacity.memory_mib
        self.accelerators = self.capacity.accelerators
        self.slots = self.capacity.slots
        self.limit = self.capacity.slots

    def fits(self, need: Resources) -> bool:
        """Return whether the host has ``need`` left."""
        return (
            need.slots <= self.slots
            and need.cpu_milli <= self.cpu
            and need.memory_mib <= self.memory
            and need.accelerators <= self.accelerators
            and self.capacity.slots - self.slots < self.limit
        )

    def count(self, need: Resources) -> int:
        """Return how many tasks of ``need`` the host could take."""
        room = min(self.slots, self.limit - (self.capacity.slots - self.slots))
        best = room // max(need.slots, 1)
        if need.cpu_milli:
            best = min(best, self.cpu // need.cpu_milli)
        if need.memory_mib:
            best = min(best, self.memory // need.memory_mib)
        if need.accelerators:
            best = min(best, self.accelerators // need.accelerators)
        return max(best, 0)

    def used(self) -> Resources:
        """Return what is given away."""
        cap = self.capacity
        return Resources(
            cap.cpu_milli - self.cpu,
            cap.memory_mib - self.memory,
            cap.accelerators - self.accelerators,
            cap.slots - self.slots,
        )


class HostIndex:
    """The hosts of one pool, in levels by what they have left.

    Accelerator hosts are levelled by free accelerators, others by their
    scarcest free dimension. A search looks at hosts level by level and stops
    after ``MAX_PROBES`` of them.
    """

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self.hosts: dict[str, HostView] = {}
        self.free_cpu = 0
        self.free_memory = 0
        self.free_accelerators = 0
        self.free_slots = 0
        self._levels: list[dict[str, HostView]] = []
        count = capacity.accelerators + 1 if capacity.accelerators else LEVELS + 1
        self._levels = [{} for _ in range(count)]

    def add(self, host: HostView) -> None:
        """Add a host, open or not."""
        self.hosts[host.name] = host
        self.refresh(host)

    def remove(self, name: str) -> HostView | None:
        """Remove a host and return it."""
        host = self.hosts.pop(name, None)
        if host is not None:
            host.open = False
            self.refresh(host)
        return host

    def refresh(self, host: HostView) -> None:
        """Put a host in its level after ``open`` or its room has changed."""
        if host.counted != host.open:
            host.counted = host.open
            self._count(host, 1 if host.open else -1)
        level = self._level(host) if host.open and host.slots > 0 else -1
        if level == host.level:
            return
        if host.level >= 0:
            del self._levels[host.level][host.name]
        host.level = level
        if level >= 0:
            self._levels[level][host.name] = host

    def _count(self, host: HostView, sign: int) -> None:
        self.free_cpu += sign * host.cpu
        self.free_memory += sign * host.memory
        self.free_accelerators += sign * host.accelerators
        self.free_slots += sign * host.slots

    def _level(self, host: HostView) -> int:
        cap = self.capacity
        if cap.accelerators:
            return host.accelerators
        share = min(
            host.slots / cap.slots,
            host.cpu / cap.cpu_milli,
            host.memory / cap.memory_mib,
        )
        return int(share * LEVELS)

    def take(self, host: HostView, task: str, need: Resources, workload: str) -> None:
        """Give ``need`` of a host to a task."""
        assert task not in host.tasks
        host.tasks[task] = need
        host.members[workload] = host.members.get(workload, 0) + 1
        self._change(host, need, -1)

    def give_back(self, host: HostView, task: str, workload: str) -> None:
        """Take back what a task held."""
        need = host.tasks.pop(task)
        left = host.members[workload] - 1
        if left:
            host.members[workload] = left
        else:
            del host.members[workload]
        self._change(host, need, 1)

    def resize(self, host: HostView, task: str, need: Resources) -> None:
        """Change what a task holds, up to what the host has left."""
        self._change(host, host.tasks[task], 1)
        need = Resources(
            min(need.cpu_milli, host.cpu),
            min(need.memory_mib, host.memory),
            need.accelerators,
            need.slots,
        )
        host.tasks[task] = need
        self._change(host, need, -1)

    def _change(self, host: HostView, need: Resources, sign: int) -> None:
        host.cpu += sign * need.cpu_milli
        host.memory += sign * need.memory_mib
        host.accelerators += sign * need.accelerators
        host.slots += sign * need.slots
        if host.counted:
            self.free_cpu += sign * need.cpu_milli
            self.free_memory += sign * need.memory_mib
            self.free_accelerators += sign * need.accelerators
            self.free_slots += sign * need.slots
        self.refresh(host)

    def tightest(
        self, need: Resources, avoid: set[str], closed: set[str]
    ) -> HostView | None:
        """Return the fitting host that has least left.

        Parameters
        ----------
        need : Resources
            What the task takes.
        avoid : set of str
            Hosts on which the task failed.
        closed : set of str
            Hosts held for a gang.
        """
        best: HostView | None = None
        best_left = 0
        probes = 0
        start = need.accelerators if self.capacity.accelerators else 0
        for level in range(start, len(self._levels)):
            for host in self._levels[level].values():
                probes += 1
                name = host.name
                if host.fits(need) and name not in avoid and name not in closed:
                    left = host.memory - need.memory_mib
                    if best is None or left < best_left:
                        best, best_left = host, left
                if probes >= MAX_PROBES or (best and probes >= CHOICES):
                    break
            if best or probes >= MAX_PROBES:
                break
        return best

    def widest(
        self, need: Resources, avoid: set[str], closed: set[str], workload: str
    ) -> HostView | None:
        """Return a fitting host with most left, fewest of the same workload."""
        best: HostView | None = None
        best_key = (0, 0)
        probes = 0
        for level in range(len(self._levels) - 1, -1, -1):
            for host in self._levels[level].values():
                probes += 1
                name = host.name
                if host.fits(need) and name not in avoid and name not in closed:
                    key = (host.members.get(workload, 0), -host.slots)
                    if best is None or key < best_key:
                        best, best_key = host, key
                if probes >= MAX_PROBES or (best and probes >= CHOICES):
                    break
            if best or probes >= MAX_PROBES:
                break
        return best

    def whole(
        self, need: Resources, size: int, avoid: set[str], closed: set[str]
    ) -> list[tuple[HostView, int]] | None:
        """Return hosts and counts that take ``size`` tasks together, or none.

        The fullest hosts that can hold the rest at once are taken last, so that
        a gang leaves few hosts partly free.
        """
        chosen: list[tuple[HostView, int]] = []
        left = size
        for host in self._descending():
            if host.name in avoid or host.name in closed:
                continue
            room = host.count(need)
            if room <= 0:
                continue
            if room >= left:
                host = self._snuggest(need, left, avoid | closed, chosen) or host
                chosen.append((host, left))
                return chosen
            chosen.append((host, room))
            left -= room
        return None

    def _descending(self) -> Iterator[HostView]:
        for level in range(len(self._levels) - 1, -1, -1):
            yield from self._levels[level].values()

    def _snuggest(
        self,
        need: Resources,
        size: int,
        avoid: set[str],
        chosen: list[tuple[HostView, int]],
    ) -> HostView | None:
        taken = {host.name for host, _ in chosen} | avoid
        whole = need.times(size)
        return self.tightest(whole, taken, set())

    def open_hosts(self) -> Iterator[HostView]:
        """Yield the hosts that may take new work and have a slot left."""
        for level in self._levels:
            yield from level.values()
