"""Tasks that crash the hosts which start them, and the tasks beside them."""

import asyncio
import itertools

import pytest

from siskinroad.work.model import TaskId
from tests.work.cell import ADVISED, entry, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

DEADLY_JOB = "00000000000000dd"
DEADLY = TaskId(DEADLY_JOB, 0, 0, 0)
# The platform allows two starts of a task after three hosts have crashed under it.
MAX_STARTS = 5


def count_starts(cell, task=DEADLY):
    """Return the number of the task's runs that were started."""
    return len({s.run for s in cell.hosts.starts() if s.task == task})


def count_crashes(cell):
    return sum(len(host.crash_times) for host in cell.hosts.hosts.values())


def set_deadly(cell, *tasks, returns="restarted", down_s=3.2):
    """Let tasks crash every host, which returns with its name or with a new one.

    Return the set of these tasks, to which more may be added.
    """
    crashing = set(tasks)
    names = (f"n-{i}" for i in itertools.count())
    addresses = {name: name for name in cell.hosts.hosts}

    def replace_host(host):
        name = host.entry.name
        loop = asyncio.get_running_loop()
        loop.call_later(1.5, cell.unlist, name)
        loop.call_later(host.down_s, bring_new_host, host)

    def bring_new_host(host):
        host.is_replaced = True
        cell.add_host(next(names), address=addresses[host.entry.name])
        new_host = list(cell.hosts.hosts.values())[-1]
        addresses[new_host.entry.name] = addresses[host.entry.name]
        prepare(new_host)

    def prepare(host):
        host.crashing_tasks = crashing
        host.down_s = down_s
        if returns == "replaced":
            host.on_crash = replace_host

    for host in list(cell.hosts.hosts.values()):
        prepare(host)
    return crashing


def keep_busy(cell, seconds, pause=0.15):
    """Submit small jobs for some seconds; return their names."""
    names = [f"{0xB0000 + i:016x}" for i in range(int(seconds / pause))]

    async def submit():
        for name in names:
            await cell.submit(next(iter(cell.daemons)), name, job(step(3)))
            await asyncio.sleep(pause)

    return names, asyncio.create_task(submit())


@pytest.mark.parametrize("down_s", [1.0, 3.2, 6.0])
@pytest.mark.parametrize("returns", ["restarted", "replaced"])
def test_task_crashes_host_after_host(returns, down_s):
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, DEADLY, returns=returns, down_s=down_s)
        await cell.submit("a", DEADLY_JOB, job(step(4)))
        await cell.wait_for_state(DEADLY_JOB, "failed", 40.0)
        await asyncio.sleep(10.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=8)


def test_crashing_task_of_a_busy_pool_takes_its_neighbours_with_it():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, DEADLY)
        names, submitting = keep_busy(cell, 12.0)
        await asyncio.sleep(1.0)
        await cell.submit("a", DEADLY_JOB, job(step(6)))
        await cell.wait_for_state(DEADLY_JOB, "failed", 30.0)
        assert count_starts(cell) <= MAX_STARTS
        assert count_crashes(cell) <= 3
        await submitting
        for name in names:
            await cell.wait_for_state(name, "complete")

    run_scenario(scenario, hosts=8)


def test_tasks_beside_many_crashing_ones_are_given_up():
    # Ten deadly tasks in a busy pool: the others lose runs more than once.
    deadly_jobs = [f"{0xD0000 + i:016x}" for i in range(10)]

    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, *(TaskId(name, 0, 0, 0) for name in deadly_jobs))
        names, submitting = keep_busy(cell, 12.0)
        for name in deadly_jobs:
            await cell.submit("a", name, job(step(4)))
            await asyncio.sleep(1.0)
        for name in deadly_jobs:
            await cell.wait_for_state(name, "failed", 40.0)
            assert count_starts(cell, TaskId(name, 0, 0, 0)) <= MAX_STARTS
        await submitting
        for name in names:
            await cell.wait_for_state(name, "complete", 30.0)

    run_scenario(scenario, hosts=10)


@pytest.mark.parametrize("kills", [1, 2])
@pytest.mark.parametrize("after_s", [0.05, 1.0, 3.3])
def test_crashes_are_forgotten_when_the_owner_dies(kills, after_s):
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c", "d")
        set_deadly(cell, DEADLY)
        await cell.submit("a", DEADLY_JOB, job(step(3)))
        for _ in range(kills):
            crashes = count_crashes(cell)
            while count_crashes(cell) == crashes:
                await asyncio.sleep(0.01)
            await asyncio.sleep(after_s)
            if cell.owner() is not None:
                await cell.kill(cell.owner(), loses_power=True)
        await cell.wait_for_state(DEADLY_JOB, "failed", 60.0)
        await asyncio.sleep(10.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=8)


