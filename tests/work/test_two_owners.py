"""A cut-off owner and its successor, each of which reaches some of the hosts.

Guards against the users' TWICE on rahma-sched and stanroad: the former owner took the
leases of hosts that it did not reach for expired, while its successor renewed them, and
started their tasks again on a host that the successor had not reached.
"""

import asyncio

import pytest

from siskinroad.work.claim import PROGRESS_PRODUCER
from siskinroad.work.records import (
    OWNER_KEY,
    OwnerRecord,
    job_topic,
    progress_topic,
    record_of,
)
from tests.work.cell import POOL, job, step
from tests.work.cut_hosts import (
    check_never_twice,
    cut_daemon,
    start_view,
    start_views,
)
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import NAMES, wait_for_owner

# Seconds after its last read of the claims for which an owner may act.
OWNED_S = 10.0
# Seconds after which an owner that is cut off has stopped, and all its leases too.
STOPPED_S = 16.0


def now():
    return asyncio.get_running_loop().time()


async def sleep_until(at):
    await asyncio.sleep(at - now())


def find_busy(cell):
    return {name for name, host in cell.hosts.hosts.items() if host.runs}


async def submit_and_start(cell, count, **fields):
    spec = job(step(count, **fields))
    await cell.submit("a", JOB_ID, spec)
    await cell.wait_for_starts(count)
    await asyncio.sleep(0.5)


@pytest.mark.parametrize(
    ("duration_s", "cpu_milli", "spread"),
    [(1.5, 4000, 0), (3.0, 4000, 0), (30.0, 4000, 0), (3.0, 16000, 1)],
)
def test_no_task_starts_again_on_the_host_that_only_a_cut_off_owner_reaches(
    duration_s, cpu_milli, spread
):
    async def scenario(cell):
        views = await start_views(cell, duration_s)
        needs = {"cpu_milli": cpu_milli, "spread": spread}
        await submit_and_start(cell, 3, estimate=duration_s, **needs)
        owner, cut_at = cell.owner(), now()
        cut_daemon(cell, views, owner, {"i-0", "i-1"}, {"i-2"})
        await wait_for_owner(cell, {owner})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def test_no_task_starts_again_while_a_successor_reaches_all_hosts():
    async def scenario(cell):
        views = await start_views(cell, 3.0)
        await submit_and_start(cell, 3, estimate=3.0)
        owner, cut_at = cell.owner(), now()
        cut_daemon(cell, views, owner, {"i-0", "i-1"})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def test_no_task_starts_again_by_a_successor_that_is_cut_off_in_its_turn():
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        await submit_and_start(cell, 3, estimate=60.0)
        first = cell.owner()
        cut_daemon(cell, views, first, {"i-0", "i-1", "i-2"})
        second = await wait_for_owner(cell, {first})
        await asyncio.sleep(0.5)
        cut_at, busy = now(), find_busy(cell)
        idle = set(cell.hosts.hosts) - busy
        cut_daemon(cell, views, second, busy, idle)
        views[first].cut = {"i-0", "i-1", "i-2"}
        await wait_for_owner(cell, {first, second})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def test_no_task_starts_again_by_an_owner_that_is_deposed_before_it_has_settled():
    # The successor of an owner that has restarted waits for its leases on a host that
    # it does not reach. Its own successor reaches that host, and renews the lease.
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        await submit_and_start(cell, 3, estimate=60.0)
        busy = find_busy(cell)
        idle = set(cell.hosts.hosts) - busy
        first = cell.owner()
        await cell.kill(first)
        views[first] = start_view(cell, first)
        for view in views.values():
            view.cut = set(busy)
        second = await wait_for_owner(cell, set())
        await asyncio.sleep(0.5)
        cut_at = now()
        for name in NAMES:
            views[name].cut = set()
        cut_daemon(cell, views, second, busy, idle)
        await wait_for_owner(cell, {second})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def test_no_task_starts_again_after_the_longest_wait_for_a_silent_host():
    # The first owner is cut off, with a host that only it reaches. The second one waits
    # 14.4 s for that host, and is cut off in that time.
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        await submit_and_start(cell, 3, estimate=60.0)
        first, busy = cell.owner(), find_busy(cell)
        idle = set(cell.hosts.hosts) - busy
        cut_daemon(cell, views, first, idle, busy)
        second = await wait_for_owner(cell, {first})
        await asyncio.sleep(7.0)
        cut_at = now()
        for name in NAMES:
            views[name].cut = set()
        views[first].cut = set(idle)
        cut_daemon(cell, views, second, busy, idle)
        await wait_for_owner(cell, {first, second})
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


