"""An HTTP/1.1 server on asyncio streams, with h11 as the protocol parser."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

__all__ = [
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "serve_connection",
]

# Most bytes read from a connection at once.
READ_BYTES = 65536
SERVER_NAME = "siskinroad"
_END_OF_MESSAGE = h11.EndOfMessage()


@dataclass(slots=True, frozen=True)
class HttpLimits:
    """Limits of one listener; times in seconds, sizes in bytes.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header block and body of a request.
    request_timeout : float
        Time for the header block to arrive, and again for the body, so that a slow
        sender cannot hold a connection.
    idle_timeout : float
        Time for the first byte of a request to arrive before the connection is closed.
    write_timeout : float
        Time for a client to accept a response.
    connections : int
        Most open connections; further ones are aborted.
    """

    header_bytes: int = 16384
    body_bytes: int = 16 << 20
    request_timeout: float = 15.0
    idle_timeout: float = 75.0
    write_timeout: float = 30.0
    connections: int = 512


@dataclass(slots=True)
class HttpRequest:
    """Request with its whole body; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    gone: asyncio.Event | None = None


@dataclass(slots=True)
class HttpResponse:
    """Response with its whole body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    close: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
RefusalCounter = Callable[[str], None]


class _BadRequestError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def _split_target(target: str) -> tuple[str, dict[str, str]]:
    path, _, query = target.partition("?")
    pairs = (part.partition("=") for part in query.split("&") if part)
    return path, {key: value for key, _, value in pairs}


@dataclass(slots=True)
class _Connection:
    """Accepted connection, with the state of its HTTP exchange."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    handler: Handler
    limits: HttpLimits
    count_refusal: RefusalCounter
    is_draining: Callable[[], bool]
    http: h11.Connection = field(init=False)
    is_busy: bool = False

    def __post_init__(self) -> None:
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )

    async def run(self) -> None:
        """Serve requests in sequence until the connection ends."""
        while await self._serve_one():
            self.http.start_next_cycle()

    async def _serve_one(self) -> bool:
        try:
            req = await self._read_request()
        except _BadRequestError as exc:
            self.count_refusal(exc.reason)
            await self._send_error(exc)
            return False
        if req is None:
            return False
        self.is_busy = True
        response = await self.handler(req)
        await self._send(response)
        self.is_busy = False
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _read_request(self) -> HttpRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        body = bytearray()
        try:
            async with asyncio.timeout(self.limits.request_timeout):
                while True:
                    event = await self._next_event()
                    if isinstance(event, h11.EndOfMessage):
                        break
                    if not isinstance(event, h11.Data):
                        raise _BadRequestError(400, "truncated")
                    body += event.data
                    if len(body) > self.limits.body_bytes:
                        raise _BadRequestError(413, "body_too_large")
        except TimeoutError:
            raise _BadRequestError(408, "slow_body") from None
        path, query = _split_target(head.target.decode("latin-1"))
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
        method = head.method.decode("latin-1")
        return HttpRequest(method, path, query, headers, bytes(body))

    async def _read_head(self) -> h11.Request | None:
        try:
            async with asyncio.timeout(self.limits.idle_timeout):
                await self._await_first_byte()
        except TimeoutError:
            return None
        try:
            async with asyncio.timeout(self.limits.request_timeout):
                event = await self._next_event()
        except TimeoutError:
            raise _BadRequestError(408, "slow_headers") from None
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _BadRequestError(400, "garbage")
        return event

    async def _await_first_byte(self) -> None:
        data, closed = self.http.trailing_data
        if data or closed:
            return
        self._parse(await self.reader.read(READ_BYTES))

    def _parse(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
        except RuntimeError:
            raise _BadRequestError(400, "after_close") from None

    async def _next_event(self) -> object:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as exc:
                status = exc.error_status_hint
                reason = "headers_too_large" if status == 431 else "garbage"
                raise _BadRequestError(status, reason) from None
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.http.send(interim) or b"")
            self._parse(await self.reader.read(READ_BYTES))

    async def _send_error(self, exc: _BadRequestError) -> None:
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        text = f'{{"reason":"{exc.reason}","step":"http.receive","outcome":"not run"}}'
        await self._send(HttpResponse(exc.status, text.encode(), close=True))

    async def _send(self, response: HttpResponse) -> None:
        headers = [
            ("server", SERVER_NAME),
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if response.close or self.is_draining():
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self.http.send(head) or b""
        data += self.http.send(h11.Data(data=response.body)) or b""
        data += self.http.send(_END_OF_MESSAGE) or b""
        self.writer.write(data)
        async with asyncio.timeout(self.limits.write_timeout):
            await self.writer.drain()


async def serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
    limits: HttpLimits | None = None,
    count_refusal: RefusalCounter = lambda reason: None,
) -> None:
    """Serve one connection until it ends.

    Parameters
    ----------
    handler : callable
        Returns the response to each request.
    count_refusal : callable
        Called with the reason of each request refused before it reaches the handler.
    """
    conn = _Connection(
        reader, writer, handler, limits or HttpLimits(), count_refusal, lambda: False
    )
    await conn.run()


class HttpServer:
    """HTTP server with one listener.

    Parameters
    ----------
    handler : callable
        Returns the response to each request.
    limits : HttpLimits
        Limits on connections and messages.
    count_refusal : callable
        Called with the reason of each refused request and broken connection.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        count_refusal: RefusalCounter = lambda reason: None,
    ) -> None:
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.count_refusal = count_refusal
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._is_draining = False

    async def listen(self, address: str) -> str:
        """Listen on ``address`` (port 0: any free port); return the bound address."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, ip, int(port), backlog=1024
        )
        ip, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{bound_port}"
        return self.address

    async def drain(self) -> None:
        """Stop accepting connections and wait for the requests in progress."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for task, conn in list(self._connections.items()):
            if not conn.is_busy:
                task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    async def close(self) -> None:
        """Close the listener and all connections at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self.limits.connections:
            self.count_refusal("too_many_connections")
            writer.transport.abort()
            return
        conn = _Connection(
            reader,
            writer,
            self.handler,
            self.limits,
            self.count_refusal,
            lambda: self._is_draining,
        )
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = conn
        try:
            await conn.run()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            self.count_refusal("connection_lost")
        except h11.LocalProtocolError:
            self.count_refusal("protocol")
        finally:
            del self._connections[task]
            writer.close()
