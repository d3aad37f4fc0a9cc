"""A seeded driver: several daemons, a load, and faults alone or together."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from bench.clock import run
from bench.invariants import Asked, Seen, check
from bench.world import World, small_cell
from siskinroad.entry import Daemon
from siskinroad.errors import ConflictError, PlatformError, Refusal, SiskinroadError
from siskinroad.platform import CELL_STREAM, HostState, dc_stream

T = TypeVar("T")

NAMES = ["east-1a", "east-1b", "east-1c", "west-1a", "west-1b"]
RATE = 12.0
FAULT_TIME = 8.0
LOAD_TIME = 22.0
HEAL_TIME = 75.0
JOB_TASKS = 6
MAX_TIME = 400.0

Fault = Callable[["Session"], Awaitable[None]]


class Session:
    """One seeded run.

    Parameters
    ----------
    faults : list of str
        Names in ``FAULTS``; each is caused at a random moment of the load.
    fencing : bool
        Whether the hosts refuse lower epochs.
    """

    def __init__(self, seed: int, faults: list[str], fencing: bool = False) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.world = World(small_cell(fencing=fencing), list(NAMES), seed)
        self.seen = Seen()
        self.number = 0
        self.latest = 0
        self.asking: dict[str, set[asyncio.Task[None]]] = {}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        await self.world.ready()
        self.latest = 1
        watcher = asyncio.create_task(self._watch_revisions())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._load())
            group.create_task(self._jobs())
            for name in self.faults:
                group.create_task(self._cause(name))
        await self._settle()
        watcher.cancel()
        return check(self.seen, self.world.workers) + self._late()

    async def _cause(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(1.0, 8.0))
        await FAULTS[name](self)

    async def _load(self) -> None:
        until = self.now() + LOAD_TIME
        async with asyncio.TaskGroup() as group:
            while self.now() < until:
                await asyncio.sleep(self.rng.expovariate(RATE))
                if self.world.daemons:
                    name = self.rng.choice(sorted(self.world.daemons))
                    task = group.create_task(self._ask(name))
                    self.asking.setdefault(name, set()).add(task)
                    task.add_done_callback(self.asking[name].discard)

    async def on(self, daemon: Daemon, call: Coroutine[Any, Any, T]) -> T | None:
        """Return what a daemon answers; None if it is killed meanwhile."""
        name = daemon.cfg.name
        task = asyncio.create_task(call)
        self.asking.setdefault(name, set()).add(task)
        await asyncio.wait({task})
        self.asking.get(name, set()).discard(task)
        return None if task.cancelled() else task.result()

    async def kill(self, name: str) -> None:
        """Kill a daemon; its callers' connections break."""
        for task in self.asking.pop(name, set()):
            task.cancel()
        await self.world.kill(name)

    async def _ask(self, name: str) -> None:
        self.number += 1
        service = self.rng.choice(["quote", "quote", "dispatch"])
        body = f"{service}-{self.number}".encode()
        asked = Asked(body, service, service == "quote", self.now())
        key = body.decode() if service == "dispatch" else ""
        try:
            answer = await self.world.ask(name, service, body, key)
        except Refusal as exc:
            asked.reason, asked.outcome = exc.reason.value, exc.outcome.value
        except asyncio.CancelledError:
            asked.reason, asked.outcome = "connection_lost", "outcome unknown"
        else:
            asked.answer, asked.status = answer.body, answer.status
        asked.answered = self.now()
        self.seen.asked.append(asked)
        if key and self.rng.random() < 0.3 and asked.status != 200:
            asked.repeated = True
            await self._repeat(service, body, key)

    async def _repeat(self, service: str, body: bytes, key: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        if not self.world.daemons:
            return
        name = self.rng.choice(sorted(self.world.daemons))
        try:
            await self.world.ask(name, service, body, key)
        except Refusal:
            return

    async def _jobs(self) -> None:
        for number in range(5):
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            workload = self.rng.choice(["recount", "recount", "render"])
            count = JOB_TASKS if workload == "recount" else 1
            await self._submit(workload, count, f"job-{number}")

    async def _submit(self, workload: str, count: int, key: str) -> str:
        if not self.world.daemons:
            return ""
        daemon = self.world.daemons[self.rng.choice(sorted(self.world.daemons))]
        try:
            cell = daemon.cell()
            call = daemon.jobs.submit(cell, cell.workloads[workload], count, b"", key)
            view = await self.on(daemon, call)
        except Refusal:
            return ""
        if view is None:
            return ""
        self.seen.accepted[view.job] = count
        return view.job

    async def _watch_revisions(self) -> None:
        while True:
            for name, daemon in self.world.daemons.items():
                revision = daemon.configuration.revision
                self.seen.revisions.append(
                    (self.now(), name, daemon.incarnation, revision)
                )
            await asyncio.sleep(0.5)

    async def _settle(self) -> None:
        """Heal everything and wait until the accepted jobs have ended."""
        world = self.world
        world.log.faults.down = False
        world.log.faults.cut.clear()
        world.log.faults.delay = 0.0
        world.log.faults.lose_answers = 0
        world.network.faults.cut.clear()
        world.network.faults.loss = 0.0
        world.network.faults.duplicate = 0.0
        world.network.faults.jitter = 0.0
        world.cut.clear()
        for worker in world.workers.values():
            worker.faults.down = worker.faults.silent = worker.faults.mute = False
            worker.faults.failing = False
        for name in NAMES:
            if name not in world.daemons:
                world.start(name)
        self.healed = self.now()
        until = self.now() + HEAL_TIME
        while self.now() < until and set(self.seen.accepted) - self.seen.settled:
            await asyncio.sleep(1.0)
            await self._note_settled()
        await asyncio.sleep(max(0.0, self.healed + 10.0 - self.now()))

    async def _note_settled(self) -> None:
        for job in set(self.seen.accepted) - self.seen.settled:
            centre = job.rpartition(".")[0]
            for daemon in self.world.daemons.values():
                if daemon.cfg.data_centre != centre:
                    continue
                state = daemon.ledger.jobs.get(job)
                if state is not None and state.settled:
                    self.seen.settled.add(job)

    def _late(self) -> list[str]:
        """Return the daemons that lack the last revision 10 s after healing."""
        return [
            f"{name} is at revision {daemon.configuration.revision}"
            for name, daemon in self.world.daemons.items()
            if daemon.configuration.revision < self.latest
        ]

    def pick(self, prefix: str = "") -> str:
        names = [name for name in sorted(self.world.daemons) if name.startswith(prefix)]
        return self.rng.choice(names) if names else ""

    def worker(self):
        return self.world.workers[self.rng.choice(sorted(self.world.workers))]

    async def pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, FAULT_TIME))


