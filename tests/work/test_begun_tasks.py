"""Which jobs count as begun after their pool was taken over.

A run number that must not be used again, a start that was ordered and a task that has
begun are three things; only the last one makes a job other than pending.
"""

import asyncio
import itertools

import msgspec
import pytest

from siskinroad.work.hosts import HostReport, Rejection, RunStatus
from siskinroad.work.job import make_job
from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import Accepted, Progress, TaskProgress
from siskinroad.work.run_table import MAX_UNSTORED_RUNS
from tests.work.cell import FAST, MOVED, POOL, job, step
from tests.work.test_daemon import run_scenario
from tests.work.test_moved_queues import NAMES, keep, kill_all, move, roll
from tests.work.test_planner import make_pool_state, plan

# Processors of a task that takes a whole host of the test cell.
WHOLE_HOST = 32_000
WAITING = [f"{i:016x}" for i in range(10)]
BUSY = "00000000000000aa"
LATER = "00000000000000bb"
WHOLE = job(step(1, cpu_milli=WHOLE_HOST))


async def start_cell(cell):
    """Start daemons; one job has all hosts of the pool, and ten others wait."""
    cell.add_host("j-0", pool=MOVED.pool)
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 200.0
    cell.configure(2)
    await cell.start_daemons(*NAMES)
    hosts = sum(host.entry.pool == POOL for host in cell.hosts.hosts.values())
    busy = job(step(hosts, cpu_milli=WHOLE_HOST, estimate=200.0))
    assert (await cell.submit("a", BUSY, busy)).kind is ReplyKind.OK
    await cell.wait_for_starts(hosts)
    for job_id in WAITING:
        assert (await cell.submit("a", job_id, WHOLE)).kind is ReplyKind.OK
    await asyncio.sleep(1.0)


async def check_pending(cell, queue, others=0):
    """Check that each daemon counts and shows the ten jobs as not begun."""
    await asyncio.sleep(2.0)
    for name in NAMES:
        service = cell.daemons[name].job_service
        pending = (await service.count_pending(queue, cell.deadline())).pending
        assert pending == len(WAITING) + others
        states = {await cell.state(name, job_id, queue) for job_id in WAITING}
        assert states == {"queued"}
        assert await cell.state(name, BUSY, queue) == "active"
    assert not {start.task.job for start in cell.hosts.starts()} & set(WAITING)


@pytest.mark.parametrize("last", [roll, kill_all])
@pytest.mark.parametrize("first", [keep, roll, kill_all])
def test_jobs_that_wait_stay_pending_when_their_queue_is_moved_between_restarts(
    first, last
):
    # Guards against review/14: after the second restart all daemons counted 0 of ten.
    async def scenario(cell):
        await start_cell(cell)
        await first(cell)
        await move(cell, 5)
        # The first job that comes after the move closes the queue in its former pool.
        assert (await cell.submit("b", LATER, WHOLE, MOVED)).kind is ReplyKind.OK
        await asyncio.sleep(2.0)
        await last(cell)
        await check_pending(cell, MOVED)

    run_scenario(scenario)


def test_jobs_that_wait_stay_pending_when_their_queue_is_moved_and_moved_back():
    async def scenario(cell):
        await start_cell(cell)
        await roll(cell)
        await move(cell, 5)
        assert (await cell.submit("b", LATER, WHOLE, MOVED)).kind is ReplyKind.OK
        await roll(cell)
        cell.configure(7)
        await asyncio.sleep(2.0)
        back = "00000000000000cc"
        assert (await cell.submit("b", back, WHOLE, FAST)).kind is ReplyKind.OK
        await roll(cell)
        await check_pending(cell, FAST, others=1)

    run_scenario(scenario)


def test_jobs_that_wait_stay_pending_in_three_restarts_without_a_move():
    async def scenario(cell):
        await start_cell(cell)
        for restart in (roll, kill_all, roll):
            await restart(cell)
        await check_pending(cell, FAST)

    run_scenario(scenario)


