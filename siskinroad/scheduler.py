"""Scheduler of one shard: decides which work starts on which host, and when.

The scheduler does no I/O. Each method takes an event and the time, and returns
the effects that the caller carries out, in order.
"""

from __future__ import annotations

import math
import random

from siskinroad.attempts import Attempts
from siskinroad.cell import Cell, Host, Urgency, Workload
from siskinroad.charts import load_chart
from siskinroad.dispatch import Dispatcher
from siskinroad.effects import Effect, End, Refused
from siskinroad.errors import Reason, Refusal
from siskinroad.health import Verdict
from siskinroad.names import AttemptName, split_task
from siskinroad.placement import HostView
from siskinroad.preemption import Preemption, UsageReport
from siskinroad.queues import Item, Lane
from siskinroad.shard import Shard, milliseconds
from siskinroad.upstreams import Control, Usage

__all__ = ["TICK_INTERVAL", "Scheduler"]

# Seconds between two calls of ``tick``. It bounds how late a deadline, the end of a
# backoff or the end of a quarantine is noticed.
TICK_INTERVAL = 0.25


class Scheduler:
    """Scheduler of the hosts and the waiting work of a shard.

    Parameters
    ----------
    cell : Cell
        The configuration in force.
    rng : random.Random
        Seeded source of jitter.
    now : float
        Loop time in seconds.

    Attributes
    ----------
    is_paused : bool
        Whether starts are suspended; everything else continues.
    requests_only : bool
        Whether only requests may start.
    """

    def __init__(self, cell: Cell, rng: random.Random, now: float) -> None:
        self.shard = Shard(cell, rng, now)
        self.attempts = Attempts(self.shard)
        self.dispatcher = Dispatcher(self.shard, self.attempts)
        self.preemption = Preemption(self.shard, self.attempts)
        self.is_paused = False
        self._chart = load_chart("attempt")
        self._host_chart = load_chart("upstream")

    # Configuration and hosts

    def configure(self, cell: Cell, now: float) -> list[Effect]:
        """Apply a new configuration; waiting work keeps its position."""
        self.shard.configure(cell, now)
        effects: list[Effect] = []
        for lane in list(self.shard.waiting.lanes.values()):
            if lane.live and lane.workload.name not in cell.workloads:
                effects += self._refuse_lane(lane)
        self.dispatcher.unblock_all()
        return effects + self._dispatch(now)

    def _refuse_lane(self, lane: Lane) -> list[Effect]:
        effects: list[Effect] = []
        for item in [x for x in lane.items if x.state == "waiting"]:
            refusal = Refusal(Reason.UNKNOWN_SERVICE, step="configure")
            effects.append(self._refuse_waiting(item, refusal))
        return effects

    def add_host(self, host: Host, now: float) -> None:
        """Add a host; it takes no work until an event has opened it."""
        self.shard.add_host(host, now)

    def host_event(self, name: str, event: str, now: float) -> list[Effect]:
        """Apply an event of the ``upstream`` chart to a host."""
        view = self.shard.view(name)
        if view is None:
            return []
        self.shard.record_verdict(name, event)
        if not self._host_chart.allows(view.state, event):
            return []
        before = view.state
        view.state = self._host_chart.next_state(before, event)
        if view.state == "live":
            view.state = self.shard.quarantines.get(name, "live")
        if view.state == before:
            return []
        view.is_open = view.state in ("live", "probation")
        self.shard.update_limit(view)
        self.shard.pool_state(name).index.refresh(view)
        self.shard.update_capacity(now)
        effects = self.lose_tasks(name, now) if view.state == "gone" else []
        return effects + self._use_free_capacity(view, now)

    def lose_tasks(self, name: str, now: float) -> list[Effect]:
        """End every task of a host as lost: it is gone or its leases expired."""
        view = self.shard.view(name)
        effects: list[Effect] = []
        for task in list(view.tasks) if view else []:
            key, member = split_task(task)
            effects += self.record_attempt_end(key, member, End.LOST, now)
        return effects

    def remove_host(self, name: str, now: float) -> list[Effect]:
        """Remove a host that is no longer in the configuration."""
        if self.shard.view(name) is None:
            return []
        effects = self.lose_tasks(name, now)
        self.shard.remove_host(name, now)
        return effects

    def view(self, name: str) -> HostView | None:
        """Return the named host, or None if the shard does not have it."""
        return self.shard.view(name)

    # Waiting work

    def submit(self, item: Item, now: float) -> list[Effect]:
        """Queue an item, or refuse it if it fails the admission checks."""
        refusal = self._admission_refusal(item, now)
        if refusal is not None:
            item.state = self._chart.next_state(item.state, "refuse")
            return [Refused(item, refusal)]
        if item.workload.kind == "service":
            self.shard.budget(item.workload.owner).earn_retry()
        return self.requeue(item, now)

    def requeue(self, item: Item, now: float) -> list[Effect]:
        """Queue an item that was accepted before, without admission checks."""
        self.shard.items[item.key] = item
        lane = self.shard.waiting.push(item)
        effects = [] if lane.is_blocked else self._dispatch(now)
        if item.workload.urgency is not Urgency.URGENT:
            return effects
        state = self.shard.pools.get(item.workload.pool)
        if state is None:
            return effects
        state.headroom.count_arrival(now)
        if item.state == "waiting" and not self.is_paused:
            effects += self.preemption.preempt_for_urgent(state, now)
        return effects

    def _admission_refusal(self, item: Item, now: float) -> Refusal | None:
        workload = item.workload
        if item.key in self.shard.items:
            return Refusal(Reason.KEY_IN_PROGRESS, step="submit")
        reason = self.never_runnable_reason(workload)
        if reason:
            return Refusal(Reason.CAN_NEVER_RUN, step="submit", message=reason)
        lane = self.shard.waiting.lane(workload)
        if lane.live >= workload.queue_limit:
            return Refusal(Reason.QUEUE_FULL, step="submit", retry_after=1.0)
        if not self.shard.admission_limit.admits(
            len(self.shard.items), workload.urgency
        ):
            return Refusal(Reason.SHED, step="submit", retry_after=5.0)
        wait = lane.expected_wait(now)
        if now + wait > item.deadline:
            return Refusal(Reason.DEADLINE, step="submit", retry_after=wait)
        return None

    def never_runnable_reason(self, workload: Workload) -> str:
        """Return why a workload can never run in this shard, or an empty string."""
        state = self.shard.pools.get(workload.pool)
        if state is None:
            return f"no host of {workload.pool} belongs to this shard"
        if not workload.demand.fits(state.pool.capacity):
            return f"one task needs more than a whole host of {workload.pool}"
        tasks_per_host = HostView("", "", state.pool.capacity).count_fitting(
            workload.demand
        )
        max_members = tasks_per_host * len(state.index.hosts)
        if workload.size > max_members:
            return (
                f"{workload.size} members requested, capacity for at most {max_members}"
            )
        total_demand = workload.demand.times(workload.size)
        quota = self.shard.cell.owners[workload.owner].quota
        for dimension in ("cpu_milli", "memory_mib", "accelerators"):
            if 0 < getattr(quota, dimension) < getattr(total_demand, dimension):
                return f"the demand exceeds the quota of {workload.owner}"
        return ""

    def cancel(self, key: str, now: float) -> list[Effect]:
        """Cancel an item: refuse it if it waits, stop it if it runs."""
        item = self.shard.items.get(key)
        if item is None:
            return []
        if item.state == "waiting":
            refusal = Refusal(Reason.CANCELLED, step="cancel")
            return [self._refuse_waiting(item, refusal, event="cancel")]
        if not self._chart.allows(item.state, "cancel"):
            return []
        item.state = self._chart.next_state(item.state, "cancel")
        run = self.shard.running[key]
        run.is_stopping = True
        return self.attempts.control(run, Control.STOP)

    def _refuse_waiting(
        self, item: Item, refusal: Refusal, event: str = "refuse"
    ) -> Refused:
        is_backing_off = item.backoff_until > 0
        item.state = self._chart.next_state(item.state, event)
        del self.shard.items[item.key]
        if is_backing_off:
            self.attempts.drop_backing_off(item)
        else:
            self.shard.waiting.stop_counting(item)
        return Refused(item, refusal)

    # Attempts

    def adopt(self, item: Item, name: AttemptName, host: str, now: float) -> bool:
        """Adopt a task that already runs on a host of the shard."""
        return self.attempts.adopt(item, name, host, now)

    def record_attempt_start(self, key: str) -> None:
        """Record that the host has confirmed the start of an item."""
        self.attempts.record_attempt_start(key)

    def record_attempt_end(
        self,
        key: str,
        member: int,
        end: End,
        now: float,
        run_time: float = 0.0,
        usage: Usage | None = None,
    ) -> list[Effect]:
        """Record that one member's task has ended on its host."""
        view, effects = self.attempts.record_attempt_end(
            key, member, end, now, run_time, usage
        )
        effects += self._apply_pending_verdicts(now)
        if view is None:
            return effects
        return effects + self._use_free_capacity(view, now)

    def _apply_pending_verdicts(self, now: float) -> list[Effect]:
        verdicts, self.attempts.verdicts = self.attempts.verdicts, []
        return self._apply_verdicts(verdicts, now)

    def _apply_verdicts(self, verdicts: list[Verdict], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for verdict in verdicts:
            effects += self.host_event(verdict.host, verdict.event, now)
        return effects

    def apply_usage(
        self, host: str, reports: list[UsageReport], now: float
    ) -> list[Effect]:
        """React to a host's usage report, which lags behind the actual usage."""
        effects = self.preemption.apply_usage(host, reports, now)
        view = self.shard.view(host)
        return effects + (self._use_free_capacity(view, now) if view else [])

    # Time

    def tick(self, now: float) -> list[Effect]:
        """Handle everything that falls due; call every ``TICK_INTERVAL`` seconds."""
        effects: list[Effect] = []
        for item in self.shard.waiting.expired(now):
            refusal = Refusal(Reason.DEADLINE, step="queue", retry_after=1.0)
            effects.append(self._refuse_waiting(item, refusal))
        self.attempts.release_backed_off(now)
        self.preemption.expire_evictions(now)
        self.shard.recover_limits(now)
        effects += self._apply_verdicts(self.shard.health.tick(now), now)
        self.shard.accounts.tick(milliseconds(now))
        self.dispatcher.unblock_some()
        effects += self._dispatch(now)
        if not self.is_paused:
            effects += self._preempt(now)
        return effects

    def _preempt(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for state in self.shard.pools.values():
            effects += self.preemption.preempt_for_urgent(state, now)
        return effects + self.preemption.reclaim_shares(now)

    def next_tick_time(self) -> float:
        """Return the loop time of the earliest deadline or end of a backoff."""
        deadline = self.shard.waiting.next_deadline()
        return min(deadline, self.attempts.next_backoff_end(), math.inf)

    def resume(self, now: float) -> list[Effect]:
        """Allow starts again after ``is_paused`` or ``requests_only`` was set."""
        self.is_paused = False
        self.requests_only = False
        self.dispatcher.unblock_all()
        return self._dispatch(now)

    @property
    def requests_only(self) -> bool:
        """Whether only requests may start."""
        return self.dispatcher.requests_only

    @requests_only.setter
    def requests_only(self, value: bool) -> None:
        self.dispatcher.requests_only = value

    def _use_free_capacity(self, view: HostView, now: float) -> list[Effect]:
        if self.is_paused:
            return []
        filled = list(self.dispatcher.fill_host(view, now)) if view.is_open else []
        return filled + self._dispatch(now)

    def _dispatch(self, now: float) -> list[Effect]:
        return [] if self.is_paused else list(self.dispatcher.dispatch(now))
