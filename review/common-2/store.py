"""Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from httpserver import Reply, Request, Server, json_reply

PAGE_ITEMS = 500
REMEMBERED_APPENDS = 5


@dataclass(slots=True)
class Topic:
    """One partition; a record is a key and a value."""

    first: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    answers: dict[str, list[tuple[int, int, int]]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Append one record."""
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


def _decode(data: bytes) -> list[tuple[str, bytes]]:
    records = []
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        body = data[position + 4 : position + 4 + length]
        position += 4 + length
        size = body[0]
        records.append((body[1 : 1 + size].decode(), body[1 + size :]))
    return records


def _encode(key: str, value: bytes) -> bytes:
    raw = key.encode()
    return struct.pack(">IB", 1 + len(raw) + len(value), len(raw)) + raw + value


class Store:
    """The store, with one listener for each of its clients.

    Attributes
    ----------
    delay_s : float
        Seconds that each answer takes.
    silent : set of str
        Names of the clients that get no answer and of which no call is carried out.
    choose_late_s : callable
        Returns after how many seconds an append without an answer is carried out, given
        its client and its body; None for one that is answered.
    """

    def __init__(self, delay_s: float = 0.004) -> None:
        self.topics: dict[str, Topic] = {}
        self.delay_s = delay_s
        self.silent: set[str] = set()
        self.choose_late_s: Callable[[str, bytes], float | None] = lambda c, b: None
        self.servers: dict[str, Server] = {}
        self._changed = asyncio.Event()
        self._called: dict[str, asyncio.Event] = {}

    async def wait_for_call(self, client: str) -> None:
        """Return once a client makes its next call."""
        event = self._called[client] = asyncio.Event()
        await event.wait()

    async def listen(self, client: str) -> str:
        """Listen for one client; return the address."""

        async def handle(req: Request) -> Reply | None:
            return await self._handle(client, req)

        self.servers[client] = Server(handle)
        return await self.servers[client].listen()

    def close(self) -> None:
        """Close all listeners."""
        for server in self.servers.values():
            server.close()

    def topic(self, name: str) -> Topic:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write one record as the operator or an executor; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, data)
        self._wake()

    def compact(self) -> None:
        """Drop the history; the newest record of each key is retained."""
        for topic in self.topics.values():
            end = topic.end
            topic.records.clear()
            topic.first = end

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, client: str, req: Request) -> Reply | None:
        if client in self._called:
            self._called.pop(client).set()
        await asyncio.sleep(self.delay_s)
        if client in self.silent:
            await asyncio.sleep(60.0)
            return None
        match req.method, req.path:
            case "POST", "/log-append":
                late_s = self.choose_late_s(client, req.body)
                if late_s is None:
                    return self._append(req)
                asyncio.get_running_loop().call_later(late_s, self._append, req)
                await asyncio.sleep(60.0)
                return None
            case "GET", "/log-read":
                return await self._read(client, req)
            case "GET", "/log-newest":
                return self._newest(req)
        return json_reply(404)

    def _append(self, req: Request) -> Reply:
        query = req.query
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return json_reply(412, end_offset=topic.end)
        producer = query.get("producer", "")
        if producer:
            refusal = self._check_producer(topic, producer, query)
            if refusal is not None:
                return refusal
        offset = topic.end
        for key, value in _decode(req.body):
            topic.append(key, value)
        if producer:
            answers = topic.answers.setdefault(producer, [])
            answers.append((int(query["seq"]), offset, topic.end))
            del answers[:-REMEMBERED_APPENDS]
        self._wake()
        return json_reply(200, offset=offset, end_offset=topic.end)

    @staticmethod
    def _check_producer(
        topic: Topic, producer: str, query: dict[str, str]
    ) -> Reply | None:
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known = topic.epochs.get(producer, -1)
        if epoch < known:
            return json_reply(409, reason="fenced")
        if epoch > known:
            topic.epochs[producer] = epoch
            topic.answers[producer] = []
        else:
            for former, offset, end in topic.answers[producer]:
                if former == seq:
                    return json_reply(200, offset=offset, end_offset=end)
            if seq != topic.sequences[producer] + 1:
                expected = topic.sequences[producer] + 1
                return json_reply(409, reason="seq", expected=expected)
        topic.sequences[producer] = seq
        return None

    async def _read(self, client: str, req: Request) -> Reply | None:
        query = req.query
        topic = self.topic(query["topic"])
        start = int(query["from"])
        limit = int(query.get("max_fetch_kb", "1024")) * 1024
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while start >= topic.end and loop.time() < deadline:
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        if client in self.silent:
            await asyncio.sleep(60.0)
            return None
        if start < topic.first:
            return json_reply(410, start_offset=topic.first)
        data = bytearray()
        for key, value in topic.records[start - topic.first :]:
            record = _encode(key, value)
            if len(data) + len(record) > limit:
                break
            data += record
        return Reply(200, struct.pack(">QQ", topic.end, topic.first) + bytes(data))

    def _newest(self, req: Request) -> Reply:
        topic = self.topic(req.query["topic"])
        after = req.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return json_reply(
            200, items=items, has_more=len(keys) > PAGE_ITEMS, end_offset=topic.end
        )
