"""Order in which the waiting steps of a pool are planned.

The load that it answers: short urgent jobs come in a burst from all client accounts,
while one account sends several times what is owed to it, and the pool is full for some
seconds. With the earliest target time first, all accounts become late together, and
urgent steps that are of no use any more go before other work in time.

A deployment without client accounts keeps the order by priority, lateness and target
time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum, StrEnum

from siskinroad.work.account_rates import AccountRates
from siskinroad.work.floor_turns import FloorTurns
from siskinroad.work.job import StepRun
from siskinroad.work.job_table import JobTable, QueueTimes

__all__ = [
    "Lateness",
    "Place",
    "RankedStep",
    "ShareRank",
    "WaitingOrder",
    "find_place",
]

# Least fraction of its predicted time in which a step may reach the end of its job.
# Declared times are rough: a larger value counts steps as late that can still meet
# their target time.
EARLIEST_END_FRACTION = 0.8
# A job has no value left for its users once it has taken this multiple of its allowed
# time.
WORTHLESS_FACTOR = 3.0
# Added to the priority of steps that are of no use any more: they follow all others.
NO_USE_PRIORITY = 1 << 16
# Added to the lateness of steps that are beyond the rate owed to their account.
EXCESS_LEVEL = 2
# Multiple of the mean rank of the waiting accounts from which one is over its share.
OVER_SHARE_FACTOR = 2.0

# Returns an account's use in proportion to its weight at a loop time; the lowest goes
# first.
ShareRank = Callable[[str, float], float]


class Lateness(IntEnum):
    """Whether a step can be done in time, only late, or not while it is of use."""

    IN_TIME = 0
    LATE = 1
    NO_USE = 2


class Place(StrEnum):
    """Why a step has its place in the order; a label of a metric."""

    IN_TIME = "in_time"
    LATE = "late"
    OVER_SHARE = "over_share"
    BEYOND_RATE = "beyond_rate"
    NO_USE = "no_use"
    FLOOR_TURN = "floor_turn"


@dataclass(slots=True)
class RankedStep:
    """Step in its place in the order, with why it has it.

    Attributes
    ----------
    is_excess : bool
        Its job is beyond the rate owed to its account.
    is_over_share : bool
        Its account uses more than its share of the pool.
    has_floor_turn : bool
        It has waited so long that it is planned like a step in time.
    """

    step: StepRun
    lateness: Lateness
    is_excess: bool = False
    is_over_share: bool = False
    has_floor_turn: bool = False

    @property
    def is_behind_others(self) -> bool:
        """Whether steps of other accounts go first because of the step's account."""
        return (self.is_excess or self.is_over_share) and not self.has_floor_turn


@dataclass(slots=True)
class _StepTimes:
    """Lateness of a step, its target time, and the seconds to the end of its job."""

    lateness: Lateness
    target_time: float
    remaining_s: float


def ignore_shares(account: str, now: float) -> float:
    """Return the same rank for each account."""
    return 0.0


