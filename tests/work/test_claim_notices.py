"""Notices of claims, the statements that they end, and leases that rest on these."""

import asyncio
import itertools
import math
from types import SimpleNamespace

import msgspec
import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work import claim_manager
from siskinroad.work.claim_knowledge import LEASE_LIMIT_S, ClaimKnowledge
from siskinroad.work.claim_notices import ClaimNotices
from siskinroad.work.claim_statements import ClaimStatements
from siskinroad.work.host import LEASE_S
from siskinroad.work.lease_extender import ASK_AGE_S, LeaseExtender
from siskinroad.work.members import Members
from siskinroad.work.messages import (
    ClaimAnswer,
    ClaimNoted,
    ClaimNotice,
    ClaimQuery,
    decode,
    encode,
)
from siskinroad.work.records import (
    FormerOwner,
    HostSet,
    Member,
    OwnerRecord,
    decode_stored,
    encode_stored,
)
from siskinroad.work.term import OWNERSHIP_TIMEOUT_S
from siskinroad.work.workmetrics import WorkMetrics
from tests.work.cell import POOL
from tests.work.test_daemon import run_scenario
from tests.work.test_deposed_owner import leave, start_cell, wait_for_owner
from tests.work.test_two_owners import now

FORMER = FormerOwner("f", 3, 5, False, True, ("a", "b", "c"), ("i-0", "i-1"))


