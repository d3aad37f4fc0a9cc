"""Queues and pools that a version of the configuration removes with accepted jobs."""

import asyncio

import pytest

from siskinroad.work.job_service import ReplyKind
from tests.work.cell import FAST, MOVED, SLOW, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_moved_queues import kill_all, roll

TWO_STEPS = job(step(2), step(2, after=(0,)))


async def start_cell(cell, version, queue):
    """Accept a job of two steps; the first one runs for some time."""
    for i in range(2):
        cell.add_host(f"j-{i}", pool=MOVED.pool)
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 12.0
    cell.configure(version)
    await cell.start_daemons("a", "b", "c")
    reply = await cell.submit("a", JOB_ID, TWO_STEPS, queue)
    assert reply.kind is ReplyKind.OK
    await cell.wait_for_starts(2)


@pytest.mark.parametrize("restart", [roll, kill_all])
def test_a_job_of_a_removed_queue_goes_on_after_all_daemons_have_restarted(restart):
    # Guards against review/4: the second step never ran, as no daemon knew the settings
    # of the queue any more.
    async def scenario(cell):
        await start_cell(cell, 2, SLOW)
        cell.configure(3)
        await asyncio.sleep(1.0)
        await restart(cell)
        starts = await cell.wait_for_starts(4, seconds=40.0)
        assert [start.task.step for start in starts] == [0, 0, 1, 1]

    run_scenario(scenario)


@pytest.mark.parametrize("restart", [roll, kill_all])
def test_a_job_in_a_removed_pool_goes_on_after_all_daemons_have_restarted(restart):
    async def scenario(cell):
        await start_cell(cell, 5, MOVED)
        cell.configure(8)
        await asyncio.sleep(1.0)
        await restart(cell)
        assert await cell.state("a", JOB_ID, FAST) == "active"
        starts = await cell.wait_for_starts(4, seconds=40.0)
        assert {start.host for start in starts} <= {"j-0", "j-1"}
        reply = await cell.submit("b", JOB_ID, TWO_STEPS, FAST)
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(14.0)
        assert await cell.state("c", JOB_ID, FAST) == "complete"
        assert len(cell.hosts.starts()) == 4

    run_scenario(scenario)


def test_a_daemon_that_reads_the_queues_late_goes_on_with_their_jobs():
    async def scenario(cell):
        await start_cell(cell, 2, SLOW)
        cell.configure(3)
        for name in list(cell.daemons):
            await cell.kill(name)
        cell.start("a")
        registry = cell.daemons["a"].queue_registry
        keep, registry.apply_record = registry.apply_record, lambda *args: None
        await asyncio.sleep(3.0)
        assert SLOW.name not in cell.daemons["a"].owners["desk"].pool_state.queues
        registry.apply_record = keep
        follower = cell.daemons["a"].members_follower
        follower.next_offset = -1
        follower.restart_read()
        starts = await cell.wait_for_starts(4, seconds=40.0)
        assert [start.task.step for start in starts] == [0, 0, 1, 1]

    run_scenario(scenario)
