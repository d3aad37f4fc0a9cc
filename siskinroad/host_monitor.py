"""Monitor of one upstream host: inventories, silence and task leases."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from siskinroad.cell import Host, Workload
from siskinroad.effects import ControlTask, End
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.names import AttemptName, attempt_name, parse_attempt, split_task
from siskinroad.owner_context import OwnerContext
from siskinroad.placement import HostView
from siskinroad.resources import Resources
from siskinroad.shard import Running
from siskinroad.upstreams import Control, Inventory, TaskReport, TaskState, Usage

__all__ = ["TASK_LEASE_S", "HostMonitor", "MonitoredOwner", "monitor_host"]

# Lease of a task in seconds: the host stops it when no inventory has renewed it for
# so long. If it is too short, a brief outage stops tasks; a longer one delays the
# restart of the tasks of a dead host.
TASK_LEASE_S = 20.0
# Long-poll time of an inventory request in seconds: the host answers when a task
# ends, at the latest after this. It must stay below ``TASK_LEASE_S``, as each inventory
# renews the leases.
INVENTORY_WAIT = 10.0
# Seconds beyond the long poll after which a host counts as silent.
INVENTORY_MARGIN = 1.0
# Seconds by which the time-out of an inventory request may be noticed late for it to
# show silence. After a longer delay the reply may lie unread at this daemon. The
# handling of a reply takes several steps of the loop, so a value near
# ``INVENTORY_MARGIN`` would take a busy owner for a silent host.
MAX_LATENESS = 0.1
# Seconds between inventory requests to a silent host.
SILENT_RETRY_INTERVAL = 1.0
# Seconds added to a lease before its tasks count as lost. Without it, a task
# could be started elsewhere while the silent host still runs it.
LEASE_MARGIN = 1.0
# Seconds for which a start without a reply may still reach its host, so that a task
# missing from an inventory is not lost. If it is too short, a host that is slow to
# handle the call runs a task that is started elsewhere; a longer one delays the restart
# of a task whose start was lost.
LATE_START_TIME = TASK_LEASE_S
# Pauses between inventories in seconds: the shortest, and the longest while the
# inventory stays the same. A host answers at once while it lists ended tasks, so
# without the pauses the monitor would poll in a tight loop.
MIN_PAUSE = 0.02
MAX_UNCHANGED_PAUSE = 1.0
# Names under which the host index reserves resources for work of earlier owners:
# requests in progress, and tasks that must not run and were told to stop.
EARLIER_OWNERS_REQUESTS = "requests-of-others~0"
UNKNOWN_TASK = "stranger"

END_BY_STATE = {
    TaskState.DONE: End.DONE,
    TaskState.FAILED: End.FAILED,
    TaskState.STOPPED: End.STOPPED,
    TaskState.CHECKPOINTED: End.CHECKPOINTED,
}


@dataclass(slots=True, eq=False)
class HostMonitor:
    """Monitor of one host of an owned shard.

    Attributes
    ----------
    has_answered : bool
        The host has answered an inventory request of this owner, or the owner has
        stopped waiting for it after the takeover.
    is_silent : bool
        The last inventory request failed, or timed out while the loop was on time.
    last_renewal : float
        Loop time at which the last request that may have renewed its task leases
        ended.
    leases_expired : bool
        Its task leases have expired since it became silent.
    is_removed : bool
        The host is no longer in the configuration; it is forgotten once idle.
    reports_leaving, is_listed_leaving : bool
        Whether its last inventory and the platform's list say that it leaves.
    last_unanswered_at : float
        Loop time at which the last request that showed silence began.
    last_start_ended_at : float
        Loop time at which the last call to start a task on it ended.
    starting : set of str
        Attempts whose start is in flight.
    unconfirmed : dict of str to float
        Attempts whose start got no reply, with the loop time until which it may still
        reach the host.
    acked : list of str
        Ended attempts to acknowledge, so that the host can forget them.
    controls_to_retry : list of ControlTask
        Control commands that failed and are sent again after the next inventory.
    unrecorded : set of str
        Ended attempts whose end is not stored yet.
    last_reported : list of tuple
        Attempts and states in the last inventory.
    is_unchanged : bool
        The last two inventories were the same, for example because ended tasks
        cannot be acknowledged while the log is unavailable.
    earlier_owners_requests : int
        Requests of earlier owners in progress on the host; -1 before the first
        inventory.
    earlier_owners_until : float
        Loop time by which the time limits of these requests have passed.
    """

    host: Host
    has_answered: bool = False
    is_silent: bool = False
    leases_expired: bool = False
    is_removed: bool = False
    reports_leaving: bool = False
    is_listed_leaving: bool = False
    last_renewal: float = float("-inf")
    last_unanswered_at: float = float("-inf")
    last_start_ended_at: float = float("-inf")
    starting: set[str] = field(default_factory=set)
    unconfirmed: dict[str, float] = field(default_factory=dict)
    acked: list[str] = field(default_factory=list)
    controls_to_retry: list[ControlTask] = field(default_factory=list)
    unrecorded: set[str] = field(default_factory=set)
    earlier_owners_requests: int = -1
    earlier_owners_until: float = float("inf")
    last_reported: list[tuple[str, TaskState]] = field(default_factory=list)
    is_unchanged: bool = False

    @property
    def is_accounted_for(self) -> bool:
        """Whether no task can run on the host without this owner's knowledge."""
        return self.has_answered or self.leases_expired

    @property
    def may_rejoin(self) -> bool:
        """Whether nothing says that the host leaves or was removed."""
        return not (self.is_removed or self.reports_leaving or self.is_listed_leaving)

    async def fetch_inventory(
        self, owner: MonitoredOwner, *, wait: float, renew: bool
    ) -> bool:
        """Fetch the inventory once; return whether the host answered.

        Parameters
        ----------
        wait : float
            Long-poll time in seconds.
        renew : bool
            Renew the leases of the tasks that run on the host.
        """
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        acked = self._take_acked(owner)
        try:
            async with asyncio.timeout(wait + INVENTORY_MARGIN):
                inventory = await owner.ports.upstreams.inventory(
                    self.host, owner.epoch, acked, wait, renew
                )
        except StaleEpochError:
            owner.mark_stale()
            return False
        except (NotSentError, OutcomeUnknownError, TimeoutError):
            self.acked += acked
            self._apply_failure(owner, requested_at, wait, renew)
            return False
        except Exception:
            self.acked += acked
            raise
        if renew:
            self.last_renewal = loop.time()
        self._mark_answered(owner)
        reported = [(report.attempt, report.state) for report in inventory.tasks]
        self.is_unchanged, self.last_reported = reported == self.last_reported, reported
        _apply_inventory(owner, self, inventory, requested_at)
        return True

    def _take_acked(self, owner: MonitoredOwner) -> list[str]:
        """Return the ended attempts to acknowledge now: none in doubt.

        A successor may have found the attempt on the host. Once the host has forgotten
        it, the successor would take it for lost.
        """
        if not owner.ports.is_certain():
            return []
        acked, self.acked = self.acked, []
        return acked

    def _apply_failure(
        self, owner: MonitoredOwner, requested_at: float, wait: float, renew: bool
    ) -> None:
        now = asyncio.get_running_loop().time()
        if renew:
            self.last_renewal = now
        if now > requested_at + wait + INVENTORY_MARGIN + MAX_LATENESS:
            owner.ports.count_event("host", "late")
            return
        self.last_unanswered_at = requested_at
        self._mark_silent(owner)

    def _mark_silent(self, owner: MonitoredOwner) -> None:
        if not self.is_silent:
            self.is_silent = True
            owner.ports.count_event("host", "silent")
        owner.host_event(self.host.name, "silent")

    def _mark_answered(self, owner: MonitoredOwner) -> None:
        self.has_answered = True
        self.is_silent = False
        self.leases_expired = False
        owner.host_event(self.host.name, "inventory")

    def record_unconfirmed_start(self, attempt: str, now: float) -> None:
        """Record that a start got no reply and may still reach the host."""
        self.unconfirmed[attempt] = now + LATE_START_TIME

    def may_be_starting(self, attempt: str, now: float) -> bool:
        """Return whether a start of an attempt may still reach the host."""
        return attempt in self.starting or now < self.unconfirmed.get(attempt, now)

    def forget_confirmed_starts(self, listed: set[str], now: float) -> None:
        """Forget the starts that reached the host, or can no longer reach it."""
        self.unconfirmed = {
            attempt: until
            for attempt, until in self.unconfirmed.items()
            if attempt not in listed and now < until
        }

    def end_tasks_if_leases_expired(
        self, owner: MonitoredOwner, lease_s: float, now: float
    ) -> None:
        """End the tasks of a silent host as lost once their leases have expired.

        The lease of a task that was started since the last renewal runs from its start.
        The host must have left a request unanswered that began after that: it may have
        answered since the last one, with tasks that have ended.
        """
        if self.leases_expired or self.starting:
            return
        renewed_at = max(self.last_renewal, self.last_start_ended_at)
        if self.last_unanswered_at < renewed_at + lease_s + LEASE_MARGIN:
            return
        self.leases_expired = True
        owner.ports.count_event("host", "lapsed")
        owner.run(owner.scheduler.lose_tasks(self.host.name, now))


