"""Submits that arrive again: a refusal must not deny a job that was accepted.

A caller repeats a submit whose answer was lost, at any daemon. A refusal tells it that
the job has not run and never will.
"""

import asyncio

from siskinroad.resources import Resources
from siskinroad.work.job_service import ReplyKind
from tests.work.cell import CONFIGURATION, host_record, job, step
from tests.work.test_daemon import JOB_ID, run_scenario


def other_daemon(cell):
    """Return a daemon that owns nothing."""
    return next(name for name in cell.daemons if name != cell.owner())


def test_a_completed_job_is_confirmed_while_the_store_is_silent():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        for fault in ("is_silent", "is_unavailable"):
            setattr(cell.logs.faults, fault, True)
            for wait in (0.3, 3.0):
                await asyncio.sleep(wait)
                for name in (other_daemon(cell), cell.owner()):
                    reply = await cell.submit(name, JOB_ID, job())
                    assert reply.kind is not ReplyKind.NOT_NOW
                assert reply.kind is ReplyKind.OK
            setattr(cell.logs.faults, fault, False)
            await asyncio.sleep(2.0)
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_a_stored_job_is_confirmed_before_its_owner_has_read_it():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.no_read_replies.update(cell.daemons)
        await asyncio.sleep(0.1)
        assert (await cell.submit("a", JOB_ID, job())).kind is ReplyKind.OK
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(3.0)
        reply = await cell.submit(other_daemon(cell), JOB_ID, job())
        assert reply.kind is not ReplyKind.NOT_NOW
        cell.logs.faults.no_read_replies.clear()
        cell.logs.faults.is_unavailable = False
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_a_job_whose_append_got_no_answer_is_not_refused_as_not_run():
    # The append takes effect after its caller was told that the outcome is unknown.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.is_silent = True
        first = await cell.submit("a", JOB_ID, job())
        assert first.kind is ReplyKind.UNKNOWN
        for name in cell.daemons:
            again = await cell.submit(name, JOB_ID, job())
            assert again.kind is ReplyKind.UNKNOWN
            assert again.retry_after > 0
        fresh = await cell.submit("a", "00000000000000bb", job())
        assert fresh.kind is ReplyKind.NOT_NOW

    run_scenario(scenario)


def test_no_job_is_refused_as_not_run_while_nobody_knows():
    # All daemons were killed in the outage: the new ones know of no accepted job.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        cell.logs.faults.is_unavailable = True
        for name in list(cell.daemons):
            await cell.kill(name)
        cell.start("a")
        await asyncio.sleep(3.0)
        daemon = cell.daemons["a"]
        daemon.configuration_reader.configuration = CONFIGURATION
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind is ReplyKind.UNKNOWN
        assert reply.retry_after > 0

    run_scenario(scenario)


def test_an_accepted_job_is_confirmed_after_its_only_host_has_left():
    # No host can hold it any more, so that it would not be accepted now.
    async def scenario(cell):
        large = job(step(cpu_milli=30000))
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, large)
        await cell.wait_for_state(JOB_ID, "complete")
        for name in list(cell.hosts.hosts):
            cell.unlist(name)
        await asyncio.sleep(1.0)
        small = host_record("i-small", capacity=Resources(8000, 64000, 8, 0))
        cell.logs.append("keyed.list", [small], None, None)
        await asyncio.sleep(1.0)
        assert (await cell.submit("a", JOB_ID, large)).kind is ReplyKind.OK
        fresh = await cell.submit("a", "00000000000000bb", large)
        assert fresh.kind is ReplyKind.NEVER

    run_scenario(scenario)
