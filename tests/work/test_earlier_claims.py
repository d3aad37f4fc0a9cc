"""What a claim says of those before it, beside claims at the same time and trimming."""

import asyncio
import random

import msgspec
import pytest
from msgspec import structs

from bench.clock import run_on_paused_clock
from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import PROGRESS_PRODUCER, claim_pool, read_claims
from siskinroad.work.earlier_claims import MAX_NAMED_CLAIMS, find_valid
from siskinroad.work.records import (
    OWNER_KEY,
    Cancelled,
    EarlierClaims,
    FormerOwner,
    HostSet,
    OwnerRecord,
    decode_stored,
    encode_stored,
    job_topic,
    progress_topic,
    record_of,
)
from siskinroad.work.store import Fence, Record, TrimmedError
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

POOL = "p"
TOPIC = job_topic(POOL)


def owner(node):
    return OwnerRecord(node, 1, uses_witnesses=True)


def store_hosts(logs, term, settled=True):
    """Store the set of hosts of a term, unless a later one has fenced it."""
    record = record_of(HostSet(("i-0",), term, settled))
    fence = Fence(PROGRESS_PRODUCER, term, 1)
    logs.append(progress_topic(POOL), [record], None, fence)


async def find_former_owners(store, inherited):
    """Return the former owners, once missing claims were read, or None."""
    try:
        await read_claims(store, POOL, inherited)
    except TrimmedError:
        return None
    return inherited.former_owners


def list_terms(claims):
    return None if claims is None else [claim.term for claim in claims]


class BusyStore(MemoryStore):
    """Store in which a function runs between the claimant's first read and its claim.

    Attributes
    ----------
    before_append : callable
        Called before each append to the topic of jobs.
    """

    before_append = staticmethod(lambda: None)

    async def append(self, topic, records, **fields):
        if topic == TOPIC:
            self.before_append()
        return await super().append(topic, records, **fields)


@pytest.mark.parametrize("is_trimmed", [False, True])
@pytest.mark.parametrize("kind", ["claim", "other"])
def test_a_claim_between_the_first_read_and_the_claim_of_another_is_not_missed(
    kind, is_trimmed
):
    # It would be a former owner that still renews leases and that nobody waits for.
    async def scenario():
        logs = MemoryLogs()
        store = BusyStore(logs)
        first = await claim_pool(store, POOL, owner("a"))
        store_hosts(logs, first.term)
        record = owner("b") if kind == "claim" else Cancelled("j", 0.0)
        store.before_append = lambda: logs.append(
            TOPIC, [record_of(record)], None, None
        )
        second = await claim_pool(store, POOL, owner("c"))
        if is_trimmed:
            logs.trim(TOPIC)
        third = await claim_pool(MemoryStore(logs), POOL, owner("d"))
        assert third.former_owners is None
        terms = list_terms(await find_former_owners(store, third))
        between = [first.term + 1] if kind == "claim" else []
        expected = [first.term, *between, second.term]
        assert terms == (None if is_trimmed else expected)

    run_on_paused_clock(scenario())


def test_a_claim_that_takes_effect_long_after_it_was_sent_hides_no_later_one():
    async def scenario():
        logs = MemoryLogs()
        store = MemoryStore(logs)
        first = await claim_pool(store, POOL, owner("a"))
        store_hosts(logs, first.term)
        late = BusyStore(logs)
        logs.faults.late_append_delay = 5.0

        def lose_reply():
            logs.faults.lost_replies = 1

        late.before_append = lose_reply
        with pytest.raises(SiskinroadError):
            await claim_pool(late, POOL, owner("late"))
        second = await claim_pool(store, POOL, owner("b"))
        await asyncio.sleep(5.0)
        assert decode_stored(logs.topic(TOPIC).newest[OWNER_KEY].value).node == "late"
        logs.trim(TOPIC)
        third = await claim_pool(store, POOL, owner("c"))
        assert second.term not in [claim.term for claim in third.claims]
        assert await find_former_owners(store, third) is None

    run_on_paused_clock(scenario())


@pytest.mark.parametrize("count", [1, MAX_NAMED_CLAIMS - 1, MAX_NAMED_CLAIMS, 40])
def test_a_claim_names_so_many_that_its_record_stays_short(count):
    async def scenario():
        logs = MemoryLogs()
        store = MemoryStore(logs)
        first = await claim_pool(store, POOL, owner("a"))
        store_hosts(logs, first.term)
        for number in range(count):
            await claim_pool(store, POOL, owner(f"b-{number}"))
            logs.trim(TOPIC)
        last = await claim_pool(store, POOL, owner("c"))
        assert len(logs.topic(TOPIC).newest[OWNER_KEY].value) < 2_000
        terms = list_terms(await find_former_owners(store, last))
        is_known = count <= MAX_NAMED_CLAIMS
        assert terms == (list(range(1, count + 2)) if is_known else None)

    run_on_paused_clock(scenario())


def test_a_claim_of_an_earlier_version_names_none_and_is_no_proof_of_those_before_it():
    async def scenario():
        logs = MemoryLogs()
        store = MemoryStore(logs)
        first = await claim_pool(store, POOL, owner("a"))
        store_hosts(logs, first.term)
        await claim_pool(store, POOL, owner("b"))
        logs.append(TOPIC, [record_of(owner("before"))], None, None)
        logs.trim(TOPIC)
        last = await claim_pool(store, POOL, owner("c"))
        assert await find_former_owners(store, last) is None
        store_hosts(logs, last.term)
        after = await claim_pool(store, POOL, owner("d"))
        assert list_terms(await find_former_owners(store, after)) == [last.term]

    run_on_paused_clock(scenario())


