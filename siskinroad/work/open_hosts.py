"""Hosts that may fit a waiting task in one planning pass, by their free capacity.

Within a pass, the free capacity of a host only falls. So a host that is too full for
the smallest waiting task is left out of the whole pass, and a need that no host fits is
remembered: a larger one is not looked for again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.schedulable_hosts import SchedulableHosts
from siskinroad.work.sole_hosts import SoleHosts

__all__ = ["OpenHosts", "make_open_hosts"]

# Largest part of the open hosts that a step may name before all of them are examined
# in their order rather than the named ones by name.
MAX_NAMED_FRACTION = 0.5


@dataclass(slots=True, eq=False)
class OpenHosts:
    """Hosts with free capacity, in the order of the pool's hosts.

    Attributes
    ----------
    free : dict of Host to Resources
        Capacity that no run holds; reservations are not deducted.
    smallest_need : Resources
        Smallest amount of each resource that a waiting task needs.
    sole_hosts : SoleHosts
        Hosts among them that only some steps may use.
    """

    free: dict[Host, Resources]
    smallest_need: Resources
    sole_hosts: SoleHosts
    _hosts: SchedulableHosts
    _unfit_needs: dict[str, list[Resources]] = field(default_factory=dict)

    def take(self, host: Host) -> None:
        """Update a host's free capacity after a run was added to it."""
        if host not in self.free:
            return
        self.free[host] = free = host.entry.capacity - host.used
        if not self.smallest_need.fits(free):
            del self.free[host]

    def exclude(self, host: Host) -> None:
        """Leave a host out of the rest of the pass."""
        self.free.pop(host, None)

    def find_candidates(
        self, step: StepRun, now: float, *, needs_ticket: bool
    ) -> dict[Host, Resources]:
        """Return the hosts that fit a task of a step, with their capacity for it."""
        need = step.need
        label = step.spec.label
        if self._is_unfit(need, label):
            return {}
        if needs_ticket and len(step.tickets) < MAX_NAMED_FRACTION * len(self.free):
            fitting = self._find_named(step)
        else:
            fitting = self._find_fitting(need, label)
            if not fitting:
                self._add_unfit(need, label)
            if needs_ticket:
                fitting = [host for host in fitting if host.name in step.tickets]
        candidates: dict[Host, Resources] = {}
        for host in fitting:
            if not self.sole_hosts.allow(step, host):
                continue
            available = self.free[host]
            if host.reserved:
                available = host.free_capacity(step.key, now, step.rank)
                if not need.fits(available):
                    continue
            candidates[host] = available
        return candidates

    def find_among(self, names: set[str], step: StepRun, now: float) -> list[Host]:
        """Return the hosts among ``names`` that fit a task of a step."""
        need = step.need
        label = step.spec.label
        if self._is_unfit(need, label):
            return []
        fitting = self._find_fitting(need, label)
        if not fitting:
            self._add_unfit(need, label)
        return [
            host
            for host in fitting
            if host.name in names
            and self.sole_hosts.allow(step, host)
            and (
                not host.reserved
                or need.fits(host.free_capacity(step.key, now, step.rank))
            )
        ]

    def _find_fitting(self, need: Resources, label: str) -> list[Host]:
        fitting = [host for host, free in self.free.items() if need.fits(free)]
        if label:
            return [host for host in fitting if label in host.entry.labels]
        return fitting

    def _find_named(self, step: StepRun) -> list[Host]:
        label = step.spec.label
        fitting = []
        for host in self._hosts.find_hosts(step.tickets):
            free = self.free.get(host)
            if free is None or not step.need.fits(free):
                continue
            if not label or label in host.entry.labels:
                fitting.append(host)
        return fitting

    def _is_unfit(self, need: Resources, label: str) -> bool:
        """Return whether the same or a smaller need was found to fit no host."""
        known = self._unfit_needs.get("", [])
        if label:
            known = known + self._unfit_needs.get(label, [])
        return any(smaller.fits(need) for smaller in known)

    def _add_unfit(self, need: Resources, label: str) -> None:
        known = self._unfit_needs.get(label, [])
        smallest = [other for other in known if not need.fits(other)]
        self._unfit_needs[label] = [*smallest, need]


def make_open_hosts(
    hosts: SchedulableHosts,
    steps: list[StepRun],
    sole_hosts: SoleHosts | None = None,
) -> OpenHosts:
    """Return the hosts that may fit a task of one of the waiting steps.

    Parameters
    ----------
    sole_hosts : SoleHosts, optional
        Hosts among them that only some steps may use; none by default.
    """
    sole_hosts = sole_hosts or SoleHosts()
    if not steps:
        return OpenHosts({}, Resources(), sole_hosts, hosts)
    needs = {step.need for step in steps}
    cpu_milli = min(need.cpu_milli for need in needs)
    memory_mib = min(need.memory_mib for need in needs)
    accelerators = min(need.accelerators for need in needs)
    slots = min(need.slots for need in needs)
    smallest_need = Resources(cpu_milli, memory_mib, accelerators, slots)
    free: dict[Host, Resources] = {}
    for host in hosts.hosts:
        capacity = host.entry.capacity
        used = host.used
        # Most hosts of a busy pool end here: no vector is made for them.
        if (
            capacity.cpu_milli - used.cpu_milli >= cpu_milli
            and capacity.memory_mib - used.memory_mib >= memory_mib
            and capacity.accelerators - used.accelerators >= accelerators
        ):
            free[host] = capacity - used
    return OpenHosts(free, smallest_need, sole_hosts, hosts)
