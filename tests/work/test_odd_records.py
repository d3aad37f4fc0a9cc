"""Records of another writer that decode, but that no daemon would have stored."""

import asyncio

import pytest

from siskinroad.work.caller_reply import ReplyKind
from siskinroad.work.job import make_job
from siskinroad.work.model import JobSpec
from siskinroad.work.progress_records import PartedProgress
from siskinroad.work.records import (
    Accepted,
    Progress,
    TaskProgress,
    job_topic,
    progress_topic,
    record_of,
)
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

ODD = "00000000000000ee"
ODD_SPECS = {
    "no steps": JobSpec("payload", ()),
    "many steps": job(*(step() for _ in range(2_000))),
    "no tasks": job(step(0), occurrences=3, first=1.0, interval=1.0),
    "fewer than no tasks": job(step(-(2**62)), step()),
    "many tasks": job(step(2**40)),
    "many tasks in all": job(*(step(15_000) for _ in range(100))),
    "a step that is not there": job(step(), step(after=(7,))),
    "a step before the first": job(step(), step(after=(-9,))),
    "a later step": job(step(after=(1,)), step()),
}


def append_job(cell, job_id, spec):
    accepted = Accepted(job_id, FAST.name, POOL, 0.0, spec)
    cell.logs.append(job_topic(POOL), [record_of(accepted)], None, None)


def find_odd_lines(caplog):
    return [r for r in caplog.records if getattr(r, "key", "") == ODD]


async def check_odd_job_is_unknown(cell):
    job_service = cell.daemons["a"].job_service
    assert await cell.state("a", ODD) == ReplyKind.NO_JOB.value
    reply = await job_service.cancel(FAST, ODD, cell.deadline())
    assert reply.kind is ReplyKind.NO_JOB


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
def test_a_claim_skips_a_job_that_cannot_be(spec, caplog):
    async def scenario(cell):
        append_job(cell, ODD, spec)
        append_job(cell, JOB_ID, job(step(2)))
        await cell.start_daemons("a")
        await cell.wait_for_state(JOB_ID, "complete")
        (line,) = find_odd_lines(caplog)
        assert line.levelname == "ERROR" and line.topic == job_topic(POOL)
        assert "expected" in line.error
        await check_odd_job_is_unknown(cell)
        assert cell.daemons["a"].owners[POOL].term.number == 3

    run_scenario(scenario)


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
def test_an_owner_skips_a_job_that_cannot_be(spec, caplog):
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        owner = cell.daemons[cell.owner()].owners[POOL]
        append_job(cell, ODD, spec)
        append_job(cell, JOB_ID, job(step(2)))
        await cell.wait_for_state(JOB_ID, "complete")
        (line,) = find_odd_lines(caplog)
        assert line.levelname == "ERROR" and line.topic == job_topic(POOL)
        assert "expected" in line.error
        await check_odd_job_is_unknown(cell)
        assert cell.daemons[cell.owner()].owners[POOL] is owner

    run_scenario(scenario)


def test_a_job_that_is_skipped_may_be_submitted_as_it_should_be():
    async def scenario(cell):
        append_job(cell, ODD, ODD_SPECS["no steps"])
        await cell.start_daemons("a", "b")
        await cell.submit("b", ODD, job(step(2)))
        await cell.wait_for_state(ODD, "complete")
        await asyncio.sleep(1.0)
        assert len(cell.hosts.starts()) == 2

    run_scenario(scenario)


HUGE = 2**64 - 1
DONE = (TaskProgress(0, 0, 0, True, 1, (), ""),)
# Numbers of a part, and of all parts, that cannot be; of all but the last it is seen.
ODD_PARTS = [(0, HUGE), (0, -(2**63)), (0, 0), (HUGE, 2), (2, 2), (-1, 2)]
UNNAMED_PART = (HUGE - 1, HUGE)


def append_progress(cell, progress):
    cell.logs.append(progress_topic(POOL), [record_of(progress)], None, None)


@pytest.mark.parametrize(("part", "parts"), [*ODD_PARTS, UNNAMED_PART])
def test_a_claim_ends_with_a_part_of_progress_that_cannot_be(part, parts, caplog):
    async def scenario(cell):
        append_job(cell, ODD, job(step(2)))
        append_job(cell, JOB_ID, job(step(2)))
        append_progress(cell, Progress(JOB_ID, "", 0.0, DONE))
        append_progress(cell, Progress(ODD, "", 0.0, DONE, (), part, parts))
        await cell.start_daemons("a")
        await cell.wait_for_state(JOB_ID, "complete")
        await cell.wait_for_state(ODD, "complete")
        assert cell.daemons["a"].owners[POOL].term.number == 3
        # What the first part says holds; of another part nothing does.
        starts = [start.task.job for start in cell.hosts.starts()]
        assert starts.count(JOB_ID) == 1
        assert starts.count(ODD) == (1 if part == 0 else 2)
        assert cell.daemons["a"].owners[POOL].pool_state.jobs[ODD].progress_parts == 1
        lines = [r for r in caplog.records if getattr(r, "key", "").startswith(ODD)]
        assert len(lines) == ((part, parts) != UNNAMED_PART)
        for line in lines:
            assert line.levelname == "ERROR" and line.topic == progress_topic(POOL)
            assert "expected" in line.error

    run_scenario(scenario)


def find_left_out(caplog):
    return [r for r in find_odd_lines(caplog) if hasattr(r, "left_out")]


