"""A daemon freezes with a request unread, and its queue moves to another service."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from httpserver import Connection  # noqa: E402
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
# One of three daemons stands still, for as long as the site's longest freeze.
FREEZE_S = 4.0
TASK_MS = 4500
# Executors of each service.
EXECUTORS = 4


async def freeze(daemon: Daemon) -> None:
    """Let a daemon stand still for a while."""
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    daemon.signal(signal.SIGCONT)


async def play(world: World) -> str:
    """Play the case; return how the rule was broken."""
    await world.start(daemons=3, executors=0, services=SERVICES)
    for i in range(EXECUTORS):
        await world.add_executor(f"i-a{i}", SERVICE)
        await world.add_executor(f"i-b{i}", OTHER_SERVICE)
    await asyncio.sleep(2.0)
    daemon, other = world.daemons[0], world.daemons[1]
    connection = Connection()
    await connection.open(daemon.front)
    former = make_job({"ms": 100})
    await world.send(daemon, "POST", PREFIX + FORMER_JOB, former, connection=connection)
    await asyncio.sleep(1.0)

    frozen = None
    if has_trouble():
        frozen = asyncio.create_task(freeze(daemon))
    await asyncio.sleep(0.3)
    body = make_job({"ms": TASK_MS})
    first_try = asyncio.create_task(
        world.send(daemon, "POST", PREFIX + JOB, body, connection=connection)
    )
    await asyncio.sleep(0.7)
    world.configure(8, [make_route(service=OTHER_SERVICE)], SERVICES)
    status, _ = await first_try
    connection.close()
    # No answer within the client's 3 s: the same request arrives at another daemon.
    for _ in range(4):
        if status == 200:
            break
        status, _ = await world.send(other, "POST", PREFIX + JOB, body)
        await asyncio.sleep(0.2)
    if frozen is not None:
        await frozen
    await asyncio.sleep(3.0 * TASK_MS / 1000)
    if not world.list_events(JOB, "start"):
        return "the job has not started"
    return world.find_overlap(JOB)


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt"))
