"""In-memory implementations of hosts and advisor with injectable faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.resources import Resources
from siskinroad.work.advice import AdviceResult, Advisor
from siskinroad.work.hosts import (
    CommandReply,
    EndKind,
    HostClient,
    HostCommand,
    HostReport,
    Rejection,
    RunEnd,
    RunStatus,
    StartCommand,
)
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["ExecutedStart", "MemoryAdvisor", "MemoryHost", "MemoryHosts"]

# Seconds after which a call that gets no reply fails.
NO_REPLY_TIME = 30.0


@dataclass(slots=True, frozen=True)
class ExecutedStart:
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
    end_kind: EndKind
    checkpoint: str = ""

    def progress_percent(self, now: float) -> int:
        """Return the elapsed share of the run in percent."""
        return int(100 * (now - self.began_at) / (self.ends_at - self.began_at))


@dataclass(slots=True)
class MemoryHost:
    """Simulated host that enforces fencing tokens and leases as the platform does.

    Attributes
    ----------
    task_duration_s : float
        Duration of each task in seconds.
    end_kind : EndKind
        How each task ends.
    failing_jobs : set of str
        Jobs whose tasks always fail, regardless of ``end_kind``.
    reply_delay_s : float
        Seconds that a call takes to arrive, and its reply to come back.
    is_silent : bool
        Whether commands are lost: they have no effect and get no reply.
    unanswered_starts : int
        Number of further starts that get no reply.
    late_start_delay : float
        Seconds after which a start without a reply is carried out; negative if it
        never is.
    token : int
        Highest fencing token seen.
    lease_until : int
        Expiry of the lease in milliseconds on the host's clock; 0 before the first.
    ends : list of RunEnd
        Ends of runs not yet acknowledged.
    last_run : dict of TaskId to int
        Highest run number started or stopped, by task.
    last_end_number : int
        Number of the latest end; 0 before the first.
    crashing_tasks : set of TaskId
        Tasks that crash the host ``crash_delay_s`` after their start.
    down_s : float
        Seconds for which a crashed host refuses connections. It then answers as another
        incarnation, with no memory of the former one.
    down_until : float
        Loop time until which it does.
    is_replaced : bool
        Another host answers at the address.
    crash_times : list of float
        Loop times of the crashes.
    on_crash : callable
        Called with the host at each crash.
    """

    entry: HostEntry
    incarnation_ms: int = 1
    task_duration_s: float = 1.0
    end_kind: EndKind = EndKind.DONE
    failing_jobs: set[str] = field(default_factory=set)
    reply_delay_s: float = 0.001
    is_silent: bool = False
    unanswered_starts: int = 0
    late_start_delay: float = -1.0
    token: int = 0
    lease_until: int = 0
    ends: list[RunEnd] = field(default_factory=list)
    runs: dict[TaskId, _Run] = field(default_factory=dict)
    last_run: dict[TaskId, int] = field(default_factory=dict)
    starts: list[ExecutedStart] = field(default_factory=list)
    last_end_number: int = 0
    crashing_tasks: set[TaskId] = field(default_factory=set)
    crash_delay_s: float = 0.01
    down_s: float = 3.2
    down_until: float = -1e9
    is_replaced: bool = False
    crash_times: list[float] = field(default_factory=list)
    on_crash: Callable[[MemoryHost], None] = lambda host: None

    def crash(self) -> None:
        """Lose all runs and ends, and refuse connections for ``down_s`` seconds."""
        now = asyncio.get_running_loop().time()
        if now < self.down_until:
            return
        self.advance()
        self.down_until = now + self.down_s
        self.incarnation_ms += 1
        self.token = self.lease_until = self.last_end_number = 0
        self.runs.clear()
        self.ends.clear()
        self.last_run.clear()
        self.crash_times.append(now)
        self.on_crash(self)

    def clock(self) -> int:
        """Return the host's own clock in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000)

    def advance(self) -> None:
        """End the runs whose lease or duration has passed."""
        now = self.clock()
        is_expired = bool(self.lease_until) and now >= self.lease_until
        until = self.lease_until if is_expired else now
        for run in list(self.runs.values()):
            if until >= run.ends_at * 1000:
                self._end_run(run, run.end_kind)
        if is_expired:
            for run in list(self.runs.values()):
                self._end_run(run, EndKind.LEASE_EXPIRED)

    def _end_run(self, run: _Run, end_kind: EndKind) -> None:
        del self.runs[run.task]
        self.last_end_number += 1
        self.ends.append(
            RunEnd(self.last_end_number, run.task, run.run, end_kind, run.checkpoint)
        )

    def accept(self, command: StartCommand) -> Rejection | None:
        """Start a run, or return why it is rejected."""
        self.advance()
        if command.token < self.token:
            return Rejection.FENCED
        self.token = command.token
        if command.lease_until <= self.clock():
            return Rejection.LEASE_EXPIRED
        current_run = self.runs.get(command.task)
        if current_run is not None and current_run.run == command.run:
            return None
        if command.run <= self.last_run.get(command.task, 0):
            return Rejection.STALE_RUN
        self.lease_until = max(self.lease_until, command.lease_until)
        self.last_run[command.task] = command.run
        loop = asyncio.get_running_loop()
        now = loop.time()
        end_kind = (
            EndKind.FAILED if command.task.job in self.failing_jobs else self.end_kind
        )
        self.runs[command.task] = _Run(
            command.task, command.run, now, now + self.task_duration_s, end_kind
        )
        start = ExecutedStart(
            self.entry.name, command.task, command.run, loop.time(), command.checkpoint
        )
        self.starts.append(start)
        if command.task in self.crashing_tasks:
            loop.call_later(self.crash_delay_s, self._crash_by, command)
        return None

    def _crash_by(self, command: StartCommand) -> None:
        run = self.runs.get(command.task)
        if run is not None and run.run == command.run:
            self.crash()

    def stop(self, command: HostCommand) -> Rejection | None:
        """Stop a run; reject its start if that arrives later."""
        self.advance()
        if command.token < self.token:
            return Rejection.FENCED
        self.token = command.token
        self.last_run[command.task] = max(
            command.run, self.last_run.get(command.task, 0)
        )
        run = self.runs.get(command.task)
        if run is not None and run.run <= command.run:
            self._end_run(run, EndKind.STOPPED)
        return None

    def used(self, needs: dict[TaskId, Resources]) -> Resources:
        """Return the total resources of the running tasks."""
        total = Resources()
        for task in self.runs:
            total = total + needs[task]
        return total


