"""Checks of the promises, from what hosts, the platform and callers saw."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.upstreams_memory import Event, MemoryWorker

LEAVING_TIME = 3.0


@dataclass
class Asked:
    """A caller's request and what it was told: an answer, or a refusal."""

    body: bytes
    service: str
    idempotent: bool
    asked: float
    answer: bytes | None = None
    status: int = 0
    reason: str = ""
    outcome: str = ""
    answered: float = 0.0
    repeated: bool = False


@dataclass
class Seen:
    """Everything that was seen from outside.

    ``revisions`` has (time, daemon, incarnation, revision) as operators read them,
    ``accepted`` the jobs that callers were told are accepted, with their size, and
    ``left`` the time at which the list showed a host as leaving, and until when.
    """

    asked: list[Asked] = field(default_factory=list)
    revisions: list[tuple[float, str, int, int]] = field(default_factory=list)
    accepted: dict[str, int] = field(default_factory=dict)
    cancelled: dict[str, float] = field(default_factory=dict)
    settled: set[str] = field(default_factory=set)
    left: list[tuple[str, float, float]] = field(default_factory=list)
    must_answer: bool = False


def check(seen: Seen, workers: dict[str, MemoryWorker]) -> list[str]:
    """Return each broken promise as a sentence."""
    faults: list[str] = []
    events = sorted((e for w in workers.values() for e in w.events), key=_order)
    faults += _overfill(events, workers)
    faults += _twice(events)
    faults += _answers(seen)
    faults += _not_run(seen, events)
    faults += _at_most_once(seen, events)
    faults += _leaving(seen, events)
    faults += _reverts(seen)
    faults += _lost(seen)
    faults += _cancelled(seen, events)
    return faults


def _order(event: Event) -> int:
    return event.number


def _overfill(events: list[Event], workers: dict[str, MemoryWorker]) -> list[str]:
    used: dict[str, Resources] = defaultdict(Resources)
    faults = []
    for event in events:
        if event.kind == "start":
            used[event.host] = used[event.host] + event.used
            room = workers[event.host].capacity
            if not used[event.host].fits(room):
                faults.append(f"{event.host} overfilled at {event.time:.2f}")
        else:
            used[event.host] = used[event.host] - event.used
    return faults


def _twice(events: list[Event]) -> list[str]:
    running: dict[str, str] = {}
    faults = []
    for event in events:
        if event.body:
            continue
        if event.kind != "start":
            if running.get(event.task) == event.host:
                del running[event.task]
            continue
        if event.task in running:
            where = f"{running[event.task]} and {event.host}"
            faults.append(f"{event.task} ran on {where} at {event.time:.2f}")
        running[event.task] = event.host
    return faults


def _answers(seen: Seen) -> list[str]:
    faults = []
    for asked in seen.asked:
        if asked.status == 200 and asked.answer != asked.body:
            faults.append(f"{asked.body!r} got the answer {asked.answer!r}")
        if asked.status == 0 and not asked.reason:
            faults.append(f"{asked.body!r} got no answer")
        if seen.must_answer and asked.status != 200:
            faults.append(f"{asked.body!r} was cut: {asked.reason} {asked.outcome}")
    return faults


def _starts(events: list[Event]) -> dict[bytes, int]:
    starts: dict[bytes, int] = defaultdict(int)
    for event in events:
        if event.body and event.kind == "start":
            starts[event.body] += 1
    return starts


def _not_run(seen: Seen, events: list[Event]) -> list[str]:
    first: dict[bytes, float] = {}
    for event in events:
        if event.body and event.kind == "start":
            first.setdefault(event.body, event.time)
    faults = []
    for asked in seen.asked:
        began = first.get(asked.body)
        if asked.outcome != "not run" or began is None:
            continue
        if began <= asked.answered or not asked.repeated:
            faults.append(f"{asked.body!r} was not run ({asked.reason}) and ran")
    return faults


def _at_most_once(seen: Seen, events: list[Event]) -> list[str]:
    starts = _starts(events)
    once = {asked.body for asked in seen.asked if not asked.idempotent}
    return [f"{body!r} ran {starts[body]} times" for body in once if starts[body] > 1]


def _leaving(seen: Seen, events: list[Event]) -> list[str]:
    faults = []
    for host, since, until in seen.left:
        for event in events:
            late = since + LEAVING_TIME < event.time < until
            if event.host == host and event.kind == "start" and late:
                faults.append(
                    f"{host} got work {event.time - since:.1f} s after leaving"
                )
    return faults


def _reverts(seen: Seen) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    faults = []
    for time, name, incarnation, revision in seen.revisions:
        key = (name, incarnation)
        if revision < highest.get(key, 0):
            faults.append(f"{name} went back to revision {revision} at {time:.1f}")
        highest[key] = max(revision, highest.get(key, 0))
    return faults


def _lost(seen: Seen) -> list[str]:
    missing = set(seen.accepted) - seen.settled
    return [f"accepted job {job} was lost" for job in sorted(missing)]


def _cancelled(seen: Seen, events: list[Event]) -> list[str]:
    faults = []
    for event in events:
        job = event.task.partition("/")[0]
        at = seen.cancelled.get(job)
        if event.kind == "start" and not event.body and at and event.time > at:
            faults.append(f"{event.task} started {event.time - at:.2f} s after cancel")
    return faults