# Each cause of failure in the users' words


async def kill(s: Session) -> None:
    name = s.pick()
    if not name:
        return
    await s.kill(name)
    await s.pause()
    if name not in s.world.daemons:
        s.world.start(name)


async def restart_all(s: Session) -> None:
    for name in list(s.world.daemons):
        await s.kill(name)
    await asyncio.sleep(0.5)
    for name in NAMES:
        if name not in s.world.daemons:
            s.world.start(name)


async def deaf(s: Session) -> None:
    """Hold all that reaches a daemon, as while its process is stopped."""
    name = s.pick()
    if not name:
        return
    faults = s.world.log.faults
    s.world.network.pause(name)
    faults.cut.add(name)
    await s.pause()
    s.world.network.resume(name)
    faults.cut.discard(name)


async def held_calls(s: Session) -> None:
    """Hold a daemon's calls to hosts on their way, then let them through."""
    name = s.pick()
    if not name or not s.world.cell.pools["booking"].fencing:
        return
    upstreams = s.world.daemons[name].upstreams
    held = upstreams.held = asyncio.Event()
    s.world.network.pause(name)
    s.world.log.faults.cut.add(name)
    await s.pause()
    s.world.network.resume(name)
    s.world.log.faults.cut.discard(name)
    held.set()
    if upstreams.held is held:
        upstreams.held = None


async def host_fails(s: Session) -> None:
    worker = s.worker()
    worker.faults.down = True
    worker.crash(s.now())
    await s.pause()
    worker.faults.down = False


async def host_silent(s: Session) -> None:
    worker = s.worker()
    worker.faults.silent = True
    await s.pause()
    worker.faults.silent = False


async def host_mute(s: Session) -> None:
    worker = s.worker()
    worker.faults.mute = True
    await s.pause()
    worker.faults.mute = False


async def host_fails_everything(s: Session) -> None:
    worker = s.worker()
    worker.faults.failing = True
    await s.pause()
    worker.faults.failing = False


async def log_down(s: Session) -> None:
    s.world.log.faults.down = True
    await s.pause()
    s.world.log.faults.down = False


async def log_slow(s: Session) -> None:
    s.world.log.faults.delay = s.rng.uniform(0.2, 1.5)
    await s.pause()
    s.world.log.faults.delay = 0.0


async def log_answers_lost(s: Session) -> None:
    s.world.log.faults.lose_answers = s.rng.randrange(1, 8)
    await s.pause()


