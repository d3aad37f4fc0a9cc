"""Dispatcher: selects the next waiting item and its hosts."""

from __future__ import annotations

from siskinroad.attempts import Attempts
from siskinroad.cell import Urgency, Workload
from siskinroad.effects import StartTask
from siskinroad.gangs import Reservation, plan_reservation
from siskinroad.names import split_task
from siskinroad.placement import HostView
from siskinroad.queues import Item, Lane
from siskinroad.resources import Resources
from siskinroad.shard import PoolState, Shard

__all__ = ["Dispatcher", "blocked_reason"]

# Seconds after which a reservation is planned again, so that it follows changed
# estimates of when the running tasks end.
RESERVATION_REFRESH_INTERVAL = 5.0
# Minimum seconds between two attempts to plan a new reservation in a pool. Planning
# visits all tasks of many hosts, so a smaller value costs processor time.
MIN_PLAN_INTERVAL = 1.0
# Largest fraction of a pool's hosts reserved at one time. A larger value leaves too
# few hosts for small work.
MAX_RESERVED_FRACTION = 0.5
# Seconds of waiting after which an item may reserve more than
# ``MAX_RESERVED_FRACTION`` of the hosts, so that a large gang is not starved.
AGED_WAIT_TIME = 120.0
# Expected remaining run time of an overdue task, as a fraction of the time that it
# has run.
OVERDUE_FRACTION = 0.6
# Blocked lanes that are tried again in one tick; it bounds the cost of a tick.
MAX_UNBLOCKED_LANES = 8
# Largest fraction of a pool's slots kept free for urgent work. A larger value could
# keep other work from starting at all.
MAX_HEADROOM_FRACTION = 0.5


