"""Tests of who sends heartbeats to whom in a large cell, and of digests."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.heartbeat_routes import (
    AGGREGATOR_PAUSE,
    AGGREGATOR_TIMEOUT,
    SILENT_AFTER,
    HeartbeatRoutes,
)
from siskinroad.work.members import HEARTBEAT_TIMEOUT, Members
from siskinroad.work.messages import DataCentreNews, Digest, Heartbeat, MemberNews
from siskinroad.work.records import Member
from tests.work.cell import POOL, Cell, job

DATA_CENTRES = ("d0", "d1", "d2")


def make_member(number):
    return Member(
        f"n{number}", 1, f"n{number}:1", DATA_CENTRES[number % len(DATA_CENTRES)], "r"
    )


def make_routes(number, size):
    """Return the routes of one daemon of a cell in which all know each other."""
    own = make_member(number)
    members = Members(own.node, 1)
    for other in range(size):
        members.add_member(make_member(other))
    return HeartbeatRoutes(own, members)


def heartbeat(node, incarnation=1, aggregators=(), **fields):
    values = {
        "owned": (),
        "store_age": 0.1,
        "is_leaving": False,
        "can_claim": True,
        "processor": 1.0,
    } | fields
    return Heartbeat(node, incarnation, aggregators=aggregators, **values)


def receive(routes, msg, now):
    routes.note_heartbeat(msg, now)
    routes.members.record_heartbeat(msg, now)


def list_recipients(routes, now, **fields):
    routes.choose_aggregators(now)
    own = heartbeat(routes.member.node, aggregators=routes.aggregators, **fields)
    return routes.list_recipients(own, now)


def find_news(digest, data_centre):
    return next(news for news in digest.data_centres if news.data_centre == data_centre)


def test_small_cells_send_heartbeats_to_every_daemon():
    routes = make_routes(0, 8)
    assert list_recipients(routes, 10.0) == [f"n{i}" for i in range(1, 8)]
    assert routes.aggregators is None


def test_large_cells_send_heartbeats_to_two_daemons_of_the_same_data_centre():
    routes = make_routes(0, 30)
    recipients = list_recipients(routes, 10.0)
    assert len(recipients) == 2
    assert all(int(node[1:]) % 3 == 0 and node != "n0" for node in recipients)


def test_owners_are_sent_every_heartbeat_and_send_theirs_to_all():
    # Their death is noticed by the lost connection, and by their own heartbeats.
    routes = make_routes(0, 30)
    receive(routes, heartbeat("n1", owned=((POOL, 4),)), 10.0)
    assert "n1" in list_recipients(routes, 10.1)
    for fields in ({"owned": ((POOL, 5),)}, {"claiming": (POOL,)}):
        assert len(list_recipients(routes, 10.1, **fields)) == 29
    assert len(list_recipients(routes, 10.1, is_leaving=True)) == 29


def test_daemons_of_an_earlier_version_are_sent_every_heartbeat():
    routes = make_routes(0, 30)
    receive(routes, heartbeat("n1", aggregators=None), 10.0)
    assert "n1" in list_recipients(routes, 10.1)
    assert "n1" not in list_recipients(routes, 10.1 + HEARTBEAT_TIMEOUT)


def test_an_aggregator_without_digests_is_replaced_for_a_while():
    routes = make_routes(0, 30)
    first, second = list_recipients(routes, 10.0)
    digest = make_digest_of(first)
    for now in (10.5, 11.0, 11.5):
        routes.apply_digest(digest, now)
        named = list_recipients(routes, now)
    assert first in named and second not in named
    replaced_at = 10.0 + AGGREGATOR_TIMEOUT
    for i in range(20):
        routes.apply_digest(digest, replaced_at + 0.3 * i)
    now = replaced_at + 0.6 + AGGREGATOR_PAUSE
    assert second in list_recipients(routes, now)


def make_digest_of(node, *received):
    """Return the digest of an aggregator that has received some heartbeats."""
    number = int(node[1:])
    routes = make_routes(number, 30)
    subscriber = f"n{(number + 3) % 30}"
    receive(routes, heartbeat(subscriber, aggregators=(node,)), 10.0)
    for msg in received:
        receive(routes, msg, 10.0)
    ((nodes, digest), _) = routes.make_digests(10.1)
    assert nodes == [subscriber]
    return digest


def test_a_daemon_that_nobody_names_sends_no_digests():
    routes = make_routes(0, 30)
    receive(routes, heartbeat("n3", aggregators=("n6",)), 10.0)
    assert routes.make_digests(10.1) == []


def test_digests_tell_of_all_data_centres_and_only_of_the_own_one_elsewhere():
    # Otherwise news would go round between data centres.
    routes = make_routes(0, 30)
    receive(routes, heartbeat("n3", aggregators=("n0",)), 10.0)
    (own_nodes, own), (other_nodes, other) = routes.make_digests(10.1)
    assert own_nodes == ["n3"]
    assert [news.data_centre for news in own.data_centres] == list(DATA_CENTRES)
    assert [news.data_centre for news in other.data_centres] == ["d0"]
    assert len(other_nodes) == 4
    assert all(int(node[1:]) % 3 for node in other_nodes)


def test_a_digest_shows_daemons_alive_but_not_those_that_its_aggregator_misses():
    digest = make_digest_of("n0", heartbeat("n9"))
    routes = make_routes(12, 30)
    for name in ("n9", "n15"):
        receive(routes, heartbeat(name), 8.5)
    routes.apply_digest(digest, 10.2)
    assert routes.members.is_alive("n9", 8.5 + HEARTBEAT_TIMEOUT + 0.5)
    assert not routes.members.is_alive("n15", 8.5 + HEARTBEAT_TIMEOUT + 0.5)


def test_a_daemon_counts_as_dead_in_time_although_digests_go_on():
    # A digest may tell of a daemon that has died since the aggregator heard of it.
    routes = make_routes(0, 30)
    receiver = make_routes(12, 30)
    receive(routes, heartbeat("n9"), 10.0)
    now = 10.0
    while now < 10.0 + HEARTBEAT_TIMEOUT:
        now += 0.3
        receive(routes, heartbeat("n3", aggregators=("n0",)), now)
        for _, digest in routes.make_digests(now):
            receiver.apply_digest(digest, now)
    assert receiver.members.is_alive("n3", now)
    died_at = 10.0
    assert not receiver.members.is_alive("n9", died_at + HEARTBEAT_TIMEOUT + 0.1)


def test_a_digest_shows_no_owner():
    # Ownership ends with the owner's own heartbeats. One that was passed on may be
    # older, and a daemon could act on an owner that is gone.
    digest = make_digest_of("n0", heartbeat("n9", owned=((POOL, 4),)))
    routes = make_routes(12, 30)
    routes.apply_digest(digest, 10.2)
    assert routes.members.is_alive("n9", 10.3)
    assert routes.members.owner(POOL, 10.3) is None
    assert routes.members.claimant(POOL, 10.3) is None


def test_a_late_digest_does_not_replace_what_the_daemon_itself_has_said():
    # It would return a pool to the owner that has just released it.
    digest = make_digest_of("n0", heartbeat("n9", owned=((POOL, 4),)))
    routes = make_routes(12, 30)
    receive(routes, heartbeat("n9", owned=((POOL, 4),)), 10.0)
    receive(routes, heartbeat("n9", is_leaving=True), 10.2)
    routes.apply_digest(digest, 10.5)
    assert routes.members.owner(POOL, 10.6) is None
    assert routes.members.was_released(POOL, 10.6)


def test_a_digest_does_not_bring_back_an_ended_daemon():
    # Its port refuses connections, which a digest that is on its way does not know.
    digest = make_digest_of("n0", heartbeat("n9"))
    routes = make_routes(12, 30)
    receive(routes, heartbeat("n9"), 10.0)
    routes.members.note_ended("n9", 10.15)
    routes.apply_digest(digest, 10.2)
    assert not routes.members.is_alive("n9", 10.3)


def test_an_earlier_incarnation_in_a_digest_is_ignored():
    digest = make_digest_of("n0", heartbeat("n9", incarnation=1))
    routes = make_routes(12, 30)
    receive(routes, heartbeat("n9", incarnation=2), 9.0)
    news = routes.apply_digest(digest, 10.2)
    assert [each.node for each in news] == ["n3"]
    assert routes.members.has_later_incarnation("n9", 1)


def test_news_is_sent_at_once_and_a_new_recipient_gets_every_heartbeat():
    routes = make_routes(0, 30)
    for number in (3, 6, 9):
        receive(routes, heartbeat(f"n{number}", aggregators=("n0",)), 10.0)
    routes.make_digests(10.1)
    changed = heartbeat("n9", aggregators=("n0",), store_age=9.0)
    assert routes.note_heartbeat(changed, 10.2)
    routes.members.record_heartbeat(changed, 10.2)
    receive(routes, heartbeat("n12", aggregators=("n0",)), 10.2)
    by_node = {n: digest for nodes, digest in routes.make_digests(10.3) for n in nodes}
    told = {
        node: {item.heartbeat.node for item in find_news(by_node[node], "d0").news}
        for node in ("n3", "n12")
    }
    assert {"n9", "n12"} <= told["n3"]
    assert told["n12"] == {"n3", "n6", "n9", "n12"}


def test_a_silent_daemon_is_listed_with_its_silence():
    routes = make_routes(0, 30)
    receive(routes, heartbeat("n9"), 10.0)
    for silent_s in (SILENT_AFTER + 0.1, HEARTBEAT_TIMEOUT + 0.1):
        now = 10.0 + silent_s
        receive(routes, heartbeat("n3", aggregators=("n0",)), now)
        ((_, digest), _) = routes.make_digests(now)
        news = find_news(digest, "d0")
        assert news.silent["n9"] == pytest.approx(silent_s, abs=0.01)
        assert "n3" not in news.silent
    assert "n9" not in [item.heartbeat.node for item in news.news]


@pytest.mark.parametrize("age", [-60.0, float("nan")])
def test_a_digest_from_the_future_keeps_nobody_alive(age):
    # A wrong age must not make a daemon count as alive for longer than a heartbeat.
    news = MemberNews(age, heartbeat("n9"))
    digest = Digest("n0", (DataCentreNews("d0", age, {"n6": age}, (news,)),))
    routes = make_routes(12, 30)
    receive(routes, heartbeat("n6"), 9.0)
    routes.apply_digest(digest, 10.0)
    for name in ("n6", "n9"):
        assert not routes.members.is_alive(name, 10.0 + HEARTBEAT_TIMEOUT + 0.1)


# Whole daemons


def make_own_digest(node, silent):
    """Return an aggregator's digest to a daemon of its own data centre."""
    news = DataCentreNews("d0", SILENT_AFTER, silent, ())
    other = DataCentreNews("d1", SILENT_AFTER, {"n1": 1.5}, ())
    return Digest(node, (news, other))


