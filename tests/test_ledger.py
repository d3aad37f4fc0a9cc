import pytest

from siskinroad.errors import ProtocolError
from siskinroad.ledger import Ledger
from siskinroad.records import (
    ClaimMade,
    ClaimReleased,
    DaemonJoined,
    IntentRecorded,
    JobAccepted,
    KeyOutcome,
    SnapshotPart,
    TasksEnded,
    epoch_of,
)
from siskinroad.snapshots import PART_BYTES, SnapshotAssembler, split_snapshot

JOB = JobAccepted("d.1", "w", "o", "s", 3, b"")


def _apply_batches(ledger, *batches):
    for records in batches:
        ledger.apply(ledger.next_offset, records)
    return ledger


def test_the_claim_at_the_lowest_offset_wins():
    ledger = _apply_batches(
        Ledger(),
        [ClaimMade("s", "a", 1, 0)],
        [ClaimMade("s", "b", 1, 0)],
    )
    assert ledger.claims["s"].daemon == "a"
    first = epoch_of(1, 0)
    _apply_batches(ledger, [ClaimMade("s", "b", 1, first)], [ClaimReleased("s", first)])
    assert ledger.claims["s"].daemon == "b"
    assert not ledger.claims["s"].released
    assert [x.daemon for x in ledger.replaced["s"]] == ["a"]


def test_repeated_records_have_no_further_effect():
    intent = IntentRecorded("k", "s", "m", "a")
    batch = [JOB, TasksEnded("d.1", [0], "done"), intent, ClaimMade("s", "a", 1, 0)]
    once = _apply_batches(Ledger(), batch)
    twice = _apply_batches(Ledger(), batch, [TasksEnded("d.1", [0], "failed"), *batch])
    assert once.encode() == twice.encode()


def test_only_the_daemon_of_the_first_intent_sets_the_outcome_of_a_key():
    ledger = _apply_batches(
        Ledger(),
        [IntentRecorded("k", "s", "m", "a"), IntentRecorded("k", "s", "m", "b")],
        [KeyOutcome("k", "not run", 0, None, "b")],
    )
    assert ledger.keys["k"].outcome is None
    _apply_batches(ledger, [KeyOutcome("k", "done", 200, b"x", "a")])
    _apply_batches(ledger, [KeyOutcome("k", "not run", 0, None, "a")])
    assert ledger.keys["k"].outcome.outcome == "done"


def test_late_copies_of_an_intent_and_its_outcome_do_not_touch_a_later_intent():
    """The key of a request that has been sent would be open again."""
    refused = KeyOutcome("k", "not run", 0, None, "a", 1)
    first = IntentRecorded("k", "s", "m", "a", 1)
    second = IntentRecorded("k", "s", "m", "a", 2)
    ledger = _apply_batches(Ledger(), [first], [refused], [first])
    assert ledger.keys["k"].outcome == refused
    _apply_batches(ledger, [second], [refused])
    assert ledger.keys["k"].intent == second
    assert ledger.keys["k"].outcome is None


def test_a_reader_recovers_from_a_snapshot_and_later_records():
    complete = _apply_batches(
        Ledger(), [DaemonJoined("a", 1)], [JOB], [ClaimMade("s", "a", 1, 0)]
    )
    parts = list(split_snapshot("n", complete.next_offset, complete.encode()))
    recovered = Ledger()
    recovered.skip_to(4)
    assert not recovered.is_complete
    tail = [[TasksEnded("d.1", [1], "done")], parts, [TasksEnded("d.1", [2], "done")]]
    _apply_batches(recovered, *tail)
    _apply_batches(complete, *tail)
    assert recovered.is_complete
    assert recovered.encode() == complete.encode()


def test_a_snapshot_older_than_the_first_retained_record_is_ignored():
    complete = _apply_batches(Ledger(), [JOB], [JOB], [JOB])
    recovered = Ledger()
    recovered.skip_to(9)
    recovered.apply(
        9, list(split_snapshot("n", complete.next_offset, complete.encode()))
    )
    assert not recovered.is_complete


def test_a_corrupt_snapshot_raises():
    part = next(split_snapshot("n", 1, b"data"))
    bad = SnapshotPart(part.name, 1, 0, 1, part.checksum, b"dat!")
    with pytest.raises(ProtocolError, match="snapshot does not match its checksum"):
        SnapshotAssembler().add(bad)


def test_parts_of_two_snapshots_are_not_combined():
    data = b"x" * (PART_BYTES + 5)
    one, two = (
        list(split_snapshot("one", 1, data)),
        list(split_snapshot("two", 1, data)),
    )
    assembler = SnapshotAssembler()
    assert assembler.add(one[0]) is None
    assert assembler.add(two[1]) is None
    assert assembler.add(one[1]) == data
