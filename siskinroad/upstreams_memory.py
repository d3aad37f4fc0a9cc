"""In-memory workers, with faults on request; they note all that they ran."""

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
    Answer,
    Control,
    Inventory,
    TaskReport,
    TaskStart,
    TaskState,
    Upstreams,
    Usage,
)

__all__ = ["Event", "MemoryUpstreams", "MemoryWorker", "WorkerFaults"]

SWEEP_TIME = 0.25


@dataclass(slots=True)
class WorkerFaults:
    """Faults of one worker.

    Attributes
    ----------
    down : bool
        Connections are refused.
    silent : bool
        Nothing arrives and nothing is answered.
    mute : bool
        What is asked takes effect, but no answer leaves.
    failing : bool
        Every task and request fails at once.
    """

    down: bool = False
    silent: bool = False
    mute: bool = False
    failing: bool = False


@dataclass(slots=True, frozen=True)
class Event:
    """One thing that a worker did: ``start`` or ``end`` of a task or request.

    ``body`` is a request's, and empty for a task; ``number`` orders the events
    of workers that share a sequence.
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
    began: float
    ends: float
    lease_until: float
    used: Resources
    throttled: bool = False


Duration = Callable[[str, random.Random], float]
Demand = Callable[[str], Resources]


@dataclass(slots=True)
class MemoryWorker:
    """One worker.

    Attributes
    ----------
    fencing : bool
        Refuse calls with an epoch lower than the highest seen.
    events : list of Event
        Everything that it ran, for checks of the invariants.
    """

    name: str
    capacity: Resources
    rng: random.Random
    fencing: bool = True
    duration: Duration = lambda workload, rng: 1.0
    demand: Demand = lambda workload: Resources(0, 0, 0, 1)
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    events: list[Event] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=itertools.count)
    epoch: int = 0
    requests: int = 0
    leaving: bool = False
    tasks: dict[str, _Task] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def check(self, epoch: int) -> None:
        """Refuse an epoch that another owner has superseded."""
        if self.fencing and epoch < self.epoch:
            raise StaleEpochError("lower epoch", step="worker", peer=self.name)
        self.epoch = max(self.epoch, epoch)

    def note(
        self,
        kind: str,
        task: str,
        attempt: str,
        used: Resources,
        now: float,
        body: bytes = b"",
    ) -> None:
        """Note one event."""
        number = next(self.sequence)
        self.events.append(
            Event(now, self.name, kind, task, attempt, used, body, number)
        )

    def begin(self, start: TaskStart, now: float) -> None:
        """Start a task; the same attempt again changes nothing."""
        if start.attempt in self.tasks:
            return
        seconds = self.duration(start.workload, self.rng)
        used = Resources(start.cpu_milli, start.memory_mib, start.accelerators, 1)
        state = TaskState.RUNNING
        lease = now + start.lease
        task = _Task(start, state, now, now + seconds, lease, used)
        if self.faults.failing:
            task.ends = now
        self.tasks[start.attempt] = task
        self.note("start", start.task, start.attempt, used, now)

    def sweep(self, now: float) -> None:
        """End the tasks whose time has come or whose lease has lapsed."""
        for task in self.tasks.values():
            if task.state is not TaskState.RUNNING:
                continue
            if now >= task.lease_until:
                self.end(task, TaskState.STOPPED, now)
            elif now >= task.ends:
                failing = self.faults.failing
                self.end(task, TaskState.FAILED if failing else TaskState.DONE, now)

    def end(self, task: _Task, state: TaskState, now: float) -> None:
        """End one task."""
        task.state = state
        start = task.start
        self.note(f"end:{state}", start.task, start.attempt, task.used, now)
        self.changed.set()
        self.changed = asyncio.Event()

    def report(self, now: float) -> list[TaskReport]:
        """Return the inventory's entries."""
        return [
            TaskReport(
                task.start.task,
                attempt,
                task.start.workload,
                task.state,
                Usage(task.used.cpu_milli, task.used.memory_mib),
                min(now, task.ends) - task.began,
            )
            for attempt, task in self.tasks.items()
        ]

    def crash(self, now: float) -> None:
        """Lose everything, as when the host fails or is restarted."""
        for task in self.tasks.values():
            if task.state is TaskState.RUNNING:
                self.end(task, TaskState.FAILED, now)
        self.tasks.clear()


