"""An owner that the other daemons hear, while it hears nobody and reaches no store."""

import asyncio

from tests.work.cell import POOL, job
from tests.work.test_daemon import run_scenario
from tests.work.test_deposed_owner import NAMES, cut_off

# Seconds for which an owner may act without the store, and for a takeover after that.
TAKEN_OVER_S = 10.0 + 2.0
JOB_ID = "00000000000000cc"


def test_a_pool_is_taken_over_from_an_owner_that_can_only_be_heard():
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        owner = cell.owner()
        others = [name for name in NAMES if name != owner]
        cut_off(cell, owner, True)
        cell.network.faults.cut -= {(owner, other) for other in others}
        await asyncio.sleep(TAKEN_OVER_S)
        assert any(POOL in cell.daemons[name].owners for name in others)
        await cell.submit(others[0], JOB_ID, job())
        await cell.wait_for_starts(1, seconds=3.0)

    run_scenario(scenario)


def test_an_owner_keeps_its_pool_after_an_outage_of_the_store_for_all():
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        owner = cell.owner()
        cell.logs.faults.is_silent = True
        await asyncio.sleep(30.0)
        cell.logs.faults.is_silent = False
        await asyncio.sleep(0.5)
        assert cell.daemons[owner].owners[POOL].term.is_owner_confirmed()
        await asyncio.sleep(5.0)
        assert cell.owner() == owner

    run_scenario(scenario)
