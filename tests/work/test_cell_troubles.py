"""Troubles of whole cells: configurations, lost messages, new daemons."""

import asyncio

import pytest

from siskinroad.work.store import Record
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_heartbeat_routes import run_large_cell


def put_configuration(cell, version):
    record = Record("config", str(version).encode())
    cell.logs.append("keyed.setup", [record], None, None)


def list_versions(cell):
    return {
        daemon.job_service.configuration.version for daemon in cell.daemons.values()
    }


def test_the_newest_of_configurations_in_quick_succession_is_in_force():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        for version in (1, 2, 1, 3, 2):
            put_configuration(cell, version)
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        assert list_versions(cell) == {3}

    run_scenario(scenario)


def test_a_configuration_is_in_force_after_all_lost_power_as_it_was_stored():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        put_configuration(cell, 3)
        for name in ("a", "b"):
            await cell.kill(name, loses_power=True)
        await cell.start_daemons("a", "b")
        assert list_versions(cell) == {3}
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind == "ok"
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_lost_messages_leave_a_large_cell_its_owner_and_members():
    async def scenario(cell):
        owner = cell.owner()
        cell.network.faults.loss = 0.2
        cell.network.faults.jitter = 0.1
        for _ in range(20):
            await asyncio.sleep(0.5)
            now = asyncio.get_running_loop().time()
            for name, daemon in cell.daemons.items():
                live = set(daemon.members.live_members(now))
                assert live == set(cell.daemons) - {name}
        assert cell.owner() == owner

    run_large_cell(scenario)


# Seeds with which members were missing while heartbeats were not repeated.
@pytest.mark.parametrize("seed", [3, 5, 17, 116, 120, 127, 129, 130])
def test_heartbeats_that_are_lost_in_a_row_leave_no_member_dead(seed):
    async def scenario(cell):
        cell.network.faults.loss = 0.2
        cell.network.faults.jitter = 0.1
        for _ in range(20):
            await asyncio.sleep(0.5)
            now = asyncio.get_running_loop().time()
            for name, daemon in cell.daemons.items():
                live = set(daemon.members.live_members(now))
                assert live == set(cell.daemons) - {name}

    run_large_cell(scenario, seed=seed)


def test_no_heartbeat_is_repeated_while_no_message_is_lost():
    def count_heartbeats(daemon):
        return daemon.peers.traffic.messages_sent["Heartbeat"]

    async def scenario(cell):
        cell.network.faults.jitter = 0.1
        # Until then daemons are heard that started when the cell was small.
        await asyncio.sleep(2.0)
        others = [each for name, each in cell.daemons.items() if name != cell.owner()]
        before = [count_heartbeats(each) for each in others]
        await asyncio.sleep(6.0)
        after = [count_heartbeats(each) for each in others]
        # Ten each to the owner and to two aggregators.
        assert after == [count + 30 for count in before]

    run_large_cell(scenario)


def test_added_and_replaced_daemons_of_a_large_cell_are_known_to_all():
    async def scenario(cell):
        removed = next(name for name in cell.daemons if name != cell.owner())
        await cell.kill(removed, loses_power=True)
        for name in ("n15", "n16"):
            cell.start(name, processor=1.0)
        await asyncio.sleep(4.0)
        now = asyncio.get_running_loop().time()
        for name, daemon in cell.daemons.items():
            live = set(daemon.members.live_members(now))
            assert live == set(cell.daemons) - {name}
            if name != cell.owner():
                assert daemon.members.owner(POOL, now) == cell.owner()

    run_large_cell(scenario)


@pytest.mark.parametrize("all_die", [False, True])
def test_hosts_that_leave_or_have_left_get_no_work_after_a_restart(all_die):
    # The next owner knows them from the store, from records of before they left.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(24, cpu_milli=4000)))
        await cell.wait_for_state(JOB_ID, "complete")
        cell.drain("i-0")
        cell.unlist("i-1")
        await asyncio.sleep(4.0)
        names = ["a", "b"] if all_die else [cell.owner()]
        for name in names:
            await cell.kill(name)
        await cell.start_daemons("c")
        await cell.wait_for_owner()
        began = asyncio.get_running_loop().time()
        await cell.submit("c", "00000000000000bb", job(step(24, cpu_milli=4000)))
        await cell.wait_for_state("00000000000000bb", "complete")
        later = {start.host for start in cell.hosts.starts() if start.at >= began}
        assert later == {"i-2"}

    run_scenario(scenario)


def test_the_former_owner_starts_nothing_once_a_planned_handover_has_begun():
    # Both act on the same hosts around it, and each start must go out once.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        for number in range(40):
            name = f"{number:016x}"
            await cell.submit("a", name, job(step(4, cpu_milli=2000, estimate=0.3)))
            if number in (10, 25):
                owner = cell.owner()
                leaving = cell.daemons[owner]
                tokens = {h.entry.name: h.token for h in cell.hosts.hosts.values()}
                await leaving.drain()
                assert leaving.owners == {}
                await cell.wait_for_owner()
                assert cell.owner() != owner
                for host in cell.hosts.hosts.values():
                    assert host.token > tokens[host.entry.name]
        for number in range(40):
            await cell.wait_for_state(f"{number:016x}", "complete")
        assert len(cell.hosts.starts()) == 160

    run_scenario(scenario)
