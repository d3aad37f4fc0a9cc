"""The whole path between daemons, without listeners."""

import asyncio

import pytest

from bench.clock import run
from bench.world import World, small_cell
from siskinroad.errors import Refusal

NAMES = ["east-1a", "east-1b", "west-1a"]


def test_a_request_is_served_from_every_daemon():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        assert len(world.owners()) == 2
        for name in NAMES:
            answer = await world.ask(name, "quote", b"hello")
            assert answer.body == b"hello"

    run(main())


def test_a_job_runs_to_its_end():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        desk = world.daemons["east-1b"].jobs
        cell = world.daemons["east-1b"].cell()
        view = await desk.submit(cell, cell.workloads["recount"], 20, b"", "night")
        again = await desk.submit(cell, cell.workloads["recount"], 20, b"", "night")
        assert again.job == view.job
        view = await desk.watch(view.job, 60.0)
        assert view.settled
        assert view.done == 20
        gang = await desk.submit(cell, cell.workloads["render"], 1, b"", "")
        assert (await desk.watch(gang.job, 60.0)).done == 1

    run(main())


def test_without_configuration_the_refusal_says_so():
    async def main():
        world = World(small_cell(), ["east-1a"])
        world.log.faults.down = True
        await world.start_all()
        await asyncio.sleep(3)
        with pytest.raises(Refusal) as info:
            await world.ask("east-1a", "quote")
        assert info.value.reason == "no_configuration"

    run(main())
