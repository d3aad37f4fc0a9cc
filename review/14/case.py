"""Waiting jobs of a queue that was moved are not counted as pending any more."""

import asyncio
import sys
from pathlib import Path
from signal import SIGTERM

from world import Daemon, World, call, run_case

ROUTE = {
    "name": "r-roster",
    "host": "desk.example",
    "path_prefix": "/roster/",
    "kind": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 3000,
    "priority": 2,
    "service": "family-desk",
    "max_attempts": 3,
    "slack_factor": 4.0,
}
FILLING = "00000000000000f0"
WAITING = [f"00000000000000{i:02x}" for i in range(10)]
LATER = "00000000000000e0"
# Seconds of a run: longer than the case.
WORK_S = 150.0
# Seconds that a daemon has to stop, and between two restarts.
GRACE_S = 6.0
GAP_S = 2.0
# The rule's bounds, in seconds: `visible_ms` and 2 s more, and `contact_ms`.
VISIBLE_S = 3.0 + 2.0
CONTACT_S = 4.0


def behave(task: str, spec: str) -> tuple[float, str, bool]:
    """Return how a run goes: the first job holds the only executor all the time."""
    return WORK_S, "done", False


async def restart_all(world: World, has_trouble: bool) -> None:
    """Stop and start the daemons in turn, one at a time."""
    for daemon in world.daemons if has_trouble else ():
        world.send_signal(daemon, SIGTERM)
        async with asyncio.timeout(GRACE_S):
            await daemon.process.wait()
        await world.run_daemon(daemon)
        await world.await_ready()
        await asyncio.sleep(GAP_S)


async def count(world: World, daemon: Daemon) -> int | None:
    """Return the count of pending jobs that a daemon gives."""
    reply = await world.send(daemon, "GET", ROUTE)
    return reply[1].get("pending") if reply and reply[0] == 200 else None


async def play(world: World, has_trouble: bool) -> str:
    """Let jobs wait, move their queue, and restart the daemons before and after."""
    await world.open([ROUTE], ["family-desk", "records-desk"])
    for i, service in enumerate(("family-desk", "records-desk")):
        await world.add_executor(f"i-{i}", 20 + i, service, behave=behave)
    for i in (1, 2, 3):
        await world.add_daemon(i)
    await world.await_ready()
    phase = {"count": 1, "cpu": 16000, "mem_mb": 1024, "estimated_ms": 150000}
    body = {"spec": "x", "phases": [phase]}
    await world.send(world.daemons[0], "POST", ROUTE, FILLING, body)
    await asyncio.sleep(3.0)
    accepted = []
    for job in WAITING:
        reply = await world.send(world.daemons[0], "POST", ROUTE, job, body)
        if reply is not None and reply[0] == 200:
            accepted.append(job)
    if len(accepted) < len(WAITING):
        return f"not all jobs were accepted: {accepted}"
    await asyncio.sleep(VISIBLE_S)
    await restart_all(world, has_trouble)
    # A version sends the queue to another service.
    moved = ROUTE | {"service": "records-desk"}
    world.put_config(world.config | {"version": 12, "routes": [moved]})
    await asyncio.sleep(3.0)
    for _ in range(20):
        reply = await world.send(world.daemons[1], "POST", ROUTE, LATER, body)
        if reply is not None and reply[0] == 200:
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.0)
    await restart_all(world, has_trouble)
    await asyncio.sleep(CONTACT_S + VISIBLE_S)
    begun = {start["task"].split(".")[0] for start in world.starts}
    waiting = [job for job in accepted if job not in begun]
    broken = []
    for daemon in world.daemons:
        reply = await call(daemon.ready, "GET", "/readyz", timeout=1.0)
        pending = await count(world, daemon)
        if reply is None or pending is None:
            continue
        if pending < len(waiting) / 2:
            broken.append(f"{daemon.name} counts {pending} of {len(waiting)} jobs")
    return "; ".join(broken)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
