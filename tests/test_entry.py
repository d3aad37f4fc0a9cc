"""The whole path between daemons, without listeners."""

import asyncio

import pytest

from bench.clock import run
from bench.world import World, small_cell
from siskinroad.errors import Refusal
from siskinroad.records import JobAccepted

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


def _owner_of(world, shard):
    return world.owners()[shard][0]


def test_urgent_work_for_a_dead_owner_restarts_elsewhere_within_the_target():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        loop = asyncio.get_running_loop()
        world.seconds["quote"] = 0.5
        dead = _owner_of(world, "booking/east-1/0")
        other = next(n for n in NAMES[:2] if n != dead)
        waiting = asyncio.create_task(world.ask(other, "quote", b"in flight"))
        await asyncio.sleep(0.1)
        killed = loop.time()
        await world.kill(dead)
        late = [asyncio.create_task(world.ask(other, "quote", b"late"))]
        await asyncio.gather(waiting, *late)
        began = [e.time for e in world.events if e.host[0] == "w" and e.kind == "start"]
        assert len(began) == 2
        assert max(began) - killed <= 1.8

    run(main())


def test_a_dead_daemons_hosts_are_taken_over_within_five_seconds():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        dead = _owner_of(world, "booking/east-1/0")
        await world.kill(dead)
        await asyncio.sleep(5.0)
        assert _owner_of(world, "booking/east-1/0") != dead

    run(main())


def test_a_restart_under_the_same_name_waits_for_no_lease():
    async def main():
        world = World(small_cell(), ["east-1a"])
        await world.ready()
        await world.kill("east-1a")
        world.start("east-1a")
        await asyncio.sleep(2.0)
        assert (await world.ask("east-1a", "quote", b"again")).body == b"again"

    run(main())


def test_records_stay_within_the_append_budget_under_load_and_a_restart():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        before, began = world.log.appends, asyncio.get_running_loop().time()
        await world.kill("east-1a")
        world.start("east-1a")
        for number in range(30):
            cell = world.daemons["east-1b"].cell()
            desk = world.daemons["east-1b"].jobs
            await desk.submit(cell, cell.workloads["recount"], 5, b"", f"j{number}")
            await world.ask("west-1a", "dispatch", b"x", f"key{number}")
        await asyncio.sleep(30.0)
        spent = asyncio.get_running_loop().time() - began
        assert (world.log.appends - before) / spent <= 50

    run(main())


def test_a_data_centre_cut_from_the_platform_serves_requests_and_refuses_keys():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        world.log.faults.cut |= {"east-1a", "east-1b"}
        await asyncio.sleep(30.0)
        assert (await world.ask("east-1a", "quote", b"served")).body == b"served"
        refused = 0
        for number in range(12):
            try:
                await world.ask("east-1a", "dispatch", b"x", f"k{number}")
            except Refusal as exc:
                assert (exc.reason, exc.outcome) == ("log_unavailable", "not run")
                refused += 1
        assert 0 < refused < 12

    run(main())


def test_no_retry_storm_after_an_outage_of_all_hosts():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        for worker in world.workers.values():
            worker.faults.failing = True
        asking = []
        for number in range(600):
            body = b"q%d" % number
            asking.append(asyncio.create_task(world.ask("east-1a", "quote", body)))
            await asyncio.sleep(0.02)
        for worker in world.workers.values():
            worker.faults.failing = False
        answers = await asyncio.gather(*asking, return_exceptions=True)
        starts = [e for e in world.events if e.kind == "start"]
        assert len(answers) == 600
        # A tenth more, and the floor of each shard's budget.
        assert len(starts) <= 600 * 1.1 + 2 * 10

    run(main())


def test_a_keyed_job_has_one_home_wherever_it_is_submitted():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        for key in ("spring", "summer", "autumn"):
            names = set()
            for daemon in world.daemons.values():
                cell = daemon.cell()
                recount = cell.workloads["recount"]
                view = await daemon.jobs.submit(cell, recount, 1, b"", key)
                names.add(view.job)
            assert len(names) == 1

    run(main())


def test_a_rack_of_daemons_is_replaced_within_ten_seconds():
    async def main():
        names = ["east-1a", "east-1b", "east-1c", "west-1a"]
        world = World(small_cell(), names)
        await world.ready()
        dead = _owner_of(world, "booking/east-1/0")
        other = next(n for n in names if n.startswith("east") and n != dead)
        await world.kill(dead)
        await world.kill(other)
        await asyncio.sleep(10.0)
        left = next(n for n in world.daemons if n.startswith("east"))
        assert _owner_of(world, "booking/east-1/0") == left
        world.seconds["quote"] = 0.1
        assert (await world.ask(left, "quote", b"served")).body == b"served"

    run(main())


def test_a_change_is_in_force_everywhere_within_the_target_and_by_peers_alone():
    async def main():
        world = World(small_cell(), NAMES)
        await world.ready()
        daemon = world.daemons["west-1a"]
        done = await daemon.publisher.apply(world.text + "# two\n", 1)
        assert (done.revision, done.not_yet) == (2, [])
        await asyncio.sleep(10.0)
        assert {d.configuration.revision for d in world.daemons.values()} == {2}
        world.log.faults.down = True
        await world.kill("east-1a")
        fresh = world.start("east-1a")
        await asyncio.sleep(10.0)
        assert fresh.configuration.revision == 2
        assert fresh.ready

    run(main())


def test_jobs_that_a_snapshot_brings_are_run():
    async def main():
        world = World(small_cell(), ["east-1a", "east-1b"])
        await world.ready()
        first = _owner_of(world, "booking/east-1/0")
        owner = world.daemons[first]
        other = world.daemons[next(n for n in world.daemons if n != first)]
        world.network.pause(first)
        world.log.faults.cut.add(first)
        record = JobAccepted(
            "east-1.x", "recount", "records", "booking/east-1/0", 2, b""
        )
        await other.appender.put(record, 5.0)
        await asyncio.sleep(0.5)
        as_of = other.ledger.next_offset
        await other.snapshotter.write_all()
        world.log.trim("dc.east-1", as_of)
        world.network.resume(first)
        world.log.faults.cut.discard(first)
        await asyncio.sleep(30.0)
        assert owner.ledger.jobs["east-1.x"].settled

    run(main())
