"""Retry policy of requests: whether a failed request is tried again, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.cell import Workload
from siskinroad.errors import Outcome, Reason, Refusal

__all__ = ["Budget", "Failure", "Retry", "decide_retry"]

# Retries earned by each first try. A larger value adds more load to upstreams that
# already fail.
BUDGET_PER_TRY = 0.1
# Retries that an owner may make before it has earned any.
INITIAL_BUDGET = 10.0
# Most retries that an owner can save up; it bounds a burst of retries.
MAX_BUDGET = 100.0
# First and longest backoff in seconds; it doubles with each try.
FIRST_BACKOFF = 0.05
MAX_BACKOFF = 5.0


class Failure(StrEnum):
    """Kind of failure of a try.

    ``NOT_SENT`` and ``REJECTED`` mean that the request certainly did not run.
    """

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Retry:
    """Decision to try again after ``delay`` seconds."""

    delay: float


@dataclass(slots=True)
class Budget:
    """Retry budget of one owner.

    Each first try earns a tenth of a retry, so that retries add at most a tenth to
    the load in the long run. Repeating a try that was never sent costs nothing.
    """

    tokens: float = INITIAL_BUDGET

    def earn_retry(self) -> None:
        """Add the fraction of a retry that one first try earns."""
        self.tokens = min(self.tokens + BUDGET_PER_TRY, MAX_BUDGET)

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def return_retry(self) -> None:
        """Give back a retry that was taken from the budget and not made."""
        self.tokens = min(self.tokens + 1.0, MAX_BUDGET)


def decide_retry(
    workload: Workload,
    failure: Failure,
    tries: int,
    budget: Budget,
    rng: random.Random,
) -> Retry | Refusal:
    """Decide whether a failed request is tried again or refused.

    Parameters
    ----------
    tries : int
        Tries made so far, including the failed one.

    Returns
    -------
    Retry or Refusal
        A refusal has the outcome "not run" only if the try certainly did not run.
    """
    may_have_run = failure in (Failure.UNKNOWN, Failure.FAILED)
    if may_have_run and not workload.idempotent:
        return _refuse(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    if tries > workload.retries:
        return _refuse(Reason.RETRIES_EXHAUSTED, outcome)
    if failure is not Failure.NOT_SENT and not budget.spend_retry():
        return _refuse(Reason.RETRIES_EXHAUSTED, outcome)
    max_delay = min(FIRST_BACKOFF * 2 ** (tries - 1), MAX_BACKOFF)
    return Retry(rng.uniform(max_delay / 2, max_delay))


def _refuse(reason: Reason, outcome: Outcome) -> Refusal:
    return Refusal(reason, step="retry", outcome=outcome, retry_after=1.0)
