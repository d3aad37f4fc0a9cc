"""Takeover of a pool: the claim in the store, and the state of the former owner.

The claim is appended to the pool's topic of accepted jobs. The term is the claim's
offset plus one, so terms are unique and increase, and the highest term owns the pool.
A former owner that follows the topic reads the claim before any job accepted after
it. The append is unconditional: while the store is slow and busy, an append that
requires a certain end of the topic would fail over and over.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from siskinroad.errors import ProtocolError, SiskinroadError
from siskinroad.work.records import (
    Accepted,
    Cancelled,
    HostSet,
    OwnerRecord,
    Progress,
    Released,
    Stored,
    job_topic,
    progress_topic,
    record_of,
    unpack,
)
from siskinroad.work.store import (
    Fence,
    Newest,
    Store,
    newest_of_all,
)

__all__ = ["PRODUCER", "Inheritance", "OwnedError", "claim_pool", "release_pool"]


PRODUCER = "owner"
# Time-out of one store call, in seconds. A shorter one would abort claims that are
# queued behind several slow appends.
STORE_TIMEOUT = 2.5

log = logging.getLogger("siskinroad.claim")


class OwnedError(SiskinroadError):
    """Claim refused, as the pool already has a live owner."""


@dataclass(slots=True)
class Inheritance:
    """State that a new owner takes over from the store.

    Attributes
    ----------
    term : int
        The new owner's term: the claim's offset plus one.
    former : OwnerRecord or None
        The former owner, if there was one.
    former_term : int
        The former owner's term.
    released_term : int
        The newest term whose owner released the pool in an orderly way.
    claimed_at : float
        Loop time at which the claim was sent.
    next : int
        Offset from which to continue reading the topic of accepted jobs.
    """

    term: int = 0
    former: OwnerRecord | None = None
    former_term: int = 0
    released_term: int = 0
    claimed_at: float = 0.0
    next: int = 0
    accepted: dict[str, Accepted] = field(default_factory=dict)
    cancelled: dict[str, Cancelled] = field(default_factory=dict)
    progress: dict[str, Progress] = field(default_factory=dict)
    hosts: HostSet | None = None

    @property
    def former_alone(self) -> bool:
        """Whether no owner before the former one can still have runs on any host."""
        if self.former is None:
            return True
        hosts = self.hosts
        return hosts is not None and hosts.term == self.former_term and hosts.settled

    def take(self, stored: Stored, offset: int) -> None:
        """Apply one record."""
        match stored:
            case Accepted(job=job):
                self.accepted.setdefault(job, stored)
            case Cancelled(job=job):
                self.cancelled[job] = stored
            case OwnerRecord():
                self.former = stored
                self.former_term = offset + 1
            case Released(term=term):
                self.released_term = max(self.released_term, term)
            case Progress(job=job):
                self.progress[job] = stored
            case HostSet():
                self.hosts = stored


def take_records(inherited: Inheritance, items: tuple[Newest, ...], topic: str) -> None:
    """Apply records; unreadable ones are logged and skipped."""
    for item in items:
        if not item.value:
            continue
        try:
            inherited.take(unpack(item.value), item.offset)
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
) -> Inheritance:
    """Claim a pool and read the stored state of its former owner.

    If two daemons claim at the same time, the later claim owns the pool; the other
    daemon finds that claim when it continues to read the topic.

    Parameters
    ----------
    has_live_owner : callable, optional
        Returns whether the pool still has a live owner, given the stored owner;
        called once the store has replied.

    Raises
    ------
    OwnedError
        If the pool still has a live owner; nothing was claimed.
    """
    topic = job_topic(pool)
    page = await newest_of_all(store, topic, STORE_TIMEOUT)
    inherited = Inheritance()
    take_records(inherited, page.items, topic)
    former = inherited.former
    if (
        former is not None
        and has_live_owner is not None
        and await has_live_owner(former)
    ):
        raise OwnedError(
            "pool already has a live owner", step="claim", peer=former.node
        )
    inherited.claimed_at = asyncio.get_running_loop().time()
    offset = await store.append(topic, [record_of(owner)], timeout=STORE_TIMEOUT)
    inherited.term = inherited.next = offset + 1
    # From here on the store rejects progress records of every lower term.
    fence = Fence(PRODUCER, inherited.term, 0)
    await store.append(progress_topic(pool), [], fence=fence, timeout=STORE_TIMEOUT)
    await asyncio.gather(
        _read_records_before_claim(store, topic, page.end, offset, inherited),
        _read_progress(store, pool, inherited),
    )
    return inherited


async def _read_progress(store: Store, pool: str, inherited: Inheritance) -> None:
    topic = progress_topic(pool)
    page = await newest_of_all(store, topic, STORE_TIMEOUT)
    take_records(inherited, page.items, topic)


async def _read_records_before_claim(
    store: Store, topic: str, start: int, end: int, inherited: Inheritance
) -> None:
    """Apply the records between the end of the first read and the claim."""
    while start < end:
        tail = await store.read(topic, start, wait=0.0, timeout=STORE_TIMEOUT)
        items = tuple(
            Newest(record.key, record.value, start + i)
            for i, record in enumerate(tail.records)
        )
        take_records(
            inherited, tuple(item for item in items if item.offset < end), topic
        )
        if tail.next <= start:
            return
        start = tail.next


async def release_pool(store: Store, pool: str, term: int) -> None:
    """Store that the owner of a term has stopped all its calls to hosts."""
    record = record_of(Released(term))
    await store.append(job_topic(pool), [record], timeout=STORE_TIMEOUT)