@pytest.mark.parametrize("call_delay_s", [0.5, 2.0])
def test_no_host_is_called_10_s_after_a_claim_that_follows_one_with_slow_reads(
    call_delay_s,
):
    # The later claim is stored right after the owner's, whose reads take seconds. Its
    # owner waits from then on, so reads that end later must not prolong the ownership.
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        topic = cell.logs.topic(job_topic(POOL))
        end = topic.end
        cell.logs.faults.call_delay_s = call_delay_s
        await cell.kill(cell.owner())
        while not any(r.key == OWNER_KEY for r in topic.records[end:]):
            await asyncio.sleep(0.01)
        claimed_at = now()
        later = record_of(OwnerRecord("z", 1))
        cell.logs.append(job_topic(POOL), [later], None, None)
        second = await wait_for_owner(cell, set())
        cut_daemon(cell, views, second, set(), cell.hosts.hosts)
        await asyncio.sleep(20.0)
        called_after_s = views[second].called_at - claimed_at
        assert called_after_s < OWNED_S

    run_scenario(scenario)


def slow_down(daemon, call_delay_s):
    """Let each of a daemon's calls to the store take some seconds."""
    direct = daemon.claim_manager._store.direct

    async def simulate_delay(timeout):
        await asyncio.sleep(call_delay_s)
        await direct._raise_if_unreachable(timeout)

    direct._simulate_delay = simulate_delay


async def wait_for_claimant(cell):
    """Wait until a daemon is claiming the pool; return its name."""
    while True:
        for name, daemon in cell.daemons.items():
            if daemon.claim_manager.claiming:
                return name
        await asyncio.sleep(0.005)


def test_leases_of_an_owner_whose_claim_took_seconds_end_before_its_successors_wait():
    # The second owner reads three pages for its claim, in 1.3 s each. Meanwhile
    # its successor claims, and waits 14.4 s for the hosts that only the second reaches.
    async def scenario(cell):
        views = await start_views(cell, 0.1)
        for job_id in ("00000000000000ba", "00000000000000bb"):
            await cell.submit("a", job_id, job())
            await cell.wait_for_state(job_id, "complete")
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 60.0
        await cell.submit("a", JOB_ID, job(step(3, estimate=60.0)))
        await cell.wait_for_starts(5)
        await asyncio.sleep(0.5)
        first, busy = cell.owner(), find_busy(cell)
        idle = set(cell.hosts.hosts) - busy
        cell.logs.faults.call_delay_s = 0.05
        cell.logs.page_size = 1
        cut_daemon(cell, views, first, idle, busy)
        second = await wait_for_claimant(cell)
        slow_down(cell.daemons[second], 1.3)
        epochs = cell.logs.topic(progress_topic(POOL)).epochs
        epoch = epochs[PROGRESS_PRODUCER]
        while epochs[PROGRESS_PRODUCER] == epoch:
            await asyncio.sleep(0.01)
        cut_at = now()
        cut_daemon(cell, views, second, idle, busy)
        views[first].cut = set(idle)
        cell.logs.faults.cut.discard(second)
        while POOL not in cell.daemons[second].owners:
            await asyncio.sleep(0.005)
        cell.logs.faults.cut.add(second)
        await sleep_until(cut_at + 20.0)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


@pytest.mark.parametrize("is_heard", [False, True])
def test_no_task_starts_again_if_daemons_are_cut_off_in_one_direction(is_heard):
    async def scenario(cell):
        views = await start_views(cell, 30.0)
        await submit_and_start(cell, 3, estimate=30.0)
        owner, cut_at = cell.owner(), now()
        cut_daemon(cell, views, owner, {"i-0", "i-1"}, {"i-2"})
        for other in NAMES:
            healed = (owner, other) if is_heard else (other, owner)
            cell.network.faults.cut.discard(healed)
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


@pytest.mark.parametrize("way", ["now and then", "relay"])
def test_no_task_starts_again_by_an_owner_that_reaches_the_store_at_times(way):
    async def scenario(cell):
        views = await start_views(cell, 30.0)
        await submit_and_start(cell, 3, estimate=30.0)
        owner, cut_at = cell.owner(), now()
        deposed = cell.daemons[owner].owners[POOL]
        cut_daemon(cell, views, owner, {"i-0", "i-1"}, {"i-2"})
        if way == "relay":
            other = next(name for name in NAMES if name != owner)
            cell.network.faults.cut -= {(owner, other), (other, owner)}
        while now() < cut_at + STOPPED_S:
            await asyncio.sleep(2.0)
            if way == "now and then":
                cell.logs.faults.cut.discard(owner)
                await asyncio.sleep(2.0)
                cell.logs.faults.cut.add(owner)
        assert cell.daemons[owner].owners.get(POOL) is not deposed
        check_never_twice(cell, cut_at)

    run_scenario(scenario)
