"""Versions of the configuration that daemons get from each other."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.configuration_exchange import ConfigurationExchange
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
