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

# Seconds between usage reports of a host.
REPORT_INTERVAL_S = 2.0
# Seconds until a usage report reaches the policy.
REPORT_DELAY_S = 2.0
# Seconds between ticks of the policy.
TICK_INTERVAL_S = 0.25

# Arrival time in seconds, and the item that arrives.
Arrival = tuple[float, Item]


@dataclass
class _Task:
    """Running member of an item; times in seconds.

    ``cpu`` is in thousandths of a processor, ``memory`` in MiB.
    """

    item: Item
    member: int
    host: str
    ends_at: float
    cpu: int
    memory: int
    started_at: float
    is_running: bool = True
    throttled: bool = False


@dataclass
class RunResult:
    """Measurements of one run; times in seconds.

    Attributes
    ----------
    waits : dict
        Waits of the items first started after the warm-up, by workload.
    overfilled : int
        Starts after which the true usage exceeded the capacity of the host.
    shares : list of tuple
        Time, and the number of accelerators in use by owner; a task that needs none
        counts as 1.
    """

    waits: dict[str, list[float]] = field(default_factory=dict)
    finished: dict[str, int] = field(default_factory=dict)
    last_finish_s: dict[str, float] = field(default_factory=dict)
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
        Returns the true run time of an item in seconds. An item that resumes
        from a checkpoint runs for the remaining time instead.
    usage : callable
        Returns the true processor (thousandths) and memory (MiB) usage of a member.
    warm_up_s : float
        Length of the warm-up in seconds; waits and accelerator time before its end
        are not counted.
    """

    def __init__(
        self,
        policy: Any,
        cell: Cell,
        run_time: Callable[[Item], float],
        usage: Callable[[Item], tuple[int, int]],
        warm_up_s: float = 0.0,
    ) -> None:
        self.policy = policy
        self.cell = cell
        self.run_time = run_time
        self.usage = usage
        self.warm_up_s = warm_up_s
        self.result = RunResult()
        self.tasks: dict[tuple[str, int], _Task] = {}
        self.remaining_s: dict[str, float] = {}
        self.tasks_by_host: dict[str, dict[tuple[str, int], _Task]] = {}
        self.allocated: dict[str, float] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_numbers = itertools.count()
        self._reports: dict[str, list] = {}
        self.now = 0.0
        for host in cell.hosts():
            policy.add_host(host, 0.0)
            policy.host_event(host.name, "inventory", 0.0)
            self.tasks_by_host[host.name] = {}

    def run(
        self, arrivals: Iterator[Arrival], until: float, sample_interval_s: float = 0.0
    ) -> RunResult:
        """Run from time 0 until ``until``, in seconds.

        ``sample_interval_s`` is the interval in seconds at which ``shares`` of the
        result are recorded; 0 records none.
        """
        self._push_next_arrival(arrivals)
        self._push_event(TICK_INTERVAL_S, "tick", None)
        self._push_event(REPORT_INTERVAL_S, "report", None)
        if sample_interval_s:
            self._push_event(sample_interval_s, "sample", sample_interval_s)
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, data = heapq.heappop(self._events)
            # Calls the _on_* method named by the kind of event.
            getattr(self, f"_on_{kind}")(data)
        self.now = until
        for task in list(self.tasks.values()):
            self._add_accelerator_time(task)
        return self.result

    def _push_event(self, time: float, kind: str, data: Any) -> None:
        heapq.heappush(self._events, (time, next(self._event_numbers), kind, data))

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
        self._push_event(self.now + TICK_INTERVAL_S, "tick", None)
        self._apply_effects(self.policy.tick(self.now))

    def _on_report(self, _: None) -> None:
        self._push_event(self.now + REPORT_INTERVAL_S, "report", None)
        reports = {}
        for host, tasks in self.tasks_by_host.items():
            reports[host] = [
                (key[0], key[1], Usage(task.cpu, task.memory))
                for key, task in tasks.items()
                if task.item.workload.kind != "service"
            ]
        self._push_event(self.now + REPORT_DELAY_S, "lagged", reports)

    def _on_lagged(self, reports: dict[str, list]) -> None:
        for host, lines in reports.items():
            if lines:
                self._apply_effects(self.policy.apply_usage(host, lines, self.now))

    def _on_sample(self, interval_s: float) -> None:
        self._push_event(self.now + interval_s, "sample", interval_s)
        self.result.shares.append((self.now, dict(self.allocated)))

    def _on_end(self, task: _Task) -> None:
        if not task.is_running or self.now < task.ends_at - 1e-9:
            return
        self._finish_task(task, End.DONE)

    def _finish_task(self, task: _Task, end: End) -> None:
        task.is_running = False
        key = (task.item.key, task.member)
        del self.tasks[key]
        del self.tasks_by_host[task.host][key]
        self._update_allocation(task, -1)
        self._add_accelerator_time(task)
        if end is End.CHECKPOINTED:
            self.remaining_s[task.item.key] = max(task.ends_at - self.now, 0.0)
        self.result.decisions += 1
        elapsed_s = self.now - task.started_at
        usage = Usage(task.cpu, task.memory)
        self._apply_effects(
            self.policy.record_attempt_end(*key, end, self.now, elapsed_s, usage)
        )

    def _add_accelerator_time(self, task: _Task) -> None:
        started_at = max(task.started_at, self.warm_up_s)
        count = task.item.workload.demand.accelerators
        self.result.accelerator_seconds += max(0.0, self.now - started_at) * count

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
                    self.result.last_finish_s[name] = self.now

    def _start_tasks(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1 and self.now >= self.warm_up_s:
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
        is_overfilled = (
            memory > host_capacity.memory_mib
            or accelerators > host_capacity.accelerators
        )
        if is_overfilled or len(tasks) > host_capacity.slots:
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
        if task.is_running:
            self._finish_task(task, End.CHECKPOINTED)

    def _on_stop(self, task: _Task) -> None:
        if task.is_running:
            self._finish_task(task, End.STOPPED)


def generate_poisson_arrivals(
    rng: random.Random, rate: float, until: float
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process; ``rate`` is per second."""
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now > until:
            return
        yield now


def generate_bursty_arrivals(
    rng: random.Random, rate: float, until: float, period_s: float, burst_factor: float
) -> Iterator[float]:
    """Yield arrival times with one burst per period, in seconds.

    A period takes ``period_s`` seconds, and the burst is its first tenth, with
    ``burst_factor`` times the mean rate. The rate between the bursts is lowered, so
    that the mean stays ``rate`` per second.
    """
    base_rate = rate * (10 - burst_factor) / 9
    now = 0.0
    while True:
        is_burst = now % period_s < period_s / 10
        now += rng.expovariate(rate * burst_factor if is_burst else base_rate)
        if now > until:
            return
        yield now
