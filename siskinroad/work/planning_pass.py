"""Working state of one planning pass over a pool, and its checks of hosts and steps."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.crash_record import TRIAL_S, is_quiet
from siskinroad.work.effects import Effect
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun, Task
from siskinroad.work.open_hosts import OpenHosts
from siskinroad.work.pool_state import PoolState
from siskinroad.work.schedulable_hosts import SchedulableHosts, is_mostly_free
from siskinroad.work.waiting_order import RankedStep

__all__ = [
    "MAX_TRIAL_FRACTION",
    "PlanningPass",
    "TentativePlacement",
    "can_hold_all",
    "compute_available_after_stops",
    "compute_shortfall",
    "fits_beside_long_running",
    "step_allows_host",
    "task_avoids_host",
]

# Seconds for which a task is not placed again on a host where it failed.
AVOID_FAILED_HOST_S = 1.5
# Seconds for which a task on trial waits for a quiet host. Callers take a job of which
# no task runs for 3 s beside free capacity for lost.
TRIAL_PATIENCE_S = 1.5
# Seconds for which a step that may use withheld hosts only leaves them to the blocked
# large step. With more, callers would take its job for lost.
WITHHELD_PATIENCE_S = 1.5
# Fraction of the hosts that may have a run on trial at once, with nothing else started.
MAX_TRIAL_FRACTION = 0.34


@dataclass(slots=True)
class PlanningPass:
    """Working state of one planning pass.

    Attributes
    ----------
    schedulable_hosts : SchedulableHosts
        Hosts that may get new work.
    open_hosts : OpenHosts
        Those that may fit a waiting task.
    steps : list of StepRun
        Ready steps with waiting tasks, in the order in which they became ready.
    planned_steps : list of StepRun or None
        Those that this pass plans; None for all of them.
    non_urgent_cpu_milli : float
        Thousandths of a processor still available to steps that are not urgent.
    excess_cpu_milli : float
        Thousandths of a processor available to urgent steps beyond the rate owed to
        their account; the rest is for those that are owed and wait.
    excluded_hosts : set of str
        Hosts that a blocked large step withholds from the steps after it.
    has_withheld : bool
        Whether a step in time, or a long-running one, withholds hosts.
    late_step : StepRun or None
        Late step that has its turn.
    renewed_steps : int
        Number of blocked steps whose tickets this pass renews.
    blocked_steps, examined_steps : int
        Number of steps that no host with a ticket fits, and for how many of these this
        pass has predicted free capacity.
    trial_hosts : int
        Number of further hosts on which a run may be put on trial.
    unasked_steps : list of StepRun
        Those of the blocked steps that had no advice request in flight.
    deferred_steps : set of tuple
        Keys of the steps that are left to the next passes.
    ranked : list of RankedStep
        The waiting steps in the order in which they are planned.
    limited_steps : set of tuple
        Keys of the steps of which the limits of their accounts allow no task.
    channels : ChannelTimes or None
        When the advisor channels are free; None if they always are.
    """

    pool_state: PoolState
    now: float
    wall: float
    schedulable_hosts: SchedulableHosts
    open_hosts: OpenHosts
    steps: list[StepRun]
    channels: ChannelTimes | None = None
    planned_steps: list[StepRun] | None = None
    non_urgent_cpu_milli: float = 0.0
    excess_cpu_milli: float = float("inf")
    trial_hosts: int = 0
    excluded_hosts: set[str] = field(default_factory=set)
    has_withheld: bool = False
    late_step: StepRun | None = None
    renewed_steps: int = 0
    blocked_steps: int = 0
    examined_steps: int = 0
    unasked_steps: list[StepRun] = field(default_factory=list)
    deferred_steps: set[tuple[str, int, int]] = field(default_factory=set)
    ranked: list[RankedStep] = field(default_factory=list)
    limited_steps: set[tuple[str, int, int]] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    _spread_demand: dict[Resources, dict[str, float]] | None = None
    _demand: dict[Host, float] = field(default_factory=dict)
    _was_mostly_free: bool | None = None

    def exclude_host(self, host: Host) -> None:
        """Withhold a host from the steps after the present one."""
        self.excluded_hosts.add(host.name)
        self.open_hosts.exclude(host)

    def find_withheld_hosts(
        self, step: StepRun, *, needs_ticket: bool
    ) -> dict[Host, Resources]:
        """Return the withheld hosts that fit a task of a step which others do not hold.

        The blocked step withholds them in each pass, so that the other one would wait
        beside their free capacity for good. None until it has waited for a while; then
        those of a step that may use no others, and all of its hosts in a pool that is
        mostly free or if it is long-running.
        """
        if not self.excluded_hosts:
            return {}
        if self.now - step.waiting_since < WITHHELD_PATIENCE_S:
            return {}
        names = self.schedulable_hosts.find_capable_hosts(step).names
        if needs_ticket:
            names = names & step.tickets.keys()
        has_others = not names <= self.excluded_hosts
        if has_others and not (step.spec.long_running or self._is_mostly_free()):
            return {}
        names = names & self.excluded_hosts
        hosts = self.schedulable_hosts.find_hosts(names)
        free = {h: h.free_capacity(step.key, self.now, step.rank) for h in hosts}
        return {
            host: available
            for host, available in free.items()
            if step.need.fits(available)
            and self.open_hosts.sole_hosts.allow(step, host)
        }

    def _is_mostly_free(self) -> bool:
        """Return whether the pool was mostly free when this pass first asked."""
        if self._was_mostly_free is None:
            self._was_mostly_free = is_mostly_free(self.schedulable_hosts.hosts)
        return self._was_mostly_free

    def may_try(self, task: Task) -> bool:
        """Return whether a task that needs a trial may get one now."""
        is_impatient = self.now - task.waiting_since > TRIAL_PATIENCE_S
        return self.trial_hosts > 0 or is_impatient

    def begin_trial(self, host: Host, run: Run) -> None:
        """Put a run that has been added on trial; start nothing else on its host."""
        host.begin_trial(run, TRIAL_S, self.now)
        self.trial_hosts -= 1
        self.open_hosts.exclude(host)

    def add_run(self, host: Host, run: Run) -> None:
        """Allocate a host's capacity to a run that is being started."""
        host.add_run(run)
        self.open_hosts.take(host)
        if host.needs_probation:
            host.begin_probation(run, self.now)
            self.open_hosts.exclude(host)

    def has_free_channel(self, duration: float) -> bool:
        """Return whether an advisor channel takes a call of ``duration`` seconds."""
        return self.channels is None or self.channels.has_free(duration)

    def find_demand(self, host: Host) -> float:
        """Return the demand of the planned steps for a host, in whole hosts.

        A step's demand is spread evenly over the hosts that it may use, so that a step
        with a single allowed host counts in full there. The demand of a host is
        computed when it first matters, and holds for the rest of the pass.
        """
        demand = self._demand.get(host)
        if demand is None:
            demand = self._demand[host] = self._compute_demand(host)
        return demand

    def _compute_demand(self, host: Host) -> float:
        if self._spread_demand is None:
            self._spread_demand = self._spread_over_hosts()
        name = host.name
        demand = 0.0
        for need, tasks_by_host in self._spread_demand.items():
            tasks = tasks_by_host.get(name)
            if tasks:
                demand += tasks * self.schedulable_hosts.compute_share(need, host)
        return demand

    def _spread_over_hosts(self) -> dict[Resources, dict[str, float]]:
        """Return the tasks of the steps for each allowed host, by their need."""
        spread: dict[Resources, dict[str, float]] = {}
        steps = self.steps if self.planned_steps is None else self.planned_steps
        for step in steps:
            count = self.schedulable_hosts.count(step.tickets)
            if not count:
                continue
            tasks_per_host = step.waiting_count / count
            tasks_by_host = spread.setdefault(step.need, {})
            for name in step.tickets:
                tasks_by_host[name] = tasks_by_host.get(name, 0.0) + tasks_per_host
        return spread


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
    goes to the host of the older run. A task on trial goes to a quiet host, unless it
    has waited for one for ``TRIAL_PATIENCE_S``, and to none while it is held.
    """
    if host.name == task.older_run_host:
        return True
    if now < task.crashes.held_until:
        return True
    is_patient = now - task.waiting_since <= TRIAL_PATIENCE_S
    if task.crashes.needs_trial and is_patient and not is_quiet(host, now):
        return True
    failed_at = task.avoided_hosts.get(host.name)
    return failed_at is not None and now - failed_at < AVOID_FAILED_HOST_S


def step_allows_host(step: StepRun, host: Host, placement: TentativePlacement) -> bool:
    """Return whether label and spread let the step place one more task on the host."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    if not spec.spread:
        return True
    count = step.runs_by_host.get(host.name, 0) + placement.counts.get(host.name, 0)
    return count < spec.spread


