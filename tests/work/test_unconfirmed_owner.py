"""An owner whose claim is not confirmed, as after a pause, sends no command to hosts.

Its permission to act ends by itself. What it decided before, or decides from what it
still believes, waits until its claim is confirmed.
"""

import asyncio

import pytest

from siskinroad.work.effects import StopRun, ThrottleRun
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario


async def start_job(cell):
    """Run a job of two long tasks; return the pool's owner."""
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 60.0
    await cell.start_daemons("a")
    await cell.submit("a", JOB_ID, job(step(2, estimate=60.0)))
    await cell.wait_for_starts(2)
    await asyncio.sleep(1.0)
    return cell.daemons["a"].owners[POOL]


def make_effect(kind, host, run):
    if kind == "stop":
        run.move("stop")
        return StopRun(host.name, run, "test")
    return ThrottleRun(host.name, run, 50, 100)


@pytest.mark.parametrize("kind", ["stop", "throttle", "start"])
def test_no_command_is_sent_before_the_claim_is_confirmed(kind):
    async def scenario(cell):
        owner = await start_job(cell)
        cell.logs.faults.is_silent = True
        owner.revoke_confirmation()
        # Renewals that are in progress end.
        await asyncio.sleep(2.0)
        calls = cell.hosts.calls
        if kind == "start":
            await cell.submit("a", "00000000000000bb", job())
        else:
            host = next(h for h in owner.pool_state.hosts.values() if h.runs)
            run = next(iter(host.runs.values()))
            owner._execute_effects([make_effect(kind, host, run)])
        await asyncio.sleep(1.0)
        assert cell.hosts.calls == calls

    run_scenario(scenario)


def test_a_stop_is_sent_once_the_claim_is_confirmed_again():
    async def scenario(cell):
        owner = await start_job(cell)
        cell.logs.faults.is_silent = True
        owner.revoke_confirmation()
        await asyncio.sleep(0.2)
        host = next(h for h in owner.pool_state.hosts.values() if h.runs)
        run = next(iter(host.runs.values()))
        owner._execute_effects([make_effect("stop", host, run)])
        await asyncio.sleep(1.0)
        assert run.key[0] in cell.hosts.hosts[host.name].runs
        cell.logs.faults.is_silent = False
        while not owner.term.is_owner_confirmed():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        present = cell.hosts.hosts[host.name].runs.get(run.key[0])
        assert present is None or present.run > run.key[1]

    run_scenario(scenario)
