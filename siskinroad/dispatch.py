"""Which waiting item starts next, and where."""

from __future__ import annotations

from siskinroad.attempts import Attempts
from siskinroad.cell import Urgency, Workload
from siskinroad.effects import StartTask
from siskinroad.gangs import Reservation, plan_reservation
from siskinroad.placement import HostView
from siskinroad.queues import Item, Lane
from siskinroad.resources import Resources
from siskinroad.shard import PoolState, Shard

__all__ = ["Dispatcher", "blocked_reason"]

RESERVATION_TIME = 5.0
HEADROOM_PART = 0.5
MAX_UNKNOWN = 1


class Dispatcher:
    """Starts waiting work on the hosts of a shard.

    Parameters
    ----------
    shard : Shard
        The shard's state.
    attempts : Attempts
        Begins what is chosen here.
    """

    def __init__(self, shard: Shard, attempts: Attempts) -> None:
        self.shard = shard
        self.attempts = attempts

    def dispatch(self, now: float) -> list[StartTask]:
        """Start everything that may start now, in order."""
        started: list[StartTask] = []
        while True:
            lane = self._next_lane(now)
            if lane is None:
                return started
            effect = self._try_lane(lane, now)
            if effect is None:
                lane.blocked = True
            else:
                started.append(effect)

    def _next_lane(self, now: float) -> Lane | None:
        for lanes in self.shard.waiting.in_order(now):
            if len(lanes) == 1:
                return lanes[0]
            return min(lanes, key=lambda lane: self._rank(lane, now))
        return None

    def _rank(self, lane: Lane, now: float) -> tuple[float, float]:
        head = lane.head()
        enqueued = head.enqueued if head else now
        return self.shard.shares.rank(lane.workload.owner, now), enqueued

    def _try_lane(self, lane: Lane, now: float) -> StartTask | None:
        item = lane.head()
        assert item is not None
        workload = item.workload
        state = self.shard.pools.get(workload.pool)
        if state is None:
            return None
        need = self.shard.estimates.reserve(workload, state.pool.capacity)
        whole = need.times(workload.size)
        if not self.shard.shares.within_quota(workload.owner, whole):
            return None
        if not self._leaves_headroom(state, workload, whole, now):
            return None
        places = self._places(state, item, need, now)
        if places is None:
            self._reserve(state, item, need, now)
            return None
        self.shard.waiting.take(lane)
        lane.count_start(now)
        if state.reservation is not None and state.reservation.key == item.key:
            state.reservation = None
        return self.attempts.begin(item, places, need, now)

    def _leaves_headroom(
        self, state: PoolState, workload: Workload, need: Resources, now: float
    ) -> bool:
        keep = state.headroom.keep(workload.urgency, now)
        if not keep:
            return True
        slots = state.pool.capacity.slots * len(state.index.hosts)
        keep = min(keep, int(slots * HEADROOM_PART))
        urgent = state.urgent_need
        index = state.index
        return (
            index.free_slots - need.slots >= keep * urgent.slots
            and index.free_cpu - need.cpu_milli >= keep * urgent.cpu_milli
            and index.free_memory - need.memory_mib >= keep * urgent.memory_mib
            and index.free_accelerators - need.accelerators
            >= keep * urgent.accelerators
        )

    def _places(
        self, state: PoolState, item: Item, need: Resources, now: float
    ) -> list[HostView] | None:
        closed = self._closed(state, item, now)
        workload = item.workload
        if workload.size > 1:
            parts = state.index.whole(need, workload.size, item.avoid, closed)
            if parts is None:
                return None
            return [view for view, count in parts for _ in range(count)]
        if (
            workload.kind == "service" and not workload.demand.accelerators
        ) or workload.long_running:
            view = state.index.widest(need, item.avoid, closed, workload.name)
        else:
            view = state.index.tightest(need, item.avoid, closed)
        return None if view is None else [view]

    def _closed(self, state: PoolState, item: Item, now: float) -> set[str]:
        held = state.reservation
        if held is None or held.key == item.key:
            return set()
        if item.workload.urgency is Urgency.URGENT:
            return set()
        ends = now + self.shard.estimates.run_time(item.workload)
        return set() if held.admits(ends) else held.hosts

    def _reserve(
        self, state: PoolState, item: Item, need: Resources, now: float
    ) -> None:
        if item.workload.kind == "service" or not self._may_reserve(state, item, now):
            return
        state.planned = now
        hosts = [
            view
            for view in state.index.hosts.values()
            if view.open and view.name not in item.avoid
        ]
        state.reservation = plan_reservation(
            item.key, need, item.workload.size, hosts, self._ends, now
        )

    def _may_reserve(self, state: PoolState, item: Item, now: float) -> bool:
        held = state.reservation
        if held is None:
            return now - state.planned >= 1.0
        holder = self.shard.items.get(held.key)
        if holder is None or holder.state != "waiting":
            return True
        return held.key == item.key and now - held.made >= RESERVATION_TIME

    def _ends(self, task: str) -> float:
        run = self.shard.running.get(task.rpartition("~")[0])
        return run.ends if run is not None else 0.0

    def unblock(self, view: HostView) -> None:
        """Let the lanes be tried again whose head the host could take."""
        pool = self.shard.pool_of[view.name]
        state = self.shard.pools[pool]
        for lanes in self.shard.waiting.active.values():
            for lane in lanes.values():
                if lane.blocked and lane.workload.pool == pool:
                    lane.blocked = not self._could_take(state, lane, view)

    def _could_take(self, state: PoolState, lane: Lane, view: HostView) -> bool:
        workload = lane.workload
        need = self.shard.estimates.reserve(workload, state.pool.capacity)
        if not view.fits(need):
            return False
        if workload.size == 1:
            return True
        held = state.reservation
        if held is not None and view.name in held.hosts:
            head = lane.head()
            if head is not None and head.key == held.key:
                return self._reservation_fits(state, held, need, workload.size)
        return view.count(need) >= workload.size

    def _reservation_fits(
        self, state: PoolState, held: Reservation, need: Resources, size: int
    ) -> bool:
        hosts = state.index.hosts
        room = sum(hosts[name].count(need) for name in held.hosts if name in hosts)
        return room >= size

    def unblock_all(self) -> None:
        """Let every lane be tried again."""
        for lanes in self.shard.waiting.active.values():
            for lane in lanes.values():
                lane.blocked = False


def blocked_reason(shard: Shard, item: Item) -> str:
    """Return in a clause why an item waits."""
    workload = item.workload
    state = shard.pools.get(workload.pool)
    if state is None:
        return f"no host of {workload.pool} belongs to this shard"
    need = shard.estimates.reserve(workload, state.pool.capacity)
    whole = need.times(workload.size)
    if not shard.shares.within_quota(workload.owner, whole):
        return f"{workload.owner} is at its quota"
    opened = [view for view in state.index.hosts.values() if view.open]
    if not opened:
        return f"no host of {workload.pool} is open"
    room = sum(view.count(need) for view in opened)
    if room < workload.size:
        return f"room for {room} of {workload.size} on {len(opened)} hosts"
    held = state.reservation
    if held is not None and held.key != item.key:
        return f"hosts are held for {held.key}"
    if workload.urgency is not Urgency.URGENT:
        return "others come first, or room is kept for urgent work"
    return "it is next"
