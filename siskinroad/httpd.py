"""An HTTP/1.1 server on asyncio streams."""

from __future__ import annotations

import asyncio
import socket

import h11

from siskinroad.http_server_connection import (
    BUFFER_BYTES,
    READ_BYTES,
    BodyLimit,
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    Phase,
    RefusalCounter,
    ServerConnection,
)
from siskinroad.receive_budget import ReceiveBudget

__all__ = [
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "serve_connection",
]

# Connections that wait to be accepted, and those accepted at once: the number open may
# exceed its limit by the latter until some are closed.
BACKLOG = 1024
ACCEPTED_AT_ONCE = 8
# Seconds that a new connection is given for its first byte before it counts as idle.
FIRST_BYTE_S = 1.0


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
    conn = ServerConnection(
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
    budget : ReceiveBudget
        Budget of the bytes of bodies, shared with other listeners.
    body_limit : callable
        Returns the largest body for a method and a path, where it is below that of
        ``limits``.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        count_refusal: RefusalCounter = lambda reason: None,
        budget: ReceiveBudget | None = None,
        body_limit: BodyLimit | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.count_refusal = count_refusal
        self.budget = budget or ReceiveBudget()
        self.body_limit = body_limit
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        self._is_draining = False

    async def listen(self, address: str) -> str:
        """Listen on ``address`` (port 0: any free port); return the bound address."""
        ip, _, port = address.rpartition(":")
        sock = socket.create_server((ip, int(port)), backlog=BACKLOG)
        self._server = await asyncio.start_server(
            self._accept, sock=sock, backlog=ACCEPTED_AT_ONCE, limit=BUFFER_BYTES
        )
        sock.listen(BACKLOG)  # asyncio has set the number that it accepts at once
        ip, bound_port = sock.getsockname()[:2]
        self.address = f"{ip}:{bound_port}"
        return self.address

    async def drain(self) -> None:
        """Stop accepting connections and wait for the requests in progress."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for task, conn in list(self._connections.items()):
            if conn.phase in (Phase.IDLE, Phase.RECEIVING):
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
        if not self._make_room():
            self.count_refusal("too_many_connections")
            writer.transport.abort()
            return
        transport = writer.transport
        transport.set_write_buffer_limits(BUFFER_BYTES)
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES  # bytes that asyncio reads at once
        conn = ServerConnection(
            reader,
            writer,
            self.handler,
            self.limits,
            self.count_refusal,
            lambda: self._is_draining,
            self.budget,
            self.body_limit,
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

    def _make_room(self) -> bool:
        """Close a connection if the limit is reached; return if there is room."""
        open_connections = [
            c for c in self._connections.values() if not c.has_given_way
        ]
        if len(open_connections) < self.limits.connections:
            return True
        candidates = [c for c in open_connections if c.phase is not Phase.BUSY]
        if not candidates:
            return False
        idle_before = asyncio.get_running_loop().time() - FIRST_BYTE_S
        min(candidates, key=lambda conn: conn.closing_order(idle_before)).give_way()
        return True
