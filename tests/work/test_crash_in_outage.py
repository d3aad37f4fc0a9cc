"""Hosts that crash in an outage of the store, in which no daemon takes over.

The pool's owner goes on by what it read last. The tasks of a lost host run elsewhere as
soon as its lease has certainly expired, or as it is found to have restarted.
"""

import asyncio

import pytest

from tests.work.cell import job, step
from tests.work.cut_hosts import check_never_twice, start_views
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_two_owners import now, sleep_until

# Seconds of the outage, and from its begin to the crash.
OUTAGE_S = 9.0
CRASH_AFTER_S = 1.0
# Seconds of a lease with its slack, a call without a reply and two ticks.
RERUN_S = 6.5


@pytest.mark.parametrize("down_s", [3.2, 1e9])
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("begins_after_s", [0.0, 2.0])
def test_tasks_of_a_host_that_crashes_run_again_though_the_store_is_away(
    down_s, is_silent, begins_after_s
):
    async def scenario(cell):
        await start_views(cell, 60.0)
        spec = job(step(3, cpu_milli=16000, spread=1, estimate=60.0))
        await cell.submit("a", JOB_ID, spec)
        await cell.wait_for_starts(3)
        await asyncio.sleep(begins_after_s)
        began_at = now()
        cell.logs.faults.is_silent = True
        await sleep_until(began_at + CRASH_AFTER_S)
        host = cell.hosts.hosts[cell.hosts.starts()[0].host]
        host.down_s = down_s
        host.crash()
        if is_silent:
            # Calls are lost until the host is up again, not refused.
            host.down_until = now()
            host.is_silent = True
            loop = asyncio.get_running_loop()
            loop.call_later(down_s, setattr, host, "is_silent", False)
        await sleep_until(began_at + OUTAGE_S)
        again = cell.hosts.starts()[3:]
        cell.logs.faults.is_silent = False
        await asyncio.sleep(5.0)
        crashed_at = host.crash_times[0]
        assert [start.at - crashed_at < RERUN_S for start in again] == [True]
        check_never_twice(cell, began_at)

    run_scenario(scenario, hosts=4)
