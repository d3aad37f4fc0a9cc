"""Tasks of jobs at a shard's owner: what it stores, and what it starts again."""

import asyncio

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.errors import PlatformError
from siskinroad.records import JobAccepted, TasksEnded, encode_batch
from tests.owned_shard import JOB, OwnedShard, make_job


class FailingLogShard(OwnedShard):
    """Owned shard whose log refuses the first outcome that is stored."""

    def record_outcome(self, job, index, outcome):
        fut = super().record_outcome(job, index, outcome)
        if len(self.outcomes) > 1:
            return fut
        refused = asyncio.get_running_loop().create_future()
        refused.set_exception(PlatformError("too many pending", step="append"))
        return refused


def test_an_end_that_the_log_refused_is_stored_before_the_host_forgets_it():
    async def main():
        shard = FailingLogShard(run_time_s=1.0)
        await shard.owner.take_over()
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(1.5)
        assert len(shard.outcomes) == 1
        listed = [name for host in shard.hosts.values() for name in host.tasks]
        assert listed == [f"{JOB}/0#1~0"]
        await asyncio.sleep(10.0)
        assert shard.outcomes == [(JOB, 0, "done")] * 2
        assert not any(host.tasks for host in shard.hosts.values())

    run_on_paused_clock(main())


def _hold_reads(daemon):
    """Let the daemon's reads of the log wait until the returned event is set."""
    released = asyncio.Event()
    read = daemon.platform.read

    async def held_read(stream, start, limit):
        await released.wait()
        return await read(stream, start, limit)

    daemon.platform.read = held_read
    return released


def _starts(world):
    return [event.attempt for event in world.events if event.kind == "start"]


def test_a_job_whose_end_is_stored_but_not_read_back_is_not_run_again():
    """An append without a reply may leave the record of a job in the log twice."""

    async def main():
        world = World(small_cell(), ["east-1a"])
        await world.start_and_configure()
        world.run_time_s["recount"] = 0.3
        daemon = world.daemons["east-1a"]
        cell = daemon.cell()
        view = await daemon.jobs.submit(cell, cell.workloads["recount"], 1, b"", "")
        released = _hold_reads(daemon)
        record = daemon.ledger.jobs[view.job].accepted
        world.log.append("dc.east-1", encode_batch("east-1a", [record]))
        await asyncio.sleep(1.2)
        released.set()
        await asyncio.sleep(10.0)
        assert daemon.ledger.jobs[view.job].settled
        assert len(_starts(world)) == 1

    run_on_paused_clock(main())


def test_a_task_whose_end_an_earlier_owner_stored_is_not_started_again():
    """The host may forget the task before this owner has seen its end there."""

    async def main():
        world = World(small_cell(), ["east-1a"])
        await world.start_and_configure()
        daemon = world.daemons["east-1a"]
        cell = daemon.cell()
        world.run_time_s["recount"] = 60.0
        view = await daemon.jobs.submit(cell, cell.workloads["recount"], 1, b"", "")
        await asyncio.sleep(1.0)
        record = TasksEnded(view.job, [0], "done")
        world.log.append("dc.east-1", encode_batch("east-1b", [record]))
        await asyncio.sleep(2.0)
        for memory_host in world.memory_hosts.values():
            memory_host.tasks.clear()
        await asyncio.sleep(30.0)
        assert daemon.ledger.jobs[view.job].ended == {0: "done"}
        assert len(_starts(world)) == 1

    run_on_paused_clock(main())


def test_a_job_accepted_on_two_shards_runs_on_the_first_alone():
    """A submission may be repeated before the record of the first one is read."""

    async def main():
        world = World(small_cell(east=4, shards=2), ["east-1a"])
        await world.start_and_configure()
        daemon = world.daemons["east-1a"]
        first, second = sorted(s for s in daemon.shards.owners if "east-1" in s)
        records = [
            JobAccepted("east-1.x", "recount", "records", shard, 1, b"")
            for shard in (first, second)
        ]
        for record in records:
            world.log.append("dc.east-1", encode_batch("east-1a", [record]))
        await asyncio.sleep(20.0)
        assert daemon.ledger.jobs["east-1.x"].settled
        assert len(_starts(world)) == 1

    run_on_paused_clock(main())
