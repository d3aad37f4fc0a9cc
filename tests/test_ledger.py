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
from siskinroad.snapshots import PART_BYTES, Assembler, split

JOB = JobAccepted("d.1", "w", "o", "s", 3, b"")


def _feed(ledger, *batches):
    for records in batches:
        ledger.apply(ledger.next_offset, records)
    return ledger


def test_the_lowest_offset_wins_a_claim():
    ledger = _feed(
        Ledger(),
        [ClaimMade("s", "a", 1, 0)],
        [ClaimMade("s", "b", 1, 0)],
    )
    assert ledger.claims["s"].daemon == "a"
    first = epoch_of(1, 0)
    _feed(ledger, [ClaimMade("s", "b", 1, first)], [ClaimReleased("s", first)])
    assert ledger.claims["s"].daemon == "b"
    assert not ledger.claims["s"].released
    assert [x.daemon for x in ledger.replaced["s"]] == ["a"]


def test_records_twice_have_no_further_effect():
    intent = IntentRecorded("k", "s", "m", "a")
    batch = [JOB, TasksEnded("d.1", [0], "done"), intent, ClaimMade("s", "a", 1, 0)]
    once = _feed(Ledger(), batch)
    twice = _feed(Ledger(), batch, [TasksEnded("d.1", [0], "failed"), *batch])
    assert once.encode() == twice.encode()


def test_only_the_first_intent_s_daemon_settles_a_key():
    ledger = _feed(
        Ledger(),
        [IntentRecorded("k", "s", "m", "a"), IntentRecorded("k", "s", "m", "b")],
        [KeyOutcome("k", "not run", 0, None, "b")],
    )
    assert ledger.keys["k"].outcome is None
    _feed(ledger, [KeyOutcome("k", "done", 200, b"x", "a")])
    _feed(ledger, [KeyOutcome("k", "not run", 0, None, "a")])
    assert ledger.keys["k"].outcome.outcome == "done"


def test_recovery_from_a_snapshot_and_the_tail():
    whole = _feed(Ledger(), [DaemonJoined("a", 1)], [JOB], [ClaimMade("s", "a", 1, 0)])
    parts = list(split("n", whole.next_offset, whole.encode()))
    late = Ledger()
    late.skip_to(4)
    assert not late.whole
    tail = [[TasksEnded("d.1", [1], "done")], parts, [TasksEnded("d.1", [2], "done")]]
    _feed(late, *tail)
    _feed(whole, *tail)
    assert late.whole
    assert late.encode() == whole.encode()


def test_a_snapshot_that_leaves_a_gap_is_not_taken():
    whole = _feed(Ledger(), [JOB], [JOB], [JOB])
    late = Ledger()
    late.skip_to(9)
    late.apply(9, list(split("n", whole.next_offset, whole.encode())))
    assert not late.whole


def test_a_damaged_snapshot_is_an_error():
    part = next(split("n", 1, b"data"))
    bad = SnapshotPart(part.name, 1, 0, 1, part.checksum, b"dat!")
    with pytest.raises(ProtocolError, match="damaged"):
        Assembler().add(bad)


def test_parts_of_two_snapshots_do_not_mix():
    data = b"x" * (PART_BYTES + 5)
    one, two = list(split("one", 1, data)), list(split("two", 1, data))
    assembler = Assembler()
    assert assembler.add(one[0]) is None
    assert assembler.add(two[1]) is None
    assert assembler.add(one[1]) == data
