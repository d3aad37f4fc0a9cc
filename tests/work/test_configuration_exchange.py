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


def run_exchange(own, told, calls, seconds=3.0):
    """Tell an exchange of versions; return its reader after some seconds."""

    async def scenario():
        reader = FakeReader(own)
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
    assert calls.asked == ["a", "b"]


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


@pytest.mark.parametrize("loss", [0.2, 0.5])
def test_version_reaches_a_daemon_over_a_lossy_link(loss):
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.network.faults.loss = loss
        cell.logs.faults.cut.add("a")
        put_configuration(cell, 3)
        await asyncio.sleep(0.1)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(6.0)
        assert list_versions(cell) == {3}

    run_scenario(scenario)
