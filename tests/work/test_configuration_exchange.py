"""Versions of the configuration that daemons get from each other."""

import asyncio
import itertools
import random

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.configuration_exchange import ConfigurationExchange
from siskinroad.work.configuration_parts import FIRST_PART_BYTES, PART_BYTES
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.store import Record
from tests.work.test_cell_troubles import list_versions, put_configuration
from tests.work.test_daemon import run_scenario
from tests.work.test_heartbeat_routes import run_large_cell


class FakeReader:
    """Configuration reader whose records are versions in decimal."""

    def __init__(self, version):
        self.version = version
        self.record = Record("config", b"%d" % version)

    def apply_record(self, record):
        self.version = max(self.version, int(record.value))


class FakeCalls:
    """Peers that answer with a version, or do not answer."""

    def __init__(self, **versions):
        self.versions = versions
        self.asked = []

    async def request(self, peer, make_request, reply_type, timeout):
        self.asked.append(peer)
        version = self.versions.get(peer)
        if version is None:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("no reply", step="peers", peer=peer)
        return ConfigurationReply(make_request(1).id, "config", b"%d" % version)


def run_exchange(own, told, calls, seconds=3.0, size=1):
    """Tell an exchange of versions; return its reader after some seconds."""

    async def scenario():
        reader = FakeReader(own)
        reader.record = Record("config", bytes(size))
        exchange = ConfigurationExchange(reader, calls)
        task = asyncio.create_task(exchange.run())
        for peer, version in told:
            exchange.note_version(peer, version)
        await asyncio.sleep(seconds)
        task.cancel()
        return reader

    return run_on_paused_clock(scenario())


def test_a_silent_peer_with_a_newer_version_is_not_the_only_one_that_is_asked():
    calls = FakeCalls(b=7, c=6)
    reader = run_exchange(5, [("a", 8), ("b", 7), ("c", 6)], calls)
    assert reader.version == 7
    # Its request or its reply may have been lost, so it is asked while it is alive.
    assert calls.asked == ["a", "b"] + 8 * ["a"]


def test_silent_peers_are_asked_by_turns_until_they_count_as_dead():
    calls = FakeCalls()
    run_exchange(5, [("c", 6), ("a", 8), ("b", 7)], calls, seconds=10.0)
    assert calls.asked == 3 * ["a", "b", "c"] + ["a"]


def test_a_request_does_not_wait_for_the_reply_to_the_one_before():
    calls = FakeCalls()
    run_exchange(5, [("a", 8)], calls, seconds=0.75)
    assert calls.asked == ["a"] * 4


@pytest.mark.parametrize(
    ("size", "count"), [(0, 3), (4_000, 10), (8_000, 5), (200_000, 3)]
)
def test_long_records_are_requested_less_often(size, count):
    calls = FakeCalls()
    run_exchange(5, [("a", 8)], calls, size=size)
    assert len(calls.asked) == count


def test_peers_with_the_same_or_an_older_version_are_not_asked():
    calls = FakeCalls(a=5, b=3)
    assert run_exchange(5, [("a", 5), ("b", 3), ("c", 0)], calls).version == 5
    assert calls.asked == []


def test_an_older_version_from_a_peer_does_not_replace_a_newer_one():
    # The peer has restarted meanwhile, and read a stale version.
    calls = FakeCalls(a=2)
    assert run_exchange(5, [("a", 8)], calls).version == 5


def test_a_daemon_without_a_configuration_serves_an_empty_record():
    async def scenario():
        reader = FakeReader(0)
        reader.record = Record("", b"")
        return ConfigurationExchange(reader, FakeCalls()).serve(ConfigurationRequest(4))

    assert run_on_paused_clock(scenario()) == ConfigurationReply(4, "", b"")


def test_version_reaches_daemons_of_a_large_cell_that_cannot_read_it():
    # Most daemons do not hear from most others, but from their aggregators.
    async def scenario(cell):
        cut = [name for name in cell.daemons if name != cell.owner()][:6]
        cell.logs.faults.cut.update(cut)
        put_configuration(cell, 3)
        await asyncio.sleep(0.1)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(2.4)
        assert list_versions(cell) == {3}

    run_large_cell(scenario)


async def check_version_reaches_a_daemon_without_the_store(cell, loss):
    await cell.start_daemons("a", "b", "c")
    cell.network.faults.loss = loss
    cell.logs.faults.cut.add("a")
    put_configuration(cell, 3)
    await asyncio.sleep(0.1)
    cell.logs.faults.is_silent = True
    await asyncio.sleep(6.0)
    assert list_versions(cell) == {3}


