"""Quarantined hosts for the steps that other hosts do not hold.

A quarantine keeps work off a host that fails, stalls or slows down what runs there. The
advisor, a label, a limit on the tasks for one host or other work may leave a step that
host only, or that host beside too few others. Such a step may use the host after a
pause, so that its tasks do not wait beside free capacity until the quarantine ends, and
do not use up their attempts there either. Other steps stay off the host, and so do all
that have waited for a moment only or that wait because the pool is full.

The first run of such a host is alone there. Where the pause and that run would add up
to more than a step may wait, the step starts beside it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.model import Queue
from siskinroad.work.schedulable_hosts import SchedulableHosts, is_mostly_free

__all__ = ["SoleHosts", "find_sole_hosts"]

# Seconds without work of a quarantined host, counted from the beginning of its
# quarantine or from the last run that failed there. Callers take a job of which no task
# runs for 3 s beside free capacity for lost.
SOLE_HOST_PAUSE_S = 2.0
# Seconds of wait after which a step counts as one that its other hosts do not hold.
OTHER_HOSTS_PATIENCE_S = 1.0
# Seconds of wait after which a step starts beside the first run of a host.
PROBATION_PATIENCE_S = 2.5

StepKey = tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class SoleHosts:
    """Quarantined hosts and those on probation, with the steps that may use each.

    Attributes
    ----------
    hosts : list of Host
        These hosts.
    steps_by_host : dict of str to set of tuple
        Keys of the steps that may use a host, by the host's name.
    """

    hosts: list[Host] = field(default_factory=list)
    steps_by_host: dict[str, set[StepKey]] = field(default_factory=dict)

    def allow(self, step: StepRun, host: Host) -> bool:
        """Return whether a step may use a host, as far as quarantine matters."""
        steps = self.steps_by_host.get(host.name)
        return steps is None or step.key in steps


def find_sole_hosts(
    held_back: Iterable[Host],
    usual_hosts: SchedulableHosts,
    steps: Iterable[StepRun],
    queues: Mapping[str, Queue],
    now: float,
) -> SoleHosts:
    """Return the hosts in quarantine or on probation that some steps may use.

    Parameters
    ----------
    held_back : iterable of Host
        The hosts of the pool that are in quarantine or on probation.
    usual_hosts : SchedulableHosts
        Hosts that any step may use.
    """
    rested = [host for host in held_back if _may_be_used(host, now)]
    if not rested:
        return SoleHosts()
    has_room = is_mostly_free([*usual_hosts.hosts, *rested])
    steps_by_host: dict[str, set[StepKey]] = {}
    for step in steps:
        queue = queues.get(step.job.queue)
        if queue is None:
            continue
        is_held_elsewhere = _has_other_host(step, usual_hosts, queue)
        if is_held_elsewhere and not _lacks_hosts(step, now, has_room=has_room):
            continue
        for host in rested:
            if is_held_elsewhere and _keeps_last_attempt(step, host, queue):
                continue
            if now < host.trial_until and not _has_waited_for_long(step, now):
                continue
            if _is_allowed(step, host, queue):
                steps_by_host.setdefault(host.name, set()).add(step.key)
    return SoleHosts([h for h in rested if h.name in steps_by_host], steps_by_host)


def _may_be_used(host: Host, now: float) -> bool:
    rested_s = now - host.quarantine_evidence_at
    return rested_s >= SOLE_HOST_PAUSE_S and host.is_usable_on_probation(now)


def _has_waited_for_long(step: StepRun, now: float) -> bool:
    return now - step.waiting_since >= PROBATION_PATIENCE_S


def _lacks_hosts(step: StepRun, now: float, *, has_room: bool) -> bool:
    """Return whether a step has waited although the pool has room for it.

    Its other hosts are too few for all of its tasks, taken, or reject its tickets.
    """
    if not has_room and not step.spec.long_running:
        return False
    return now - step.waiting_since >= OTHER_HOSTS_PATIENCE_S


def _has_other_host(step: StepRun, usual_hosts: SchedulableHosts, queue: Queue) -> bool:
    """Return whether a host that is not in quarantine may run a step's tasks.

    One that has rejected two tickets of the step in a row does not count until it
    accepts one. After the first rejection it is asked about again at once.
    """
    names = usual_hosts.find_capable_hosts(step).names
    if queue.advice is None:
        return bool(names)
    if not names.isdisjoint(step.tickets):
        return True
    rejections = step.advice.rejections
    rejecting = {name for name, each in rejections.items() if each.count > 1}
    return not names <= step.advice.answered | rejecting


def _keeps_last_attempt(step: StepRun, host: Host, queue: Queue) -> bool:
    """Return whether a task that failed on a host has its last attempt left.

    Another host may take the task later, where this one would fail its job.
    """
    if step.spec.long_running:
        return False
    return any(
        host.name in task.avoided_hosts and task.failure_count >= queue.max_attempts - 1
        for task in step.iterate_waiting()
    )


def _is_allowed(step: StepRun, host: Host, queue: Queue) -> bool:
    """Return whether a host may run a step's tasks, or its advice is not known yet."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    if not step.need.fits(host.entry.capacity):
        return False
    name = host.name
    return (
        queue.advice is None or name in step.tickets or name not in step.advice.answered
    )
