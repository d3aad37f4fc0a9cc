"""Hosts and an advisor with timed faults, on any clock.

The times are passed in, so that the same hosts serve a queue of events and an event
loop. Each host enforces tokens, leases, run numbers and tickets.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.hosts import (
    EndKind,
    HostCommand,
    HostReport,
    Rejection,
    RunEnd,
    RunStatus,
    StartCommand,
)
from siskinroad.work.model import HostEntry, Step, TaskId

# Seconds after its start at which a long-running task is at work.
STARTUP_S = 0.2
# Seconds after its start at which a task fails on a host that fails all runs.
FAILURE_DELAY_S = 0.1
# Ratio by which tasks take longer on a slow host.
SLOW_FACTOR = 8.0
# Seconds that a host takes to stop a run.
STOP_S = 0.15
# Seconds for which a late start is on its way.
MAX_LATE_START_S = 3.0


class HostFault(StrEnum):
    """Fault of a host that lasts for some time."""

    SILENT = "silent"
    RENEWALS_UNANSWERED = "renewals unanswered"
    STARTS_UNANSWERED = "starts unanswered"
    STARTS_LATE = "starts without a reply, carried out late"
    REJECTS_TICKET = "rejects for the ticket"
    REJECTS_ROOM = "rejects for room"
    REJECTS_UNAVAILABLE = "rejects as unavailable"
    REJECTS_STALE = "rejects as stale"
    REJECTS_LATE = "rejects for the lease"
    FAILS_RUNS = "fails all runs"
    STALLS_RUNS = "stalls all runs"
    SLOW = "runs slowly"


REJECTIONS = {
    HostFault.REJECTS_TICKET: Rejection.TICKET,
    HostFault.REJECTS_ROOM: Rejection.NO_CAPACITY,
    HostFault.REJECTS_UNAVAILABLE: Rejection.UNAVAILABLE,
    HostFault.REJECTS_STALE: Rejection.STALE_RUN,
    HostFault.REJECTS_LATE: Rejection.LEASE_EXPIRED,
}


@dataclass(slots=True, eq=False)
class FaultyRun:
    """Run as its host sees it; ``seconds`` is infinite for a long-running task."""

    task: TaskId
    run: int
    spec: Step
    began_at: float
    seconds: float
    is_stalled: bool = False

    def percent(self, now: float) -> int:
        """Return the progress in percent."""
        age_s = now - self.began_at
        if self.is_stalled:
            return 1
        if self.spec.long_running:
            return 100 if age_s >= STARTUP_S else 0
        return min(99, int(100 * age_s / self.seconds))


@dataclass(slots=True, eq=False)
class FaultyHost:
    """One incarnation of a host.

    Attributes
    ----------
    began_at : float
        Time at which the incarnation began; its clock starts then.
    faults : dict of HostFault to float
        Faults in force, with the time of their end.
    is_gone : bool
        This incarnation serves no call any more.
    """

    entry: HostEntry
    began_at: float
    rng: random.Random
    faults: dict[HostFault, float] = field(default_factory=dict)
    is_gone: bool = False
    token: int = 0
    lease_until: float = 0.0
    runs: dict[TaskId, FaultyRun] = field(default_factory=dict)
    last_run: dict[TaskId, int] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0

    @property
    def incarnation_ms(self) -> int:
        """Unix milliseconds of the start of this incarnation."""
        return int(self.began_at * 1000) + 1

    def clock(self, now: float) -> int:
        """Return the host's own clock in milliseconds."""
        return int((now - self.began_at) * 1000) + 1

    def has_fault(self, fault: HostFault, now: float) -> bool:
        """Return whether a fault is in force."""
        return now < self.faults.get(fault, 0.0)

    def used(self) -> Resources:
        """Return the resources that its runs hold."""
        total = NOTHING
        for run in self.runs.values():
            total = total + run.spec.need
        return total

    def advance(self, now: float) -> None:
        """End the runs whose lease or duration has passed."""
        is_expired = 0 < self.lease_until <= now
        for run in list(self.runs.values()):
            if not run.is_stalled and now >= run.began_at + run.seconds:
                self.end(run.task, run.run, EndKind.DONE)
            elif is_expired:
                self.end(run.task, run.run, EndKind.LEASE_EXPIRED)

    def end(self, task: TaskId, number: int, kind: EndKind) -> bool:
        """End a run; return whether it was there."""
        run = self.runs.get(task)
        if run is None or run.run != number:
            return False
        del self.runs[task]
        self.end_count += 1
        self.ends.append(RunEnd(self.end_count, task, number, kind, ""))
        return True

    def start(
        self, command: StartCommand, spec: Step, is_ticket_valid: bool, now: float
    ) -> Rejection | None:
        """Start a run, or return why it is rejected."""
        self.advance(now)
        for fault, rejection in REJECTIONS.items():
            if self.has_fault(fault, now):
                return rejection
        if command.token < self.token:
            return Rejection.FENCED
        self.token = command.token
        if command.lease_until <= self.clock(now):
            return Rejection.LEASE_EXPIRED
        current = self.runs.get(command.task)
        if current is not None and current.run == command.run:
            return None
        if command.run <= self.last_run.get(command.task, 0):
            return Rejection.STALE_RUN
        if not is_ticket_valid:
            return Rejection.TICKET
        if not spec.need.fits(self.entry.capacity - self.used()):
            return Rejection.NO_CAPACITY
        self._extend_lease(command.lease_until)
        self.last_run[command.task] = command.run
        self.runs[command.task] = self._make_run(command, spec, now)
        return None

    def _make_run(self, command: StartCommand, spec: Step, now: float) -> FaultyRun:
        seconds = float("inf")
        if not spec.long_running:
            seconds = spec.estimate * self.rng.uniform(0.7, 1.5)
            if self.has_fault(HostFault.SLOW, now):
                seconds *= SLOW_FACTOR
        is_stalled = self.has_fault(HostFault.STALLS_RUNS, now)
        return FaultyRun(command.task, command.run, spec, now, seconds, is_stalled)

    def _extend_lease(self, until_ms: int) -> None:
        until = self.began_at + until_ms / 1000
        self.lease_until = max(self.lease_until, until)

    def stop(self, command: HostCommand, now: float) -> Rejection | None:
        """Stop a run, or make its start be rejected."""
        self.advance(now)
        if command.token < self.token:
            return Rejection.FENCED
        self.token = command.token
        last = self.last_run.get(command.task, 0)
        self.last_run[command.task] = max(command.run, last)
        return None

    def renew(
        self, token: int, acknowledged: int, lease_until_ms: int | None, now: float
    ) -> HostReport | Rejection:
        """Renew the lease and return a report."""
        if token < self.token:
            return Rejection.FENCED
        self.token = token
        self.advance(now)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        running = tuple(
            RunStatus(run.task, run.run, "", run.percent(now), 0)
            for run in self.runs.values()
        )
        return HostReport(
            self.clock(now), self.incarnation_ms, running, tuple(self.ends)
        )


