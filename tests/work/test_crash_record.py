"""Rules by which a task is put on trial and given up, and their stored form."""

import msgspec
import pytest

from siskinroad.work.crash_record import TRIAL_S, CrashNote, CrashRecord
from siskinroad.work.records import TaskProgress


class EarlierTaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a task as a version without crashes stores it."""

    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    failed_runs: tuple[int, ...]
    checkpoint: str


def make_record(*hosts, is_young=True):
    record = CrashRecord()
    for host in hosts:
        record.add(host, is_young=is_young, has_begun=True)
    return record


def test_a_task_is_on_trial_after_a_crash_soon_after_its_start():
    assert not CrashRecord().needs_trial
    assert make_record("a").needs_trial
    assert not make_record("a", is_young=False).needs_trial


@pytest.mark.parametrize(
    ("hosts", "is_shown", "is_cause"),
    [
        ("a", True, False),
        ("ab", True, True),
        ("ab", False, False),
        ("aa", True, False),
        ("aaa", True, True),
        ("abc", False, False),
        ("abcd", False, True),
    ],
)
def test_a_task_is_given_up_by_shown_crashes_or_by_their_number(
    hosts, is_shown, is_cause
):
    assert make_record(*hosts).is_cause(is_shown=is_shown) is is_cause


@pytest.mark.parametrize(
    ("certain", "unanswered", "is_cause"),
    [("a", "b", False), ("a", "bc", False), ("ab", "c", True), ("a", "bcd", True)],
)
def test_starts_without_an_answer_count_only_for_the_largest_number(
    certain, unanswered, is_cause
):
    # Guards against review/12: a task was given up after one crash and one start that a
    # silent host never began.
    record = make_record(*certain)
    for host in unanswered:
        record.add(host, is_young=True, has_begun=False)
    assert record.is_cause(is_shown=True) is is_cause


def test_a_run_that_goes_on_clears_its_task():
    record = make_record("a", "b")
    assert not record.note_survival(TRIAL_S / 2) and record.needs_trial
    assert record.note_survival(TRIAL_S) and not record.needs_trial
    assert len(record.notes) == 2
    assert record.note_survival(60.0) and not record.notes


def test_progress_of_earlier_versions_has_no_crashes():
    earlier = EarlierTaskProgress(0, 1, 2, False, 3, (1,), "")
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=TaskProgress)
    assert decoded == TaskProgress(0, 1, 2, False, 3, (1,), "", ())
    later = TaskProgress(0, 1, 2, False, 3, (1,), "", (CrashNote("a", True),))
    data = msgspec.msgpack.encode(later)
    assert msgspec.msgpack.decode(data, type=EarlierTaskProgress) == earlier
    assert msgspec.msgpack.decode(data, type=TaskProgress) == later
