"""Attempts in progress: start, end, and the retry that may follow."""

from __future__ import annotations

import math

from siskinroad.cell import Urgency
from siskinroad.charts import load_chart
from siskinroad.effects import ControlTask, Effect, End, Finished, Refused, StartTask
from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.health import Verdict
from siskinroad.names import AttemptName, run_name, task_name
from siskinroad.placement import HostView
from siskinroad.queues import Item
from siskinroad.resources import Resources
from siskinroad.retries import Failure, Retry, decide_retry
from siskinroad.shard import PoolState, Running, Shard
from siskinroad.upstreams import Control, Usage

__all__ = ["Attempts"]

# First and longest backoff of a batch task or gang, in seconds; it doubles with each
# attempt.
FIRST_BACKOFF = 0.1
MAX_BACKOFF = 30.0
# Most attempts of a request that never reached a host and so do not count as tries.
# Without a limit, a request would be repeated forever. It also bounds the exponent of
# the backoff of a batch task or gang.
MAX_NOT_SENT = 10

# Seconds after which a stop is sent again to a task that its host still reports as
# running. With a smaller value, tasks that need time to stop get many calls.
STOP_RETRY_INTERVAL = 2.0

# Rank of each end in the order of ``End``. The end of highest rank among the members
# of an attempt is that of the attempt.
SEVERITY = {end: rank for rank, end in enumerate(End)}
# Kind of failure on which the retry of a request is decided.
FAILURE_OF_END = {
    End.NOT_SENT: Failure.NOT_SENT,
    End.REJECTED: Failure.REJECTED,
    End.LOST: Failure.UNKNOWN,
    End.FAILED: Failure.FAILED,
    End.UNKNOWN: Failure.UNKNOWN,
}
# Ends that count as a success or a failure of the host.
HEALTH_ENDS = (End.DONE, End.FAILED, End.UNKNOWN)


