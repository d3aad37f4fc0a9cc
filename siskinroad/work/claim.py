"""Taking a pool over: a claim in the store, and what its former owner left.

The claim is appended to the pool's topic of accepted jobs on condition that the
topic still ends where the claimant has read it to. Its offset is the term, so
terms are unique and rise. A former owner that reads the topic meets the claim
before any job accepted after it.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from siskinroad.errors import ProtocolError
from siskinroad.work.records import (
    Accepted,
    Cancelled,
    HostSet,
    OwnerRecord,
    Progress,
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
    TailMovedError,
    newest_of_all,
)

__all__ = ["PRODUCER", "Inheritance", "claim_pool", "release_pool"]

PRODUCER = "owner"
# Seconds for one call: several slow appends may stand before the claim.
CALL_TIME = 2.5
# Accepted jobs may move the topic's end between the read and the claim.
MAX_TRIES = 8

log = logging.getLogger("siskinroad.claim")


@dataclass(slots=True)
class Inheritance:
    """What a new owner begins with.

    Attributes
    ----------
    term : int
        The claim's offset plus one.
    former : OwnerRecord or None
        The owner before, if there was one.
    former_term : int
        Its term.
    next : int
        Offset from which the topic of accepted jobs is to be read on.
    """

    term: int = 0
    former: OwnerRecord | None = None
    former_term: int = 0
    next: int = 0
    accepted: dict[str, Accepted] = field(default_factory=dict)
    cancelled: dict[str, Cancelled] = field(default_factory=dict)
    progress: dict[str, Progress] = field(default_factory=dict)
    hosts: HostSet | None = None

    @property
    def former_alone(self) -> bool:
        """Whether no owner before the former one can have work left anywhere."""
        if self.former is None:
            return True
        hosts = self.hosts
        return hosts is not None and hosts.term == self.former_term and hosts.settled

    def take(self, stored: Stored, offset: int) -> None:
        """Take in one record."""
        match stored:
            case Accepted(job=job):
                self.accepted.setdefault(job, stored)
            case Cancelled(job=job):
                self.cancelled[job] = stored
            case OwnerRecord():
                self.former = stored
                self.former_term = stored.term if stored.released else offset + 1
            case Progress(job=job):
                self.progress[job] = stored
            case HostSet():
                self.hosts = stored


def take_all(found: Inheritance, items: tuple[Newest, ...], topic: str) -> None:
    """Take in records; what cannot be read is logged and left out."""
    for item in items:
        if not item.value:
            continue
        try:
            found.take(unpack(item.value), item.offset)
        except ProtocolError as exc:
            log.error(
                "claim: record is not readable",
                extra={"topic": topic, "key": item.key, "error": str(exc)},
            )


async def claim_pool(store: Store, pool: str, owner: OwnerRecord) -> Inheritance | None:
    """Claim a pool and read all that its former owner left.

    Returns
    -------
    Inheritance or None
        None if another daemon has claimed the pool first.
    """
    topic = job_topic(pool)
    page = await newest_of_all(store, topic, CALL_TIME)
    found = Inheritance()
    take_all(found, page.items, topic)
    end = page.end
    seen = found.former_term
    for _ in range(MAX_TRIES):
        try:
            offset = await store.append(
                topic, [record_of(owner)], at=end, timeout=CALL_TIME
            )
        except TailMovedError:
            end = await _read_on(store, topic, end, found)
            if found.former_term != seen:
                return None
            continue
        break
    else:
        return None
    found.term = offset + 1
    found.next = offset + 1
    # From here on the store rejects progress of every lower term.
    await store.append(
        progress_topic(pool),
        [],
        fence=Fence(PRODUCER, found.term, 0),
        timeout=CALL_TIME,
    )
    page = await newest_of_all(store, progress_topic(pool), CALL_TIME)
    take_all(found, page.items, progress_topic(pool))
    return found


async def _read_on(store: Store, topic: str, start: int, found: Inheritance) -> int:
    while True:
        tail = await store.read(topic, start, wait=0.0, timeout=CALL_TIME)
        items = tuple(
            Newest(record.key, record.value, start + i)
            for i, record in enumerate(tail.records)
        )
        take_all(found, items, topic)
        start = tail.next
        if start >= tail.end:
            return start


async def release_pool(
    store: Store, pool: str, owner: OwnerRecord, term: int, start: int
) -> bool:
    """Record that the owner has stopped; False if another has claimed the pool."""
    topic = job_topic(pool)
    released = OwnerRecord(owner.node, owner.incarnation, True, term)
    found = Inheritance()
    for _ in range(MAX_TRIES):
        start = await _read_on(store, topic, start, found)
        if found.former is not None:
            return False
        try:
            await store.append(
                topic, [record_of(released)], at=start, timeout=CALL_TIME
            )
        except TailMovedError:
            continue
        return True
    return False
