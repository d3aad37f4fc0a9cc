"""Daemons as processes on loopback, and stand-ins from which each can be cut off."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from bench.cut_executor import LIST_TOPIC, STORE, CutExecutor, CutStore
from bench.cut_links import AddressBook, Cuts, Forwarder
from bench.run_check import (
    TOKENS_PER_TERM,
    Event,
    EventKind,
    RunRecord,
    collect_runs,
    find_twice,
)
from review.common.world import CannotRunError, Daemon, World, route

__all__ = ["CutWorld"]

DAEMONS = 4
EXECUTORS = 4
EXECUTOR_CPU_MILLI = 16_000
SERVICE = "family-desk"
PREFIX = "/lohu930/"
# Seconds until one owner must give orders to every executor.
OWNER_LIMIT_S = 15.0
# Seconds without a heartbeat after which an executor's entry is removed.
ENTRY_TIMEOUT_S = 4.5


class CutDaemon(Daemon):
    """A daemon of the product folder under test."""

    def __init__(self, world: CutWorld, number: int) -> None:
        super().__init__(world, number)
        settings = tomllib.loads(self.path.read_text())
        self.peer_address = f"{self.ip}:{settings['port_range'][0]}"
        self.started_at = 0.0

    def begin(self) -> None:
        """Start the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SISKINROAD_BOOT"] = str(self.path)
        env["PYTHONPATH"] = str(self.world.folder / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        command = [sys.executable, "-m", "siskinroad_platform"]
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=self.world.root, env=env, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()
        self.world.record(f"daemon {self.name} is started")

    async def wait_ready(self) -> None:
        """Wait until the daemon reports itself ready; note how long that took."""
        await super().wait_ready()
        ready_s = time.monotonic() - self.started_at
        self.world.ready_s = max(self.world.ready_s, ready_s)


class CutWorld(World):
    """The stand-ins, the daemons and the links of one trial.

    Parameters
    ----------
    folder : Path
        Folder of the settings and logs.
    root : Path
        Product folder under test.
    rng : random.Random
        Source of all that varies between trials.
    cuts : Cuts
        The links that are cut; at first none.

    Attributes
    ----------
    events : list of Event
        What the executors have recorded.
    ready_s : float
        Longest time in seconds that a daemon took to report itself ready.
    restart_s : list of float
        Seconds after which the tasks of a crashed executor ran again.
    late : list of str
        The tasks that did not run again in time or lapsed, as findings.
    lost : set of str
        The daemons that were lost for good.
    """

    def __init__(
        self, folder: Path, root: Path, rng: random.Random, cuts: Cuts
    ) -> None:
        super().__init__(folder)
        self.root, self.rng = root, rng
        self.wall_began = time.time()
        self.events: list[Event] = []
        self.ready_s = 0.0
        self.restart_s: list[float] = []
        self.late: list[str] = []
        self.lost: set[str] = set()
        self.cuts, self.book = cuts, AddressBook()
        self.store = CutStore(self.cuts, self.book)
        self.forwarders: list[Forwarder] = []
        self._removals: dict[str, asyncio.TimerHandle] = {}

    def ip(self, number: int) -> str:
        """Return a loopback address; all have the same length."""
        pid = os.getpid()
        return f"127.{100 + pid // 100 % 100}.{100 + pid % 100}.{100 + number}"

    # Start and end

    async def begin_all(self) -> None:
        """Start everything and wait until one daemon gives all orders."""
        (self.folder / "deps").mkdir()
        platform = self.folder / "deps" / "siskinroad_platform"
        platform.symlink_to(self.root / "platform")
        self.configure(1, [route("r-1", PREFIX, SERVICE)], [SERVICE])
        await self._make_daemons()
        await self._begin_executors()
        for daemon in self.daemons:
            daemon.begin()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await self.wait_owner(set(self.executors), OWNER_LIMIT_S)
        self._check_links()

    async def _make_daemons(self) -> None:
        for number in range(DAEMONS):
            self.store_address = await self.store.open_door(
                f"edge-{2 + number}", self.ip(1)
            )
            daemon = CutDaemon(self, 2 + number)
            self.daemons.append(daemon)
            self.book.add(daemon.name, daemon.peer_address)
        for dialler in self.daemons:
            for target in self.daemons:
                if dialler is not target:
                    await self._add_forwarder(dialler, target)

    async def _add_forwarder(self, dialler: CutDaemon, target: CutDaemon) -> None:
        forwarder = Forwarder(
            dialler.name, target.name, target.peer_address, self.cuts, self.book
        )
        address = await forwarder.listen(target.ip)
        self.book.add_view(dialler.name, target.name, address)
        self.forwarders.append(forwarder)

    async def _begin_executors(self) -> None:
        names = [daemon.name for daemon in self.daemons]
        for number in range(EXECUTORS):
            executor = CutExecutor(
                self.store,
                self.record,
                f"i-{number}",
                self.ip(50 + number),
                SERVICE,
                cpu=EXECUTOR_CPU_MILLI,
                cuts=self.cuts,
                note=self._note,
                began=self.began,
            )
            self.executors[executor.name] = executor
            doors = await executor.open_doors(names)
            await executor.begin()
            self.book.add(executor.name, executor.address)
            for daemon, address in doors.items():
                self.book.add_view(daemon, executor.name, address)

    def _check_links(self) -> None:
        """Check that daemons are connected through the forwarders alone."""
        real = {each.peer_address for each in self.daemons}
        own_ports = set().union(*(each.own_ports for each in self.forwarders))
        for port, remote in _list_connections():
            if remote in real and port not in own_ports:
                raise CannotRunError(f"a daemon has a direct connection to {remote}")

    async def end(self) -> None:
        """End every process and stand-in; write down the events."""
        for handle in self._removals.values():
            handle.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        for executor in self.executors.values():
            executor.close()
        for forwarder in self.forwarders:
            forwarder.close()
        self.store.close()
        (self.folder / "deps" / "siskinroad_platform").unlink(missing_ok=True)
        lines = [json.dumps({"wall_at_0": self.wall_began})]
        lines += [json.dumps(asdict(event)) for event in self.events]
        (self.folder / "events.jsonl").write_text("\n".join(lines) + "\n")

    # What is seen

    def now(self) -> float:
        """Return the seconds since the start of the trial."""
        return time.monotonic() - self.began

    def find_holder(self, names: Iterable[str]) -> tuple[int, str] | None:
        """Return the term and the daemon that all these executors obey."""
        holders = {
            (token // TOKENS_PER_TERM, daemon)
            for token, daemon in (self.executors[name].holder for name in names)
        }
        found = holders.pop() if len(holders) == 1 else (0, "")
        return found if found[0] else None

    async def wait_owner(
        self, names: Iterable[str], limit_s: float, former: int = 0
    ) -> CutDaemon:
        """Wait until one daemon gives the orders to all these executors."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            holder = self.find_holder(names)
            if holder is not None and holder[0] > former:
                self.record(f"{holder[1]} owns the pool under term {holder[0]}")
                return self.daemon(holder[1])
            await asyncio.sleep(0.02)
        raise CannotRunError(f"no owner after term {former} within {limit_s} s")

    def daemon(self, name: str) -> CutDaemon:
        """Return a daemon by name."""
        return next(each for each in self.daemons if each.name == name)

    def others(self, *names: str) -> list[str]:
        """Return the names of all daemons but these."""
        return [each.name for each in self.daemons if each.name not in names]

    def busy_executors(self) -> set[str]:
        """Return the executors that run something."""
        return {name for name, each in self.executors.items() if each.runs}

    def list_owners(self) -> list[str]:
        """Return the owners that executors have obeyed, by term."""
        owners = {
            event.term: event.daemon
            for event in self.events
            if event.kind is EventKind.TERM
        }
        return [f"{owners[term]} (term {term})" for term in sorted(owners)]

    def list_findings(self) -> list[str]:
        """Return what was broken, and how old the claims were that led to it."""
        return [
            f"{each.describe()}; claims_age_s {self._find_claims_age(each.first)} "
            f"and {self._find_claims_age(each.second)}"
            for each in find_twice(collect_runs(self.events))
        ]

    def _find_claims_age(self, run: RunRecord) -> float | None:
        """Return how old the claims were when a run was started, from the log."""
        job, _, task = run.start.task.partition(".")
        wanted = {"request": job, "task": task, "run": run.start.run}
        log = self.folder / f"{run.start.daemon}.log"
        for line in log.read_text().splitlines():
            if '"host_commands: start command finished"' not in line:
                continue
            fields = json.loads(line)
            if all(fields.get(key) == value for key, value in wanted.items()):
                return fields.get("claims_age_s")
        return None

    def _note(self, event: Event) -> None:
        self.events.append(event)
        if event.kind is EventKind.TERM:
            self.record(f"{event.executor} obeys {event.daemon}, term {event.term}")

    async def submit_job(self, daemon: str, job: str, count: int, work_ms: int) -> None:
        """Submit a job of one step, some of whose tasks fit on one executor."""
        cpu = self.rng.choice((2000, 3000, 4000))
        step = {"count": count, "cpu": cpu, "mem_mb": 256, "estimated_ms": work_ms}
        await self.submit(self.daemon(daemon), PREFIX + job, [step], [work_ms], cpu)

    # Faults

    def unlist_later(self, names: Iterable[str]) -> None:
        """Let the entries of executors expire that no longer reach the store."""
        if self.cuts.is_off:
            return
        loop = asyncio.get_running_loop()
        for name in names:
            self._removals[name] = loop.call_later(ENTRY_TIMEOUT_S, self.unlist, name)

    def unlist(self, name: str) -> None:
        """Remove the entry of an executor."""
        self.record(f"the entry of {name} has expired")
        self.store.put(LIST_TOPIC, name, None)

    def split(self, owner: str, kept: set[str], *, reach_store: bool) -> None:
        """Cut an owner off from all but some executors, and others from these.

        Parameters
        ----------
        reach_store : bool
            Whether the kept executors still reach the store.
        """
        rest = set(self.executors) - kept
        self.cuts.cut([owner], [STORE, *self.others(owner), *rest])
        self.cuts.cut(self.others(owner), kept)
        if not reach_store:
            self.cuts.cut(kept, [STORE])
            self.unlist_later(kept)
        self.record(
            f"{owner} is cut off with {sorted(kept)}, "
            f"which {'reach' if reach_store else 'do not reach'} the store"
        )

    def heal_all(self) -> None:
        """Restore every link; executors write their entries again."""
        self.cuts.heal_all()
        self.store.list_readers.clear()
        for handle in self._removals.values():
            handle.cancel()
        for name, executor in self.executors.items():
            if name in self._removals and executor.is_up:
                executor.register()
        self._removals.clear()
        self.record("every link is restored")

    def kill(self, name: str) -> None:
        """Kill a daemon's process; its peers are refused at its address."""
        daemon = self.daemon(name)
        self.record(f"daemon {name} is killed")
        daemon.process.kill()
        daemon.process.wait()
        for forwarder in self._forwarders_to(name):
            forwarder.close()

    def _forwarders_to(self, name: str) -> list[Forwarder]:
        return [each for each in self.forwarders if each.target == name]

    def lose(self, name: str) -> None:
        """Kill a daemon's process as a loss of power does: its address is silent."""
        self.lost.add(name)
        self.cuts.cut([name], [STORE])
        self._power_off(name)

    def lose_executor(self, name: str) -> None:
        """Crash an executor as a loss of power does, and remove its entry."""
        self.executors[name].crash(is_silent=True)
        self.unlist(name)

    async def restart(self, name: str, down_s: float) -> None:
        """Let a daemon be without power for a while, and start it again."""
        self._power_off(name)
        await asyncio.sleep(down_s)
        others = self.others(name, *self.lost)
        self.cuts.heal([name], [*others, *self.executors])
        for forwarder in self._forwarders_to(name):
            await forwarder.resume()
        self.daemon(name).begin()

    def _power_off(self, name: str) -> None:
        self.cuts.cut([name], [*self.others(name), *self.executors])
        if not self.cuts.is_off:
            for forwarder in self._forwarders_to(name):
                forwarder.silence()
        daemon = self.daemon(name)
        self.record(f"daemon {name} has no power")
        daemon.process.kill()
        daemon.process.wait()


def _list_connections() -> list[tuple[int, str]]:
    """Return the own port and the remote address of each connection on this machine."""
    found = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state = line.split()[:4]
        if state == "01":
            ip, _, port = remote.partition(":")
            octets = reversed(bytes.fromhex(ip))
            address = ".".join(map(str, octets)) + f":{int(port, 16)}"
            found.append((int(local.rpartition(":")[2], 16), address))
    return found
