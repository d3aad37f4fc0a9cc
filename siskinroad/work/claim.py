"""Takeover of a pool: the claim in the store, and the state of the former owner.

The claim is appended to the pool's topic of accepted jobs. The term is the claim's
offset plus one, so terms are unique and increase, and the highest term owns the pool.
A former owner that follows the topic reads the claim before any job accepted after
it. The append is unconditional: an append that requires the topic to end at a given
offset would fail repeatedly while the store is slow and others append.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from msgspec import structs

from siskinroad.errors import ProtocolError, SiskinroadError
from siskinroad.work.earlier_claims import (
    OffsetRange,
    find_valid,
    list_unread,
    name_claims,
)
from siskinroad.work.job_keys import JobKeys
from siskinroad.work.progress_records import PartedProgress
from siskinroad.work.queue_closings import QueueClosings
from siskinroad.work.records import (
    CANCEL_SUFFIX,
    Accepted,
    Cancelled,
    EarlierClaims,
    FormerOwner,
    HostSet,
    KnownRuns,
    Loans,
    OwnerRecord,
    Progress,
    QueueClosed,
    QueueClosing,
    Released,
    decode_stored,
    job_of_key,
    job_topic,
    progress_topic,
    record_of,
)
from siskinroad.work.store import (
    Fence,
    NewestRecord,
    Store,
    StoreUnavailableError,
    read_all_newest,
)

__all__ = [
    "PROGRESS_PRODUCER",
    "AlreadyOwnedError",
    "InheritedState",
    "claim_pool",
    "read_claims",
    "release_pool",
]


# Producer name in the fence of progress records; every owner uses the same one, so that
# the store rejects records of lower terms.
PROGRESS_PRODUCER = "owner"
# Timeout of one store call, in seconds. A shorter one would abort claims that are
# queued behind several slow appends.
STORE_TIMEOUT = 2.5
# Records that are decoded before other tasks of the daemon get a turn.
RECORDS_PER_TURN = 200

log = logging.getLogger("siskinroad.claim")


class AlreadyOwnedError(SiskinroadError):
    """Failure to claim a pool that already has a live owner."""


@dataclass(slots=True)
class InheritedState:
    """State that a new owner takes over from the store.

    Attributes
    ----------
    term : int
        The new owner's term: the claim's offset plus one.
    former : OwnerRecord or None
        The former owner, if there was one, without the claims that its claim names.
    former_term : int
        The former owner's term.
    claims : list of FormerOwner
        The claims that are known, the oldest first. Of those that the store had at the
        first read it gives only the newest, which names others.
    unread : tuple of (int, int)
        Ranges of offsets from the oldest of these claims on in which further ones may
        be.
    earlier : EarlierClaims or None
        What the former owner's claim says of those that it follows.
    released_term : int
        The newest term whose owner released the pool in an orderly way.
    released_runs : KnownRuns or None
        The runs that this owner has told of.
    claimed_at : float
        Loop time at which the claim was sent.
    fenced_at : float
        Loop time by which the store rejects progress of all lower terms.
    refused_at : dict of str to float
        Loop time by which each member that has acknowledged the claim did so, by name.
    next_offset : int
        Offset from which to continue reading the topic of accepted jobs.
    accepted : dict of str to bytes
        Encoded record of each stored job: most have ended, and need no more of it.
    closings : QueueClosings
        The closings of queues in the pool, which tell the jobs that are not accepted.
    job_keys : JobKeys
        The keys of jobs that were read.
    """

    term: int = 0
    former: OwnerRecord | None = None
    former_term: int = 0
    claims: list[FormerOwner] = field(default_factory=list)
    unread: tuple[OffsetRange, ...] = ()
    earlier: EarlierClaims | None = None
    released_term: int = 0
    released_runs: KnownRuns | None = None
    claimed_at: float = 0.0
    fenced_at: float = 0.0
    refused_at: dict[str, float] = field(default_factory=dict)
    next_offset: int = 0
    accepted: dict[str, bytes] = field(default_factory=dict)
    cancelled: dict[str, Cancelled] = field(default_factory=dict)
    parted_progress: PartedProgress = field(default_factory=PartedProgress)
    hosts: HostSet | None = None
    loans: dict[str, Loans] = field(default_factory=dict)
    closings: QueueClosings = field(default_factory=QueueClosings)
    job_keys: JobKeys = field(default_factory=JobKeys)
    _accepted_keys: dict[str, str] = field(default_factory=dict)

    @property
    def former_owners(self) -> tuple[FormerOwner, ...] | None:
        """The owners that may still renew leases; None if not all are known.

        Those of terms before that of the stored set of hosts are known by that set.
        """
        if self.former is None:
            return ()
        hosts = self.hosts
        terms = [claim.term for claim in self.claims]
        if hosts is None or hosts.term not in terms:
            return None
        if list_unread(self.unread, hosts.term):
            return None
        last, *later = self.claims[terms.index(hosts.term) :]
        last = structs.replace(last, witnesses=hosts.witnesses, hosts=hosts.names)
        since = (last, *later)
        if hosts.settled:
            return since
        return None if hosts.unreconciled is None else hosts.unreconciled + since

    @property
    def progress(self) -> dict[str, Progress]:
        """The stored progress of each job that has any."""
        parted = self.parted_progress
        return {first.job: parted.join(first) for first in parted.list_firsts()}

    def apply(self, item: NewestRecord) -> None:
        """Apply one record.

        Raises
        ------
        ProtocolError
            If it cannot be decoded.
        """
        if not item.value:
            self._remove(item.key)
            return
        stored = decode_stored(item.value)
        match stored:
            case Accepted():
                self._add_job(stored, item)
            case Cancelled(job=job):
                self.cancelled[job] = stored
            case OwnerRecord():
                self.former = structs.replace(stored, earlier=None)
                self.former_term = item.offset + 1
                self.earlier = stored.earlier
                claim = FormerOwner(
                    stored.node,
                    stored.incarnation,
                    self.former_term,
                    stored.limits_leases,
                    stored.uses_witnesses,
                )
                self.add_claims([claim])
            case Released(term=term):
                if term >= self.released_term:
                    self.released_term = term
                    self.released_runs = stored.runs
            case Progress():
                self.parted_progress.add(stored)
            case HostSet():
                self.hosts = stored
            case Loans(account=account):
                self.loans[account] = stored
            case QueueClosing(queue=queue, version=version):
                self.closings.note(queue, version)
            case QueueClosed():
                self.closings.complete_closing(stored)

    def _add_job(self, accepted: Accepted, item: NewestRecord) -> None:
        """Add a job; of several records the newest assignment's counts."""
        job = accepted.job
        self.job_keys.note(item.key)
        former = self.accepted.get(job)
        if former is not None:
            stored = decode_stored(former)
            assert isinstance(stored, Accepted)
            if accepted.assigned <= stored.assigned:
                return
        self.accepted[job] = item.value
        self._accepted_keys[job] = item.key

    def add_claims(self, claims: Iterable[FormerOwner]) -> None:
        """Add claims, unless they are known."""
        self.claims += [claim for claim in claims if claim not in self.claims]
        self.claims.sort(key=lambda claim: claim.term)

    def add_named_claims(self) -> None:
        """Add the claims that the newest one names, once it was read without others."""
        earlier = find_valid(self.earlier, self.former_term)
        if earlier is not None:
            self.add_claims(earlier.claims)
            unread_since = (earlier.read_to, self.former_term - 1)
            self.unread = (*earlier.unread, unread_since)

    def _remove(self, key: str) -> None:
        """Remove what the store has deleted since it was read."""
        job = job_of_key(key)
        if self._accepted_keys.get(job) == key:
            del self.accepted[job]
            del self._accepted_keys[job]
        self.cancelled.pop(key.removesuffix(CANCEL_SUFFIX), None)
        self.parted_progress.remove(key)

    def drop_jobs(self) -> None:
        """Drop the jobs, once the owner has taken them over."""
        self.accepted = {}
        self._accepted_keys = {}
        self.cancelled = {}
        self.parted_progress = PartedProgress()


