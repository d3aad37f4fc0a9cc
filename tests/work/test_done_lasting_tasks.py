"""Tasks that last, and whose hosts list the end of a run as done."""

import asyncio

import pytest

from siskinroad.work.job_service import ReplyKind
from tests.work.cell import FAST, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

RUN_S = 3.0
GANG = step(2, long_running=True, gang=True)
TASKS = step(2, long_running=True)


async def start_cell(cell, spec):
    for host in cell.hosts.hosts.values():
        host.task_duration_s = RUN_S
    await cell.start_daemons("a", "b")
    reply = await cell.submit("a", JOB_ID, job(spec))
    assert reply.kind is ReplyKind.OK
    await cell.wait_for_starts(2)


def count_running(cell):
    return sum(len(host.runs) for host in cell.hosts.hosts.values())


@pytest.mark.parametrize("spec", [TASKS, GANG], ids=["tasks", "gang"])
def test_a_lasting_task_that_ends_as_done_is_started_again(spec):
    # Guards against review/9: the tasks were not restarted, and the job was shown as
    # complete, though nobody had cancelled it.
    async def scenario(cell):
        await start_cell(cell, spec)
        await cell.wait_for_starts(6)
        assert count_running(cell) <= 2
        assert await cell.state("a", JOB_ID) == "active"
        await cell.kill(cell.owner(), loses_power=True)
        name = next(iter(cell.daemons))
        await asyncio.sleep(RUN_S + 6.0)
        before = len(cell.hosts.starts())
        await asyncio.sleep(2 * RUN_S)
        assert len(cell.hosts.starts()) >= before + 2
        assert await cell.state(name, JOB_ID) == "active"

    run_scenario(scenario)


def test_a_cancelled_lasting_task_that_ends_as_done_stays_ended():
    async def scenario(cell):
        await start_cell(cell, TASKS)
        service = cell.daemons["a"].job_service
        reply = await service.cancel(FAST, JOB_ID, cell.deadline())
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        starts = len(cell.hosts.starts())
        await asyncio.sleep(3 * RUN_S)
        assert len(cell.hosts.starts()) == starts
        assert await cell.state("b", JOB_ID) == "cancelled"

    run_scenario(scenario)
