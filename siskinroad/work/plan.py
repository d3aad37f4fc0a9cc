"""What one plan of a pool works with: its room, its choices, and what fits where."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.book import Book
from siskinroad.work.effects import Effect
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun, Task
from siskinroad.work.lines import LineTimes

__all__ = [
    "Plan",
    "Trial",
    "allows",
    "avoids",
    "can_hold",
    "is_large",
    "missing",
    "room_soon",
]

# Seconds for which a task keeps off a host where it failed.
AVOID_TIME = 1.5
# Part of a host that makes a task large: single tasks fill such gaps first.
LARGE_PART = 0.5


@dataclass(slots=True)
class Plan:
    """Room left while one plan is made.

    Attributes
    ----------
    demand : dict of str to float
        How much of each host the waiting steps want.
    lent : float
        Thousandths of a processor that less urgent work may yet take.
    closed : set of str
        Hosts that are kept for blocked gangs.
    renewed : int
        Blocked steps whose tickets this plan renews.
    lines : LineTimes or None
        When the lines to the advisor are free; None for at any time.
    """

    book: Book
    now: float
    wall: float
    hosts: list[Host]
    demand: dict[str, float]
    lent: float = 0.0
    closed: set[str] = field(default_factory=set)
    renewed: int = 0
    lines: LineTimes | None = None
    effects: list[Effect] = field(default_factory=list)


@dataclass(slots=True)
class Trial:
    """Hosts chosen for tasks of one step, before anything is given."""

    chosen: list[tuple[Task, Host]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


def avoids(task: Task, host: Host, now: float) -> bool:
    """Return whether a task failed there a moment ago; later it may go back.

    The host may be the only one that is allowed, or that has room. Two copies of a
    task never go to the same host.
    """
    if host.name == task.older:
        return True
    failed_at = task.avoid.get(host.name)
    return failed_at is not None and now - failed_at < AVOID_TIME


def can_hold(host: Host, step: StepRun) -> bool:
    """Return whether the empty host could hold a task of the step."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    return spec.need.fits(host.entry.capacity)


def allows(step: StepRun, host: Host, trial: Trial) -> bool:
    """Return whether the step may have one more task on the host."""
    spec = step.spec
    if spec.label and spec.label not in host.entry.labels:
        return False
    if not spec.spread:
        return True
    count = step.by_host.get(host.name, 0) + trial.counts.get(host.name, 0)
    return count < spec.spread


def is_large(plan: Plan, step: StepRun) -> bool:
    """Return whether a task of the step needs most of a host."""
    rooms = [host.entry.capacity for host in plan.hosts if can_hold(host, step)]
    return any(step.spec.need.dominant(room) >= LARGE_PART for room in rooms)


def room_soon(host: Host, step: StepRun, now: float) -> Resources:
    """Return the room of a host once what is being stopped there has ended."""
    room = host.free(step.key, now)
    for run in host.runs.values():
        if run.state in ("stopping", "withdrawn"):
            room = room + run.need
    return room


def missing(room: Resources, step: StepRun) -> float:
    """Return how far a host's room is from holding one task of the step."""
    need = step.spec.need
    return (
        max(0, need.accelerators - room.accelerators) * 1000
        + max(0, need.cpu_milli - room.cpu_milli) / 1000
        + max(0, need.memory_mib - room.memory_mib) / 10000
    )
