"""Forecast of when a job that is submitted now would end, made by its pool's owner.

The load that it answers: a burst of short urgent jobs beside one account that sends
many times its usual. All jobs of the pool wait for each other, and the answer to each
submit depends on what is ahead of it. `load_summary` sums that a few times a second;
what is accepted since is added to the sums, so that a forecast costs the same however
much waits.

The pool is seen as one server that works through what is ahead, in the planner's order:
by priority, and in one priority jobs that can be in time before late ones. Learned
factors (`forecast_check`) take up what this leaves out, such as gaps on hosts.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from siskinroad.work.advisor_silence import AdvisorSilence
from siskinroad.work.drain_time import MIN_CAPACITY_FRACTION, compute_drain_s
from siskinroad.work.forecast_check import ForecastCheck, ForecastRecord
from siskinroad.work.host import Host
from siskinroad.work.job import Job
from siskinroad.work.load_summary import (
    USEFUL_TIME_FACTOR,
    Held,
    LoadSummary,
    Work,
    count_free,
    summarize_load,
)
from siskinroad.work.model import Queue
from siskinroad.work.pool_state import PoolState

__all__ = ["AdvisorRoom", "Forecast", "LoadForecast"]

# Seconds over which the rate of arriving work is measured.
ARRIVAL_PERIOD_S = 2.0
# Seconds after which an accepted job that was not read is taken as not stored.
MAX_STORE_TIME_S = 5.0
# Fraction of the pool that one step may fill at once; a wider one runs in waves.
MAX_WAVE_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class AdvisorRoom:
    """What the advisor channels can take.

    Attributes
    ----------
    channels : int
        Number of channels.
    backlog_s : float
        Seconds until the first of them is free.
    """

    channels: int = 1
    backlog_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Forecast:
    """Forecast for one job; times in seconds from now.

    Attributes
    ----------
    number, age_s : int, float
        Number of the load summary that it was made from, and its age.
    wait_s, chain_s, end_s, spread_s : float
        Wait before the job's tasks run, its longest chain of steps, its end, and the
        mean error of recent forecasts of the queue's ends.
    allowed_s, useful_s : float
        Time within which the job is in time, and within which it is of use.
    capacity_cpu : float
        Processors that the job's class may use.
    has_free_room : bool
        Whether free capacity is left for the job beside all that waits.
    is_trusted : bool
        Whether jobs may be refused on it.
    delays_others : bool
        Whether late work of this priority makes less urgent work late that would be
        in time without it.
    """

    number: int
    age_s: float
    wait_s: float
    chain_s: float
    end_s: float
    spread_s: float
    allowed_s: float
    useful_s: float
    capacity_cpu: float
    work: Work
    has_free_room: bool
    is_trusted: bool
    delays_others: bool
    record: ForecastRecord


@dataclass(slots=True, frozen=True)
class _UnreadJob:
    """Accepted job that is on its way through the store."""

    queue: Queue
    work: Work
    accepted_at: float
    is_late: bool
    is_over_weight: bool


class LoadForecast:
    """Forecaster of one owner's pool.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.

    Attributes
    ----------
    summary : LoadSummary or None
        Newest summary, with what was accepted since; None before the first.
    check : ForecastCheck
        Check of the forecasts of accepted jobs.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self._pool_state = pool_state
        self.summary: LoadSummary | None = None
        self.check = ForecastCheck()
        self._advisor_room: dict[str, AdvisorRoom] = {}
        self._arrivals: dict[int, float] = {}
        self._advisor_silence = AdvisorSilence(pool_state)
        self._number = 0
        self._hosts: list[Host] = []
        self._unread: dict[str, _UnreadJob] = {}

    def refresh(
        self,
        hosts: Iterable[Host],
        headroom_cpu: float,
        advisor_room: dict[str, AdvisorRoom],
        over_weight_jobs: Collection[str],
        now: float,
        wall: float,
    ) -> None:
        """Sum the load again, and count the jobs that have become late.

        Parameters
        ----------
        advisor_room : dict of str to AdvisorRoom
            What the channels can take, by the name of each queue that needs advice.
        """
        former = self.summary
        if former is not None:
            keep = max(0.0, 1.0 - (now - former.made_at) / ARRIVAL_PERIOD_S)
            for priority in self._arrivals:
                self._arrivals[priority] *= keep
        self._number += 1
        self._advisor_room = advisor_room
        self._advisor_silence.refresh(now)
        self._hosts = list(hosts)
        self.summary = summarize_load(
            self._number,
            self._pool_state,
            self._hosts,
            headroom_cpu,
            over_weight_jobs,
            now,
            wall,
        )
        self._add_unread_jobs(now)
        self.check.record_late_jobs(now)

    def _add_unread_jobs(self, now: float) -> None:
        """Add the accepted jobs that the owner has not read from the store yet."""
        for name, unread in list(self._unread.items()):
            is_over = now - unread.accepted_at > MAX_STORE_TIME_S
            if is_over or name in self._pool_state.jobs:
                del self._unread[name]
            else:
                self._add_to_summary(unread)

    def _add_to_summary(self, unread: _UnreadJob) -> None:
        if self.summary is None:
            return
        queue = unread.queue
        load = self.summary.get_waiting(queue.priority)
        (load.late if unread.is_late else load.in_time).add(unread.work)
        if unread.is_over_weight:
            load.over_weight.add(unread.work)
        if queue.advice is not None:
            load.advice_s += self._pool_state.queue_times(queue.name).advice_s

    def predict(
        self, queue: Queue, job: Job, now: float, waited_s: float = 0.0
    ) -> Forecast | None:
        """Return the forecast for a job; None without a summary or usable hosts.

        Hosts that are all lost at once may be back at any moment: nothing is known of
        when there will be room.

        Parameters
        ----------
        waited_s : float
            Seconds since the job was first submitted, which count as used already.
        """
        summary = self.summary
        if summary is None or summary.room.cpu <= 0:
            return None
        times = self._pool_state.queue_times(queue.name)
        accuracy = self.check.accuracy(queue.name)
        allowed_s = times.allowed_time(job) - waited_s
        plain_chain_s = job.longest_time * times.run_time_ratio
        plain_chain_s += job.chain_length * times.advice_s
        work, first = _measure_job(job, times.run_time_ratio)
        capacity = self._class_capacity(summary, queue.priority, is_late=False)
        has_free_room = self._has_free_room(summary, queue, first)
        advice_s = self._advice_wait_s(summary, queue, now)
        plain_wait_s = advice_s
        if not has_free_room:
            plain_wait_s += self._wait_s(summary, queue, first, is_late=False)
        chain_s = plain_chain_s * accuracy.chain_factor
        chain_s = max(chain_s, work.cpu_s / capacity)
        if work.accelerator_s:
            accelerators = max(summary.room.accelerators, 1.0)
            chain_s = max(chain_s, work.accelerator_s / accelerators)
        end_s = plain_wait_s * accuracy.wait_factor + chain_s
        if end_s > allowed_s:
            plain_wait_s = advice_s
            if not has_free_room:
                plain_wait_s += self._wait_s(summary, queue, first, is_late=True)
            end_s = max(end_s, plain_wait_s * accuracy.wait_factor + chain_s)
        record = ForecastRecord(
            queue.name, now, plain_wait_s, plain_chain_s, end_s, allowed_s
        )
        return Forecast(
            summary.number,
            now - summary.made_at,
            plain_wait_s * accuracy.wait_factor,
            chain_s,
            end_s,
            accuracy.error_s,
            allowed_s,
            USEFUL_TIME_FACTOR * (allowed_s + waited_s) - waited_s,
            capacity,
            work,
            has_free_room,
            accuracy.is_trusted,
            end_s > allowed_s and self._delays_others(summary, queue, work),
            record,
        )

    def has_room_now(self, queue: Queue, forecast: Forecast) -> bool:
        """Return whether capacity is free for a job beside all that waits by now.

        Work may have been done since the summary; asked before a job is turned away.
        """
        cpu, accelerators = count_free(self._pool_state, self._hosts)
        if forecast.work.cpu > cpu:
            return False
        for name, unread in self._unread.items():
            if name not in self._pool_state.jobs:
                cpu -= unread.work.cpu
                accelerators -= unread.work.accelerators
        if queue.priority and self.summary is not None:
            cpu -= self.summary.headroom_cpu
        work = forecast.work
        return work.cpu <= cpu and work.accelerators <= accelerators

    def note_accepted(
        self, queue: Queue, job: Job, forecast: Forecast, *, is_over_weight: bool
    ) -> None:
        """Add an accepted job to the summary, and keep its forecast."""
        self.check.record_forecast(job.id, forecast.record)
        arrived = self._arrivals.get(queue.priority, 0.0) + forecast.work.cpu_s
        self._arrivals[queue.priority] = arrived
        unread = _UnreadJob(
            queue,
            forecast.work,
            forecast.record.accepted_at,
            is_late=forecast.end_s > forecast.allowed_s,
            is_over_weight=is_over_weight,
        )
        self._unread[job.id] = unread
        self._add_to_summary(unread)

    def _class_capacity(
        self, summary: LoadSummary, priority: int, *, is_late: bool
    ) -> float:
        """Return the processors that a class has beside more urgent arrivals."""
        capacity = max(summary.room.cpu, 1.0)
        arriving = sum(
            work_s / ARRIVAL_PERIOD_S
            for other, work_s in self._arrivals.items()
            if other < priority or (is_late and other == priority)
        )
        taken = max(arriving, summary.headroom_cpu if priority else 0.0)
        return max(capacity - taken, capacity * MIN_CAPACITY_FRACTION)

    def _ahead(
        self, summary: LoadSummary, priority: int, *, is_late: bool
    ) -> tuple[float, float]:
        """Return the processor- and accelerator-seconds ahead of a class."""
        cpu_s = accelerator_s = 0.0
        for other, load in summary.waiting.items():
            if other > priority:
                continue
            cpu_s += load.in_time.cpu_s
            accelerator_s += load.in_time.accelerator_s
            if other < priority or is_late:
                cpu_s += load.late.cpu_s
                accelerator_s += load.late.accelerator_s
        return cpu_s, accelerator_s

    def _wait_s(
        self, summary: LoadSummary, queue: Queue, first: Work, *, is_late: bool
    ) -> float:
        """Return the wait for capacity of a job whose first step needs ``first``."""
        room = summary.room
        capacity = self._class_capacity(summary, queue.priority, is_late=is_late)
        cpu_s, accelerator_s = self._ahead(summary, queue.priority, is_late=is_late)
        used_cpu = max(room.cpu - room.free_cpu, 1.0)
        wait_s = compute_drain_s(
            cpu_s, capacity, self._less_urgent(summary, queue.priority)
        )
        wait_s += room.cpu_rest_s * min(1.0, first.cpu / used_cpu)
        if not first.accelerators:
            return wait_s
        accelerators = max(room.accelerators, 1.0)
        used = max(room.accelerators - room.free_accelerators, 1.0)
        other_s = accelerator_s / accelerators
        other_s += room.accelerator_rest_s * min(1.0, first.accelerators / used)
        return max(wait_s, other_s)

    def _less_urgent(self, summary: LoadSummary, priority: int) -> Held:
        """Return what less urgent runs hold, which the class gets as they end."""
        total = Held()
        for other, held in summary.room.held.items():
            if other > priority:
                total.cpu += held.cpu
                total.rest_cpu_s += held.rest_cpu_s
        return total

    def _advice_wait_s(self, summary: LoadSummary, queue: Queue, now: float) -> float:
        """Return the wait for an advisor channel, the own calls left out."""
        if queue.advice is None:
            return 0.0
        silence_s = self._advisor_silence.silence_s(queue, now)
        if silence_s:
            # It is likely to be silent for as long again.
            return silence_s
        room = self._advisor_room.get(queue.name, AdvisorRoom())
        calls_s = sum(
            load.advice_s
            for other, load in summary.waiting.items()
            if other <= queue.priority
        )
        return max(0.0, room.backlog_s) + calls_s / max(1, room.channels)

    def _has_free_room(self, summary: LoadSummary, queue: Queue, first: Work) -> bool:
        """Return whether capacity is free for a step beside all that waits."""
        room = summary.room
        headroom = summary.headroom_cpu if queue.priority else 0.0
        cpu = accelerators = 0.0
        for load in summary.waiting.values():
            cpu += load.in_time.cpu + load.late.cpu
            accelerators += load.in_time.accelerators + load.late.accelerators
        wanted_cpu = min(first.cpu, MAX_WAVE_FRACTION * room.cpu)
        wanted = min(first.accelerators, MAX_WAVE_FRACTION * room.accelerators)
        return (
            cpu + wanted_cpu <= room.free_cpu - headroom
            and accelerators + wanted <= room.free_accelerators
        )

    def _delays_others(self, summary: LoadSummary, queue: Queue, work: Work) -> bool:
        """Return whether late work of this priority makes less urgent work late."""
        own = summary.waiting.get(queue.priority)
        late_s = work.cpu_s + (own.late.cpu_s if own else 0.0)
        for priority, load in summary.waiting.items():
            if priority <= queue.priority or not load.in_time.cpu_s:
                continue
            capacity = max(1.0, summary.room.cpu - summary.headroom_cpu)
            cpu_s, _ = self._ahead(summary, priority, is_late=False)
            without_s = (cpu_s - load.in_time.cpu_s - late_s + work.cpu_s) / capacity
            if without_s <= load.slack_s < without_s + late_s / capacity:
                return True
        return False


def _measure_job(job: Job, run_time_ratio: float) -> tuple[Work, Work]:
    """Return the work of a job, and that of the steps that come first."""
    work, first = Work(), Work()
    for step in job.spec.steps:
        task_s = step.estimate * run_time_ratio
        (work if step.after else first).add_tasks(step, step.count, task_s)
    work.add(first)
    work.cpu, work.accelerators = first.cpu, first.accelerators
    return work, first
