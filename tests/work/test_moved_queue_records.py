"""Records and messages of moved queues, between versions of this program."""

import msgspec

from siskinroad.work import messages
from siskinroad.work.messages import JobRequest, SubmitOutcome, SubmitReply
from siskinroad.work.queue_closings import QueueClosings
from siskinroad.work.queue_registry import make_stored_queue
from siskinroad.work.records import (
    CLOSINGS_START,
    Accepted,
    QueueClosed,
    QueueClosing,
    StoredQueue,
    closing_key,
    decode_stored,
    queue_key,
    record_of,
)
from tests.work.cell import FAST, POOL, job

QUEUE = FAST.name


class EarlierRequest(msgspec.Struct, tag="job?", frozen=True, array_like=True):
    """A ``JobRequest`` as the version before knows it."""

    id: int
    pool: str
    verb: str
    subject: str
    account: str = ""


class EarlierReply(msgspec.Struct, tag="submit!", frozen=True, array_like=True):
    """A ``SubmitReply`` as the version before knows it."""

    id: int
    outcome: SubmitOutcome
    refusal: str = ""
    retry_after_s: float = 0.0


class EarlierQueue(msgspec.Struct, tag="queue", frozen=True, omit_defaults=True):
    """A ``StoredQueue`` as the version before knows it."""

    name: str
    virtual_host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    slack: float
    target: float
    advice: tuple[float, ...] = ()


def make_accepted(assigned):
    return Accepted("j", QUEUE, POOL, 0.0, job(), assigned=assigned)


def test_earlier_versions_read_what_has_new_fields():
    request = JobRequest(1, POOL, "close", "j", queues=(QUEUE,), version=5)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(request), type=EarlierRequest
    )
    assert decoded == EarlierRequest(1, POOL, "close", "j")
    reply = SubmitReply(1, SubmitOutcome.UNKNOWN, closed_by=5)
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=EarlierReply)
    assert decoded == EarlierReply(1, SubmitOutcome.UNKNOWN)
    value = record_of(make_stored_queue(FAST, 5)).value
    assert msgspec.msgpack.decode(value, type=EarlierQueue).pool == POOL


def test_what_earlier_versions_write_is_read():
    earlier = msgspec.msgpack.encode(EarlierReply(1, SubmitOutcome.STORED))
    assert not messages.decode(earlier).is_checked
    earlier = msgspec.msgpack.encode(EarlierRequest(1, POOL, "recall", "j"))
    assert messages.decode(earlier).queues == ()
    queue = EarlierQueue(QUEUE, "h", "/fast/", POOL, 0, 3, 1.5, 0.4)
    stored = decode_stored(msgspec.msgpack.encode(queue))
    assert isinstance(stored, StoredQueue) and stored.version == 0
    assert queue_key(stored) == queue_key(make_stored_queue(FAST))


def test_each_version_of_a_record_has_a_key_of_its_own():
    assert queue_key(make_stored_queue(FAST, 4)) != queue_key(
        make_stored_queue(FAST, 5)
    )
    keys = {closing_key(QueueClosing(QUEUE, version)) for version in (4, 5)}
    assert len(keys) == 2
    # They sort behind the keys of jobs, which are hexadecimal, and of the pool's owner.
    assert all("@owner" < "f" * 16 + "!" < CLOSINGS_START < key for key in keys)


def test_a_job_counts_by_its_assignment_and_the_closings_before_it():
    closings = QueueClosings()
    assert closings.find_closing(make_accepted(0), closings.noted) == 0
    closings.note(QUEUE, 5)
    closings.note(QUEUE, 4)
    assert closings.find_closing(make_accepted(4), closings.noted) == 5
    assert closings.find_closing(make_accepted(5), closings.noted) == 0
    # Earlier versions of the program name no assignment.
    assert closings.find_closing(make_accepted(-1), closings.noted) == 0


def test_only_a_complete_closing_excludes_what_a_new_owner_reads():
    closings = QueueClosings()
    closings.note(QUEUE, 5)
    closings.note_late_job(make_accepted(4), 0.0)
    assert not closings.is_excluded(make_accepted(4), ())
    assert closings.is_open_question("j")
    closings.complete_closing(QueueClosed(QUEUE, 5))
    assert closings.is_excluded(make_accepted(4), ())
    assert not closings.is_excluded(make_accepted(4), ("j",))
    assert not closings.is_excluded(make_accepted(5), ())
    assert not closings.is_open_question("j")
    assert closings.list_incomplete([QUEUE, "other"], 5) == ["other"]