class TaskTracker(Protocol):
    """Tasks that the shard's owner expects on its hosts."""

    def adopt(self, name: AttemptName, host: str) -> bool:
        """Adopt a task that a host reports; return False if it must not run."""

    def acknowledge(self, key: str, monitor: HostMonitor, attempt: str) -> None:
        """Acknowledge an ended attempt to its host once nothing depends on it."""


class MonitoredOwner(OwnerContext, Protocol):
    """A shard's owner with its host monitors in ``monitors``, by host name."""

    monitors: dict[str, HostMonitor]

    def forget_host(self, name: str) -> bool:
        """Forget a removed host unless it still runs work; return whether it did."""

    @property
    def tasks(self) -> TaskTracker:
        """Tasks of the shard's jobs."""


async def monitor_host(owner: MonitoredOwner, monitor: HostMonitor) -> None:
    """Fetch a host's inventory in a loop until the host is removed and idle.

    No lease is renewed while the host is silent, so that its task leases are certain
    to expire: a request that reaches it although the reply is lost would renew them.
    """
    loop = asyncio.get_running_loop()
    pause = MIN_PAUSE
    while not (monitor.is_removed and owner.forget_host(monitor.host.name)):
        if monitor.is_silent:
            await asyncio.sleep(SILENT_RETRY_INTERVAL)
            await monitor.fetch_inventory(owner, wait=0.0, renew=False)
            monitor.end_tasks_if_leases_expired(owner, TASK_LEASE_S, loop.time())
            continue
        if await monitor.fetch_inventory(owner, wait=INVENTORY_WAIT, renew=True):
            doubled_pause = min(pause * 2, MAX_UNCHANGED_PAUSE)
            pause = doubled_pause if monitor.is_unchanged else MIN_PAUSE
            await asyncio.sleep(pause)
        elif not monitor.is_silent:
            await asyncio.sleep(MAX_UNCHANGED_PAUSE)


