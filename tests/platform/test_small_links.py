"""Followers of topics with long records over a small link to the store.

Real sockets on a paused clock: what the server sends takes turns on one link.
"""

import asyncio
import base64
import struct
from urllib.parse import parse_qs, urlsplit

import msgspec
from siskinroad_platform.store import PlatformStore, encode_records

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.http_client import HttpPool
from siskinroad.work.follower import Follower
from siskinroad.work.relay import RelayStore
from siskinroad.work.store import Record
from siskinroad.work.store_probe import StoreProbe

# Bytes a second of the link, and those that take one turn on it.
LINK_RATE = 200_000
TURN_BYTES = 4096
LONG_BYTES = 900_000


class SlowLinkStore:
    """Server of one topic, whose answers share a small link.

    Attributes
    ----------
    sent_bytes : int
        Bytes of all answers that the link has carried.
    """

    def __init__(self):
        self.records = []
        self.sent_bytes = 0
        self.requests = 0
        self._link = asyncio.Lock()
        self._appended = asyncio.Event()

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def append(self, value):
        self.records.append(Record(f"k{len(self.records)}", value))
        self._appended.set()
        self._appended = asyncio.Event()

    async def _serve(self, reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.requests += 1
            url = urlsplit(head.split(b" ")[1].decode())
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            is_read = url.path == "/log-read"
            body = await self._read(query) if is_read else self._list_newest()
            data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
            for i in range(0, len(data), TURN_BYTES):
                async with self._link:
                    if writer.is_closing():
                        return
                    part = data[i : i + TURN_BYTES]
                    await asyncio.sleep(len(part) / LINK_RATE)
                    self.sent_bytes += len(part)
                    writer.write(part)

    async def _read(self, query):
        start = int(query["from"])
        page_bytes = int(query.get("max_fetch_kb", "1024")) * 1024
        if start >= len(self.records):
            wait_s = int(query["wait_ms"]) / 1000
            try:
                await asyncio.wait_for(self._appended.wait(), wait_s)
            except TimeoutError:
                pass
        body = b""
        for record in self.records[start:]:
            more = encode_records([record])
            if len(body) + len(more) > page_bytes:
                break
            body += more
        return struct.pack(">QQ", len(self.records), 0) + body

    def _list_newest(self):
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": i,
            }
            for i, record in enumerate(self.records)
        ]
        return msgspec.json.encode({"items": items, "end_offset": len(items)})


class SlowPeers:
    """Peers whose relayed answers, which take the same link, come too late."""

    def __init__(self):
        self.asked = 0

    async def request(self, peer, make_request, reply_type, timeout):
        self.asked += 1
        await asyncio.sleep(timeout)
        raise OutcomeUnknownError("no reply", step="peers", peer=peer)


def test_long_records_reach_a_follower_over_a_small_link_once_each():
    """Each copy was given up before it was whole, and the next one begun."""

    async def main():
        server, peers, seen = SlowLinkStore(), SlowPeers(), []
        server.append(b"a" * LONG_BYTES)
        direct = PlatformStore(await server.open(), HttpPool())
        store = RelayStore(direct, peers, lambda: ["p", "q"])
        probe = StoreProbe(
            direct, "t", lambda: store.direct_answer_at, store.record_direct_answer
        )
        probes = asyncio.create_task(probe.run())
        follower = Follower(
            store, "t", lambda items, _: seen.extend(item.key for item in items)
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(8.0)
        assert seen == ["k0"]
        for _ in range(2):
            server.append(b"b" * LONG_BYTES)
        await asyncio.sleep(12.0)
        assert seen == ["k0", "k1", "k2"]
        assert server.sent_bytes < 1.1 * (4 / 3 + 2) * LONG_BYTES
        # What is asked of peers and by probes is little beside the records.
        assert peers.asked < 10
        task.cancel()
        probes.cancel()

    run_on_paused_clock(main())
