"""A host that forgets the token of a successor before a former owner reaches it."""

import asyncio

import pytest

from tests.work.cell import POOL
from tests.work.cut_hosts import check_never_twice, watch_host
from tests.work.test_daemon import run_scenario
from tests.work.test_lease_limits import Cut
from tests.work.test_two_owners import now, sleep_until


@pytest.mark.parametrize("is_new", [False, True])
@pytest.mark.parametrize("restart_after_s", [0.3, 1.0, 2.0])
def test_a_host_that_forgets_the_successors_token_lets_no_task_run_twice(
    restart_after_s, is_new
):
    async def scenario(cell):
        cut = Cut(cell)
        await cut.start(4)
        second, *rest = cut.others
        shown = "z-0" if is_new else cut.host
        if is_new:
            cut.views[cut.owner].cut = {shown}
            cell.add_host(shown)
            watch_host(cell, shown, 1000.0)
            await asyncio.sleep(1.5)
            (stored,) = cell.daemons[cut.owner].owners[POOL].progress.list_host_sets()
            assert shown in stored.names
        cut.begin(rest)
        cell.logs.faults.cut |= set(rest)
        cut.cut_pairs(second, rest)
        hosts = set(cell.hosts.hosts)
        # The successor needs the answers of two of the stored hosts.
        shown = {shown, max(hosts - {shown, cut.host})}
        cut.views[cut.owner].cut = shown if is_new else set()
        for name in cut.others:
            cut.views[name].cut = hosts - shown
        for number in range(4):
            cell.add_host(f"x-{number}")
            watch_host(cell, f"x-{number}", 1000.0)
        while POOL not in cell.daemons[second].owners:
            await asyncio.sleep(0.01)
        await asyncio.sleep(restart_after_s)
        cut.views[second].cut = hosts
        for name in shown:
            host = cell.hosts.hosts[name]
            host.down_s = 0.1
            host.crash()
        cut.views[cut.owner].cut = set()
        wait = cell.daemons[second].owners[POOL].former_owners.shortened_by
        assert wait
        await sleep_until(now() + 14.0)
        check_never_twice(cell, cut.at)

    run_scenario(scenario, hosts=4)
