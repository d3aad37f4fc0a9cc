"""What an owner knows of one host: its inventory, its silence, its leases."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from siskinroad.cell import Host
from siskinroad.effects import ControlTask, End
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.names import AttemptName, attempt_name, parse_attempt, split_task
from siskinroad.ownerview import OwnerView
from siskinroad.placement import HostView
from siskinroad.resources import Resources
from siskinroad.upstreams import Control, Inventory, TaskReport, TaskState, Usage

__all__ = ["TASK_LEASE", "HostWatch", "WatchedOwner", "watch_host"]

TASK_LEASE = 20.0
INVENTORY_WAIT = 10.0
INVENTORY_MARGIN = 1.0
SILENT_PAUSE = 1.0
LEASE_MARGIN = 1.0
MIN_PAUSE = 0.02
STILL_PAUSE = 1.0
PHANTOM = "requests-of-others~0"
STRANGER = "stranger"

ENDS = {
    TaskState.DONE: End.DONE,
    TaskState.FAILED: End.FAILED,
    TaskState.STOPPED: End.STOPPED,
    TaskState.CHECKPOINTED: End.CHECKPOINTED,
}


@dataclass(slots=True, eq=False)
class HostWatch:
    """One host of an owned shard.

    Attributes
    ----------
    answered : bool
        It has answered an inventory of this owner.
    renewed : float
        Loop time until which an inventory may have renewed its leases.
    lapsed : bool
        Its leases have ended since it fell silent.
    starting : set of str
        Attempts whose start is under way.
    acked : list of str
        Ended attempts that it may forget.
    again : list of ControlTask
        Requests to a task that did not get through.
    recording : set of str
        Ended attempts whose end is not on record yet.
    seen : list of tuple
        Attempts and states of the last inventory.
    still : bool
        The last inventory showed what the one before it did, such as ended tasks
        that cannot be acknowledged while the log is down.
    phantoms : int
        Requests of earlier owners in progress there; -1 before the first answer.
    """

    host: Host
    answered: bool = False
    silent: bool = False
    lapsed: bool = False
    removed: bool = False
    renewed: float = float("-inf")
    settled_at: float = float("-inf")
    starting: set[str] = field(default_factory=set)
    acked: list[str] = field(default_factory=list)
    again: list[ControlTask] = field(default_factory=list)
    recording: set[str] = field(default_factory=set)
    phantoms: int = -1
    seen: list[tuple[str, TaskState]] = field(default_factory=list)
    still: bool = False

    @property
    def cleared(self) -> bool:
        """Whether no task can run on it unseen."""
        return self.answered or self.lapsed

    async def ask(self, owner: WatchedOwner, *, wait: float, renew: bool) -> bool:
        """Ask for the inventory once; return whether it answered."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        acked, self.acked = self.acked, []
        try:
            async with asyncio.timeout(wait + INVENTORY_MARGIN):
                inventory = await owner.ports.upstreams.inventory(
                    self.host, owner.epoch, acked, wait, renew
                )
        except StaleEpochError:
            owner.go_stale()
            return False
        except (NotSentError, OutcomeUnknownError, TimeoutError):
            self.acked += acked
            self._fall_silent(owner, loop.time(), renew)
            return False
        if renew:
            self.renewed = loop.time()
        self._speak(owner)
        seen = [(report.attempt, report.state) for report in inventory.tasks]
        self.still, self.seen = seen == self.seen, seen
        _take(owner, self, inventory, began)
        return True

    def _fall_silent(self, owner: WatchedOwner, now: float, renew: bool) -> None:
        if renew:
            self.renewed = now
        if not self.silent:
            self.silent = True
            owner.ports.count("host", "silent")
        owner.host_event(self.host.name, "silent")

    def _speak(self, owner: WatchedOwner) -> None:
        self.answered = True
        self.silent = False
        self.lapsed = False
        owner.host_event(self.host.name, "inventory")

    def check_lapse(self, owner: WatchedOwner, lease: float, now: float) -> None:
        """Take the tasks of a silent host as ended once their leases have."""
        if self.lapsed or now < self.renewed + lease + LEASE_MARGIN:
            return
        self.lapsed = True
        owner.ports.count("host", "lapsed")
        owner.run(owner.scheduler.lose_tasks(self.host.name, now))


class TaskKeeper(Protocol):
    """Who knows the tasks that hosts list."""

    def adopt(self, name: AttemptName, host: str) -> bool:
        """Take over a task that a host runs; return whether it is known now."""

    def acknowledge(self, key: str, watch: HostWatch, attempt: str) -> None:
        """Let a host forget an ended attempt once nothing depends on it."""


class WatchedOwner(OwnerView, Protocol):
    """A shard's owner with its hosts; ``watches`` has them by name."""

    watches: dict[str, HostWatch]

    @property
    def tasks(self) -> TaskKeeper:
        """The tasks of the jobs that are homed at the shard."""


async def watch_host(owner: WatchedOwner, watch: HostWatch) -> None:
    """Keep asking one host for its inventory until it is removed.

    While the host is silent no lease is renewed, so that they end for certain.
    """
    loop = asyncio.get_running_loop()
    pause = MIN_PAUSE
    while not watch.removed:
        if watch.silent:
            await asyncio.sleep(SILENT_PAUSE)
            await watch.ask(owner, wait=0.0, renew=False)
            watch.check_lapse(owner, TASK_LEASE, loop.time())
            continue
        if await watch.ask(owner, wait=INVENTORY_WAIT, renew=True):
            longer = min(pause * 2, STILL_PAUSE)
            pause = longer if watch.still else MIN_PAUSE
            await asyncio.sleep(pause)


