"""Tests of whole daemons on a simulated network, without their HTTP listeners."""

import asyncio
import re

import pytest

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.errors import Refusal
from siskinroad.ownership import LEASE_TIME
from siskinroad.platform import HostState
from siskinroad.records import JobAccepted

NAMES = ["east-1a", "east-1b", "west-1a"]


def test_a_request_is_served_from_every_daemon():
    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        assert len(world.owners()) == 2
        for name in NAMES:
            answer = await world.send_request(name, "quote", b"hello")
            assert answer.body == b"hello"

    run_on_paused_clock(main())


def test_a_job_runs_to_its_end_and_a_repeated_submission_returns_it():
    """A job submitted twice with one key must not run twice."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        job_service = world.daemons["east-1b"].jobs
        cell = world.daemons["east-1b"].cell()
        view = await job_service.submit(
            cell, cell.workloads["recount"], 20, b"", "night"
        )
        repeated_view = await job_service.submit(
            cell, cell.workloads["recount"], 20, b"", "night"
        )
        assert repeated_view.job == view.job
        view = await job_service.watch(view.job, 60.0)
        assert view.settled
        assert view.done == 20
        gang = await job_service.submit(cell, cell.workloads["render"], 1, b"", "")
        assert (await job_service.watch(gang.job, 60.0)).done == 1

    run_on_paused_clock(main())


def test_a_daemon_without_configuration_refuses_with_that_reason():
    async def main():
        world = World(small_cell(), ["east-1a"])
        world.log.faults.down = True
        await world.start_all()
        await asyncio.sleep(3)
        with pytest.raises(Refusal) as info:
            await world.send_request("east-1a", "quote")
        assert info.value.reason == "no_configuration"

    run_on_paused_clock(main())


def _owner_of(world, shard):
    return world.owners()[shard][0]


def test_urgent_requests_of_a_dead_owner_start_elsewhere_within_1_8_seconds():
    """The owner crashes with one request in flight, and another arrives after that."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        loop = asyncio.get_running_loop()
        world.run_time_s["quote"] = 0.5
        dead = _owner_of(world, "booking/east-1/0")
        other = next(n for n in NAMES[:2] if n != dead)
        in_flight = asyncio.create_task(
            world.send_request(other, "quote", b"in flight")
        )
        await asyncio.sleep(0.1)
        killed_at = loop.time()
        await world.kill(dead)
        late = [asyncio.create_task(world.send_request(other, "quote", b"late"))]
        await asyncio.gather(in_flight, *late)
        starts = [
            e.time for e in world.events if e.host[0] == "w" and e.kind == "start"
        ]
        assert len(starts) == 2
        assert max(starts) - killed_at <= 1.8

    run_on_paused_clock(main())


def test_the_shard_of_a_dead_daemon_is_taken_over_within_five_seconds():
    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        dead = _owner_of(world, "booking/east-1/0")
        await world.kill(dead)
        await asyncio.sleep(5.0)
        assert _owner_of(world, "booking/east-1/0") != dead

    run_on_paused_clock(main())


def test_a_restarted_daemon_does_not_wait_for_its_own_lease():
    """A new incarnation proves that the lease of the earlier one is over."""

    async def main():
        world = World(small_cell(), ["east-1a"])
        await world.start_and_configure()
        await world.kill("east-1a")
        world.start("east-1a")
        await asyncio.sleep(2.0)
        assert (await world.send_request("east-1a", "quote", b"again")).body == b"again"

    run_on_paused_clock(main())


def test_records_stay_within_the_append_budget_under_load_and_a_restart():
    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        appends_before, began_at = world.log.appends, asyncio.get_running_loop().time()
        await world.kill("east-1a")
        world.start("east-1a")
        for number in range(30):
            cell = world.daemons["east-1b"].cell()
            job_service = world.daemons["east-1b"].jobs
            await job_service.submit(
                cell, cell.workloads["recount"], 5, b"", f"j{number}"
            )
            await world.send_request("west-1a", "dispatch", b"x", f"key{number}")
        await asyncio.sleep(30.0)
        elapsed = asyncio.get_running_loop().time() - began_at
        assert (world.log.appends - appends_before) / elapsed <= 50

    run_on_paused_clock(main())


