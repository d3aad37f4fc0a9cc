"""Reads of the store over small links: real sockets, on a paused clock."""

import asyncio
import struct

import pytest
from siskinroad_platform.store import PlatformStore, encode_records

from bench.clock import run_on_paused_clock
from siskinroad.http_client import HttpPool
from siskinroad.httpd import HttpResponse, HttpServer
from siskinroad.work.relay import RelayStore
from siskinroad.work.relay_codec import NewestCall, ReadCall
from siskinroad.work.store import Record, StoreUnavailableError, StoreUnknownError
from siskinroad.work.store_probe import StoreProbe

TIMEOUT_S = 1.2
RECORDS = [Record(f"k{i}", b"v" * 1000) for i in range(20)]


class PieceStore:
    """Server that sends each answer in pieces, with a pause before each.

    Parameters
    ----------
    pieces : int
        Pieces that it sends of each answer.
    """

    def __init__(self, pause_s, pieces=20, status=200):
        self.pause_s = pause_s
        self.pieces = pieces
        self.status = status
        self.requests = []

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return PlatformStore(address, HttpPool())

    async def _serve(self, reader, writer):
        body = struct.pack(">QQ", len(RECORDS), 0) + encode_records(RECORDS)
        size = len(body) // 20 + 1
        head = f"HTTP/1.1 {self.status} X\r\ncontent-length: {len(body)}\r\n\r\n"
        while req := await reader.readuntil(b"\r\n\r\n"):
            self.requests.append(req.split(b" ", 2)[:2])
            writer.write(head.encode())
            for i in range(self.pieces):
                await asyncio.sleep(self.pause_s)
                writer.write(body[i * size : (i + 1) * size])
            if self.pieces < 20:
                await asyncio.sleep(1e6)


async def measure(coro):
    """Return what a coroutine returns or raises, and the seconds until then."""
    began = asyncio.get_running_loop().time()
    try:
        result = await coro
    except (StoreUnavailableError, StoreUnknownError) as exc:
        result = exc
    return result, asyncio.get_running_loop().time() - began


def test_a_read_whose_answer_keeps_arriving_is_not_given_up():
    async def main():
        store = await PieceStore(pause_s=0.4).open()
        result, _ = await measure(store.read("t", 0, wait=0.0, timeout=TIMEOUT_S))
        assert list(result.records) == RECORDS

    run_on_paused_clock(main())


@pytest.mark.parametrize("pieces", [0, 5])
def test_a_read_whose_answer_stands_still_is_given_up(pieces):
    async def main():
        store = await PieceStore(pause_s=0.4, pieces=pieces).open()
        result, took_s = await measure(store.read("t", 0, wait=0.0, timeout=TIMEOUT_S))
        assert isinstance(result, StoreUnknownError)
        assert took_s == pytest.approx(pieces * 0.4 + TIMEOUT_S)

    run_on_paused_clock(main())


def test_a_read_that_was_held_open_waits_no_longer_for_an_answer_that_stands_still():
    async def main():
        store = await PieceStore(pause_s=4.0, pieces=1).open()
        result, took_s = await measure(
            store.read("t", 0, wait=5.0, timeout=5.0 + TIMEOUT_S)
        )
        assert isinstance(result, StoreUnknownError)
        assert took_s == pytest.approx(5.0 + TIMEOUT_S)

    run_on_paused_clock(main())


def test_a_read_whose_answer_trickles_in_is_given_up_in_the_end():
    async def main():
        store = await PieceStore(pause_s=1.0).open()
        result, took_s = await measure(store.read("t", 0, wait=0.0, timeout=TIMEOUT_S))
        assert isinstance(result, StoreUnknownError)
        assert took_s == pytest.approx(15.0)

    run_on_paused_clock(main())


@pytest.mark.parametrize("status", [429, 503])
def test_an_error_that_trickles_in_is_given_up_at_the_time_limit(status):
    async def main():
        store = await PieceStore(pause_s=0.4, status=status).open()
        result, took_s = await measure(store.read("t", 0, wait=0.0, timeout=TIMEOUT_S))
        assert isinstance(result, StoreUnknownError)
        assert took_s == pytest.approx(TIMEOUT_S)

    run_on_paused_clock(main())


def test_an_append_is_given_up_at_its_time_limit_though_its_answer_arrives():
    async def main():
        store = await PieceStore(pause_s=0.4).open()
        result, took_s = await measure(store.append("t", RECORDS, timeout=TIMEOUT_S))
        assert isinstance(result, StoreUnknownError)
        assert took_s == pytest.approx(TIMEOUT_S)

    run_on_paused_clock(main())


