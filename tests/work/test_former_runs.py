"""Planned stops of an owner that tells of its runs, beside hosts that are silent.

Its successor need not wait for a silent host with tasks that cannot run there, and must
not start one again that can.
"""

import asyncio
import os
import random

import pytest

from siskinroad.work.former_runs import FormerRuns, find_former_runs
from siskinroad.work.job import Job
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import (
    Accepted,
    HostSet,
    KnownRuns,
    Released,
    decode_stored,
    encode_stored,
)
from siskinroad.work.run_table import MAX_UNSTORED_RUNS
from siskinroad.work.store import StoreUnavailableError
from siskinroad.work.store_memory import MemoryStore
from tests.work.cell import POOL, SLOW, job, step
from tests.work.cut_hosts import check_never_twice, start_view, start_views, watch_host
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import CALM_S, leave, wait_for_owner
from tests.work.test_two_owners import find_busy, now, submit_and_start

WAITING_ID = "00000000000000bb"
# Seconds within which a successor of a planned stop has read the claims since.
TOLD_S = 1.5
# By hand: STOP_SEEDS=300 STOP_FIRST_SEED=1000 pytest ...
FIRST_SEED = int(os.environ.get("STOP_FIRST_SEED", "0"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("STOP_SEEDS", "15")))


async def start_lasting(cell, hosts=3):
    """Start daemons, and a lasting task that fills each host; return the views."""
    views = await start_views(cell, 1000.0)
    await submit_and_start(cell, hosts, estimate=1000.0, cpu_milli=32000)
    return views


async def stop_owner(cell):
    """Stop the owner in good order; return the time at which it began to."""
    name = cell.owner()
    stopped_at = now()
    await cell.daemons[name].drain()
    await cell.kill(name)
    return stopped_at


def list_starts(cell, job_id, since=0.0):
    starts = cell.hosts.starts()
    return [s for s in starts if s.task.job == job_id and s.at > since]


async def wait_for_start(cell, job_id, since):
    """Return when the first task of a job starts."""
    for _ in range(400):
        starts = list_starts(cell, job_id, since)
        if starts:
            return starts[0].at
        await asyncio.sleep(0.05)
    raise AssertionError("not started")


def test_a_planned_stop_makes_no_task_wait_for_a_lost_host_that_does_not_run_it():
    # All accepted tasks waited for 4.4 s as one host had left.
    async def scenario(cell):
        await start_lasting(cell)
        await cell.submit("a", WAITING_ID, job(), SLOW)
        await asyncio.sleep(0.5)
        lost = min(find_busy(cell))
        leave(cell, lost)
        cell.add_host("more")
        for name in (f"{lost}-next", "more"):
            watch_host(cell, name, 1000.0)
        stopped_at = await stop_owner(cell)
        started_at = await wait_for_start(cell, WAITING_ID, stopped_at)
        assert started_at - stopped_at < TOLD_S
        started_at = await wait_for_start(cell, JOB_ID, stopped_at)
        await asyncio.sleep(10.0)
        check_never_twice(cell, stopped_at)
        again = list_starts(cell, JOB_ID, stopped_at)
        assert len(again) == 1 and again[0].at - stopped_at < CALM_S

    run_scenario(scenario)


def test_a_task_on_a_silent_host_runs_again_once_its_lease_has_ended_and_not_before():
    async def scenario(cell):
        views = await start_lasting(cell)
        cell.add_host("more")
        watch_host(cell, "more", 1000.0)
        await asyncio.sleep(1.0)
        silent = min(find_busy(cell))
        for name, view in views.items():
            if name != cell.owner():
                view.cut = {silent}
        stopped_at = await stop_owner(cell)
        await asyncio.sleep(12.0)
        check_never_twice(cell, stopped_at)
        again = list_starts(cell, JOB_ID, stopped_at)
        assert len(again) == 1 and 3.0 < again[0].at - stopped_at < CALM_S

    run_scenario(scenario)


