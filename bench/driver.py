"""Discrete-event simulation that drives a scheduling policy with simulated hosts.

It uses neither a network nor an event loop.
"""

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

# Seconds between usage reports of a host, and until one reaches the policy.
REPORT_INTERVAL = 2.0
REPORT_LAG = 2.0
# Seconds between ticks of the policy.
TICK_INTERVAL = 0.25

# Time in seconds, item.
Arrival = tuple[float, Item]


@dataclass
class _Task:
    """Running member of an item: seconds, MiB, thousandths of a processor."""

    item: Item
    member: int
    host: str
    ends_at: float
    cpu: int
    memory: int
    began: float
    alive: bool = True
    throttled: bool = False


@dataclass
class Result:
    """Measurements of one run; times in seconds.

    Attributes
    ----------
    waits : dict
        Waits of the items first started after the warm-up, by workload.
    overfilled : int
        Starts after which the true usage exceeded the capacity of the host.
    shares : list of tuple
        Time, and the accelerators in use by owner; a task without any counts as 1.
    """

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
    """Simulation of one run of one policy.

    Parameters
    ----------
    policy : object
        A ``Scheduler`` or a baseline.
    run_time : callable
        Returns the true run time of an item in seconds; an item that resumes from a
        checkpoint runs for the remaining time.
    usage : callable
        Returns the true processor (thousandths) and memory (MiB) usage of a member.
    warm : float
        Length of the warm-up in seconds; waits and accelerator time before its end
        are not counted.
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
        self.remaining_s: dict[str, float] = {}
        self.tasks_by_host: dict[str, dict[tuple[str, int], _Task]] = {}
        self.allocated: dict[str, float] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_number = itertools.count()
        self._reports: dict[str, list] = {}
        self.now = 0.0
        for host in cell.hosts():
            policy.add_host(host, 0.0)
            policy.host_event(host.name, "inventory", 0.0)
            self.tasks_by_host[host.name] = {}

    def run(
        self, arrivals: Iterator[Arrival], until: float, sample: float = 0.0
    ) -> Result:
        """Run until a time.

        ``sample`` is the interval in seconds at which ``Result.shares`` is recorded;
        0 records nothing.
        """
        self._push_next_arrival(arrivals)
        self._push_event(TICK_INTERVAL, "tick", None)
        self._push_event(REPORT_INTERVAL, "report", None)
        if sample:
            self._push_event(sample, "sample", sample)
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, data = heapq.heappop(self._events)
            # Calls the _on_* method named by the kind of event.
            getattr(self, f"_on_{kind}")(data)
        self.now = until
        for task in list(self.tasks.values()):
            self._add_accelerator_time(task)
        return self.result

    def _push_event(self, time: float, kind: str, data: Any) -> None:
        heapq.heappush(self._events, (time, next(self._event_number), kind, data))

    def _push_next_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is not None:
            self._push_event(arrival[0], "arrival", (arrival[1], arrivals))

    def _on_arrival(self, data: tuple[Item, Iterator[Arrival]]) -> None:
        item, arrivals = data
        self._push_next_arrival(arrivals)
        self.result.decisions += 1
        self._apply_effects(self.policy.submit(item, self.now))

    def _on_tick(self, _: None) -> None:
        self._push_event(self.now + TICK_INTERVAL, "tick", None)
        self._apply_effects(self.policy.tick(self.now))

    def _on_report(self, _: None) -> None:
        self._push_event(self.now + REPORT_INTERVAL, "report", None)
        reports = {}
        for host, tasks in self.tasks_by_host.items():
            reports[host] = [
                (key[0], key[1], Usage(task.cpu, task.memory))
                for key, task in tasks.items()
                if task.item.workload.kind != "service"
            ]
        self._push_event(self.now + REPORT_LAG, "lagged", reports)

    def _on_lagged(self, reports: dict[str, list]) -> None:
        for host, lines in reports.items():
            if lines:
                self._apply_effects(self.policy.apply_usage(host, lines, self.now))

    def _on_sample(self, every: float) -> None:
        self._push_event(self.now + every, "sample", every)
        self.result.shares.append((self.now, dict(self.allocated)))

    def _on_end(self, task: _Task) -> None:
        if not task.alive or self.now < task.ends_at - 1e-9:
            return
        self._finish_task(task, End.DONE)

    def _finish_task(self, task: _Task, end: End) -> None:
        task.alive = False
        key = (task.item.key, task.member)
        del self.tasks[key]
        del self.tasks_by_host[task.host][key]
        self._update_allocation(task, -1)
        self._add_accelerator_time(task)
        if end is End.CHECKPOINTED:
            self.remaining_s[task.item.key] = max(task.ends_at - self.now, 0.0)
        self.result.decisions += 1
        seconds = self.now - task.began
        usage = Usage(task.cpu, task.memory)
        self._apply_effects(
            self.policy.record_attempt_end(*key, end, self.now, seconds, usage)
        )

    def _add_accelerator_time(self, task: _Task) -> None:
        began = max(task.began, self.warm)
        count = task.item.workload.demand.accelerators
        self.result.accelerator_seconds += max(0.0, self.now - began) * count

    def _update_allocation(self, task: _Task, sign: int) -> None:
        owner = task.item.workload.owner
        amount = task.item.workload.demand.accelerators or 1
        self.allocated[owner] = self.allocated.get(owner, 0.0) + sign * amount

    def _apply_effects(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case StartTask():
                    self._start_tasks(effect)
                case ControlTask():
                    self._control_task(effect)
                case Refused():
                    self.result.refused += 1
                case Finished():
                    name = effect.item.workload.name
                    done = self.result.finished
                    done[name] = done.get(name, 0) + 1
                    self.result.last_finish[name] = self.now

    def _start_tasks(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1 and self.now >= self.warm:
            waits = self.result.waits.setdefault(item.workload.name, [])
            waits.append(self.now - item.enqueued)
        seconds = self.remaining_s.pop(item.key, None)
        if seconds is None:
            seconds = self.run_time(item)
        for member, host in enumerate(effect.hosts):
            cpu, memory = self.usage(item)
            task = _Task(item, member, host, self.now + seconds, cpu, memory, self.now)
            self.tasks[(item.key, member)] = task
            self.tasks_by_host[host][(item.key, member)] = task
            self._update_allocation(task, 1)
            self._check_capacity(host)
            self._push_event(task.ends_at, "end", task)
        self.policy.record_attempt_start(item.key)

    def _check_capacity(self, host: str) -> None:
        tasks = self.tasks_by_host[host].values()
        pool = next(iter(tasks)).item.workload.pool
        host_capacity = self.cell.pools[pool].capacity
        memory = sum(task.memory for task in tasks)
        accelerators = sum(task.item.workload.demand.accelerators for task in tasks)
        full = (
            memory > host_capacity.memory_mib
            or accelerators > host_capacity.accelerators
        )
        if full or len(tasks) > host_capacity.slots:
            self.result.overfilled += 1

    def _control_task(self, effect: ControlTask) -> None:
        task = self.tasks.get((effect.key, effect.member))
        if task is None:
            return
        match effect.action:
            case Control.CHECKPOINT:
                self._push_event(self.now + 0.2, "checkpoint", task)
            case Control.STOP:
                self.result.stopped += 1
                self._push_event(self.now + 0.05, "stop", task)

    def _on_checkpoint(self, task: _Task) -> None:
        if task.alive:
            self._finish_task(task, End.CHECKPOINTED)

    def _on_stop(self, task: _Task) -> None:
        if task.alive:
            self._finish_task(task, End.STOPPED)


def poisson(rng: random.Random, rate: float, until: float) -> Iterator[float]:
    """Yield the arrival instants of a Poisson process; ``rate`` is per second."""
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now > until:
            return
        yield now


def bursts(
    rng: random.Random, rate: float, until: float, every: float, times: float
) -> Iterator[float]:
    """Yield arrival instants with a burst of ``times`` the mean rate in each period.

    A period takes ``every`` seconds, a burst its first tenth. The rate between the
    bursts is lowered, so that the mean stays ``rate`` per second.
    """
    low = rate * (10 - times) / 9
    now = 0.0
    while True:
        burst = now % every < every / 10
        now += rng.expovariate(rate * times if burst else low)
        if now > until:
            return
        yield now
