"""Tasks of jobs at a shard's owner: what it stores, and what it starts again."""

import asyncio

from bench.clock import run_on_paused_clock
from siskinroad.errors import PlatformError
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
