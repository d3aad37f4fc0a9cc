"""Log lines from which the time in which two owners acted can be read."""

import asyncio
import logging

from tests.work.cell import job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import NAMES, cut_off, wait_for_owner


def test_lines_of_a_cut_off_owner_name_its_term_and_the_age_of_its_claims(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        await cell.submit("a", JOB_ID, job(step(3)))
        await cell.wait_for_starts(3)
        owner = cell.owner()
        term = cell.daemons[owner].owners["desk"].term.number
        cut_off(cell, owner, True)
        await wait_for_owner(cell, {owner})
        await asyncio.sleep(6.0)
        cut_off(cell, owner, False)
        await asyncio.sleep(3.0)
        started = find_line(caplog, "start command finished")
        assert 0.0 <= started.claims_age_s < 2.0
        lost = find_line(caplog, "ownership of pool lost")
        assert lost.term == term
        assert 5.0 < lost.claims_age_s < 10.0

    run_scenario(scenario)


def find_line(caplog, text):
    return [r for r in caplog.records if text in r.getMessage()][-1]
