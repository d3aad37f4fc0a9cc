"""Records of the platform's log; each append holds a batch of records."""

from __future__ import annotations

import msgspec

from siskinroad.codec import DECODE_ERRORS
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

# Version written with each batch; a reader stops at a newer one.
FORMAT_VERSION = 1
# Most records in one append. An epoch is offset * MAX_BATCH + index, so a larger batch
# would make epochs of two appends collide.
MAX_BATCH = 1024


class CellRevision(msgspec.Struct, tag="cell", frozen=True):
    """New cell file as a delta; valid only if it replaces the one in force.

    ``digest`` is the digest of the complete text. ``key`` identifies the operator's
    request, so that a repeated one is recognised.
    """

    revision: int
    replaces: int
    delta: Delta
    digest: str
    key: str


class DaemonJoined(msgspec.Struct, tag="join", frozen=True):
    """Admission of a daemon, which may claim shards from this record on."""

    daemon: str
    incarnation: int


class ClaimMade(msgspec.Struct, tag="claim", frozen=True):
    """Claim of a daemon on a shard; valid only if it replaces the one in force.

    ``replaces`` is the epoch of the claim in force, 0 if there is none.
    """

    shard: str
    daemon: str
    incarnation: int
    replaces: int


class ClaimReleased(msgspec.Struct, tag="release", frozen=True):
    """Release of a shard, whose holder has stopped placing work on it."""

    shard: str
    epoch: int


class JobAccepted(msgspec.Struct, tag="job", frozen=True):
    """Accepted batch job or gang, owned by one home shard.

    ``epoch`` is that of the claim on the home shard as known to the writer, 0 if
    unknown.
    """

    job: str
    workload: str
    owner: str
    shard: str
    count: int
    payload: bytes
    epoch: int = 0


class TasksEnded(msgspec.Struct, tag="ended", frozen=True):
    """Tasks of a job that ended with the same outcome, by index."""

    job: str
    indices: list[int]
    outcome: str


class JobCancelled(msgspec.Struct, tag="cancel", frozen=True):
    """Cancellation of a job, of which no further task may start."""

    job: str


class IntentRecorded(msgspec.Struct, tag="intent", frozen=True):
    """Intent to send a keyed request, at most once.

    ``number`` tells apart the intents of a daemon, in all its incarnations.
    """

    key: str
    service: str
    body_digest: str
    daemon: str
    number: int = 0


class KeyOutcome(msgspec.Struct, tag="outcome", frozen=True):
    """Outcome of a keyed request; a small response body is stored with it.

    It is valid only for the stored intent for the key, which ``daemon`` and ``number``
    identify.
    """

    key: str
    outcome: str
    status: int
    body: bytes | None
    daemon: str
    number: int = 0


class SnapshotPart(msgspec.Struct, tag="snapshot", frozen=True):
    """One part of a snapshot of the stream's state.

    The snapshot includes the effect of every record before offset ``as_of``. It is
    complete once parts 0 to ``parts - 1`` of the same ``name`` have been read.
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
    """Contents of one append."""

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
    """Encode the data of one append."""
    raw = [msgspec.Raw(_ENCODER.encode(record)) for record in records]
    return _ENCODER.encode(Batch(FORMAT_VERSION, writer, raw))


def decode_batch(data: bytes) -> tuple[str, list[Record]]:
    """Decode one append into its writer and its records.

    Raises
    ------
    ProtocolError
        If the data is corrupt or has a newer format version. The reader must then
        stop, as its state would lack these records.
    """
    try:
        version = _VERSION.decode(data).version
        if version > FORMAT_VERSION:
            text = f"record has format version {version}, limit is {FORMAT_VERSION}"
            raise ProtocolError(text, step="records.decode")
        batch = _BATCH.decode(data)
        return batch.writer, [_RECORD.decode(raw) for raw in batch.records]
    except DECODE_ERRORS as exc:
        raise ProtocolError(f"damaged record: {exc}", step="records.decode") from exc


def epoch_of(offset: int, index: int) -> int:
    """Return the epoch of the claim at ``index`` of the batch at ``offset``."""
    return offset * MAX_BATCH + index
