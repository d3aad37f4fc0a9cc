"""Two executors crash, one after the other, while they run a task that lasts."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from world import CAPACITY, PREFIX, SERVICE, World, has_trouble, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
EXECUTORS = 8
# One of eight executors is down at a time: an eighth, for a second.
CRASHES = 4
DOWN_S = 1.0
# Seconds from a start to the crash of its executor.
CRASH_AFTER_S = 2.0
# Seconds after the last crash in which the job's state is looked at.
WATCH_S = 15.0


def list_starts(world: World) -> list[dict[str, Any]]:
    """Return the starts of the job's task, in order."""
    return [e for e in world.events if e["event"] == "start"]


async def wait_for_start(world: World, count: int, limit_s: float = 15.0) -> str:
    """Return the executor of the task's start with a number; empty if there is none."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        starts = list_starts(world)
        if len(starts) >= count:
            return str(starts[count - 1]["executor"])
        await asyncio.sleep(0.01)
    return ""


async def crash(world: World, name: str) -> None:
    """Crash an executor; it starts again under its id, and lists itself."""
    executor = next(each for each in world.executors if each.name == name)
    world.note("executor crashes", executor_id=name)
    await executor.restart(DOWN_S)
    world.store.put("keyed.servers", name, executor.entry(SERVICE, CAPACITY))


async def play(world: World) -> str:
    """Play the case; return how the rule was broken."""
    await world.start(daemons=2, executors=EXECUTORS)
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 500}
    body = {"spec": json.dumps({"lasts": True}), "phases": [step]}
    step["long_running"] = True
    status, _ = await world.send(world.daemons[0], "POST", PREFIX + JOB, body)
    if status != 200:
        return f"the job was not accepted: {status}"
    for number in range(1, CRASHES + 1):
        name = await wait_for_start(world, number)
        if not name:
            break
        if has_trouble():
            await asyncio.sleep(CRASH_AFTER_S)
            await crash(world, name)
        else:
            break
    state = ""
    for _ in range(int(WATCH_S)):
        await asyncio.sleep(1.0)
        status, answer = await world.send(world.daemons[1], "GET", PREFIX + JOB)
        state = answer["state"] if status == 200 else state
    failed = [e for e in world.events if e.get("how") == "failed"]
    if state == "failed" and not failed:
        starts = len(list_starts(world))
        return f"the job is shown as failed after {starts} starts, none ended failed"
    if not any(executor.runs for executor in world.executors):
        return f"no task of the job runs {WATCH_S} s after the last crash"
    return ""


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt"))
