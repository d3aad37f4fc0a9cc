"""Stored records: accepted jobs, cancellations, claims, progress, members and queues.

A pool has two topics. Any daemon appends accepted jobs, cancellations and claims to
the first, under keys of their own, so that a repeated submission never overwrites
progress. Only the owner appends to the second, fenced by its term.
"""

from __future__ import annotations

import hashlib

import msgspec

from siskinroad.codec import DECODE_ERRORS
from siskinroad.errors import ProtocolError
from siskinroad.work.crash_record import CrashNote
from siskinroad.work.model import JobSpec, Step
from siskinroad.work.store import Record

__all__ = [
    "CLOSINGS_START",
    "MEMBERS_TOPIC",
    "OWNER_KEY",
    "QUEUE_PREFIX",
    "Accepted",
    "Cancelled",
    "EarlierClaims",
    "FormerOwner",
    "HostSet",
    "KnownRuns",
    "Loans",
    "Member",
    "OwnerRecord",
    "Progress",
    "QueueClosed",
    "QueueClosing",
    "Released",
    "Stored",
    "StoredQueue",
    "TaskProgress",
    "assigned_key",
    "cancel_key",
    "closing_key",
    "decode_stored",
    "encode_stored",
    "is_job_topic",
    "job_of_key",
    "job_topic",
    "progress_key",
    "progress_topic",
    "queue_key",
    "record_of",
]

MEMBERS_TOPIC = "members"
# First part of the keys of closings. They sort behind the keys of jobs, so that one
# read of the newest records from here on returns them alone.
CLOSINGS_START = "~"
CLOSING_PREFIX = CLOSINGS_START + "closing "
CLOSED_PREFIX = CLOSINGS_START + "closed "
JOB_TOPIC_PREFIX = "jobs."
OWNER_KEY = "@owner"
RELEASED_KEY = "@released"
HOSTS_KEY = "@hosts"
LOANS_PREFIX = "@loans "
QUEUE_PREFIX = "@queue "
# Bytes of the digest in the key of a queue's record: names and prefixes may be longer
# than a key.
QUEUE_DIGEST_SIZE = 16
# Most steps of a job, and most tasks of one occurrence, that are read from the store. A
# caller's job has fewer; the time and the memory that a job takes grow with them.
MAX_STEPS = 1_000
MAX_TASKS = 20_000
CANCEL_SUFFIX = "!"
PART_SEPARATOR = "#"
ASSIGNMENT_SEPARATOR = "@"


class Accepted(msgspec.Struct, tag="job", frozen=True, omit_defaults=True):
    """A submitted job, accepted once this is stored; ``at`` is Unix time in seconds.

    ``data_centre`` is that of the daemon that took the job from its caller; it is empty
    in records of earlier versions. ``account`` names the client account for which the
    job runs; it is empty if the caller needed no key. ``assigned`` is the version by
    which the queue was assigned to the pool; -1 in records of earlier versions of this
    program.
    """

    job: str
    queue: str
    pool: str
    at: float
    spec: JobSpec
    data_centre: str = ""
    account: str = ""
    assigned: int = -1


class Cancelled(msgspec.Struct, tag="cancel", frozen=True):
    """A cancellation stored while the pool's owner was unreachable.

    ``at`` is Unix time in seconds.
    """

    job: str
    at: float


class OwnerRecord(msgspec.Struct, tag="owner", frozen=True):
    """A claim of a pool.

    The term of the claim is its offset plus one; the highest term owns the pool.

    Attributes
    ----------
    limits_leases : bool
        Whether leases end by a rule of an earlier version. Not set any more, so that a
        successor of that version waits for the longest time.
    uses_witnesses : bool
        Whether leases end as `witnesses` says; false for earlier versions.
    earlier : EarlierClaims or None
        The claims that this one follows; None in records of earlier versions.
    """

    node: str
    incarnation: int
    limits_leases: bool = False
    uses_witnesses: bool = False
    earlier: EarlierClaims | None = None


class FormerOwner(msgspec.Struct, frozen=True, array_like=True):
    """An owner of an earlier term; the fields of ``OwnerRecord`` are the same here.

    Attributes
    ----------
    witnesses, hosts : tuple of str or None
        Names of its witnesses, and of the hosts that it has stored; None if it has
        stored none, or extends no lease any more.
    """

    node: str
    incarnation: int
    term: int
    limits_leases: bool = False
    uses_witnesses: bool = False
    witnesses: tuple[str, ...] | None = None
    hosts: tuple[str, ...] | None = None


