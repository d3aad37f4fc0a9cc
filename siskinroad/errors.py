"""Exceptions of the project; each carries the step and the peer at which it arose."""

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
    """Execution status of a request for which no upstream response was received."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class Reason(StrEnum):
    """Reason for refusing a request or a job; also a metric label."""

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
    OWNERSHIP_UNCERTAIN = "ownership_in_doubt"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_REQUIRED = "key_required"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    HOME_DATA_CENTRE_UNREACHABLE = "home_unreachable"
    DRAINING = "draining"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    RETRIES_EXHAUSTED = "retries_exhausted"
    PEER_LOST = "peer_lost"
    INTERNAL = "internal"


class SiskinroadError(Exception):
    """Base class of the project's exceptions.

    Parameters
    ----------
    message : str
        Short description of the error.
    step : str
        The operation in progress, such as ``"platform.append"``.
    peer : str
        Address or name of the remote side; empty if there is none.
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
    """One problem in a validated file: key path, value found and values allowed."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: got {self.value}, allowed: {self.allowed}"


class ConfigError(SiskinroadError):
    """Rejection of an invalid settings or cell file, with every problem found."""

    def __init__(self, source: str, problems: list[Problem]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(f"{source}: {len(problems)} problem(s)\n{lines}")
        self.source = source
        self.problems = problems


class ConflictError(SiskinroadError):
    """Conflict with another revision that was applied first."""


class PlatformError(SiskinroadError):
    """Failure of a call to the platform; an append may have taken effect."""


class LogTrimmedError(PlatformError):
    """Failure to read log records that are no longer retained.

    Parameters
    ----------
    first_offset : int
        Oldest offset that is still retained.
    peer : str
        Address of the platform; empty if there is none.
    """

    def __init__(self, first_offset: int, *, peer: str = "") -> None:
        super().__init__(
            f"log records before offset {first_offset} are no longer retained",
            step="platform.read",
            peer=peer,
        )
        self.first_offset = first_offset


class ProtocolError(SiskinroadError):
    """Violation of the protocol by the remote side."""


class AuthError(SiskinroadError):
    """Rejection of a missing or wrong token or key."""


class NotSentError(SiskinroadError):
    """Failure to send a request, which therefore certainly did not run."""


class OutcomeUnknownError(SiskinroadError):
    """Failure to receive the complete response to a request that may have run."""


class StaleEpochError(SiskinroadError):
    """Rejection by a host that has seen a higher epoch.

    This daemon no longer owns the host.
    """


class Refusal(SiskinroadError):
    """Refusal of a request that gets no response from an upstream.

    Parameters
    ----------
    reason : Reason
        Reason for the refusal.
    step : str
        The step that refused the request.
    outcome : Outcome
        ``NOT_RUN`` only if the request certainly did not run.
    retry_after : float
        Seconds after which a retry makes sense; 0 if it never does.
    message : str
        One sentence for a human reader; the reason by default.
    peer : str
        Address or name of the remote side; empty if there is none.
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
