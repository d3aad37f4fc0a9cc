"""A connection of the HTTP/1.1 server, with h11 as the protocol parser."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import h11

from siskinroad.receive_budget import ReceiveBudget

__all__ = [
    "BUFFER_BYTES",
    "READ_BYTES",
    "BodyLimit",
    "Handler",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "Phase",
    "RefusalCounter",
    "ServerConnection",
]

# Most bytes read from a connection at once, and buffered before and after the parser; a
# larger value costs memory on each of the connections.
READ_BYTES = 16384
BUFFER_BYTES = 8192
# Seconds for which, and bytes up to which, the rest of a refused request is read and
# dropped: to close with unread bytes would reset the connection before the client has
# read the refusal.
DISCARD_S = 1.0
DISCARD_BYTES = 1 << 18
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
        Most open connections. For a further one, the one is closed that has been idle
        for longest, or else the one that has been receiving or sending for longest.
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
# Returns the largest body for a method and a path, at most that of the listener.
BodyLimit = Callable[[str, str], int]


class Phase(Enum):
    """Phase of a connection; a busy one's request has been passed on."""

    IDLE = "idle"
    RECEIVING = "receiving"
    BUSY = "busy"
    SENDING = "sending"


class _BadRequestError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def _split_target(target: str) -> tuple[str, dict[str, str]]:
    path, _, query = target.partition("?")
    pairs = (part.partition("=") for part in query.split("&") if part)
    return path, {key: value for key, _, value in pairs}


@dataclass(slots=True, eq=False)
class ServerConnection:
    """Accepted connection, with the state of its HTTP exchange."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    handler: Handler
    limits: HttpLimits
    count_refusal: RefusalCounter
    is_draining: Callable[[], bool]
    budget: ReceiveBudget = field(default_factory=ReceiveBudget)
    body_limit: BodyLimit | None = None
    http: h11.Connection = field(init=False)
    phase: Phase = Phase.IDLE
    since: float = 0.0
    body: bytearray = field(default_factory=bytearray)
    has_given_way: bool = False

    def __post_init__(self) -> None:
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )

    async def run(self) -> None:
        """Serve requests in sequence until the connection ends."""
        try:
            while await self._serve_one():
                self.http.start_next_cycle()
        finally:
            self._free_body()

    def give_way(self) -> None:
        """Close the connection without an answer, and free the bytes of its request.

        A refusal would say that the request has not run, but an earlier try of it may
        have been accepted.
        """
        self.has_given_way = True
        self._free_body()
        self.count_refusal("gave_way")
        self.writer.transport.abort()

    def _free_body(self) -> None:
        self.budget.release(self)
        self.body = bytearray()

    def closing_order(self, idle_before: float) -> tuple[bool, float]:
        """Return the key by which connections are closed for new ones, lowest first."""
        is_idle = self.phase is Phase.IDLE and self.since <= idle_before
        return not is_idle, self.since

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.since = asyncio.get_running_loop().time()

    async def _serve_one(self) -> bool:
        self._enter(Phase.IDLE)
        try:
            req = await self._read_request()
        except _BadRequestError as exc:
            if self.has_given_way:
                return False
            self._free_body()
            self.count_refusal(exc.reason)
            await self._send_error(exc)
            await self._discard_rest()
            return False
        if req is None or self.has_given_way:
            return False
        self._enter(Phase.BUSY)
        response = await self.handler(req)
        del req  # its body is not counted while the response waits for its client
        self._free_body()
        self._enter(Phase.SENDING)
        await self._send(response)
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _discard_rest(self) -> None:
        """Drop what the client still sends, within bounds."""
        count = 0
        try:
            async with asyncio.timeout(DISCARD_S):
                while count < DISCARD_BYTES and not self.reader.at_eof():
                    count += len(await self.reader.read(READ_BYTES))
        except TimeoutError:
            return

    async def _read_request(self) -> HttpRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        path, query = _split_target(head.target.decode("latin-1"))
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
        method = head.method.decode("latin-1")
        limit = self.limits.body_bytes
        if self.body_limit is not None:
            limit = min(limit, self.body_limit(method, path))
        if int(headers.get("content-length", "0")) > limit:
            raise _BadRequestError(413, "body_too_large")
        try:
            async with asyncio.timeout(self.limits.request_timeout):
                body = await self._read_body(limit)
        except TimeoutError:
            raise _BadRequestError(408, "slow_body") from None
        return HttpRequest(method, path, query, headers, body)

    async def _read_body(self, limit: int) -> bytes:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise _BadRequestError(400, "truncated")
            self.body += event.data
            if len(self.body) > limit:
                raise _BadRequestError(413, "body_too_large")
            if not self.budget.grow(self, len(self.body)):
                self.give_way()
                raise _BadRequestError(503, "gave_way")
        self.budget.complete(self)
        body = bytes(self.body)
        self.body = bytearray()
        return body

    async def _read_head(self) -> h11.Request | None:
        try:
            async with asyncio.timeout(self.limits.idle_timeout):
                await self._await_first_byte()
        except TimeoutError:
            return None
        self._enter(Phase.RECEIVING)
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
            # Many pipelined requests must not hold up the other connections.
            await asyncio.sleep(0)
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
