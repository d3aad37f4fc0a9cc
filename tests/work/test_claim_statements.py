"""Statements of the other members about claims, and daemons that they don't know."""

import asyncio
import itertools
import logging
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinroad.errors import ProtocolError
from siskinroad.peers import Reachability
from siskinroad.work.claim_statements import (
    CLOCK_RATE_TOLERANCE,
    SLACK_S,
    Outcome,
    Statement,
    judge_statements,
)
from siskinroad.work.messages import (
    ClaimAnswer,
    ClaimQuery,
    Hello,
    decode,
    encode,
)
from siskinroad.work.newcomer_check import NEWCOMER_WAIT, list_older_members
from siskinroad.work.records import MEMBERS_TOPIC, Member, record_of
from siskinroad.work.term import OWNERSHIP_TIMEOUT_S
from tests.work.cell import POOL
from tests.work.test_daemon import run_scenario

NAMES = ("a", "b", "c")
# Seconds from a start to a claim that nothing holds back, with the cell's reply times.
CLAIM_TIME_S = 1.5


def now():
    return asyncio.get_running_loop().time()


# The decision


def statement(node, unclaimed_s=100.0, members=NAMES, received_at=20.0):
    return Statement(node, unclaimed_s, tuple(members), received_at)


def judge(*statements, known_at=15.0, asked=("b", "c")):
    return judge_statements(asked, statements, known_at, {"a", *asked})


def test_long_statements_of_all_members_are_enough():
    assert judge(statement("b"), statement("c")).outcome is Outcome.CONFIRMED


def test_a_single_daemon_needs_no_statement():
    assert judge(asked=()).outcome is Outcome.CONFIRMED


def test_a_member_without_an_answer_is_missing():
    judgement = judge(statement("b"))
    assert judgement.outcome is Outcome.NO_ANSWER
    assert judgement.missing == ("c",)


@pytest.mark.parametrize("unclaimed_s", [0.0, 4.9, 5.0, 5.15, -1.0, math.nan, math.inf])
def test_a_statement_must_reach_back_to_what_is_known_by_the_slower_clock(unclaimed_s):
    judgement = judge(statement("b", unclaimed_s), statement("c"))
    assert judgement.outcome is Outcome.TOO_SHORT
    assert judgement.missing == ("b",)


def test_a_statement_that_reaches_back_just_far_enough_is_enough():
    needed_s = (5.0 + SLACK_S) / (1.0 - CLOCK_RATE_TOLERANCE)
    enough = judge(statement("b", needed_s + 0.001), statement("c"))
    assert enough.outcome is Outcome.CONFIRMED
    assert judge(statement("b", needed_s - 0.001), statement("c")).missing == ("b",)


def test_a_statement_counts_up_to_its_arrival():
    late = statement("b", 6.0, received_at=21.0)
    assert judge(late, statement("c")).outcome is Outcome.TOO_SHORT


def test_a_daemon_that_was_not_asked_is_named():
    judgement = judge(statement("b"), statement("c", members=(*NAMES, "d")))
    assert judgement.outcome is Outcome.UNKNOWN_MEMBER
    assert judgement.missing == ("d",)


def test_older_members_are_those_listed_before_that_have_not_ended():
    offsets = {"b": 7, "c": 2, "d": 9, "e": 4}
    assert list_older_members(offsets, 8, ()) == ["c", "e", "b"]
    assert list_older_members(offsets, 8, ("c",)) == ["e", "b"]
    assert list_older_members(offsets, 1, ()) == []


# Messages


class WithoutClaimMessages(msgspec.Struct, tag="hello", frozen=True, array_like=True):
    """The messages of an earlier version, as far as they matter here."""

    node: str


MESSAGES = (ClaimQuery(5, "p"), ClaimAnswer(5, 2.5, ("a", "b")))


@pytest.mark.parametrize("msg", MESSAGES)
def test_messages_round_trip(msg):
    assert decode(encode(msg)) == msg


