"""What a data centre's stream says: claims, members, jobs and keys.

Every record may be appended twice with no further effect, so that an append
whose answer was lost is simply repeated.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

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
from siskinroad.snapshots import Assembler

_State = TypeVar("_State")

__all__ = ["Claim", "JobState", "KeyState", "Ledger"]

MAX_ENDED_JOBS = 1000
MAX_SETTLED_KEYS = 5000
MAX_CHAIN = 16


class Claim(msgspec.Struct):
    """The claim in force on a shard; its epoch orders all claims."""

    epoch: int
    daemon: str
    incarnation: int
    released: bool = False


class JobState(msgspec.Struct):
    """An accepted job and the outcomes of its tasks by index."""

    accepted: JobAccepted
    ended: dict[int, str] = {}
    cancelled: bool = False

    @property
    def settled(self) -> bool:
        """Whether every task has ended."""
        return len(self.ended) >= self.accepted.count


class KeyState(msgspec.Struct):
    """A keyed request: who may send it, and what became of it."""

    intent: IntentRecorded
    offset: int
    outcome: KeyOutcome | None = None


class _Saved(msgspec.Struct):
    claims: dict[str, Claim]
    replaced: dict[str, list[Claim]]
    joined: dict[str, int]
    jobs: dict[str, JobState]
    keys: dict[str, KeyState]


class Ledger:
    """State of a data centre's stream.

    Attributes
    ----------
    next_offset : int
        The next record to apply.
    claims : dict of str to Claim
        The claim in force by shard.
    replaced : dict of str to list of Claim
        Those that it replaced since the last release: a claim may be replaced
        before its daemon learns of it, so the one before it counts too.
    joined : dict of str to int
        Incarnation of each daemon that has been admitted.
    whole : bool
        False while records were trimmed before this reader saw them and no
        snapshot has been read yet: nothing may then be decided on this state.
    """

    def __init__(self) -> None:
        self.next_offset = 1
        self.claims: dict[str, Claim] = {}
        self.replaced: dict[str, list[Claim]] = {}
        self.joined: dict[str, int] = {}
        self.jobs: dict[str, JobState] = {}
        self.keys: dict[str, KeyState] = {}
        self.whole = True
        self.snapshot_as_of = 0
        self._assembler = Assembler()
        self._pending: list[tuple[int, list[Record]]] = []

    def skip_to(self, first: int) -> None:
        """Go on at ``first``: what lay before is no longer retained."""
        self.whole = False
        self.next_offset = first
        self._pending = []
        self._assembler = Assembler()

    def apply(self, offset: int, records: list[Record]) -> None:
        """Apply one append's records.

        Raises
        ------
        ProtocolError
            If a snapshot is damaged.
        """
        if not self.whole:
            self._pending.append((offset, records))
        for index, record in enumerate(records):
            match record:
                case SnapshotPart():
                    self._apply_part(record)
                case _ if self.whole:
                    self._apply_record(offset, index, record)
        self.next_offset = offset + 1

    def _apply_record(self, offset: int, index: int, record: Record) -> None:
        match record:
            case DaemonJoined():
                self._join(record)
            case ClaimMade():
                self._claim(record, epoch_of(offset, index))
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
                self._intend(record, offset)
            case KeyOutcome():
                self._settle_key(record)

    def _join(self, record: DaemonJoined) -> None:
        known = self.joined.get(record.daemon, -1)
        self.joined[record.daemon] = max(known, record.incarnation)

    def _claim(self, record: ClaimMade, epoch: int) -> None:
        claim = self.claims.get(record.shard)
        if record.replaces == (claim.epoch if claim is not None else 0):
            self.replaced[record.shard] = self._chain(record.shard, claim)
            self.claims[record.shard] = Claim(epoch, record.daemon, record.incarnation)

    def _chain(self, shard: str, claim: Claim | None) -> list[Claim]:
        if claim is None or claim.released:
            return []
        return [*self.replaced.get(shard, []), claim][-MAX_CHAIN:]

    def _end_tasks(self, record: TasksEnded) -> None:
        job = self.jobs.get(record.job)
        if job is None:
            return
        for index in record.indices:
            job.ended.setdefault(index, record.outcome)
        if job.settled:
            _trim(self.jobs, MAX_ENDED_JOBS, lambda state: state.settled)

    def _intend(self, record: IntentRecorded, offset: int) -> None:
        known = self.keys.get(record.key)
        withdrawn = (
            known is not None
            and known.outcome is not None
            and known.outcome.outcome == "not run"
        )
        if known is None or withdrawn:
            self.keys[record.key] = KeyState(record, offset)

    def _settle_key(self, record: KeyOutcome) -> None:
        known = self.keys.get(record.key)
        if known is None or known.outcome is not None:
            return
        if known.intent.daemon != record.daemon:
            return
        known.outcome = record
        _trim(self.keys, MAX_SETTLED_KEYS, lambda state: state.outcome is not None)

    # Snapshots

    def encode(self) -> bytes:
        """Return the state as a snapshot's data."""
        saved = _Saved(self.claims, self.replaced, self.joined, self.jobs, self.keys)
        return msgspec.msgpack.encode(saved)

    def _apply_part(self, part: SnapshotPart) -> None:
        data = self._assembler.add(part)
        if data is None:
            return
        self.snapshot_as_of = max(self.snapshot_as_of, part.as_of)
        covered = self._pending and self._pending[0][0] <= part.as_of
        if not self.whole and covered:
            self._restore(data, part.as_of)

    def _restore(self, data: bytes, as_of: int) -> None:
        try:
            saved = msgspec.msgpack.decode(data, type=_Saved)
        except msgspec.MsgspecError as exc:
            text = f"snapshot of another kind: {exc}"
            raise ProtocolError(text, step="ledger.snapshot") from exc
        self.claims, self.replaced = saved.claims, saved.replaced
        self.joined = saved.joined
        self.jobs, self.keys = saved.jobs, saved.keys
        self.whole = True
        pending, self._pending = self._pending, []
        for offset, records in pending:
            if offset < as_of:
                continue
            for index, record in enumerate(records):
                if not isinstance(record, SnapshotPart):
                    self._apply_record(offset, index, record)


def _trim(
    states: dict[str, _State], most: int, settled: Callable[[_State], bool]
) -> None:
    """Forget the oldest settled entries beyond ``most`` and a tenth."""
    if len(states) <= most + most // 10:
        return
    old = [key for key, state in states.items() if settled(state)]
    for key in old[: len(old) - most]:
        del states[key]
