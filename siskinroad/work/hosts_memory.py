"""In-memory implementations of hosts and advisor with injectable faults."""

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

# Seconds after which a call that gets no reply fails.
NO_REPLY_TIME = 30.0


@dataclass(slots=True, frozen=True)
class Start:
    """A start that a host has carried out; ``at`` is loop time in seconds."""

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

    def progress_percent(self, now: float) -> int:
        """Return the elapsed share of the run in percent."""
        return int(100 * (now - self.began_at) / (self.ends_at - self.began_at))


@dataclass(slots=True)
class MemoryHost:
    """Simulated host that enforces fencing tokens and leases as the platform does.

    Attributes
    ----------
    work : float
        Duration of each task in seconds.
    how : EndKind
        How each task ends.
    poison : set of str
        Jobs whose tasks always fail, regardless of ``how``.
    silent : bool
        Whether commands are lost: they have no effect and get no reply.
    mute_starts : int
        Number of further starts that get no reply.
    late : float
        Seconds after which a start without a reply is carried out; negative if it
        never is.
    token : int
        Highest fencing token seen.
    lease_until : int
        Expiry of the lease in milliseconds on the host's clock; 0 before the first.
    ends : list of Ended
        Ends of runs not yet acknowledged.
    last_run : dict of TaskId to int
        Highest run number started or stopped, by task.
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
        """End the runs whose lease or duration has passed."""
        now = self.clock()
        if self.lease_until and now >= self.lease_until:
            for run in list(self.runs.values()):
                self._end_run(run, EndKind.LAPSED)
        for run in list(self.runs.values()):
            if now >= run.ends_at * 1000:
                self._end_run(run, run.how)

    def _end_run(self, run: _Run, how: EndKind) -> None:
        del self.runs[run.task]
        self.number += 1
        self.ends.append(Ended(self.number, run.task, run.run, how, run.checkpoint))

    def accept(self, order: StartOrder) -> Rejection | None:
        """Start a run, or return why it is rejected."""
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
        """Stop a run; reject its start if that arrives later."""
        self.advance()
        if order.token < self.token:
            return Rejection.FENCED
        self.token = order.token
        self.last_run[order.task] = max(order.run, self.last_run.get(order.task, 0))
        run = self.runs.get(order.task)
        if run is not None and run.run <= order.run:
            self._end_run(run, EndKind.STOPPED)
        return None

    def used(self, needs: dict[TaskId, Resources]) -> Resources:
        """Return the total resources of the running tasks."""
        total = Resources()
        for task in self.runs:
            total = total + needs[task]
        return total


class MemoryHosts(HostLink):
    """Client of simulated hosts, shared by all daemons of a test."""

    def __init__(self) -> None:
        self.hosts: dict[str, MemoryHost] = {}
        self.calls = 0

    def add(self, host: MemoryHost) -> None:
        """Add a host."""
        self.hosts[host.entry.name] = host

    def starts(self) -> list[Start]:
        """Return every start that was carried out, in order of time."""
        found = [start for host in self.hosts.values() for start in host.starts]
        return sorted(found, key=lambda start: start.at)

    async def _find_host(self, name: str) -> MemoryHost | None:
        self.calls += 1
        await asyncio.sleep(0.001)
        host = self.hosts.get(name)
        if host is not None and host.silent:
            await asyncio.sleep(NO_REPLY_TIME)
            raise OutcomeUnknownError("host did not reply", step="hosts", peer=name)
        return host

    async def start(self, order: StartOrder) -> HostAnswer:
        """Start a run; see the base class."""
        host = await self._find_host(order.host)
        if host is None:
            return HostAnswer(Rejection.OTHER_LIFE, None, None)
        if host.mute_starts > 0:
            host.mute_starts -= 1
            if host.late >= 0:
                loop = asyncio.get_running_loop()
                loop.call_later(host.late, host.accept, order)
            await asyncio.sleep(NO_REPLY_TIME)
            raise OutcomeUnknownError(
                "host did not reply to the start", step="start", peer=order.host
            )
        return HostAnswer(host.accept(order), host.clock(), host.born)

    async def stop(self, order: Order) -> HostAnswer:
        """Stop a run; see the base class."""
        host = await self._find_host(order.host)
        if host is None:
            return HostAnswer(Rejection.OTHER_LIFE, None, None)
        return HostAnswer(host.stop(order), host.clock(), host.born)

    async def pace(self, order: Order, percent: int) -> HostAnswer:
        """Accept a throttle command without effect; see the base class."""
        host = await self._find_host(order.host)
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
        """Renew the lease and return the host's report; see the base class."""
        found = await self._find_host(host)
        if found is None:
            return Rejection.OTHER_LIFE
        if token < found.token:
            return Rejection.FENCED
        found.token = token
        found.advance()
        found.ends = [end for end in found.ends if end.number > acknowledged]
        if lease_until is not None:
            found.lease_until = max(found.lease_until, lease_until)
        deadline = asyncio.get_running_loop().time() + wait
        while not found.ends and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
            found.advance()
        now = asyncio.get_running_loop().time()
        running = tuple(
            Running(r.task, r.run, "", r.progress_percent(now), 0)
            for r in found.runs.values()
        )
        return HostReport(found.clock(), found.born, running, tuple(found.ends))


class MemoryAdvisor(Advisor):
    """Advisor that allows every host except those in ``denied``.

    Parameters
    ----------
    decision : float
        Seconds that each call takes.
    valid : float
        Seconds for which the tickets can be used.
    """

    def __init__(self, decision: float = 0.02, valid: float = 2.0) -> None:
        self.decision = decision
        self.valid = valid
        self.denied: set[str] = set()
        self.calls = 0

    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> Advised:
        """Return a ticket for each host not denied; see the base class."""
        self.calls += 1
        await asyncio.sleep(self.decision)
        tickets = {host: f"t-{host}" for host in hosts if host not in self.denied}
        return Advised(tickets, self.valid)
