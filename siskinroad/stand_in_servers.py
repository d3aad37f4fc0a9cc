"""HTTP servers for the in-memory platform and hosts, for tests and demos."""

from __future__ import annotations

import msgspec

from siskinroad.cell import Host
from siskinroad.errors import (
    LogTrimmedError,
    PlatformError,
    SiskinroadError,
    StaleEpochError,
)
from siskinroad.httpd import HttpRequest, HttpResponse, HttpServer
from siskinroad.platform_memory import MemoryPlatform, MemoryPlatformState
from siskinroad.upstreams import Control, TaskStart
from siskinroad.upstreams_http import ATTEMPT_HEADER, EPOCH_HEADER, InventoryQuery
from siskinroad.upstreams_memory import MemoryHost, MemoryUpstreamClient

__all__ = ["HostServer", "PlatformServer"]

# Time limit of a forwarded request; long enough that the caller's own time limit ends
# the request first.
REQUEST_TIMEOUT_S = 3600.0


class PlatformServer:
    """HTTP server for the platform of a ``MemoryPlatformState``."""

    def __init__(self, log: MemoryPlatformState) -> None:
        self.log = log
        self.platform = MemoryPlatform(log)
        self.http = HttpServer(self.handle)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one HTTP request."""
        try:
            return await self._route(req)
        except LogTrimmedError as exc:
            return HttpResponse(410, msgspec.json.encode({"first": exc.first_offset}))
        except PlatformError as exc:
            return HttpResponse(503, str(exc).encode(), "text/plain")

    async def _route(self, req: HttpRequest) -> HttpResponse:
        kind, _, name = req.path.removeprefix("/").partition("/")
        match (req.method, kind):
            case ("POST", "log"):
                offset = await self.platform.append(name, req.body)
                return HttpResponse(200, msgspec.json.encode({"offset": offset}))
            case ("GET", "log"):
                start = int(req.query.get("from", "1"))
                limit = int(req.query.get("limit", "100"))
                page = await self.platform.read(name, start, limit)
                return HttpResponse(200, msgspec.json.encode(page))
            case ("GET", "hosts"):
                hosts = await self.platform.hosts(name, req.query.get("known", ""))
                return HttpResponse(200, msgspec.json.encode(hosts))
        return HttpResponse(404)


class HostServer:
    """HTTP server for one ``MemoryHost``."""

    def __init__(self, memory_host: MemoryHost, host: Host) -> None:
        self.memory_host = memory_host
        self.host = host
        self.client = MemoryUpstreamClient({host.name: memory_host}, delay=0.0)
        self.http = HttpServer(self.handle)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one HTTP request."""
        epoch = int(req.headers.get(EPOCH_HEADER, "0"))
        try:
            return await self._route(req, epoch)
        except StaleEpochError:
            header = ((EPOCH_HEADER, str(self.memory_host.epoch)),)
            return HttpResponse(412, headers=header)
        except SiskinroadError as exc:
            return HttpResponse(503, str(exc).encode(), "text/plain", close=True)

    async def _route(self, req: HttpRequest, epoch: int) -> HttpResponse:
        match (req.method, req.path):
            case ("POST", "/inventory"):
                query = msgspec.json.decode(req.body, type=InventoryQuery)
                found = await self.client.inventory(
                    self.host, epoch, query.acked, query.wait, query.renew
                )
                return HttpResponse(200, msgspec.json.encode(found))
            case ("PUT", "/tasks"):
                start = msgspec.json.decode(req.body, type=TaskStart)
                await self.client.start(self.host, epoch, start)
                return HttpResponse(200)
            case ("POST", path) if path.startswith("/control/"):
                action = Control(path.rpartition("/")[2])
                await self.client.control(self.host, epoch, req.body.decode(), action)
                return HttpResponse(200)
        return await self._forward_request(req, epoch)

    async def _forward_request(self, req: HttpRequest, epoch: int) -> HttpResponse:
        attempt = req.headers.get(ATTEMPT_HEADER, "")
        response = await self.client.request(
            self.host, attempt, epoch, req.path, req.body, REQUEST_TIMEOUT_S
        )
        header = ((ATTEMPT_HEADER, attempt),)
        return HttpResponse(
            response.status, response.body, response.content_type, header
        )