@pytest.mark.parametrize("msg", MESSAGES)
def test_an_earlier_version_rejects_the_messages_by_their_tag(msg):
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(encode(msg), type=WithoutClaimMessages)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.sampled_from(MESSAGES), st.data())
def test_a_corrupt_message_decodes_or_raises_a_protocol_error(msg, data):
    raw = bytearray(encode(msg))
    for _ in range(data.draw(st.integers(1, 3))):
        raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    try:
        decoded = decode(bytes(raw), "b")
    except ProtocolError as exc:
        assert exc.peer == "b"
        return
    if isinstance(decoded, ClaimAnswer):
        judge_statements(
            ["b"],
            [Statement("b", decoded.unclaimed_s, decoded.members, 20.0)],
            15.0,
            {"a", "b"},
        )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.sampled_from(["claim?", "claim!"]),
    st.lists(
        st.none()
        | st.integers(-(2**63), 2**64 - 1)
        | st.floats()
        | st.text(max_size=5)
        | st.lists(st.text(max_size=3) | st.integers(), max_size=3),
        max_size=4,
    ),
)
def test_odd_fields_decode_or_raise_a_protocol_error(tag, fields):
    try:
        raw = msgspec.msgpack.encode([tag, *fields])
    except OverflowError:
        return
    try:
        assert isinstance(decode(raw, "b"), (ClaimQuery, ClaimAnswer))
    except ProtocolError as exc:
        assert exc.peer == "b"


# Confirmations in a cell whose store answers no daemon


async def start_outage(cell, *names, uptime=3.0):
    """Run daemons; silence the store; return the owner, and what it last knew."""
    for name in names or NAMES:
        cell.start(name)
    await asyncio.sleep(uptime)
    owner = cell.daemons[cell.owner()]
    cell.logs.faults.is_silent = True
    return owner, owner.owners[POOL].follower.confirmed_at


def others(cell, owner):
    return [name for name in cell.daemons if name != owner.member.node]


async def confirm(daemon, known_at, pool=POOL):
    return await daemon.dependencies.confirm_unclaimed(pool, known_at)


def count(daemon, outcome):
    return daemon.metrics.claim_statements.labels(outcome.value)._value.get()


def test_all_members_confirm_during_an_outage_of_the_store():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        await asyncio.sleep(4.0)
        asked_at = now()
        assert await confirm(owner, known_at) == asked_at
        assert now() - asked_at < 0.1
        assert count(owner, Outcome.CONFIRMED) == 1

    run_scenario(scenario)


def test_statements_can_be_used_until_leases_of_an_outage_have_expired():
    # A host that crashes as the outage begins: its lease is over 4.4 s later, and is
    # found to be so soon afterwards.
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        for _ in range(13):
            await asyncio.sleep(0.5)
            assert await confirm(owner, known_at) is not None

    run_scenario(scenario)


def test_statements_are_not_used_once_the_list_of_members_is_old():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        await asyncio.sleep(OWNERSHIP_TIMEOUT_S + 0.1)
        assert await confirm(owner, known_at) is None
        # Not even with newer knowledge of the claims.
        assert await confirm(owner, now()) is None
        assert count(owner, Outcome.OLD_MEMBERS) == 2

    run_scenario(scenario)


def test_statements_reach_back_to_the_newest_read_of_the_members():
    # The other member started between that read and the newest read of the claims.
    async def scenario(cell):
        owner, _ = await start_outage(cell, uptime=20.0)
        other = others(cell, owner)[0]
        await cell.kill(other)
        cell.start(other)
        await asyncio.sleep(2.0)
        assert await confirm(owner, now() - 0.5) is None
        assert count(owner, Outcome.TOO_SHORT) == 1

    run_scenario(scenario)


def test_a_list_that_was_read_before_the_own_registration_is_not_used():
    # A daemon that registered between the two would not know of this one.
    async def scenario(cell):
        owner, _ = await start_outage(cell, uptime=20.0)
        owner._listed_at = owner.members_follower.confirmed_at + 0.01
        assert await confirm(owner, now()) is None
        assert count(owner, Outcome.OLD_MEMBERS) == 1

    run_scenario(scenario)


