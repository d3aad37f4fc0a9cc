"""Assignments of queues to pools that change in quick succession."""

import asyncio

import pytest

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.model import Queue
from tests.work.cell import FAST, MOVED, job, step
from tests.work.test_daemon import run_scenario

NAMES = ("a", "b", "c")
# Seconds from a version to the next one in a storm of versions.
STORM_GAP_S = 0.33


def find_queue(cell, name):
    """Return the queue at the address of ``FAST``, as a daemon has it in force."""
    found = cell.daemons[name].job_service.find_queue("h", "/fast/", lambda _: True)
    assert isinstance(found, Queue)
    return found


async def start_cell(cell, host_seconds=1.0):
    """Start daemons in a cell whose second pool has hosts, but no queue yet."""
    for i in range(2):
        cell.add_host(f"j-{i}", pool=MOVED.pool)
    for host in cell.hosts.hosts.values():
        host.task_duration_s = host_seconds
    await cell.start_daemons(*NAMES)


async def submit_some(cell, count, seconds):
    """Submit jobs in turn to all daemons; return the ids of the accepted ones."""
    accepted = []
    for i in range(count):
        name = NAMES[i % len(NAMES)]
        if name not in cell.daemons:
            continue
        job_id = f"{0xA000 + i:016x}"
        reply = await cell.submit(name, job_id, job(), find_queue(cell, name))
        if reply.kind is ReplyKind.OK:
            accepted.append(job_id)
        await asyncio.sleep(seconds / count)
    return accepted


def list_started(cell):
    return sorted(start.task.job for start in cell.hosts.starts())


@pytest.mark.parametrize("gap_s", [0.1, STORM_GAP_S, 0.6])
@pytest.mark.parametrize("last", [7, 8])
def test_jobs_accepted_between_a_move_and_the_move_back_run(gap_s, last):
    # Guards against review/6: the jobs got 410 and never ran, as no daemon knew that
    # the queue had been sent to a pool which had no owner yet.
    async def scenario(cell):
        await start_cell(cell)
        cell.configure(5)
        await asyncio.sleep(0.02)
        accepted = await submit_some(cell, 6, gap_s)
        cell.configure(last)
        assert accepted
        await asyncio.sleep(6.0)
        for job_id in accepted:
            for name in NAMES:
                assert await cell.state(name, job_id, FAST) == "complete"
        assert list_started(cell) == sorted(accepted)

    run_scenario(scenario)


def test_jobs_accepted_in_a_short_version_survive_the_loss_of_all_daemons():
    async def scenario(cell):
        await start_cell(cell)
        cell.configure(5)
        await asyncio.sleep(0.02)
        accepted = await submit_some(cell, 3, 0.1)
        cell.configure(8)
        for name in NAMES:
            await cell.kill(name)
        for name in NAMES:
            cell.start(name)
        await asyncio.sleep(6.0)
        assert accepted
        for job_id in accepted:
            assert await cell.state("a", job_id, FAST) == "complete"

    run_scenario(scenario)


def test_nothing_is_accepted_in_a_new_pool_whose_assignment_is_not_stored():
    async def scenario(cell):
        await start_cell(cell)
        cell.configure(5)
        await asyncio.sleep(0.02)
        cell.logs.faults.is_unavailable = True
        reply = await cell.submit("a", "00000000000000aa", job(step()), MOVED)
        assert reply.kind is not ReplyKind.OK
        cell.logs.faults.is_unavailable = False
        await asyncio.sleep(3.0)
        assert list_started(cell) == []

    run_scenario(scenario)


def test_a_daemon_of_a_former_version_accepts_nothing_once_it_reads_of_a_newer_one():
    async def scenario(cell):
        await start_cell(cell)
        late = cell.daemons["c"]
        late.configuration_reader.apply_record = lambda record: None
        cell.configure(5)
        await asyncio.sleep(0.02)
        assert await submit_some(cell, 1, 0.1)
        reply = await cell.submit("c", "00000000000000aa", job(step()), FAST)
        assert reply.kind is ReplyKind.UNKNOWN
        await asyncio.sleep(3.0)
        assert len(list_started(cell)) == 1

    run_scenario(scenario)


def test_a_queue_that_is_never_moved_writes_nothing_for_a_submit():
    async def scenario(cell):
        await start_cell(cell)
        end = cell.logs.topic("members").end
        assert len(await submit_some(cell, 6, 1.0)) == 6
        assert cell.logs.topic("members").end == end

    run_scenario(scenario)