class MemoryUpstreams(Upstreams):
    """Workers of one process, by host name.

    Parameters
    ----------
    client : str
        Name of the daemon; ``cut`` names pairs (daemon, host) without a path.

    Attributes
    ----------
    held : asyncio.Event or None
        While it is set here and not done, calls are held on their way.
    """

    def __init__(
        self,
        workers: dict[str, MemoryWorker],
        client: str = "",
        cut: set[tuple[str, str]] | None = None,
        delay: float = 0.0005,
    ) -> None:
        self.held: asyncio.Event | None = None
        self.workers = workers
        self.client = client
        self.cut = cut if cut is not None else set()
        self.delay = delay

    async def request(
        self, host: Host, attempt: str, epoch: int, path: str, body: bytes, limit: float
    ) -> Answer:
        """Run a request; see the base class."""
        async with _unknown_after(limit, host):
            worker = await self._reach(host)
            worker.check(epoch)
            workload = path.split("/")[1]
            used = worker.demand(workload)
            loop = asyncio.get_running_loop()
            task = attempt.partition("#")[0]
            worker.requests += 1
            worker.note("start", task, attempt, used, loop.time(), body)
            failing = worker.faults.failing
            try:
                if not failing:
                    await asyncio.sleep(worker.duration(workload, worker.rng))
            finally:
                worker.requests -= 1
                worker.note("end:done", task, attempt, used, loop.time(), body)
            await self._answer(worker, host)
            return Answer(500, b"failed") if failing else Answer(200, body)

    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; see the base class."""
        async with _unknown_after(2.0, host):
            worker = await self._reach(host)
            worker.check(epoch)
            worker.begin(start, asyncio.get_running_loop().time())
            await self._answer(worker, host)

    async def control(self, host: Host, epoch: int, attempt: str, do: Control) -> None:
        """Control a task; see the base class."""
        async with _unknown_after(2.0, host):
            worker = await self._reach(host)
            worker.check(epoch)
            now = asyncio.get_running_loop().time()
            worker.sweep(now)
            task = worker.tasks.get(attempt)
            if task is not None and task.state is TaskState.RUNNING:
                _control(worker, task, do, now)
            await self._answer(worker, host)

    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Report all tasks; see the base class."""
        async with _unknown_after(wait + 1.0, host):
            worker = await self._reach(host)
            worker.check(epoch)
            loop = asyncio.get_running_loop()
            for attempt in acked:
                worker.tasks.pop(attempt, None)
            worker.sweep(loop.time())
            if renew:
                self._renew(worker, loop.time())
            await self._await_change(worker, loop.time() + wait)
            await self._answer(worker, host)
            tasks = worker.report(loop.time())
            return Inventory(tasks, worker.requests, worker.leaving)

    def _renew(self, worker: MemoryWorker, now: float) -> None:
        for task in worker.tasks.values():
            task.lease_until = now + task.start.lease

    async def _await_change(self, worker: MemoryWorker, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until and not worker.faults.down:
            if any(t.state is not TaskState.RUNNING for t in worker.tasks.values()):
                return
            running = [t.ends for t in worker.tasks.values()]
            next_end = min([*running, until])
            pause = min(max(next_end - loop.time(), 0.001), SWEEP_TIME)
            try:
                async with asyncio.timeout(pause):
                    await worker.changed.wait()
            except TimeoutError:
                pass
            worker.sweep(loop.time())

    async def _reach(self, host: Host) -> MemoryWorker:
        worker = self.workers.get(host.name)
        await asyncio.sleep(self.delay)
        if self.held is not None:
            await asyncio.shield(self.held.wait())
        if worker is None or worker.faults.down:
            raise NotSentError("connection refused", step="worker", peer=host.name)
        if worker.faults.silent or (self.client, host.name) in self.cut:
            await asyncio.Event().wait()
        return worker

    async def _answer(self, worker: MemoryWorker, host: Host) -> None:
        await asyncio.sleep(self.delay)
        if worker.faults.down:
            raise OutcomeUnknownError("reset", step="worker", peer=host.name)
        cut = (self.client, host.name) in self.cut
        if worker.faults.silent or worker.faults.mute or cut:
            await asyncio.Event().wait()


class _unknown_after:  # noqa: N801
    """Turn a timeout into ``OutcomeUnknownError``."""

    def __init__(self, limit: float, host: Host) -> None:
        self._timeout = asyncio.timeout(limit)
        self._host = host

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._timeout.__aexit__(*details)  # type: ignore[arg-type]
        except TimeoutError:
            raise OutcomeUnknownError(
                "no answer", step="worker", peer=self._host.name
            ) from None


def _control(worker: MemoryWorker, task: _Task, do: Control, now: float) -> None:
    match do:
        case Control.STOP:
            worker.end(task, TaskState.STOPPED, now)
        case Control.CHECKPOINT:
            worker.end(task, TaskState.CHECKPOINTED, now)
        case Control.THROTTLE if not task.throttled:
            task.throttled = True
            task.ends = now + 2 * (task.ends - now)
        case Control.RESUME if task.throttled:
            task.throttled = False
            task.ends = now + (task.ends - now) / 2
