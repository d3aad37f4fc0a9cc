"""Daemons that go on by a former version of the configuration, as after a freeze."""

import asyncio

from siskinroad.work.job_service import ReplyKind
from tests.work.cell import FAST, MOVED, job
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_late_jobs import (
    OTHER_ID,
    TASK_S,
    LaggingStore,
    hold_configuration,
    store_of,
    submit_until_accepted,
)
from tests.work.test_queue_assigner import NAMES, list_started, start_cell

# Seconds within which all tasks have to run again, as the users ask.
TAKEOVER_S = 7.0


def test_a_daemon_of_a_former_version_starts_no_second_run():
    # Guards against review/7: a frozen daemon stored a job by the former version after
    # the caller's second try had been accepted in the new pool.
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        late = next(name for name in NAMES if name != cell.owner())
        release = hold_configuration(cell, late)
        cell.configure(5)
        await asyncio.sleep(0.2)
        others = [name for name in NAMES if name != late]
        await submit_until_accepted(cell, others, JOB_ID, job())
        await cell.submit(late, JOB_ID, job(), FAST)
        await asyncio.sleep(3.0)
        assert list_started(cell) == [JOB_ID]
        release()
        await asyncio.sleep(1.0)
        await submit_until_accepted(cell, [late], JOB_ID, job())
        await asyncio.sleep(3.0)
        assert list_started(cell) == [JOB_ID]

    run_scenario(scenario)


def test_a_job_whose_daemon_has_not_read_of_the_move_is_accepted_once_or_not_at_all():
    # The daemon of the former version neither knows the new assignment nor that another
    # has become the owner, and appends to the former pool's topic itself.
    async def scenario(cell):
        cell.open_store = LaggingStore
        await start_cell(cell, TASK_S)
        owner = cell.owner()
        late = next(name for name in NAMES if name != owner)
        others = [name for name in NAMES if name != late]
        release = hold_configuration(cell, late)
        store_of(cell, late).reads_held.add("members")
        cell.configure(5)
        await asyncio.sleep(0.2)
        # It moves the queue, which closes the former pool.
        await submit_until_accepted(cell, others, OTHER_ID, job())
        store_of(cell, late).append_delay_s = 0.3
        cell.daemons[late].job_writer._find_job_writer = lambda pool: late
        reply = await cell.submit(late, JOB_ID, job(), FAST)
        assert reply.kind is not ReplyKind.OK
        release()
        await asyncio.sleep(6.0)
        assert list_started(cell) == [OTHER_ID]

    run_scenario(scenario)


def test_a_submit_by_a_former_version_is_served_by_the_newer_one():
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        late = next(name for name in NAMES if name != cell.owner())
        release = hold_configuration(cell, late)
        cell.configure(5)
        await asyncio.sleep(0.2)
        others = [name for name in NAMES if name != late]
        await submit_until_accepted(cell, others, OTHER_ID, job())
        asyncio.get_running_loop().call_later(0.2, release)
        reply = await cell.submit(late, JOB_ID, job(), FAST)
        assert reply.kind is ReplyKind.OK
        await asyncio.sleep(3.0)
        hosts = {start.task.job: start.host[0] for start in cell.hosts.starts()}
        assert hosts == {OTHER_ID: "j", JOB_ID: "j"}

    run_scenario(scenario)


def test_a_submit_by_a_former_version_is_answered_soon_if_no_newer_one_comes():
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        late = next(name for name in NAMES if name != cell.owner())
        hold_configuration(cell, late)
        cell.configure(5)
        await asyncio.sleep(0.2)
        others = [name for name in NAMES if name != late]
        await submit_until_accepted(cell, others, OTHER_ID, job())
        began = asyncio.get_running_loop().time()
        reply = await cell.submit(late, JOB_ID, job(), FAST)
        assert reply.kind is ReplyKind.UNKNOWN
        assert asyncio.get_running_loop().time() - began < 1.0

    run_scenario(scenario)


def test_a_submit_of_a_queue_that_is_removed_meanwhile_is_not_said_to_have_not_run():
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        service = cell.daemons["a"].job_service
        cell.configure(9)
        await asyncio.sleep(0.5)
        found = service.find_queue("h", FAST.prefix, lambda _: True)
        assert found.kind is ReplyKind.NO_QUEUE
        # Its queue was found by the version before.
        reply = await cell.submit("a", JOB_ID, job(), FAST)
        assert reply.kind is ReplyKind.UNKNOWN
        await asyncio.sleep(2.0)
        assert list_started(cell) == []

    run_scenario(scenario)


def test_a_daemon_that_has_not_read_the_queues_does_not_say_that_a_job_has_not_run():
    # The job runs in a former pool, of which the daemon does not know yet.
    async def scenario(cell):
        cell.open_store = LaggingStore
        await start_cell(cell, TASK_S)
        assert (await cell.submit("a", JOB_ID, job(), FAST)).kind is ReplyKind.OK
        cell.configure(5)
        await asyncio.sleep(0.5)
        # Nobody remembers having stored the job.
        for name in NAMES:
            await cell.kill(name)
        for name in NAMES:
            cell.start(name)
        late = NAMES[-1]
        store_of(cell, late).reads_held.add("members")
        await asyncio.sleep(4.0)
        assert not cell.daemons[late].queue_registry.is_read
        reply = await cell.submit(late, JOB_ID, job(), MOVED)
        assert reply.kind is ReplyKind.UNKNOWN
        store_of(cell, late).reads_held.clear()
        await asyncio.sleep(1.0)
        reply = await cell.submit(late, JOB_ID, job(), MOVED)
        assert reply.reason == "accepted_in_former_pool"
        assert list_started(cell) == [JOB_ID]

    run_scenario(scenario)


def test_a_pool_of_a_new_version_gets_an_owner_though_one_daemon_lacks_the_version():
    # The others wait for the daemon, as it would be the best claimant.
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        hold_configuration(cell, "a")
        cell.configure(5)
        await submit_until_accepted(cell, ["b", "c"], JOB_ID, job())
        await asyncio.sleep(TAKEOVER_S)
        assert cell.owner(MOVED.pool) is not None

    run_scenario(scenario)