def test_an_owner_reads_the_list_of_members_each_second_from_its_claim_on():
    # A read that was sent before the claim may be held open for seconds.
    async def scenario(cell):
        for name in NAMES:
            cell.start(name)
        while cell.owner() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        for _ in range(60):
            await asyncio.sleep(0.1)
            read_at = cell.daemons[cell.owner()].members_follower.confirmed_at
            assert now() - read_at < 1.5

    run_scenario(scenario)


def test_a_single_daemon_confirms_by_itself():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, "a")
        assert await confirm(owner, known_at) == now()

    run_scenario(scenario)


@pytest.mark.parametrize("direction", ["to", "from"])
def test_a_member_that_is_cut_off_prevents_the_confirmation(direction):
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        own, other = owner.member.node, others(cell, owner)[0]
        pair = (own, other) if direction == "to" else (other, own)
        cell.network.faults.cut.add(pair)
        began = now()
        assert await confirm(owner, known_at) is None
        assert now() - began < 1.0
        assert count(owner, Outcome.NO_ANSWER) == 1
        cell.network.faults.cut.clear()
        assert await confirm(owner, known_at) is not None

    run_scenario(scenario)


@pytest.mark.parametrize("loses_power", [False, True])
def test_a_killed_member_prevents_the_confirmation(loses_power):
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        await cell.kill(others(cell, owner)[0], loses_power=loses_power)
        await asyncio.sleep(1.0)
        assert await confirm(owner, known_at) is None
        assert count(owner, Outcome.NO_ANSWER) == 1

    run_scenario(scenario)


def test_a_member_that_restarted_since_prevents_the_confirmation():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        other = others(cell, owner)[0]
        await cell.kill(other)
        cell.start(other)
        await asyncio.sleep(2.0)
        assert await confirm(owner, known_at) is None
        assert count(owner, Outcome.TOO_SHORT) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["released", "deposed"])
def test_a_successor_that_has_ended_prevents_it_until_what_is_known_is_newer(end):
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        await asyncio.sleep(10.0)
        owner = cell.daemons[cell.owner()]
        other = cell.daemons[others(cell, owner)[0]]
        known_at = now()
        manager = other.claim_manager

        async def has_live_owner(*args):
            return False

        manager._has_live_owner = has_live_owner
        for name in others(cell, owner):
            cell.daemons[name].claim_manager.is_leaving = True
        manager._pool_tasks[POOL] = asyncio.create_task(manager._own_pool(POOL))
        await asyncio.sleep(0.02)
        assert await confirm(owner, known_at) is None
        await asyncio.sleep(1.0)
        assert POOL in other.owners
        assert await confirm(owner, known_at) is None
        if end == "released":
            await other.claim_manager.release_all()
        else:
            manager._pool_tasks[POOL].cancel()
            await asyncio.sleep(0.05)
        assert POOL not in other.owners
        assert await confirm(owner, known_at) is None
        assert count(owner, Outcome.TOO_SHORT) == 3
        # A later read of the claims, and of the members, shows who has claimed.
        ended_at = now()
        await asyncio.sleep(11.0)
        assert owner.members_follower.confirmed_at > ended_at + 1.0
        daemons = cell.daemons.values()
        term = max(each.claim_notices._terms.get(POOL, 0) for each in daemons)
        ask = owner.claim_statements.confirm
        assert await ask(POOL, ended_at + 1.0, term - 1) is None
        assert await ask(POOL, ended_at + 1.0, term) is not None

    run_scenario(scenario)


def test_a_member_that_only_another_one_knows_prevents_the_confirmation():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        own, other = owner.member.node, others(cell, owner)[0]
        cell.network.faults.cut |= {("d", own), (own, "d")}
        cell.start("d")
        await asyncio.sleep(0.5)
        introduction = Hello("d", 9, "d", "dc1", "r1")
        cell.daemons["d"].peers.send(other, introduction)
        await asyncio.sleep(0.1)
        assert "d" not in owner.members.known
        assert await confirm(owner, known_at) is None
        assert count(owner, Outcome.UNKNOWN_MEMBER) == 1

    run_scenario(scenario)


