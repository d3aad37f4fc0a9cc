"""Cancels that were acknowledged, and an owner that is killed right afterwards.

What a caller was told must be in the store: the next owner knows nothing else.
"""

import asyncio

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import Accepted, Cancelled, job_topic, record_of
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

# Seconds for which a cancel of an unknown job is in force, and some more.
PAST_EARLY_CANCEL_S = 35.0


async def cancel(cell, name, job_id=JOB_ID):
    service = cell.daemons[name].job_service
    return (await service.cancel(FAST, job_id, cell.deadline())).kind


async def replace_owner(cell):
    """Kill the owner and wait for the next one."""
    await cell.kill(cell.owner())
    await cell.wait_for_owner()


def chain(count):
    """Return a job of short steps, so that its progress is stored all the time."""
    steps = [step(after=(i - 1,) if i else (), estimate=0.1) for i in range(count)]
    return job(*steps)


def store_late(cell):
    """Store the job as an append without an answer does that takes effect late."""
    now = asyncio.get_running_loop().time()
    record = record_of(Accepted(JOB_ID, FAST.name, POOL, now, job(step())))
    cell.logs.append(job_topic(POOL), [record], None, None)


def test_a_cancel_is_not_acknowledged_by_a_batch_that_was_made_before_it():
    # Guards against review/2: 25 starts of a job whose DELETE had a 200, as the batch
    # on its way to the store held the job as open.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 0.1
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        other = next(name for name in cell.daemons if name != owner)
        jobs = [f"{i:016x}" for i in range(20)]
        for each in jobs:
            assert (await cell.submit(other, each, chain(60))).kind is ReplyKind.OK
        cell.logs.faults.call_delay_s = 0.05
        await asyncio.sleep(1.0)
        acknowledged = {}

        async def cancel_one(each):
            if (
                await cancel(cell, other, each) is ReplyKind.OK
                and owner in cell.daemons
            ):
                acknowledged[each] = asyncio.get_running_loop().time()

        async def kill_after_first():
            while not acknowledged:
                await asyncio.sleep(0.001)
            await cell.kill(owner)

        killing = asyncio.create_task(kill_after_first())
        calls = []
        for each in jobs:
            calls.append(asyncio.create_task(cancel_one(each)))
            await asyncio.sleep(0.008)
        await asyncio.gather(killing, *calls)
        await asyncio.sleep(6.0)
        assert acknowledged
        for each, at in acknowledged.items():
            late = [
                start
                for start in cell.hosts.starts()
                if start.task.job == each and start.at > at + 3.0
            ]
            assert late == []
            assert await cell.state(other, each) == "cancelled"

    run_scenario(scenario)


def test_a_cancel_of_an_unknown_job_outlives_its_owner():
    # The submit had no answer; its append takes effect after the cancel had a 410.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        assert await cancel(cell, cell.owner()) is ReplyKind.NO_JOB
        await replace_owner(cell)
        store_late(cell)
        await asyncio.sleep(8.0)
        assert cell.hosts.starts() == []

    run_scenario(scenario)


def test_a_stored_cancel_that_the_claim_reads_before_its_job_holds():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        now = asyncio.get_running_loop().time()
        record = record_of(Cancelled(JOB_ID, now))
        cell.logs.append(job_topic(POOL), [record], None, None)
        await replace_owner(cell)
        store_late(cell)
        await asyncio.sleep(8.0)
        assert cell.hosts.starts() == []

    run_scenario(scenario)


def test_a_job_accepted_long_after_a_cancel_of_its_id_runs_on_under_the_next_owner():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 20.0
        await cell.start_daemons("a", "b", "c")
        assert await cancel(cell, cell.owner()) is ReplyKind.NO_JOB
        await asyncio.sleep(PAST_EARLY_CANCEL_S)
        owner = cell.owner()
        assert (await cell.submit(owner, JOB_ID, job(step()))).kind is ReplyKind.OK
        await cell.wait_for_starts(1)
        await replace_owner(cell)
        await cell.wait_for_state(JOB_ID, "complete", 40.0)

    run_scenario(scenario)