class EarlierClaims(msgspec.Struct, frozen=True, array_like=True):
    """The claims that one follows, see `earlier_claims`.

    Attributes
    ----------
    claims : tuple of FormerOwner
        Claims before this one, the oldest first, without witnesses and hosts.
    unread : tuple of (int, int)
        Ranges of offsets in which further claims may be: the first offset, and that
        after the last one.
    read_to : int
        Offset up to which the claimant had read. Between it and the claim further
        claims may be, too.
    """

    claims: tuple[FormerOwner, ...]
    unread: tuple[tuple[int, int], ...]
    read_to: int


class KnownRuns(msgspec.Struct, frozen=True, array_like=True):
    """Runs that an owner may have started and that may go on as it stops.

    Attributes
    ----------
    hosts : tuple of (str, tuple of tuple)
        Names of hosts, each with the tasks of its runs: their job, occurrence, step and
        index.
    unstored_jobs : tuple of str
        Jobs with changes that may not be stored.
    """

    hosts: tuple[tuple[str, tuple[tuple[str, int, int, int], ...]], ...]
    unstored_jobs: tuple[str, ...] = ()


class Released(msgspec.Struct, tag="released", frozen=True):
    """Notice that the owner of ``term`` has stopped all its calls to hosts.

    ``runs`` are those that may go on; None if it does not tell, as in earlier versions.
    """

    term: int
    runs: KnownRuns | None = None


class Member(msgspec.Struct, tag="member", frozen=True):
    """A daemon, its incarnation, and the address at which it listens for its peers."""

    node: str
    incarnation: int
    address: str
    data_centre: str
    region: str


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of a task of which a start was ordered.

    ``failed_runs`` lists the runs that failed through the task's own fault. With their
    numbers stored, an end that a host reports again to another owner is not counted
    twice, in whatever order the ends arrive. ``crashes`` are the crashes of hosts under
    the task; records of earlier versions have none. ``has_begun`` is whether a host has
    begun a run of it; earlier versions took each note for that.
    """

    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: tuple[CrashNote, ...] = ()
    has_begun: bool = True


class Progress(msgspec.Struct, tag="progress", frozen=True, omit_defaults=True):
    """Stored progress of a job; a newer record replaces it as a whole.

    ``state`` is empty until the job ends; ``at`` is Unix time in seconds. ``done`` has
    the first and last number of the ranges of occurrences whose tasks are all done and
    have no notes. A long one is stored in ``parts`` records, numbered by ``part``.
    """

    job: str
    state: str
    at: float
    notes: tuple[TaskProgress, ...]
    done: tuple[tuple[int, int], ...] = ()
    part: int = 0
    parts: int = 1


class StoredQueue(msgspec.Struct, tag="queue", frozen=True, omit_defaults=True):
    """A queue as it was sent to a pool, which may hold jobs of it since then.

    The fields are those of ``Queue``. ``advice`` has its three fields in order, and is
    empty if the queue needs none. What only the reception of new jobs needs is left
    out.

    ``version`` is a version of the configuration by which the queue is assigned to the
    pool. Of the records of one queue, that of the highest version tells its pool. It is
    0 in records of earlier versions of this program.
    """

    name: str
    virtual_host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    slack: float
    target: float
    advice: tuple[float, ...] = ()
    version: int = 0


class QueueClosing(msgspec.Struct, tag="closing", frozen=True):
    """Mark in a pool's topic of jobs, behind which a queue takes no more of them.

    It holds for jobs of older assignments than that of ``version``.
    """

    queue: str
    version: int


class QueueClosed(msgspec.Struct, tag="closed", frozen=True):
    """Note of a pool's owner that a closing is complete (`queue_closings`)."""

    queue: str
    version: int


class HostSet(msgspec.Struct, tag="hosts", frozen=True):
    """Hosts on which runs of this term, or of an earlier one, may exist (`used_hosts`).

    Attributes
    ----------
    term : int
        The owner's term.
    settled : bool
        Whether all runs started by owners of earlier terms are reconciled with this
        owner's view.
    unreconciled : tuple of FormerOwner or None
        Until then, the owners of earlier terms that may still renew leases; None if
        they are not known, and in records of earlier versions.
    witnesses : tuple of str or None
        Names of the witnesses of this term's owner; None in records of earlier
        versions.
    """

    names: tuple[str, ...]
    term: int
    settled: bool
    unreconciled: tuple[FormerOwner, ...] | None = None
    witnesses: tuple[str, ...] | None = None


class Loans(msgspec.Struct, tag="loans", frozen=True):
    """Parts of one client account's limit that the pool's owner has lent.

    ``lent`` has the thousandths of the limit by borrowing pool: of processors, of
    memory and of accelerators.
    """

    account: str
    lent: dict[str, tuple[int, int, int]]


Stored = (
    Accepted
    | Cancelled
    | OwnerRecord
    | Released
    | Member
    | Progress
    | HostSet
    | Loans
    | StoredQueue
    | QueueClosing
    | QueueClosed
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Stored)


