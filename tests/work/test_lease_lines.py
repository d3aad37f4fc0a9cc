"""Log lines on notices of claims, and on whether an owner may grant leases."""

import asyncio
import itertools
import logging
from types import SimpleNamespace

import pytest

from siskinroad.work.claim_knowledge import LEASE_LIMIT_S
from siskinroad.work.claim_notices import ClaimNotices
from siskinroad.work.host import MIN_LEASE_S
from siskinroad.work.lease_extender import LeaseExtender
from siskinroad.work.messages import ClaimNotice
from siskinroad.work.pool_state import PoolState
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import leave, start_cell, wait_for_owner

NO_LEASE = "lease_extender: no lease is granted"
LEASES_AGAIN = "lease_extender: leases are granted again"
ACKNOWLEDGED = "claim_notices: claim of another member acknowledged"
ASKED = "claim_notices: members asked to acknowledge the claim"
OUTAGE_S = 8.0


def find_lines(caplog, message):
    return [rec for rec in caplog.records if rec.message.startswith(message)]


async def outlast_outage(cell, caplog):
    """Let the store be silent for less long than an owner may act without it."""
    caplog.clear()
    cell.logs.faults.is_silent = True
    await asyncio.sleep(OUTAGE_S)
    cell.logs.faults.is_silent = False
    await asyncio.sleep(3.0)


async def start_waiting_task(cell):
    """Start daemons with a task for which there is no room."""
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 1000.0
    await cell.start_daemons("a", "b", "c")
    spec = job(step(4, cpu_milli=32000, estimate=1000.0))
    await cell.submit("a", JOB_ID, spec)
    await cell.wait_for_starts(3)


def test_an_owner_that_grants_no_lease_says_so_and_its_tasks_wait_for_that(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_waiting_task(cell)
        owner = cell.owner()
        other = next(name for name in cell.daemons if name != owner)
        await cell.kill(other, loses_power=True)
        await outlast_outage(cell, caplog)
        (lapse,) = find_lines(caplog, NO_LEASE)
        (again,) = find_lines(caplog, LEASES_AGAIN)
        term = cell.daemons[owner].owners[POOL].term.number
        assert (lapse.pool, lapse.term) == (again.pool, again.term) == (POOL, term)
        assert lapse.certain_age_s == pytest.approx(3.9, abs=0.4)
        assert lapse.claims_age_s >= lapse.certain_age_s
        assert again.waited_s == pytest.approx(OUTAGE_S - 3.9, abs=1.3)
        assert again.certain_age_s < 1.0
        lines = caplog.records[caplog.records.index(lapse) :]
        lines = lines[: lines.index(again)]
        between = [rec for rec in lines if rec.message == "owner: summary"][1:]
        assert between
        for rec in between:
            assert not rec.is_confirmed
            assert set(rec.waiting) == {"owner_unconfirmed"}

    run_scenario(scenario)


def test_an_owner_whose_members_answer_in_an_outage_writes_no_line(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_waiting_task(cell)
        await outlast_outage(cell, caplog)
        assert not find_lines(caplog, NO_LEASE)
        assert not find_lines(caplog, LEASES_AGAIN)

    run_scenario(scenario)


def test_lines_on_leases_come_at_most_once_a_second_and_the_last_one_is_true(caplog):
    caplog.set_level(logging.INFO)
    pool_state = PoolState(POOL, 5)
    extender = LeaseExtender(pool_state, SimpleNamespace(on_confirmed=None), None, None)
    written_at = []
    for tick in range(100):
        at = 100.0 + tick * 0.2
        lapses = tick % 2 == 0 and tick < 95
        age_s = LEASE_LIMIT_S - MIN_LEASE_S + (0.1 if lapses else -0.1)
        pool_state.claims.unclaimed_at = at - age_s
        count = len(caplog.records)
        extender.report_change(at)
        written_at += [at] * (len(caplog.records) - count)
    assert len(written_at) >= 10
    gaps = [b - a for a, b in itertools.pairwise(written_at)]
    assert min(gaps) >= 1.0 - 1e-6
    assert caplog.records[-1].message == LEASES_AGAIN
    assert caplog.records[-1].waited_s == 0.2


def test_an_owner_that_knows_nothing_after_a_suspension_writes_no_age(caplog):
    caplog.set_level(logging.INFO)
    pool_state = PoolState(POOL, 5)
    extender = LeaseExtender(pool_state, SimpleNamespace(on_confirmed=None), None, None)
    extender.report_change(100.0)
    assert not caplog.records
    pool_state.claims.revoke()
    extender.report_change(101.0)
    (line,) = find_lines(caplog, NO_LEASE)
    assert (line.certain_age_s, line.claims_age_s) == (None, None)


def test_members_and_the_claimant_tell_of_the_notices_of_a_claim(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_cell(cell)
        lost = cell.owner()
        await asyncio.sleep(15.0)
        caplog.clear()
        await cell.kill(lost, loses_power=True)
        leave(cell, "i-1")
        name = await wait_for_owner(cell, {lost})
        await asyncio.sleep(3.0)
        term = cell.daemons[name].owners[POOL].term.number
        first, *later = find_lines(caplog, ASKED)
        for line in (first, *later):
            assert (line.pool, line.term) == (POOL, term)
        # All members are told first, the lost owner too, and then only witnesses.
        assert [lost] in [line.missing for line in (first, *later)]
        acknowledged = find_lines(caplog, ACKNOWLEDGED)
        assert len(acknowledged) == len(cell.daemons) - 1 > 0
        for line in acknowledged:
            assert (line.pool, line.term) == (POOL, term)

    run_scenario(scenario)


def test_repeated_notices_are_logged_once_a_second_and_each_change_at_once(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        notices = ClaimNotices(None)
        for _ in range(10):
            notices.acknowledge(ClaimNotice(1, POOL, 7))
            await asyncio.sleep(0.3)
        lines = find_lines(caplog, ACKNOWLEDGED)
        assert 2 <= len(lines) <= 4
        notices.acknowledge(ClaimNotice(2, POOL, 8))
        (later,) = find_lines(caplog, ACKNOWLEDGED)[len(lines) :]
        assert later.term == 8

    run_scenario(scenario)