def test_a_heartbeat_is_repeated_for_an_aggregator_that_has_missed_one():
    routes = make_routes(0, 30)
    routes.choose_aggregators(10.0)
    first, second = routes.aggregators
    silent = {"n0": 0.9, "n3": 1.2}
    assert routes.must_repeat(make_own_digest(first, silent), 11.0)
    assert routes.must_repeat(make_own_digest(second, silent), 11.0)
    # One digest may be sent before the repeated heartbeat arrives, and news at once.
    assert not routes.must_repeat(make_own_digest(first, silent), 11.2)
    assert routes.must_repeat(make_own_digest(first, silent), 11.35)


def test_no_heartbeat_is_repeated_for_a_digest_that_does_not_miss_one():
    routes = make_routes(0, 30)
    routes.choose_aggregators(10.0)
    named, *_ = routes.aggregators
    others = {member for member in routes.members.known if member != named}
    others -= {*routes.aggregators, "n0"}
    assert not routes.must_repeat(make_own_digest(named, {"n3": 1.2}), 11.0)
    for other in others:
        assert not routes.must_repeat(make_own_digest(other, {"n0": 1.2}), 11.0)


def run_large_cell(scenario, size=15, **fields):
    async def run_and_close():
        cell = Cell(**fields)
        try:
            for number in range(size):
                cell.start(f"n{number}", processor=2.0 if number < 2 else 1.0)
            await cell.wait_for_owner()
            await asyncio.sleep(2.0)
            await scenario(cell)
        finally:
            await cell.close()
        cell.check_run_numbers()

    run_on_paused_clock(run_and_close())