@pytest.mark.parametrize("run", [HUGE, 2**53, -1, -(2**63)])
def test_a_run_number_that_cannot_be_is_left_out_of_a_note(run, caplog):
    async def scenario(cell):
        append_job(cell, ODD, job(step(2), step(1, after=(0,))))
        append_job(cell, JOB_ID, job(step(2)))
        notes = (
            TaskProgress(0, 0, 0, True, run, (), ""),
            TaskProgress(0, 0, 1, False, run, (HUGE,), "saved"),
        )
        append_progress(cell, Progress(ODD, "", 0.0, notes))
        await cell.start_daemons("a")
        await cell.wait_for_state(ODD, "complete")
        await cell.wait_for_state(JOB_ID, "complete")
        assert cell.daemons["a"].owners[POOL].term.number == 3
        starts = [start for start in cell.hosts.starts() if start.task.job == ODD]
        # A task that is done is not started again, and a checkpoint is used.
        assert [(s.task.step, s.task.index) for s in starts] == [(0, 1), (1, 0)]
        assert starts[0].checkpoint == "saved"
        assert all(0 < start.run < 100 for start in starts)
        (line,) = find_left_out(caplog)
        assert line.levelname == "ERROR" and line.topic == progress_topic(POOL)
        assert line.left_out == 2 and str(run) in line.error

    run_scenario(scenario)


@pytest.mark.parametrize("occurrence", [1_999_999, 40_002])
def test_a_note_of_an_occurrence_far_ahead_is_left_out(occurrence, caplog):
    async def scenario(cell):
        append_job(cell, ODD, job(step(), occurrences=2_000_000, interval=3600.0))
        append_job(cell, JOB_ID, job(step(2)))
        notes = (
            TaskProgress(0, 0, 0, True, 1, (), ""),
            TaskProgress(occurrence, 0, 0, False, 1, (), ""),
        )
        append_progress(cell, Progress(ODD, "", 0.0, notes))
        await cell.start_daemons("a")
        await cell.wait_for_state(JOB_ID, "complete")
        owner = cell.daemons["a"].owners[POOL]
        assert owner.term.number == 3
        # What the other notes say holds.
        odd = owner.pool_state.jobs[ODD]
        assert odd.steps[0, 0].is_done() and odd.opened_occurrences == 1
        assert ODD not in [start.task.job for start in cell.hosts.starts()]
        (line,) = find_left_out(caplog)
        assert line.levelname == "ERROR" and line.topic == progress_topic(POOL)
        assert line.left_out == 1 and str(occurrence) in line.error

    run_scenario(scenario)


def make_repeated_job(tasks, occurrences):
    spec = job(step(tasks), occurrences=occurrences, first=1.0, interval=1.0)
    return make_job(Accepted(ODD, FAST.name, POOL, 0.0, spec))


@pytest.mark.parametrize(("tasks", "far"), [(1, 40_000), (7, 5_712), (5_000, 6)])
def test_notes_open_as_many_tasks_as_an_owner_may_have_opened_without_notes(tasks, far):
    # The occurrences that are done count for nothing, those with notes besides.
    for occurrence, is_opened in ((far + 2_000, True), (far + 2_001, False)):
        restored = make_repeated_job(tasks, 1_000_000)
        done = ((1, 1_500), (1_502, 2_000))
        notes = (
            TaskProgress(occurrence, 0, 0, False, 3, (), ""),
            TaskProgress(0, 0, 0, False, 2, (), ""),
        )
        left_out = restored.restore(Progress(ODD, "", 0.0, notes, done))
        assert len(left_out) == (not is_opened)
        assert restored.opened_occurrences == (occurrence + 1 if is_opened else 1_501)
        assert restored.steps[0, 0].tasks[0].run == 2
        if is_opened:
            assert restored.steps[occurrence, 0].tasks[0].run == 3
            assert (1_501, 0) in restored.steps and (1_502, 0) not in restored.steps


def test_a_record_of_many_done_occurrences_with_notes_is_restored_as_a_whole():
    # As an owner of a former version has stored them.
    restored = make_repeated_job(1, 1_000_000)
    notes = [TaskProgress(i, 0, 0, True, 1, (), "") for i in range(45_000)]
    assert restored.restore(Progress(ODD, "", 0.0, tuple(notes))) == []
    assert restored.opened_occurrences == 45_000


def test_a_high_run_number_that_can_be_is_followed_by_the_next_ones(caplog):
    async def scenario(cell):
        append_job(cell, ODD, job(step(1)))
        note = TaskProgress(0, 0, 0, False, 2**52, (), "")
        append_progress(cell, Progress(ODD, "", 0.0, (note,)))
        await cell.start_daemons("a")
        await cell.wait_for_state(ODD, "complete")
        (start,) = cell.hosts.starts()
        assert 2**52 < start.run < 2**52 + 100
        assert find_left_out(caplog) == []

    run_scenario(scenario)


def test_the_progress_of_a_job_without_its_record_is_removed_by_the_parts_there_are():
    async def scenario(cell):
        append_progress(cell, Progress(ODD, "complete", 0.0, (), (), 0, HUGE))
        append_progress(cell, Progress(ODD, "", 0.0, (), (), 1, HUGE))
        append_progress(cell, Progress(ODD, "", 0.0, (), (), HUGE - 1, HUGE))
        append_job(cell, JOB_ID, job(step(2)))
        await cell.start_daemons("a", "b")
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(10.0)
        newest = cell.logs.topic(progress_topic(POOL)).newest
        assert not [key for key in newest if key.startswith(ODD)]

    run_scenario(scenario)


def test_parts_are_joined_in_order_and_only_those_that_the_first_one_names():
    notes = [TaskProgress(0, 0, i, False, 1, (), "") for i in range(12)]
    parted = PartedProgress()
    for i in reversed(range(12)):
        parted.add(Progress(ODD, "", 0.0, (notes[i],), (), i, 11))
    (first,) = parted.list_firsts()
    assert parted.join(first).notes == tuple(notes[:11])