class WaitingOrder:
    """Order of the waiting steps of one pool.

    Parameters
    ----------
    jobs : JobTable
        Jobs of the pool.
    share_rank : callable
        Use of an account in proportion to its weight, as `siskinroad.shares.Shares`
        ranks it; by default all accounts are alike.

    Attributes
    ----------
    rates : AccountRates
        Jobs that are beyond the rate owed to their account.
    """

    def __init__(self, jobs: JobTable, share_rank: ShareRank = ignore_shares) -> None:
        self._jobs = jobs
        self.share_rank = share_rank
        self.rates = AccountRates()
        self._floor_turns = FloorTurns()

    def rank(
        self, steps: list[StepRun], now: float, wall: float, cpu_milli: float
    ) -> list[RankedStep]:
        """Return the steps in the order in which they are planned.

        Parameters
        ----------
        cpu_milli : float
            Thousandths of a processor of the hosts in use.
        """
        configuration = self._jobs.configuration
        if configuration is None or configuration.accounts is None:
            return self._rank_by_target_time(steps, now, wall)
        owners = configuration.accounts.owners()
        self.rates.judge((step.job for step in steps), owners)
        return self._rank_with_accounts(steps, now, wall, cpu_milli)

    def _rank_by_target_time(
        self, steps: list[StepRun], now: float, wall: float
    ) -> list[RankedStep]:
        """Return the steps by priority, lateness and target time.

        Steps that can still meet their target time come first. Under overload, the
        earliest target time first would spend capacity on steps that are late anyway,
        and so make the next ones late too. Long-running steps are ranked by target time
        alone: their users count every second without them, however late they are.
        """
        keyed: list[tuple[int, int, float, int, Lateness]] = []
        for i, step, times in self._compute_times(steps, now, wall):
            priority = self._jobs.queues[step.job.queue].priority
            level = 0 if step.spec.long_running else int(times.lateness)
            step.rank = (priority, level)
            keyed.append((priority, level, times.target_time, i, times.lateness))
        keyed.sort()
        return [RankedStep(steps[i], lateness) for *_, i, lateness in keyed]

    def _rank_with_accounts(
        self, steps: list[StepRun], now: float, wall: float, cpu_milli: float
    ) -> list[RankedStep]:
        """Return the steps by priority, what is owed, lateness, share and time."""
        over_share = self._find_accounts_over_share(steps, now)
        found: list[tuple[RankedStep, _StepTimes]] = []
        for _, step, times in self._compute_times(steps, now, wall):
            lateness = times.lateness
            if step.spec.long_running:
                lateness = Lateness.IN_TIME
            account = step.job.account
            ranked = RankedStep(
                step, lateness, step.job.is_excess is True, account in over_share
            )
            found.append((ranked, times))
        delayed = [
            ranked.step
            for ranked, _ in found
            if ranked.lateness or ranked.is_behind_others
        ]
        turns = self._floor_turns.choose(delayed, now, cpu_milli)
        keyed: list[tuple[int, int, bool, float, float, int]] = []
        result: list[RankedStep] = []
        for ranked, times in found:
            ranked.has_floor_turn = ranked.step.key in turns
            keyed.append((*self._make_key(ranked, times), len(result)))
            result.append(ranked)
        keyed.sort()
        return [result[key[-1]] for key in keyed]

    def _make_key(
        self, ranked: RankedStep, times: _StepTimes
    ) -> tuple[int, int, bool, float, float]:
        """Return the key by which a step is sorted, and set the step's rank."""
        step = ranked.step
        priority = self._jobs.queues[step.job.queue].priority
        if ranked.has_floor_turn:
            step.rank = (priority, Lateness.IN_TIME)
            return (*step.rank, False, 0.0, times.target_time)
        level = int(ranked.lateness) + EXCESS_LEVEL * ranked.is_excess
        order_s = 0.0
        match ranked.lateness:
            case Lateness.LATE:
                # The shortest first leaves the fewest that never end while of use.
                order_s = times.remaining_s
            case Lateness.NO_USE:
                priority += NO_USE_PRIORITY
        step.rank = (priority, level)
        return (*step.rank, ranked.is_over_share, order_s, times.target_time)

    def _find_accounts_over_share(
        self, steps: Iterable[StepRun], now: float
    ) -> set[str]:
        """Return the waiting accounts that use far more than their share."""
        names = {step.job.account for step in steps} - {""}
        ranks = {name: self.share_rank(name, now) for name in names}
        if not any(ranks.values()):
            return set()
        limit = OVER_SHARE_FACTOR * sum(ranks.values()) / len(ranks)
        return {name for name, rank in ranks.items() if rank > limit}

    def _compute_times(
        self, steps: list[StepRun], now: float, wall: float
    ) -> Iterable[tuple[int, StepRun, _StepTimes]]:
        """Yield the times of each step whose queue is known, with its position."""
        queue_times: dict[str, QueueTimes] = {}
        for i, step in enumerate(steps):
            name = step.job.queue
            if name not in self._jobs.queues:
                continue
            if name not in queue_times:
                queue_times[name] = self._jobs.queue_times(name)
            yield i, step, _compute_step_times(step, queue_times[name], now, wall)


def find_place(ranked: RankedStep) -> Place:
    """Return why a step has its place, the strongest of several reasons."""
    if ranked.has_floor_turn:
        return Place.FLOOR_TURN
    if ranked.lateness is Lateness.NO_USE:
        return Place.NO_USE
    if ranked.is_excess:
        return Place.BEYOND_RATE
    if ranked.is_over_share:
        return Place.OVER_SHARE
    return Place.LATE if ranked.lateness else Place.IN_TIME


def _compute_step_times(
    step: StepRun, times: QueueTimes, now: float, wall: float
) -> _StepTimes:
    """Return the times of a step.

    The allowed time of a long-running step counts from when its tasks began to wait, as
    its job never ends by itself.
    """
    job = step.job
    remaining_s = job.remaining_times[step.number] * times.run_time_ratio
    allowed_time = times.allowed_time(job)
    base_time = job.base_time(step.occurrence)
    if step.spec.long_running:
        base_time = max(base_time, wall - (now - step.waiting_since))
    target_time = base_time + allowed_time
    earliest_end = wall + EARLIEST_END_FRACTION * remaining_s
    if earliest_end <= target_time:
        return _StepTimes(Lateness.IN_TIME, target_time, remaining_s)
    worthless_at = target_time + (WORTHLESS_FACTOR - 1) * allowed_time
    lateness = Lateness.LATE if earliest_end < worthless_at else Lateness.NO_USE
    return _StepTimes(lateness, target_time, remaining_s)
