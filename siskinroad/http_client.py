"""An HTTP/1.1 client on asyncio streams that tells "not sent" from "unknown"."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

import h11

from siskinroad.errors import NotSentError, OutcomeUnknownError

__all__ = ["HttpAnswer", "HttpPool"]

READ_BYTES = 65536
MAX_ANSWER_BYTES = 64 << 20
MAX_IDLE_TIME = 20.0
CONNECT_TIME = 1.0


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class _Conn:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection
    idle_since: float = 0.0
    generation: int = 0

    def abort(self) -> None:
        self.writer.transport.abort()


@dataclass(slots=True)
class _Peer:
    idle: deque[_Conn] = field(default_factory=deque)
    generation: int = 0
    in_use: int = 0


class HttpPool:
    """Kept connections to many peers.

    A connection that goes silent condemns every connection to the same peer
    that was opened before it failed: what stands between the two ends may have
    lost track of them all, and new ones work.

    Parameters
    ----------
    connections : int
        Most connections in use to one peer.
    """

    def __init__(self, connections: int = 64) -> None:
        self.connections = connections
        self._peers: dict[str, _Peer] = {}
        self.silent = 0
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
        limit: float = 10.0,
        fresh: bool = False,
        host: str = "",
    ) -> HttpAnswer:
        """Send one request and return its whole answer.

        Parameters
        ----------
        address : str
            IPv4 address and port.
        limit : float
            Seconds for the whole exchange.
        fresh : bool
            Open a new connection instead of reusing one.
        host : str
            Value of the ``Host`` header; empty for the address.

        Raises
        ------
        NotSentError
            No byte of the request was given to the network.
        OutcomeUnknownError
            The request may have been received.
        """
        sent = False
        conn: _Conn | None = None
        peer = self._peers.setdefault(address, _Peer())
        if peer.in_use >= self.connections:
            raise NotSentError("too many connections", step="http", peer=address)
        peer.in_use += 1
        try:
            async with asyncio.timeout(limit):
                conn = await self._connect(address, fresh)
                sent = True
                answer = await self._exchange(
                    conn, host or address, method, target, body, headers
                )
        except TimeoutError:
            self._condemn(address, conn)
            if not sent:
                raise NotSentError("no connection", step="http", peer=address) from None
            raise OutcomeUnknownError("no answer", step="http", peer=address) from None
        except (OSError, h11.ProtocolError, EOFError) as exc:
            self._drop(conn)
            if not sent:
                raise NotSentError(str(exc), step="http", peer=address) from exc
            raise OutcomeUnknownError(str(exc), step="http", peer=address) from exc
        except BaseException:
            self._drop(conn)
            raise
        finally:
            peer.in_use -= 1
        self._keep(address, conn)
        return answer

    def close(self) -> None:
        """Close every kept connection."""
        for peer in self._peers.values():
            while peer.idle:
                peer.idle.pop().abort()

    async def _connect(self, address: str, fresh: bool) -> _Conn:
        peer = self._peers[address]
        now = asyncio.get_running_loop().time()
        while peer.idle and not fresh:
            conn = peer.idle.pop()
            young = now - conn.idle_since < MAX_IDLE_TIME
            if conn.generation == peer.generation and young and not _closed(conn):
                return conn
            conn.abort()
        ip, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIME):
            reader, writer = await asyncio.open_connection(ip, int(port))
        self.opened += 1
        return _Conn(
            reader, writer, h11.Connection(h11.CLIENT), generation=peer.generation
        )

    async def _exchange(
        self,
        conn: _Conn,
        host: str,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> HttpAnswer:
        fields = [("host", host), ("content-length", str(len(body))), *headers]
        head = h11.Request(method=method, target=target, headers=fields)
        data = conn.http.send(head) or b""
        data += conn.http.send(h11.Data(data=body)) or b""
        data += conn.http.send(h11.EndOfMessage()) or b""
        self.bytes_out += len(data)
        conn.writer.write(data)
        await conn.writer.drain()
        return await self._answer(conn)

    async def _answer(self, conn: _Conn) -> HttpAnswer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = conn.http.next_event()
            match event:
                case h11.Response():
                    head = event
                case h11.Data():
                    body += event.data
                    if len(body) > MAX_ANSWER_BYTES:
                        raise EOFError("answer too large")
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise EOFError("connection closed before the answer")
                case _ if event is h11.NEED_DATA:
                    data = await conn.reader.read(READ_BYTES)
                    self.bytes_in += len(data)
                    conn.http.receive_data(data)
        assert head is not None
        names = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
        return HttpAnswer(head.status_code, names, bytes(body))

    def _keep(self, address: str, conn: _Conn) -> None:
        done = conn.http.our_state is h11.DONE and conn.http.their_state is h11.DONE
        if not done:
            conn.abort()
            return
        conn.http.start_next_cycle()
        conn.idle_since = asyncio.get_running_loop().time()
        self._peers[address].idle.append(conn)

    def _condemn(self, address: str, conn: _Conn | None) -> None:
        self._drop(conn)
        if conn is not None:
            self.silent += 1
            self._peers[address].generation += 1

    def _drop(self, conn: _Conn | None) -> None:
        if conn is not None:
            conn.abort()


def _closed(conn: _Conn) -> bool:
    return conn.reader.at_eof() or conn.writer.is_closing()
