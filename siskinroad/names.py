"""Names of items, tasks, runs and attempts.

The key of an item is ``JOB/INDEX`` for a batch task or a gang, and any other
string for a request. The task of a member is named ``KEY~MEMBER``, a run of the item
``KEY#TRY``, and the attempt of a member in that run ``KEY#TRY~MEMBER``.
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
    """Parsed name of a member's attempt: ``run`` is ``KEY#TRY``, ``number`` ``TRY``."""

    key: str
    run: str
    number: int
    member: int


def task_name(key: str, member: int) -> str:
    """Return the name of one member's task."""
    return f"{key}~{member}"


def split_task(task: str) -> tuple[str, int]:
    """Split the name of a task into the key and the member."""
    key, _, member = task.rpartition("~")
    return key, int(member)


def run_name(key: str, number: int) -> str:
    """Return the name of one run of an item."""
    return f"{key}#{number}"


def attempt_name(run: str, member: int) -> str:
    """Return the name of one member's attempt."""
    return f"{run}~{member}"


def parse_attempt(attempt: str) -> AttemptName | None:
    """Parse the name of an attempt of a batch task or gang.

    Return None for any other name.
    """
    run, _, member = attempt.rpartition("~")
    key, _, number = run.rpartition("#")
    if not member.isdecimal() or not number.isdecimal() or "/" not in key:
        return None
    return AttemptName(key, run, int(number), int(member))


def job_of(key: str) -> tuple[str, int]:
    """Split the key of a batch task or gang into the job and the index.

    The index is -1 if the key has none.
    """
    job, _, index = key.rpartition("/")
    return job, int(index) if index.isdecimal() else -1
