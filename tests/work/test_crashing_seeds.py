"""Seeded mixes of tasks that crash their hosts with other troubles of a pool."""

import asyncio
import os
import random

import pytest

from siskinroad.work.model import TaskId
from tests.work.cell import ADVISED, FAST, SLOW, job, step
from tests.work.test_crashing_tasks import MAX_STARTS, count_starts, set_deadly
from tests.work.test_daemon import run_scenario

# More seeds by hand: CRASH_SEEDS=300 CRASH_FIRST_SEED=1000 pytest ...
SEEDS = range(
    int(os.environ.get("CRASH_FIRST_SEED", "0")),
    int(os.environ.get("CRASH_FIRST_SEED", "0"))
    + int(os.environ.get("CRASH_SEEDS", "12")),
)
SHAPES = (
    {},
    {},
    {"copies": True},
    {"checkpoints": True},
    {"spread": 2},
    {"gang": True},
)
# Seconds for which jobs and troubles come, and after which all must have ended.
BUSY_S = 15.0
END_S = 60.0


def make_spec(rng):
    shape = rng.choice(SHAPES)
    steps = [step(rng.randint(1, 5), estimate=1.0, **shape)]
    if rng.random() < 0.4:
        steps.append(step(rng.randint(1, 4), estimate=1.0, after=(0,)))
    return job(*steps)


def list_crashing(spec, task):
    """Return the tasks that crash: of a gang all, as the end of one counts for all."""
    chosen = spec.steps[task.step]
    indices = range(chosen.count) if chosen.gang else [task.index]
    return [TaskId(task.job, 0, task.step, index) for index in indices]


async def submit_jobs(cell, rng, deadly, crashing):
    """Submit jobs, some with a deadly task; return all their names and queues."""
    loop = asyncio.get_running_loop()
    end = loop.time() + BUSY_S
    jobs = {}
    while loop.time() < end:
        name = f"{len(jobs) + 0xE0000:016x}"
        spec = make_spec(rng)
        if name in deadly:
            number = rng.randrange(len(spec.steps))
            index = rng.randrange(spec.steps[number].count)
            deadly[name] = TaskId(name, 0, number, index)
            crashing.update(list_crashing(spec, deadly[name]))
        queue = rng.choice((FAST, FAST, SLOW, ADVISED))
        daemon = rng.choice(sorted(cell.daemons))
        reply = await cell.submit(daemon, name, spec, queue)
        if reply.kind in ("ok", "unknown"):
            jobs[name] = queue
        await asyncio.sleep(rng.uniform(0.05, 0.5))
    return jobs


async def disturb(cell, rng, kills):
    """Crash, silence and slow hosts, and kill owners."""
    for kind in rng.sample(["crash", "silence", "kill"], k=2) + ["kill"] * kills:
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        hosts = list(cell.hosts.hosts.values())
        match kind:
            case "crash":
                rng.choice(hosts).crash()
            case "silence":
                host = rng.choice(hosts)
                host.is_silent = True
                await asyncio.sleep(rng.uniform(0.5, 6.0))
                host.is_silent = False
            case "kill" if kills and len(cell.daemons) > 1 and cell.owner():
                kills -= 1
                await cell.kill(cell.owner(), loses_power=rng.random() < 0.5)


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_that_crash_their_hosts_end_and_the_others_complete(seed):
    rng = random.Random(seed)
    kills = rng.randint(0, 1)

    async def scenario(cell):
        names = [f"n{i}" for i in range(3)]
        await cell.start_daemons(*names)
        count = rng.randint(1, 4)
        deadly = {f"{0xE0000 + n:016x}": None for n in rng.sample(range(20), k=count)}
        crashing = set_deadly(
            cell,
            returns=rng.choice(["restarted", "replaced"]),
            down_s=rng.uniform(0.5, 6.0),
        )
        troubles = asyncio.create_task(disturb(cell, rng, kills))
        jobs = await submit_jobs(cell, rng, deadly, crashing)
        await troubles
        for name, queue in jobs.items():
            task = deadly.get(name)
            expected = "failed" if task is not None else "complete"
            daemon = min(cell.daemons)
            waited_s = 0.0
            while (shown := await cell.state(daemon, name, queue)) != expected:
                await asyncio.sleep(0.25)
                waited_s += 0.25
                assert waited_s < END_S, f"seed {seed}: {name} is {shown}"
            if task is not None:
                assert count_starts(cell, task) <= MAX_STARTS, f"seed {seed}"

    run_scenario(scenario, hosts=rng.randint(6, 10), seed=seed)
