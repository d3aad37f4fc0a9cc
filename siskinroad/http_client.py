"""An HTTP/1.1 client on asyncio streams.

Its errors distinguish a request that was not sent from one whose outcome is unknown.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from dataclasses import dataclass, field

import h11

from siskinroad.errors import NotSentError, OutcomeUnknownError

__all__ = ["ClientResponse", "HttpPool"]

# Most bytes read from a connection at once.
READ_BYTES = 65536
# Largest body of a response, so that a faulty peer cannot exhaust memory.
MAX_RESPONSE_BYTES = 64 << 20
# Seconds after which an idle connection is not reused. It must be shorter than the
# server's idle timeout, or requests meet connections that the server is closing.
MAX_IDLE_TIME = 20.0
# Seconds to open a connection. A larger value delays the error for an unreachable peer;
# a smaller one gives false errors on slow links.
CONNECT_TIMEOUT = 1.0


@dataclass(slots=True, frozen=True)
class ClientResponse:
    """Response with its whole body; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class _Connection:
    """Connection to a peer, with the generation of its pool at the opening."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection
    idle_since: float = 0.0
    generation: int = 0

    def abort(self) -> None:
        self.writer.transport.abort()


@dataclass(slots=True)
class _PeerPool:
    """Connections to one peer; a time-out starts a new ``generation``."""

    idle: deque[_Connection] = field(default_factory=deque)
    generation: int = 0
    in_use: int = 0


class HttpPool:
    """HTTP client with a pool of idle connections to each peer.

    After a time-out, no connection to the same peer that was opened before it is
    reused: a middlebox on the path may have lost the state of all of them, while new
    connections work.

    Parameters
    ----------
    max_connections_per_peer : int
        Most connections in use to one peer; further requests are not sent.

    Attributes
    ----------
    timeouts : int
        Requests that timed out after their connection was open.
    opened : int
        Connections opened.
    bytes_out, bytes_in : int
        Bytes sent and received.
    """

    def __init__(self, max_connections_per_peer: int = 64) -> None:
        self.max_connections_per_peer = max_connections_per_peer
        self._peers: dict[str, _PeerPool] = {}
        self.timeouts = 0
        self.opened = 0
        self.bytes_out = 0
        self.bytes_in = 0

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 10.0,
        new_connection: bool = False,
        host: str = "",
    ) -> ClientResponse:
        """Send one request and return its whole response.

        Parameters
        ----------
        address : str
            IPv4 address and port of the peer.
        timeout : float
            Seconds for the whole exchange.
        new_connection : bool
            Whether to open a new connection instead of reusing one.
        host : str
            Value of the ``Host`` header; empty for the address.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        OutcomeUnknownError
            If the request may have been received.
        """
        is_sent = False
        conn: _Connection | None = None
        peer = self._peers.setdefault(address, _PeerPool())
        if peer.in_use >= self.max_connections_per_peer:
            raise NotSentError(
                "request not sent: too many connections in use",
                step="http",
                peer=address,
            )
        peer.in_use += 1
        try:
            async with asyncio.timeout(timeout):
                conn = await self._connect(address, new_connection)
                is_sent = True
                response = await self._exchange(
                    conn, host or address, method, target, body, headers
                )
        except TimeoutError:
            self._retire_connections(address, conn)
            if not is_sent:
                raise NotSentError(
                    "request not sent: connection not opened in time",
                    step="http",
                    peer=address,
                ) from None
            raise OutcomeUnknownError("no answer", step="http", peer=address) from None
        except (OSError, h11.ProtocolError, EOFError) as exc:
            self._abort(conn)
            if not is_sent:
                raise NotSentError(str(exc), step="http", peer=address) from exc
            raise OutcomeUnknownError(str(exc), step="http", peer=address) from exc
        except BaseException:
            self._abort(conn)
            raise
        finally:
            peer.in_use -= 1
        self._release(address, conn)
        return response

    def close(self) -> None:
        """Close every idle connection."""
        for peer in self._peers.values():
            while peer.idle:
                peer.idle.pop().abort()

    async def _connect(self, address: str, new_connection: bool) -> _Connection:
        peer = self._peers[address]
        now = asyncio.get_running_loop().time()
        while peer.idle and not new_connection:
            conn = peer.idle.pop()
            is_recent = now - conn.idle_since < MAX_IDLE_TIME
            if (
                conn.generation == peer.generation
                and is_recent
                and not _is_closed(conn)
            ):
                return conn
            conn.abort()
        ip, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(ip, int(port))
        self.opened += 1
        return _Connection(
            reader, writer, h11.Connection(h11.CLIENT), generation=peer.generation
        )

    async def _exchange(
        self,
        conn: _Connection,
        host: str,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> ClientResponse:
        fields = [("host", host), ("content-length", str(len(body))), *headers]
        head = h11.Request(method=method, target=target, headers=fields)
        data = conn.http.send(head) or b""
        data += conn.http.send(h11.Data(data=body)) or b""
        data += conn.http.send(h11.EndOfMessage()) or b""
        self.bytes_out += len(data)
        conn.writer.write(data)
        await conn.writer.drain()
        return await self._read_response(conn)

    async def _read_response(self, conn: _Connection) -> ClientResponse:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = conn.http.next_event()
            match event:
                case h11.Response():
                    head = event
                case h11.Data():
                    body += event.data
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise EOFError("response body too large")
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise EOFError("connection closed before the end of the response")
                case _ if event is h11.NEED_DATA:
                    data = await conn.reader.read(READ_BYTES)
                    if not data and head is None:
                        raise EOFError(
                            "connection closed by the peer before a response"
                        )
                    self.bytes_in += len(data)
                    conn.http.receive_data(data)
        assert head is not None
        header_fields = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers
        }
        return ClientResponse(head.status_code, header_fields, bytes(body))

    def _release(self, address: str, conn: _Connection) -> None:
        is_done = conn.http.our_state is h11.DONE and conn.http.their_state is h11.DONE
        if not is_done:
            conn.abort()
            return
        conn.http.start_next_cycle()
        conn.idle_since = asyncio.get_running_loop().time()
        self._peers[address].idle.append(conn)

    def _retire_connections(self, address: str, conn: _Connection | None) -> None:
        self._abort(conn)
        if conn is not None:
            self.timeouts += 1
            self._peers[address].generation += 1

    def _abort(self, conn: _Connection | None) -> None:
        if conn is not None:
            conn.abort()


def _is_closed(conn: _Connection) -> bool:
    return (
        conn.reader.at_eof()
        or conn.writer.is_closing()
        or _is_readable(conn.writer.get_extra_info("socket").fileno())
    )


def _is_readable(fd: int) -> bool:
    """Return whether a socket has bytes, a close or an error to read.

    The event loop may not have read them yet.
    """
    poller = select.poll()
    poller.register(fd, select.POLLIN)
    return bool(poller.poll(0))