@pytest.mark.parametrize("loss", [0.2, 0.5])
def test_version_reaches_a_daemon_over_a_lossy_link(loss):
    async def scenario(cell):
        await check_version_reaches_a_daemon_without_the_store(cell, loss)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(1, 61))
def test_version_reaches_a_daemon_whatever_messages_are_lost(seed):
    # One request or reply after the other may be lost, whatever the seed.
    async def scenario(cell):
        await check_version_reaches_a_daemon_without_the_store(cell, 0.5)

    run_scenario(scenario, seed=seed)


class LargeReader(FakeReader):
    """Reader of records that hold a version and much else."""

    def __init__(self, version):
        super().__init__(version)
        self.next_offset = self.skipped_to = -1

    def apply_record(self, record):
        version = int(record.value.partition(b"\n")[0])
        if version > self.version:
            self.version, self.record = version, record

    def skip_to(self, offset):
        self.skipped_to = offset


def make_large_record(version, parts=6):
    """Return a record of some parts that hardly compresses."""
    rng = random.Random(version)
    return Record("config", b"%d\n" % version + rng.randbytes(parts * PART_BYTES))


class LargePeers:
    """Peers that send parts, and some of them nothing.

    Attributes
    ----------
    silent : set of str
        Peers that do not answer any more.
    asked : list of tuple
        Seconds since the start, peer and request.
    most_open : int
        Most requests that were under way at once.
    """

    def __init__(self, **versions):
        self.readers = {}
        self.sources = {}
        for peer, version in versions.items():
            self.put(peer, version)
        self.silent = set()
        self.asked = []
        self.part_s = 0.1
        self.on_request = lambda peer, msg: None
        self.is_earlier_version = False
        self.open = self.most_open = 0
        self.began_at = None

    def put(self, peer, version):
        reader = self.readers.setdefault(peer, LargeReader(0))
        reader.apply_record(make_large_record(version))
        reader.next_offset = 10 * version
        self.sources.setdefault(peer, ConfigurationExchange(reader, None))

    async def request(self, peer, make_request, reply_type, timeout):
        msg = make_request(1)
        loop = asyncio.get_running_loop()
        self.began_at = self.began_at or loop.time()
        self.asked.append((round(loop.time() - self.began_at, 1), peer, msg))
        self.on_request(peer, msg)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            if peer in self.silent:
                await asyncio.sleep(timeout)
                raise OutcomeUnknownError("no reply", step="peers", peer=peer)
            reply = self.sources[peer].serve(self._change(msg))
            await asyncio.sleep(self.part_s)
            return reply
        finally:
            self.open -= 1

    def _change(self, msg):
        if self.is_earlier_version:
            return ConfigurationRequest(msg.id)
        return msg

    def list_parts(self, peer=None):
        """Return the version and part number of all but the first parts asked for."""
        return [
            (msg.version, (msg.start - FIRST_PART_BYTES) // PART_BYTES)
            for _, asked, msg in self.asked
            if msg.start and peer in (None, asked)
        ]


def run_large_exchange(peers, told, seconds=6.0, own=5):
    async def scenario():
        reader = LargeReader(own)
        exchange = ConfigurationExchange(reader, peers)
        peers.exchange = exchange
        task = asyncio.create_task(exchange.run())
        began_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < began_at + seconds:
            for peer, version in told:
                exchange.note_version(peer, max(version, peers.readers[peer].version))
            await asyncio.sleep(0.2)
        task.cancel()
        return reader

    return run_on_paused_clock(scenario())


def test_a_large_record_comes_in_parts_one_at_a_time():
    peers = LargePeers(a=7, b=7)
    reader = run_large_exchange(peers, [("a", 7), ("b", 7)])
    assert reader.record == make_large_record(7)
    assert (reader.skipped_to, peers.most_open) == (70, 1)
    assert peers.list_parts("a") == [(7, number) for number in range(6)]


def test_a_lost_part_comes_from_the_next_peer_and_the_others_are_kept():
    peers = LargePeers(a=7, b=7)

    def silence(peer, msg):
        if len(peers.list_parts()) == 4:
            peers.silent.add("a")

    peers.on_request = silence
    reader = run_large_exchange(peers, [("a", 7), ("b", 7)])
    assert reader.record == make_large_record(7)
    assert peers.list_parts("a") == [(7, number) for number in range(4)]
    assert peers.list_parts("b") == [(7, number) for number in range(3, 6)]


def test_requests_without_a_reply_grow_rare():
    peers = LargePeers(a=7)

    def silence(peer, msg):
        if msg.start:
            peers.silent.add("a")

    peers.on_request = silence
    run_large_exchange(peers, [("a", 7)], seconds=7.0)
    times = [at for at, _, msg in peers.asked if msg.start]
    pauses = [b - a for a, b in itertools.pairwise(times)]
    assert pauses == pytest.approx([0.5, 1.0, 1.5, 1.5, 1.5])


def test_parts_of_a_slow_link_are_not_requested_again():
    peers = LargePeers(a=7)
    peers.part_s = 0.45
    reader = run_large_exchange(peers, [("a", 7)])
    assert reader.version == 7
    assert peers.list_parts() == [(7, number) for number in range(6)]


def test_a_part_that_arrives_late_is_taken_all_the_same():
    # It takes longer than the first limit of half a second, and the next is longer.
    peers = LargePeers(a=7)
    peers.part_s = 0.8
    reader = run_large_exchange(peers, [("a", 7)], seconds=12.0)
    assert reader.record == make_large_record(7)
    assert len(peers.list_parts()) <= 6 + 2


@pytest.mark.parametrize(("arrived", "finished"), [(2, [8]), (5, [7, 8])])
def test_a_version_is_finished_only_if_most_of_it_is_here(arrived, finished):
    peers = LargePeers(a=7, b=7)
    applied = []

    def replace(peer, msg):
        if msg.version == 7 and len(peers.list_parts()) == arrived:
            peers.put("a", 8)
            peers.put("b", 8)
            for name in "ab":
                peers.exchange.note_version(name, 8)
        if msg.start == 0:
            applied.append(msg.version)

    peers.on_request = replace
    reader = run_large_exchange(peers, [("a", 7), ("b", 7)])
    assert reader.record == make_large_record(8)
    parts = [version for version, _ in peers.list_parts()]
    assert (parts.count(7) == 6) == (finished == [7, 8])
    assert parts.count(8) == 6


def test_a_version_that_no_peer_has_any_more_is_replaced_at_once():
    peers = LargePeers(a=7)

    def replace(peer, msg):
        if len(peers.list_parts()) == 5 and peers.readers["a"].version == 7:
            # It has restarted meanwhile.
            del peers.readers["a"], peers.sources["a"]
            peers.put("a", 9)

    peers.on_request = replace
    reader = run_large_exchange(peers, [("a", 7)], seconds=3.0)
    assert reader.record == make_large_record(9)


def test_a_version_that_the_own_read_brings_at_once_is_not_requested():
    async def scenario():
        peers, reader = LargePeers(a=7), LargeReader(5)
        exchange = ConfigurationExchange(reader, peers)
        task = asyncio.create_task(exchange.run())
        exchange.note_version("a", 7)
        await asyncio.sleep(0.05)
        reader.apply_record(make_large_record(7))
        await asyncio.sleep(2.0)
        task.cancel()
        return reader.version, peers.asked

    assert run_on_paused_clock(scenario()) == (7, [])


def test_a_peer_of_an_earlier_version_sends_the_whole_record():
    peers = LargePeers(a=7)
    peers.is_earlier_version = True
    # Its reply takes longer than the interval of the requests.
    peers.part_s = 1.5
    reader = run_large_exchange(peers, [("a", 7)])
    assert (reader.record, reader.skipped_to) == (make_large_record(7), -1)


def test_a_version_that_cannot_be_decoded_is_not_fetched_without_end():
    peers = LargePeers(a=7)

    class StrictReader(LargeReader):
        def apply_record(self, record):
            return None

    async def scenario():
        exchange = ConfigurationExchange(StrictReader(5), peers)
        task = asyncio.create_task(exchange.run())
        for _ in range(40):
            exchange.note_version("a", 7)
            await asyncio.sleep(0.2)
        task.cancel()

    run_on_paused_clock(scenario())
    assert len(peers.list_parts()) <= 2 * 6


def test_the_store_is_read_on_from_after_a_version_that_a_peer_has_sent():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        reader = cell.daemons["a"].configuration_reader
        cell.logs.faults.no_read_replies.add("a")
        put_configuration(cell, 3)
        await asyncio.sleep(2.0)
        end = cell.logs.topic("keyed.setup").end
        assert (reader.version, reader.follower.next_offset) == (3, end)

    run_scenario(scenario)


def test_a_daemon_that_could_not_decode_a_record_lets_no_other_skip_it():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.append("keyed.setup", [Record("config", b"not one")], None, None)
        await asyncio.sleep(0.5)
        exchange = cell.daemons["a"].configuration_exchange
        reply = exchange.serve(ConfigurationRequest(1, 1, 0, PART_BYTES))
        assert (reply.version, reply.next_offset) == (1, -1)
        put_configuration(cell, 3)
        await asyncio.sleep(0.5)
        reply = exchange.serve(ConfigurationRequest(1, 1, 0, PART_BYTES))
        assert reply.next_offset == cell.logs.topic("keyed.setup").end

    run_scenario(scenario)
