"""Daemons that do not hear an owner which works, and owners that are lost."""

import asyncio

import msgspec
import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.members import OWNER_HEARTBEAT_TIMEOUT, Members
from siskinroad.work.messages import Heartbeat, OwnerAnswer, OwnerQuery
from siskinroad.work.owner_check import ALONE_AFTER
from siskinroad.work.owner_silence import (
    ASKED_AGE,
    LONGEST_UNANSWERED,
    MAX_ASKED,
    MAX_ASKED_UNANSWERED,
    UNANSWERED_AFTER,
    OwnerSilence,
    Verdict,
    choose_asked,
)
from tests.work.cell import POOL, Cell

# Seconds over which the term of an owner that works must not change.
WATCHED_S = 20.0
# Seconds from the loss of an owner without a trace to the next one, as asked of a cell
# that hears all messages.
TAKEN_OVER_S = 1.5
# Seconds by which a saturated link delays what it receives.
LINK_DELAY_S = 1.5
SIZES = (5, 16)


def run_cell(scenario, size, seed=1):
    """Run a scenario with a cell whose daemons are the larger, the lower their number.

    n0 owns the pool, n1 is the next one to claim it.
    """

    async def run_and_close():
        cell = Cell(seed=seed)
        try:
            for number in range(size):
                cell.start(f"n{number}", processor=2.2 - 0.1 * number)
            await cell.wait_for_owner()
            await asyncio.sleep(3.0)
            assert cell.owner() == "n0"
            await scenario(cell)
        finally:
            await cell.close()
        cell.check_run_numbers()

    run_on_paused_clock(run_and_close())


def find_terms(cell):
    return {
        name: daemon.owners[POOL].term.number
        for name, daemon in cell.daemons.items()
        if POOL in daemon.owners
    }


async def check_that_the_owner_stays(cell):
    terms = find_terms(cell)
    for _ in range(int(WATCHED_S / 0.05)):
        await asyncio.sleep(0.05)
        assert find_terms(cell) == terms


def delay_received(daemon):
    """Let all that a daemon receives be late by the same time."""
    loop = asyncio.get_running_loop()
    receive = daemon.peers.receiver
    daemon.peers.receiver = lambda peer, msg: loop.call_later(
        LINK_DELAY_S, receive, peer, msg
    )


def bunch_received(daemon):
    """Let all that a daemon receives arrive together, once in ``LINK_DELAY_S``."""
    loop = asyncio.get_running_loop()
    receive = daemon.peers.receiver

    def receive_late(peer, msg):
        late_s = LINK_DELAY_S - loop.time() % LINK_DELAY_S
        loop.call_later(late_s, receive, peer, msg)

    daemon.peers.receiver = receive_late


def make_earlier(daemon):
    """Let a daemon behave as one of a version that knows no owner queries."""
    transport = daemon.peers
    receive = transport.receiver
    send_encoded = transport.send_encoded

    def send_earlier(name, msg, data):
        if isinstance(msg, Heartbeat):
            msg = msgspec.structs.replace(msg, answers_owner_queries=False)
            data = transport.codec.encode(msg)
        send_encoded(name, msg, data)

    def receive_earlier(peer, msg):
        assert not isinstance(msg, OwnerQuery)
        receive(peer, msg)

    transport.send_encoded = send_earlier
    transport.receiver = receive_earlier


async def measure_takeover_s(cell, lost, is_cut_off=False):
    """Lose daemons without a trace; return the seconds until another one owns."""
    began = asyncio.get_running_loop().time()
    if is_cut_off:
        isolate(cell, lost)
    else:
        await asyncio.gather(*(cell.kill(name, loses_power=True) for name in lost))
    while not set(find_terms(cell)).difference(lost):
        await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - began < 20.0
    return asyncio.get_running_loop().time() - began


def isolate(cell, names):
    """Cut daemons off from the store and from all others."""
    cell.logs.faults.cut |= set(names)
    for name in names:
        for other in cell.daemons:
            cell.network.faults.cut |= {(name, other), (other, name)}


@pytest.mark.parametrize("size", SIZES)
def test_a_daemon_that_alone_does_not_hear_the_owner_leaves_it_the_pool(size):
    async def scenario(cell):
        cell.network.faults.cut.add(("n0", "n1"))
        await check_that_the_owner_stays(cell)

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("make_late", [delay_received, bunch_received])
def test_a_daemon_that_receives_all_late_leaves_the_owner_the_pool(size, make_late):
    async def scenario(cell):
        make_late(cell.daemons["n1"])
        await check_that_the_owner_stays(cell)

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
def test_daemons_that_receive_all_late_leave_the_owner_the_pool(size):
    # Links of many daemons are saturated at once by a large configuration.
    async def scenario(cell):
        for number in range(1, size - 1):
            bunch_received(cell.daemons[f"n{number}"])
        await check_that_the_owner_stays(cell)

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_lost_owner_is_replaced_as_soon_as_before(size, is_cut_off):
    async def scenario(cell):
        assert await measure_takeover_s(cell, ["n0"], is_cut_off) < TAKEN_OVER_S
        assert "n1" in find_terms(cell)

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
def test_a_lost_owner_is_replaced_though_the_next_one_receives_all_late(size):
    # The others wait for it no longer than for one that has just started.
    async def scenario(cell):
        bunch_received(cell.daemons["n1"])
        await asyncio.sleep(5.0)
        assert await measure_takeover_s(cell, ["n0"]) < 3.0

    run_cell(scenario, size)


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("size", SIZES)
def test_a_lost_owner_is_replaced_though_a_fifth_of_the_messages_is_lost(size, seed):
    async def scenario(cell):
        cell.network.faults.loss = 0.2
        await asyncio.sleep(1.0)
        lost = next(iter(find_terms(cell)))
        assert await measure_takeover_s(cell, [lost]) < 2.5

    run_cell(scenario, size, seed)