class Dispatcher:
    """Starts waiting work on the hosts of a shard.

    Parameters
    ----------
    shard : Shard
        The shard's state.
    attempts : Attempts
        Starts the attempts of the selected items.
    """

    def __init__(self, shard: Shard, attempts: Attempts) -> None:
        self.shard = shard
        self.attempts = attempts
        self.requests_only = False
        self._unblock_offset = 0

    def dispatch(self, now: float) -> list[StartTask]:
        """Start all waiting work that may start now, in order."""
        started: list[StartTask] = []
        while True:
            lane = self._next_lane(now)
            if lane is None:
                return started
            effect = self._start_head(lane, now)
            if effect is None:
                lane.is_blocked = True
            else:
                started.append(effect)

    def _next_lane(self, now: float) -> Lane | None:
        lanes = self.shard.waiting.first_unblocked(now)
        if len(lanes) <= 1:
            return lanes[0] if lanes else None
        return min(lanes, key=lambda lane: self._rank(lane, now))

    def _rank(self, lane: Lane, now: float) -> tuple[float, float]:
        head = lane.head()
        enqueued = head.enqueued if head else now
        return self.shard.shares.rank(lane.workload.owner, now), enqueued

    def fill_host(self, view: HostView, now: float) -> list[StartTask]:
        """Start waiting work on one host that has gained free capacity.

        Each start ranks the lanes once and considers this host only, so the cost
        does not grow with the number of hosts or of waiting items.
        """
        started: list[StartTask] = []
        while view.is_open and view.slots > 0:
            effect = self._fill_once(view, now)
            if effect is None:
                break
            started.append(effect)
        return started

    def _fill_once(self, view: HostView, now: float) -> StartTask | None:
        fitting = self._fitting_lanes(view, now)
        for urgency in Urgency:
            lanes = fitting[urgency]
            if len(lanes) > 1:
                lanes.sort(key=lambda lane: self._rank(lane, now))
            for lane in lanes:
                effect = self._start_head(lane, now, view)
                if effect is not None:
                    return effect
        return None

    def _fitting_lanes(self, view: HostView, now: float) -> dict[Urgency, list[Lane]]:
        """Return the lanes whose head fits on the host, by current urgency class."""
        pool = self.shard.pool_of[view.name]
        state = self.shard.pools[pool]
        fitting: dict[Urgency, list[Lane]] = {urgency: [] for urgency in Urgency}
        for urgency, lanes in self.shard.waiting.active.items():
            is_background = urgency is Urgency.BACKGROUND
            for lane in lanes.values():
                if lane.workload.pool == pool and self._fits_on(state, lane, view):
                    fitting[lane.urgency(now) if is_background else urgency].append(
                        lane
                    )
        return fitting

    def _start_head(
        self, lane: Lane, now: float, only_host: HostView | None = None
    ) -> StartTask | None:
        item = lane.head()
        assert item is not None
        workload = item.workload
        state = self.shard.pools.get(workload.pool)
        if state is None or (self.requests_only and workload.kind != "service"):
            return None
        need = self.shard.estimates.allocation(workload, state.pool.capacity)
        total_need = need.times(workload.size)
        if not self.shard.shares.within_quota(workload.owner, total_need):
            return None
        if not self._leaves_headroom(state, workload, total_need, now):
            return None
        hosts = self._choose_hosts(state, item, need, now, only_host)
        if hosts is None and only_host is None and _forget_avoided(state, item):
            hosts = self._choose_hosts(state, item, need, now, None)
        if hosts is None:
            if only_host is None:
                self._reserve_hosts(state, item, need, now)
            return None
        self.shard.waiting.pop_head(lane)
        lane.count_start(now)
        state.reservations.pop(item.key, None)
        return self.attempts.start_attempt(item, hosts, need, now)

    def _leaves_headroom(
        self, state: PoolState, workload: Workload, total_need: Resources, now: float
    ) -> bool:
        reserved_tasks = state.headroom.reserved_tasks(workload.urgency, now)
        if not reserved_tasks:
            return True
        slots = state.pool.capacity.slots * len(state.index.hosts)
        reserved_tasks = min(reserved_tasks, int(slots * MAX_HEADROOM_FRACTION))
        urgent_demand = state.urgent_need
        index = state.index
        return (
            index.free_slots - total_need.slots >= reserved_tasks * urgent_demand.slots
            and index.free_cpu - total_need.cpu_milli
            >= reserved_tasks * urgent_demand.cpu_milli
            and index.free_memory - total_need.memory_mib
            >= reserved_tasks * urgent_demand.memory_mib
            and index.free_accelerators - total_need.accelerators
            >= reserved_tasks * urgent_demand.accelerators
        )

    def _choose_hosts(
        self,
        state: PoolState,
        item: Item,
        need: Resources,
        now: float,
        only_host: HostView | None,
    ) -> list[HostView] | None:
        reserved = self._reserved_for_others(state, item, now)
        workload = item.workload
        if only_host is not None and workload.size == 1:
            is_excluded = only_host.name in reserved or only_host.name in item.avoid
            return None if is_excluded else [only_host]
        if workload.size > 1:
            parts = state.index.place_gang(need, workload.size, item.avoid, reserved)
            if parts is None:
                return None
            return [view for view, count in parts for _ in range(count)]
        if (
            workload.kind == "service" and not workload.demand.accelerators
        ) or workload.long_running:
            view = state.index.least_loaded(need, item.avoid, reserved, workload.name)
        else:
            view = state.index.best_fit(need, item.avoid, reserved)
        return None if view is None else [view]

    def _reserved_for_others(
        self, state: PoolState, item: Item, now: float
    ) -> set[str]:
        """Return the hosts reserved for other items that the item would delay."""
        self._drop_stale_reservations(state)
        if not state.reservations or item.workload.urgency is Urgency.URGENT:
            return set()
        expected_end = now + self.shard.estimates.run_time(item.workload)
        reserved: set[str] = set()
        for key, reservation in state.reservations.items():
            if key != item.key and not reservation.admits(expected_end):
                reserved |= reservation.hosts
        return reserved

    def _reserve_hosts(
        self, state: PoolState, item: Item, need: Resources, now: float
    ) -> None:
        """Reserve hosts for an item that does not fit, if a reservation is due."""
        if item.workload.kind == "service" or not self._may_reserve(state, item, now):
            return
        state.last_planned = now
        state.reservations.pop(item.key, None)
        reserved = self._reserved_hosts(state)
        hosts = [
            view
            for view in state.index.hosts.values()
            if view.is_open
            and view.name not in item.avoid
            and view.name not in reserved
        ]
        size = item.workload.size
        plan = plan_reservation(
            item.key, need, size, hosts, lambda task: self._expected_end(task, now), now
        )
        is_aged = now - item.enqueued > AGED_WAIT_TIME
        reserved_count = len(reserved) + len(plan.hosts) if plan is not None else 0
        if plan is not None and (
            is_aged or self._leaves_enough_unreserved(state, reserved_count)
        ):
            state.reservations[item.key] = plan

    def _drop_stale_reservations(self, state: PoolState) -> None:
        """Remove reservations of items that are no longer the head of their lane.

        Only the head of a lane is tried. The reservation of an item that failed and
        waits behind others again would never be used and would block its hosts
        indefinitely.
        """
        for key in list(state.reservations):
            holder = self.shard.items.get(key)
            lane = self.shard.waiting.lane(holder.workload) if holder else None
            if lane is None or lane.head() is not holder:
                del state.reservations[key]

    def _reserved_hosts(self, state: PoolState) -> set[str]:
        names: set[str] = set()
        for reservation in state.reservations.values():
            names |= reservation.hosts
        return names

    def _leaves_enough_unreserved(self, state: PoolState, reserved_count: int) -> bool:
        if not state.reservations:
            return True
        return reserved_count <= len(state.index.hosts) * MAX_RESERVED_FRACTION

    def _may_reserve(self, state: PoolState, item: Item, now: float) -> bool:
        reservation = state.reservations.get(item.key)
        if reservation is not None:
            return now - reservation.planned_at >= RESERVATION_REFRESH_INTERVAL
        return now - state.last_planned >= MIN_PLAN_INTERVAL

    def _expected_end(self, task: str, now: float) -> float:
        """Return the loop time at which a task is expected to end.

        Run times have a long tail, so an overdue task is expected to run on for a
        fraction of the time that it has run.
        """
        run = self.shard.running.get(split_task(task)[0])
        if run is None:
            return now
        return max(run.expected_end, now + (now - run.started) * OVERDUE_FRACTION)

    def _fits_on(self, state: PoolState, lane: Lane, view: HostView) -> bool:
        workload = lane.workload
        need = self.shard.estimates.allocation(workload, state.pool.capacity)
        if not view.fits(need):
            return False
        if workload.size == 1:
            return True
        head = lane.head()
        reservation = state.reservations.get(head.key) if head is not None else None
        if reservation is not None and view.name in reservation.hosts:
            return self._reservation_fits(state, reservation, need, workload.size)
        return view.count_fitting(need) >= workload.size

    def _reservation_fits(
        self, state: PoolState, reservation: Reservation, need: Resources, size: int
    ) -> bool:
        hosts = state.index.hosts
        fitting = sum(
            hosts[name].count_fitting(need)
            for name in reservation.hosts
            if name in hosts
        )
        return fitting >= size

    def unblock_all(self) -> None:
        """Mark every lane as unblocked, so that it is tried again."""
        for lanes in self.shard.waiting.active.values():
            for lane in lanes.values():
                lane.is_blocked = False

    def unblock_some(self) -> None:
        """Unblock a few lanes, a different group on each call.

        This finds capacity that becomes available without the end of a task: a
        changed headroom or quota, or a reservation that has been removed.
        """
        blocked = [
            lane
            for lanes in self.shard.waiting.active.values()
            for lane in lanes.values()
            if lane.is_blocked
        ]
        for step in range(min(MAX_UNBLOCKED_LANES, len(blocked))):
            blocked[(self._unblock_offset + step) % len(blocked)].is_blocked = False
        self._unblock_offset += MAX_UNBLOCKED_LANES


