"""Admission: whether a submitted job is accepted, or turned away at once.

The load that it answers: more jobs come than the pool can run while they are of use.
Accepted alike, all become late together, and some are never run. So a job is turned
away

- if it cannot end while it is of use to its caller,
- if it would be late itself and make others late that would be in time, or
- if its account sends more than its weight while the pool is short of room.

A job beside free room is never turned away, nor one with occurrences or with tasks that
last, whose use does not end with a target time. Without a forecast, or with one that is
worse than chance, every job is accepted.

Nothing here does I/O. Loop times are passed as ``now``, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from siskinroad.work.client_accounts import AccountDirectory
from siskinroad.work.job import Job
from siskinroad.work.load_forecast import Forecast, LoadForecast
from siskinroad.work.model import Queue
from siskinroad.work.pool_state import PoolState
from siskinroad.work.return_times import ReturnTimes
from siskinroad.work.submit_rates import SubmitRates

__all__ = ["Accept", "Admission", "LoadRefusal", "RefusalReason"]

# Fraction of the time for which a job may wait, and still be in time, from which on the
# pool is short of room: beyond it, jobs of the other accounts become late.
SHORT_WAIT_FRACTION = 0.5
# Refused jobs of which the first refusal is remembered.
REMEMBERED_REFUSALS = 20_000


class RefusalReason(StrEnum):
    """Why a job was turned away."""

    OF_NO_USE = "load_of_no_use"
    DELAYS_OTHERS = "load_delays_others"
    ACCOUNT_OVER_WEIGHT = "load_account_over_weight"


@dataclass(slots=True, frozen=True)
class Accept:
    """A job may be stored.

    Attributes
    ----------
    forecast : Forecast or None
        None if there was none.
    waited_s : float
        Seconds since the job was first submitted, if it was turned away then.
    """

    forecast: Forecast | None
    is_over_weight: bool = False
    waited_s: float = 0.0


@dataclass(slots=True, frozen=True)
class LoadRefusal:
    """A job is turned away; its caller should return after ``retry_after_s``.

    ``retry_after_s`` is in whole seconds, as callers count in these; ``waited_s`` is
    the time since the job was first turned away.
    """

    reason: RefusalReason
    retry_after_s: int
    forecast: Forecast
    is_over_weight: bool
    waited_s: float


@dataclass(slots=True, frozen=True)
class _RefusedJob:
    """When a job was first turned away, and when its caller should return."""

    first_at: float
    return_at: float


class Admission:
    """Decisions about the jobs that are submitted to one owner's pool.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.
    forecast : LoadForecast
        Forecast of the pool.

    Attributes
    ----------
    over_weight_jobs : dict of str to None
        Open jobs that accounts have sent beyond their weight, oldest first.
    """

    def __init__(self, pool_state: PoolState, forecast: LoadForecast) -> None:
        self._pool_state = pool_state
        self._forecast = forecast
        self._rates = SubmitRates()
        self._return_times = ReturnTimes()
        self._refused: dict[str, _RefusedJob] = {}
        self.over_weight_jobs: dict[str, None] = {}

    def decide(self, job: Job, now: float) -> Accept | LoadRefusal:
        """Decide about a job that is not accepted yet."""
        queue = self._pool_state.queues.get(job.queue)
        if queue is None:
            return Accept(None)
        refused = self._refused.get(job.id)
        waited_s = now - refused.first_at if refused is not None else 0.0
        forecast = self._forecast.predict(queue, job, now, waited_s)
        is_over_weight = self._is_over_weight(job.account, now)
        if forecast is None or _is_exempt(job):
            return self._accept(queue, job, forecast, is_over_weight, now)
        reason = self._find_reason(job, forecast, is_over_weight, now)
        if reason is None or self._forecast.has_room_now(queue, forecast):
            return self._accept(queue, job, forecast, is_over_weight, now)
        return self._refuse(queue, job, forecast, reason, is_over_weight, now)

    def note_ended(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self.over_weight_jobs.pop(job_id, None)

    def _is_over_weight(self, account: str, now: float) -> bool:
        directory = self._find_directory()
        owner = directory.find(account) if directory is not None else None
        if owner is None:
            return False
        return self._rates.is_over_weight(account, owner.owner.weight, now)

    def _find_directory(self) -> AccountDirectory | None:
        configuration = self._pool_state.configuration
        return configuration.accounts if configuration is not None else None

    def _find_reason(
        self, job: Job, forecast: Forecast, is_over_weight: bool, now: float
    ) -> RefusalReason | None:
        """Return why a job should be turned away; None if it should not.

        A caller that returns when it was told to has waited for its turn: unless its
        account is over its weight, its job is turned away again only if it is of no use
        any more.
        """
        if forecast.has_free_room or not forecast.is_trusted:
            return None
        slack_s = forecast.allowed_s - forecast.record.plain_chain_s
        if is_over_weight and forecast.wait_s > SHORT_WAIT_FRACTION * slack_s:
            return RefusalReason.ACCOUNT_OVER_WEIGHT
        if forecast.end_s - forecast.spread_s > forecast.useful_s:
            return RefusalReason.OF_NO_USE
        refused = self._refused.get(job.id)
        has_returned = refused is not None and now >= refused.return_at
        if forecast.delays_others and not has_returned:
            return RefusalReason.DELAYS_OTHERS
        return None

    def _accept(
        self,
        queue: Queue,
        job: Job,
        forecast: Forecast | None,
        is_over_weight: bool,
        now: float,
    ) -> Accept:
        refused = self._refused.pop(job.id, None)
        waited_s = now - refused.first_at if refused is not None else 0.0
        if self._find_directory() is not None and job.account:
            self._rates.record(job.account, now)
        if is_over_weight:
            self.over_weight_jobs[job.id] = None
        if forecast is not None and not _is_exempt(job):
            self._forecast.note_accepted(
                queue, job, forecast, is_over_weight=is_over_weight
            )
        return Accept(forecast, is_over_weight, waited_s)

    def _refuse(
        self,
        queue: Queue,
        job: Job,
        forecast: Forecast,
        reason: RefusalReason,
        is_over_weight: bool,
        now: float,
    ) -> LoadRefusal:
        slack_s = max(0.0, forecast.allowed_s - forecast.chain_s)
        former = self._refused.get(job.id)
        first_at = former.first_at if former is not None else now
        longest_s = forecast.useful_s - forecast.chain_s
        booked_s = self._return_times.book(
            (queue.priority, is_over_weight),
            max(0.0, forecast.wait_s - slack_s),
            forecast.work.cpu_s,
            forecast.capacity_cpu,
            longest_s,
            now,
        )
        # A whole second later than the longest time would be too late.
        retry_after_s = min(ceil(booked_s), max(1, int(longest_s)))
        self._refused[job.id] = _RefusedJob(first_at, now + retry_after_s)
        if len(self._refused) > REMEMBERED_REFUSALS:
            del self._refused[next(iter(self._refused))]
        return LoadRefusal(
            reason, retry_after_s, forecast, is_over_weight, now - first_at
        )

    def keep_accounts(self) -> None:
        """Forget the rates of accounts that the configuration no longer has."""
        directory = self._find_directory()
        self._rates.keep_only(set(directory.by_name) if directory else set())


def _is_exempt(job: Job) -> bool:
    """Return whether a job is never turned away for load."""
    spec = job.spec
    if spec.occurrences > 1 or spec.first:
        return True
    return any(step.long_running for step in spec.steps)