async def apply_records(
    inherited: InheritedState, items: tuple[NewestRecord, ...], topic: str
) -> None:
    """Apply records; log and skip those that cannot be decoded."""
    for i, item in enumerate(items):
        if i % RECORDS_PER_TURN == RECORDS_PER_TURN - 1:
            await asyncio.sleep(0)
        try:
            inherited.apply(item)
        except ProtocolError as exc:
            log.error(
                "claim: cannot decode a stored record; skipping it",
                extra={"topic": topic, "key": item.key, "error": str(exc)},
            )


async def claim_pool(
    store: Store,
    pool: str,
    owner: OwnerRecord,
    has_live_owner: Callable[[OwnerRecord], Awaitable[bool]] | None = None,
    on_claimed: Callable[[InheritedState], None] = lambda inherited: None,
) -> InheritedState:
    """Claim a pool and read the stored state of its former owner.

    If two daemons claim at the same time, the later claim owns the pool; the other
    daemon finds that claim when it continues to read the topic.

    Parameters
    ----------
    has_live_owner : callable, optional
        Returns whether the pool still has a live owner, given the stored owner;
        called once the store has replied.
    on_claimed : callable
        Called once the claim is stored, with what was read so far.

    Raises
    ------
    AlreadyOwnedError
        If the pool still has a live owner; nothing was claimed.
    """
    topic = job_topic(pool)
    page = await read_all_newest(store, topic, STORE_TIMEOUT)
    inherited = InheritedState()
    await apply_records(inherited, page.items, topic)
    inherited.add_named_claims()
    former = inherited.former
    if (
        former is not None
        and has_live_owner is not None
        and await has_live_owner(former)
    ):
        raise AlreadyOwnedError(
            "pool already has a live owner", step="claim", peer=former.node
        )
    earlier = name_claims(inherited.claims, inherited.unread, page.end)
    claim = record_of(structs.replace(owner, earlier=earlier))
    inherited.claimed_at = asyncio.get_running_loop().time()
    offset = await store.append(topic, [claim], timeout=STORE_TIMEOUT)
    inherited.term = inherited.next_offset = offset + 1
    on_claimed(inherited)
    # From here on the store rejects progress records of every lower term.
    fence = Fence(PROGRESS_PRODUCER, inherited.term, 0)
    await store.append(progress_topic(pool), [], fence=fence, timeout=STORE_TIMEOUT)
    inherited.fenced_at = asyncio.get_running_loop().time()
    await asyncio.gather(
        _read_records_before_claim(store, topic, page.end, offset, inherited),
        _read_progress(store, pool, inherited),
    )
    return inherited