@pytest.mark.parametrize("late_s", [0.3, 1.0, 2.5])
def test_a_start_that_a_host_carries_out_late_is_known_to_the_next_owner(late_s):
    async def scenario(cell):
        views = await start_views(cell, 1000.0)
        await asyncio.sleep(1.0)
        for name, host in cell.hosts.hosts.items():
            host.unanswered_starts, host.late_start_delay = 1, late_s
            if name != "i-0":
                cell.hosts.hosts[name].unanswered_starts = 0
        await cell.submit("a", JOB_ID, job(step(3, cpu_milli=32000, estimate=1000.0)))
        await asyncio.sleep(0.1)
        for name, view in views.items():
            if name != cell.owner():
                view.cut = {"i-0"}
        cell.add_host("more")
        watch_host(cell, "more", 1000.0)
        stopped_at = await stop_owner(cell)
        await asyncio.sleep(12.0)
        check_never_twice(cell, stopped_at)
        assert len(find_busy(cell) - {"i-0"}) == 3

    run_scenario(scenario)


def test_a_task_whose_end_was_not_stored_runs_again_only_after_its_host_has_answered():
    # The host lists the end again, and the job would be done twice.
    class RejectingStore(MemoryStore):
        """Store that takes no progress for a while, but releases and claims."""

        is_rejecting = False

        async def append(self, topic, records, *, fence=None, **fields):
            if fence is not None and records and RejectingStore.is_rejecting:
                raise StoreUnavailableError("rejected", step="store.append")
            return await super().append(topic, records, fence=fence, **fields)

    async def scenario(cell):
        cell.open_store = RejectingStore
        views = await start_views(cell, 2.0)
        await cell.submit("a", JOB_ID, job(step(3, estimate=2.0)))
        await cell.wait_for_starts(3)
        RejectingStore.is_rejecting = True
        await asyncio.sleep(2.5)
        ended = sorted(n for n, h in cell.hosts.hosts.items() if h.ends)
        assert ended
        for name, view in views.items():
            if name != cell.owner():
                view.cut = {ended[0]}
        stopped_at = await stop_owner(cell)
        RejectingStore.is_rejecting = False
        await asyncio.sleep(2.5)
        for view in views.values():
            view.cut = set()
        await asyncio.sleep(10.0)
        assert len(cell.hosts.starts()) == 3
        check_never_twice(cell, stopped_at)

    run_scenario(scenario)


async def search(cell, seed):
    """Stop owners in good order beside hosts that are cut off, leave or are late."""
    rng = random.Random(seed)
    views = await start_views(cell, 1000.0)
    jobs = 0
    # A simulated host carries out late starts even once it is lost.
    late_hosts = {"i-0", "i-1"}

    async def submit():
        nonlocal jobs
        jobs += 1
        count = rng.randint(1, 4)
        spec = job(
            step(count, cpu_milli=rng.choice((2000, 8000, 20000)), estimate=1.0),
            step(1, after=(0,)),
        )
        name = rng.choice(sorted(cell.daemons))
        await cell.submit(name, f"{jobs:016x}", spec)

    async def trouble_hosts():
        for number in range(14):
            await asyncio.sleep(rng.uniform(0.0, 1.5))
            names = sorted(n for n, h in cell.hosts.hosts.items() if h.down_s < 1e9)
            name = rng.choice(names)
            kind = rng.random()
            if kind < 0.35 and name not in late_hosts:
                cell.hosts.hosts[name].down_s = 1e9
                cell.hosts.hosts[name].crash()
                cell.unlist(name)
                cell.add_host(f"n-{number}")
                watch_host(cell, f"n-{number}", rng.choice((0.4, 2.0, 1000.0)))
            elif kind < 0.7:
                for daemon in sorted(views):
                    if rng.random() < 0.6:
                        views[daemon].cut = {name}
            elif kind < 0.85 and name in late_hosts:
                host = cell.hosts.hosts[name]
                host.unanswered_starts = rng.randint(1, 3)
                host.late_start_delay = rng.uniform(0.05, 3.0)
            else:
                for view in views.values():
                    view.cut = set()

    for name in list(cell.hosts.hosts):
        cell.hosts.hosts[name].task_duration_s = rng.choice((0.4, 2.0, 1000.0))
    troubles = asyncio.ensure_future(trouble_hosts())
    began_at = now()
    while not troubles.done():
        for _ in range(rng.randint(1, 4)):
            await submit()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        owner = cell.owner()
        if rng.random() < 0.4 and owner is not None and len(cell.daemons) > 2:
            await cell.daemons[owner].drain()
            await cell.kill(owner)
            await asyncio.sleep(rng.choice((0.05, 1.0)))
            views[owner] = start_view(cell, owner)
    await troubles
    for view in views.values():
        view.cut = set()
    await wait_for_owner(cell, set())
    await asyncio.sleep(16.0)
    check_never_twice(cell, began_at)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_after_planned_stops_beside_drawn_troubles_of_hosts(seed):
    async def scenario(cell):
        await search(cell, seed)

    run_scenario(scenario, hosts=5, seed=seed)


