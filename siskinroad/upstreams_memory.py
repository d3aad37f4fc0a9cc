"""In-memory upstream hosts with fault injection and a record of the work they ran."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from siskinroad.cell import Host
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.resources import Resources
from siskinroad.upstreams import (
    Control,
    Inventory,
    TaskReport,
    TaskStart,
    TaskState,
    UpstreamClient,
    UpstreamResponse,
    Usage,
)

__all__ = ["HostEvent", "HostFaults", "MemoryHost", "MemoryUpstreamClient"]

# Longest interval between two checks for due tasks and expired leases while an
# inventory call waits.
SWEEP_INTERVAL_S = 0.25


@dataclass(slots=True)
class HostFaults:
    """Faults injected into one host.

    Attributes
    ----------
    down : bool
        Connections are refused.
    silent : bool
        Calls neither arrive nor get a reply.
    loses_replies : bool
        Calls take effect but get no reply.
    failing : bool
        Every task and request fails immediately.
    """

    down: bool = False
    silent: bool = False
    loses_replies: bool = False
    failing: bool = False


@dataclass(slots=True, frozen=True)
class HostEvent:
    """Start or end of a task or request on a host.

    ``kind`` is ``start`` or ``end:STATE``. ``body`` is the body of a request, and empty
    for a task. ``number`` orders the events of hosts that share a sequence.
    """

    time: float
    host: str
    kind: str
    task: str
    attempt: str
    used: Resources
    body: bytes = b""
    number: int = 0


@dataclass(slots=True)
class _Task:
    start: TaskStart
    state: TaskState
    started_at: float
    ends_at: float
    lease_expires_at: float
    used: Resources
    is_throttled: bool = False


DurationSampler = Callable[[str, random.Random], float]
DemandFunction = Callable[[str], Resources]


@dataclass(slots=True)
class MemoryHost:
    """One in-memory host.

    Attributes
    ----------
    fencing : bool
        Whether calls with an epoch lower than the highest seen are refused.
    duration : callable
        Returns the seconds that a task or request of a workload takes.
    demand : callable
        Returns the resources that a request of a workload uses.
    events : list of HostEvent
        Starts and ends of all tasks and requests, for checks of the invariants.
    sequence : iterator of int
        Source of event numbers; hosts may share one.
    requests : int
        Number of running requests.
    """

    name: str
    capacity: Resources
    rng: random.Random
    fencing: bool = True
    duration: DurationSampler = lambda workload, rng: 1.0
    demand: DemandFunction = lambda workload: Resources(0, 0, 0, 1)
    faults: HostFaults = field(default_factory=HostFaults)
    events: list[HostEvent] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=itertools.count)
    epoch: int = 0
    requests: int = 0
    leaving: bool = False
    tasks: dict[str, _Task] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def check_epoch(self, epoch: int) -> None:
        """Refuse a call with an epoch that a newer owner has superseded."""
        if self.fencing and epoch < self.epoch:
            raise StaleEpochError(
                "host has seen a higher epoch", step="worker", peer=self.name
            )
        self.epoch = max(self.epoch, epoch)

    def record_event(
        self,
        kind: str,
        task: str,
        attempt: str,
        used: Resources,
        now: float,
        body: bytes = b"",
    ) -> None:
        """Append one event to the record."""
        number = next(self.sequence)
        self.events.append(
            HostEvent(now, self.name, kind, task, attempt, used, body, number)
        )

    def start_task(self, start: TaskStart, now: float) -> None:
        """Start a task; starting the same attempt again has no effect."""
        if start.attempt in self.tasks:
            return
        duration_s = self.duration(start.workload, self.rng)
        used = Resources(start.cpu_milli, start.memory_mib, start.accelerators, 1)
        state = TaskState.RUNNING
        lease = now + start.lease
        task = _Task(start, state, now, now + duration_s, lease, used)
        if self.faults.failing:
            task.ends_at = now
        self.tasks[start.attempt] = task
        self.record_event("start", start.task, start.attempt, used, now)

    def end_due_tasks(self, now: float) -> None:
        """End the running tasks that are due or whose lease has expired."""
        for task in self.tasks.values():
            if task.state is not TaskState.RUNNING:
                continue
            if now < min(task.ends_at, task.lease_expires_at):
                continue
            if task.lease_expires_at <= task.ends_at:
                self.end_task(task, TaskState.STOPPED, now)
            else:
                failing = self.faults.failing
                self.end_task(
                    task, TaskState.FAILED if failing else TaskState.DONE, now
                )

    def end_task(self, task: _Task, state: TaskState, now: float) -> None:
        """End one task with a state and wake the waiting inventory calls."""
        task.state = state
        start = task.start
        self.record_event(f"end:{state}", start.task, start.attempt, task.used, now)
        self.changed.set()
        self.changed = asyncio.Event()

    def report_tasks(self, now: float) -> list[TaskReport]:
        """Return an inventory entry for each task."""
        return [
            TaskReport(
                task.start.task,
                attempt,
                task.start.workload,
                task.state,
                Usage(task.used.cpu_milli, task.used.memory_mib),
                min(now, task.ends_at) - task.started_at,
            )
            for attempt, task in self.tasks.items()
        ]

    def crash(self, now: float) -> None:
        """Fail all running tasks and drop all tasks, as in a crash or restart."""
        for task in self.tasks.values():
            if task.state is TaskState.RUNNING:
                self.end_task(task, TaskState.FAILED, now)
        self.tasks.clear()


class MemoryUpstreamClient(UpstreamClient):
    """Client of in-memory hosts in the same process.

    Parameters
    ----------
    memory_hosts : dict
        The hosts, by name.
    client : str
        Name of the calling daemon.
    cut : set of tuple
        Pairs (daemon, host) between which no call or reply is delivered.
    delay : float
        One-way delay of a call or reply, in seconds.

    Attributes
    ----------
    delivery_gate : asyncio.Event or None
        If not None, calls are delivered only once this event is set.
    """

    def __init__(
        self,
        memory_hosts: dict[str, MemoryHost],
        client: str = "",
        cut: set[tuple[str, str]] | None = None,
        delay: float = 0.0005,
    ) -> None:
        self.delivery_gate: asyncio.Event | None = None
        self.memory_hosts = memory_hosts
        self.client = client
        self.cut = cut if cut is not None else set()
        self.delay = delay

    async def request(
        self,
        host: Host,
        attempt: str,
        epoch: int,
        path: str,
        body: bytes,
        timeout: float,
    ) -> UpstreamResponse:
        """Run a request; see the base class."""
        async with _OutcomeUnknownAfter(timeout, host):
            memory_host = await self._deliver_call(host)
            memory_host.check_epoch(epoch)
            workload = path.split("/")[1]
            used = memory_host.demand(workload)
            loop = asyncio.get_running_loop()
            task = attempt.partition("#")[0]
            memory_host.requests += 1
            memory_host.record_event("start", task, attempt, used, loop.time(), body)
            failing = memory_host.faults.failing
            try:
                if not failing:
                    await asyncio.sleep(memory_host.duration(workload, memory_host.rng))
            finally:
                memory_host.requests -= 1
                memory_host.record_event(
                    "end:done", task, attempt, used, loop.time(), body
                )
            await self._deliver_reply(memory_host, host)
            return (
                UpstreamResponse(500, b"failed")
                if failing
                else UpstreamResponse(200, body)
            )

    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; see the base class."""
        async with _OutcomeUnknownAfter(2.0, host):
            memory_host = await self._deliver_call(host)
            memory_host.check_epoch(epoch)
            memory_host.start_task(start, asyncio.get_running_loop().time())
            await self._deliver_reply(memory_host, host)

    async def control(
        self, host: Host, epoch: int, attempt: str, action: Control
    ) -> None:
        """Control a task; see the base class."""
        async with _OutcomeUnknownAfter(2.0, host):
            memory_host = await self._deliver_call(host)
            memory_host.check_epoch(epoch)
            now = asyncio.get_running_loop().time()
            memory_host.end_due_tasks(now)
            task = memory_host.tasks.get(attempt)
            if task is not None and task.state is TaskState.RUNNING:
                _apply_control(memory_host, task, action, now)
            await self._deliver_reply(memory_host, host)

    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Return all tasks of a host; see the base class."""
        async with _OutcomeUnknownAfter(wait + 1.0, host):
            memory_host = await self._deliver_call(host)
            memory_host.check_epoch(epoch)
            loop = asyncio.get_running_loop()
            for attempt in acked:
                memory_host.tasks.pop(attempt, None)
            memory_host.end_due_tasks(loop.time())
            if renew:
                self._renew_leases(memory_host, loop.time())
            await self._wait_for_task_end(memory_host, loop.time() + wait)
            tasks = memory_host.report_tasks(loop.time())
            inventory = Inventory(tasks, memory_host.requests, memory_host.leaving)
            await self._deliver_reply(memory_host, host)
            return inventory

    def _renew_leases(self, memory_host: MemoryHost, now: float) -> None:
        for task in memory_host.tasks.values():
            task.lease_expires_at = now + task.start.lease

    async def _wait_for_task_end(
        self, memory_host: MemoryHost, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and not memory_host.faults.down:
            if any(
                t.state is not TaskState.RUNNING for t in memory_host.tasks.values()
            ):
                return
            end_times = [t.ends_at for t in memory_host.tasks.values()]
            next_end = min([*end_times, deadline])
            pause_s = min(max(next_end - loop.time(), 0.001), SWEEP_INTERVAL_S)
            try:
                async with asyncio.timeout(pause_s):
                    await memory_host.changed.wait()
            except TimeoutError:
                pass
            memory_host.end_due_tasks(loop.time())

    async def _deliver_call(self, host: Host) -> MemoryHost:
        memory_host = self.memory_hosts.get(host.name)
        await asyncio.sleep(self.delay)
        if self.delivery_gate is not None:
            await asyncio.shield(self.delivery_gate.wait())
        if memory_host is None or memory_host.faults.down:
            raise NotSentError("connection refused", step="worker", peer=host.name)
        if memory_host.faults.silent or (self.client, host.name) in self.cut:
            await asyncio.Event().wait()
        return memory_host

    async def _deliver_reply(self, memory_host: MemoryHost, host: Host) -> None:
        await asyncio.sleep(self.delay)
        if memory_host.faults.down:
            raise OutcomeUnknownError("reset", step="worker", peer=host.name)
        cut = (self.client, host.name) in self.cut
        if memory_host.faults.silent or memory_host.faults.loses_replies or cut:
            await asyncio.Event().wait()


class _OutcomeUnknownAfter:
    """Context manager that raises ``OutcomeUnknownError`` after ``timeout`` seconds."""

    def __init__(self, timeout: float, host: Host) -> None:
        self._timeout = asyncio.timeout(timeout)
        self._host = host

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._timeout.__aexit__(*details)  # type: ignore[arg-type]
        except TimeoutError:
            raise OutcomeUnknownError(
                "no reply within the time limit", step="worker", peer=self._host.name
            ) from None


def _apply_control(
    memory_host: MemoryHost, task: _Task, action: Control, now: float
) -> None:
    match action:
        case Control.STOP:
            memory_host.end_task(task, TaskState.STOPPED, now)
        case Control.CHECKPOINT:
            memory_host.end_task(task, TaskState.CHECKPOINTED, now)
        case Control.THROTTLE if not task.is_throttled:
            task.is_throttled = True
            task.ends_at = now + 2 * (task.ends_at - now)
        case Control.RESUME if task.is_throttled:
            task.is_throttled = False
            task.ends_at = now + (task.ends_at - now) / 2