def test_without_the_platform_requests_are_served_and_new_keys_refused():
    """A key that the log cannot store could run twice, so it is refused as not run."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        world.log.faults.cut |= {"east-1a", "east-1b"}
        await asyncio.sleep(30.0)
        assert (
            await world.send_request("east-1a", "quote", b"served")
        ).body == b"served"
        refused = 0
        for number in range(12):
            try:
                await world.send_request("east-1a", "dispatch", b"x", f"k{number}")
            except Refusal as exc:
                assert (exc.reason, exc.outcome) == ("log_unavailable", "not run")
                refused += 1
        assert 0 < refused < 12

    run_on_paused_clock(main())


def test_an_outage_of_all_hosts_causes_no_retry_storm():
    """Retries without a budget would multiply the load on hosts that recover."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        for memory_host in world.memory_hosts.values():
            memory_host.faults.failing = True
        requests = []
        for number in range(600):
            body = b"q%d" % number
            requests.append(
                asyncio.create_task(world.send_request("east-1a", "quote", body))
            )
            await asyncio.sleep(0.02)
        for memory_host in world.memory_hosts.values():
            memory_host.faults.failing = False
        answers = await asyncio.gather(*requests, return_exceptions=True)
        starts = [e for e in world.events if e.kind == "start"]
        assert len(answers) == 600
        # The retry budget: 10% more starts, and at least 10 retries for each shard.
        assert len(starts) <= 600 * 1.1 + 2 * 10

    run_on_paused_clock(main())


def test_a_keyed_job_gets_the_same_name_at_every_daemon():
    """Different names would let one key run two jobs."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        for key in ("spring", "summer", "autumn"):
            job_names = set()
            for daemon in world.daemons.values():
                cell = daemon.cell()
                recount = cell.workloads["recount"]
                view = await daemon.jobs.submit(cell, recount, 1, b"", key)
                job_names.add(view.job)
            assert len(job_names) == 1

    run_on_paused_clock(main())


def test_two_daemons_that_fail_together_are_replaced_within_ten_seconds():
    """A rack that fails takes all its daemons with it."""

    async def main():
        names = ["east-1a", "east-1b", "east-1c", "west-1a"]
        world = World(small_cell(), names)
        await world.start_and_configure()
        dead = _owner_of(world, "booking/east-1/0")
        other = next(n for n in names if n.startswith("east") and n != dead)
        await world.kill(dead)
        await world.kill(other)
        await asyncio.sleep(10.0)
        survivor = next(n for n in world.daemons if n.startswith("east"))
        assert _owner_of(world, "booking/east-1/0") == survivor
        world.run_time_s["quote"] = 0.1
        assert (
            await world.send_request(survivor, "quote", b"served")
        ).body == b"served"

    run_on_paused_clock(main())


def test_a_revision_reaches_all_daemons_and_a_restarted_one_from_peers_alone():
    """A daemon that starts while the platform is down must get the cell file."""

    async def main():
        world = World(small_cell(), NAMES)
        await world.start_and_configure()
        daemon = world.daemons["west-1a"]
        applied = await daemon.publisher.apply(world.text + "# two\n", 1)
        assert (applied.revision, applied.not_yet) == (2, [])
        await asyncio.sleep(10.0)
        assert {d.configuration.revision for d in world.daemons.values()} == {2}
        world.log.faults.down = True
        await world.kill("east-1a")
        restarted = world.start("east-1a")
        await asyncio.sleep(10.0)
        assert restarted.configuration.revision == 2
        assert restarted.is_ready

    run_on_paused_clock(main())


def test_jobs_learned_from_a_snapshot_are_run():
    """A job's record may be trimmed before the owner of its shard has read it."""

    async def main():
        world = World(small_cell(), ["east-1a", "east-1b"])
        await world.start_and_configure()
        owner_name = _owner_of(world, "booking/east-1/0")
        owner = world.daemons[owner_name]
        other = world.daemons[next(n for n in world.daemons if n != owner_name)]
        world.network.pause(owner_name)
        world.log.faults.cut.add(owner_name)
        record = JobAccepted(
            "east-1.x", "recount", "records", "booking/east-1/0", 2, b""
        )
        await other.appender.append(record, 5.0)
        await asyncio.sleep(0.5)
        as_of = other.ledger.next_offset
        await other.snapshotter.write_all()
        world.log.trim("dc.east-1", as_of)
        world.network.resume(owner_name)
        world.log.faults.cut.discard(owner_name)
        await asyncio.sleep(30.0)
        assert owner.ledger.jobs["east-1.x"].settled

    run_on_paused_clock(main())


