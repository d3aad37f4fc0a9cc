"""Messages between daemons, encoded as MessagePack."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from siskinroad.codec import msgpack_codec
from siskinroad.configuration import RevisionText
from siskinroad.platform import ListedHost

__all__ = [
    "CODEC",
    "Digest",
    "Echo",
    "Forward",
    "ForwardAck",
    "ForwardQuery",
    "Heartbeat",
    "HostListUpdate",
    "JobReply",
    "JobRequest",
    "LogFetch",
    "LogRecords",
    "LogTail",
    "Message",
    "Reply",
    "RevisionOffer",
    "RevisionWanted",
    "ShardUpdate",
    "SnapshotWanted",
    "decode",
    "encode",
]


class ShardUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update by a shard's owner on its state.

    ``free`` is the number of free slots, ``waits`` the expected wait in seconds
    by workload.
    """

    shard: str
    epoch: int
    free: int
    waits: dict[str, float]


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """Echo of a peer's latest stamp, with the shards on which it confirms no claim.

    ``claimed_shards`` lists the shards on which the sender has or may have a claim, and
    those that the receiver states in its own echo although the sender has read another
    daemon's later claim; on all others the echo confirms the receiver's claim. The
    stamp is returned as it was received; only the daemon that made it can read it.
    """

    stamp: float
    claimed_shards: list[str]


class Heartbeat(msgspec.Struct, tag="hb", frozen=True):
    """Heartbeat to each other daemon of the data centre.

    Attributes
    ----------
    stamp : float
        The sender's stamp (`siskinroad.stamps`) of the present, which the receiver
        echoes.
    admits : list of str or None
        Daemons whose echoes the sender needs to count its claims as confirmed by
        peers; None if unchanged since an earlier heartbeat of this incarnation.
    """

    name: str
    incarnation: int
    stamp: float
    echo: Echo | None
    revision: int
    draining: bool
    joined: bool
    admits: list[str] | None
    shards: list[ShardUpdate]


class Digest(msgspec.Struct, tag="digest", frozen=True):
    """Summary of a data centre's shards, sent to other data centres.

    ``owners`` has each shard's owner and the owner's incarnation. ``stamp`` orders
    the digests of one sender. ``relay`` asks the receiver to forward the digest within
    its data centre.
    """

    name: str
    data_centre: str
    region: str
    revision: int
    stamp: int
    owners: dict[str, tuple[str, int]]
    shards: list[ShardUpdate]
    relay: bool


class LogTail(msgspec.Struct, tag="tail", frozen=True):
    """Notice from the log's reader that it has read the stream up to ``next``.

    ``stamp`` is the receiver's own stamp, which the reader had received before it began
    that read.
    """

    stream: str
    next: int
    stamp: float


class LogRecords(msgspec.Struct, tag="records", frozen=True):
    """Consecutive appends of a stream, the first at offset ``start``."""

    stream: str
    start: int
    records: list[bytes]


class LogFetch(msgspec.Struct, tag="fetch", frozen=True):
    """Request to the log's reader for the appends from offset ``start`` on."""

    name: str
    stream: str
    start: int


class SnapshotWanted(msgspec.Struct, tag="snapwant", frozen=True):
    """Request for a snapshot, as the sender lacks records trimmed from the log."""

    name: str


class RevisionOffer(msgspec.Struct, tag="offer", frozen=True):
    """Complete revision of the cell file for a daemon that lacks it."""

    whole: RevisionText


class RevisionWanted(msgspec.Struct, tag="want", frozen=True):
    """Request for the revision in force if it is newer than ``known``."""

    name: str
    known: int


class HostListUpdate(msgspec.Struct, tag="list", frozen=True):
    """Update with the platform's list of the data centre's hosts."""

    # Metrics keep the label of the class's earlier name.
    METRIC_KIND: ClassVar[str] = "ListNews"

    version: str
    hosts: list[ListedHost]


class Forward(msgspec.Struct, tag="fwd", frozen=True):
    """Request of a caller for a shard that the receiver owns.

    The sender repeats it until it is acknowledged or answered; the receiver runs each
    ``id`` once. If the receiver's incarnation is not ``incarnation``, it replies that
    the outcome is unknown, as its earlier incarnation may have run the request.
    ``left`` is the time left to answer, in seconds.
    """

    name: str
    id: str
    incarnation: int
    shard: str
    service: str
    left: float
    key: str
    path: str
    body: bytes


class ForwardAck(msgspec.Struct, tag="ack", frozen=True):
    """Acknowledgement that a forwarded request has arrived."""

    id: str


class ForwardQuery(msgspec.Struct, tag="fask", frozen=True):
    """Query for the reply to a forwarded request that was acknowledged."""

    # Metrics keep the label of the class's earlier name.
    METRIC_KIND: ClassVar[str] = "ForwardAsk"

    name: str
    id: str


class Reply(msgspec.Struct, tag="reply", frozen=True):
    """Reply to a forwarded request: the complete response or the refusal."""

    id: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    reason: str = ""
    step: str = ""
    outcome: str = ""
    retry_after: float = 0.0
    message: str = ""


class JobRequest(msgspec.Struct, tag="job", frozen=True):
    """Request to another daemon about a job, with the operation in ``op``."""

    name: str
    id: str
    op: str
    job: str
    shard: str
    workload: str
    count: int
    payload: bytes


class JobReply(msgspec.Struct, tag="jobreply", frozen=True):
    """Reply to a ``JobRequest``: status 0 and the result, or 1 and the refusal."""

    id: str
    status: int
    body: bytes


Message = (
    Heartbeat
    | Digest
    | LogTail
    | LogRecords
    | LogFetch
    | HostListUpdate
    | SnapshotWanted
    | RevisionOffer
    | RevisionWanted
    | Forward
    | ForwardAck
    | ForwardQuery
    | Reply
    | JobRequest
    | JobReply
)

CODEC = msgpack_codec(Message)
encode = CODEC.encode
decode = CODEC.decode
