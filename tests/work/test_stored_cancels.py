"""Cancels that were acknowledged, and an owner that is killed right afterwards.

What a caller was told must be in the store: the next owner knows nothing else.
"""

import asyncio

from siskinroad.work.job_service import ReplyKind
from tests.work.cell import FAST, job, step
from tests.work.test_daemon import run_scenario


async def cancel(cell, name, job_id):
    service = cell.daemons[name].job_service
    return (await service.cancel(FAST, job_id, cell.deadline())).kind


def chain(count):
    """Return a job of short steps, so that its progress is stored all the time."""
    steps = [step(after=(i - 1,) if i else (), estimate=0.1) for i in range(count)]
    return job(*steps)


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