def test_nothing_is_confirmed_from_before_a_suspension():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        owner._on_suspended()
        assert await confirm(owner, known_at) is None
        assert count(owner, Outcome.OLD_MEMBERS) == 1

    run_scenario(scenario)


def test_a_suspension_that_nobody_else_noticed_yet_prevents_the_confirmation():
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        detector = owner.claim_statements._suspend_detector
        detector._offset -= 3.0
        assert await confirm(owner, known_at) is None
        waiting = asyncio.create_task(confirm(owner, known_at))
        await asyncio.sleep(0)
        detector._offset -= 3.0
        assert await waiting is None

    run_scenario(scenario)


def test_a_suspension_prevents_all_confirmations_that_are_under_way():
    # A daemon may own several pools.
    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        waiting = [asyncio.create_task(confirm(owner, known_at)) for _ in range(2)]
        await asyncio.sleep(0)
        owner.claim_statements._suspend_detector._offset -= 3.0
        assert await asyncio.gather(*waiting) == [None, None]
        # Nor is what was known before used by a later one.
        assert await confirm(owner, known_at) is None

    run_scenario(scenario)


def test_outcomes_are_logged_once_a_second_or_when_they_change(caplog):
    caplog.set_level(logging.INFO, "siskinroad.claim_statements")

    async def scenario(cell):
        owner, known_at = await start_outage(cell, uptime=20.0)
        for _ in range(20):
            await confirm(owner, known_at)
            await asyncio.sleep(0.1)
        await cell.kill(others(cell, owner)[0])
        await confirm(owner, known_at)

    run_scenario(scenario)
    lines = [
        r
        for r in caplog.records
        if r.name == "siskinroad.claim_statements" and "witnesses" not in r.message
    ]
    assert [r.outcome for r in lines].count("confirmed") in (2, 3)
    assert lines[-1].outcome == "no_answer"
    assert len(lines[-1].missing) == 1


# Daemons that the others may not know


def list_members(cell, *names):
    """Put records of members in the store that do not run in this cell."""
    for name in names:
        record = record_of(Member(name, 1, name, "dc1", "r1"))
        cell.logs.append(MEMBERS_TOPIC, [record], None, None)


async def measure_claim_s(cell, *names, seconds=20.0):
    """Start daemons; return the seconds until the pool has an owner."""
    began = now()
    for name in names:
        cell.start(name)
    while cell.owner() is None:
        assert now() - began < seconds
        await asyncio.sleep(0.02)
    return now() - began


@pytest.mark.parametrize("names", [("a",), NAMES])
def test_the_first_daemons_of_a_cell_claim_at_once(names):
    async def scenario(cell):
        assert await measure_claim_s(cell, *names) < CLAIM_TIME_S

    run_scenario(scenario)


def test_a_newcomer_that_hears_nobody_waits_for_owners_to_read_the_list_again():
    async def scenario(cell):
        list_members(cell, "old")
        took_s = await measure_claim_s(cell, "a")
        assert NEWCOMER_WAIT <= took_s < NEWCOMER_WAIT + CLAIM_TIME_S

    run_scenario(scenario)


def test_newcomers_that_hear_only_each_other_wait_as_well():
    # An owner that is cut off knows neither, nor does any member that it asks.
    async def scenario(cell):
        list_members(cell, "old")
        assert await measure_claim_s(cell, "a", "b") >= NEWCOMER_WAIT

    run_scenario(scenario)


def test_the_wait_counts_from_the_registration_not_from_the_start():
    async def scenario(cell):
        list_members(cell, "old")
        cell.start("a")
        cell.logs.faults.is_silent = True
        await asyncio.sleep(9.0)
        cell.logs.faults.is_silent = False
        assert await measure_claim_s(cell) >= NEWCOMER_WAIT

    run_scenario(scenario)


