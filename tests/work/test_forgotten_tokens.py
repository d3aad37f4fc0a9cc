"""Hosts that restart behind a cut and so forget the token of the pool's successor.

Guards against the users' TWICE: the former owner reaches such a host while it may still
act, and starts there what its successor runs elsewhere or knows to be done.
"""

import asyncio

import pytest

from siskinroad.work.store import StoreUnavailableError
from tests.work.cell import SLOW, job, step
from tests.work.cut_hosts import check_never_twice, cut_daemon, start_views, watch_host
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import NAMES, wait_for_owner
from tests.work.test_two_owners import STOPPED_S, now, sleep_until, submit_and_start

HOSTS = {"i-0", "i-1", "i-2"}
WAITING_JOB_ID = "00000000000000bb"
# Seconds for which a host restarts.
RESTART_S = 0.3


def restart_behind_cut(cell, views, owner, names):
    """Restart hosts; from now on only the former owner reaches them."""
    for name, view in views.items():
        if name != owner:
            view.cut |= names
    for name in sorted(names):
        cell.hosts.hosts[name].down_s = RESTART_S
        cell.hosts.hosts[name].crash()
    views[owner].cut -= names


def test_a_task_that_waited_at_the_cut_does_not_start_on_a_restarted_host():
    # The successor runs it on a host that was added after the cut.
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        await cell.submit("a", JOB_ID, job(step(12, cpu_milli=8000)), SLOW)
        await cell.wait_for_starts(12)
        await cell.submit("a", WAITING_JOB_ID, job(step(3, cpu_milli=8000)))
        await asyncio.sleep(0.5)
        owner, cut_at = cell.owner(), now()
        cut_daemon(cell, views, owner, HOSTS)
        await wait_for_owner(cell, {owner})
        cell.add_host("i-3")
        watch_host(cell, "i-3", 60.0)
        await cell.wait_for_starts(15)
        restart_behind_cut(cell, views, owner, {"i-2"})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def test_a_task_done_under_the_successor_does_not_start_on_its_restarted_host():
    async def scenario(cell):
        views = await start_views(cell, 1.5)
        await submit_and_start(cell, 3, cpu_milli=16000, spread=1, estimate=1.5)
        owner, cut_at = cell.owner(), now()
        cut_daemon(cell, views, owner, HOSTS)
        await wait_for_owner(cell, {owner})
        await sleep_until(cut_at + 2.5)
        restart_behind_cut(cell, views, owner, {"i-2"})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


@pytest.mark.parametrize("is_gone", [False, True])
def test_no_task_starts_again_as_another_host_answers_at_an_address(is_gone):
    # Its host runs on at another address, or has ended the task before it left.
    async def scenario(cell):
        views = await start_views(cell, 1.5 if is_gone else 60.0)
        await submit_and_start(cell, 3, cpu_milli=16000, spread=1)
        owner, cut_at = cell.owner(), now()
        left = cell.hosts.starts()[0].host
        idle = set(cell.hosts.hosts) - {start.host for start in cell.hosts.starts()}
        cut_daemon(cell, views, owner, set(cell.hosts.hosts) - idle, idle)
        await wait_for_owner(cell, {owner})
        await sleep_until(cut_at + 2.5)
        if is_gone:
            cell.unlist(left)
            cell.hosts.hosts[left].is_replaced = True
        views[owner].replaced = {left}
        views[owner].cut.remove(left)
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario, hosts=4)


def test_another_host_at_an_address_of_an_old_list_does_not_settle_tasks():
    # The former owner reaches the host at its present address. The successor has read
    # the claims, but not the list.
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        await submit_and_start(cell, 3, estimate=60.0)
        owner, cut_at = cell.owner(), now()
        busy = {name for name, host in cell.hosts.hosts.items() if host.runs}
        for name, view in views.items():
            if name != owner:
                view.replaced = set(busy)
                stop_list_reads(cell.daemons[name])
        cut_daemon(cell, views, owner, set(cell.hosts.hosts) - busy)
        await wait_for_owner(cell, {owner})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def stop_list_reads(daemon):
    """Let a daemon's reads of the live list fail from now on."""

    async def fail():
        raise StoreUnavailableError("partly down", step="test")

    daemon.hosts_follower._fetch = fail
    daemon.hosts_follower.restart_read()


@pytest.mark.parametrize("unreached", [{"i-2"}, HOSTS], ids=["one", "all"])
def test_a_report_of_a_restarted_host_does_not_settle_tasks_of_a_killed_owner(
    unreached,
):
    # The owner's first report of these hosts is that of their next incarnation. Its
    # successor has reached them before, and the ends of all tasks have been noted.
    async def scenario(cell):
        views = await start_views(cell, 3.0)
        await submit_and_start(cell, 3, cpu_milli=16000, spread=1, estimate=3.0)
        for view in views.values():
            view.cut = set(unreached)
        await cell.kill(cell.owner())
        second = await wait_for_owner(cell, set())
        await asyncio.sleep(0.5)
        cut_at = now()
        for name in NAMES:
            views[name].cut = set()
        cut_daemon(cell, views, second, HOSTS)
        await wait_for_owner(cell, {second})
        await sleep_until(cut_at + 3.5)
        restart_behind_cut(cell, views, second, unreached)
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)
