"""Stand-in of the platform's store: a log with keyed topics, over HTTP."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, unquote, urlsplit

from review.common.http1 import HttpStandIn

__all__ = ["Store"]

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# Seconds that each call takes, as the sheet of a small deployment says.
CALL_S = 0.004
PAGE_ITEMS = 500
# Largest record and largest sum of the records of one append, in bytes.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


class Topic:
    """One partition: its records, the newest offset of each key, its producers."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}


def split_records(data):
    """Return the raw records of a body."""
    records, position = [], 0
    while position < len(data):
        (length,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        records.append(data[position : position + length])
        position += length
    return records


class Store:
    """The store: it loses nothing that it has acknowledged."""

    def __init__(self):
        self.topics = {}
        self.rejected = 0
        self.changed = asyncio.Event()
        self.http = HttpStandIn(self.handle)

    def topic(self, name):
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def append(self, name, records):
        """Append raw records; return the offset of the first."""
        topic = self.topic(name)
        offset = len(topic.records)
        for record in records:
            if name.startswith("keyed."):
                key = record[1 : 1 + record[0]].decode()
                topic.newest[key] = len(topic.records)
                if len(record) == 1 + record[0]:
                    del topic.newest[key]
            topic.records.append(record)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def put(self, name, key, value):
        """Write one key of a keyed topic, as the operator or an executor does."""
        data = json.dumps(value).encode() if value is not None else b""
        self.append(name, [bytes((len(key),)) + key.encode() + data])

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        await asyncio.sleep(CALL_S)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        match method, parts.path:
            case "POST", "/log-append":
                return self._append(query, body)
            case "GET", "/log-read":
                return await self._read(query)
            case "GET", "/log-newest":
                return self._newest(query)
        return 404, {}

    def _append(self, query, body):
        topic = self.topic(query["topic"])
        records = split_records(body)
        sizes = [len(record) for record in records]
        if sum(sizes) > CALL_BYTES or max(sizes, default=0) > RECORD_BYTES:
            self.rejected += 1
            return 400, {}
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end_offset": end}
        if "epoch" not in query:
            offset = self.append(query["topic"], records)
            return 200, {"offset": offset, "end_offset": offset + len(records)}
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known, answers = topic.producers.get(query["producer"], (-1, {}))
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch > known:
            answers = {}
        elif seq in answers:
            return 200, answers[seq]
        elif answers and seq != max(answers) + 1:
            return 409, {"reason": "seq", "seq": max(answers) + 1}
        offset = self.append(query["topic"], records)
        answer = {"offset": offset, "end_offset": offset + len(records)}
        answers = dict(sorted({**answers, seq: answer}.items())[-5:])
        topic.producers[query["producer"]] = (epoch, answers)
        return 200, answer

    async def _read(self, query):
        topic, start = self.topic(query["topic"]), int(query["from"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while start >= len(topic.records) and loop.time() < until:
            changed = self.changed
            try:
                async with asyncio.timeout(until - loop.time()):
                    await changed.wait()
            except TimeoutError:
                break
        records = topic.records[start:]
        data = b"".join(LENGTH.pack(len(r)) + r for r in records)
        return 200, OFFSETS.pack(len(topic.records), 0) + data

    def _newest(self, query):
        topic = self.topic(query["topic"])
        after = unquote(query.get("depends_on", ""))
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:PAGE_ITEMS]:
            offset = topic.newest[key]
            record = topic.records[offset]
            value = base64.b64encode(record[1 + record[0] :]).decode()
            items.append({"key": key, "value": value, "offset": offset})
        more = len(keys) > PAGE_ITEMS
        end = len(topic.records)
        return 200, {"items": items, "has_more": more, "end_offset": end}
