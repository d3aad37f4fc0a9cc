"""Pool of hosts with timed faults, and the live list of them.

The pool serves the calls of whoever owns it, on any clock. A host may restart under its
name, move, be replaced at its address, drain, leave the list and come back.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from bench.faulty_hosts import (
    FAILURE_DELAY_S,
    MAX_LATE_START_S,
    STOP_S,
    FaultyAdvisor,
    FaultyHost,
    HostFault,
)
from siskinroad.resources import Resources
from siskinroad.work.hosts import (
    EndKind,
    HostCommand,
    HostReport,
    Rejection,
    StartCommand,
)
from siskinroad.work.model import HostEntry, JobSpec, Step, TaskId

POOL = "waiting"
# Processors of each host, in thousandths, and its memory in MiB.
CPU_MILLI = 32000
MEMORY_MIB = 64000
HOSTS_PER_RACK = 10
# Label of two hosts of three.
LABEL = "disk"


@dataclass(slots=True, frozen=True)
class NoReply:
    """A call without a reply; ``is_sent`` is false if the connection was refused."""

    is_sent: bool = True


class FaultyPool:
    """Hosts, live list and advisor of one pool.

    Parameters
    ----------
    now : callable
        Returns the time in seconds.
    at : callable
        Calls an action after a delay in seconds.

    Attributes
    ----------
    listed : dict of str to HostEntry
        The live list.
    specs : dict of str to JobSpec
        The submitted jobs.
    on_list_change, on_end : callable
        Called after a change of the live list, and with the name of a host on which a
        run has ended.
    """

    def __init__(
        self, now: Callable[[], float], at: Callable, hosts: int, seed: int
    ) -> None:
        self.now = now
        self.at = at
        self.rng = random.Random(f"hosts/{seed}")
        self.advisor = FaultyAdvisor(seed)
        self.hosts: dict[str, FaultyHost] = {}
        self.listed: dict[str, HostEntry] = {}
        self.specs: dict[str, JobSpec] = {}
        self.on_list_change: Callable[[], None] = lambda: None
        self.on_end: Callable[[str], None] = lambda name: None
        self._used_addresses: dict[str, str] = {}
        self._host_count = 0
        for _ in range(hosts):
            self.add_host()

    # Changes of the pool

    def add_host(self, address: str = "") -> str:
        """Add a host under a new name and return the name."""
        number = self._host_count
        self._host_count += 1
        name = f"h{number:03}"
        labels = frozenset({LABEL} if number % 3 else ())
        capacity = Resources(CPU_MILLI, MEMORY_MIB, 0, 0)
        rack = f"r{number // HOSTS_PER_RACK}"
        entry = HostEntry(
            name, POOL, address or name, "dc1", False, capacity, labels, rack
        )
        self.begin(entry)
        return name

    def begin(self, entry: HostEntry) -> None:
        """Begin a new incarnation of a host, and list it."""
        former = self.hosts.get(entry.name)
        if former is not None:
            former.is_gone = True
        self.hosts[entry.name] = FaultyHost(entry, self.now(), self.rng)
        self._used_addresses[entry.address] = entry.name
        self.list_host(entry)

    def list_host(self, entry: HostEntry) -> None:
        """Add an entry to the live list."""
        self.listed[entry.name] = entry
        self.on_list_change()

    def unlist_host(self, name: str) -> None:
        """Remove an entry from the live list; the host goes on if it lives."""
        if self.listed.pop(name, None) is not None:
            self.on_list_change()

    def crash(self, name: str) -> None:
        """End an incarnation; the live list still names it."""
        host = self.hosts.pop(name, None)
        if host is not None:
            host.is_gone = True
            host.runs.clear()

    def drain(self, name: str, stay_s: float) -> None:
        """Let a host say that it will leave in ``stay_s`` seconds or later."""
        host = self.hosts[name]
        host.entry = replace(host.entry, draining=True, min_stay_s=stay_s)
        self.list_host(host.entry)

    # Calls

    def find_spec(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.specs[task.job].steps[task.step]

    def _find_host(self, name: str, address: str) -> FaultyHost | Rejection | NoReply:
        host = self.hosts.get(name)
        if host is not None and host.entry.address == address:
            is_silent = host.has_fault(HostFault.SILENT, self.now())
            return NoReply() if is_silent else host
        holder = self.hosts.get(self._used_addresses[address])
        if holder is not None and holder.entry.address == address:
            return Rejection.OTHER_INCARNATION
        return NoReply(is_sent=self.rng.random() < 0.5)

    def start(self, command: StartCommand) -> Rejection | NoReply | None:
        """Start a run; None if the host has accepted it."""
        host = self._find_host(command.host, command.address)
        if not isinstance(host, FaultyHost):
            return host
        if host.has_fault(HostFault.STARTS_LATE, self.now()):
            delay_s = self.rng.uniform(0.2, MAX_LATE_START_S)
            self.at(delay_s, self._execute_start, host, command)
            return NoReply()
        if host.has_fault(HostFault.STARTS_UNANSWERED, self.now()):
            if self.rng.random() < 0.5:
                self._execute_start(host, command)
            return NoReply()
        return self._execute_start(host, command)

    def _execute_start(
        self, host: FaultyHost, command: StartCommand
    ) -> Rejection | None:
        if host.is_gone:
            return Rejection.OTHER_INCARNATION
        now = self.now()
        spec = self.find_spec(command.task)
        is_valid = self.advisor.allows_start(
            command.task.job, command.ticket, host, now
        )
        rejection = host.start(command, spec, is_valid, now)
        run = host.runs.get(command.task)
        if rejection is None and run is not None:
            if host.has_fault(HostFault.FAILS_RUNS, now):
                self.at(
                    FAILURE_DELAY_S, self.end, host, run.task, run.run, EndKind.FAILED
                )
            elif run.seconds != float("inf") and not run.is_stalled:
                self.at(run.seconds, self.end, host, run.task, run.run, EndKind.DONE)
        return rejection

    def end(self, host: FaultyHost, task: TaskId, run: int, kind: EndKind) -> None:
        """End a run on a host."""
        if host.end(task, run, kind):
            self.on_end(host.entry.name)

    def stop(self, command: HostCommand) -> Rejection | NoReply | None:
        """Stop a run; it ends after the host's stop time."""
        host = self._find_host(command.host, command.address)
        if not isinstance(host, FaultyHost):
            return host
        rejection = host.stop(command, self.now())
        run = host.runs.get(command.task)
        if rejection is None and run is not None and run.run <= command.run:
            self.at(STOP_S, self.end, host, run.task, run.run, EndKind.STOPPED)
        return rejection

    def renew(
        self,
        name: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
    ) -> HostReport | Rejection | NoReply:
        """Renew a host's lease."""
        host = self._find_host(name, address)
        if not isinstance(host, FaultyHost):
            return host
        report = host.renew(token, acknowledged, lease_until_ms, self.now())
        if host.has_fault(HostFault.RENEWALS_UNANSWERED, self.now()):
            return NoReply()
        return report
