"""Hosts that a successor need not wait for, as nothing of their owner can run there."""

import asyncio

import pytest

from siskinroad.resources import NOTHING
from siskinroad.work.host import Run
from siskinroad.work.model import TaskId
from siskinroad.work.used_hosts import list_used_hosts
from tests.work.cell import POOL, entry, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import NAMES, cut_off, wait_for_owner
from tests.work.test_planner import make_pool_state

HOSTS = 8
LEAVING = ("i-0", "i-1", "i-2", "i-3")
LASTING = step(HOSTS, cpu_milli=20000, estimate=1000.0)
LASTING_TASK = step(1, cpu_milli=20000, estimate=1000.0)
WAITING_ID = JOB_ID + "-waiting"
# Seconds between two hosts that begin to leave, and from then to their end.
LEAVE_INTERVAL_S = 0.5
STAY_S = 1.0
# Seconds from the loss of an owner that the others notice by its silence: 0.75 s, and
# calls for the claim and to the hosts.
TAKEOVER_S = 1.5


async def start_lasting_tasks(cell):
    """Start daemons, and a task that lasts on each host."""
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 1000.0
    await cell.start_daemons(*NAMES)
    await cell.submit("a", JOB_ID, job(LASTING))
    await cell.wait_for_starts(HOSTS)
    await asyncio.sleep(1.0)


async def replace_host(cell, name):
    """Let a host drain, and leave once its runs have been stopped."""
    cell.add_host(f"{name}-next", task_duration_s=1000.0)
    cell.drain(name)
    await asyncio.sleep(STAY_S)
    assert not cell.hosts.hosts[name].runs
    cell.hosts.hosts[name].down_s = 1e9
    cell.hosts.hosts[name].crash()
    cell.unlist(name)


async def replace_hosts(cell):
    """Replace hosts, two a second; return as the last one has left."""
    leaving = []
    for name in LEAVING:
        leaving.append(asyncio.ensure_future(replace_host(cell, name)))
        await asyncio.sleep(LEAVE_INTERVAL_S)
    await asyncio.gather(*leaving)


async def find_wait_s(cell, began_at):
    """Return the seconds until the task starts that has waited for capacity."""
    while asyncio.get_running_loop().time() - began_at < 20.0:
        for start in cell.hosts.starts():
            if start.task.job == WAITING_ID:
                return start.at - began_at
        await asyncio.sleep(0.02)
    raise AssertionError("the task does not start")


@pytest.mark.parametrize("is_deposed", [False, True], ids=["lost", "deposed"])
def test_accepted_tasks_wait_for_no_host_that_left_before_their_owner_was_lost(
    is_deposed,
):
    async def scenario(cell):
        await start_lasting_tasks(cell)
        await replace_hosts(cell)
        await cell.submit("a", WAITING_ID, job(LASTING_TASK))
        await asyncio.sleep(0.3)
        owner = cell.owner()
        lost_at = asyncio.get_running_loop().time()
        if is_deposed:
            cut_off(cell, owner, True)
        else:
            await cell.kill(owner, loses_power=True)
        cell.add_host("i-spare")
        await wait_for_owner(cell, {owner})
        assert await find_wait_s(cell, lost_at) < TAKEOVER_S
        assert len(cell.hosts.starts()) == HOSTS + len(LEAVING) + 1

    run_scenario(scenario, hosts=HOSTS)


def make_draining_host():
    """Return a pool and a host of it that drains, without work."""
    pool_state = make_pool_state(["i-0", "i-1"])
    pool_state.add_or_update_host(entry("i-0", draining=True))
    return pool_state, pool_state.hosts["i-0"]


def test_a_successor_waits_for_no_host_that_drains_and_has_no_work_left():
    pool_state, _ = make_draining_host()
    assert list_used_hosts(pool_state) == {"i-1"}


@pytest.mark.parametrize("state", ["ordered", "withdrawn", "doubtful", "stopping"])
def test_a_draining_host_with_a_run_in_any_state_is_not_forgotten(state):
    pool_state, host = make_draining_host()
    run = Run((TaskId("j", 0, 0, 0), 1), NOTHING, 1, 0.0, ("j", 0, 0), state=state)
    host.add_run(run)
    assert list_used_hosts(pool_state) == {"i-0", "i-1"}
    host.remove_run(run)
    assert list_used_hosts(pool_state) == {"i-1"}


def test_a_draining_host_is_not_forgotten_before_the_ends_of_its_runs_are_stored():
    pool_state, host = make_draining_host()
    host.last_end_seen = 3
    assert list_used_hosts(pool_state) == {"i-0", "i-1"}
    host.last_end_stored = 3
    assert list_used_hosts(pool_state) == {"i-1"}


def test_no_host_is_forgotten_while_runs_of_former_owners_may_exist():
    pool_state, _ = make_draining_host()
    pool_state.is_settled = False
    pool_state.former_owner_hosts = {"i-0", "i-7"}
    assert list_used_hosts(pool_state) == {"i-0", "i-1", "i-7"}


@pytest.mark.parametrize("has_answered", [False, True])
def test_a_host_that_is_only_missing_in_the_list_for_a_while_stays_in_use(has_answered):
    pool_state = make_pool_state(["i-0", "i-1"])
    pool_state.hosts["i-0"].is_settled = has_answered
    pool_state.note_host_unlisted("i-0", 1.0)
    assert ("i-0" in list_used_hosts(pool_state)) == has_answered


async def find_owner_without(cell, name):
    """Return the owner once the stored set of hosts leaves out a draining host."""
    owner = cell.daemons[cell.owner()].owners[POOL]
    host = owner.pool_state.hosts[name]
    assert host.is_stored
    cell.drain(name)
    await asyncio.sleep(1.0)
    assert not host.is_stored and not owner.progress.has_unstored_changes
    assert [name not in each.names for each in owner.progress.list_host_sets()] == [
        True
    ]
    return owner


@pytest.mark.parametrize("fault", ["silent", "replies lost"])
def test_nothing_starts_on_a_host_that_drains_no_more_until_it_is_stored_again(fault):
    # A successor that reads the set without the host would not wait for it.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        owner = await find_owner_without(cell, "i-0")
        faults = cell.logs.faults
        faults.is_silent = fault == "silent"
        faults.lost_replies = 1 if fault == "replies lost" else 0
        owner.apply_host_list({f"i-{i}": entry(f"i-{i}") for i in range(3)})
        host = owner.pool_state.hosts["i-0"]
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        assert not host.is_usable(loop.time())
        faults.is_silent = False
        await asyncio.sleep(5.0)
        assert host.is_usable(loop.time())
        assert "i-0" in owner.progress.list_host_sets()[0].names

    run_scenario(scenario)


def test_an_owner_that_releases_its_pool_does_not_wait_to_store_a_draining_host():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        owner = await find_owner_without(cell, "i-0")
        assert not owner.progress.has_unstored_changes
        await cell.daemons[cell.owner()].drain()
        await asyncio.sleep(1.0)

    run_scenario(scenario)