def test_a_newcomer_that_hears_the_oldest_member_claims_at_once():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.start("c")
        await asyncio.sleep(0.6)
        assert cell.daemons["c"].claim_manager.can_claim
        # The others are lost at once, and are silent from then on.
        for name in ("a", "b"):
            await cell.kill(name, loses_power=True)
        assert await measure_claim_s(cell) < 3.0

    run_scenario(scenario)


def test_a_newcomer_claims_at_once_when_the_listed_processes_have_ended():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for name in ("a", "b"):
            await cell.kill(name)
        assert await measure_claim_s(cell, "c") < CLAIM_TIME_S

    run_scenario(scenario)


def test_all_daemons_that_restart_at_once_claim_at_once():
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        for name in NAMES:
            await cell.kill(name)
        assert await measure_claim_s(cell, *NAMES) < CLAIM_TIME_S

    run_scenario(scenario)


def test_daemons_that_restart_without_one_that_lost_power_claim_at_once():
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        for name in NAMES:
            await cell.kill(name, loses_power=True)
        # Nothing that they sent before is on its way any more.
        await asyncio.sleep(0.1)
        assert await measure_claim_s(cell, "b", "c") < CLAIM_TIME_S

    run_scenario(scenario)


def test_a_lone_daemon_that_restarts_after_all_lost_power_claims_at_once():
    # Every owner that knows its name asks it.
    async def scenario(cell):
        await cell.start_daemons(*NAMES)
        for name in NAMES:
            await cell.kill(name, loses_power=True)
        # Nothing that they sent before is on its way any more.
        await asyncio.sleep(0.1)
        assert await measure_claim_s(cell, "c") < CLAIM_TIME_S

    run_scenario(scenario)


def test_silent_members_are_probed_twice_a_second_and_only_while_that_matters():
    async def scenario(cell):
        list_members(cell, "old")
        daemon = cell.start("a")
        probed_at = []

        async def probe(name):
            probed_at.append(now())
            return Reachability.SILENT

        daemon.peers.probe = probe
        await asyncio.sleep(25.0)
        gaps = [b - a for a, b in itertools.pairwise(probed_at)]
        assert min(gaps) >= 0.5
        assert probed_at[-1] - probed_at[0] <= NEWCOMER_WAIT + 0.7

    run_scenario(scenario)


def test_a_newcomer_of_a_large_cell_asks_the_oldest_member_that_sends_it_nothing():
    async def scenario(cell):
        await cell.start_daemons("a")
        daemon = cell.start("b")
        daemon.membership.on_heard = lambda *args: None
        await asyncio.sleep(1.5)
        # Nothing waits for it so far.
        assert not daemon.claim_manager.can_claim
        cell.daemons["a"].claim_manager.is_leaving = True
        await cell.daemons["a"].claim_manager.release_all()
        assert await measure_claim_s(cell) < CLAIM_TIME_S
        assert cell.owner() == "b"

    run_scenario(scenario)


def test_what_was_heard_before_the_registration_or_from_a_former_life_is_not_counted():
    async def scenario(cell):
        list_members(cell, "old")
        daemon = cell.start("a")
        check = daemon.newcomer_check
        check.note_heard("old", 1)
        await asyncio.sleep(2.0)
        check.note_heard("old", 0)
        assert not check.may_claim(now())
        check.note_heard("old", 1)
        assert check.may_claim(now())

    run_scenario(scenario)


def test_a_member_that_restarts_after_its_end_was_noticed_counts_again():
    async def scenario(cell):
        list_members(cell, "old")
        check = cell.start("a").newcomer_check
        await asyncio.sleep(0.3)
        check._ended["old"] = 1
        assert check._list_older() == []
        check._members.add_member(Member("old", 2, "old", "dc1", "r1"))
        assert check._list_older() == ["old"]

    run_scenario(scenario)