class Attempts:
    """Attempts on the hosts of a shard."""

    def __init__(self, shard: Shard) -> None:
        self.shard = shard
        self.chart = load_chart("attempt")
        self.verdicts: list[Verdict] = []
        self.backing_off: list[Item] = []

    def start_attempt(
        self, item: Item, hosts: list[HostView], held: Resources, now: float
    ) -> StartTask:
        """Allocate a host to each member and return the effect that starts them."""
        item.tries += 1
        item.state = self.chart.next_state(item.state, "start")
        item.started = now
        attempt = run_name(item.key, item.tries)
        expected_end = now + self.shard.estimates.run_time(item.workload)
        run = Running(item, attempt, {}, held, now, expected_end)
        self._register_run(run)
        for member, view in enumerate(hosts):
            self._place_member(run, member, view, held, now)
        return StartTask(item, attempt, [view.name for view in hosts])

    def _register_run(self, run: Running) -> None:
        item = run.item
        state = self.shard.pools[item.workload.pool]
        self.shard.running[item.key] = run
        is_background = item.workload.urgency is Urgency.BACKGROUND
        if is_background and item.workload.checkpoint:
            state.evictable[item.key] = run

    def _place_member(
        self, run: Running, member: int, view: HostView, held: Resources, now: float
    ) -> None:
        workload = run.item.workload
        run.hosts[member] = view.name
        run.known_members.add(member)
        index = self.shard.pools[workload.pool].index
        index.allocate(view, task_name(run.item.key, member), held, workload.name)
        self.shard.change_allocations(workload, run.held, 1, now)

    def adopt(self, item: Item, name: AttemptName, host: str, now: float) -> bool:
        """Adopt a task that already runs on a host; return whether that succeeded."""
        view = self.shard.view(host)
        run = self.shard.running.get(item.key)
        if view is None or (run is not None and run.attempt != name.run):
            return False
        if run is None:
            held = self.shard.allocation(item.workload, self.shard.pool_state(host))
            expected_end = now + self.shard.estimates.run_time(item.workload)
            run = Running(item, name.run, {}, held, now, expected_end)
            item.state = "running"
            item.tries = max(item.tries, name.number)
            item.started = now
            self.shard.items[item.key] = item
            self._register_run(run)
        if name.member not in run.known_members:
            free = Resources(view.cpu, view.memory, view.accelerators, view.slots)
            self._place_member(run, name.member, view, run.held.clip(free), now)
        return run.hosts.get(name.member) == host

    def fail_partial(self, run: Running) -> list[Effect]:
        """Stop a gang of which only some members were found; it is started again."""
        if len(run.known_members) >= run.item.workload.size:
            return []
        run.worst_end = max(run.worst_end, End.LOST, key=lambda end: SEVERITY[end])
        return self._stop_others(run, End.LOST)

    def withdraw(self, item: Item) -> None:
        """Remove a waiting item whose task was found running."""
        is_backing_off = item.backoff_until > 0
        item.state = "cancelled"
        del self.shard.items[item.key]
        if is_backing_off:
            self.drop_backing_off(item)
        else:
            self.shard.waiting.stop_counting(item)

    def record_attempt_start(self, key: str) -> None:
        """Record that the host has confirmed the start of an item."""
        item = self.shard.items.get(key)
        if item is not None and self.chart.allows(item.state, "started"):
            item.state = self.chart.next_state(item.state, "started")

    def record_attempt_end(
        self,
        key: str,
        member: int,
        end: End,
        now: float,
        run_time: float = 0.0,
        usage: Usage | None = None,
    ) -> tuple[HostView | None, list[Effect]]:
        """Record the end of one member's task, with its last usage if known.

        Returns
        -------
        HostView or None
            The host that has more free capacity now.
        list of Effect
            Effects on the item.
        """
        run = self.shard.running.get(key)
        if run is None or member not in run.hosts:
            return None, []
        if usage is not None:
            run.record_peak_usage(member, usage)
        view = self._release(run, member, now)
        self._record_outcome(run, view, member, end, now, run_time)
        effects: list[Effect] = []
        if SEVERITY[end] > SEVERITY[run.worst_end]:
            run.worst_end = end
            effects += self._stop_others(run, end)
            if end in (End.FAILED, End.UNKNOWN, End.REJECTED):
                run.item.avoid_host(view.name, now)
        if not run.hosts:
            effects += self._end_run(run, now)
        return view, effects

    def _stop_others(self, run: Running, end: End) -> list[Effect]:
        if end is End.CHECKPOINTED or run.is_stopping or not run.hosts:
            return []
        run.is_stopping = True
        return self.control(run, Control.STOP)

    def control(self, run: Running, action: Control) -> list[Effect]:
        """Return the effects that apply a control to each member."""
        return [
            ControlTask(run.item.key, run.attempt, host, member, action)
            for member, host in run.hosts.items()
        ]

    def repeat_stop(self, run: Running, member: int, now: float) -> list[Effect]:
        """Stop a member again that runs although it was told to stop.

        A stop that reaches the host before the start has no effect there.
        """
        repeated_at = run.stop_repeated_at.get(member, -math.inf)
        if not run.is_stopping or now - repeated_at < STOP_RETRY_INTERVAL:
            return []
        run.stop_repeated_at[member] = now
        host = run.hosts[member]
        return [ControlTask(run.item.key, run.attempt, host, member, Control.STOP)]

    def _release(self, run: Running, member: int, now: float) -> HostView:
        view = self.shard.view(run.hosts.pop(member))
        assert view is not None
        workload = run.item.workload
        index = self.shard.pools[self.shard.pool_of[view.name]].index
        index.release(view, task_name(run.item.key, member), workload.name)
        self.shard.change_allocations(workload, run.held, -1, now)
        return view

    def _record_outcome(
        self,
        run: Running,
        view: HostView,
        member: int,
        end: End,
        now: float,
        run_time: float,
    ) -> None:
        workload = run.item.workload
        run_time_s = run_time or now - run.started
        usage = run.peak.get(member, Usage())
        if end is End.DONE and (usage.memory_mib or workload.kind == "service"):
            cpu, memory = usage.cpu_milli, usage.memory_mib
            self.shard.estimates.observe(workload, run_time_s, cpu, memory)
        if workload.kind == "service":
            self._adjust_limit(view, end, now)
        if end not in HEALTH_ENDS:
            return
        hosts = len(self.shard.pool_state(view.name).index.hosts)
        succeeded = end is End.DONE
        verdict = self.shard.health.observe(
            view.name, workload.name, succeeded, now, hosts
        )
        if verdict is not None:
            self.verdicts.append(verdict)

    def _adjust_limit(self, view: HostView, end: End, now: float) -> None:
        limit = self.shard.limits[view.name]
        if end is End.DONE:
            limit.record_success()
        elif end in (End.UNKNOWN, End.REJECTED, End.NOT_SENT):
            limit.record_failure(now)
        self.shard.update_limit(view)

    def _end_run(self, run: Running, now: float) -> list[Effect]:
        item = run.item
        item.waiting_since = now
        state = self.shard.pools[item.workload.pool]
        self._remove_run(run, state, now)
        if item.state == "stopping":
            is_done = run.worst_end is End.DONE
            return self._end_item(item, End.DONE if is_done else End.STOPPED)
        match run.worst_end:
            case End.DONE:
                return self._end_item(item, End.DONE)
            case End.CHECKPOINTED | End.STOPPED:
                return self.requeue(item, front=True)
            case End.LOST if item.workload.kind != "service":
                return self.requeue(item, front=True)
        if item.workload.kind == "service":
            return self._retry_request(item, FAILURE_OF_END[run.worst_end], now)
        return self._retry_task(item, run.worst_end, now)

    def _remove_run(self, run: Running, state: PoolState, now: float) -> None:
        del self.shard.running[run.item.key]
        state.evictable.pop(run.item.key, None)
        state.headroom.count_end(now)
        state.evicting.pop(run.item.key, None)

    def _end_item(self, item: Item, end: End) -> list[Effect]:
        states = {End.DONE: "succeeded", End.STOPPED: "cancelled", End.FAILED: "lost"}
        item.state = states[end]
        del self.shard.items[item.key]
        return [Finished(item, end)]

    def requeue(self, item: Item, *, front: bool) -> list[Effect]:
        """Queue an item for another attempt without a backoff."""
        item.state = "waiting"
        item.backoff_until = 0.0
        item.workload = self.shard.current_workload(item.workload)
        state = self.shard.pools.get(item.workload.pool)
        if state is None or len(item.avoid) >= len(state.index.hosts):
            item.avoid.clear()
        lane = self.shard.waiting.push(item, front=front)
        lane.is_blocked = False
        return []

    def _back_off(self, item: Item, until: float) -> list[Effect]:
        item.state = "waiting"
        item.backoff_until = until
        self.backing_off.append(item)
        return []

    def _retry_task(self, item: Item, worst_end: End, now: float) -> list[Effect]:
        if worst_end is End.FAILED and item.tries > item.workload.retries:
            return self._end_item(item, End.FAILED)
        exponent = min(item.tries, MAX_NOT_SENT)
        delay = min(FIRST_BACKOFF * 2**exponent, MAX_BACKOFF)
        return self._back_off(item, now + delay)

    def _retry_request(self, item: Item, failure: Failure, now: float) -> list[Effect]:
        budget = self.shard.budget(item.workload.owner)
        if failure is Failure.NOT_SENT and item.unsent < MAX_NOT_SENT:
            item.unsent += 1
        tries = item.tries - item.unsent
        decision = decide_retry(item.workload, failure, tries, budget, self.shard.rng)
        if isinstance(decision, Retry):
            if now + decision.delay <= item.deadline:
                return self._back_off(item, now + decision.delay)
            if failure is not Failure.NOT_SENT:
                budget.return_retry()
            may_have_run = failure in (Failure.UNKNOWN, Failure.FAILED)
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            decision = Refusal(Reason.DEADLINE, step="retry", outcome=outcome)
        item.state = "lost"
        del self.shard.items[item.key]
        return [Refused(item, decision)]

    def release_backed_off(self, now: float) -> None:
        """Queue the items whose backoff after a failure is over."""
        due = [item for item in self.backing_off if item.backoff_until <= now]
        if not due:
            return
        self.backing_off = [
            item for item in self.backing_off if item.backoff_until > now
        ]
        for item in due:
            front = item.workload.kind == "service"
            self.requeue(item, front=front)

    def next_backoff_end(self) -> float:
        """Return the earliest end of a backoff; infinite if there is none."""
        return min(
            (item.backoff_until for item in self.backing_off), default=float("inf")
        )

    def drop_backing_off(self, item: Item) -> None:
        """Remove an item that was cancelled during its backoff."""
        self.backing_off = [x for x in self.backing_off if x is not item]
