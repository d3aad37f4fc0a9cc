"""State derived from a data centre's stream: claims, daemons, jobs and keys.

Records are idempotent: a repeated record has no further effect, so an append
whose reply was lost can be sent again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from siskinroad.codec import DECODE_ERRORS
from siskinroad.errors import ProtocolError
from siskinroad.records import (
    ClaimMade,
    ClaimReleased,
    DaemonJoined,
    IntentRecorded,
    JobAccepted,
    JobCancelled,
    KeyOutcome,
    Record,
    SnapshotPart,
    TasksEnded,
    epoch_of,
)
from siskinroad.snapshots import SnapshotAssembler

_State = TypeVar("_State")

__all__ = ["Claim", "JobState", "KeyState", "Ledger"]

# Jobs with every task ended that are kept for later status requests. The oldest are
# removed once the table exceeds the limit by a tenth.
MAX_FINISHED_JOBS = 1000
# Keys with an outcome that are kept to answer repeated requests. The oldest are
# removed as above. A request whose key has been removed could run a second time.
MAX_FINISHED_KEYS = 5000
# Most replaced claims kept for a shard; it bounds the size of the state and of its
# snapshots.
MAX_REPLACED_CLAIMS = 16


class Claim(msgspec.Struct):
    """Claim on a shard; epochs order all claims."""

    epoch: int
    daemon: str
    incarnation: int
    released: bool = False


class JobState(msgspec.Struct):
    """Accepted job and the outcomes of its ended tasks, by task index."""

    accepted: JobAccepted
    ended: dict[int, str] = {}
    cancelled: bool = False

    @property
    def settled(self) -> bool:
        """Whether every task of the job has ended."""
        return len(self.ended) >= self.accepted.count


class KeyState(msgspec.Struct):
    """Keyed request: the intent in force, its offset and the outcome, if any."""

    intent: IntentRecorded
    offset: int
    outcome: KeyOutcome | None = None


class _LedgerSnapshot(msgspec.Struct):
    claims: dict[str, Claim]
    replaced: dict[str, list[Claim]]
    joined: dict[str, int]
    jobs: dict[str, JobState]
    keys: dict[str, KeyState]


class Ledger:
    """State built from the records of a data centre's stream.

    Attributes
    ----------
    next_offset : int
        Offset of the next append to apply.
    claims : dict of str to Claim
        The claim in force on each shard.
    replaced : dict of str to list of Claim
        The claims replaced on each shard since the last release. A claim may be
        replaced before its daemon learns of it, while the holder before that
        still places work, so the earlier claims count too.
    joined : dict of str to int
        Latest incarnation of each daemon that has been admitted.
    is_complete : bool
        Whether the state is complete. It is not after records were trimmed from
        the log unread, until a snapshot has been read; no decision may then be
        based on it.
    """

    def __init__(self) -> None:
        self.next_offset = 1
        self.claims: dict[str, Claim] = {}
        self.replaced: dict[str, list[Claim]] = {}
        self.joined: dict[str, int] = {}
        self.jobs: dict[str, JobState] = {}
        self.keys: dict[str, KeyState] = {}
        self.is_complete = True
        self.snapshot_as_of = 0
        self._assembler = SnapshotAssembler()
        self._pending: list[tuple[int, list[Record]]] = []

    def skip_to(self, first: int) -> None:
        """Continue at offset ``first``, as earlier records are no longer retained."""
        self.is_complete = False
        self.next_offset = first
        self._pending = []
        self._assembler = SnapshotAssembler()

    def apply(self, offset: int, records: list[Record]) -> None:
        """Apply one append's records.

        Raises
        ------
        ProtocolError
            If a snapshot is corrupt.
        """
        if not self.is_complete:
            self._pending.append((offset, records))
        for index, record in enumerate(records):
            match record:
                case SnapshotPart():
                    self._apply_snapshot_part(record)
                case _ if self.is_complete:
                    self._apply_record(offset, index, record)
        self.next_offset = offset + 1

    def _apply_record(self, offset: int, index: int, record: Record) -> None:
        match record:
            case DaemonJoined():
                self._admit_daemon(record)
            case ClaimMade():
                self._apply_claim(record, epoch_of(offset, index))
            case ClaimReleased():
                claim = self.claims.get(record.shard)
                if claim is not None and claim.epoch == record.epoch:
                    claim.released = True
            case JobAccepted():
                self.jobs.setdefault(record.job, JobState(record))
            case JobCancelled():
                if record.job in self.jobs:
                    self.jobs[record.job].cancelled = True
            case TasksEnded():
                self._end_tasks(record)
            case IntentRecorded():
                self._record_intent(record, offset)
            case KeyOutcome():
                self._record_outcome(record)

    def _admit_daemon(self, record: DaemonJoined) -> None:
        known = self.joined.get(record.daemon, -1)
        self.joined[record.daemon] = max(known, record.incarnation)

    def _apply_claim(self, record: ClaimMade, epoch: int) -> None:
        claim = self.claims.get(record.shard)
        if record.replaces == (claim.epoch if claim is not None else 0):
            self.replaced[record.shard] = self._unreleased_claims(record.shard, claim)
            self.claims[record.shard] = Claim(epoch, record.daemon, record.incarnation)

    def _unreleased_claims(self, shard: str, claim: Claim | None) -> list[Claim]:
        if claim is None or claim.released:
            return []
        return [*self.replaced.get(shard, []), claim][-MAX_REPLACED_CLAIMS:]

    def _end_tasks(self, record: TasksEnded) -> None:
        job = self.jobs.get(record.job)
        if job is None:
            return
        for index in record.indices:
            job.ended.setdefault(index, record.outcome)
        if job.settled:
            _evict_oldest(self.jobs, MAX_FINISHED_JOBS, lambda state: state.settled)

    def _record_intent(self, record: IntentRecorded, offset: int) -> None:
        known = self.keys.get(record.key)
        did_not_run = (
            known is not None
            and known.outcome is not None
            and known.outcome.outcome == "not run"
        )
        if known is None or (did_not_run and not _is_same_intent(known, record)):
            self.keys[record.key] = KeyState(record, offset)

    def _record_outcome(self, record: KeyOutcome) -> None:
        known = self.keys.get(record.key)
        if known is None or known.outcome is not None:
            return
        if not _is_same_intent(known, record):
            return
        known.outcome = record
        _evict_oldest(
            self.keys, MAX_FINISHED_KEYS, lambda state: state.outcome is not None
        )

    # Snapshots

    def encode(self) -> bytes:
        """Return the state encoded as a snapshot."""
        saved = _LedgerSnapshot(
            self.claims, self.replaced, self.joined, self.jobs, self.keys
        )
        return msgspec.msgpack.encode(saved)

    def _apply_snapshot_part(self, part: SnapshotPart) -> None:
        data = self._assembler.add(part)
        if data is None:
            return
        self.snapshot_as_of = max(self.snapshot_as_of, part.as_of)
        is_covered = self._pending and self._pending[0][0] <= part.as_of
        if not self.is_complete and is_covered:
            self._restore(data, part.as_of)

    def _restore(self, data: bytes, as_of: int) -> None:
        try:
            saved = msgspec.msgpack.decode(data, type=_LedgerSnapshot)
        except DECODE_ERRORS as exc:
            text = f"cannot decode ledger snapshot: {exc}"
            raise ProtocolError(text, step="ledger.snapshot") from exc
        self.claims, self.replaced = saved.claims, saved.replaced
        self.joined = saved.joined
        self.jobs, self.keys = saved.jobs, saved.keys
        self.is_complete = True
        pending, self._pending = self._pending, []
        for offset, records in pending:
            if offset < as_of:
                continue
            for index, record in enumerate(records):
                if not isinstance(record, SnapshotPart):
                    self._apply_record(offset, index, record)


def _is_same_intent(known: KeyState, record: IntentRecorded | KeyOutcome) -> bool:
    """Return whether a record, perhaps a late copy, belongs to the stored intent."""
    intent = known.intent
    return (intent.daemon, intent.number) == (record.daemon, record.number)


def _evict_oldest(
    states: dict[str, _State], limit: int, is_finished: Callable[[_State], bool]
) -> None:
    """Remove the oldest finished entries once a table exceeds ``limit`` by a tenth."""
    if len(states) <= limit + limit // 10:
        return
    finished = [key for key, state in states.items() if is_finished(state)]
    for key in finished[: len(finished) - limit]:
        del states[key]
