"""Free processors that the waiting urgent steps of a pool could use.

A step may use the hosts for which it has a ticket, and those that the advisor was not
asked about yet. Room on other hosts is of no use to it, however long it waits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from siskinroad.work.job import StepRun
from siskinroad.work.model import Queue
from siskinroad.work.schedulable_hosts import SchedulableHosts

__all__ = ["compute_usable_cpu"]


def compute_usable_cpu(
    steps: Iterable[StepRun],
    hosts: SchedulableHosts,
    queues: Mapping[str, Queue],
    enough_milli: float,
) -> float:
    """Return the free thousandths of a processor that waiting steps could use.

    Free processors count even where no task fits yet: other work would fill them up,
    and so no urgent task would ever fit there.

    Parameters
    ----------
    enough_milli : float
        Thousandths of a processor from which on no more are counted.
    """
    free: dict[str, int] = {}
    for host in hosts.hosts:
        cpu_milli = host.entry.capacity.cpu_milli - host.used.cpu_milli
        if cpu_milli > 0:
            free[host.name] = cpu_milli
    usable = 0
    # Steps with fewer hosts first: the others can use what these leave.
    for step in sorted(steps, key=lambda step: _estimate_host_count(step, hosts)):
        if usable >= enough_milli or not free:
            break
        needs_ticket = queues[step.job.queue].advice is not None
        names = _find_usable(step, hosts, free, needs_ticket=needs_ticket)
        usable += _take(free, names, step.need.cpu_milli * step.waiting_count)
    return usable


def _estimate_host_count(step: StepRun, hosts: SchedulableHosts) -> int:
    """Return about how many hosts a step may use, without examining each."""
    unanswered_count = len(hosts.hosts) - len(step.advice.answered)
    return len(step.tickets) + max(0, unanswered_count)


def _find_usable(
    step: StepRun,
    hosts: SchedulableHosts,
    free: Mapping[str, int],
    *,
    needs_ticket: bool,
) -> list[str]:
    """Return the hosts with free processors that a step may use, in their order."""
    capable = hosts.find_capable_hosts(step).names
    if not needs_ticket:
        return [name for name in free if name in capable]
    tickets = step.tickets
    answered = step.advice.answered
    return [
        name
        for name in free
        if name in capable and (name in tickets or name not in answered)
    ]


def _take(free: dict[str, int], names: list[str], demand: int) -> int:
    """Take up to a demand from the free processors of some hosts; return how much."""
    taken = 0
    for name in names:
        amount = min(free[name], demand - taken)
        taken += amount
        free[name] -= amount
        if not free[name]:
            del free[name]
        if taken == demand:
            break
    return taken