def _apply_inventory(
    owner: MonitoredOwner,
    monitor: HostMonitor,
    inventory: Inventory,
    requested_at: float,
) -> None:
    """Reconcile the scheduler's state with a host's inventory."""
    _apply_leaving(owner, monitor, inventory.leaving)
    view = owner.scheduler.view(monitor.host.name)
    if view is None:
        return
    usage: list[tuple[str, int, Usage]] = []
    unknown: list[TaskReport] = []
    _release_unknown_tasks(owner, view)
    for report in inventory.tasks:
        name = parse_attempt(report.attempt)
        if name is None or report.state is not TaskState.RUNNING:
            continue
        if not _apply_running_task(owner, monitor, name, report, usage):
            unknown.append(report)
    _reserve_unknown_tasks(owner, view, unknown)
    for report in inventory.tasks:
        name = parse_attempt(report.attempt)
        if name is not None and report.state is not TaskState.RUNNING:
            _apply_ended_task(owner, monitor, name, report)
    listed = {report.attempt for report in inventory.tasks}
    _end_unlisted_tasks(owner, monitor, view, listed, requested_at)
    _reserve_requests_of_earlier_owners(owner, monitor, view, inventory.requests)
    now = asyncio.get_running_loop().time()
    owner.run(owner.scheduler.apply_usage(monitor.host.name, usage, now))
    controls, monitor.controls_to_retry = monitor.controls_to_retry, []
    owner.run(list(controls))


