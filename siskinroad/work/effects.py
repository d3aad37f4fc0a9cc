"""Effects: actions that the pool state requests and the pool's owner executes."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.work.host import Run

__all__ = [
    "Effect",
    "ReconcileHost",
    "RequestAdvice",
    "StartRun",
    "StopRun",
    "ThrottleRun",
]


@dataclass(slots=True, frozen=True)
class StartRun:
    """Request to start a run whose capacity is reserved."""

    host: str
    run: Run
    payload: str
    checkpoint: str
    ticket: str


@dataclass(slots=True, frozen=True)
class StopRun:
    """Request to stop a run."""

    host: str
    run: Run
    reason: str


@dataclass(slots=True, frozen=True)
class ThrottleRun:
    """Request to throttle a run to ``percent`` of its full speed.

    ``former_percent`` is what the run was allowed before, and still is if the host
    does not carry out the command.
    """

    host: str
    run: Run
    percent: int
    former_percent: int = 100


@dataclass(slots=True, frozen=True)
class ReconcileHost:
    """Request to reconcile a host's runs with the owner's view.

    The owner requests a report from the host at once, under the host's raised token.
    """

    host: str


@dataclass(slots=True, frozen=True)
class RequestAdvice:
    """Request for advice on which hosts a step may use.

    ``duration`` is the expected time of the request in seconds.
    """

    step: tuple[str, int, int]
    hosts: tuple[str, ...]
    duration: float


Effect = StartRun | StopRun | ThrottleRun | ReconcileHost | RequestAdvice