@pytest.mark.parametrize("size", [2, *SIZES])
def test_the_only_daemon_left_takes_the_pool(size):
    async def scenario(cell):
        lost = [name for name in cell.daemons if name != f"n{size - 1}"]
        assert await measure_takeover_s(cell, lost) < 2.5

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("after_s", [1.0, 1.5, 2.0, 5.0])
def test_a_daemon_that_reaches_the_store_through_others_leaves_them_the_claim(
    size, after_s
):
    # Each call of its takeover would go through another daemon.
    async def scenario(cell):
        cell.logs.faults.cut.add("n1")
        await asyncio.sleep(after_s)
        assert await measure_takeover_s(cell, ["n0"]) < 2.5
        await asyncio.sleep(3.0)
        assert list(find_terms(cell)) == ["n2"]

    run_cell(scenario, size)


@pytest.mark.parametrize("size", SIZES)
def test_daemons_of_an_earlier_version_are_not_asked_and_delay_no_takeover(size):
    async def scenario(cell):
        for number in range(1, size):
            make_earlier(cell.daemons[f"n{number}"])
        await asyncio.sleep(5.0)
        assert await measure_takeover_s(cell, ["n0"]) < TAKEN_OVER_S

    run_cell(scenario, size)


def test_one_daemon_of_this_version_answers_for_those_of_an_earlier_one():
    async def scenario(cell):
        for number in (2, 3):
            make_earlier(cell.daemons[f"n{number}"])
        await asyncio.sleep(5.0)
        cell.network.faults.cut.add(("n0", "n1"))
        await check_that_the_owner_stays(cell)

    run_cell(scenario, 5)


def test_a_deposed_owner_that_others_still_hear_does_not_delay_a_claim():
    # n0 works on unheard by n1 and n2, which know of the later owner that is lost.
    async def scenario(cell):
        check = cell.daemons["n2"].owner_check
        deposed = OwnerAnswer(0, "n0", 1, 0.1)
        assert not check._is_outdated(POOL, deposed)
        later = Heartbeat("n1", 2, ((POOL, 7),), 0.1, False, True)
        check._heard_owners.note_heartbeat(later, asyncio.get_running_loop().time())
        assert check._is_outdated(POOL, deposed)
        assert not check._is_outdated(POOL, OwnerAnswer(0, "n1", 7, 0.1))
        assert not check._is_outdated(POOL, OwnerAnswer(0, "n3", 0, 0.1))
        assert check._is_outdated(POOL, OwnerAnswer(0, "n2", 8, 0.0))

    run_cell(scenario, 5)


# Decisions


def answer(owner="", heard_s=0.0, term=3):
    return OwnerAnswer(1, owner, term if owner else 0, heard_s)


@pytest.mark.parametrize("hearing,others,is_kept", [(1, 0, True), (1, 1, False)])
@pytest.mark.parametrize("more", [0, 1, 2])
def test_an_owner_is_kept_if_half_of_those_asked_and_this_daemon_hear_it(
    hearing, others, is_kept, more
):
    silence = OwnerSilence(10.0)
    for number in range(hearing + more):
        silence.note_answer(f"h{number}", answer("o", 0.3), 10.0, 10.1)
    for number in range(others + more):
        silence.note_answer(f"n{number}", answer(), 10.0, 10.1)
    verdict = Verdict.HEARD if is_kept else Verdict.LOST
    assert silence.judge(False, 10.1) is verdict


def test_an_owner_that_was_heard_is_not_lost_while_later_answers_are_missing():
    # They may be on a saturated link.
    silence = OwnerSilence(10.0)
    silence.note_answer("b", answer("o", 0.1), 10.0, 10.1)
    lost_at = 10.0 + OWNER_HEARTBEAT_TIMEOUT
    assert silence.judge(False, lost_at - 0.01) is Verdict.HEARD
    assert silence.judge(False, lost_at + 1.0) is Verdict.UNANSWERED
    # This one was overtaken by a later one.
    silence.note_answer("b", answer(), 9.9, lost_at + 1.0)
    assert silence.judge(False, lost_at + 1.0) is Verdict.UNANSWERED
    silence.note_answer("b", answer(), 10.9, lost_at + 1.0)
    assert silence.judge(False, lost_at + 1.0) is Verdict.LOST