class Calls:
    """The other members: ``answers`` has the reply of each one that is not silent."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def request(self, peer, make_request, reply_type, timeout):
        self.asked.append((peer, make_request(1)))
        if peer not in self.answers:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("silent", step="test", peer=peer)
        return self.answers[peer]


def make_members(node, *others):
    members = Members(node, 1)
    for name in others:
        members.add_member(Member(name, 1, name, "dc1", "r1"))
    return members


def run(scenario):
    run_on_paused_clock(scenario())


# Messages and records


class QueryBefore(msgspec.Struct, tag="claim?", frozen=True, array_like=True):
    """The query of the earlier version."""

    id: int
    pool: str


class OwnerBefore(msgspec.Struct, tag="owner", frozen=True):
    """The claim of the earlier version."""

    node: str
    incarnation: int
    limits_leases: bool


class FormerBefore(msgspec.Struct, frozen=True, array_like=True):
    """The former owner of the earlier version."""

    node: str
    incarnation: int
    term: int
    limits_leases: bool


class NoticeBefore(msgspec.Struct, tag="claimed", frozen=True, array_like=True):
    """The notice of a claim of the earlier version."""

    id: int
    pool: str
    term: int
    former: tuple[tuple[str, int], ...]


class HostSetBefore(msgspec.Struct, tag="hosts", frozen=True):
    """The set of hosts of the earlier version."""

    names: tuple[str, ...]
    term: int
    settled: bool


@pytest.mark.parametrize(
    "msg",
    [
        ClaimNotice(5, "p", 9),
        ClaimNoted(5),
        ClaimQuery(5, "p", 9, b"12345678"),
        ClaimAnswer(5, 2.5, ()),
    ],
)
def test_messages_round_trip(msg):
    assert decode(encode(msg)) == msg


def test_messages_and_records_of_earlier_versions_decode_and_theirs_are_decoded():
    pack, unpack = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert decode(pack(QueryBefore(5, "p"))) == ClaimQuery(5, "p", 0, b"")
    new_query = encode(ClaimQuery(5, "p", 9, b"12345678"))
    assert unpack(new_query, type=QueryBefore) == QueryBefore(5, "p")
    noticed = decode(pack(NoticeBefore(5, "p", 9, (("a", 1),))))
    assert (noticed.pool, noticed.term) == ("p", 9)
    new_notice = unpack(encode(ClaimNotice(5, "p", 9)), type=NoticeBefore)
    assert new_notice == NoticeBefore(5, "p", 9, ())
    value = encode_stored(OwnerRecord("a", 2, uses_witnesses=True))
    codec = msgspec.json if value[:1] == b"{" else msgspec.msgpack
    # Earlier versions take the owner for one that does not limit its leases.
    assert codec.decode(value, type=OwnerBefore) == OwnerBefore("a", 2, False)
    before = decode_stored(codec.encode(OwnerBefore("a", 2, True)))
    assert before == OwnerRecord("a", 2, True, False)
    former = codec.decode(codec.encode(FormerBefore("a", 2, 4, True)), type=FormerOwner)
    assert former == FormerOwner("a", 2, 4, True)
    assert not former.uses_witnesses
    new_former = codec.encode(FORMER)
    assert codec.decode(new_former, type=FormerBefore) == FormerBefore("f", 3, 5, False)
    hosts = HostSet(("i-0",), 9, False, (FORMER,), ("a", "b"))
    assert decode_stored(encode_stored(hosts)) == hosts
    hosts_before = codec.encode(HostSetBefore(("i-0",), 9, True))
    assert decode_stored(hosts_before) == HostSet(("i-0",), 9, True)


# The members' side


def make_statements(node, *others, unclaimed_s=50.0, answers=(), has_acknowledged=None):
    calls = Calls(dict(answers))
    statements = ClaimStatements(
        make_members(node, *others),
        calls,
        lambda pool: unclaimed_s,
        lambda: 0.0,
        WorkMetrics(),
        has_acknowledged or (lambda pool, term: False),
    )
    return statements, calls


def test_statements_to_owners_of_earlier_terms_end_with_the_acknowledgement():
    async def scenario():
        notices = ClaimNotices(Calls({}))
        statements, _ = make_statements("s", has_acknowledged=notices.has_acknowledged)

        def state(term, pool=POOL):
            return statements.answer(ClaimQuery(1, pool, term)).unclaimed_s

        assert state(0) == 50.0
        notices.acknowledge(ClaimNotice(2, POOL, 7))
        notices.acknowledge(ClaimNotice(3, POOL, 6))
        assert [state(term) for term in (0, 5, 6, 7, 8)] == [0.0] * 3 + [50.0] * 2
        assert state(5, "other") == 50.0

    run(scenario)


def test_answers_name_no_members_where_both_know_the_same_ones():
    answering, _ = make_statements("s", "f", "x")
    for known, named in ((("s", "x"), ()), (("s",), ("f", "x"))):
        digest = make_members("f", *known).digest()
        answer = answering.answer(ClaimQuery(1, POOL, 5, digest))
        assert answer.members == named
    assert answering.answer(ClaimQuery(1, POOL)).members == ("f", "x")


def test_a_successor_of_an_earlier_version_counts_no_acknowledgement():
    # It would count members that the witnesses of a former owner need not include.
    async def scenario():
        noted = ClaimNotices(Calls({})).acknowledge(ClaimNotice(2, POOL, 7))
        assert noted == ClaimNoted(2, is_asked=False)

    run(scenario)


# The successor's side


def test_notices_are_sent_to_all_at_once_and_tell_who_has_acknowledged_when():
    async def scenario():
        calls = Calls({"a": ClaimNoted(1), "c": ClaimNoted(1)})
        acknowledged_at = {"c": -1.0}
        began_at = now()
        await ClaimNotices(calls).send(POOL, 7, ("a", "b", "c"), acknowledged_at)
        assert acknowledged_at == {"a": began_at, "c": -1.0}
        assert calls.asked == [(n, ClaimNotice(1, POOL, 7)) for n in "abc"]
        assert now() - began_at < 1.0

    run(scenario)


# The former owner's side


def test_witnesses_that_are_silent_or_state_too_little_are_not_among_those_that_state():
    async def scenario():
        answers = {
            "a": ClaimAnswer(1, 500.0, ()),
            "b": ClaimAnswer(1, 1.9, ()),
            "d": ClaimAnswer(1, 0.0, ()),
        }
        statements, calls = make_statements("f", "a", "b", "c", "d", answers=answers)
        sent_at = now()
        asked = ("a", "b", "c", "d")
        result = await statements.ask_witnesses(POOL, sent_at - 2.0, 5, asked)
        assert result == (sent_at, {"a"})
        assert not any(query.wants_members for _, query in calls.asked)

    run(scenario)


def test_witnesses_are_asked_however_old_the_list_of_members_is():
    # Their names are stored: no daemon can become one unnoticed.
    async def scenario():
        answers = {"a": ClaimAnswer(1, 500.0, ())}
        statements, _ = make_statements("f", "a", "x", answers=answers)
        statements._members_read_at = lambda: -math.inf
        assert (await statements.ask_witnesses(POOL, now(), 5, ("a",)))[1] == {"a"}
        assert await statements.confirm(POOL, now(), 5) is None

    run(scenario)


# Seconds by which witnesses may be asked late.
ASK_LATE_S = 0.2


@pytest.mark.parametrize("is_enough", [True, False])
def test_witnesses_are_asked_while_reads_are_late_and_not_before(is_enough):
    async def scenario():
        claims = ClaimKnowledge()
        claims.unclaimed_at = now()
        asked = []

        async def ask(pool, known_at, term, witnesses):
            asked.append((now(), known_at, term))
            assert witnesses == ["a", "b"]
            return now(), set(witnesses) if is_enough else set()

        follower = SimpleNamespace()
        pool_state = SimpleNamespace(claims=claims, pool=POOL, term=5)
        sets = [HostSet((), 5, True, None, (name,)) for name in "ab"]
        progress = SimpleNamespace(list_host_sets=lambda: sets)
        extender = LeaseExtender(pool_state, follower, ask, progress)
        task = asyncio.create_task(extender.run())
        for _ in range(20):
            await asyncio.sleep(ASK_AGE_S - 2 * ASK_LATE_S)
            follower.on_confirmed(now())
        assert asked == []
        read_at, unclaimed_at = now(), claims.unclaimed_at
        await asyncio.sleep(8.0)
        first_s = asked[0][0] - read_at
        assert ASK_AGE_S <= first_s <= ASK_AGE_S + ASK_LATE_S + 0.001
        # What witnesses state adds nothing to how long they must state it for.
        assert {known_at for _, known_at, _ in asked} == {unclaimed_at}
        gaps = [b[0] - a[0] for a, b in itertools.pairwise(asked)]
        assert min(gaps) >= 1.0
        limit_s = claims.leases_end_by - now()
        assert (limit_s > LEASE_LIMIT_S - 2.0) if is_enough else (limit_s < 0.0)
        task.cancel()

    run(scenario)


# Owners of earlier versions


@pytest.mark.parametrize(
    ("limits_leases", "uses_witnesses"), [(False, False), (True, False), (False, True)]
)
def test_an_owner_of_an_earlier_version_is_waited_for_for_the_longest_time(
    limits_leases, uses_witnesses, monkeypatch
):
    def claim_before(node, incarnation, **fields):
        return OwnerRecord(node, incarnation, limits_leases, uses_witnesses)

    monkeypatch.setattr(claim_manager, "OwnerRecord", claim_before)

    async def scenario(cell):
        await start_cell(cell)
        await cell.kill(cell.owner(), loses_power=True)
        leave(cell, "i-1")
        name = await wait_for_owner(cell, set())
        claimed_at = now()
        await asyncio.sleep(2.0)
        pool_state = cell.daemons[name].owners[POOL].pool_state
        wait_s = pool_state.former_leases_end_at - claimed_at
        waited_before_s = OWNERSHIP_TIMEOUT_S + LEASE_S * 1.1
        if uses_witnesses:
            assert wait_s < LEASE_LIMIT_S * 1.1 + 0.5
        else:
            assert abs(wait_s - waited_before_s) < 0.1
            await asyncio.sleep(waited_before_s - 2.2)
            assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)