def _take(
    owner: WatchedOwner, watch: HostWatch, inventory: Inventory, began: float
) -> None:
    """Bring the scheduler in line with what a host reports."""
    if inventory.leaving:
        owner.host_event(watch.host.name, "leave")
    view = owner.scheduler.view(watch.host.name)
    if view is None:
        return
    usage: list[tuple[str, int, Usage]] = []
    strangers: list[TaskReport] = []
    _release_strangers(owner, view)
    for report in inventory.tasks:
        name = parse_attempt(report.attempt)
        if name is None or report.state is not TaskState.RUNNING:
            continue
        if not _take_running(owner, watch, name, report, usage):
            strangers.append(report)
    _hold_strangers(owner, view, strangers)
    for report in inventory.tasks:
        name = parse_attempt(report.attempt)
        if name is not None and report.state is not TaskState.RUNNING:
            _take_ended(owner, watch, name, report)
    listed = {report.attempt for report in inventory.tasks}
    _lose_unlisted(owner, watch, view, listed, began)
    _hold_phantoms(owner, watch, view, inventory.requests)
    now = asyncio.get_running_loop().time()
    owner.run(owner.scheduler.usage(watch.host.name, usage, now))
    again, watch.again = watch.again, []
    owner.run(list(again))


def _take_running(
    owner: WatchedOwner,
    watch: HostWatch,
    name: AttemptName,
    report: TaskReport,
    usage: list[tuple[str, int, Usage]],
) -> bool:
    """Take in a running task; return False if no accepted job knows it."""
    host = watch.host.name
    run = owner.scheduler.shard.running.get(name.key)
    known = run is not None and run.attempt == name.run and name.member in run.hosts
    if not known and not owner.tasks.adopt(name, host):
        stop = ControlTask(name.key, name.run, host, name.member, Control.STOP)
        owner.run([stop])
        return False
    owner.scheduler.started(name.key)
    usage.append((name.key, name.member, report.usage))
    return True


def _release_strangers(owner: WatchedOwner, view: HostView) -> None:
    index = owner.scheduler.shard.pool_state(view.name).index
    for task in [task for task in view.tasks if task.startswith(STRANGER)]:
        index.give_back(view, task, STRANGER)


def _hold_strangers(
    owner: WatchedOwner, view: HostView, reports: list[TaskReport]
) -> None:
    """Hold room for tasks that run though they should not, until they stop."""
    shard = owner.scheduler.shard
    index = shard.pool_state(view.name).index
    for report in reports:
        workload = shard.cell.workloads.get(report.workload)
        used = Resources(report.usage.cpu_milli, report.usage.memory_mib, 0, 1)
        need = workload.demand if workload is not None else used
        room = Resources(view.cpu, view.memory, view.accelerators, view.slots)
        task = f"{STRANGER} {report.attempt}~0"
        index.take(view, task, need.clip(room), STRANGER)


def _take_ended(
    owner: WatchedOwner, watch: HostWatch, name: AttemptName, report: TaskReport
) -> None:
    if report.attempt in watch.recording:
        return
    running = owner.scheduler.shard.running
    run = running.get(name.key)
    if run is None or run.attempt != name.run:
        owner.tasks.adopt(name, watch.host.name)
        run = running.get(name.key)
    watch.recording.add(report.attempt)
    if run is not None and run.attempt == name.run and name.member in run.hosts:
        now = asyncio.get_running_loop().time()
        end = ENDS[report.state]
        effects = owner.scheduler.ended(
            name.key, name.member, end, now, report.run_time, report.usage
        )
        owner.run(effects)
    owner.tasks.acknowledge(name.key, watch, report.attempt)


def _lose_unlisted(
    owner: WatchedOwner,
    watch: HostWatch,
    view: HostView,
    listed: set[str],
    began: float,
) -> None:
    """End the tasks that the host does not know, and did not when asked."""
    if watch.settled_at >= began:
        return
    now = asyncio.get_running_loop().time()
    for task in list(view.tasks):
        key, member = split_task(task)
        run = owner.scheduler.shard.running.get(key)
        if run is None or run.item.workload.kind == "service":
            continue
        attempt = attempt_name(run.attempt, member)
        if attempt not in listed and attempt not in watch.starting:
            owner.run(owner.scheduler.ended(key, member, End.LOST, now))


def _hold_phantoms(
    owner: WatchedOwner, watch: HostWatch, view: HostView, requests: int
) -> None:
    """Hold room for requests that an earlier owner left on the host."""
    if watch.phantoms == 0:
        return
    index = owner.scheduler.shard.pool_state(view.name).index
    if PHANTOM in view.tasks:
        index.give_back(view, PHANTOM, PHANTOM)
    others = max(0, requests - _own_requests(owner, view))
    watch.phantoms = others if watch.phantoms < 0 else min(others, watch.phantoms)
    if watch.phantoms:
        need = _largest_request(owner, watch.host).times(watch.phantoms)
        room = Resources(view.cpu, view.memory, view.accelerators, view.slots)
        index.take(view, PHANTOM, need.clip(room), PHANTOM)


def _own_requests(owner: WatchedOwner, view: HostView) -> int:
    running = owner.scheduler.shard.running
    keys = (split_task(task)[0] for task in view.tasks)
    runs = (running.get(key) for key in keys)
    return sum(1 for run in runs if run and run.item.workload.kind == "service")


def _largest_request(owner: WatchedOwner, host: Host) -> Resources:
    needs = [
        workload.demand
        for workload in owner.scheduler.shard.cell.workloads.values()
        if workload.pool == host.pool and workload.kind == "service"
    ]
    return Resources(
        max((need.cpu_milli for need in needs), default=0),
        max((need.memory_mib for need in needs), default=0),
        max((need.accelerators for need in needs), default=0),
        1,
    )
