"""Replies of the job service to callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from siskinroad.work.key_check import KeyOutcome

__all__ = ["CallerReply", "ReplyKind", "refuse_for_now", "refuse_key"]

# Least seconds after which a caller should retry: about the time of a takeover.
MIN_RETRY_AFTER = 1.0
# The retry time as a fraction of the outage's age so far, and its maximum in seconds.
RETRY_AFTER_FACTOR = 0.5
MAX_RETRY_AFTER = 4.0


class ReplyKind(StrEnum):
    """The kinds of reply to a caller."""

    OK = "ok"
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"
    NOT_NOW = "not_now"
    NEVER = "never"
    UNKNOWN = "unknown"
    NO_KEY = "no_key"
    OTHER_ACCOUNT = "other_account"


@dataclass(slots=True, frozen=True)
class CallerReply:
    """The reply to one request of a caller.

    Attributes
    ----------
    state : str
        The job's state, if it was requested.
    pending : int
        Number of jobs of the queue that have not started.
    reason : str
        Why the request was refused.
    retry_after : float
        Seconds after which the caller should retry; 0 if it should not.
    """

    kind: ReplyKind
    state: str = ""
    pending: int = 0
    reason: str = ""
    retry_after: float = 0.0


def refuse_for_now(reason: str, outage_s: float = 0.0) -> CallerReply:
    """Refuse with a retry time that grows with the age of the outage.

    An outage that has lasted for a while is likely to last for as long again.
    """
    retry_after_s = min(
        MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, outage_s * RETRY_AFTER_FACTOR)
    )
    return CallerReply(ReplyKind.NOT_NOW, reason=reason, retry_after=retry_after_s)


def refuse_key(outcome: KeyOutcome, configuration_age_s: float) -> CallerReply | None:
    """Return the refusal of a caller's key; None if it is admitted."""
    match outcome:
        case KeyOutcome.NOT_NEEDED | KeyOutcome.ADMITTED:
            return None
        case KeyOutcome.UNKNOWN_KEY:
            return CallerReply(ReplyKind.NO_KEY, reason=outcome.value)
    return refuse_for_now(outcome.value, configuration_age_s)
