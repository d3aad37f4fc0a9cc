"""An HTTP/1.1 client with a pool of connections to each peer.

Its errors distinguish a request that was not sent from one whose outcome is unknown.
"""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from dataclasses import dataclass, field

import h11

from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.fair_timeout import FairTimeout
from siskinroad.http_arrival import ResponseArrival
from siskinroad.http_connection import ClientConnection, ClientResponse

__all__ = ["ClientResponse", "HttpPool"]

# Seconds after which an idle connection is not reused. It must be shorter than the
# server's idle timeout, or requests meet connections that the server is closing.
MAX_IDLE_TIME = 20.0
# Seconds to open a connection. A larger value delays the error for an unreachable peer;
# a smaller one gives false errors on slow links.
CONNECT_TIMEOUT = 1.0
# Highest port number of TCP.
MAX_PORT = 65535
# Heads of requests kept for reuse; a head repeats with the peer, the target and the
# length of the body.
MAX_REQUEST_HEADS = 1024


@dataclass(slots=True)
class _PeerPool:
    """Connections to one peer; a time-out starts a new ``generation``."""

    idle: deque[ClientConnection] = field(default_factory=deque)
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
        self._make_head = functools.lru_cache(MAX_REQUEST_HEADS)(_make_head)
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
        arrival: ResponseArrival | None = None,
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
        arrival : ResponseArrival, optional
            Record of the response's progress, whose limits let an arriving response
            exceed the timeout. Only for a request that has no effect.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        OutcomeUnknownError
            If the request may have been received.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        is_sent = False
        conn: ClientConnection | None = None
        peer = self._peers.setdefault(address, _PeerPool())
        if peer.in_use >= self.max_connections_per_peer:
            raise NotSentError(
                "request not sent: too many connections in use",
                step="http",
                peer=address,
            )
        peer.in_use += 1
        try:
            if not new_connection:
                conn = _take_idle(peer)
            if conn is None:
                conn = await self._open(address, peer, deadline)
            head = self._make_head(method, target, host or address, len(body), headers)
            data = conn.encode(head, body)
            is_sent = True
            self.bytes_out += len(data)
            response = await conn.exchange(data, deadline, arrival)
        except TimeoutError:
            self._retire_connections(peer, conn)
            if not is_sent:
                raise NotSentError(
                    "request not sent: connection not opened in time",
                    step="http",
                    peer=address,
                ) from None
            raise OutcomeUnknownError("no answer", step="http", peer=address) from None
        except (OSError, h11.ProtocolError, EOFError, ValueError) as exc:
            # A ValueError is of an address that is none.
            _abort(conn)
            if not is_sent:
                raise NotSentError(str(exc), step="http", peer=address) from exc
            raise OutcomeUnknownError(str(exc), step="http", peer=address) from exc
        except asyncio.CancelledError:
            # The caller's own time limit is over: the peer has not answered either.
            self._retire_connections(peer, conn)
            raise
        except BaseException:
            _abort(conn)
            raise
        finally:
            peer.in_use -= 1
            if is_sent and conn is not None:
                self.bytes_in += conn.bytes_in
        _release(peer, conn)
        return response

    def close(self) -> None:
        """Close every idle connection."""
        for peer in self._peers.values():
            while peer.idle:
                peer.idle.pop().abort()

    async def _open(
        self, address: str, peer: _PeerPool, deadline: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        ip, port = _split_address(address)
        generation = peer.generation
        limit_s = min(deadline - loop.time(), CONNECT_TIMEOUT)
        async with FairTimeout(limit_s):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(generation), ip, port
            )
        self.opened += 1
        return conn

    def _retire_connections(
        self, peer: _PeerPool, conn: ClientConnection | None
    ) -> None:
        _abort(conn)
        if conn is not None:
            self.timeouts += 1
            peer.generation += 1


def _split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If the address has no port number.
    """
    ip, _, port = address.rpartition(":")
    number = int(port)
    if not ip or not 0 < number <= MAX_PORT:
        raise ValueError(f"expected an address with a port, got {address!r}")
    return ip, number


def _make_head(
    method: str,
    target: str,
    host: str,
    body_bytes: int,
    headers: tuple[tuple[str, str], ...],
) -> h11.Request:
    fields = [("host", host), ("content-length", str(body_bytes)), *headers]
    return h11.Request(method=method, target=target, headers=fields)


def _take_idle(peer: _PeerPool) -> ClientConnection | None:
    now = asyncio.get_running_loop().time()
    while peer.idle:
        conn = peer.idle.pop()
        is_recent = now - conn.idle_since < MAX_IDLE_TIME
        if conn.generation == peer.generation and is_recent and conn.is_usable():
            return conn
        conn.abort()
    return None


def _release(peer: _PeerPool, conn: ClientConnection) -> None:
    if not conn.reset():
        conn.abort()
        return
    conn.idle_since = asyncio.get_running_loop().time()
    peer.idle.append(conn)


def _abort(conn: ClientConnection | None) -> None:
    if conn is not None:
        conn.abort()
