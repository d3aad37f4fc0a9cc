"""Checks of the invariants, on what hosts, operators and callers observed."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.upstreams_memory import HostEvent, MemoryHost

# Seconds for which a host may still get tasks after it was first listed as leaving.
LEAVING_GRACE_S = 3.0


@dataclass
class CallerRequest:
    """Request of a caller with its answer or refusal; times in seconds of loop time.

    ``status`` is 0 without an answer.
    """

    body: bytes
    service: str
    idempotent: bool
    sent_at: float
    answer: bytes | None = None
    status: int = 0
    reason: str = ""
    outcome: str = ""
    answered_at: float = 0.0
    was_repeated: bool = False


@dataclass
class Observations:
    """Observations made outside the daemons; times in seconds of loop time.

    Attributes
    ----------
    requests : list of CallerRequest
        Answered and refused requests.
    revisions : list of tuple
        Time, daemon, incarnation and revision, as an operator reads them.
    accepted : dict
        Number of tasks by job, for jobs that a caller was told are accepted.
    cancelled : dict
        Time at which the cancellation was confirmed, by job.
    settled : set of str
        Accepted jobs that have ended.
    leaving_periods : list of tuple
        Host, and the start and end of the time in which it was listed as leaving.
    must_answer : bool
        Whether every request must be answered, as in a rolling replacement.
    """

    requests: list[CallerRequest] = field(default_factory=list)
    revisions: list[tuple[float, str, int, int]] = field(default_factory=list)
    accepted: dict[str, int] = field(default_factory=dict)
    cancelled: dict[str, float] = field(default_factory=dict)
    settled: set[str] = field(default_factory=set)
    leaving_periods: list[tuple[str, float, float]] = field(default_factory=list)
    must_answer: bool = False


def check_invariants(
    observations: Observations, memory_hosts: dict[str, MemoryHost]
) -> list[str]:
    """Return a message for each violation of an invariant."""
    violations: list[str] = []
    events = sorted(
        (event for host in memory_hosts.values() for event in host.events),
        key=_event_number,
    )
    violations += _check_host_capacity(events, memory_hosts)
    violations += _check_single_placement(events)
    violations += _check_answers(observations)
    violations += _check_refused_not_run(observations, events)
    violations += _check_at_most_once(observations, events)
    violations += _check_leaving_hosts(observations, events)
    violations += _check_revisions(observations)
    violations += _check_accepted_jobs(observations)
    violations += _check_cancelled_jobs(observations, events)
    return violations


def _event_number(event: HostEvent) -> int:
    return event.number


def _check_host_capacity(
    events: list[HostEvent], memory_hosts: dict[str, MemoryHost]
) -> list[str]:
    used: dict[str, Resources] = defaultdict(Resources)
    violations = []
    for event in events:
        if event.kind == "start":
            used[event.host] = used[event.host] + event.used
            host_capacity = memory_hosts[event.host].capacity
            if not used[event.host].fits(host_capacity):
                violations.append(
                    f"{event.host} overfilled at {event.time:.2f} s: "
                    "its tasks exceed its capacity"
                )
        else:
            used[event.host] = used[event.host] - event.used
    return violations


def _check_single_placement(events: list[HostEvent]) -> list[str]:
    running: dict[str, str] = {}
    violations = []
    for event in events:
        if event.body:
            continue
        if event.kind != "start":
            if running.get(event.task) == event.host:
                del running[event.task]
            continue
        if event.task in running:
            where = f"{running[event.task]} and {event.host}"
            violations.append(
                f"task {event.task} ran on {where} at the same time, "
                f"from {event.time:.2f} s on"
            )
        running[event.task] = event.host
    return violations


def _check_answers(observations: Observations) -> list[str]:
    violations = []
    for request in observations.requests:
        if request.status == 200 and request.answer != request.body:
            violations.append(
                f"request {request.body!r} got the answer {request.answer!r}, "
                "expected its own body"
            )
        if request.status == 0 and not request.reason:
            violations.append(
                f"request {request.body!r} got neither an answer nor a refusal"
            )
        if observations.must_answer and request.status != 200:
            violations.append(
                f"request {request.body!r} failed although all must be answered: "
                f"{request.reason} {request.outcome}"
            )
    return violations


def _count_starts(events: list[HostEvent]) -> dict[bytes, int]:
    starts: dict[bytes, int] = defaultdict(int)
    for event in events:
        if event.body and event.kind == "start":
            starts[event.body] += 1
    return starts


def _check_refused_not_run(
    observations: Observations, events: list[HostEvent]
) -> list[str]:
    first_starts: dict[bytes, float] = {}
    for event in events:
        if event.body and event.kind == "start":
            first_starts.setdefault(event.body, event.time)
    violations = []
    for request in observations.requests:
        started_at = first_starts.get(request.body)
        if request.outcome != "not run" or started_at is None:
            continue
        if started_at <= request.answered_at or not request.was_repeated:
            violations.append(
                f"request {request.body!r} was refused as not run "
                f"({request.reason}) but ran"
            )
    return violations


def _check_at_most_once(
    observations: Observations, events: list[HostEvent]
) -> list[str]:
    starts = _count_starts(events)
    non_idempotent = {
        request.body for request in observations.requests if not request.idempotent
    }
    return [
        f"request {body!r} ran {starts[body]} times, at most 1 is allowed"
        for body in non_idempotent
        if starts[body] > 1
    ]


def _check_leaving_hosts(
    observations: Observations, events: list[HostEvent]
) -> list[str]:
    violations = []
    for host, since, until in observations.leaving_periods:
        for event in events:
            is_late = since + LEAVING_GRACE_S < event.time < until
            if event.host == host and event.kind == "start" and is_late:
                violations.append(
                    f"{host} got work {event.time - since:.1f} s "
                    "after it was listed as leaving"
                )
    return violations


def _check_revisions(observations: Observations) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    violations = []
    for time, name, incarnation, revision in observations.revisions:
        key = (name, incarnation)
        if revision < highest.get(key, 0):
            violations.append(f"{name} reverted to revision {revision} at {time:.1f} s")
        highest[key] = max(revision, highest.get(key, 0))
    return violations


def _check_accepted_jobs(observations: Observations) -> list[str]:
    missing = set(observations.accepted) - observations.settled
    return [
        f"accepted job {job} had not ended at the end of the run"
        for job in sorted(missing)
    ]


def _check_cancelled_jobs(
    observations: Observations, events: list[HostEvent]
) -> list[str]:
    violations = []
    for event in events:
        job = event.task.partition("/")[0]
        cancelled_at = observations.cancelled.get(job)
        if (
            event.kind == "start"
            and not event.body
            and cancelled_at
            and event.time > cancelled_at
        ):
            violations.append(
                f"task {event.task} started {event.time - cancelled_at:.2f} s "
                "after its job was cancelled"
            )
    return violations
