"""What the owner's decisions ask the shell to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.work.host import Run

__all__ = ["AskAdvice", "Effect", "PaceRun", "SettleHost", "StartRun", "StopRun"]


@dataclass(slots=True, frozen=True)
class StartRun:
    """Send the start of a run that has its room."""

    host: str
    run: Run
    payload: str
    checkpoint: str
    ticket: str


@dataclass(slots=True, frozen=True)
class StopRun:
    """Send the stop of a run."""

    host: str
    run: Run
    reason: str


@dataclass(slots=True, frozen=True)
class PaceRun:
    """Let a run work at ``percent`` of its speed."""

    host: str
    run: Run
    percent: int


@dataclass(slots=True, frozen=True)
class SettleHost:
    """Ask a host at once, under its raised token, what it runs."""

    host: str


@dataclass(slots=True, frozen=True)
class AskAdvice:
    """Ask which hosts a step may use; ``duration`` is the expected time."""

    step: tuple[str, int, int]
    hosts: tuple[str, ...]
    duration: float


Effect = StartRun | StopRun | PaceRun | SettleHost | AskAdvice
