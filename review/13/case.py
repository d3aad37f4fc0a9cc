"""A task that is larger than the rest of a lowered limit waits for good."""

import asyncio
import sys
from pathlib import Path

from world import CannotRunError, World, run_case

SERVICES = ("declaraciones", "lectura-docs")
ROUTES = [
    {
        "name": f"r-{i}",
        "host": "aduanas.example",
        "path_prefix": f"/q{i}/",
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 3000,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        "slack_factor": 4.0,
        "public": False,
    }
    for i, service in enumerate(SERVICES)
]
KEY = "9m68k7b2ex5wa5xwyhks"
WATCHES = ["00000000000000a0"]
JOBS = ["00000000000000b0"]
EXECUTORS = 4
EXECUTOR_CPU = 16000
# Limits of the tenant before and after it is lowered, and needs of its tasks.
LIMIT_CPU = 20000
LOWERED_CPU = 4000
WATCH_CPU = 400
TASK_CPU = 3800
WORK_S = 1.0
# The site's bounds, from the sheet of aup-despacho-grown.
MORE_BOUNDS = "strict_revoke = true\nrevoke_ms = 5000\nquota_overrun = 0.1\n"
APPLY_S = 4.0
FINISH_S = 14.0
STUCK_S = 3.0


def behave(task: str, spec: str) -> tuple[float, str, bool]:
    """Return how a run goes: watches last, the other tasks end as done."""
    lasts = any(task.startswith(job) for job in WATCHES)
    return (1e6, "done", True) if lasts else (WORK_S, "done", False)


def tenants(cpu: int) -> list[dict]:
    """Return the tenants of a version."""
    limit = {"cpu": cpu, "mem_mb": 0, "gpu": 0}
    return [{"name": "hule930", "api_keys": [KEY], "weight": 1, "max_count": limit}]


def count_cpu(world: World, service: str = "") -> int:
    """Return what the tenant has running, in one service or in all."""
    return sum(
        WATCH_CPU if run.lasts else TASK_CPU
        for executor in world.executors.values()
        if service in ("", executor.service)
        for run in executor.runs.values()
    )


def find_stuck(world: World) -> list[str]:
    """Return the jobs that the rule says should run now: one task has its turn."""
    stuck = []
    for job, service in zip(JOBS, SERVICES, strict=False):
        done = {e["task"] for e in world.ends if e["how"] == "done"}
        left = [n for n in range(1) if f"{job}.0.0.{n}" not in done]
        runs = any(
            task.startswith(job) for e in world.executors.values() for task in e.runs
        )
        is_free = count_cpu(world, service) < EXECUTORS * EXECUTOR_CPU / 2
        if left and not runs and is_free and count_cpu(world) < LOWERED_CPU / 2:
            stuck.append(job)
    return stuck


async def submit(world: World, number: int, job: str, phase: dict) -> None:
    """Send a job with the tenant's key until it is accepted."""
    body = {"spec": "x", "phases": [phase]}
    route = ROUTES[number]
    for _ in range(5):
        reply = await world.send(
            world.daemons[0], "POST", route, job, body, Authorization=f"Token {KEY}"
        )
        if reply is not None and reply[0] == 200:
            return
        await asyncio.sleep(0.5)
    raise CannotRunError(f"job {job} was not accepted: {reply}")


async def play(world: World, has_trouble: bool) -> str:
    """Lower a tenant's limit, and submit a job whose task is nearly as large."""
    await world.open(ROUTES, list(SERVICES), tenants=tenants(LIMIT_CPU))
    for i, service in enumerate(SERVICES):
        for k in range(EXECUTORS):
            await world.add_executor(
                f"i-{i}{k}",
                20 + EXECUTORS * i + k,
                service,
                behave=behave,
                labels=["a", f"r{i}-{k // 2}"],
                capacity={"cpu": EXECUTOR_CPU, "mem_mb": 65536, "gpu": 0},
            )
    for i in (1, 2, 3):
        await world.add_daemon(i, bounds=MORE_BOUNDS)
    await world.await_ready()
    await asyncio.sleep(3.0)
    lasting = {"count": 1, "cpu": WATCH_CPU, "mem_mb": 64, "long_running": True}
    for i, job in enumerate(WATCHES):
        await submit(world, i, job, lasting)
    await asyncio.sleep(3.0)
    if count_cpu(world) != WATCH_CPU:
        raise CannotRunError("the task that lasts was not started")
    if has_trouble:
        world.put_config(world.config | {"version": 9, "tenants": tenants(LOWERED_CPU)})
    await asyncio.sleep(APPLY_S + 1.0)
    tasks = {"count": 1, "cpu": TASK_CPU, "mem_mb": 64, "estimated_ms": 1000}
    for i, job in enumerate(JOBS):
        await submit(world, i, job, tasks)
    await asyncio.sleep(FINISH_S)
    stuck = set(find_stuck(world))
    for _ in range(int(STUCK_S / 0.05)):
        await asyncio.sleep(0.05)
        stuck &= set(find_stuck(world))
    for i, job in enumerate(JOBS):
        await world.send(
            world.daemons[1], "GET", ROUTES[i], job, Authorization=f"Token {KEY}"
        )
    world.note("use", cpu=count_cpu(world), limit=LOWERED_CPU)
    if not stuck:
        return ""
    used = count_cpu(world)
    return f"nothing runs of {sorted(stuck)}; the tenant uses {used} of {LOWERED_CPU}"


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