async def measure_takeover_s(cell, also=()):
    """Kill the owner without a trace, and return the seconds until the next one."""
    former = cell.owner()
    began = asyncio.get_running_loop().time()
    await asyncio.gather(
        *(cell.kill(name, loses_power=True) for name in {former, *also})
    )
    while cell.owner() is None:
        await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - began < 10.0
    return asyncio.get_running_loop().time() - began


def test_all_daemons_of_a_large_cell_know_each_other_without_direct_heartbeats():
    async def scenario(cell):
        now = asyncio.get_running_loop().time()
        for daemon in cell.daemons.values():
            assert len(daemon.members.live_members(now)) == 14
        reply = await cell.submit("n9", "00000000000000aa", job())
        assert reply.kind == "ok"
        await cell.wait_for_state("00000000000000aa", "complete")

    run_large_cell(scenario)


def test_a_lost_owner_of_a_large_cell_is_replaced_in_time():
    async def scenario(cell):
        assert await measure_takeover_s(cell) < 1.5
        assert cell.owner() in ("n0", "n1")

    run_large_cell(scenario)


def test_a_lost_owner_is_replaced_in_time_if_all_aggregators_die_with_it():
    async def scenario(cell):
        aggregators = set()
        for daemon in cell.daemons.values():
            aggregators.update(daemon.membership.routes.aggregators)
        aggregators -= {"n0", "n1"}
        assert aggregators
        assert await measure_takeover_s(cell, aggregators) < 1.5
        await asyncio.sleep(4.0)
        now = asyncio.get_running_loop().time()
        for daemon in cell.daemons.values():
            live = set(daemon.members.live_members(now))
            assert live == set(cell.daemons) - {daemon.member.node}

    run_large_cell(scenario)


def test_a_lost_owner_is_replaced_in_time_while_an_aggregator_is_cut_off_one_way():
    async def scenario(cell):
        daemon = next(iter(cell.daemons.values()))
        (aggregator, *_) = daemon.membership.routes.aggregators
        for name in cell.daemons:
            cell.network.faults.cut.add((aggregator, name))
        await asyncio.sleep(2.0)
        assert await measure_takeover_s(cell) < 1.5

    run_large_cell(scenario)
