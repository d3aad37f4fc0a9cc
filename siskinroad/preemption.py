"""Preemption of running work, for urgent work, fair shares or hosts short of memory."""

from __future__ import annotations

from siskinroad.attempts import Attempts
from siskinroad.cell import Urgency
from siskinroad.effects import Effect
from siskinroad.names import split_task, task_name
from siskinroad.placement import HostView
from siskinroad.resources import Resources
from siskinroad.shard import PoolState, Running, Shard
from siskinroad.upstreams import Control, Usage

__all__ = ["Preemption", "UsageReport"]

# Fraction of a host's memory in use at which it gets no new work. The same fraction of
# its processors throttles background work.
CLOSE_FRACTION = 0.90
# Fraction of a host's memory in use at which one task is checkpointed.
CHECKPOINT_FRACTION = 0.94
# Fraction of a host's memory in use at which one task is stopped, even if it cannot be
# checkpointed. With a larger value the host may run out of memory first.
STOP_FRACTION = 0.98
# Factor by which the allocated memory of a task exceeds its reported use.
GROWTH_MARGIN = 1.1
# Evictions in progress in a pool at a time. A larger value interrupts more work than
# the waiting work needs.
MAX_EVICTIONS = 8
# Seconds in which a host must carry out an eviction. With a smaller value, a task that
# writes a large checkpoint is stopped meanwhile; with a larger one, urgent work waits
# longer for tasks that do not react.
EVICTION_TIMEOUT = 20.0
# Evictable attempts, latest first, that one search visits; it bounds the search time.
MAX_SEARCHED_RUNS = 32
# Seconds for which an owner must have less than its fair share before work of other
# owners is evicted for it.
RECLAIM_DELAY = 30.0
# Difference from the fair share that is ignored, as a fraction of the total. Without
# it, work would be evicted for rounding differences.
SHARE_TOLERANCE = 0.02

UsageReport = tuple[str, int, Usage]


