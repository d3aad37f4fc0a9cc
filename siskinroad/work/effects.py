"""Effects: actions that an owner's decisions request and its shell executes."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.work.host import Run

__all__ = ["AskAdvice", "Effect", "PaceRun", "SettleHost", "StartRun", "StopRun"]


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
class PaceRun:
    """Request to throttle a run to ``percent`` of its full speed."""

    host: str
    run: Run
    percent: int


@dataclass(slots=True, frozen=True)
class SettleHost:
    """Request to settle a host: reconcile its runs with the owner's view.

    The host is asked at once, with its raised token, what it runs.
    """

    host: str


@dataclass(slots=True, frozen=True)
class AskAdvice:
    """Request for advice on which hosts a step may use.

    ``duration`` is the expected time of the request in seconds.
    """

    step: tuple[str, int, int]
    hosts: tuple[str, ...]
    duration: float


Effect = StartRun | StopRun | PaceRun | SettleHost | AskAdvice