class FaultyAdvisor:
    """Advisor whose decisions are drawn by step and host name, and never change.

    Attributes
    ----------
    valid_s : dict of str to float
        Seconds for which the tickets of each job are valid; other jobs need none.
    allowed_fraction : dict of str to float
        Fraction of the hosts that each job may use.
    failing_until, slow_until : float
        Times until which calls fail, or take longer than expected.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.valid_s: dict[str, float] = {}
        self.allowed_fraction: dict[str, float] = {}
        self.failing_until = 0.0
        self.slow_until = 0.0
        self._tickets: dict[str, tuple[FaultyHost, float]] = {}

    def allows(self, step: tuple[str, int, int], name: str) -> bool:
        """Return whether a step may use a host."""
        fraction = self.allowed_fraction.get(step[0], 1.0)
        return random.Random(f"{self.seed}/{step}/{name}").random() < fraction

    def make_tickets(
        self,
        step: tuple[str, int, int],
        names: Iterable[str],
        find_host: Callable[[str], FaultyHost | None],
        now: float,
    ) -> dict[str, str]:
        """Return tickets for the hosts that a step may use."""
        tickets = {}
        for name in names:
            host = find_host(name)
            if host is None or not self.allows(step, name):
                continue
            tickets[name] = f"{step}/{name}/{host.incarnation_ms}/{now:.3f}"
            until = now + self.valid_s.get(step[0], 2.0)
            self._tickets[tickets[name]] = (host, until)
        return tickets

    def allows_start(self, job: str, ticket: str, host: FaultyHost, now: float) -> bool:
        """Return whether a job needs no ticket, or this one holds for a host's life."""
        if job not in self.valid_s:
            return True
        ticket_host, until = self._tickets.get(ticket, (None, 0.0))
        return ticket_host is host and now <= until
