"""Names of items, members' tasks and attempts.

An item's key is ``JOB/INDEX`` for a batch task or a gang, and any other word for
a request. A member's task is ``KEY~MEMBER``, a run of the item ``KEY#TRY`` and a
member's attempt ``KEY#TRY~MEMBER``.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AttemptName",
    "attempt_name",
    "job_of",
    "parse_attempt",
    "run_name",
    "split_task",
    "task_name",
]


@dataclass(slots=True, frozen=True)
class AttemptName:
    """The parts of a member's attempt; ``run`` is ``KEY#TRY``."""

    key: str
    run: str
    number: int
    member: int


def task_name(key: str, member: int) -> str:
    """Return the name of one member's task."""
    return f"{key}~{member}"


def split_task(task: str) -> tuple[str, int]:
    """Return the key and the member of a task's name."""
    key, _, member = task.rpartition("~")
    return key, int(member)


def run_name(key: str, number: int) -> str:
    """Return the name of one try of an item."""
    return f"{key}#{number}"


def attempt_name(run: str, member: int) -> str:
    """Return the name of one member's attempt."""
    return f"{run}~{member}"


def parse_attempt(attempt: str) -> AttemptName | None:
    """Return the parts of a batch task's or gang's attempt, or None."""
    run, _, member = attempt.rpartition("~")
    key, _, number = run.rpartition("#")
    if not member.isdecimal() or not number.isdecimal() or "/" not in key:
        return None
    return AttemptName(key, run, int(number), int(member))


def job_of(key: str) -> tuple[str, int]:
    """Return the job and index of a batch task's or gang's key."""
    job, _, index = key.rpartition("/")
    return job, int(index) if index.isdecimal() else -1
