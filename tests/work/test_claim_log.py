"""Log lines that tell what the claim of a pool rests on."""

import asyncio
import logging

import pytest

from siskinroad.work.claim_log import LOG_INTERVAL, ClaimLog
from siskinroad.work.heard_owners import HeardOwners
from siskinroad.work.loop_delay import LoopDelay
from siskinroad.work.members import Members
from siskinroad.work.messages import Heartbeat
from tests.work.cell import POOL
from tests.work.test_daemon import run_scenario

CLAIMING = "claim_manager: claiming a pool"
OWN = Heartbeat("a", 1, (), 0.3, False, True, processor=0.5)


@pytest.fixture
def lines(caplog):
    caplog.set_level(logging.INFO, logger="siskinroad.claim_manager")

    def find_lines():
        return [each for each in caplog.records if each.message == CLAIMING]

    return find_lines


async def start_cell(cell):
    for name, processor in zip("abc", (2.0, 1.5, 1.0), strict=True):
        cell.start(name, processor)
    await cell.wait_for_owner()


def test_a_claim_after_a_loss_of_power_tells_of_the_owner_and_its_silence(lines):
    async def scenario(cell):
        await start_cell(cell)
        term = cell.daemons["a"].owners[POOL].term.number
        await cell.kill("a", loses_power=True)
        await cell.wait_for_owner()
        line = lines()[-1]
        assert (line.pool, line.owner, line.owner_term) == (POOL, "a", term)
        assert 0.75 < line.owner_silent_s < 1.5
        assert line.vacant_s >= 0.25
        assert not line.is_released and not line.has_ended
        assert (line.processor, line.largest_processor) == (1.5, 2.0)
        assert line.candidates == 1
        assert line.store_age_s < 1.0 and line.loop_delay_s == 0.0

    run_scenario(scenario)


def test_claims_after_an_end_or_a_release_tell_which_of_them_it_was(lines):
    async def scenario(cell):
        await start_cell(cell)
        assert lines()[0].owner is None and lines()[0].owner_silent_s is None
        await cell.kill("a")
        await cell.wait_for_owner()
        line = lines()[-1]
        assert (line.owner, line.has_ended, line.is_released) == ("a", True, False)
        await cell.daemons["b"].drain()
        await cell.wait_for_owner()
        line = lines()[-1]
        assert (line.owner, line.has_ended, line.is_released) == ("b", False, True)

    run_scenario(scenario)


def test_claims_that_fail_at_once_are_logged_once_a_second_for_each_pool(lines):
    async def scenario(cell):
        claim_log = ClaimLog(Members("a", 1), HeardOwners(), LoopDelay())
        for _ in range(10):
            claim_log.log_claim("p", OWN, None)
            claim_log.log_claim("q", OWN, None)
        await asyncio.sleep(LOG_INTERVAL)
        claim_log.log_claim("p", OWN, None)
        assert [each.pool for each in lines()] == ["p", "q", "p"]

    run_scenario(scenario)
