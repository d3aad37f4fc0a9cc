"""A client's HTTP/1.1 connection, with h11 as the protocol parser.

It is a protocol of asyncio without streams: a response wakes its request once, when it
is complete.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable

import h11

from siskinroad.http_arrival import ResponseArrival

__all__ = ["ClientConnection", "ClientResponse"]

# Largest body of a response, so that a faulty peer cannot exhaust memory.
MAX_RESPONSE_BYTES = 64 << 20
# Status of a response whose body is what was requested.
HTTP_OK = 200
# Turns of the loop between a deadline and its error. A loop that was blocked finds the
# timer and the response due at once: in the first turn it polls the sockets and reads
# what has arrived, before the second one.
TURNS_AFTER_DEADLINE = 2
_END_OF_MESSAGE = h11.EndOfMessage()


class ClientResponse:
    """Response with its whole body."""

    __slots__ = ("_fields", "body", "status")

    def __init__(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.status = status
        self._fields = fields
        self.body = body

    @property
    def headers(self) -> dict[str, str]:
        """Header fields, with names in lower case."""
        return {k.decode("latin-1"): v.decode("latin-1") for k, v in self._fields}


class ClientConnection(asyncio.Protocol):
    """Connection to a peer that carries one request at a time.

    Parameters
    ----------
    generation : int
        Generation of the pool of connections at the opening.

    Attributes
    ----------
    idle_since : float
        Loop time in seconds at which the last response was complete.
    bytes_in : int
        Bytes received since the start of the last request.
    """

    __slots__ = (
        "_arrival",
        "_body",
        "_head",
        "_http",
        "_loop",
        "_poller",
        "_sent_at",
        "_timer",
        "_transport",
        "_waiter",
        "bytes_in",
        "generation",
        "idle_since",
    )

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.idle_since = 0.0
        self.bytes_in = 0
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.CLIENT)
        self._poller = select.poll()
        self._waiter: asyncio.Future[ClientResponse] | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._arrival: ResponseArrival | None = None
        self._sent_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def exchange(
        self, data: bytes, deadline: float, arrival: ResponseArrival | None = None
    ) -> ClientResponse:
        """Send an encoded request and return its whole response.

        Parameters
        ----------
        data : bytes
            Result of ``encode``.
        deadline : float
            Loop time in seconds after which the request is given up, unless its
            response has been received by then.
        arrival : ResponseArrival, optional
            Record of the response's progress, whose limits let an arriving response
            exceed the deadline.

        Raises
        ------
        TimeoutError
            If no whole response was received before the deadline.
        OSError, EOFError, h11.ProtocolError
            If the connection failed or was closed, or its data is not valid.
        """
        waiter: asyncio.Future[ClientResponse] = self._loop.create_future()
        self._start_timer(deadline, waiter)
        self._waiter = waiter
        self._arrival = arrival
        self._sent_at = self._loop.time()
        self._head = None
        self._body.clear()
        self.bytes_in = 0
        self._transport.write(data)
        try:
            return await waiter
        finally:
            if self._timer is not None:
                self._timer.cancel()
            self._waiter = None
            self._arrival = None

    def encode(self, head: h11.Request, body: bytes) -> bytes:
        """Return the bytes of a request; ``exchange`` sends them.

        Raises
        ------
        h11.LocalProtocolError
            If the request is not valid.
        """
        http = self._http
        data = http.send(head) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        return data + (http.send(_END_OF_MESSAGE) or b"")

    def reset(self) -> bool:
        """Prepare for the next request; return whether there may be one."""
        http = self._http
        is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
        has_unsent = self._transport.get_write_buffer_size() > 0
        if not is_done or has_unsent or http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has nothing to read.

        What it has to read, and the loop may not have read yet, is a close, an error or
        bytes that no request asked for.
        """
        return not self._transport.is_closing() and not self._poller.poll(0)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parse what is received; abort if no request waits for it."""
        if self._waiter is None:
            self.abort()
            return
        self.bytes_in += len(data)
        self._parse(data)

    def eof_received(self) -> None:
        """End the response, whether whole or not; the transport then closes."""
        if self._is_waiting():
            self._parse(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits for its response."""
        self._fail(exc or EOFError("connection closed before the end of the response"))

    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._is_waiting():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._handle(event)
        except h11.RemoteProtocolError as exc:
            is_closed = not data and self._head is None
            self._fail(_closed_before_response() if is_closed else exc)

    def _handle(self, event: object) -> None:
        match event:
            case h11.Response():
                self._head = event
            case h11.Data():
                self._body += event.data
                self._note_arrival()
                if len(self._body) > MAX_RESPONSE_BYTES:
                    self._fail(EOFError("response body too large"))
            case h11.EndOfMessage():
                self._finish()
            case h11.ConnectionClosed():
                self._fail(_closed_before_response())

    def _finish(self) -> None:
        head = self._head
        assert head is not None and self._waiter is not None
        response = ClientResponse(head.status_code, head.headers, bytes(self._body))
        self._waiter.set_result(response)

    def _note_arrival(self) -> None:
        """Record that bytes of a successful response have arrived.

        Those of an error do not show that the peer carries the request out.
        """
        if self._arrival is None or self._head is None:
            return
        if self._head.status_code == HTTP_OK:
            self._arrival.note_received(self._loop.time())

    def _start_timer(
        self, deadline: float, waiter: asyncio.Future[ClientResponse]
    ) -> None:
        self._timer = self._loop.call_at(
            deadline, self._expire, waiter, TURNS_AFTER_DEADLINE
        )

    def _expire(self, waiter: asyncio.Future[ClientResponse], turns: int) -> None:
        if waiter.done():
            return
        if turns > 0:
            self._loop.call_soon(self._expire, waiter, turns - 1)
            return
        if self._arrival is not None:
            deadline = self._arrival.find_deadline(self._sent_at)
            if deadline > self._loop.time():
                self._start_timer(deadline, waiter)
                return
        waiter.set_exception(TimeoutError())

    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _fail(self, exc: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(exc)


def _closed_before_response() -> EOFError:
    return EOFError("connection closed by the peer before a response")
