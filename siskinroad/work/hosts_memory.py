"""In-memory twins of the hosts and of the advisor, with faults on request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from siskinroad.errors import OutcomeUnknownError
from siskinroad.resources import Resources
from siskinroad.work.advice import Advised, Advisor
from siskinroad.work.hosts import (
    Ended,
    EndKind,
    HostAnswer,
    HostLink,
    HostReport,
    Order,
    Rejection,
    Running,
    StartOrder,
)
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["MemoryAdvisor", "MemoryHost", "MemoryHosts", "Start"]

# Seconds that a call without an answer keeps its caller waiting.
SILENT_TIME = 30.0


@dataclass(slots=True, frozen=True)
class Start:
    """One start that a host has carried out; ``at`` is loop time."""

    host: str
    task: TaskId
    run: int
    at: float
    checkpoint: str


@dataclass(slots=True)
class _Run:
    task: TaskId
    run: int
    began_at: float
    ends_at: float
    how: EndKind
    checkpoint: str = ""

    def percent(self, now: float) -> int:
        """Return how much of the run is over."""
        return int(100 * (now - self.began_at) / (self.ends_at - self.began_at))


@dataclass(slots=True)
class MemoryHost:
    """One host that keeps the platform's promises about tokens and leases.

    Attributes
    ----------
    work : float
        Seconds that a task takes here.
    how : EndKind
        How tasks end here.
    poison : set of str
        Jobs whose tasks fail here, whatever ``how`` says.
    silent : bool
        Nothing is answered, and nothing arrives.
    mute_starts : int
        So many of the next starts get no answer.
    late : float
        Seconds after which a start without an answer is carried out; negative
        for never.
    """

    entry: HostEntry
    born: int = 1
    work: float = 1.0
    how: EndKind = EndKind.DONE
    poison: set[str] = field(default_factory=set)
    silent: bool = False
    mute_starts: int = 0
    late: float = -1.0
    token: int = 0
    lease_until: int = 0
    ends: list[Ended] = field(default_factory=list)
    runs: dict[TaskId, _Run] = field(default_factory=dict)
    last_run: dict[TaskId, int] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    number: int = 0

    def clock(self) -> int:
        """Return the host's own clock in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000)

    def advance(self) -> None:
        """End what is over by now."""
        now = self.clock()
        if self.lease_until and now >= self.lease_until:
            for run in list(self.runs.values()):
                self._end(run, EndKind.LAPSED)
        for run in list(self.runs.values()):
            if now >= run.ends_at * 1000:
                self._end(run, run.how)

    def _end(self, run: _Run, how: EndKind) -> None:
        del self.runs[run.task]
        self.number += 1
        self.ends.append(Ended(self.number, run.task, run.run, how, run.checkpoint))

    def accept(self, order: StartOrder) -> Rejection | None:
        """Carry a start out, or reject it."""
        self.advance()
        if order.token < self.token:
            return Rejection.FENCED
        self.token = order.token
        if order.lease_until <= self.clock():
            return Rejection.LATE
        known = self.runs.get(order.task)
        if known is not None and known.run == order.run:
            return None
        if order.run <= self.last_run.get(order.task, 0):
            return Rejection.OLD
        self.lease_until = max(self.lease_until, order.lease_until)
        self.last_run[order.task] = order.run
        loop = asyncio.get_running_loop()
        now = loop.time()
        how = EndKind.FAILED if order.task.job in self.poison else self.how
        self.runs[order.task] = _Run(order.task, order.run, now, now + self.work, how)
        start = Start(
            self.entry.name, order.task, order.run, loop.time(), order.checkpoint
        )
        self.starts.append(start)
        return None

    def stop(self, order: Order) -> Rejection | None:
        """Stop a run, or reject it should it come later."""
        self.advance()
        if order.token < self.token:
            return Rejection.FENCED
        self.token = order.token
        self.last_run[order.task] = max(order.run, self.last_run.get(order.task, 0))
        run = self.runs.get(order.task)
        if run is not None and run.run <= order.run:
            self._end(run, EndKind.STOPPED)
        return None

    def used(self, needs: dict[TaskId, Resources]) -> Resources:
        """Return what runs here takes in all."""
        total = Resources()
        for task in self.runs:
            total = total + needs[task]
        return total


class MemoryHosts(HostLink):
    """Hosts of one process; every caller sees the same ones."""

    def __init__(self) -> None:
        self.hosts: dict[str, MemoryHost] = {}
        self.calls = 0

    def add(self, host: MemoryHost) -> None:
        """Add a host."""
        self.hosts[host.entry.name] = host

    def starts(self) -> list[Start]:
        """Return every start that was carried out, in order."""
        found = [start for host in self.hosts.values() for start in host.starts]
        return sorted(found, key=lambda start: start.at)

    async def _reach(self, name: str) -> MemoryHost | None:
        self.calls += 1
        await asyncio.sleep(0.001)
        host = self.hosts.get(name)
        if host is not None and host.silent:
            await asyncio.sleep(SILENT_TIME)
            raise OutcomeUnknownError("no answer", step="hosts", peer=name)
        return host

    async def start(self, order: StartOrder) -> HostAnswer:
        """Start a run; see the base class."""
        host = await self._reach(order.host)
        if host is None:
            return HostAnswer(Rejection.OTHER_LIFE, None, None)
        if host.mute_starts > 0:
            host.mute_starts -= 1
            if host.late >= 0:
                loop = asyncio.get_running_loop()
                loop.call_later(host.late, host.accept, order)
            await asyncio.sleep(SILENT_TIME)
            raise OutcomeUnknownError("no answer", step="start", peer=order.host)
        return HostAnswer(host.accept(order), host.clock(), host.born)

    async def stop(self, order: Order) -> HostAnswer:
        """Stop a run; see the base class."""
        host = await self._reach(order.host)
        if host is None:
            return HostAnswer(Rejection.OTHER_LIFE, None, None)
        return HostAnswer(host.stop(order), host.clock(), host.born)

    async def pace(self, order: Order, percent: int) -> HostAnswer:
        """Take a pace without effect; see the base class."""
        host = await self._reach(order.host)
        rejection = None if host is not None else Rejection.OTHER_LIFE
        return HostAnswer(rejection, None, None)

    async def hold(
        self,
        host: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until: int | None,
        wait: float,
    ) -> HostReport | Rejection:
        """Extend the lease and list what runs; see the base class."""
        found = await self._reach(host)
        if found is None:
            return Rejection.OTHER_LIFE
        if token < found.token:
            return Rejection.FENCED
        found.token = token
        found.advance()
        found.ends = [end for end in found.ends if end.number > acknowledged]
        if lease_until is not None:
            found.lease_until = max(found.lease_until, lease_until)
        until = asyncio.get_running_loop().time() + wait
        while not found.ends and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
            found.advance()
        now = asyncio.get_running_loop().time()
        running = tuple(
            Running(r.task, r.run, "", r.percent(now), 0) for r in found.runs.values()
        )
        return HostReport(found.clock(), found.born, running, tuple(found.ends))


class MemoryAdvisor(Advisor):
    """Allows every host but those named in ``denied``."""

    def __init__(self, decision: float = 0.02, valid: float = 2.0) -> None:
        self.decision = decision
        self.valid = valid
        self.denied: set[str] = set()
        self.calls = 0

    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> Advised:
        """Return the hosts that are not denied; see the base class."""
        self.calls += 1
        await asyncio.sleep(self.decision)
        tickets = {host: f"t-{host}" for host in hosts if host not in self.denied}
        return Advised(tickets, self.valid)
