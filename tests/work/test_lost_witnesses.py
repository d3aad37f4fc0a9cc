"""Losses of witnesses together with those of hosts, or of the owner itself."""

import asyncio

import pytest

from tests.work.cell import job, step
from tests.work.cut_hosts import watch_host
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import CALM_S
from tests.work.test_two_owners import find_busy, now


async def start_lasting_tasks(cell, names, tasks=3):
    for name in list(cell.hosts.hosts):
        watch_host(cell, name, 1000.0)
    await cell.start_daemons(*names)
    spec = job(step(tasks, cpu_milli=16000, spread=1, estimate=1000.0))
    await cell.submit(names[0], JOB_ID, spec)
    await cell.wait_for_starts(tasks)
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("loses_host", [False, True])
@pytest.mark.parametrize("loses_daemon", [False, True])
@pytest.mark.parametrize("size", [4, 9])
def test_an_idle_host_and_a_daemon_lost_in_an_outage_cost_no_lease(
    size, loses_daemon, loses_host
):
    async def scenario(cell):
        await start_lasting_tasks(cell, "abcdefghi"[:size])
        owner = cell.owner()
        (idle,) = set(cell.hosts.hosts) - find_busy(cell)
        cell.logs.faults.is_silent = True
        if loses_daemon:
            await cell.kill(next(n for n in cell.daemons if n != owner), True)
        if loses_host:
            host = cell.hosts.hosts[idle]
            host.down_s = 1e9
            host.crash()
        await asyncio.sleep(8.0)
        running = len(find_busy(cell))
        cell.logs.faults.is_silent = False
        await asyncio.sleep(6.0)
        assert (running, len(cell.hosts.starts())) == (3, 3)

    run_scenario(scenario, hosts=4)


def check_soon_after_loss_in_cell_of_twelve(lost):
    async def scenario(cell):
        names = "abcdefghijkl"
        await start_lasting_tasks(cell, names)
        owner = cell.owner()
        others = [n for n in names if n != owner]
        gone = min(find_busy(cell))
        for name in (owner, *others[:lost]):
            await cell.kill(name, True)
        host = cell.hosts.hosts[gone]
        task = next(iter(host.runs.values())).task
        host.down_s = 1e9
        host.crash()
        cell.unlist(gone)
        at = now()
        while now() - at < 20.0:
            if sum(s.task == task for s in cell.hosts.starts()) > 1:
                break
            await asyncio.sleep(0.05)
        assert now() - at < CALM_S, now() - at

    run_scenario(scenario, hosts=4)


@pytest.mark.parametrize("lost", [6, 7])
def test_most_members_of_a_cell_of_twelve_lost_with_the_owner_delay_no_task(lost):
    check_soon_after_loss_in_cell_of_twelve(lost)


def test_all_but_one_of_a_cell_of_twelve_lost_with_the_owner_delay_no_task():
    check_soon_after_loss_in_cell_of_twelve(10)


def check_soon_after_all_hosts_are_replaced(lost):
    async def scenario(cell):
        await start_lasting_tasks(cell, "abcd")
        owner = cell.owner()
        others = [n for n in "abcd" if n != owner]
        for name in (owner, *others[:lost]):
            await cell.kill(name, True)
        # None of the stored hosts is left to reject the lost owner's token.
        for name in list(cell.hosts.hosts):
            host = cell.hosts.hosts[name]
            host.down_s = 1e9
            host.crash()
            cell.unlist(name)
            cell.add_host(f"{name}-next")
        at = now()
        while now() - at < 20.0:
            if len(cell.hosts.starts()) >= 6:
                break
            await asyncio.sleep(0.05)
        assert now() - at < CALM_S, now() - at

    run_scenario(scenario, hosts=4)


def test_all_hosts_replaced_beside_the_loss_of_owner_and_another_delay_no_task():
    check_soon_after_all_hosts_are_replaced(1)


def test_all_hosts_replaced_beside_the_loss_of_owner_and_two_others_delay_no_task():
    check_soon_after_all_hosts_are_replaced(2)


@pytest.mark.parametrize(("size", "lost"), [(9, 2), (12, 2), (12, 3), (39, 3)])
def test_few_of_many_daemons_lost_in_an_outage_cost_no_lease(size, lost):
    async def scenario(cell):
        names = [f"n{number:02d}" for number in range(size)]
        await start_lasting_tasks(cell, names)
        owner = cell.owner()
        cell.logs.faults.is_silent = True
        for name in [n for n in names if n != owner][:lost]:
            await cell.kill(name, True)
        await asyncio.sleep(8.0)
        running = len(find_busy(cell))
        cell.logs.faults.is_silent = False
        await asyncio.sleep(6.0)
        assert (running, len(cell.hosts.starts())) == (3, 3)

    run_scenario(scenario, hosts=4)


def test_a_daemon_and_an_idle_host_that_restart_in_an_outage_cost_no_lease():
    async def scenario(cell):
        await start_lasting_tasks(cell, "abcdefg")
        owner = cell.owner()
        (idle,) = set(cell.hosts.hosts) - find_busy(cell)
        cell.logs.faults.is_silent = True
        name = next(n for n in cell.daemons if n != owner)
        await cell.kill(name, True)
        host = cell.hosts.hosts[idle]
        host.down_s = 0.5
        host.crash()
        await asyncio.sleep(0.7)
        cell.start(name)
        await asyncio.sleep(8.0)
        running = len(find_busy(cell))
        cell.logs.faults.is_silent = False
        await asyncio.sleep(6.0)
        assert (running, len(cell.hosts.starts())) == (3, 3)

    run_scenario(scenario, hosts=4)


@pytest.mark.parametrize("lost", range(3))
def test_others_that_were_dark_before_the_loss_of_the_owner_delay_no_task(lost):
    # One of them stays lost, whichever it is.
    async def scenario(cell):
        await start_lasting_tasks(cell, "abcd")
        owner = cell.owner()
        others = [n for n in "abcd" if n != owner]
        for name in others:
            await cell.kill(name, True)
        await asyncio.sleep(6.0)
        (stored,) = cell.daemons[owner].owners["desk"].progress.list_host_sets()
        await cell.kill(owner, True)
        gone = min(find_busy(cell))
        host = cell.hosts.hosts[gone]
        task = next(iter(host.runs.values())).task
        host.down_s = 1e9
        host.crash()
        cell.unlist(gone)
        for name in others[:lost] + others[lost + 1 :]:
            cell.start(name)
        at = now()
        while now() - at < 20.0:
            if sum(s.task == task for s in cell.hosts.starts()) > 1:
                break
            await asyncio.sleep(0.05)
        assert now() - at < CALM_S, (now() - at, stored.witnesses)

    run_scenario(scenario, hosts=4)
