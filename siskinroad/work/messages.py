"""Messages between daemons that work on the platform's store."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from siskinroad.codec import msgpack_codec

__all__ = [
    "CODEC",
    "AdviceReply",
    "AdviceRequest",
    "Beat",
    "Hello",
    "JobAnswer",
    "JobQuestion",
    "Message",
    "RelayReply",
    "RelayRequest",
    "SubmitOutcome",
    "SubmitReply",
    "SubmitRequest",
    "decode",
    "encode",
]


class Beat(msgspec.Struct, tag="beat", frozen=True, array_like=True):
    """Sent by every daemon to every other one.

    Attributes
    ----------
    owned : tuple of tuple
        Pools that the sender owns, each with its term.
    store_age : float
        Seconds since the store last answered the sender.
    leaving : bool
        The sender is about to stop.
    able : bool
        The sender has been up for long enough to claim a pool.
    backlog : float
        Seconds of calls to the advisor that wait on the sender's line.
    claiming : tuple of str
        Pools that the sender is about to own.
    """

    node: str
    incarnation: int
    owned: tuple[tuple[str, int], ...]
    store_age: float
    leaving: bool
    able: bool
    backlog: float = 0.0
    claiming: tuple[str, ...] = ()


class Hello(msgspec.Struct, tag="hello", frozen=True, array_like=True):
    """Sent to a daemon whenever a connection to it stands anew.

    One that has just started and does not reach the store learns so of the others.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    region: str


class JobQuestion(msgspec.Struct, tag="job?", frozen=True, array_like=True):
    """Asks a pool's owner for a job's state, its cancelling, or a queue's count.

    ``verb`` is ``show``, ``cancel`` or ``pending``; ``subject`` names a job or,
    for ``pending``, a queue.
    """

    id: int
    pool: str
    verb: str
    subject: str


class JobAnswer(msgspec.Struct, tag="job!", frozen=True, array_like=True):
    """Answers a ``JobQuestion``.

    ``state`` is empty if there is no such job, and ``unsure`` says that the
    answerer does not know.
    """

    id: int
    unsure: str
    state: str
    pending: int


class SubmitOutcome(StrEnum):
    """What became of a record that was to be stored."""

    STORED = "stored"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class SubmitRequest(msgspec.Struct, tag="submit?", frozen=True, array_like=True):
    """Asks the daemon that gathers a pool's jobs to store a record.

    ``left`` is the time in seconds that the caller still waits.
    """

    id: int
    pool: str
    key: str
    value: bytes
    left: float


class SubmitReply(msgspec.Struct, tag="submit!", frozen=True, array_like=True):
    """Answers a ``SubmitRequest``."""

    id: int
    outcome: SubmitOutcome


class AdviceRequest(msgspec.Struct, tag="advice?", frozen=True, array_like=True):
    """Asks the receiver to call the advisor on its own line.

    ``duration`` is the expected time of the call, ``timeout`` the longest.
    """

    id: int
    job: str
    occurrence: int
    step: int
    hosts: tuple[str, ...]
    duration: float
    timeout: float


class AdviceReply(msgspec.Struct, tag="advice!", frozen=True, array_like=True):
    """The advisor's answer; ``valid`` is 0 if there was none."""

    id: int
    tickets: dict[str, str]
    valid: float


class RelayRequest(msgspec.Struct, tag="relay?", frozen=True, array_like=True):
    """A call to the store for a sender that does not reach it.

    ``call`` is the encoded call, in the store client's own form.
    """

    id: int
    call: bytes
    timeout: float


class RelayReply(msgspec.Struct, tag="relay!", frozen=True, array_like=True):
    """Answers a ``RelayRequest``.

    ``outcome`` is ``answered``, ``not done`` or ``unknown``.
    """

    id: int
    outcome: str
    answer: bytes


Message = (
    Beat
    | Hello
    | JobQuestion
    | JobAnswer
    | AdviceRequest
    | AdviceReply
    | RelayRequest
    | RelayReply
    | SubmitRequest
    | SubmitReply
)

CODEC = msgpack_codec(Message)
encode = CODEC.encode
decode = CODEC.decode
