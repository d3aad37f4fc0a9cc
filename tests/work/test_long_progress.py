"""Jobs whose progress is longer than one record of the store may be."""

import asyncio
import random

import msgspec
import pytest

from siskinroad.work import job as job_module
from siskinroad.work import progress_records
from siskinroad.work.index_ranges import IndexRanges
from siskinroad.work.job import make_job
from siskinroad.work.job_service import ReplyKind
from siskinroad.work.job_table import MAX_UNFINISHED_TASKS
from siskinroad.work.progress_records import PartedProgress, make_progress_records
from siskinroad.work.records import Accepted, Progress, TaskProgress, decode_stored
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_planner import add_job, make_pool_state

WIDTH = 8
OTHER = "00000000000000bb"


def make_long_progress(tasks, checkpoint="00000bb87a21d94b"):
    notes = tuple(
        TaskProgress(0, 0, i, False, 9, (3, 7), checkpoint) for i in range(tasks)
    )
    return Progress(JOB_ID, "", 0.0, notes, ((0, 4), (6, 7)))


def read_back(records):
    parted = PartedProgress()
    for record in records:
        parted.add(decode_stored(record.value))
    (first,) = parted.list_firsts()
    return parted.join(first)


@pytest.mark.parametrize("tasks", [1, 100, 20_000, 60_000])
def test_progress_of_any_length_is_stored_in_records_that_the_store_takes(tasks):
    progress = make_long_progress(tasks)
    records = make_progress_records(progress)
    assert len({record.key for record in records}) == len(records)
    assert all(len(each.value) <= progress_records.MAX_RECORD_BYTES for each in records)
    assert read_back(records) == progress


def test_parts_of_an_earlier_time_do_not_count():
    earlier = make_progress_records(make_long_progress(60_000))
    progress = make_long_progress(20_000, "later")
    assert len(earlier) > len(make_progress_records(progress)) > 1
    assert read_back([*earlier, *make_progress_records(progress)]) == progress
    short = make_long_progress(3)
    assert read_back([*earlier, *make_progress_records(short)]) == short


def test_an_unusual_note_does_not_make_a_record_too_long():
    progress = make_long_progress(2_000)
    longest = msgspec.structs.replace(progress.notes[7], checkpoint="c" * 150_000)
    progress = msgspec.structs.replace(progress, notes=(*progress.notes, longest))
    records = make_progress_records(progress)
    assert all(len(each.value) <= progress_records.MAX_RECORD_BYTES for each in records)


def test_what_an_owner_of_the_former_version_has_stored_is_read_as_before():
    progress = msgspec.structs.replace(make_long_progress(50), done=())
    (record,) = make_progress_records(progress)
    assert record.key == JOB_ID and b"parts" not in record.value


def test_ranges_hold_the_numbers_that_were_added():
    rng = random.Random(1)
    for _ in range(50):
        numbers = rng.sample(range(60), 40)
        ranges = IndexRanges()
        for number in numbers:
            ranges.add(number)
        ranges = IndexRanges(ranges.as_tuple())
        held = {number for number in range(70) if number in ranges}
        assert held == set(numbers)
        for number in range(70):
            expected = next(n for n in range(number, 80) if n not in held)
            assert ranges.next_absent(number) == expected
            absent = [n for n in range(number, 160) if n not in held]
            for count in (1, 2, 7, 60):
                assert ranges.find_absent(number, count) == absent[count - 1]


def test_occurrences_are_not_opened_beyond_what_one_append_takes():
    pool_state = make_pool_state(["i-0"])
    spec = job(step(5_000), occurrences=1_000, first=1.0, interval=0.0)
    repeated = add_job(pool_state, "repeated", spec)
    for _ in range(10):
        pool_state.open_due(2.0, 2.0, 0.1)
    assert 0 < repeated.count_unfinished() <= MAX_UNFINISHED_TASKS


def test_a_job_is_restored_without_the_steps_of_dropped_occurrences():
    spec = job(step(), occurrences=100, first=1.0)
    former = make_job(Accepted(JOB_ID, FAST.name, POOL, 0.0, spec))
    former.restore(Progress(JOB_ID, "", 0.0, (), ((0, 49), (52, 60))))
    assert former.opened_occurrences == 50 and former.has_started
    former.open_occurrence(is_settled=True)
    former.open_occurrence(is_settled=True)
    assert former.opened_occurrences == 61 and len(former.steps) == 2


@pytest.mark.parametrize("kill_after_s", [None, 4.0, 9.0])
def test_a_repeated_job_stops_nothing_of_its_pool(monkeypatch, kill_after_s):
    # Guards against review/5: the record of a repeated job outgrew the store's limit,
    # nothing of its pool was stored any more, and no other job started.
    async def scenario(cell):
        cell.logs.record_bytes = 4_000
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 0.1
        await cell.start_daemons("a", "b")
        first = asyncio.get_running_loop().time() + 0.5
        spec = job(
            step(WIDTH, cpu_milli=500, estimate=0.1),
            occurrences=100,
            first=first,
            interval=0.1,
        )
        await cell.submit("a", JOB_ID, spec)
        if kill_after_s is not None:
            await asyncio.sleep(kill_after_s)
            former = cell.owner()
            await cell.kill(former)
            cell.start(former)
        await asyncio.sleep(14.0 - (kill_after_s or 0.0))
        await cell.submit("b", OTHER, job(step(2), step(2, after=(0,))))
        await cell.wait_for_state(OTHER, "complete")
        await cell.wait_for_state(JOB_ID, "complete", 40.0)
        starts = [each for each in cell.hosts.starts() if each.task.job == JOB_ID]
        assert len({each.task for each in starts}) == 100 * WIDTH
        assert len(starts) == 100 * WIDTH

    monkeypatch.setattr(progress_records, "MAX_RECORD_BYTES", 3_000)
    monkeypatch.setattr(job_module, "KEPT_DONE_TASKS", 80)
    run_scenario(scenario)


def test_a_job_that_is_too_long_to_store_is_refused_and_holds_up_no_other():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        long_job = msgspec.structs.replace(job(), payload="p" * 300_000)
        replies = await asyncio.gather(
            cell.submit("a", JOB_ID, long_job), cell.submit("a", OTHER, job())
        )
        assert [reply.kind for reply in replies] == [ReplyKind.NEVER, ReplyKind.OK]
        await cell.wait_for_state(OTHER, "complete")

    run_scenario(scenario)


def test_jobs_that_one_append_cannot_hold_are_stored_by_several():
    async def scenario(cell):
        cell.logs.call_bytes = 1_000_000
        await cell.start_daemons("a", "b")
        cell.logs.faults.call_delay_s = 0.05
        long_job = msgspec.structs.replace(job(), payload="p" * 150_000)
        replies = await asyncio.gather(
            *(cell.submit("a", f"{i:016x}", long_job) for i in range(20))
        )
        assert {reply.kind for reply in replies} == {ReplyKind.OK}

    run_scenario(scenario)
