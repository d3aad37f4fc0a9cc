"""Whether a failed try may be repeated, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.cell import Workload
from siskinroad.errors import Outcome, Reason, Refusal

__all__ = ["Budget", "Failure", "Retry", "decide"]

BUDGET_RATIO = 0.1
BUDGET_FLOOR = 10.0
BUDGET_MAX = 100.0
FIRST_BACKOFF = 0.05
LONGEST_BACKOFF = 5.0


class Failure(StrEnum):
    """What is known of a failed try."""

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Retry:
    """Try again after ``delay`` seconds."""

    delay: float


@dataclass(slots=True)
class Budget:
    """Retries that one owner may still make.

    Each first try earns a tenth of a retry, so that retries never add more than
    a tenth to the load, whatever fails. Tries that never left this daemon cost
    nothing.
    """

    tokens: float = BUDGET_FLOOR

    def earn(self) -> None:
        """Note a first try."""
        self.tokens = min(self.tokens + BUDGET_RATIO, BUDGET_MAX)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide(
    workload: Workload,
    failure: Failure,
    tries: int,
    budget: Budget,
    rng: random.Random,
) -> Retry | Refusal:
    """Decide what follows a failed try of a request.

    Parameters
    ----------
    tries : int
        Tries made so far, this one included.

    Returns
    -------
    Retry or Refusal
        "Not run" only if the try certainly did not run.
    """
    ran = failure in (Failure.UNKNOWN, Failure.FAILED)
    if ran and not workload.idempotent:
        return _refuse(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)
    outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
    if tries > workload.retries:
        return _refuse(Reason.RETRIES_EXHAUSTED, outcome)
    if failure is not Failure.NOT_SENT and not budget.spend():
        return _refuse(Reason.RETRIES_EXHAUSTED, outcome)
    longest = min(FIRST_BACKOFF * 2 ** (tries - 1), LONGEST_BACKOFF)
    return Retry(rng.uniform(longest / 2, longest))


def _refuse(reason: Reason, outcome: Outcome) -> Refusal:
    return Refusal(reason, step="retry", outcome=outcome, retry_after=1.0)