CLAIM = FormerOwner("a", 1, 5, uses_witnesses=True)


@pytest.mark.parametrize(
    ("earlier", "is_valid"),
    [
        (None, False),
        (EarlierClaims((CLAIM,), ((5, 6),), 7), True),
        (EarlierClaims((), (), 0), True),
        (EarlierClaims((CLAIM,), (), -1), False),
        (EarlierClaims((CLAIM,), (), 10), False),
        (EarlierClaims((structs.replace(CLAIM, term=9),), (), 8), False),
        (EarlierClaims((CLAIM, structs.replace(CLAIM, term=4)), (), 8), False),
        (EarlierClaims((CLAIM, CLAIM), (), 8), False),
    ],
)
def test_what_a_claim_cannot_know_of_earlier_ones_is_no_proof(earlier, is_valid):
    claim = structs.replace(owner("b"), earlier=earlier)
    assert decode_stored(encode_stored(claim)) == claim
    assert find_valid(earlier, 9) == (earlier if is_valid else None)


class OwnerBefore(msgspec.Struct, tag="owner", frozen=True):
    """A claim of the earlier version."""

    node: str
    incarnation: int
    limits_leases: bool = False
    uses_witnesses: bool = False


def test_earlier_versions_decode_a_claim_that_names_others():
    claim = structs.replace(owner("b"), earlier=EarlierClaims((CLAIM,), ((5, 6),), 7))
    before = msgspec.msgpack.decode(encode_stored(claim), type=OwnerBefore)
    assert before == OwnerBefore("b", 1, uses_witnesses=True)
    assert decode_stored(msgspec.msgpack.encode(before)) == owner("b")


class DrawnStore(MemoryStore):
    """Store whose calls take drawn times before and after they are carried out."""

    def __init__(self, logs, rng):
        super().__init__(logs)
        self.rng = rng

    async def append(self, topic, records, **fields):
        await asyncio.sleep(self.rng.expovariate(5.0))
        offset = await super().append(topic, records, **fields)
        await asyncio.sleep(self.rng.expovariate(5.0))
        return offset

    async def newest(self, topic, after="", **fields):
        await asyncio.sleep(self.rng.expovariate(5.0))
        page = await super().newest(topic, after, **fields)
        await asyncio.sleep(self.rng.expovariate(5.0))
        return page


class ClaimLogs(MemoryLogs):
    """Topics that remember the terms of all claims."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.claim_terms = []

    def append(self, name, records, at, fence):
        offset = super().append(name, records, at, fence)
        if name == TOPIC and records[0].key == OWNER_KEY:
            self.claim_terms.append(offset + 1)
        return offset


class DrawnClaims:
    """Claims at drawn times, of which all but some are by this version.

    Attributes
    ----------
    known, unknown : int
        How often all former owners were known, and how often not.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.logs = ClaimLogs(page_size=self.rng.choice((1, 2, 500)))
        self.trimmed_share = self.rng.choice((0.0, 0.02, 0.2))
        self.known = self.unknown = 0

    async def claim(self, number):
        rng = self.rng
        await asyncio.sleep(rng.uniform(0.0, 12.0))
        if rng.random() < 0.05:
            self.logs.append(TOPIC, [record_of(owner("before"))], None, None)
            return
        store = DrawnStore(self.logs, rng)
        try:
            inherited = await claim_pool(store, POOL, owner(f"n-{number}"))
        except SiskinroadError:
            return
        if inherited.hosts is not None:
            self.check(inherited.term, inherited.hosts, inherited.former_owners)
            former = await find_former_owners(store, inherited)
            self.check(inherited.term, inherited.hosts, former)
        if rng.random() < 0.4:
            try:
                store_hosts(self.logs, inherited.term)
            except SiskinroadError:
                return

    def check(self, term, hosts, former):
        if former is None:
            self.unknown += 1
            return
        self.known += 1
        expected = [each for each in self.logs.claim_terms if hosts.term <= each < term]
        assert list_terms(former) == expected

    async def disturb(self):
        """Append other records, and let records expire."""
        for number in range(200):
            await asyncio.sleep(self.rng.expovariate(15.0))
            self.logs.append(TOPIC, [Record(f"k{number % 7}", b"")], None, None)
            if self.rng.random() < self.trimmed_share:
                end = self.logs.topic(TOPIC).end
                self.logs.trim(TOPIC, end - self.rng.choice((0, 3, 10)))


@pytest.mark.parametrize("first_seed", range(0, 200, 20))
def test_the_former_owners_of_drawn_claims_are_all_known_or_said_not_to_be(first_seed):
    known = unknown = 0
    for seed in range(first_seed, first_seed + 20):

        async def scenario(seed=seed):
            drawn = DrawnClaims(seed)
            claims = [drawn.claim(number) for number in range(30)]
            await asyncio.gather(drawn.disturb(), *claims)
            return drawn

        drawn = run_on_paused_clock(scenario())
        known += drawn.known
        unknown += drawn.unknown
    assert known > 20 and unknown > 5, (known, unknown)
