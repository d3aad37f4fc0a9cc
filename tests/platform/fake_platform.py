"""Fake of the platform for tests: its store, hosts and advisor over HTTP."""

import base64
import struct
from urllib.parse import unquote

import msgspec
from siskinroad_platform.store import decode_records, encode_records
from siskinroad_platform.wire import task_from_name, task_name

from siskinroad.httpd import HttpRequest, HttpResponse, HttpServer
from siskinroad.resources import Resources
from siskinroad.work.hosts import HostCommand, Rejection, StartCommand
from siskinroad.work.hosts_memory import MemoryHost, MemoryHosts
from siskinroad.work.model import HostEntry
from siskinroad.work.store import Fence, FencedError, OffsetMismatchError, TrimmedError
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

REASON_BY_REJECTION = {
    Rejection.FENCED: "fence",
    Rejection.STALE_RUN: "old",
    Rejection.LEASE_EXPIRED: "late",
    Rejection.NO_CAPACITY: "room",
    Rejection.TICKET: "ticket",
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/pule252/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 400,
            "priority": 0,
            "service": "wuno96b",
            "max_attempts": 2,
            "slack_factor": 2.2,
            "advisor": {"decision_ms": 10.0, "per_worker_ms": 1.0, "valid_ms": 2000},
        }
    ],
    "services": [{"name": "wuno96b", "health_path": "/healthz"}],
    "limits": {"max_body_bytes": 262144},
}


def server_entry(address, state="ready", cpu=16000):
    return {
        "service": "wuno96b",
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "capacity": {"cpu": cpu, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "seq": 4,
    }


def reply(status, **fields):
    return HttpResponse(status, msgspec.json.encode(fields))


class FakePlatform:
    """HTTP server that acts as the store, the advisor and every host."""

    def __init__(self):
        self.logs = MemoryLogs()
        self.store = MemoryStore(self.logs)
        self.hosts = MemoryHosts()
        self.server = HttpServer(self.handle)
        self.requests = []
        # Statuses of the next replies; the requests take no effect.
        self.forced_statuses = []

    async def listen(self):
        address = await self.server.listen("127.0.0.1:0")
        await self.put("keyed.op", "config", msgspec.json.encode(CONFIG))
        return address

    async def put(self, topic, key, value):
        from siskinroad.work.store import Record

        self.logs.append(topic, [Record(key, value)], None, None)

    async def add_host(self, name, address, task_duration_s=0.3):
        capacity = Resources(16000, 32768, 0, 0)
        entry = HostEntry(
            name, "wuno96b", address, "z1", False, capacity, frozenset(), "r1-3"
        )
        self.hosts.add(MemoryHost(entry, task_duration_s=task_duration_s))
        value = msgspec.json.encode(server_entry(address))
        await self.put("keyed.servers", name, value)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        self.requests.append(req)
        if self.forced_statuses:
            return reply(self.forced_statuses.pop(0), reason="busy")
        match (req.method, req.path):
            case ("POST", "/log-append"):
                return await self.append(req)
            case ("GET", "/log-read"):
                return await self.read(req)
            case ("GET", "/log-newest"):
                return await self.newest(req)
            case ("POST", "/advise"):
                return self.advise(req)
            case ("POST", "/run-start" | "/run-stop" | "/pace" | "/hold"):
                return await self.command(req)
        return reply(404)

    async def append(self, req):
        query = req.query
        fence = None
        if "epoch" in query:
            fence = Fence(query["producer"], int(query["epoch"]), int(query["seq"]))
        at = int(query["at"]) if "at" in query else None
        records = list(decode_records(req.body))
        try:
            offset = await self.store.append(
                query["topic"], records, at=at, fence=fence
            )
        except OffsetMismatchError as exc:
            return reply(412, end_offset=exc.end)
        except FencedError:
            return reply(409, reason="fenced")
        return reply(200, offset=offset, end_offset=offset + len(records))

    async def read(self, req):
        query = req.query
        wait = int(query.get("wait_ms", "0")) / 1000
        try:
            result = await self.store.read(
                query["topic"], int(query["from"]), wait=wait
            )
        except TrimmedError as exc:
            return reply(410, start_offset=exc.first)
        offsets = struct.pack(">QQ", result.end, 0)
        return HttpResponse(200, offsets + encode_records(list(result.records)))

    async def newest(self, req):
        after = unquote(req.query.get("depends_on", ""))
        page = await self.store.newest(req.query["topic"], after)
        items = [
            {
                "key": item.key,
                "value": base64.b64encode(item.value).decode(),
                "offset": item.offset,
            }
            for item in page.items
        ]
        return reply(200, items=items, has_more=page.more, end_offset=page.end)

    def advise(self, req):
        body = msgspec.json.decode(req.body)
        rows = [[worker, f"t-{worker}"] for worker in body["workers"]]
        return reply(200, allowed=rows, valid_ms=2000)

    async def command(self, req):
        name = req.headers["expect-instance"]
        host = self.hosts.hosts.get(name)
        if host is None:
            return reply(421)
        body = msgspec.json.decode(req.body)
        if req.path == "/hold":
            return await self.renew_lease(name, body)
        task, run = task_from_name(body["task"]), body["attempt"]
        token = body["fencing_token"]
        rejection = None
        if req.path == "/run-start":
            command = StartCommand(
                name,
                "",
                token,
                task,
                run,
                body["spec"],
                body["deadline_ms"],
                body.get("checkpoint", ""),
                body.get("ticket", ""),
            )
            rejection = host.accept(command)
        elif req.path == "/run-stop":
            rejection = host.stop(HostCommand(name, "", token, task, run))
        if rejection is not None:
            return reply(
                409, clock_ms=host.clock(), reason=REASON_BY_REJECTION[rejection]
            )
        return reply(200, clock_ms=host.clock(), born=host.incarnation_ms)

    async def renew_lease(self, name, body):
        wait = body.get("wait_ms", 0) / 1000
        report = await self.hosts.renew_lease(
            name,
            "",
            body["fencing_token"],
            body["ack_cursor"],
            body.get("deadline_ms"),
            wait,
        )
        if report is Rejection.FENCED:
            return reply(409, clock_ms=0, reason="fence")
        running = [
            [task_name(r.task), r.run, r.checkpoint, r.progress, r.usage]
            for r in report.running
        ]
        finished = [
            [e.number, task_name(e.task), e.run, e.end_kind.value, e.checkpoint]
            for e in report.ended
        ]
        return reply(
            200,
            clock_ms=report.clock,
            born=report.incarnation_ms,
            running=running,
            finished=finished,
        )
