"""Baseline scheduling policies that the benchmarks compare the scheduler with."""

from __future__ import annotations

import heapq
from collections import deque

from siskinroad.cell import Cell, Host
from siskinroad.effects import Effect, End, Finished, StartTask
from siskinroad.placement import HostIndex, HostView
from siskinroad.queues import Item


class Baseline:
    """Base of the baseline policies: hosts, running items and their resources.

    It has the interface of ``Scheduler``. It takes the declared demands as
    the usage: usage reports, host events and ticks change nothing.
    """

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.indexes: dict[str, HostIndex] = {}
        self.hosts: dict[str, tuple[HostIndex, HostView]] = {}
        self.running: dict[str, tuple[Item, list[HostView]]] = {}

    def add_host(self, host: Host, now: float) -> None:
        pool = self.cell.pools[host.pool]
        index = self.indexes.setdefault(host.pool, HostIndex(pool.capacity))
        view = HostView(host.name, host.rack, pool.capacity, is_open=True)
        index.add(view)
        self.hosts[host.name] = (index, view)

    def host_event(self, name: str, event: str, now: float) -> list[Effect]:
        return []

    def apply_usage(self, host: str, reports: list, now: float) -> list[Effect]:
        return []

    def tick(self, now: float) -> list[Effect]:
        return []

    def record_attempt_start(self, key: str) -> None:
        return None

    def start_item(self, item: Item, views: list[HostView], now: float) -> StartTask:
        index = self.indexes[item.workload.pool]
        for member, view in enumerate(views):
            task = f"{item.key}~{member}"
            index.allocate(view, task, item.workload.demand, item.workload.name)
        item.state = "running"
        item.started = now
        item.tries += 1
        self.running[item.key] = (item, views)
        return StartTask(item, f"{item.key}#{item.tries}", [v.name for v in views])

    def record_attempt_end(
        self, key: str, member: int, end: End, now: float, *details: object
    ) -> list[Effect]:
        item, views = self.running[key]
        index = self.indexes[item.workload.pool]
        index.release(views[member], f"{key}~{member}", item.workload.name)
        member_tasks = [f"{key}~{m}" for m in range(item.workload.size)]
        if any(task in views[m].tasks for m, task in enumerate(member_tasks)):
            return list(self.dispatch(now))
        del self.running[key]
        return [Finished(item, end), *self.dispatch(now)]

    def dispatch(self, now: float) -> list[StartTask]:
        raise NotImplementedError


class FirstCome(Baseline):
    """Policy that starts items by arrival, on the first host with enough capacity."""

    def __init__(self, cell: Cell) -> None:
        super().__init__(cell)
        self.queues: dict[str, deque[Item]] = {}

    def submit(self, item: Item, now: float) -> list[Effect]:
        self.queues.setdefault(item.workload.pool, deque()).append(item)
        return list(self.dispatch(now))

    def dispatch(self, now: float) -> list[StartTask]:
        started = []
        for pool, queue in self.queues.items():
            while queue:
                views = self._find_first_fit(pool, queue[0])
                if views is None:
                    break
                started.append(self.start_item(queue.popleft(), views, now))
        return started

    def _find_first_fit(self, pool: str, item: Item) -> list[HostView] | None:
        views: list[HostView] = []
        need = item.workload.demand
        for view in self.indexes[pool].hosts.values():
            member_count = min(
                view.count_fitting(need), item.workload.size - len(views)
            )
            views += [view] * member_count
            if len(views) == item.workload.size:
                return views
        return None


class StrictPriority(Baseline):
    """Policy that starts items by urgency, then arrival, on the best-fitting host."""

    def __init__(self, cell: Cell) -> None:
        super().__init__(cell)
        self.queues: dict[str, list[tuple[int, int, Item]]] = {}
        self.arrival_count = 0

    def submit(self, item: Item, now: float) -> list[Effect]:
        self.arrival_count += 1
        queue = self.queues.setdefault(item.workload.pool, [])
        heapq.heappush(queue, (int(item.workload.urgency), self.arrival_count, item))
        return list(self.dispatch(now))

    def dispatch(self, now: float) -> list[StartTask]:
        started = []
        for pool, queue in self.queues.items():
            index = self.indexes[pool]
            while queue:
                item = queue[0][2]
                need = item.workload.demand
                if item.workload.size > 1:
                    parts = index.place_gang(need, item.workload.size, set(), set())
                    views = [v for v, n in parts for _ in range(n)] if parts else None
                else:
                    view = index.best_fit(need, set(), set())
                    views = [view] if view else None
                if not views:
                    break
                heapq.heappop(queue)
                started.append(self.start_item(item, views, now))
        return started