def test_answers_to_queries_of_a_former_silence_count_no_more():
    silence = OwnerSilence(10.0)
    silence.note_answer("b", answer(), 9.9, 10.1)
    assert silence.judge(False, 10.1) is Verdict.UNANSWERED
    silence.note_answer("b", answer(), 10.0, 10.1)
    assert silence.judge(False, 10.1) is Verdict.LOST


@pytest.mark.parametrize("heard_s", [-60.0, float("nan")])
def test_an_answer_from_the_future_keeps_no_owner(heard_s):
    silence = OwnerSilence(10.0)
    silence.note_answer("b", answer("o", heard_s), 10.0, 10.1)
    silence.note_answer("b", answer(), 11.0, 11.1)
    assert silence.judge(False, 11.1) is Verdict.LOST


def test_a_daemon_that_gets_no_answer_is_unanswered_until_it_counts_as_alone():
    silence = OwnerSilence(10.0)
    silence.note_asked(["b"], 10.0)
    assert not silence.is_unanswered(False, 9.99 + UNANSWERED_AFTER)
    silence.note_asked(["b"], 10.5)
    assert silence.is_unanswered(False, 10.5)
    assert not silence.is_unanswered(True, 10.5)
    assert silence.judge(True, 10.5) is Verdict.NOBODY_TO_ASK
    # One that asks no more does not say for good that it cannot claim.
    assert not silence.is_unanswered(False, 12.0)


def test_members_that_never_answer_leave_no_pool_without_an_owner():
    silence = OwnerSilence(10.0)
    silence.note_answer("b", answer("o"), 30.0, 30.1)
    last = 30.0 + LONGEST_UNANSWERED
    assert silence.judge(False, last) is Verdict.UNANSWERED
    assert silence.judge(False, last + 0.1) is Verdict.NOBODY_TO_ASK


def test_a_daemon_counts_as_alone_only_after_a_link_may_have_delayed_a_heartbeat():
    assert ALONE_AFTER > 0.6 + LINK_DELAY_S


def make_answering(node, processor, answers=True):
    heartbeat = Heartbeat(node, 1, (), 0.1, False, True, processor=processor)
    return msgspec.structs.replace(heartbeat, answers_owner_queries=answers)


def test_members_of_most_processor_are_asked_and_then_those_not_asked_yet():
    members = Members("a", 1)
    for number in range(9):
        heartbeat = make_answering(f"n{number}", number / 10, number != 7)
        members.record_heartbeat(heartbeat, 10.0)
    silence = OwnerSilence(10.1)
    first = choose_asked(members, "n8", silence, 10.1)
    assert first == ["n6", "n5", "n4", "n3", "n2"]
    assert len(first) == MAX_ASKED
    silence.note_asked(first, 10.1)
    silence.note_answer("n5", answer(), 10.1, 10.2)
    second = choose_asked(members, "n8", silence, 10.2)
    assert second == ["n5", "n1", "n0", "n6", "n4"]
    assert choose_asked(members, "n8", silence, 10.1 + ASKED_AGE) == []
    # Those heard since then live.
    members.record_heartbeat(make_answering("n0", 0.0), 10.3)
    members.record_heartbeat(make_answering("n2", 0.2), 10.3)
    third = choose_asked(members, "n8", silence, 10.4)
    assert third == ["n0", "n5", "n1", "n2", "n6"]


def test_more_members_are_asked_once_none_of_the_first_has_answered():
    members = Members("a", 1)
    for number in range(30):
        heartbeat = make_answering(f"n{number}", number / 10)
        members.record_heartbeat(heartbeat, 10.0)
    silence = OwnerSilence(10.1)
    first = choose_asked(members, "", silence, 10.1)
    silence.note_asked(first, 10.1)
    second = choose_asked(members, "", silence, 10.3)
    assert len(first) == MAX_ASKED
    assert len(second) == MAX_ASKED_UNANSWERED
    assert not set(first).intersection(second)
    silence.note_answer(first[0], answer(), 10.1, 10.4)
    assert len(choose_asked(members, "", silence, 10.4)) == MAX_ASKED


def test_a_daemon_that_would_not_claim_asks_less_often_once_it_has_an_answer():
    silence = OwnerSilence(10.0)
    assert silence.is_query_due(10.0, False)
    silence.note_asked(["b"], 10.0)
    assert silence.is_query_due(10.2, False)
    silence.note_answer("b", answer(), 10.0, 10.1)
    assert not silence.is_query_due(10.4, False)
    assert silence.is_query_due(10.5, False)
    assert silence.is_query_due(10.2, True)
    # Nor does one that gets no answer for long.
    silence.note_asked(["b"], 12.0)
    assert not silence.is_query_due(12.2, True)
    assert silence.is_query_due(12.5, True)
