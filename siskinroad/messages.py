"""Messages between daemons; msgspec encodes them."""

from __future__ import annotations

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
    "ForwardAsk",
    "Heartbeat",
    "JobReply",
    "JobRequest",
    "ListNews",
    "LogFetch",
    "LogRecords",
    "LogTail",
    "Message",
    "Reply",
    "RevisionOffer",
    "RevisionWanted",
    "ShardNews",
    "SnapshotWanted",
    "decode",
    "encode",
]


class ShardNews(msgspec.Struct, frozen=True, array_like=True):
    """What an owner says of one shard; ``waits`` in seconds by workload."""

    shard: str
    epoch: int
    free: int
    waits: dict[str, float]


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """Returns a peer's latest stamp, with the shards claimed against it."""

    stamp: float
    contests: list[str]


class Heartbeat(msgspec.Struct, tag="hb", frozen=True):
    """Sent to each daemon of the data centre.

    Attributes
    ----------
    stamp : float
        The sender's loop time, which the receiver echoes.
    admits : list of str or None
        Daemons without whose echo the sender counts no peer confirmation; None
        if they are those of an earlier heartbeat of this incarnation.
    """

    name: str
    incarnation: int
    stamp: float
    echo: Echo | None
    revision: int
    draining: bool
    joined: bool
    admits: list[str] | None
    shards: list[ShardNews]


class Digest(msgspec.Struct, tag="digest", frozen=True):
    """News of a whole data centre for another one.

    ``owners`` has the daemon and its incarnation by shard, ``stamp`` orders the
    digests of one sender, ``relay`` asks the receiver to pass it on within its
    data centre.
    """

    name: str
    data_centre: str
    region: str
    revision: int
    stamp: int
    owners: dict[str, tuple[str, int]]
    shards: list[ShardNews]
    relay: bool


class LogTail(msgspec.Struct, tag="tail", frozen=True):
    """The reader has read the stream to ``next``.

    ``stamp`` is the receiver's own, got before that read began.
    """

    stream: str
    next: int
    stamp: float


class LogRecords(msgspec.Struct, tag="records", frozen=True):
    """Consecutive appends of a stream."""

    stream: str
    start: int
    records: list[bytes]


class LogFetch(msgspec.Struct, tag="fetch", frozen=True):
    """Asks the reader for records from ``start`` on."""

    name: str
    stream: str
    start: int


class SnapshotWanted(msgspec.Struct, tag="snapwant", frozen=True):
    """The sender lacks records that the log no longer has."""

    name: str


class RevisionOffer(msgspec.Struct, tag="offer", frozen=True):
    """A whole revision of the cell file for a daemon that has none."""

    whole: RevisionText


class RevisionWanted(msgspec.Struct, tag="want", frozen=True):
    """Asks for the revision in force if it is newer than ``known``."""

    name: str
    known: int


class ListNews(msgspec.Struct, tag="list", frozen=True):
    """The platform's list of the data centre's hosts."""

    version: str
    hosts: list[ListedHost]


class Forward(msgspec.Struct, tag="fwd", frozen=True):
    """A caller's request for a shard that the receiver owns.

    Sent again until it is answered; the receiver runs each ``id`` once. It says
    that the outcome is unknown if its own incarnation is not the one named, as
    an earlier one may have run the request.
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
    """The forwarded request has arrived."""

    id: str


class ForwardAsk(msgspec.Struct, tag="fask", frozen=True):
    """Asks after a request that was acknowledged."""

    name: str
    id: str


class Reply(msgspec.Struct, tag="reply", frozen=True):
    """The whole answer, or the refusal, of a forwarded request."""

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
    """Submit, watch or cancel a job at another daemon."""

    name: str
    id: str
    op: str
    job: str
    shard: str
    workload: str
    count: int
    payload: bytes


class JobReply(msgspec.Struct, tag="jobreply", frozen=True):
    """Status and JSON body of a ``JobRequest``."""

    id: str
    status: int
    body: bytes


Message = (
    Heartbeat
    | Digest
    | LogTail
    | LogRecords
    | LogFetch
    | ListNews
    | SnapshotWanted
    | RevisionOffer
    | RevisionWanted
    | Forward
    | ForwardAck
    | ForwardAsk
    | Reply
    | JobRequest
    | JobReply
)

CODEC = msgpack_codec(Message)
encode = CODEC.encode
decode = CODEC.decode