class MemoryHosts(HostClient):
    """Client of simulated hosts, shared by all daemons of a test."""

    def __init__(self) -> None:
        self.hosts: dict[str, MemoryHost] = {}
        self.calls = 0

    def add(self, host: MemoryHost) -> None:
        """Add a host."""
        self.hosts[host.entry.name] = host

    def starts(self) -> list[ExecutedStart]:
        """Return every start that was carried out, in order of time."""
        found = [start for host in self.hosts.values() for start in host.starts]
        return sorted(found, key=lambda start: start.at)

    async def _find_host(self, name: str) -> MemoryHost | None:
        self.calls += 1
        host = self.hosts.get(name)
        await asyncio.sleep(host.reply_delay_s if host is not None else 0.001)
        host = self.hosts.get(name)
        if host is not None and host.is_replaced:
            return None
        if host is not None and asyncio.get_running_loop().time() < host.down_until:
            raise NotSentError("connection refused", step="hosts", peer=name)
        if host is not None and host.is_silent:
            await asyncio.sleep(NO_REPLY_TIME)
            raise OutcomeUnknownError("host did not reply", step="hosts", peer=name)
        return host

    async def start(self, command: StartCommand) -> CommandReply:
        """Start a run; see the base class."""
        host = await self._find_host(command.host)
        if host is None:
            return CommandReply(Rejection.OTHER_INCARNATION, None, None)
        if host.unanswered_starts > 0:
            host.unanswered_starts -= 1
            if host.late_start_delay >= 0:
                loop = asyncio.get_running_loop()
                loop.call_later(host.late_start_delay, host.accept, command)
            await asyncio.sleep(NO_REPLY_TIME)
            raise OutcomeUnknownError(
                "host did not reply to the start", step="start", peer=command.host
            )
        return CommandReply(host.accept(command), host.clock(), host.incarnation_ms)

    async def stop(self, command: HostCommand) -> CommandReply:
        """Stop a run; see the base class."""
        host = await self._find_host(command.host)
        if host is None:
            return CommandReply(Rejection.OTHER_INCARNATION, None, None)
        return CommandReply(host.stop(command), host.clock(), host.incarnation_ms)

    async def throttle(self, command: HostCommand, percent: int) -> CommandReply:
        """Accept a throttle command without effect; see the base class."""
        host = await self._find_host(command.host)
        rejection = None if host is not None else Rejection.OTHER_INCARNATION
        return CommandReply(rejection, None, None)

    async def renew_lease(
        self,
        host: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until: int | None,
        wait: float,
    ) -> HostReport | Rejection:
        """Renew the lease and return the host's report; see the base class."""
        memory_host = await self._find_host(host)
        if memory_host is None:
            return Rejection.OTHER_INCARNATION
        if token < memory_host.token:
            return Rejection.FENCED
        memory_host.token = token
        memory_host.advance()
        memory_host.ends = [
            end for end in memory_host.ends if end.number > acknowledged
        ]
        if lease_until is not None:
            memory_host.lease_until = max(memory_host.lease_until, lease_until)
        deadline = asyncio.get_running_loop().time() + wait
        incarnation_ms = memory_host.incarnation_ms
        while not memory_host.ends and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
            if memory_host.incarnation_ms != incarnation_ms:
                raise OutcomeUnknownError(
                    "connection closed by the peer", step="hosts", peer=host
                )
            memory_host.advance()
        now = asyncio.get_running_loop().time()
        running = tuple(
            RunStatus(r.task, r.run, "", r.progress_percent(now), 0)
            for r in memory_host.runs.values()
        )
        return HostReport(
            memory_host.clock(),
            memory_host.incarnation_ms,
            running,
            tuple(memory_host.ends),
        )


class MemoryAdvisor(Advisor):
    """Advisor that allows every host except those in ``denied``.

    Parameters
    ----------
    call_duration_s : float
        Seconds that each call takes.
    valid : float
        Seconds for which the tickets can be used.
    """

    def __init__(self, call_duration_s: float = 0.02, valid: float = 2.0) -> None:
        self.call_duration_s = call_duration_s
        self.valid = valid
        self.denied: set[str] = set()
        self.calls = 0

    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> AdviceResult:
        """Return a ticket for each host not denied; see the base class."""
        self.calls += 1
        await asyncio.sleep(self.call_duration_s)
        tickets = {host: f"t-{host}" for host in hosts if host not in self.denied}
        return AdviceResult(tickets, self.valid)
