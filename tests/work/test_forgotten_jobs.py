"""Jobs that ended long ago: they leave the owner's memory and the store."""

import asyncio

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import (
    Accepted,
    Cancelled,
    Progress,
    cancel_key,
    job_topic,
    progress_topic,
    record_of,
)
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_daemon import run_scenario

# Seconds for which callers may ask for the state of a job that has ended.
RETENTION_S = 120.0
# Seconds after which such a job is gone.
GONE_AFTER_S = 150.0
JOBS = [f"{i:016x}" for i in range(12)]


def stored_keys(cell):
    """Return the keys of jobs that the store has, in both topics of the pool."""
    topics = [cell.logs.topic(name(POOL)) for name in (job_topic, progress_topic)]
    return {key for topic in topics for key in topic.newest if not key.startswith("@")}


def pool_state(cell):
    return cell.daemons[cell.owner()].owners[POOL].pool_state


async def run_jobs(cell):
    """Run jobs to their end; cancel one."""
    await cell.start_daemons("a", "b", "c")
    for each in JOBS:
        spec = job(step(2), step(after=(0,)))
        assert (await cell.submit("a", each, spec)).kind is ReplyKind.OK
    service = cell.daemons["b"].job_service
    assert (await service.cancel(FAST, JOBS[0], cell.deadline())).kind is ReplyKind.OK
    for each in JOBS[1:]:
        await cell.wait_for_state(each, "complete")
    return len(cell.hosts.starts())


def test_a_job_that_ended_is_shown_as_promised_and_then_forgotten():
    # Guards against review/3: owners outgrew their memory after 90 minutes of traffic.
    async def scenario(cell):
        starts = await run_jobs(cell)
        await asyncio.sleep(RETENTION_S - 10.0)
        assert await cell.state("c", JOBS[1]) == "complete"
        assert await cell.state("c", JOBS[0]) == "cancelled"
        await asyncio.sleep(GONE_AFTER_S - RETENTION_S)
        assert stored_keys(cell) == set()
        assert pool_state(cell).jobs == {}
        assert await cell.state("c", JOBS[1]) == "no_job"
        await cell.kill(cell.owner())
        await cell.wait_for_owner()
        await asyncio.sleep(5.0)
        assert len(cell.hosts.starts()) == starts

    run_scenario(scenario)


def test_a_job_is_shown_as_long_as_promised_whatever_the_calendar_clock_shows():
    async def scenario(cell):
        await run_jobs(cell)
        owner = cell.daemons[cell.owner()].owners[POOL]
        loop = asyncio.get_running_loop()
        object.__setattr__(owner.dependencies, "wall", lambda: loop.time() + 86_400.0)
        await asyncio.sleep(RETENTION_S - 10.0)
        assert await cell.state("c", JOBS[1]) == "complete"

    run_scenario(scenario)


def test_a_takeover_does_not_shorten_the_time_for_which_a_job_is_shown():
    async def scenario(cell):
        await run_jobs(cell)
        await asyncio.sleep(RETENTION_S / 2)
        await cell.kill(cell.owner())
        await cell.wait_for_owner()
        await asyncio.sleep(RETENTION_S / 2)
        name = next(iter(cell.daemons))
        assert await cell.state(name, JOBS[1]) == "complete"
        await asyncio.sleep(GONE_AFTER_S - RETENTION_S / 2)
        assert stored_keys(cell) == set()

    run_scenario(scenario)


def test_open_jobs_are_not_forgotten():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 500.0
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOBS[0], job(step(estimate=500.0)))
        await asyncio.sleep(GONE_AFTER_S)
        await cell.kill(cell.owner())
        await cell.wait_for_owner()
        assert await cell.state(next(iter(cell.daemons)), JOBS[0]) == "active"
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_an_owner_that_ends_while_it_forgets_a_job_leaves_nothing_that_runs_again():
    # The acceptance is deleted first; what is left of the progress goes with the next
    # owner.
    async def scenario(cell):
        starts = await run_jobs(cell)
        topic = cell.logs.topic(progress_topic(POOL))
        kept = dict(topic.newest)
        await asyncio.sleep(GONE_AFTER_S)
        topic.newest.update({key: kept[key] for key in JOBS})
        await cell.kill(cell.owner())
        await cell.wait_for_owner()
        await asyncio.sleep(10.0)
        assert stored_keys(cell) == set()
        assert len(cell.hosts.starts()) == starts

    run_scenario(scenario)


def test_a_store_that_is_down_delays_the_deletion_only():
    async def scenario(cell):
        await run_jobs(cell)
        await asyncio.sleep(GONE_AFTER_S - 40.0)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(60.0)
        cell.logs.faults.is_silent = False
        await asyncio.sleep(30.0)
        assert stored_keys(cell) == set()

    run_scenario(scenario)


def test_a_cancel_of_an_unknown_job_is_forgotten():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        service = cell.daemons["a"].job_service
        reply = await service.cancel(FAST, JOBS[0], cell.deadline())
        assert reply.kind is ReplyKind.NO_JOB
        assert stored_keys(cell) == {cancel_key(JOBS[0])}
        await asyncio.sleep(60.0)
        assert stored_keys(cell) == set()
        old = record_of(Cancelled(JOBS[1], asyncio.get_running_loop().time() - 60.0))
        cell.logs.append(job_topic(POOL), [old], None, None)
        await cell.kill(cell.owner())
        await cell.wait_for_owner()
        await asyncio.sleep(60.0)
        assert stored_keys(cell) == set()

    run_scenario(scenario)


def test_a_claim_keeps_no_steps_of_the_jobs_that_have_ended():
    async def scenario(cell):
        now = asyncio.get_running_loop().time()
        spec = job(step(6), step(3, after=(0,)))
        jobs = [f"{i:016x}" for i in range(2_000)]
        accepted = [Accepted(each, FAST.name, POOL, now, spec) for each in jobs]
        progress = [Progress(each, "complete", now, ()) for each in jobs]
        cell.logs.append(job_topic(POOL), list(map(record_of, accepted)), None, None)
        records = list(map(record_of, progress))
        cell.logs.append(progress_topic(POOL), records, None, None)
        await cell.start_daemons("a")
        held = pool_state(cell).jobs
        assert len(held) == len(jobs)
        assert not any(each.steps or each.spec.steps for each in held.values())
        assert await cell.state("a", jobs[7]) == "complete"
        reply = await cell.submit("a", jobs[7], spec)
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(2.0)
        assert cell.hosts.starts() == []

    run_scenario(scenario)