def _apply_leaving(owner: MonitoredOwner, monitor: HostMonitor, leaves: bool) -> None:
    """Stop using a host that reports that it leaves, until it takes that back."""
    had_reported = monitor.reports_leaving
    monitor.reports_leaving = leaves
    if leaves:
        owner.host_event(monitor.host.name, "leave")
    elif had_reported and monitor.may_rejoin:
        owner.host_event(monitor.host.name, "rejoin")


def _apply_running_task(
    owner: MonitoredOwner,
    monitor: HostMonitor,
    name: AttemptName,
    report: TaskReport,
    usage: list[tuple[str, int, Usage]],
) -> bool:
    """Apply the report of a running task; stop the task if it must not run.

    Returns False if the task was told to stop.
    """
    host = monitor.host.name
    run = owner.scheduler.shard.running.get(name.key)
    if not _is_run_on(run, name, host) and not owner.tasks.adopt(name, host):
        stop = ControlTask(name.key, name.run, host, name.member, Control.STOP)
        owner.run([stop])
        return False
    owner.scheduler.record_attempt_start(name.key)
    run = owner.scheduler.shard.running[name.key]
    now = asyncio.get_running_loop().time()
    owner.run(owner.scheduler.attempts.repeat_stop(run, name.member, now))
    usage.append((name.key, name.member, report.usage))
    return True


def _is_run_on(run: Running | None, name: AttemptName, host: str) -> bool:
    """Return whether a host reports the run in progress, not another of its name.

    Each owner of the shard numbers the attempts from those that it has found, so a
    host that was silent at a takeover may report an attempt of the same name.
    """
    return (
        run is not None
        and run.attempt == name.run
        and run.hosts.get(name.member) == host
    )


def _release_unknown_tasks(owner: MonitoredOwner, view: HostView) -> None:
    index = owner.scheduler.shard.pool_state(view.name).index
    for task in [task for task in view.tasks if task.startswith(UNKNOWN_TASK)]:
        index.release(view, task, UNKNOWN_TASK)


def _reserve_unknown_tasks(
    owner: MonitoredOwner, view: HostView, reports: list[TaskReport]
) -> None:
    """Reserve capacity for tasks that were told to stop, until they have stopped."""
    shard = owner.scheduler.shard
    index = shard.pool_state(view.name).index
    for report in reports:
        workload = shard.cell.workloads.get(report.workload)
        used = Resources(report.usage.cpu_milli, report.usage.memory_mib, 0, 1)
        need = workload.demand if workload is not None else used
        free = Resources(view.cpu, view.memory, view.accelerators, view.slots)
        task = f"{UNKNOWN_TASK} {report.attempt}~0"
        index.allocate(view, task, need.clip(free), UNKNOWN_TASK)


def _apply_ended_task(
    owner: MonitoredOwner, monitor: HostMonitor, name: AttemptName, report: TaskReport
) -> None:
    if report.attempt in monitor.unrecorded or report.attempt in monitor.acked:
        return
    running = owner.scheduler.shard.running
    run = running.get(name.key)
    if run is None or run.attempt != name.run:
        owner.tasks.adopt(name, monitor.host.name)
        run = running.get(name.key)
    monitor.unrecorded.add(report.attempt)
    if _is_run_on(run, name, monitor.host.name):
        now = asyncio.get_running_loop().time()
        end = END_BY_STATE[report.state]
        effects = owner.scheduler.record_attempt_end(
            name.key, name.member, end, now, report.run_time, report.usage
        )
        owner.run(effects)
    owner.tasks.acknowledge(name.key, monitor, report.attempt)