async def log_trimmed(s: Session) -> None:
    trims: dict[str, int] = {}
    for daemon in list(s.world.daemons.values()):
        stream = dc_stream(daemon.cfg.data_centre)
        as_of = daemon.ledger.next_offset
        if s.world.daemons.get(daemon.cfg.name) is not daemon:
            continue
        if not daemon.ledger.whole or daemon.configuration.revision == 0:
            continue
        before = s.world.log.streams[CELL_STREAM].tail
        await s.on(daemon, daemon.snapshotter.write_all())
        if s.world.log.streams[CELL_STREAM].tail > before:
            trims[stream] = as_of
            trims[CELL_STREAM] = before
    for stream, first in trims.items():
        s.world.log.trim(stream, first)


async def _cut(s: Session, left: list[str], right: list[str]) -> None:
    pairs = {(a, b) for a in left for b in right}
    pairs |= {(b, a) for a, b in pairs}
    s.world.network.faults.cut |= pairs
    await s.pause()
    s.world.network.faults.cut -= pairs


async def regions_part(s: Session) -> None:
    await _cut(s, NAMES[:3], NAMES[3:])


async def centre_splits(s: Session) -> None:
    """Cut one daemon from its peers, sometimes from the log and half the hosts."""
    name = s.pick("east")
    if not name:
        return
    others = [x for x in NAMES if x.startswith("east") and x != name]
    faults = s.world.log.faults
    cut_log = s.rng.random() < 0.5
    hosts = {
        (rng_name, host)
        for host in ("e0", "e1", "e2")
        for rng_name in (name, *others)
        if s.rng.random() < 0.25
    }
    if cut_log:
        faults.cut.add(name)
    s.world.cut |= hosts
    await _cut(s, [name], others)
    s.world.cut -= hosts
    faults.cut.discard(name)


async def centre_without_platform(s: Session) -> None:
    names = [name for name in NAMES if name.startswith("east")]
    s.world.log.faults.cut |= set(names)
    await s.pause()
    s.world.log.faults.cut -= set(names)


async def one_way(s: Session) -> None:
    a, b = s.pick("east"), s.pick("east")
    if a and b and a != b:
        s.world.network.faults.cut.add((a, b))
        await s.pause()
        s.world.network.faults.cut.discard((a, b))


async def bad_links(s: Session) -> None:
    faults = s.world.network.faults
    faults.loss, faults.duplicate, faults.jitter = 0.1, 0.1, 0.3
    await s.pause()
    faults.loss = faults.duplicate = faults.jitter = 0.0


async def cancel_wave(s: Session) -> None:
    job = await s._submit("recount", 40, "wave")
    if not job:
        return
    await asyncio.sleep(s.rng.uniform(0.1, 2.0))
    name = s.pick(job.rpartition(".")[0])
    if not name:
        return
    try:
        daemon = s.world.daemons[name]
        view = await s.on(daemon, daemon.jobs.cancel(job))
    except Refusal:
        return
    if view is not None:
        s.seen.cancelled[job] = s.now()


async def operators_race(s: Session) -> None:
    texts = [s.world.text + f"# {s.rng.random()}\n" for _ in range(3)]
    names = [s.pick() for _ in texts]
    results = await asyncio.gather(
        *(_apply(s, n, t) for n, t in zip(names, texts, strict=True) if n)
    )
    s.latest = max([s.latest, *results])


async def _apply(s: Session, name: str, text: str) -> int:
    daemon = s.world.daemons.get(name)
    if daemon is None:
        return 0
    try:
        done = await s.on(daemon, daemon.publisher.apply(text, None))
        return done.revision if done is not None else 0
    except (ConflictError, PlatformError, SiskinroadError):
        return 0


async def host_leaves(s: Session) -> None:
    worker = s.worker()
    centre = "east-1" if worker.name.startswith("e") else "west-1"
    if s.faults != ["host_leaves"]:
        return
    s.world.log.set_listed(centre, worker.name, HostState.LEAVING)
    since = s.now()
    await asyncio.sleep(8.0)
    s.world.log.set_listed(centre, worker.name, HostState.LIVE)
    s.seen.left.append((worker.name, since, s.now()))


async def rolling_replacement(s: Session) -> None:
    if s.faults != ["rolling_replacement"]:
        return
    s.seen.must_answer = True
    for name in NAMES:
        daemon = s.world.daemons[name]
        del s.world.daemons[name]
        await daemon.drain()
        await daemon.close()
        s.world.start(name)
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
    """Return the promises broken in one run."""

    async def main() -> list[str]:
        session = Session(seed, faults, fencing)
        try:
            async with asyncio.timeout(MAX_TIME):
                return await session.run()
        except TimeoutError:
            waiting = [task for tasks in session.asking.values() for task in tasks]
            return [f"{len(waiting)} callers have no answer after {MAX_TIME} s"]

    return run(main())