def test_a_read_is_arriving_from_its_first_bytes_until_it_stands_still():
    async def main():
        store = await PieceStore(pause_s=0.3, pieces=5).open()
        read = asyncio.create_task(measure(store.read("t", 0, wait=0.0, timeout=2.0)))
        seen = []
        for _ in range(5):
            await asyncio.sleep(0.45)
            seen.append(store.is_arriving("t"))
        assert seen == [True, True, True, True, False]
        assert not store.is_arriving("other")
        await read
        assert not store.is_arriving("t")

    run_on_paused_clock(main())


def test_a_read_whose_answer_is_arriving_is_not_relayed():
    """Relayed too, each copy of a large answer delays the others on a small link."""

    class NoPeers:
        async def request(self, peer, make_request, reply_type, timeout):
            raise AssertionError("relayed")

    async def main():
        server = PieceStore(pause_s=0.3)
        store = RelayStore(await server.open(), NoPeers(), lambda: ["peer"])
        result = await store.read("t", 0, wait=0.0, timeout=TIMEOUT_S)
        assert list(result.records) == RECORDS
        assert (store.relayed_calls, len(server.requests)) == (0, 1)

    run_on_paused_clock(main())


def test_a_probe_asks_for_the_least():
    """Probes of whole topics, four a second, filled small links in an outage."""

    async def main():
        server = PieceStore(pause_s=0.01)
        store = await server.open()
        await StoreProbe(store, "t", lambda: 0.0, lambda: None)._probe()
        relay = RelayStore(store, None, list)
        relay._probe_direct(ReadCall("t", 7, 1.0), 1.0)
        relay._next_probe_at = 0.0
        relay._probe_direct(NewestCall("t", ""), 1.0)
        await asyncio.sleep(1.0)
        assert len(server.requests) == 3
        for _, target in server.requests:
            assert target.startswith(b"/log-read?")
            assert b"&from=0&max_fetch_kb=1" in target

    run_on_paused_clock(main())


def test_a_store_whose_answer_arrives_for_seconds_is_not_silent():
    """Else the daemon would count an outage on a small link, and one more at its end.

    The store is heard from the first bytes on; the read goes on, whatever its kind.
    """

    async def main():
        loop = asyncio.get_running_loop()
        store = RelayStore(await PieceStore(pause_s=0.3).open(), None, list)
        recovered_at = []
        store.on_recovered = lambda: recovered_at.append(loop.time())
        store.direct_answer_at = loop.time()
        await asyncio.sleep(5.0)
        began = loop.time()
        read = asyncio.create_task(store.newest("t", timeout=TIMEOUT_S))
        await asyncio.sleep(0.1)
        for _ in range(19):
            await asyncio.sleep(0.3)
            assert loop.time() - store.direct_answer_at < 0.5
        with pytest.raises(StoreUnknownError, match="JSON is malformed"):
            await read
        assert len(recovered_at) == 1
        assert recovered_at[0] - began < 0.5

    run_on_paused_clock(main())


class PageStore:
    """Server that answers reads with as many whole records as the page holds."""

    def __init__(self, records):
        self.records = records
        self.server = HttpServer(self._answer)
        self.pages_kb = []

    async def _answer(self, req):
        start = int(req.query["from"])
        page_kb = int(req.query.get("max_fetch_kb", "1024"))
        self.pages_kb.append(page_kb)
        body = b""
        for record in self.records[start:]:
            more = encode_records([record])
            if len(body) + len(more) > page_kb * 1024:
                break
            body += more
        return HttpResponse(200, struct.pack(">QQ", len(self.records), 0) + body)


async def read_pages(records):
    """Return the records that a follower's reads bring, and the pages asked for."""
    server = PageStore(records)
    store = PlatformStore(await server.server.listen("127.0.0.1:0"), HttpPool())
    found, end = [], 1
    while len(found) < end:
        result = await store.read("t", len(found), wait=0.0, timeout=TIMEOUT_S)
        found += result.records
        end = result.end
    await server.server.close()
    return found, server.pages_kb


def test_records_are_read_in_pages_of_a_bounded_length():
    """A read of a megabyte that a small link cut off began again from its first."""

    async def main():
        records = [Record(f"k{i}", b"v" * 20_000) for i in range(50)]
        found, pages_kb = await read_pages(records)
        assert found == records
        assert pages_kb == [128] * 9

    run_on_paused_clock(main())


def test_a_record_that_is_longer_than_a_page_is_read():
    async def main():
        records = [Record("a", b"v"), Record("b", b"v" * 200_000), Record("c", b"v")]
        found, pages_kb = await read_pages(records)
        assert found == records
        assert pages_kb == [128, 128, 1024]

    run_on_paused_clock(main())
