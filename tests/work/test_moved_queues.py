"""Queues that a version of the configuration sends to another pool.

The jobs that were accepted before stay in their pool. No caller may notice.
"""

import asyncio

import pytest

from siskinroad.work.job_service import ReplyKind
from tests.work.cell import FAST, MOVED, POOL, RENAMED, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

NAMES = ("a", "b", "c")
# Each version after the move, with the queue as it has it.
MOVES = [(5, MOVED), (6, RENAMED)]


async def start_cell(cell):
    """Start daemons, and two pools of hosts with long tasks; accept one job."""
    for i in range(2):
        cell.add_host(f"j-{i}", pool=MOVED.pool)
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 60.0
    cell.configure(2)
    await cell.start_daemons(*NAMES)
    reply = await cell.submit("a", JOB_ID, job(step(3)))
    assert reply.kind is ReplyKind.OK
    await cell.wait_for_starts(3)


async def move(cell, version):
    cell.configure(version)
    await asyncio.sleep(2.0)


async def roll(cell):
    """Restart the daemons one after the other, with time to read what is stored."""
    for name in list(cell.daemons):
        await cell.daemons[name].drain()
        await cell.kill(name)
        cell.start(name)
        await asyncio.sleep(3.0)


async def kill_all(cell):
    for name in list(cell.daemons):
        await cell.kill(name)
    for name in NAMES:
        cell.start(name)
    await asyncio.sleep(4.0)


async def keep(cell):
    await asyncio.sleep(1.0)


def running(cell):
    return sum(len(host.runs) for host in cell.hosts.hosts.values())


async def cancel(cell, name, queue, job_id=JOB_ID):
    service = cell.daemons[name].job_service
    return (await service.cancel(queue, job_id, cell.deadline())).kind


@pytest.mark.parametrize(("version", "queue"), MOVES)
@pytest.mark.parametrize("restart", [keep, roll, kill_all])
def test_an_accepted_job_of_a_moved_queue_is_still_one_job(restart, version, queue):
    # Guards against review/1: 410 for accepted jobs, two runs of each task at the same
    # time, and cancels without effect after a queue got another service.
    async def scenario(cell):
        await start_cell(cell)
        await move(cell, version)
        await restart(cell)
        for name in NAMES:
            assert await cell.state(name, JOB_ID, queue) == "active"
        reply = await cell.submit("b", JOB_ID, job(step(3)), queue)
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(3.0)
        assert len(cell.hosts.starts()) == 3
        assert await cancel(cell, "c", queue) is ReplyKind.OK
        await asyncio.sleep(3.0)
        assert running(cell) == 0
        assert await cell.state("a", JOB_ID, queue) == "cancelled"

    run_scenario(scenario)


def test_a_configuration_right_before_all_daemons_end_is_not_needed_to_find_a_job():
    # Nobody who has seen the former version is left.
    async def scenario(cell):
        await start_cell(cell)
        for name in list(cell.daemons):
            await cell.kill(name)
        cell.configure(5)
        for name in NAMES:
            cell.start(name)
        await asyncio.sleep(4.0)
        reply = await cell.submit("a", JOB_ID, job(step(3)), MOVED)
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(3.0)
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_new_jobs_of_a_moved_queue_run_in_its_new_pool():
    async def scenario(cell):
        await start_cell(cell)
        await move(cell, 5)
        other = "00000000000000bb"
        assert (await cell.submit("b", other, job(), MOVED)).kind is ReplyKind.OK
        starts = await cell.wait_for_starts(4)
        assert starts[-1].host.startswith("j-")
        assert await cell.state("c", other, MOVED) == "active"
        unknown = "00000000000000cc"
        assert await cell.state("c", unknown, MOVED) == "no_job"
        assert await cancel(cell, "c", MOVED, unknown) is ReplyKind.NO_JOB

    run_scenario(scenario)


def test_nothing_false_is_said_while_the_former_pool_has_no_owner():
    async def scenario(cell):
        await start_cell(cell)
        await move(cell, 5)
        owner = cell.owner(POOL)
        others = [name for name in NAMES if name != owner]
        await cell.kill(owner, loses_power=True)
        name = others[0]
        assert await cell.state(name, JOB_ID, MOVED) == "not_now"
        reply = await cell.submit(name, JOB_ID, job(step(3)), MOVED)
        assert reply.kind in (ReplyKind.UNKNOWN, ReplyKind.OK)
        await asyncio.sleep(5.0)
        assert await cell.state(name, JOB_ID, MOVED) == "active"
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_a_cancel_reaches_the_former_pool_while_that_has_no_owner():
    async def scenario(cell):
        await start_cell(cell)
        await move(cell, 5)
        owner = cell.owner(POOL)
        await cell.kill(owner, loses_power=True)
        name = next(iter(cell.daemons))
        assert await cancel(cell, name, MOVED) is ReplyKind.OK
        await asyncio.sleep(8.0)
        assert await cell.state(name, JOB_ID, MOVED) == "cancelled"
        assert running(cell) == 0

    run_scenario(scenario)


def test_a_queue_that_is_moved_back_finds_the_jobs_of_both_pools():
    async def scenario(cell):
        await start_cell(cell)
        await move(cell, 5)
        other = "00000000000000bb"
        assert (await cell.submit("b", other, job(), MOVED)).kind is ReplyKind.OK
        await move(cell, 7)
        for each in (JOB_ID, other):
            assert await cell.state("a", each, FAST) == "active"
            assert (await cell.submit("a", each, job(), FAST)).kind is ReplyKind.OK
        await asyncio.sleep(3.0)
        assert len(cell.hosts.starts()) == 4

    run_scenario(scenario)


def test_jobs_that_wait_in_both_pools_count_as_pending():
    async def scenario(cell):
        await start_cell(cell)
        # A whole host each, so that some of them wait in either pool.
        whole = job(step(cpu_milli=32000))
        for i in range(4):
            await cell.submit("a", f"{i:016x}", whole, FAST)
        await move(cell, 5)
        for i in range(4, 7):
            await cell.submit("a", f"{i:016x}", whole, MOVED)
        await asyncio.sleep(1.0)
        service = cell.daemons["b"].job_service
        pending = (await service.count_pending(MOVED, cell.deadline())).pending
        started = {start.task.job for start in cell.hosts.starts()} - {JOB_ID}
        assert pending == 7 - len(started)
        assert len([each for each in started if int(each, 16) < 4]) < 4

    run_scenario(scenario)