def job_topic(pool: str) -> str:
    """Return the topic for a pool's jobs, cancellations and claims."""
    return JOB_TOPIC_PREFIX + pool


def is_job_topic(topic: str) -> bool:
    """Return whether a topic holds the jobs, cancellations and claims of a pool."""
    return topic.startswith(JOB_TOPIC_PREFIX)


def progress_topic(pool: str) -> str:
    """Return the topic to which only a pool's owner appends."""
    return f"progress.{pool}"


def encode_stored(stored: Stored) -> bytes:
    """Encode a value for the store."""
    return _ENCODER.encode(stored)


def decode_stored(value: bytes) -> Stored:
    """Decode a value from the store.

    Raises
    ------
    ProtocolError
        If the bytes do not encode a stored value, or a job or a part of progress that
        cannot be.
    """
    try:
        stored = _DECODER.decode(value)
    except DECODE_ERRORS as exc:
        raise ProtocolError(str(exc), step="records.unpack") from exc
    if isinstance(stored, Accepted):
        _check_steps(stored.spec.steps)
    if isinstance(stored, Progress):
        _check_part(stored)
    return stored


def _check_part(progress: Progress) -> None:
    """Raise ``ProtocolError`` if a further part of progress has an impossible number.

    The first part holds however many it names: it says what has ended.
    """
    if progress.part and not 0 < progress.part < progress.parts:
        raise ProtocolError(
            f"expected a part below {progress.parts}, got {progress.part}",
            step="records.unpack",
        )


def _check_steps(steps: tuple[Step, ...]) -> None:
    """Raise ``ProtocolError`` if an owner could not hold a job of these steps.

    No caller's job is concerned: it was checked more strictly before it was stored.
    """
    if not 0 < len(steps) <= MAX_STEPS:
        raise ProtocolError(
            f"expected 1 to {MAX_STEPS} steps, got {len(steps)}", step="records.unpack"
        )
    tasks = 0
    for i, step in enumerate(steps):
        tasks += step.count
        if step.count < 1 or tasks > MAX_TASKS:
            raise ProtocolError(
                f"step {i}: expected at least 1 task, and at most {MAX_TASKS} in all, "
                f"got {step.count}",
                step="records.unpack",
            )
        for other in step.after:
            if not 0 <= other < i:
                raise ProtocolError(
                    f"step {i}: expected dependencies on earlier steps only, "
                    f"got one on {other}",
                    step="records.unpack",
                )


def queue_key(queue: StoredQueue) -> str:
    """Return the key of a queue's record.

    There is one for each address and pool of a queue, and each version that assigned
    it to the pool anew: a late append of one replaces no other.
    """
    parts = [queue.name, queue.virtual_host, queue.prefix, queue.pool]
    if queue.version:
        parts.append(str(queue.version))
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=QUEUE_DIGEST_SIZE)
    return QUEUE_PREFIX + digest.hexdigest()


def assigned_key(job: str, version: int) -> str:
    """Return the key of a job of a moved queue, stored by an assignment's version.

    A late append by an older assignment, which may not count, replaces no newer one.
    """
    return f"{job}{ASSIGNMENT_SEPARATOR}{version}"


def job_of_key(key: str) -> str:
    """Return the job whose record has a key."""
    return key.partition(ASSIGNMENT_SEPARATOR)[0]


def closing_key(closing: QueueClosing) -> str:
    """Return the key of a closing; each version has one, so that none is replaced."""
    return f"{CLOSING_PREFIX}{_digest_name(closing.queue)} {closing.version}"


def _digest_name(name: str) -> str:
    digest = hashlib.blake2b(name.encode(), digest_size=QUEUE_DIGEST_SIZE)
    return digest.hexdigest()


def cancel_key(job: str) -> str:
    """Return the key of a job's cancellation."""
    return job + CANCEL_SUFFIX


def progress_key(job: str, part: int = 0) -> str:
    """Return the key of one part of a job's progress."""
    return f"{job}{PART_SEPARATOR}{part}" if part else job


def record_of(stored: Stored) -> Record:
    """Return the record for a value, with the key under which it is stored."""
    match stored:
        case Accepted(job=job):
            key = job
        case Progress():
            key = progress_key(stored.job, stored.part)
        case Cancelled(job=job):
            key = cancel_key(job)
        case OwnerRecord():
            key = OWNER_KEY
        case Released():
            key = RELEASED_KEY
        case HostSet():
            key = HOSTS_KEY
        case Loans(account=account):
            key = LOANS_PREFIX + account
        case Member(node=node):
            key = node
        case StoredQueue():
            key = queue_key(stored)
        case QueueClosing():
            key = closing_key(stored)
        case QueueClosed(queue=queue):
            key = CLOSED_PREFIX + _digest_name(queue)
    return Record(key, encode_stored(stored))
