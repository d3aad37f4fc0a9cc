"""Records of the platform's log; one append carries a batch of them."""

from __future__ import annotations

import msgspec

from siskinroad.deltas import Delta
from siskinroad.errors import ProtocolError

__all__ = [
    "FORMAT_VERSION",
    "MAX_BATCH",
    "Batch",
    "CellRevision",
    "ClaimMade",
    "ClaimReleased",
    "DaemonJoined",
    "IntentRecorded",
    "JobAccepted",
    "JobCancelled",
    "KeyOutcome",
    "Record",
    "SnapshotPart",
    "TasksEnded",
    "decode_batch",
    "encode_batch",
    "epoch_of",
]

FORMAT_VERSION = 1
MAX_BATCH = 1024


class CellRevision(msgspec.Struct, tag="cell", frozen=True):
    """A cell file as a difference; valid only if it replaces the one in force.

    ``digest`` names the whole text, ``key`` the operator's request, so that a
    repeated request is recognised.
    """

    revision: int
    replaces: int
    delta: Delta
    digest: str
    key: str


class DaemonJoined(msgspec.Struct, tag="join", frozen=True):
    """A daemon may claim shards from here on."""

    daemon: str
    incarnation: int


class ClaimMade(msgspec.Struct, tag="claim", frozen=True):
    """A daemon claims a shard; valid only if it replaces the claim in force."""

    shard: str
    daemon: str
    incarnation: int
    replaces: int


class ClaimReleased(msgspec.Struct, tag="release", frozen=True):
    """The holder has stopped placing on the shard."""

    shard: str
    epoch: int


class JobAccepted(msgspec.Struct, tag="job", frozen=True):
    """A batch job or gang, homed at one shard.

    ``epoch`` is the home's claim as the writer knew it; 0 if unknown.
    """

    job: str
    workload: str
    owner: str
    shard: str
    count: int
    payload: bytes
    epoch: int = 0


class TasksEnded(msgspec.Struct, tag="ended", frozen=True):
    """Tasks of a job that ended, by index, with the same outcome."""

    job: str
    indices: list[int]
    outcome: str


class JobCancelled(msgspec.Struct, tag="cancel", frozen=True):
    """No further task of the job may start."""

    job: str


class IntentRecorded(msgspec.Struct, tag="intent", frozen=True):
    """A keyed request is about to be sent, at most once."""

    key: str
    service: str
    body_digest: str
    daemon: str


class KeyOutcome(msgspec.Struct, tag="outcome", frozen=True):
    """What became of a keyed request; a small answer is kept whole.

    It counts only from the daemon whose intent is the one on record.
    """

    key: str
    outcome: str
    status: int
    body: bytes | None
    daemon: str


class SnapshotPart(msgspec.Struct, tag="snapshot", frozen=True):
    """One part of a snapshot of the stream's state.

    The snapshot holds the effect of every record before offset ``as_of``. It is
    complete once parts 0 to ``parts - 1`` with the same ``name`` were read.
    """

    name: str
    as_of: int
    part: int
    parts: int
    checksum: str
    data: bytes


Record = (
    CellRevision
    | DaemonJoined
    | ClaimMade
    | ClaimReleased
    | JobAccepted
    | TasksEnded
    | JobCancelled
    | IntentRecorded
    | KeyOutcome
    | SnapshotPart
)


class Batch(msgspec.Struct, frozen=True):
    """What one append carries."""

    version: int
    writer: str
    records: list[msgspec.Raw]


class _Versioned(msgspec.Struct):
    version: int


_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(Batch)
_VERSION = msgspec.msgpack.Decoder(_Versioned)
_RECORD = msgspec.msgpack.Decoder(Record)


def encode_batch(writer: str, records: list[Record]) -> bytes:
    """Return one append's data."""
    raw = [msgspec.Raw(_ENCODER.encode(record)) for record in records]
    return _ENCODER.encode(Batch(FORMAT_VERSION, writer, raw))


def decode_batch(data: bytes) -> tuple[str, list[Record]]:
    """Return the writer and the records of one append.

    Raises
    ------
    ProtocolError
        If the data is damaged or of a newer version; a reader must then stop
        rather than go on with a part.
    """
    try:
        version = _VERSION.decode(data).version
        if version > FORMAT_VERSION:
            text = f"record of version {version}, this program reads {FORMAT_VERSION}"
            raise ProtocolError(text, step="records.decode")
        batch = _BATCH.decode(data)
        return batch.writer, [_RECORD.decode(raw) for raw in batch.records]
    except msgspec.MsgspecError as exc:
        raise ProtocolError(f"damaged record: {exc}", step="records.decode") from exc


def epoch_of(offset: int, index: int) -> int:
    """Return the epoch of the claim at ``index`` of the batch at ``offset``."""
    return offset * MAX_BATCH + index
