"""An append comes late, its daemon is killed, and the queue moves meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from world import (  # noqa: E402
    PREFIX,
    SERVICE,
    Daemon,
    World,
    has_trouble,
    make_job,
    make_route,
    run_case,
)

OTHER_SERVICE = "records-desk"
SERVICES = (SERVICE, OTHER_SERVICE)
FORMER_JOB = "00000000000000a1"
JOB = "5c0e7a21d94b36f8"
# The store carries a lost append out 1 to 6 s later.
LATE_S = 4.0
TASK_MS = 4500
# Seconds until the platform starts a killed process again.
RESTART_DELAY_S = 1.0
# Executors of each service.
EXECUTORS = 4


async def restart(daemon: Daemon) -> None:
    """Start a daemon again, as the platform does."""
    await asyncio.sleep(RESTART_DELAY_S)
    await daemon.start()


class LostAppend:
    """The store's trouble: the job's first append is not answered, and comes late."""

    def __init__(self, world: World) -> None:
        self.is_armed = False
        self.writers: dict[str, str] = {}
        self.seen = asyncio.Event()
        self._world = world
        self._left = 1

    def choose_late_s(self, client: str, body: bytes) -> float | None:
        """Note who writes which job; choose the append that comes late."""
        if FORMER_JOB.encode() in body:
            self.writers.setdefault(FORMER_JOB, client)
        if JOB.encode() not in body:
            return None
        self.seen.set()
        if not self.is_armed or not self._left:
            return None
        self._left -= 1
        self._world.note("append is not answered, and done late", client=client)
        return LATE_S


async def play(world: World) -> str:
    """Play the case; return how the rule was broken."""
    lost = LostAppend(world)
    world.store.choose_late_s = lost.choose_late_s
    await world.start(daemons=3, executors=0, services=SERVICES)
    for i in range(EXECUTORS):
        await world.add_executor(f"i-a{i}", SERVICE)
        await world.add_executor(f"i-b{i}", OTHER_SERVICE)
    await asyncio.sleep(2.0)
    # The daemon that wrote the queue's last job to the store is the one to be killed.
    former = make_job({"ms": 100})
    await world.send(world.daemons[0], "POST", PREFIX + FORMER_JOB, former)
    await asyncio.sleep(1.0)
    name = lost.writers[FORMER_JOB]
    writer = next(daemon for daemon in world.daemons if daemon.name == name)
    other = next(daemon for daemon in world.daemons if daemon is not writer)

    lost.is_armed = has_trouble()
    restarted: asyncio.Task[None] | None = None
    body = make_job({"ms": TASK_MS})
    first_try = asyncio.create_task(world.send(writer, "POST", PREFIX + JOB, body))
    await lost.seen.wait()
    if has_trouble():
        await writer.kill()
        world.note("killed", daemon=writer.name)
        restarted = asyncio.create_task(restart(writer))
    world.configure(8, [make_route(service=OTHER_SERVICE)], SERVICES)
    status, _ = await first_try
    # A broken connection: the same request arrives at another daemon.
    for _ in range(4):
        if status == 200:
            break
        await asyncio.sleep(1.0)
        status, _ = await world.send(other, "POST", PREFIX + JOB, body)
    await asyncio.sleep(LATE_S + 3.0 * TASK_MS / 1000)
    if restarted is not None:
        await restarted
    if not world.list_events(JOB, "start"):
        return "the job has not started"
    return world.find_overlap(JOB)


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt"))
