"""Working state of one planning pass over a pool, and its checks of hosts and steps."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import Effect
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun, Task
from siskinroad.work.pool_state import PoolState

__all__ = [
    "PlanningPass",
    "TentativePlacement",
    "compute_available_after_stops",
    "compute_shortfall",
    "host_can_fit",
    "is_large",
    "step_allows_host",
    "task_avoids_host",
]

# Seconds for which a task is not placed again on a host where it failed.
AVOID_FAILED_HOST_S = 1.5
# Fraction of a host from which a task counts as large: gaps of that size are filled by
# small tasks first, so that a large one may never fit.
LARGE_TASK_FRACTION = 0.5


@dataclass(slots=True)
class PlanningPass:
    """Working state of one planning pass.

    Attributes
    ----------
    demand : dict of str to float
        Demand of the waiting steps for each host, in whole hosts.
    non_urgent_cpu_milli : float
        Thousandths of a processor still available to steps that are not urgent.
    excluded_hosts : set of str
        Hosts that a blocked large step withholds from the steps after it.
    renewed_steps : int
        Number of blocked steps whose tickets this pass renews.
    channels : ChannelTimes or None
        When the advisor channels are free; None if they always are.
    """

    pool_state: PoolState
    now: float
    wall: float
    hosts: list[Host]
    demand: dict[str, float]
    non_urgent_cpu_milli: float = 0.0
    excluded_hosts: set[str] = field(default_factory=set)
    renewed_steps: int = 0
    channels: ChannelTimes | None = None
    effects: list[Effect] = field(default_factory=list)


@dataclass(slots=True)
class TentativePlacement:
    """Hosts chosen for the tasks of a step, before any task is started.

    Attributes
    ----------
    chosen : list of tuple of Task and Host
        Each placed task with its host.
    counts : dict of str to int
        Number of tasks placed on each host.
    """

    chosen: list[tuple[Task, Host]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


def task_avoids_host(task: Task, host: Host, now: float) -> bool:
    """Return whether a task must not be placed on a host now.

    A task is kept off a host where it failed for ``AVOID_FAILED_HOST_S`` only: the host
    may be the only one that is allowed or has free capacity. A speculative copy never
    goes to the host of the older run.
    """
    if host.name == task.older_run_host:
        return True
    failed_at = task.avoided_hosts.get(host.name)
    return failed_at is not None and now - failed_at < AVOID_FAILED_HOST_S


def host_can_fit(host: Host, step: StepRun) -> bool:
    """Return whether the host, if it were empty, could hold a task of the step."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    return spec.need.fits(host.entry.capacity)


def step_allows_host(step: StepRun, host: Host, placement: TentativePlacement) -> bool:
    """Return whether label and spread let the step place one more task on the host."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    if not spec.spread:
        return True
    count = step.runs_by_host.get(host.name, 0) + placement.counts.get(host.name, 0)
    return count < spec.spread


def is_large(planning_pass: PlanningPass, step: StepRun) -> bool:
    """Return whether a task of the step needs a large fraction of some host."""
    capacities = [
        host.entry.capacity for host in planning_pass.hosts if host_can_fit(host, step)
    ]
    return any(
        step.spec.need.dominant(host_capacity) >= LARGE_TASK_FRACTION
        for host_capacity in capacities
    )


def compute_available_after_stops(host: Host, step: StepRun, now: float) -> Resources:
    """Return the free capacity of a host once the runs being stopped have ended."""
    available = host.free_capacity(step.key, now)
    for run in host.runs.values():
        if run.state in ("stopping", "withdrawn"):
            available = available + run.need
    return available


def compute_shortfall(available: Resources, step: StepRun) -> float:
    """Return how far a host's free capacity is from fitting one task of the step.

    The result is a rank without a unit; a missing accelerator outweighs all else.
    """
    need = step.spec.need
    return (
        max(0, need.accelerators - available.accelerators) * 1000
        + max(0, need.cpu_milli - available.cpu_milli) / 1000
        + max(0, need.memory_mib - available.memory_mib) / 10000
    )