# What is told


def make_step(count=3, **fields):
    opened = Job("j", "q", POOL, job(step(count, **fields)), 0.0)
    return opened.open_occurrence(is_settled=False)[0]


def list_indexes(told, a_step, settled_hosts=()):
    tasks = told.list_settled(a_step, lambda name: name in settled_hosts)
    return [task.id.index for task in tasks]


def test_only_tasks_without_a_run_on_an_unknown_host_are_settled():
    runs = (("h1", (("j", 0, 0, 0),)), ("h2", (("j", 0, 0, 0), ("j", 0, 0, 2))))
    told = FormerRuns(KnownRuns(runs), 5.0)
    assert list_indexes(told, make_step()) == [1]
    assert list_indexes(told, make_step(), ("h1",)) == [1]
    assert list_indexes(told, make_step(), ("h2",)) == [1, 2]
    assert list_indexes(told, make_step(), ("h1", "h2")) == [0, 1, 2]
    assert list_indexes(told, make_step(gang=True), ("h1", "h2")) == []
    assert list_indexes(FormerRuns(KnownRuns((), ("j",)), 5.0), make_step()) == []
    assert list_indexes(FormerRuns(KnownRuns(()), 5.0), make_step(gang=True)) == [
        0,
        1,
        2,
    ]


def test_nothing_is_settled_before_the_claims_were_read_since_the_runs_were_told():
    # A later owner may have run the tasks meanwhile.
    pool_state = PoolState(POOL, 5)
    accepted = Accepted("j", "q", POOL, 0.0, job(step(2)))
    added = pool_state.accept(accepted, 0.0, 0.0, is_new=False)
    pool_state.former_runs = FormerRuns(KnownRuns(()), 10.0)
    states = []
    pool_state.claims.unclaimed_at = 5.0
    for unclaimed_at in (5.0, 9.9, 10.0):
        pool_state.note_unclaimed(unclaimed_at)
        pool_state.settle_told_tasks(11.0)
        tasks = [task for each in added.steps.values() for task in each.tasks]
        states.append({task.state for task in tasks})
    assert states == [{"unsettled"}, {"unsettled"}, {"waiting"}]
    assert min(task.run for task in tasks) >= 5 * MAX_UNSTORED_RUNS
    assert not pool_state.is_settled


def test_runs_are_used_only_of_the_settled_owner_that_stored_the_hosts_last():
    known = KnownRuns((("h", (("j", 0, 0, 0),)),), ("k",))
    hosts = HostSet(("h",), 7, True)
    assert find_former_runs(hosts, 7, known, 1.0) is not None
    assert find_former_runs(hosts, 7, None, 1.0) is None
    assert find_former_runs(hosts, 6, known, 1.0) is None
    assert find_former_runs(None, 7, known, 1.0) is None
    assert find_former_runs(HostSet(("h",), 7, False), 7, known, 1.0) is None
    released = Released(7, known)
    assert decode_stored(encode_stored(released)) == released
