"""Tests of admission in daemons: what is stored, what is repeated, and failures."""

import asyncio

from siskinroad.work.forecast_check import MIN_SAMPLES
from siskinroad.work.job_service import ReplyKind
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_load_forecast import make_record

LOAD_REASONS = ("load_of_no_use", "load_delays_others", "load_account_over_weight")


def trust_forecast(cell):
    """Let the owner's forecast count as proven; in a day it takes 20 jobs."""
    accuracy = cell.daemons[cell.owner()].owners[POOL].admission_gate.forecast.check
    for _ in range(MIN_SAMPLES):
        accuracy.accuracy("fast").record_end(make_record(1.0), 1.0)
    accuracy.accuracy("fast").wait_factor = 1.0


async def start_overloaded(cell, sheds_load=True):
    """Start three daemons, and fill the pool for half a minute."""
    cell.sheds_load = sheds_load
    await cell.start_daemons("a", "b", "c")
    if sheds_load:
        trust_forecast(cell)
    for number in range(24):
        # Each takes the three hosts for a second and a half.
        spec = job(step(24, estimate=1.5))
        await cell.submit("a", f"{number:016x}", spec)
    await asyncio.sleep(0.5)


def other_daemon(cell):
    return next(name for name in cell.daemons if name != cell.owner())


def test_a_refused_job_is_not_stored_and_is_told_when_to_return():
    async def scenario(cell):
        await start_overloaded(cell)
        for name in (other_daemon(cell), cell.owner()):
            reply = await cell.submit(name, JOB_ID, job())
            assert reply.kind is ReplyKind.NOT_NOW
            assert reply.reason in LOAD_REASONS
            assert reply.retry_after >= 1
        await asyncio.sleep(1.0)
        assert await cell.state("a", JOB_ID) == ReplyKind.NO_JOB
        metrics = cell.daemons[cell.owner()].metrics.render().decode()
        assert 'siskinroad_jobs_turned_away_total{account="",queue="fast"' in metrics

    run_scenario(scenario)


def test_a_repeat_of_an_accepted_job_is_not_turned_away():
    async def scenario(cell):
        await start_overloaded(cell)
        first = f"{0:016x}"
        last = f"{23:016x}"
        for name in cell.daemons:
            known = await cell.submit(name, first, job(step(24, estimate=1.5)))
            assert known.kind is ReplyKind.OK
            state = await cell.state(name, last)
            if state != ReplyKind.NO_JOB:
                reply = await cell.submit(name, last, job(step(24, estimate=1.5)))
                assert reply.kind is ReplyKind.OK

    run_scenario(scenario)


def test_nothing_is_turned_away_unless_the_settings_ask_for_it():
    async def scenario(cell):
        await start_overloaded(cell, sheds_load=False)
        assert (await cell.submit("a", JOB_ID, job())).kind is ReplyKind.OK

    run_scenario(scenario)


def test_nothing_is_turned_away_by_the_forecast_of_a_dead_owner():
    async def scenario(cell):
        await start_overloaded(cell)
        former = cell.owner()
        assert (await cell.submit(former, JOB_ID, job())).reason in LOAD_REASONS
        await cell.kill(former, loses_power=True)
        for number in range(20):
            name = next(iter(cell.daemons))
            reply = await cell.submit(name, f"{100 + number:016x}", job())
            assert reply.reason not in LOAD_REASONS
            await asyncio.sleep(0.2)

    run_scenario(scenario)


def test_nothing_is_turned_away_for_load_while_the_store_is_down():
    async def scenario(cell):
        await start_overloaded(cell)
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(3.0)
        for number, name in enumerate(cell.daemons):
            reply = await cell.submit(name, f"{100 + number:016x}", job())
            assert reply.kind is not ReplyKind.OK
            assert reply.reason not in LOAD_REASONS

    run_scenario(scenario)