# Notes


def make_state(term, *progresses):
    """Return the state of an owner that has read an accepted job and its notes."""
    pool_state = make_pool_state(["i-0"])
    pool_state.term = term
    accepted = Accepted("one", "fast", POOL, 0.0, job(step(1)))
    pool_state.is_settled = False
    pool_state.accept(accepted, 0.0, 0.0, is_new=False)
    for progress in progresses:
        pool_state.restore(progress, 0.0)
    pool_state.settle_tasks(1.0)
    return pool_state, pool_state.jobs["one"]


def order(pool_state):
    """Order the start of the only task; return the run and its host."""
    effect = next(effect for effect in plan(pool_state) if hasattr(effect, "run"))
    return effect.run, pool_state.hosts["i-0"]


def test_a_task_that_was_only_numbered_by_a_takeover_has_no_note():
    _, accepted = make_state(3)
    assert accepted.steps[0, 0].tasks[0].run
    assert accepted.make_progress().notes == ()


def test_later_owners_number_above_all_runs_that_may_have_been_used():
    """Without a note, the terms alone keep run numbers apart."""
    used = []
    for term in range(1, 6):
        pool_state, _ = make_state(term)
        run, _ = order(pool_state)
        used.append(run.key[1])
    assert all(b - a >= MAX_UNSTORED_RUNS for a, b in itertools.pairwise(used))


@pytest.mark.parametrize("answer", ["none", "rejected"])
def test_a_start_that_was_ordered_and_never_begun_leaves_its_job_pending(answer):
    pool_state, accepted = make_state(2)
    run, host = order(pool_state)
    if answer == "none":
        pool_state.note_start_without_reply(host, run, 0.2)
    else:
        pool_state.apply_start_reply(host, run, Rejection.NO_CAPACITY, 0.2)
    (note,) = accepted.make_progress().notes
    assert note.run == run.key[1] and not note.has_begun
    for term in (3, 4):
        pool_state, accepted = make_state(term, accepted.make_progress())
        assert pool_state.count_pending("fast") == 1
        assert accepted.shown_state() == "queued"
        assert accepted.steps[0, 0].tasks[0].run > run.key[1]
        assert accepted.make_progress().notes[0].run > run.key[1]


def test_a_run_that_was_begun_and_ended_unseen_makes_its_job_active():
    pool_state, accepted = make_state(2)
    run, host = order(pool_state)
    pool_state.note_start_without_reply(host, run, 0.2)
    status = RunStatus(run.key[0], run.key[1], 10, "", 0)
    report = HostReport(2000, 1, (status,), ())
    pool_state.apply_report(host, report, host.token, 0.3, 0.3, 0.3)
    assert accepted.shown_state() == "active"
    pool_state, accepted = make_state(3, accepted.make_progress())
    assert accepted.shown_state() == "active" and not pool_state.count_pending("fast")


def test_a_note_of_an_earlier_version_counts_as_begun():
    note = TaskProgress(0, 0, 0, False, 17, (), "")
    value = msgspec.json.encode(note)
    assert len(msgspec.json.decode(value)) > 8
    former = msgspec.json.decode(
        msgspec.json.encode(msgspec.json.decode(value)[:8]), type=TaskProgress
    )
    assert former == note and former.has_begun
    _, accepted = make_state(3, Progress("one", "", 0.0, (former,)))
    assert accepted.shown_state() == "active"


def test_a_job_without_notes_is_pending_whatever_else_is_restored():
    accepted = make_job(Accepted("one", "fast", POOL, 0.0, job(step(2))))
    accepted.restore(Progress("one", "", 0.0, ()))
    assert accepted.shown_state() == "queued"
    done = TaskProgress(0, 0, 1, True, 9, (), "", has_begun=True)
    accepted.restore(Progress("one", "", 0.0, (done,)))
    assert accepted.shown_state() == "active"
