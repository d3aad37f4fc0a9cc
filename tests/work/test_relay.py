"""Which daemons a store call is relayed through, on a paused clock."""

import asyncio
import contextlib

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.messages import RelayReply
from siskinroad.work.relay import RelayStore
from siskinroad.work.relay_codec import ReadCall, execute_encoded
from siskinroad.work.store import Record, StoreUnavailableError, StoreUnknownError
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

PROCESSORS = {"s1": 0.5, "s2": 0.6, "l1": 2.15, "s3": 0.5, "l2": 2.0}


class RejectingStore(MemoryStore):
    async def read(self, topic, start, *, wait, timeout=1.0):
        raise StoreUnavailableError("busy", step="store.read")


class Peers:
    """Peers that answer reads, but for the silent ones."""

    def __init__(self, silent):
        self.silent = silent
        self.asked = []

    async def request(self, peer, make_request, reply_type, timeout):
        self.asked.append(peer)
        if peer in self.silent:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("no reply", step="peers", peer=peer)
        call = ReadCall("t", 0, 0.0)
        result = await execute_encoded(MemoryStore(MemoryLogs()), call, timeout)
        return RelayReply(make_request(1).id, "answered", result)


def read_through(processors, reads=12, silent=()):
    """Make reads that the store rejects; return the peers asked, in order."""

    async def scenario():
        peers = Peers(silent)
        store = RelayStore(
            RejectingStore(MemoryLogs()),
            peers,
            lambda: list(processors),
            processors.__getitem__,
        )
        for _ in range(reads):
            with contextlib.suppress(StoreUnknownError):
                await store.read("t", 0, wait=0.0, timeout=0.3)
        return peers.asked

    return run_on_paused_clock(scenario())


def test_reads_are_relayed_through_the_large_daemons_by_turns():
    """Relayed through small ones, they came too late over two small links."""
    asked = read_through(PROCESSORS)
    assert set(asked) == {"l1", "l2"}
    assert min(asked.count("l1"), asked.count("l2")) >= 3


def test_a_small_daemon_is_relayed_through_before_large_ones_that_are_silent():
    asked = read_through(PROCESSORS, silent=("l1", "l2"))
    assert {"s1", "s2", "s3"} <= set(asked)


@pytest.mark.parametrize("processor", [0.0, 1.0])
def test_daemons_of_the_same_or_unknown_processor_are_relayed_through_by_turns(
    processor,
):
    asked = read_through(dict.fromkeys(PROCESSORS, processor))
    assert set(asked) == set(PROCESSORS)


class LeavingPeerStore(MemoryStore):
    """A store that rejects appends, and in whose time a peer ends."""

    def __init__(self, processors, leaving):
        super().__init__(MemoryLogs())
        self.processors = processors
        self.leaving = leaving

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        await asyncio.sleep(0.1)
        del self.processors[self.leaving]
        raise StoreUnavailableError("busy", step="store.append")


@pytest.mark.parametrize("others", [(), ("l1",)])
def test_an_append_is_relayed_through_no_peer_that_has_ended_meanwhile(others):
    # Guards against a KeyError that ended the owner of a pool: the peer was listed
    # before the direct call, and gone after it.
    processors = {name: PROCESSORS[name] for name in ("s1", *others)}

    async def scenario():
        peers = Peers(silent=processors.copy())
        store = RelayStore(
            LeavingPeerStore(processors, "s1"),
            peers,
            lambda: list(processors),
            processors.__getitem__,
        )
        expected = StoreUnknownError if others else StoreUnavailableError
        with pytest.raises(expected):
            await store.append("t", [Record("k", b"v")])
        return tuple(peers.asked)

    assert run_on_paused_clock(scenario()) == others