def test_stamps_of_an_earlier_incarnation_do_not_extend_a_lease():
    """A restarted host's clock may show less than before; its peers echo the old one.

    Here the peer still holds the stamp of the earlier incarnation, since the first
    messages of the new one are lost.
    """

    async def main():
        world = World(small_cell(west=0), ["east-1a", "east-1b"])
        await world.start_and_configure()
        await world.kill("east-1b")
        await asyncio.sleep(5.0)
        peer = world.daemons["east-1a"].members.members["east-1b"]
        peer.stamp += 1e6
        peer.last_heartbeat = asyncio.get_running_loop().time()
        world.network.faults.cut.add(("east-1b", "east-1a"))
        restarted = world.start("east-1b")
        await asyncio.sleep(1.2)
        world.network.faults.cut.clear()
        await asyncio.sleep(10.0)
        now = asyncio.get_running_loop().time()
        assert _owner_of(world, "booking/east-1/0")
        assert restarted.ownership.lease_until("booking/east-1/0") <= now + LEASE_TIME

    run_on_paused_clock(main())


def test_a_task_on_a_host_that_leaves_the_cell_file_runs_nowhere_else_meanwhile():
    """The host is not told to stop what it runs, and its leases last for a while."""

    async def main():
        world = World(small_cell(west=0), ["east-1a"])
        await world.start_and_configure()
        world.run_time_s["recount"] = 12.0
        daemon = world.daemons["east-1a"]
        cell = daemon.cell()
        view = await daemon.jobs.submit(cell, cell.workloads["recount"], 1, b"", "")
        await asyncio.sleep(1.0)
        (start,) = [event for event in world.events if event.kind == "start"]
        table = rf'\[\[upstreams.hosts\]\]\nname = "{start.host}"\n(?:\w+ = .*\n)+'
        await daemon.publisher.apply(re.sub(table, "", world.text), None)
        assert (await daemon.jobs.watch(view.job, 60.0)).done == 1
        assert [e for e in world.events if e.kind == "start"] == [start]
        await asyncio.sleep(15.0)
        assert start.host not in daemon.shards.owners["booking/east-1/0"].monitors

    run_on_paused_clock(main())


def test_a_daemon_that_the_list_shows_as_gone_while_it_is_alive_is_waited_for():
    """The list may still show the host that was there before under the same name."""

    async def main():
        world = World(small_cell(west=0), ["east-1a", "east-1b"])
        await world.start_and_configure()
        shard = "booking/east-1/0"
        owner = _owner_of(world, shard)
        other = next(name for name in world.names if name != owner)
        world.log.set_host_state("east-1", owner, HostState.GONE)
        await asyncio.sleep(5.0)
        world.network.faults.cut |= {(owner, other), (other, owner)}
        owners = set()
        for _ in range(200):
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            placing = [
                name
                for name, daemon in world.daemons.items()
                if daemon.ownership.may_place(shard, now)
            ]
            assert len(placing) <= 1
            owners.update(placing)
        assert owners == {owner, other}

    run_on_paused_clock(main())


def test_a_read_of_a_log_whose_records_were_trimmed_confirms_no_claim():
    """The records that this daemon missed may hold a later claim."""

    async def main():
        world = World(small_cell(west=0), ["east-1a", "east-1b"])
        await world.start_and_configure()
        shard = "booking/east-1/0"
        former = _owner_of(world, shard)
        other = next(name for name in world.names if name != former)
        world.network.faults.cut |= {(former, other), (other, former)}
        world.log.faults.cut.add(former)
        await asyncio.sleep(10.0)
        world.log.trim("dc.east-1", world.daemons[other].ledger.next_offset)
        world.log.faults.cut.clear()
        await asyncio.sleep(3.0)
        now = asyncio.get_running_loop().time()
        assert world.daemons[other].ownership.may_place(shard, now)
        assert not world.daemons[former].ledger.is_complete
        assert not world.daemons[former].ownership.may_place(shard, now)

    run_on_paused_clock(main())
