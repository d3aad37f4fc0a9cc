"""What is kept in the store: accepted jobs, cancellations, owners and progress.

A pool has two topics. Any daemon adds accepted jobs, cancellations and claims
to the first, under keys of their own, so that a repeated submission never
overwrites progress. Only the owner writes to the second, fenced by its term.
"""

from __future__ import annotations

import msgspec

from siskinroad.errors import ProtocolError
from siskinroad.work.model import JobSpec
from siskinroad.work.store import Record

__all__ = [
    "MEMBERS_TOPIC",
    "OWNER_KEY",
    "Accepted",
    "Cancelled",
    "HostSet",
    "Member",
    "OwnerRecord",
    "Progress",
    "Released",
    "Stored",
    "TaskNote",
    "job_topic",
    "pack",
    "progress_topic",
    "record_of",
    "unpack",
]

MEMBERS_TOPIC = "members"
OWNER_KEY = "@owner"
RELEASED_KEY = "@released"
HOSTS_KEY = "@hosts"
CANCEL_SUFFIX = "!"


class Accepted(msgspec.Struct, tag="job", frozen=True, omit_defaults=True):
    """A job that its caller was told is accepted; ``at`` is Unix time in seconds."""

    job: str
    queue: str
    pool: str
    at: float
    spec: JobSpec


class Cancelled(msgspec.Struct, tag="cancel", frozen=True):
    """A job that its caller cancelled while its owner was not reached."""

    job: str
    at: float


class OwnerRecord(msgspec.Struct, tag="owner", frozen=True):
    """A claim of a pool; its offset plus one is the term. The highest term owns."""

    node: str
    incarnation: int


class Released(msgspec.Struct, tag="released", frozen=True):
    """The owner of ``term`` has stopped all its calls to hosts."""

    term: int


class Member(msgspec.Struct, tag="member", frozen=True):
    """A daemon, its life and where it listens for others."""

    node: str
    incarnation: int
    address: str
    data_centre: str
    region: str


class TaskNote(msgspec.Struct, frozen=True, array_like=True):
    """What must last of a task; only of tasks that have been started.

    ``failed`` names the runs that failed through the task's own fault: an end that
    is listed again to another owner is not counted twice, in whatever order.
    """

    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    failed: tuple[int, ...]
    checkpoint: str


class Progress(msgspec.Struct, tag="progress", frozen=True, omit_defaults=True):
    """All that is recorded of a job; a newer record replaces it whole.

    ``state`` is empty while the job goes on; ``at`` is Unix time in seconds.
    """

    job: str
    state: str
    at: float
    notes: tuple[TaskNote, ...]


class HostSet(msgspec.Struct, tag="hosts", frozen=True):
    """Every host on which work of this term, or of one before it, may run.

    Attributes
    ----------
    term : int
        The owner's term.
    settled : bool
        All that owners before this term started is accounted for.
    """

    names: tuple[str, ...]
    term: int
    settled: bool


Stored = Accepted | Cancelled | OwnerRecord | Released | Member | Progress | HostSet

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Stored)


def job_topic(pool: str) -> str:
    """Return the topic of a pool's jobs, cancellations and claims."""
    return f"jobs.{pool}"


def progress_topic(pool: str) -> str:
    """Return the topic that only a pool's owner writes to."""
    return f"progress.{pool}"


def pack(stored: Stored) -> bytes:
    """Return a stored value's bytes."""
    return _ENCODER.encode(stored)


def unpack(value: bytes) -> Stored:
    """Return the stored value.

    Raises
    ------
    ProtocolError
        If the bytes are not one.
    """
    try:
        return _DECODER.decode(value)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ProtocolError(str(exc), step="records.unpack") from exc


def record_of(stored: Stored) -> Record:
    """Return the keyed record of a stored value."""
    match stored:
        case Accepted(job=job) | Progress(job=job):
            key = job
        case Cancelled(job=job):
            key = job + CANCEL_SUFFIX
        case OwnerRecord():
            key = OWNER_KEY
        case Released():
            key = RELEASED_KEY
        case HostSet():
            key = HOSTS_KEY
        case Member(node=node):
            key = node
    return Record(key, pack(stored))
