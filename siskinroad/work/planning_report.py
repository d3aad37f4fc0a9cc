"""Report of an owner's planning once per second: metrics, a summary, long waits."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable

import prometheus_client

from siskinroad.work.effects import Effect, RequestAdvice, StartRun
from siskinroad.work.host_states import (
    HostState,
    count_host_states,
    find_oldest_report_s,
)
from siskinroad.work.planning_pass import PlanningPass
from siskinroad.work.term import Term
from siskinroad.work.wait_log import WaitLog, sum_held_cpu
from siskinroad.work.wait_reasons import WaitReason
from siskinroad.work.wait_tracker import StepWait, WaitTracker
from siskinroad.work.waiting_order import Place, RankedStep, find_place
from siskinroad.work.workmetrics import SLOWDOWN_BOUNDS

__all__ = ["PlanningReport"]

# Seconds between two reports. An examination of the waiting steps takes as long as
# several planning passes.
REPORT_INTERVAL_S = 1.0

log = logging.getLogger("siskinroad.owner")


class PlanningReport:
    """Report of one owner's planning.

    Parameters
    ----------
    term : Term
        The owner's term.
    now : float
        Loop time in seconds at which the first period begins.
    """

    def __init__(self, term: Term, now: float) -> None:
        self._term = term
        self._tracker = WaitTracker(term.pool_state)
        self._wait_log = WaitLog(term.pool_state)
        self._reported_at = now
        self._pass_count = 0
        self._longest_pass_s = 0.0
        self._start_count = 0
        self._advice_request_count = 0
        metrics = term.dependencies.metrics
        self._starts = _CounterReader(metrics.starts)
        self._renewals = _CounterReader(metrics.renewals)

    def record_pass(self, took_s: float, effects: Iterable[Effect]) -> None:
        """Record a planning pass, the seconds that it took, and its effects."""
        self._term.dependencies.metrics.planning_pass.observe(took_s)
        self._pass_count += 1
        self._longest_pass_s = max(self._longest_pass_s, took_s)
        for effect in effects:
            match effect:
                case StartRun():
                    self._start_count += 1
                case RequestAdvice():
                    self._advice_request_count += 1

    def report_if_due(self, now: float, planning_pass: PlanningPass | None) -> None:
        """Examine the waiting tasks and report, if the last report is old enough.

        Parameters
        ----------
        planning_pass : PlanningPass or None
            The pass that has just ended; None if the claim is not confirmed.
        """
        period_s = now - self._reported_at
        if period_s < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        waits = self._tracker.examine(now, planning_pass)
        counts = Counter[WaitReason]()
        for wait in waits:
            counts[wait.reason] += len(wait.tasks)
        hosts = self._term.pool_state.hosts.values()
        states = count_host_states(hosts, now)
        oldest_report_s = find_oldest_report_s(hosts, now)
        self._set_wait_metrics(counts, _find_longest_waits(waits, now))
        self._set_host_metrics(states, oldest_report_s)
        places = Counter(find_place(each) for each in _list_ranked(planning_pass))
        self._set_place_metrics(places)
        self._wait_log.write(now, waits, planning_pass)
        log.info(
            "owner: summary",
            extra={
                "pool": self._term.pool,
                "term": self._term.number,
                "is_confirmed": planning_pass is not None,
                "waiting": {reason.value: n for reason, n in counts.items()},
                "longest_wait_s": round(now - waits[0].waiting_since, 2)
                if waits
                else 0,
                "hosts": {state.value: n for state, n in states.items()},
                "oldest_report_s": round(oldest_report_s, 2),
                "places": {place.value: n for place, n in places.items()},
                **self._describe_use(),
                **self._describe_period(now, period_s),
                **self._describe_channels(now),
            },
        )

    def close(self) -> None:
        """Reset the pool's gauges at the end of the term."""
        self._set_wait_metrics(Counter(), {})
        self._set_host_metrics(Counter(), 0.0)
        self._set_place_metrics(Counter())

    def _set_wait_metrics(
        self, counts: Counter[WaitReason], longest_waits: dict[WaitReason, float]
    ) -> None:
        metrics = self._term.dependencies.metrics
        pool = self._term.pool
        for reason in WaitReason:
            metrics.waiting_tasks.labels(pool, reason.value).set(counts[reason])
            longest_s = longest_waits.get(reason, 0.0)
            metrics.longest_wait.labels(pool, reason.value).set(longest_s)

    def _set_place_metrics(self, places: Counter[Place]) -> None:
        metrics = self._term.dependencies.metrics
        for place in Place:
            metrics.waiting_steps.labels(self._term.pool, place.value).set(
                places[place]
            )

    def _set_host_metrics(
        self, states: Counter[HostState], oldest_report_s: float
    ) -> None:
        metrics = self._term.dependencies.metrics
        pool = self._term.pool
        for state in HostState:
            metrics.hosts.labels(pool, state.value).set(states[state])
        metrics.oldest_report.labels(pool).set(oldest_report_s)
        speeds = self._term.pool_state.speed_estimates.host_speeds
        for bound, count in speeds.count_by_bucket(SLOWDOWN_BOUNDS).items():
            metrics.host_slowdowns.labels(pool, str(bound)).set(count)

    def _describe_use(self) -> dict[str, object]:
        hosts = self._term.pool_state.hosts.values()
        return {
            "cpu_milli": sum(host.entry.capacity.cpu_milli for host in hosts),
            "used_cpu_milli": sum(host.used.cpu_milli for host in hosts),
            "held_cpu_milli": sum(sum_held_cpu(host) for host in hosts),
        }

    def _describe_period(self, now: float, period_s: float) -> dict[str, object]:
        """Return what was done since the last report, and start a new period."""
        loop_delay = self._term.dependencies.loop_delay
        fields: dict[str, object] = {
            "period_s": round(period_s, 2),
            "passes": self._pass_count,
            "longest_pass_s": round(self._longest_pass_s, 4),
            "loop_delay_s": round(loop_delay.largest_since(now - period_s), 3),
            "placed": self._start_count,
            "advice_requests": self._advice_request_count,
            # Of all pools of this daemon.
            "starts": self._starts.read_increase(),
            "renewals": self._renewals.read_increase(),
        }
        self._pass_count = self._start_count = self._advice_request_count = 0
        self._longest_pass_s = 0.0
        return fields

    def _describe_channels(self, now: float) -> dict[str, object]:
        """Return the own channel's backlog, and whether any channel takes a call."""
        channels = self._term.dependencies.advisor_channels
        times = channels.channel_times(now)
        return {
            "own_channel_backlog_s": round(channels.backlog(now), 2),
            "is_short_channel_free": times.assign(0.0),
            "is_long_channel_free": times.assign(float("inf")),
        }


def _list_ranked(planning_pass: PlanningPass | None) -> list[RankedStep]:
    """Return the steps that the newest pass has ranked; none without a pass."""
    return [] if planning_pass is None else planning_pass.ranked


def _find_longest_waits(waits: list[StepWait], now: float) -> dict[WaitReason, float]:
    """Return the longest wait in seconds for each reason; ``waits`` are sorted."""
    longest: dict[WaitReason, float] = {}
    for wait in waits:
        longest.setdefault(wait.reason, now - wait.waiting_since)
    return longest


class _CounterReader:
    """Reader of a counter with one label that returns its increase by label value."""

    def __init__(self, counter: prometheus_client.Counter) -> None:
        self._counter = counter
        self._former = self._read()

    def read_increase(self) -> dict[str, int]:
        """Return the increase of each label value since the last call, without 0."""
        totals = self._read()
        former, self._former = self._former, totals
        increases = {label: n - former.get(label, 0) for label, n in totals.items()}
        return {label: n for label, n in increases.items() if n}

    def _read(self) -> dict[str, int]:
        samples = [s for family in self._counter.collect() for s in family.samples]
        return {
            next(iter(sample.labels.values())): int(sample.value)
            for sample in samples
            if sample.name.endswith("_total")
        }
