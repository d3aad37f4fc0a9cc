"""Cancels that reach the owner before it has read the job's own record.

A caller may cancel right after its submit was acknowledged. An owner that is late to
read the record must not answer that there is no such job, and start it afterwards.
"""

import asyncio

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import Cancelled, job_topic, record_of
from siskinroad.work.store import Record
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario


async def cancel(cell, name):
    service = cell.daemons[name].job_service
    return (await service.cancel(FAST, JOB_ID, cell.deadline())).kind


async def check_that_nothing_runs(cell, seconds=8.0):
    await asyncio.sleep(seconds)
    assert cell.hosts.starts() == []
    assert await cell.state(next(iter(cell.daemons)), JOB_ID) == "cancelled"


def test_a_job_whose_record_the_owner_has_not_read_is_cancelled():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        cell.logs.faults.no_read_replies.update(cell.daemons)
        await asyncio.sleep(0.1)
        assert (await cell.submit(owner, JOB_ID, job(step(24)))).kind is ReplyKind.OK
        assert await cancel(cell, owner) is ReplyKind.OK
        cell.logs.faults.no_read_replies.clear()
        await check_that_nothing_runs(cell)

    run_scenario(scenario)


def test_a_job_that_another_daemon_stored_is_cancelled_before_the_owner_reads_it():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        other = next(name for name in cell.daemons if name != owner)
        cell.logs.faults.call_delay_s = 0.4
        await asyncio.sleep(1.5)
        accepted = await cell.submit(other, JOB_ID, job(step(24)))
        assert accepted.kind is ReplyKind.OK
        assert await cancel(cell, other) is ReplyKind.OK
        cell.logs.faults.call_delay_s = 0.0
        await check_that_nothing_runs(cell)

    run_scenario(scenario)


def test_a_cancellation_that_is_read_before_its_job_holds():
    # An append without an answer may take effect after the cancellation is stored.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        record = record_of(Cancelled(JOB_ID, 0.0))
        cell.logs.append(job_topic(POOL), [record], None, None)
        await asyncio.sleep(0.5)
        assert (await cell.submit("a", JOB_ID, job(step(24)))).kind is ReplyKind.OK
        await check_that_nothing_runs(cell)

    run_scenario(scenario)


def test_a_cancel_of_no_job_is_answered_soon():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        began = asyncio.get_running_loop().time()
        for name in cell.daemons:
            assert await cancel(cell, name) is ReplyKind.NO_JOB
        assert asyncio.get_running_loop().time() - began < 0.5
        cell.logs.append("keyed.setup", [Record("config", b"1")], None, None)

    run_scenario(scenario)