def _end_unlisted_tasks(
    owner: MonitoredOwner,
    monitor: HostMonitor,
    view: HostView,
    listed: set[str],
    requested_at: float,
) -> None:
    """End as lost the tasks that are missing from an inventory.

    An inventory requested before the last start on the host ended may lack that
    task, so it ends none. A start that got no reply may reach the host later.
    """
    now = asyncio.get_running_loop().time()
    monitor.forget_confirmed_starts(listed, now)
    if monitor.last_start_ended_at >= requested_at:
        return
    for task in list(view.tasks):
        key, member = split_task(task)
        run = owner.scheduler.shard.running.get(key)
        if run is None or run.item.workload.kind == "service":
            continue
        attempt = attempt_name(run.attempt, member)
        if attempt not in listed and not monitor.may_be_starting(attempt, now):
            owner.run(owner.scheduler.record_attempt_end(key, member, End.LOST, now))


def _reserve_requests_of_earlier_owners(
    owner: MonitoredOwner, monitor: HostMonitor, view: HostView, requests: int
) -> None:
    """Reserve capacity for requests that earlier owners left on the host.

    The inventory may be older than requests sent since, or newer than the end of one
    whose reply is not handled yet. So this owner's requests are subtracted from the
    host's number only once the time limits of the earlier ones have passed.
    """
    if monitor.earlier_owners_requests == 0:
        return
    now = asyncio.get_running_loop().time()
    if monitor.earlier_owners_requests < 0:
        monitor.earlier_owners_until = now + _longest_time_limit(owner, monitor.host)
    index = owner.scheduler.shard.pool_state(view.name).index
    if EARLIER_OWNERS_REQUESTS in view.tasks:
        index.release(view, EARLIER_OWNERS_REQUESTS, EARLIER_OWNERS_REQUESTS)
    is_over = now >= monitor.earlier_owners_until
    own_requests = _count_own_requests(owner, view) if is_over else 0
    reported = max(0, requests - own_requests)
    monitor.earlier_owners_requests = (
        reported
        if monitor.earlier_owners_requests < 0
        else min(reported, monitor.earlier_owners_requests)
    )
    if monitor.earlier_owners_requests:
        need = _largest_request(owner, monitor.host).times(
            monitor.earlier_owners_requests
        )
        free = Resources(view.cpu, view.memory, view.accelerators, view.slots)
        index.allocate(
            view, EARLIER_OWNERS_REQUESTS, need.clip(free), EARLIER_OWNERS_REQUESTS
        )


def _count_own_requests(owner: MonitoredOwner, view: HostView) -> int:
    running = owner.scheduler.shard.running
    keys = (split_task(task)[0] for task in view.tasks)
    runs = (running.get(key) for key in keys)
    return sum(1 for run in runs if run and run.item.workload.kind == "service")


def _services(owner: MonitoredOwner, host: Host) -> list[Workload]:
    return [
        workload
        for workload in owner.scheduler.shard.cell.workloads.values()
        if workload.pool == host.pool and workload.kind == "service"
    ]


def _longest_time_limit(owner: MonitoredOwner, host: Host) -> float:
    """Return the longest time limit, in seconds, of a request to the host."""
    return max((service.timeout for service in _services(owner, host)), default=0.0)


def _largest_request(owner: MonitoredOwner, host: Host) -> Resources:
    needs = [service.demand for service in _services(owner, host)]
    return Resources(
        max((need.cpu_milli for need in needs), default=0),
        max((need.memory_mib for need in needs), default=0),
        max((need.accelerators for need in needs), default=0),
        1,
    )
