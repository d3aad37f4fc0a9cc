"""Seeded fault injection: several daemons under load, with faults that may overlap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from bench.clock import run_on_paused_clock
from bench.invariants import CallerRequest, Observations, check_invariants
from bench.world import World, small_cell
from siskinroad.entry import Daemon
from siskinroad.errors import ConflictError, PlatformError, Refusal, SiskinroadError
from siskinroad.platform import CELL_STREAM, HostState, data_centre_stream

T = TypeVar("T")

DAEMON_NAMES = ["east-1a", "east-1b", "east-1c", "west-1a", "west-1b"]
# Mean number of service requests per second.
REQUEST_RATE = 12.0
# Longest duration of a fault, in seconds.
MAX_FAULT_TIME_S = 8.0
# Seconds during which requests are sent.
LOAD_TIME_S = 22.0
# Seconds within which accepted jobs must end after the end of all faults.
RECOVERY_TIME_S = 75.0
TASKS_PER_JOB = 6
# Seconds of loop time after which a session counts as hung.
MAX_SESSION_TIME_S = 400.0

Fault = Callable[["Session"], Awaitable[None]]


class Session:
    """One seeded run of daemons, callers, operators and faults.

    Parameters
    ----------
    faults : list of str
        Names in ``FAULTS``; each is injected at a random moment while requests are
        sent.
    fencing : bool
        Whether the hosts refuse lower epochs.
    """

    def __init__(self, seed: int, faults: list[str], fencing: bool = False) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.world = World(small_cell(fencing=fencing), list(DAEMON_NAMES), seed)
        self.observations = Observations()
        self.request_count = 0
        self.latest_revision = 0
        self.pending_calls: dict[str, set[asyncio.Task[None]]] = {}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        await self.world.start_and_configure()
        self.latest_revision = 1
        revision_recorder = asyncio.create_task(self._record_revisions())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_requests())
            group.create_task(self._submit_jobs())
            for name in self.faults:
                group.create_task(self._inject_fault(name))
        await self._recover()
        revision_recorder.cancel()
        return (
            check_invariants(self.observations, self.world.memory_hosts)
            + self._find_stale_daemons()
        )

    async def _inject_fault(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(1.0, 8.0))
        await FAULTS[name](self)

    async def _send_requests(self) -> None:
        until = self.now() + LOAD_TIME_S
        async with asyncio.TaskGroup() as group:
            while self.now() < until:
                await asyncio.sleep(self.rng.expovariate(REQUEST_RATE))
                if self.world.daemons:
                    name = self.rng.choice(sorted(self.world.daemons))
                    task = group.create_task(self._send_request(name))
                    self.pending_calls.setdefault(name, set()).add(task)
                    task.add_done_callback(self.pending_calls[name].discard)

    async def call_daemon(
        self, daemon: Daemon, call: Coroutine[Any, Any, T]
    ) -> T | None:
        """Await a call on a daemon; return None if the daemon is killed meanwhile."""
        name = daemon.cfg.name
        task = asyncio.create_task(call)
        self.pending_calls.setdefault(name, set()).add(task)
        await asyncio.wait({task})
        self.pending_calls.get(name, set()).discard(task)
        return None if task.cancelled() else task.result()

    async def kill(self, name: str) -> None:
        """Kill a daemon and break the connections of its callers."""
        for task in self.pending_calls.pop(name, set()):
            task.cancel()
        await self.world.kill(name)

    async def _send_request(self, name: str) -> None:
        self.request_count += 1
        service = self.rng.choice(["quote", "quote", "dispatch"])
        body = f"{service}-{self.request_count}".encode()
        request = CallerRequest(body, service, service == "quote", self.now())
        key = body.decode() if service == "dispatch" else ""
        try:
            answer = await self.world.send_request(name, service, body, key)
        except Refusal as exc:
            request.reason, request.outcome = exc.reason.value, exc.outcome.value
        except asyncio.CancelledError:
            request.reason, request.outcome = "connection_lost", "outcome unknown"
        else:
            request.answer, request.status = answer.body, answer.status
        request.answered_at = self.now()
        self.observations.requests.append(request)
        if key and self.rng.random() < 0.3 and request.status != 200:
            request.was_repeated = True
            await self._repeat_request(service, body, key)

    async def _repeat_request(self, service: str, body: bytes, key: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        if not self.world.daemons:
            return
        name = self.rng.choice(sorted(self.world.daemons))
        try:
            await self.world.send_request(name, service, body, key)
        except Refusal:
            return

    async def _submit_jobs(self) -> None:
        for number in range(5):
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            workload = self.rng.choice(["recount", "recount", "render"])
            count = TASKS_PER_JOB if workload == "recount" else 1
            await self.submit_job(workload, count, f"job-{number}")

    async def submit_job(self, workload: str, count: int, key: str) -> str:
        if not self.world.daemons:
            return ""
        daemon = self.world.daemons[self.rng.choice(sorted(self.world.daemons))]
        try:
            cell = daemon.cell()
            call = daemon.jobs.submit(cell, cell.workloads[workload], count, b"", key)
            view = await self.call_daemon(daemon, call)
        except Refusal:
            return ""
        if view is None:
            return ""
        self.observations.accepted[view.job] = count
        return view.job

    async def _record_revisions(self) -> None:
        while True:
            for name, daemon in self.world.daemons.items():
                revision = daemon.configuration.revision
                self.observations.revisions.append(
                    (self.now(), name, daemon.incarnation, revision)
                )
            await asyncio.sleep(0.5)

    async def _recover(self) -> None:
        """End all faults, start killed daemons and wait for accepted jobs to end."""
        world = self.world
        world.log.faults.down = False
        world.log.faults.cut.clear()
        world.log.faults.delay = 0.0
        world.log.faults.lost_replies = 0
        world.network.faults.cut.clear()
        world.network.faults.loss = 0.0
        world.network.faults.duplicate = 0.0
        world.network.faults.jitter = 0.0
        world.blocked_calls.clear()
        for memory_host in world.memory_hosts.values():
            memory_host.faults.down = memory_host.faults.silent = (
                memory_host.faults.loses_replies
            ) = False
            memory_host.faults.failing = False
        for name in DAEMON_NAMES:
            if name not in world.daemons:
                world.start(name)
        self.faults_ended_at = self.now()
        until = self.now() + RECOVERY_TIME_S
        while (
            self.now() < until
            and set(self.observations.accepted) - self.observations.settled
        ):
            await asyncio.sleep(1.0)
            await self._record_settled_jobs()
        await asyncio.sleep(max(0.0, self.faults_ended_at + 10.0 - self.now()))

    async def _record_settled_jobs(self) -> None:
        for job in set(self.observations.accepted) - self.observations.settled:
            centre = job.rpartition(".")[0]
            for daemon in self.world.daemons.values():
                if daemon.cfg.data_centre != centre:
                    continue
                state = daemon.ledger.jobs.get(job)
                if state is not None and state.settled:
                    self.observations.settled.add(job)

    def _find_stale_daemons(self) -> list[str]:
        """Return a message for each daemon without the latest revision.

        Called at the earliest 10 s after all faults have ended.
        """
        return [
            f"{name} is still at revision {daemon.configuration.revision} "
            "after recovery"
            for name, daemon in self.world.daemons.items()
            if daemon.configuration.revision < self.latest_revision
        ]

    def pick_daemon(self, prefix: str = "") -> str:
        names = [name for name in sorted(self.world.daemons) if name.startswith(prefix)]
        return self.rng.choice(names) if names else ""

    def pick_host(self):
        return self.world.memory_hosts[self.rng.choice(sorted(self.world.memory_hosts))]

    async def pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, MAX_FAULT_TIME_S))


# Injected faults, one function each. Do not rename them: the sorted order of their
# names decides which seed a combination of faults gets.


async def kill(session: Session) -> None:
    name = session.pick_daemon()
    if not name:
        return
    await session.kill(name)
    await session.pause()
    if name not in session.world.daemons:
        session.world.start(name)


async def restart_all(session: Session) -> None:
    """Kill all daemons and start them again 0.5 s later."""
    for name in list(session.world.daemons):
        await session.kill(name)
    await asyncio.sleep(0.5)
    for name in DAEMON_NAMES:
        if name not in session.world.daemons:
            session.world.start(name)


async def deaf(session: Session) -> None:
    """Hold the messages to a daemon and cut it off the log, as if it were suspended."""
    name = session.pick_daemon()
    if not name:
        return
    faults = session.world.log.faults
    session.world.network.pause(name)
    faults.cut.add(name)
    await session.pause()
    session.world.network.resume(name)
    faults.cut.discard(name)


async def held_calls(session: Session) -> None:
    """Hold the calls of a cut-off daemon to hosts, then deliver them.

    Do nothing if the hosts do not fence.
    """
    name = session.pick_daemon()
    if not name or not session.world.cell.pools["booking"].fencing:
        return
    upstreams = session.world.daemons[name].upstreams
    delivery_gate = upstreams.delivery_gate = asyncio.Event()
    session.world.network.pause(name)
    session.world.log.faults.cut.add(name)
    await session.pause()
    session.world.network.resume(name)
    session.world.log.faults.cut.discard(name)
    delivery_gate.set()
    if upstreams.delivery_gate is delivery_gate:
        upstreams.delivery_gate = None


async def host_fails(session: Session) -> None:
    """Crash a host, which then refuses connections."""
    memory_host = session.pick_host()
    memory_host.faults.down = True
    memory_host.crash(session.now())
    await session.pause()
    memory_host.faults.down = False


async def host_silent(session: Session) -> None:
    """Drop all calls to a host."""
    memory_host = session.pick_host()
    memory_host.faults.silent = True
    await session.pause()
    memory_host.faults.silent = False


async def host_mute(session: Session) -> None:
    """Let calls to a host take effect, but drop its answers."""
    memory_host = session.pick_host()
    memory_host.faults.loses_replies = True
    await session.pause()
    memory_host.faults.loses_replies = False


async def host_fails_everything(session: Session) -> None:
    """Let tasks and requests that start on a host fail at once."""
    memory_host = session.pick_host()
    memory_host.faults.failing = True
    await session.pause()
    memory_host.faults.failing = False


async def log_down(session: Session) -> None:
    session.world.log.faults.down = True
    await session.pause()
    session.world.log.faults.down = False


async def log_slow(session: Session) -> None:
    session.world.log.faults.delay = session.rng.uniform(0.2, 1.5)
    await session.pause()
    session.world.log.faults.delay = 0.0


async def log_answers_lost(session: Session) -> None:
    session.world.log.faults.lost_replies = session.rng.randrange(1, 8)
    await session.pause()


async def log_trimmed(session: Session) -> None:
    """Write snapshots and trim the streams of the log up to them."""
    trims: dict[str, int] = {}
    for daemon in list(session.world.daemons.values()):
        stream = data_centre_stream(daemon.cfg.data_centre)
        as_of = daemon.ledger.next_offset
        if session.world.daemons.get(daemon.cfg.name) is not daemon:
            continue
        if not daemon.ledger.is_complete or daemon.configuration.revision == 0:
            continue
        before = session.world.log.streams[CELL_STREAM].tail
        await session.call_daemon(daemon, daemon.snapshotter.write_all())
        if session.world.log.streams[CELL_STREAM].tail > before:
            trims[stream] = as_of
            trims[CELL_STREAM] = before
    for stream, first_offset in trims.items():
        session.world.log.trim(stream, first_offset)


async def _cut_links(session: Session, side_a: list[str], side_b: list[str]) -> None:
    pairs = {(a, b) for a in side_a for b in side_b}
    pairs |= {(b, a) for a, b in pairs}
    session.world.network.faults.cut |= pairs
    await session.pause()
    session.world.network.faults.cut -= pairs


async def regions_part(session: Session) -> None:
    await _cut_links(session, DAEMON_NAMES[:3], DAEMON_NAMES[3:])


async def centre_splits(session: Session) -> None:
    """Cut one daemon off the other daemons of its data centre.

    With probability 0.5 it is cut off the log too. Each link between a daemon of the
    data centre and one of three of its hosts is cut with probability 0.25.
    """
    name = session.pick_daemon("east")
    if not name:
        return
    others = [x for x in DAEMON_NAMES if x.startswith("east") and x != name]
    faults = session.world.log.faults
    is_log_cut = session.rng.random() < 0.5
    blocked_pairs = {
        (daemon_name, host)
        for host in ("e0", "e1", "e2")
        for daemon_name in (name, *others)
        if session.rng.random() < 0.25
    }
    if is_log_cut:
        faults.cut.add(name)
    session.world.blocked_calls |= blocked_pairs
    await _cut_links(session, [name], others)
    session.world.blocked_calls -= blocked_pairs
    faults.cut.discard(name)


async def centre_without_platform(session: Session) -> None:
    names = [name for name in DAEMON_NAMES if name.startswith("east")]
    session.world.log.faults.cut |= set(names)
    await session.pause()
    session.world.log.faults.cut -= set(names)


async def one_way(session: Session) -> None:
    """Drop the messages from one daemon to another, but not those back."""
    sender, receiver = session.pick_daemon("east"), session.pick_daemon("east")
    if sender and receiver and sender != receiver:
        session.world.network.faults.cut.add((sender, receiver))
        await session.pause()
        session.world.network.faults.cut.discard((sender, receiver))


async def bad_links(session: Session) -> None:
    """Lose, duplicate and delay messages between daemons."""
    faults = session.world.network.faults
    faults.loss, faults.duplicate, faults.jitter = 0.1, 0.1, 0.3
    await session.pause()
    faults.loss = faults.duplicate = faults.jitter = 0.0


async def cancel_wave(session: Session) -> None:
    """Submit a job of 40 tasks and cancel it within 2 s."""
    job = await session.submit_job("recount", 40, "wave")
    if not job:
        return
    await asyncio.sleep(session.rng.uniform(0.1, 2.0))
    name = session.pick_daemon(job.rpartition(".")[0])
    if not name:
        return
    try:
        daemon = session.world.daemons[name]
        view = await session.call_daemon(daemon, daemon.jobs.cancel(job))
    except Refusal:
        return
    if view is not None:
        session.observations.cancelled[job] = session.now()


async def operators_race(session: Session) -> None:
    """Apply three configurations at the same time."""
    texts = [session.world.text + f"# {session.rng.random()}\n" for _ in range(3)]
    names = [session.pick_daemon() for _ in texts]
    results = await asyncio.gather(
        *(
            _apply_configuration(session, n, t)
            for n, t in zip(names, texts, strict=True)
            if n
        )
    )
    session.latest_revision = max([session.latest_revision, *results])


async def _apply_configuration(session: Session, name: str, text: str) -> int:
    daemon = session.world.daemons.get(name)
    if daemon is None:
        return 0
    try:
        done = await session.call_daemon(daemon, daemon.publisher.apply(text, None))
        return done.revision if done is not None else 0
    except (ConflictError, PlatformError, SiskinroadError):
        return 0


async def host_leaves(session: Session) -> None:
    """List a host as leaving for 8 s; do nothing beside other faults."""
    memory_host = session.pick_host()
    centre = "east-1" if memory_host.name.startswith("e") else "west-1"
    if session.faults != ["host_leaves"]:
        return
    session.world.log.set_host_state(centre, memory_host.name, HostState.LEAVING)
    since = session.now()
    await asyncio.sleep(8.0)
    session.world.log.set_host_state(centre, memory_host.name, HostState.LIVE)
    session.observations.leaving_periods.append(
        (memory_host.name, since, session.now())
    )


async def rolling_replacement(session: Session) -> None:
    """Drain and restart all daemons in turn; do nothing beside other faults."""
    if session.faults != ["rolling_replacement"]:
        return
    session.observations.must_answer = True
    for name in DAEMON_NAMES:
        daemon = session.world.daemons[name]
        del session.world.daemons[name]
        await daemon.drain()
        await daemon.close()
        session.world.start(name)
        await asyncio.sleep(2.0)


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill,
        restart_all,
        deaf,
        held_calls,
        host_fails,
        host_silent,
        host_mute,
        host_fails_everything,
        log_down,
        log_slow,
        log_answers_lost,
        log_trimmed,
        regions_part,
        centre_splits,
        centre_without_platform,
        one_way,
        bad_links,
        cancel_wave,
        operators_race,
        host_leaves,
        rolling_replacement,
    )
}


def run_session(seed: int, faults: list[str], fencing: bool) -> list[str]:
    """Return a message for each invariant that one run violated."""

    async def main() -> list[str]:
        session = Session(seed, faults, fencing)
        try:
            async with asyncio.timeout(MAX_SESSION_TIME_S):
                return await session.run()
        except TimeoutError:
            pending = [
                task for tasks in session.pending_calls.values() for task in tasks
            ]
            return [
                f"{len(pending)} calls to daemons still pending "
                f"after {MAX_SESSION_TIME_S} s of loop time"
            ]

    return run_on_paused_clock(main())
