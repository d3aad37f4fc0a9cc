"""Drives a scheduler on a paused clock with fake workers; no network, no loop."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from siskinroad.cell import Cell
from siskinroad.effects import ControlTask, End, Finished, Refused, StartTask
from siskinroad.queues import Item
from siskinroad.upstreams import Control, Usage

REPORT_TIME = 2.0
REPORT_LAG = 2.0
TICK_TIME = 0.25

Arrival = tuple[float, Item]


@dataclass
class _Task:
    item: Item
    member: int
    host: str
    ends: float
    cpu: int
    memory: int
    began: float
    alive: bool = True
    throttled: bool = False


@dataclass
class Result:
    """What one run showed; times in seconds."""

    waits: dict[str, list[float]] = field(default_factory=dict)
    finished: dict[str, int] = field(default_factory=dict)
    last_finish: dict[str, float] = field(default_factory=dict)
    refused: int = 0
    overfilled: int = 0
    accelerator_seconds: float = 0.0
    shares: list[tuple[float, dict[str, float]]] = field(default_factory=list)
    stopped: int = 0
    decisions: int = 0


class Driver:
    """One run of one policy.

    Parameters
    ----------
    policy : object
        A ``Scheduler`` or a baseline.
    run_time : callable
        Returns the true seconds that an item takes; resumed work takes the rest.
    usage : callable
        Returns the true processors (thousandths) and memory (MiB) of a member.
    """

    def __init__(
        self,
        policy: Any,
        cell: Cell,
        run_time: Callable[[Item], float],
        usage: Callable[[Item], tuple[int, int]],
        warm: float = 0.0,
    ) -> None:
        self.policy = policy
        self.cell = cell
        self.run_time = run_time
        self.usage = usage
        self.warm = warm
        self.result = Result()
        self.tasks: dict[tuple[str, int], _Task] = {}
        self.left: dict[str, float] = {}
        self.on_host: dict[str, dict[tuple[str, int], _Task]] = {}
        self.held: dict[str, float] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._number = itertools.count()
        self._reports: dict[str, list] = {}
        self.now = 0.0
        for host in cell.hosts():
            policy.add_host(host, 0.0)
            policy.host_event(host.name, "inventory", 0.0)
            self.on_host[host.name] = {}

    def run(
        self, arrivals: Iterator[Arrival], until: float, sample: float = 0.0
    ) -> Result:
        """Run until a time; ``sample`` records what owners hold so often."""
        self._push_arrival(arrivals)
        self._push(TICK_TIME, "tick", None)
        self._push(REPORT_TIME, "report", None)
        if sample:
            self._push(sample, "sample", sample)
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, data = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(data)
        self.now = until
        for task in list(self.tasks.values()):
            self._count_accelerators(task)
        return self.result

    def _push(self, time: float, kind: str, data: Any) -> None:
        heapq.heappush(self._events, (time, next(self._number), kind, data))

    def _push_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is not None:
            self._push(arrival[0], "arrival", (arrival[1], arrivals))

    def _on_arrival(self, data: tuple[Item, Iterator[Arrival]]) -> None:
        item, arrivals = data
        self._push_arrival(arrivals)
        self.result.decisions += 1
        self._carry(self.policy.submit(item, self.now))

    def _on_tick(self, _: None) -> None:
        self._push(self.now + TICK_TIME, "tick", None)
        self._carry(self.policy.tick(self.now))

    def _on_report(self, _: None) -> None:
        self._push(self.now + REPORT_TIME, "report", None)
        reports = {}
        for host, tasks in self.on_host.items():
            reports[host] = [
                (key[0], key[1], Usage(task.cpu, task.memory))
                for key, task in tasks.items()
                if task.item.workload.kind != "service"
            ]
        self._push(self.now + REPORT_LAG, "lagged", reports)

    def _on_lagged(self, reports: dict[str, list]) -> None:
        for host, lines in reports.items():
            if lines:
                self._carry(self.policy.usage(host, lines, self.now))

    def _on_sample(self, every: float) -> None:
        self._push(self.now + every, "sample", every)
        self.result.shares.append((self.now, dict(self.held)))

    def _on_end(self, task: _Task) -> None:
        if not task.alive or self.now < task.ends - 1e-9:
            return
        self._finish(task, End.DONE)

    def _finish(self, task: _Task, end: End) -> None:
        task.alive = False
        key = (task.item.key, task.member)
        del self.tasks[key]
        del self.on_host[task.host][key]
        self._hold(task, -1)
        self._count_accelerators(task)
        if end is End.CHECKPOINTED:
            self.left[task.item.key] = max(task.ends - self.now, 0.0)
        self.result.decisions += 1
        seconds = self.now - task.began
        usage = Usage(task.cpu, task.memory)
        self._carry(self.policy.ended(*key, end, self.now, seconds, usage))

    def _count_accelerators(self, task: _Task) -> None:
        began = max(task.began, self.warm)
        count = task.item.workload.demand.accelerators
        self.result.accelerator_seconds += max(0.0, self.now - began) * count

    def _hold(self, task: _Task, sign: int) -> None:
        owner = task.item.workload.owner
        amount = task.item.workload.demand.accelerators or 1
        self.held[owner] = self.held.get(owner, 0.0) + sign * amount

    def _carry(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case StartTask():
                    self._start(effect)
                case ControlTask():
                    self._control(effect)
                case Refused():
                    self.result.refused += 1
                case Finished():
                    name = effect.item.workload.name
                    done = self.result.finished
                    done[name] = done.get(name, 0) + 1
                    self.result.last_finish[name] = self.now

    def _start(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1 and self.now >= self.warm:
            waits = self.result.waits.setdefault(item.workload.name, [])
            waits.append(self.now - item.enqueued)
        seconds = self.left.pop(item.key, None)
        if seconds is None:
            seconds = self.run_time(item)
        for member, host in enumerate(effect.hosts):
            cpu, memory = self.usage(item)
            task = _Task(item, member, host, self.now + seconds, cpu, memory, self.now)
            self.tasks[(item.key, member)] = task
            self.on_host[host][(item.key, member)] = task
            self._hold(task, 1)
            self._check(host)
            self._push(task.ends, "end", task)
        self.policy.started(item.key)

    def _check(self, host: str) -> None:
        tasks = self.on_host[host].values()
        pool = next(iter(tasks)).item.workload.pool
        room = self.cell.pools[pool].capacity
        memory = sum(task.memory for task in tasks)
        accelerators = sum(task.item.workload.demand.accelerators for task in tasks)
        full = memory > room.memory_mib or accelerators > room.accelerators
        if full or len(tasks) > room.slots:
            self.result.overfilled += 1

    def _control(self, effect: ControlTask) -> None:
        task = self.tasks.get((effect.key, effect.member))
        if task is None:
            return
        match effect.do:
            case Control.CHECKPOINT:
                self._push(self.now + 0.2, "checkpoint", task)
            case Control.STOP:
                self.result.stopped += 1
                self._push(self.now + 0.05, "stop", task)

    def _on_checkpoint(self, task: _Task) -> None:
        if task.alive:
            self._finish(task, End.CHECKPOINTED)

    def _on_stop(self, task: _Task) -> None:
        if task.alive:
            self._finish(task, End.STOPPED)


def poisson(rng: random.Random, rate: float, until: float) -> Iterator[float]:
    """Yield random instants at a steady rate."""
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now > until:
            return
        yield now


def bursts(
    rng: random.Random, rate: float, until: float, every: float, times: float
) -> Iterator[float]:
    """Yield instants whose rate is ``times`` the mean for a tenth of each period.

    The rate between the bursts is lowered, so that the mean stays ``rate``.
    """
    low = rate * (10 - times) / 9
    now = 0.0
    while True:
        burst = now % every < every / 10
        now += rng.expovariate(rate * times if burst else low)
        if now > until:
            return
        yield now