def compute_available_after_stops(host: Host, step: StepRun, now: float) -> Resources:
    """Return the free capacity of a host once the runs being stopped have ended."""
    available = host.free_capacity(step.key, now, step.rank)
    for run in host.runs.values():
        if run.state in ("stopping", "withdrawn"):
            available = available + run.need
    return available


def fits_beside_long_running(host: Host, step: StepRun) -> bool:
    """Return whether a task fits a host once all runs that end by themselves have."""
    lasting = (run.need for run in host.runs.values() if run.long_running)
    return step.need.fits(host.entry.capacity - sum(lasting, start=NOTHING))


def can_hold_all(hosts: Iterable[Host], step: StepRun) -> bool:
    """Return whether hosts fit a step's waiting tasks once other work has ended."""
    missing = step.waiting_count
    for host in hosts:
        lasting = (run.need for run in host.runs.values() if run.long_running)
        free = host.entry.capacity - sum(lasting, start=NOTHING)
        placement = TentativePlacement()
        while step.need.fits(free) and step_allows_host(step, host, placement):
            free = free - step.need
            placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
            missing -= 1
            if not missing:
                return True
    return False


def compute_shortfall(available: Resources, step: StepRun) -> float:
    """Return how far a host's free capacity is from fitting one task of the step.

    The result is a rank without a unit; a missing accelerator outweighs all else.
    """
    need = step.need
    return (
        max(0, need.accelerators - available.accelerators) * 1000
        + max(0, need.cpu_milli - available.cpu_milli) / 1000
        + max(0, need.memory_mib - available.memory_mib) / 10000
    )
