"""Typed errors; each carries the step and the peer at which it arose."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AuthError",
    "ConfigError",
    "ConflictError",
    "LogTrimmedError",
    "NotSentError",
    "Outcome",
    "OutcomeUnknownError",
    "PlatformError",
    "Problem",
    "ProtocolError",
    "Reason",
    "Refusal",
    "SiskinroadError",
    "StaleEpochError",
]


class Outcome(StrEnum):
    """What is known of a request that was not answered by an upstream."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class Reason(StrEnum):
    """Why a request or a job was refused; one metric label for each."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    NO_CONFIGURATION = "no_configuration"
    CAN_NEVER_RUN = "can_never_run"
    QUOTA = "quota"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NO_OWNER = "no_owner"
    OWNERSHIP_IN_DOUBT = "ownership_in_doubt"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REQUIRED = "key_required"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    HOME_UNREACHABLE = "home_unreachable"
    DRAINING = "draining"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    RETRIES_EXHAUSTED = "retries_exhausted"
    PEER_LOST = "peer_lost"
    INTERNAL = "internal"


class SiskinroadError(Exception):
    """Base class of all errors of the project.

    Parameters
    ----------
    message : str
        What went wrong, in one short sentence.
    step : str
        The step that was being carried out, such as ``"platform.append"``.
    peer : str
        The address or name of the other side, empty if there is none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.message} ({where})" if where else self.message


@dataclass(slots=True, frozen=True)
class Problem:
    """One fault in a checked file: its place, the value and what is allowed."""

    place: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: got {self.value}, allowed: {self.allowed}"


class ConfigError(SiskinroadError):
    """A settings or cell file is not valid; carries every problem at once."""

    def __init__(self, source: str, problems: list[Problem]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(f"{source}: {len(problems)} problem(s)\n{lines}")
        self.source = source
        self.problems = problems


class ConflictError(SiskinroadError):
    """Another revision was put in force first."""


class PlatformError(SiskinroadError):
    """The platform did not answer; an append may have taken effect."""


class LogTrimmedError(PlatformError):
    """Records before ``first`` are no longer retained."""

    def __init__(self, first: int, *, peer: str = "") -> None:
        super().__init__(f"log starts at {first}", step="platform.read", peer=peer)
        self.first = first


class ProtocolError(SiskinroadError):
    """The other side sent something that is not allowed."""


class AuthError(SiskinroadError):
    """A token or key is missing or wrong."""


class NotSentError(SiskinroadError):
    """Nothing reached the upstream: the request was certainly not run."""


class OutcomeUnknownError(SiskinroadError):
    """The request was sent, but no whole answer came back."""


class StaleEpochError(SiskinroadError):
    """The worker has seen a higher epoch: this daemon owns it no longer."""


class Refusal(SiskinroadError):
    """The true answer to a request that has no answer from an upstream.

    Parameters
    ----------
    reason : Reason
        Why it was refused.
    step : str
        The step that refused it.
    outcome : Outcome
        ``NOT_RUN`` only where it is certain.
    retry_after : float
        Seconds after which a retry is sensible; 0 if never.
    message : str
        One sentence for a person.
    """

    def __init__(
        self,
        reason: Reason,
        *,
        step: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float = 0.0,
        message: str = "",
        peer: str = "",
    ) -> None:
        text = message or reason.value.replace("_", " ")
        super().__init__(text, step=step, peer=peer)
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
