"""Submission of jobs across restarts of their owners."""

import asyncio

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.errors import Outcome


def test_a_refusal_of_a_repeated_submission_does_not_accept_the_job_twice():
    """The owner has stored the job, crashes before its reply, and restarts without
    the log."""

    async def main():
        world = World(small_cell(), ["east-1a", "east-1b", "west-1a"])
        await world.start_and_configure()
        (owner,) = world.owners()["booking/east-1/0"]
        other = next(name for name in ("east-1a", "east-1b") if name != owner)
        daemon = world.daemons[other]
        cell = daemon.cell()
        world.network.faults.cut.add((owner, other))
        submission = asyncio.create_task(
            daemon.jobs.submit(cell, cell.workloads["recount"], 1, b"", "")
        )
        await asyncio.sleep(0.2)
        await world.kill(owner)
        world.log.faults.cut.add(owner)
        world.network.faults.cut.clear()
        world.start(owner)
        (result,) = await asyncio.gather(submission, return_exceptions=True)
        world.log.faults.cut.clear()
        await asyncio.sleep(30.0)
        starts = [event.task for event in world.events if event.kind == "start"]
        assert len(starts) == 1
        assert result.outcome is Outcome.UNKNOWN

    run_on_paused_clock(main())