async def _read_progress(store: Store, pool: str, inherited: InheritedState) -> None:
    topic = progress_topic(pool)
    page = await read_all_newest(store, topic, STORE_TIMEOUT)
    await apply_records(inherited, page.items, topic)
    for first, found in inherited.parted_progress.list_incomplete():
        log.error(
            "claim: parts of a job's progress are not stored; using the others",
            extra={
                "topic": topic,
                "key": first.job,
                "error": f"expected {first.parts} parts, found {found}",
            },
        )


async def _read_records_before_claim(
    store: Store, topic: str, start: int, end: int, inherited: InheritedState
) -> None:
    """Apply the records between the end of the first read and the claim.

    Raises
    ------
    StoreUnavailableError
        If a reply is from before the claim, so that records are missing from it.
    """
    while start < end:
        result = await store.read(topic, start, wait=0.0, timeout=STORE_TIMEOUT)
        items = tuple(
            NewestRecord(record.key, record.value, start + i)
            for i, record in enumerate(result.records)
        )
        await apply_records(
            inherited, tuple(item for item in items if item.offset < end), topic
        )
        if result.next_offset <= start:
            raise StoreUnavailableError(
                f"stale reply: the topic ends at {result.end}, expected records "
                f"up to {end}",
                step="claim.read",
            )
        start = result.next_offset


async def read_claims(store: Store, pool: str, inherited: InheritedState) -> None:
    """Read the claims that are missing since that of the stored set of hosts.

    Raises
    ------
    SiskinroadError
        If the store does not answer, or no longer has all of these records.
    """
    if inherited.hosts is None:
        return
    term = inherited.hosts.term
    ranges = list_unread(inherited.unread, term)
    if term not in [claim.term for claim in inherited.claims]:
        ranges = ((term - 1, inherited.term - 1),)
    found = InheritedState()
    for start, end in ranges:
        await _read_records_before_claim(store, job_topic(pool), start, end, found)
    inherited.add_claims(found.claims)
    inherited.unread = ()


async def release_pool(
    store: Store, pool: str, term: int, runs: KnownRuns | None = None
) -> None:
    """Store the release of a pool by the owner of a term, and the runs that it knows.

    All its calls to hosts must have ended.
    """
    record = record_of(Released(term, runs))
    await store.append(job_topic(pool), [record], timeout=STORE_TIMEOUT)
