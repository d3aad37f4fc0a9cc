"""A version of the configuration sends a queue to another service.

A client submits a job and gets a 200. The operator then puts a version in force in
which the queue's route names another service. The job is still accepted work: a GET
must not say that there is none, and a repeated submission must not run it again.
"""

import asyncio

from review.common.world import IS_TROUBLE, route, run_case

JOB, CANCELLED = "5c0e7a21d94b36f8", "7d1f8b32ea5c4701"
PATH = f"/lohu930/{JOB}"
CANCELLED_PATH = f"/lohu930/{CANCELLED}"
PHASES = [{"count": 3, "cpu": 1000, "mem_mb": 256, "estimated_ms": 25_000}]
STEPS_MS = [25_000]
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.5
CANCEL_S = 3.0
KILL_GRACE_S = 0.2
SERVICES = ["family-desk", "records-desk"]


async def play(world):
    """Play the case; return what was broken."""
    before = [
        route("r-1", "/lohu930/", "family-desk"),
        route("r-2", "/pule252/", "records-desk"),
    ]
    after = [route("r-1", "/lohu930/", "records-desk"), before[1]]
    executors = [{"service": SERVICES[n % 2]} for n in range(4)]
    await world.begin(before, SERVICES, executors, daemons=3)
    body = await world.submit(world.daemons[0], PATH, PHASES, STEPS_MS)
    await world.wait_running(JOB, 3)
    await world.submit(world.daemons[0], CANCELLED_PATH, PHASES, STEPS_MS)
    await world.wait_running(CANCELLED, 3)
    await asyncio.sleep(VISIBLE_S)
    world.configure(2, after if IS_TROUBLE else before, SERVICES)
    await asyncio.sleep(CONFIG_APPLY_S + 2)
    broken = []
    for daemon in world.daemons:
        answer = await world.call(daemon, "GET", PATH)
        if answer is not None and answer[0] == 410:
            broken.append(f"LOST: {daemon.name} answers 410 for the accepted job")
    # The client has lost the answer to its first submission and sends it again.
    await world.call(world.daemons[1], "POST", PATH, body)
    answer = await world.call(world.daemons[2], "DELETE", CANCELLED_PATH)
    await asyncio.sleep(CANCEL_S + KILL_GRACE_S + 1)
    left = len(world.running(CANCELLED))
    if answer is not None and answer[0] in (200, 410) and left:
        broken.append(f"UNASKED: {left} tasks run on after an answered cancel")
    runs = {}
    for executor, run in world.running(JOB):
        runs.setdefault(run.task, []).append(executor.name)
    for task, names in sorted(runs.items()):
        if len(names) > 1:
            broken.append(f"TWICE: {task} runs on {names} at the same time")
    return broken


if __name__ == "__main__":
    run_case(play, __file__)
