"""Tests of pool claims: what a new owner reads, and which claim wins."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.claim import PROGRESS_PRODUCER, claim_pool, release_pool
from siskinroad.work.records import (
    Accepted,
    FormerOwner,
    HostSet,
    Loans,
    OwnerRecord,
    Progress,
    job_topic,
    progress_topic,
    record_of,
)
from siskinroad.work.store import (
    Fence,
    FencedError,
    ReadResult,
    Record,
    StoreUnavailableError,
)
from siskinroad.work.store_memory import MemoryLogs, MemoryStore
from tests.work.cell import job

POOL = "p"
OWNER_A, OWNER_B = OwnerRecord("a", 1), OwnerRecord("b", 1)


def accepted(name):
    return record_of(Accepted(name, "q", POOL, 0.0, job()))


class SlowStore(MemoryStore):
    """Store with slow appends, during which another writer appends too."""

    count = 0

    async def append(self, topic, records, **fields):
        self.count += 1
        others = [accepted(f"other-{self.count}")]
        self.logs.append(job_topic(POOL), others, None, None)
        await asyncio.sleep(0.4)
        return await super().append(topic, records, **fields)


class DeletingStore(MemoryStore):
    """Store in which the former owner deletes a job right before a claim."""

    async def append(self, topic, records, **fields):
        if topic == job_topic(POOL):
            for each in (job_topic(POOL), progress_topic(POOL)):
                self.logs.append(each, [Record("j1", b"")], None, None)
        return await super().append(topic, records, **fields)


def test_a_claim_drops_a_job_that_was_deleted_after_it_read_the_job():
    # It would have the job's acceptance without its end, and run it again.
    async def scenario():
        logs = MemoryLogs()
        logs.append(job_topic(POOL), [accepted("j1"), accepted("j2")], None, None)
        ended = record_of(Progress("j1", "complete", 0.0, ()))
        logs.append(progress_topic(POOL), [ended], None, None)
        inherited = await claim_pool(DeletingStore(logs), POOL, OWNER_A)
        assert list(inherited.accepted) == ["j2"]

    run_on_paused_clock(scenario())


class StaleStore(SlowStore):
    """Store of which a read is answered as of before the claim."""

    is_stale = False

    async def read(self, topic, start, **fields):
        if self.is_stale:
            return ReadResult(start, (), start)
        return await super().read(topic, start, **fields)


def test_a_stale_reply_hides_no_record_before_a_claim():
    # A job would be lost that was stored while the claim was, and a claim missed.
    async def scenario():
        store = StaleStore(MemoryLogs())
        store.is_stale = True
        with pytest.raises(StoreUnavailableError):
            await claim_pool(store, POOL, OWNER_A)
        store.is_stale = False
        inherited = await claim_pool(store, POOL, OWNER_A)
        assert "other-1" in inherited.accepted

    run_on_paused_clock(scenario())


def test_a_claim_reads_all_earlier_records_and_the_former_owner():
    async def scenario():
        store = MemoryStore(MemoryLogs())
        await store.append(job_topic(POOL), [accepted("j1")])
        first = await claim_pool(store, POOL, OWNER_A)
        await store.append(job_topic(POOL), [accepted("j2")])
        second = await claim_pool(store, POOL, OWNER_B)
        assert first.former is None and list(first.accepted) == ["j1"]
        assert second.former == OWNER_A and second.former_term == first.term
        assert sorted(second.accepted) == ["j1", "j2"] and second.term > first.term

    run_on_paused_clock(scenario())


def test_a_claim_succeeds_while_others_append_to_a_slow_store():
    # A claim that required a certain end of the topic would fail on every attempt.
    async def scenario():
        inherited = await claim_pool(SlowStore(MemoryLogs()), POOL, OWNER_A)
        assert inherited.term and "other-1" in inherited.accepted

    run_on_paused_clock(scenario())


def test_the_later_of_two_concurrent_claims_fences_the_other():
    async def scenario():
        store = MemoryStore(MemoryLogs())
        claim_a, claim_b = await asyncio.gather(
            claim_pool(store, POOL, OWNER_A), claim_pool(store, POOL, OWNER_B)
        )
        low, high = sorted((claim_a.term, claim_b.term))
        await store.append(
            progress_topic(POOL),
            [Record("k", b"v")],
            fence=Fence(PROGRESS_PRODUCER, high, 1),
        )
        with pytest.raises(FencedError):
            await store.append(
                progress_topic(POOL),
                [Record("k", b"w")],
                fence=Fence(PROGRESS_PRODUCER, low, 1),
            )

    run_on_paused_clock(scenario())


def test_a_release_applies_to_its_own_term_only():
    async def scenario():
        store = MemoryStore(MemoryLogs())
        first = await claim_pool(store, POOL, OWNER_A)
        second = await claim_pool(store, POOL, OWNER_B)
        await release_pool(store, POOL, first.term)
        third = await claim_pool(store, POOL, OWNER_A)
        assert third.former == OWNER_B and third.former_term == second.term
        assert third.released_term == first.term < third.former_term

    run_on_paused_clock(scenario())


def test_earlier_owners_may_have_runs_until_the_former_owner_has_reconciled_them():
    async def scenario():
        store = MemoryStore(MemoryLogs())
        first = await claim_pool(store, POOL, OWNER_A)
        second = await claim_pool(store, POOL, OWNER_B)
        assert first.former_owners == () and second.former_owners is None
        hosts = record_of(HostSet(("i-0",), second.term, True, None, ("w",)))
        await store.append(
            progress_topic(POOL),
            [hosts],
            fence=Fence(PROGRESS_PRODUCER, second.term, 1),
        )
        third = await claim_pool(store, POOL, OWNER_A)
        former = FormerOwner(
            OWNER_B.node,
            OWNER_B.incarnation,
            second.term,
            witnesses=("w",),
            hosts=("i-0",),
        )
        assert third.former_owners == (former,)

    run_on_paused_clock(scenario())


def test_unreadable_records_are_skipped():
    # One bad record in the topic must not leave the pool without an owner.
    async def scenario():
        store = MemoryStore(MemoryLogs())
        await store.append(job_topic(POOL), [Record("x", b"\xc1"), accepted("j1")])
        inherited = await claim_pool(store, POOL, OWNER_A)
        assert list(inherited.accepted) == ["j1"]

    run_on_paused_clock(scenario())


def test_a_claim_reads_the_loans_of_the_former_owner():
    async def scenario():
        store = MemoryStore(MemoryLogs())
        first = await claim_pool(store, POOL, OWNER_A)
        fence = Fence(PROGRESS_PRODUCER, first.term, 1)
        for amount in (100, 300):
            record = record_of(Loans("a", {"other": (amount, 0, 0)}))
            await store.append(progress_topic(POOL), [record])
        await store.append(progress_topic(POOL), [record], fence=fence)
        second = await claim_pool(store, POOL, OWNER_B)
        assert second.loans == {"a": Loans("a", {"other": (300, 0, 0)})}

    run_on_paused_clock(scenario())