class Preemption:
    """Preemption of running work by checkpoints, throttling and stops."""

    def __init__(self, shard: Shard, attempts: Attempts) -> None:
        self.shard = shard
        self.attempts = attempts

    def apply_usage(
        self, host: str, reports: list[UsageReport], now: float
    ) -> list[Effect]:
        """React to a host's usage report: close the host, throttle, checkpoint, stop.

        Parameters
        ----------
        reports : list of tuple
            Key, member and usage of each task on the host.
        """
        view = self.shard.view(host)
        if view is None:
            return []
        memory = 0
        cpu = 0
        for key, member, usage in reports:
            run = self.shard.running.get(key)
            if run is None or run.hosts.get(member) != host:
                continue
            memory += usage.memory_mib
            cpu += usage.cpu_milli
            self._grow_allocation(run, member, view, usage)
        return self._react_to_usage(view, memory, cpu, now)

    def _grow_allocation(
        self, run: Running, member: int, view: HostView, usage: Usage
    ) -> None:
        run.record_peak_usage(member, usage)
        task = task_name(run.item.key, member)
        held = view.tasks[task]
        wanted = round(usage.memory_mib * GROWTH_MARGIN)
        if run.item.workload.kind == "service" or wanted <= held.memory_mib:
            return
        need = Resources(held.cpu_milli, wanted, held.accelerators, held.slots)
        self.shard.pool_state(view.name).index.resize(view, task, need)

    def _react_to_usage(
        self, view: HostView, memory: int, cpu: int, now: float
    ) -> list[Effect]:
        memory_fraction = memory / view.capacity.memory_mib
        self._set_closed(view, memory_fraction >= CLOSE_FRACTION)
        effects = self._throttle(view, cpu / view.capacity.cpu_milli >= CLOSE_FRACTION)
        if memory_fraction >= STOP_FRACTION:
            effects += self._free_memory(view, Control.STOP, now)
        elif memory_fraction >= CHECKPOINT_FRACTION:
            effects += self._free_memory(view, Control.CHECKPOINT, now)
        return effects

    def _set_closed(self, view: HostView, is_overloaded: bool) -> None:
        if is_overloaded:
            self.shard.overloaded_hosts.add(view.name)
        else:
            self.shard.overloaded_hosts.discard(view.name)
        self.shard.update_limit(view)

    def _runs_on(self, view: HostView) -> list[Running]:
        keys = dict.fromkeys(split_task(task)[0] for task in view.tasks)
        runs = [self.shard.running[key] for key in keys if key in self.shard.running]
        return sorted(runs, key=lambda run: (-run.item.workload.urgency, -run.started))

    def _throttle(self, view: HostView, is_overloaded: bool) -> list[Effect]:
        effects: list[Effect] = []
        for run in self._runs_on(view):
            is_background = run.item.workload.urgency is Urgency.BACKGROUND
            if run.item.workload.kind == "service" or run.is_throttled == is_overloaded:
                continue
            if is_overloaded and not is_background:
                continue
            run.is_throttled = is_overloaded
            action = Control.THROTTLE if is_overloaded else Control.RESUME
            effects += self.attempts.control(run, action)
        return effects

    def _free_memory(self, view: HostView, action: Control, now: float) -> list[Effect]:
        runs = [r for r in self._runs_on(view) if r.item.workload.kind != "service"]
        if any(run.is_evicting or run.is_stopping for run in runs):
            return []
        for run in runs:
            can_checkpoint = run.item.workload.checkpoint
            if can_checkpoint and not run.has_ignored_eviction:
                return self._evict(run, Control.CHECKPOINT, now)
            if action is Control.STOP:
                return self._evict(run, Control.STOP, now)
        return []

    def _evict(self, run: Running, action: Control, now: float) -> list[Effect]:
        run.evicted_at = now
        self.shard.pools[run.item.workload.pool].evicting[run.item.key] = run
        return self.attempts.control(run, action)

    def expire_evictions(self, now: float) -> None:
        """End the evictions that were not carried out in ``EVICTION_TIMEOUT``.

        Other tasks are evicted before these are tried again.
        """
        for state in self.shard.pools.values():
            for key, run in list(state.evicting.items()):
                if run.evicted_at is None or now - run.evicted_at < EVICTION_TIMEOUT:
                    break
                del state.evicting[key]
                run.evicted_at = None
                run.has_ignored_eviction = True
                if state.evictable.pop(key, None) is not None:
                    state.evictable = {key: run, **state.evictable}

    def preempt_for_urgent(self, state: PoolState, now: float) -> list[Effect]:
        """Checkpoint background work if urgent work waits for a host."""
        waiting = sum(lane.live for lane in self.shard.urgent_lanes(state.pool.name))
        wanted = min(waiting, MAX_EVICTIONS) - len(state.evicting)
        effects: list[Effect] = []
        need = state.urgent_need
        for run in list(reversed(state.evictable.values()))[:MAX_SEARCHED_RUNS]:
            if wanted <= 0:
                break
            if not run.is_evicting and self._would_fit(run, need):
                effects += self._evict(run, Control.CHECKPOINT, now)
                wanted -= 1
        return effects

    def _would_fit(self, run: Running, need: Resources) -> bool:
        for member, host in run.hosts.items():
            view = self.shard.view(host)
            if view is None or not view.is_open:
                continue
            held = view.tasks[task_name(run.item.key, member)]
            free = Resources(view.cpu, view.memory, view.accelerators, view.slots)
            if need.fits(free + held):
                return True
        return False

    def reclaim_shares(self, now: float) -> list[Effect]:
        """Evict work for owners that have had less than their fair share for long."""
        effects: list[Effect] = []
        for state in self.shard.pools.values():
            effects += self._reclaim_pool(state, now)
        return effects

    def _reclaim_pool(self, state: PoolState, now: float) -> list[Effect]:
        underserved = self._find_underserved(state)
        for owner in list(state.underserved_since):
            if owner not in underserved:
                del state.underserved_since[owner]
        for owner in sorted(underserved):
            state.underserved_since.setdefault(owner, now)
        due_owners = [
            o
            for o, since in state.underserved_since.items()
            if now - since > RECLAIM_DELAY
        ]
        if not due_owners or len(state.evicting) >= MAX_EVICTIONS:
            return []
        victim = self._find_most_over_share(state, set(due_owners))
        return self._evict(victim, Control.CHECKPOINT, now) if victim else []

    def _find_underserved(self, state: PoolState) -> set[str]:
        waiting = {
            lane.workload.owner
            for lanes in self.shard.waiting.active.values()
            for lane in lanes.values()
            if lane.is_blocked and lane.workload.pool == state.pool.name
        }
        shares = self.shard.shares
        return {
            owner
            for owner in waiting
            if shares.dominant_share(owner) + SHARE_TOLERANCE
            < shares.fair_share(owner, waiting)
        }

    def _find_most_over_share(
        self, state: PoolState, due_owners: set[str]
    ) -> Running | None:
        shares = self.shard.shares
        victim: Running | None = None
        victim_excess = SHARE_TOLERANCE
        for run in list(reversed(state.evictable.values()))[:MAX_SEARCHED_RUNS]:
            owner = run.item.workload.owner
            if run.is_evicting or owner in due_owners:
                continue
            excess = shares.dominant_share(owner) - shares.fair_share(owner, due_owners)
            if excess > victim_excess:
                victim, victim_excess = run, excess
        return victim
