"""Troubles of whole cells: configurations, lost messages, new daemons."""

import asyncio

from siskinroad.work.store import Record
from tests.work.cell import POOL, job
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