@pytest.mark.parametrize(
    "fields",
    [
        {"gang": True},
        {"copies": True},
        {"long_running": True},
        {"checkpoints": True},
        {"spread": 1},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_task_of_any_kind_crashes_host_after_host(fields):
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, DEADLY)
        await cell.submit("a", DEADLY_JOB, job(step(3, **fields)))
        await cell.wait_for_state(DEADLY_JOB, "failed", 40.0)
        await asyncio.sleep(10.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=8)


def test_task_with_an_advisor_crashes_host_after_host():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, DEADLY)
        await cell.submit("a", DEADLY_JOB, job(step(3)), ADVISED)
        await cell.wait_for_state(DEADLY_JOB, "failed", 40.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=8)


def test_task_that_crashes_its_host_late_crashes_host_after_host():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        set_deadly(cell, DEADLY)
        for host in cell.hosts.hosts.values():
            host.crash_delay_s = 2.0
            host.task_duration_s = 4.0
        await cell.submit("a", DEADLY_JOB, job(step(3, estimate=4.0)))
        await cell.wait_for_state(DEADLY_JOB, "failed", 90.0)
        await asyncio.sleep(10.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=8)


def test_task_that_only_one_host_may_run_crashes_it_again_and_again():
    async def scenario(cell):
        await cell.start_daemons("a")
        set_deadly(cell, DEADLY)
        await cell.submit("a", DEADLY_JOB, job(step(2)))
        await cell.wait_for_state(DEADLY_JOB, "failed", 60.0)
        await asyncio.sleep(10.0)
        assert count_starts(cell) <= MAX_STARTS

    run_scenario(scenario, hosts=1)


def test_each_occurrence_of_a_task_crashes_hosts():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        now = asyncio.get_running_loop().time()
        tasks = [TaskId(DEADLY_JOB, k, 0, 0) for k in range(3)]
        set_deadly(cell, *tasks)
        spec = job(step(2), occurrences=3, first=now + 0.5, interval=0.5)
        await cell.submit("a", DEADLY_JOB, spec)
        await cell.wait_for_state(DEADLY_JOB, "failed", 40.0)
        await asyncio.sleep(10.0)
        assert all(count_starts(cell, task) <= MAX_STARTS for task in tasks)

    run_scenario(scenario, hosts=8)


def test_tasks_of_hosts_that_crash_by_themselves_are_given_up():
    # Three waves of crashes, and none of them is a task's fault.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 4.0
        names = [f"{0xC0000 + i:016x}" for i in range(8)]
        for name in names:
            await cell.submit("a", name, job(step(4, estimate=4.0)))
        for wave in range(3):
            await asyncio.sleep(0.3)
            for host in list(cell.hosts.hosts.values())[wave::3]:
                host.crash()
            await asyncio.sleep(3.5)
        for name in names:
            await cell.wait_for_state(name, "complete", 60.0)

    run_scenario(scenario, hosts=9)


def test_tasks_of_hosts_that_are_only_silent_are_given_up():
    # Their leases expire, and they answer again as the same incarnation.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 3.0
        await cell.submit("a", JOB_ID, job(step(6, estimate=3.0)))
        await asyncio.sleep(0.2)
        for _ in range(4):
            silent = [h for h in cell.hosts.hosts.values() if h.runs]
            for host in silent:
                host.is_silent = True
            await asyncio.sleep(6.0)
            for host in silent:
                host.is_silent = False
            await asyncio.sleep(0.5)
        await cell.wait_for_state(JOB_ID, "complete", 60.0)

    run_scenario(scenario, hosts=9)


def test_start_on_a_host_whose_capacity_has_shrunk():
    async def scenario(cell):
        await cell.start_daemons("a")
        host = cell.hosts.hosts["i-0"]
        host.task_duration_s = 3.0
        await cell.submit("a", JOB_ID, job(step(4, estimate=3.0)))
        await cell.wait_for_starts(4)
        shrunk = entry("i-0").capacity
        shrunk = type(shrunk)(8000, shrunk.memory_mib, 8, 0)
        cell.relist("i-0", capacity=shrunk)
        await asyncio.sleep(1.0)
        other = "00000000000000ab"
        await cell.submit("a", other, job(step(8, estimate=3.0)))
        await asyncio.sleep(1.5)
        assert len(cell.hosts.starts()) == 4
        await asyncio.sleep(2.0)
        assert len(host.runs) == 2
        cell.relist("i-0")
        await asyncio.sleep(1.0)
        assert len(host.runs) == 8
        await cell.wait_for_state(other, "complete")

    run_scenario(scenario, hosts=1)


def test_job_that_fits_only_the_former_capacity_of_a_host_is_refused_for_good():
    async def scenario(cell):
        await cell.start_daemons("a")
        full = entry("i-0").capacity
        cell.relist("i-0", capacity=type(full)(8000, full.memory_mib, 8, 0))
        await asyncio.sleep(1.0)
        reply = await cell.submit("a", JOB_ID, job(step(1, cpu_milli=16000)))
        assert reply.kind == "ok"
        await asyncio.sleep(2.0)
        assert not cell.hosts.starts()
        cell.relist("i-0")
        await cell.wait_for_state(JOB_ID, "complete")
        reply = await cell.submit("a", JOB_ID[:-1] + "b", job(step(1, cpu_milli=64000)))
        assert reply.kind == "never"

    run_scenario(scenario, hosts=1)
