import asyncio

import pytest

from bench.clock import run
from siskinroad.work.claim import PRODUCER, claim_pool, release_pool
from siskinroad.work.records import (
    Accepted,
    HostSet,
    OwnerRecord,
    job_topic,
    progress_topic,
    record_of,
)
from siskinroad.work.store import Fence, FencedError, Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore
from tests.work.cell import job

POOL = "p"
A, B = OwnerRecord("a", 1), OwnerRecord("b", 1)


def accepted(name):
    return record_of(Accepted(name, "q", POOL, 0.0, job()))


class SlowStore(MemoryStore):
    """Every append takes a while, and others append meanwhile."""

    count = 0

    async def append(self, topic, records, **fields):
        self.count += 1
        others = [accepted(f"other-{self.count}")]
        self.logs.append(job_topic(POOL), others, None, None)
        await asyncio.sleep(0.4)
        return await super().append(topic, records, **fields)


def test_a_claim_meets_everything_before_it_and_names_its_former():
    async def play():
        store = MemoryStore(MemoryLogs())
        await store.append(job_topic(POOL), [accepted("j1")])
        first = await claim_pool(store, POOL, A)
        await store.append(job_topic(POOL), [accepted("j2")])
        second = await claim_pool(store, POOL, B)
        assert first.former is None and list(first.accepted) == ["j1"]
        assert second.former == A and second.former_term == first.term
        assert sorted(second.accepted) == ["j1", "j2"] and second.term > first.term

    run(play())


def test_a_claim_succeeds_while_others_append_to_a_slow_store():
    async def play():
        found = await claim_pool(SlowStore(MemoryLogs()), POOL, A)
        assert found.term and "other-1" in found.accepted

    run(play())


def test_of_two_claims_at_once_the_later_one_fences_the_other():
    async def play():
        store = MemoryStore(MemoryLogs())
        one, two = await asyncio.gather(
            claim_pool(store, POOL, A), claim_pool(store, POOL, B)
        )
        low, high = sorted((one.term, two.term))
        await store.append(
            progress_topic(POOL), [Record("k", b"v")], fence=Fence(PRODUCER, high, 1)
        )
        with pytest.raises(FencedError):
            await store.append(
                progress_topic(POOL), [Record("k", b"w")], fence=Fence(PRODUCER, low, 1)
            )

    run(play())


def test_a_release_counts_for_its_own_term_only():
    async def play():
        store = MemoryStore(MemoryLogs())
        first = await claim_pool(store, POOL, A)
        second = await claim_pool(store, POOL, B)
        await release_pool(store, POOL, first.term)
        third = await claim_pool(store, POOL, A)
        assert third.former == B and third.former_term == second.term
        assert third.released_term == first.term < third.former_term

    run(play())


def test_owners_before_the_former_one_count_until_it_had_settled_their_work():
    async def play():
        store = MemoryStore(MemoryLogs())
        first = await claim_pool(store, POOL, A)
        second = await claim_pool(store, POOL, B)
        assert not second.former_alone
        hosts = record_of(HostSet(("i-0",), second.term, True))
        await store.append(
            progress_topic(POOL), [hosts], fence=Fence(PRODUCER, second.term, 1)
        )
        third = await claim_pool(store, POOL, A)
        assert third.former_alone and first.former_alone

    run(play())


def test_records_that_cannot_be_read_are_left_out():
    async def play():
        store = MemoryStore(MemoryLogs())
        await store.append(job_topic(POOL), [Record("x", b"\xc1"), accepted("j1")])
        found = await claim_pool(store, POOL, A)
        assert list(found.accepted) == ["j1"]

    run(play())
