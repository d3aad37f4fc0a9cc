"""Reads that a daemon makes for its peers, on a paused clock."""

import asyncio

from bench.clock import run_on_paused_clock
from siskinroad.work.messages import RelayRequest
from siskinroad.work.relay import RelayStore
from siskinroad.work.relay_codec import AppendCall, NewestCall, ReadCall, encode_call
from siskinroad.work.relayed_reads import MAX_READS_FOR_ALL
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore
from tests.work.cell import POOL
from tests.work.test_daemon import run_scenario

CALLS = 40
# Seconds within which a configuration has to be in force, as the users ask.
CONFIGURATION_LIMIT_S = 4.0
# Daemons of a cell of which each follows three topics.
NAMES = tuple(f"n{i:02}" for i in range(24))


class CountingStore(MemoryStore):
    """A store that counts the reads which are made, and the most at once."""

    count = open = most_open = 0
    read_s = 0.1

    async def read(self, topic, start, *, wait, timeout=1.0):
        self.count += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await asyncio.sleep(self.read_s)
            return await super().read(topic, start, wait=0.0, timeout=timeout)
        finally:
            self.open -= 1


def serve_all(call, peers=("a",)):
    """Serve a call for each peer many times at once; return the outcomes by peer."""

    async def scenario():
        logs = MemoryLogs()
        logs.faults.call_delay_s = 0.1
        store = RelayStore(MemoryStore(logs), None, list)
        msg = RelayRequest(1, encode_call(call), 2.0)
        outcomes = {}
        for _ in range(2):
            replies = await asyncio.gather(
                *(store.serve(msg, peer) for peer in peers for _ in range(CALLS))
            )
            outcomes = {
                peer: [
                    reply.outcome for reply in replies[i * CALLS : (i + 1) * CALLS]
                ].count("answered")
                for i, peer in enumerate(peers)
            }
        return outcomes

    return run_on_paused_clock(scenario())


def test_reads_for_one_peer_are_limited_and_those_for_another_are_made():
    """Their answers filled the peer's link, and were requested again meanwhile."""
    assert serve_all(ReadCall("t", 0, 0.5), ("a", "b")) == {"a": 16, "b": 16}


def test_reads_of_the_newest_records_for_one_peer_are_limited():
    assert serve_all(NewestCall("t", "")) == {"a": 2}


def test_every_append_for_a_peer_is_made():
    assert serve_all(AppendCall("t", [Record("k", b"v")], None, None)) == {"a": CALLS}


def find_most_at_once(call):
    """Serve a call for eight peers many times at once; return the most open reads."""

    async def scenario():
        store = CountingStore(MemoryLogs())
        relay = RelayStore(store, None, list)
        msg = RelayRequest(1, encode_call(call), 2.0)
        peers = "abcdefgh"
        await asyncio.gather(
            *(relay.serve(msg, peer) for peer in peers for _ in range(CALLS))
        )
        assert store.count == 16 * len(peers)
        return store.most_open

    return run_on_paused_clock(scenario())


def test_reads_for_many_peers_leave_connections_for_the_daemons_own_calls():
    """All calls of a daemon share 64 connections to the store."""
    assert find_most_at_once(ReadCall("t", 0, 0.5)) == 40


def test_reads_of_jobs_for_many_peers_are_limited_too():
    assert find_most_at_once(ReadCall("jobs.t", 0, 0.5)) == 16


def test_a_read_that_has_waited_too_long_for_its_turn_is_not_made():
    async def scenario():
        store = CountingStore(MemoryLogs())
        store.read_s = 1.5
        relay = RelayStore(store, None, list)
        msg = RelayRequest(1, encode_call(ReadCall("t", 0, 0.0)), 2.0)
        replies = await asyncio.gather(
            *(relay.serve(msg, f"n{i}") for i in range(MAX_READS_FOR_ALL + 1))
        )
        later = await relay.serve(msg, "n0")
        return [reply.outcome for reply in replies], later.outcome

    outcomes, later = run_on_paused_clock(scenario())
    assert outcomes == ["answered"] * MAX_READS_FOR_ALL + ["not done"]
    assert later == "answered"


def test_an_owner_keeps_its_pool_beside_many_daemons_that_read_through_the_same_one():
    """Its reads of the claims were not made beside those that the store held open."""

    async def scenario(cell):
        for name in NAMES:
            cell.start(name, processor=2.0)
        await asyncio.sleep(5.0)
        owner = cell.owner()
        term = cell.daemons[owner].owners[POOL].term.number
        relay = next(name for name in NAMES if name != owner)
        cell.logs.faults.call_delay_s = 0.02
        cell.logs.faults.no_read_replies |= {*NAMES} - {relay}
        await asyncio.sleep(30.0)
        assert cell.owner() == owner
        assert cell.daemons[owner].owners[POOL].term.number == term

    run_scenario(scenario)


def test_an_owner_of_a_large_cell_keeps_its_pool_beside_reads_through_one_daemon():
    """Its reads of the claims found no place among those of 40 others, or too late."""
    names = tuple(f"n{i:02}" for i in range(42))

    async def scenario(cell):
        for name in names:
            cell.start(name, processor=2.0)
        await asyncio.sleep(5.4)
        owner = cell.owner()
        term = cell.daemons[owner].owners[POOL].term.number
        relay = next(name for name in names if name != owner)
        cell.logs.faults.call_delay_s = 0.02
        cell.logs.faults.no_read_replies |= {*names} - {relay}
        await asyncio.sleep(30.0)
        assert cell.owner() == owner
        assert cell.daemons[owner].owners[POOL].term.number == term

    run_scenario(scenario)


def test_all_of_a_large_cell_confirm_their_configuration_through_one_daemon():
    """Of 42 daemons up to thirteen did not, for as long as 22 s."""
    names = tuple(f"n{i:02}" for i in range(42))

    async def scenario(cell):
        for name in names:
            cell.start(name, processor=2.0)
        await asyncio.sleep(5.4)
        cell.logs.faults.call_delay_s = 0.02
        cell.logs.faults.no_read_replies |= {*names[1:]}
        await asyncio.sleep(8.0)
        for _ in range(22):
            await asyncio.sleep(1.0)
            ages = [each.configuration_reader.age_s() for each in cell.daemons.values()]
            assert max(ages) <= CONFIGURATION_LIMIT_S

    run_scenario(scenario)
