"""Reasons for which work waits, and summaries of the waits of one shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from siskinroad.queues import Item, Lane
from siskinroad.scheduler import Scheduler
from siskinroad.shard import PoolState

__all__ = [
    "WaitCause",
    "WaitReason",
    "WaitSummary",
    "find_long_waits",
    "find_wait_cause",
    "sum_up_waits",
]


class WaitReason(StrEnum):
    """Reason for which a request, task or gang is not placed.

    An item has one reason at a time: the first that holds, in this order.
    """

    SILENT_HOSTS = "silent_hosts"
    STALE_EPOCH = "stale_epoch"
    OWNERSHIP_UNCERTAIN = "ownership_uncertain"
    TASKS_SUSPENDED = "tasks_suspended"
    BACKOFF = "backoff"
    NO_POOL = "no_pool"
    NEVER_FITS = "never_fits"
    QUOTA = "quota"
    NO_OPEN_HOST = "no_open_host"
    NO_CAPACITY = "no_capacity"
    HOSTS_AVOIDED = "hosts_avoided"
    HOSTS_RESERVED = "hosts_reserved"
    HEADROOM = "headroom"
    BEHIND_HEAD = "behind_head"
    NEXT_PASS = "next_pass"


@dataclass(slots=True, frozen=True)
class WaitCause:
    """Reason for a wait with the values that decided it.

    Attributes
    ----------
    text : str
        The reason as a clause, for operators.
    inputs : dict of str to object
        Values that decided it; those that end in ``_s`` are times in seconds.
    """

    reason: WaitReason
    text: str
    inputs: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class WaitSummary:
    """Number of items that wait for one reason and the longest wait in seconds."""

    count: int = 0
    longest_s: float = 0.0

    def add(self, count: int, longest_s: float) -> None:
        """Add items of which one has waited for ``longest_s``."""
        self.count += count
        self.longest_s = max(self.longest_s, longest_s)


def find_wait_cause(scheduler: Scheduler, item: Item, now: float) -> WaitCause:
    """Return why a waiting item is not placed."""
    workload = item.workload
    if scheduler.is_paused:
        text = "it is uncertain whether this daemon still owns the hosts"
        return WaitCause(WaitReason.OWNERSHIP_UNCERTAIN, text)
    if scheduler.requests_only and workload.kind != "service":
        text = "tasks are not started until ownership of the hosts is certain"
        return WaitCause(WaitReason.TASKS_SUSPENDED, text)
    if item.backoff_until > 0:
        left_s = item.backoff_until - now
        text = f"it failed and will be retried in {left_s:.1f} s"
        inputs: dict[str, object] = {"left_s": round(left_s, 3), "tries": item.tries}
        return WaitCause(WaitReason.BACKOFF, text, inputs)
    state = scheduler.shard.pools.get(workload.pool)
    if state is None:
        text = f"no host of {workload.pool} belongs to this shard"
        return WaitCause(WaitReason.NO_POOL, text, {"pool": workload.pool})
    never = scheduler.never_runnable_reason(workload)
    if never:
        return WaitCause(WaitReason.NEVER_FITS, never)
    return _find_capacity_cause(scheduler, state, item, now)


def _find_capacity_cause(
    scheduler: Scheduler, state: PoolState, item: Item, now: float
) -> WaitCause:
    workload = item.workload
    shard = scheduler.shard
    need = shard.allocation(workload, state)
    total_need = need.times(workload.size)
    if not shard.shares.within_quota(workload.owner, total_need):
        return _make_quota_cause(scheduler, workload.owner)
    free = {
        view.name: view.count_fitting(need)
        for view in state.index.hosts.values()
        if view.is_open
    }
    inputs: dict[str, object] = {
        "open_hosts": len(free),
        "hosts": len(state.index.hosts),
    }
    if not free:
        text = f"no host of {workload.pool} accepts new work"
        return WaitCause(WaitReason.NO_OPEN_HOST, text, inputs)
    fitting = sum(free.values())
    inputs |= {"fitting": fitting, "size": workload.size}
    if fitting < workload.size:
        text = f"room for {fitting} of {workload.size} on {len(free)} hosts"
        return WaitCause(WaitReason.NO_CAPACITY, text, inputs)
    cause = _find_exclusion(scheduler, state, item, free, now)
    if cause is not None:
        return cause
    if not scheduler.dispatcher.leaves_headroom(state, item, total_need, now):
        text = "capacity is kept free for urgent work"
        return WaitCause(WaitReason.HEADROOM, text, inputs)
    if shard.waiting.lane(workload).head() is not item:
        return WaitCause(WaitReason.BEHIND_HEAD, "others of its queue are first")
    return WaitCause(WaitReason.NEXT_PASS, "it starts next", inputs)


def _make_quota_cause(scheduler: Scheduler, owner: str) -> WaitCause:
    held = scheduler.shard.shares.held(owner)
    inputs: dict[str, object] = {
        "held_cpu_milli": held.cpu_milli,
        "held_memory_mib": held.memory_mib,
        "held_accelerators": held.accelerators,
    }
    return WaitCause(WaitReason.QUOTA, f"{owner} has used up its quota", inputs)


def _find_exclusion(
    scheduler: Scheduler,
    state: PoolState,
    item: Item,
    free: dict[str, int],
    now: float,
) -> WaitCause | None:
    """Return the cause if an item would fit but for hosts that it may not use."""
    size = item.workload.size
    avoided = item.avoided_hosts(now)
    if _count_fitting(free, avoided) < size:
        text = f"it failed on {len(avoided)} hosts and avoids them"
        left_s = max(item.avoid[host] for host in avoided) - now
        inputs: dict[str, object] = {
            "avoided_hosts": len(avoided),
            "left_s": round(left_s, 3),
        }
        return WaitCause(WaitReason.HOSTS_AVOIDED, text, inputs)
    reserved = scheduler.dispatcher.reserved_for_others(state, item, now)
    if _count_fitting(free, avoided | reserved) < size:
        others = [x for key, x in state.reservations.items() if key != item.key]
        text = f"hosts are reserved for {', '.join(x.key for x in others)}"
        planned_s = now - min(x.planned_at for x in others)
        inputs = {"reserved_hosts": len(reserved), "planned_s": round(planned_s, 3)}
        return WaitCause(WaitReason.HOSTS_RESERVED, text, inputs)
    return None


def _count_fitting(free: dict[str, int], excluded: set[str]) -> int:
    return sum(count for host, count in free.items() if host not in excluded)


def sum_up_waits(scheduler: Scheduler, now: float) -> dict[WaitReason, WaitSummary]:
    """Return the waits of a shard by reason.

    All items of a lane need the same, so those behind its head wait for what the
    head waits for.
    """
    summaries: dict[WaitReason, WaitSummary] = {}
    for lane in scheduler.shard.waiting.lanes.values():
        head = lane.head()
        if head is not None:
            reason = find_wait_cause(scheduler, head, now).reason
            longest_s = now - _oldest_item(lane).waiting_since
            summaries.setdefault(reason, WaitSummary()).add(lane.live, longest_s)
    for item in scheduler.attempts.backing_off:
        reason = find_wait_cause(scheduler, item, now).reason
        longest_s = now - item.waiting_since
        summaries.setdefault(reason, WaitSummary()).add(1, longest_s)
    return summaries


def find_long_waits(scheduler: Scheduler, now: float, limit_s: float) -> list[Item]:
    """Return items that have waited longer than ``limit_s``, longest wait first.

    The list has the longest waiting item of each workload.
    """
    oldest: dict[str, Item] = {}
    lanes = [lane for lane in scheduler.shard.waiting.lanes.values() if lane.head()]
    for item in [*map(_oldest_item, lanes), *scheduler.attempts.backing_off]:
        known = oldest.get(item.workload.name)
        if known is None or item.waiting_since < known.waiting_since:
            oldest[item.workload.name] = item
    items = [x for x in oldest.values() if now - x.waiting_since > limit_s]
    return sorted(items, key=lambda item: item.waiting_since)


def _oldest_item(lane: Lane) -> Item:
    waiting = (item for item in lane.items if item.state == "waiting")
    return min(waiting, key=lambda item: item.waiting_since)