def _forget_avoided(state: PoolState, item: Item) -> bool:
    """Let an item use all hosts again if it avoids every open one.

    Otherwise it would block its lane until another host opens.
    """
    open_names = {view.name for view in state.index.hosts.values() if view.is_open}
    if not open_names or not open_names <= item.avoid:
        return False
    item.avoid.clear()
    return True


def blocked_reason(shard: Shard, item: Item) -> str:
    """Return the reason for which an item waits, as a clause."""
    workload = item.workload
    state = shard.pools.get(workload.pool)
    if state is None:
        return f"no host of {workload.pool} belongs to this shard"
    need = shard.estimates.allocation(workload, state.pool.capacity)
    total_need = need.times(workload.size)
    if not shard.shares.within_quota(workload.owner, total_need):
        return f"{workload.owner} has used up its quota"
    open_hosts = [view for view in state.index.hosts.values() if view.is_open]
    if not open_hosts:
        return f"no host of {workload.pool} accepts new work"
    fitting = sum(view.count_fitting(need) for view in open_hosts)
    if fitting < workload.size:
        return f"room for {fitting} of {workload.size} on {len(open_hosts)} hosts"
    others = [key for key in state.reservations if key != item.key]
    if others:
        return f"hosts are reserved for {', '.join(others)}"
    if workload.urgency is not Urgency.URGENT:
        return "other work ranks first, or capacity is kept free for urgent work"
    return "it starts next"
