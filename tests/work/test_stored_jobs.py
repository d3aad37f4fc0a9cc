"""Jobs that their owner has stored itself, and starts before it has read them.

A read of the topic may take a second and more while the store is slow, drops its
history or answers no reads. The owner knows what it has appended from the answer.
"""

import asyncio

from siskinroad.work.follower import Follower
from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import OWNER_KEY
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

# Seconds from the answer to a submit to the first start, in a calm pool.
START_LIMIT_S = 0.1


def test_a_job_starts_while_reads_get_no_reply():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.no_read_replies.update(cell.daemons)
        await asyncio.sleep(0.1)
        for name in cell.daemons:
            job_id = JOB_ID[:-1] + name
            reply = await cell.submit(name, job_id, job(step(2)))
            assert reply.kind is ReplyKind.OK
            accepted_at = asyncio.get_running_loop().time()
            await asyncio.sleep(START_LIMIT_S)
            starts = [s for s in cell.hosts.starts() if s.task.job == job_id]
            assert len(starts) == 2
            assert max(s.at for s in starts) - accepted_at <= START_LIMIT_S

    run_scenario(scenario)


def test_records_behind_unread_ones_are_not_applied():
    # A claim of another daemon may lie between.
    async def scenario(cell):
        applied = []
        logs = MemoryLogs()
        follower = Follower(
            MemoryStore(logs), "t", lambda items, is_snapshot: applied.extend(items)
        )
        follower.next_offset = 0
        first, claim, second = (Record(key, b"x") for key in ("1", OWNER_KEY, "2"))
        follower.apply_appended([first], logs.append("t", [first], None, None))
        logs.append("t", [claim], None, None)
        follower.apply_appended([second], logs.append("t", [second], None, None))
        assert [item.key for item in applied] == ["1"]
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(0.1)
        task.cancel()
        assert [item.key for item in applied] == ["1", OWNER_KEY, "2"]

    run_scenario(scenario)


def test_a_job_that_is_applied_and_then_read_runs_once():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.faults.call_delay_s = 0.2
        await asyncio.sleep(1.5)
        for i in range(5):
            await cell.submit("b", f"{i:016x}", job(step(3)))
        cell.logs.faults.call_delay_s = 0.0
        await asyncio.sleep(5.0)
        assert len(cell.hosts.starts()) == 15
        assert cell.daemons[cell.owner()].owners[POOL].follower.is_reachable

    run_scenario(scenario)
