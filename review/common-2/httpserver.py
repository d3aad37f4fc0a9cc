"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass(slots=True)
class Request:
    """Request with its whole body; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(slots=True)
class Reply:
    """Reply to a request; ``data`` is sent as it is."""

    status: int
    data: bytes = b"{}"


# Handlers return None to break the connection off without an answer.
Handler = Callable[[Request], Awaitable[Reply | None]]


def json_reply(status: int, **fields: Any) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, json.dumps(fields).encode())


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body)


class Server:
    """HTTP server of one stand-in on one loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str = "127.0.0.1", port: int = 0) -> str:
        """Listen on a port, by default a free one; return the address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self.address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await _read_request(reader)
                if req is None:
                    return
                reply = await self.handler(req)
                if reply is None:
                    return
                head = (
                    f"HTTP/1.1 {reply.status} X\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.data)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.data)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()


class Connection:
    """Client's connection that stays open for several requests."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str) -> None:
        """Open the connection."""
        ip, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        host: str,
        body: Any = None,
        timeout: float = 3.0,
    ) -> tuple[int, Any]:
        """Make one call; return its status, 0 without an answer, and its body."""
        assert self._reader is not None and self._writer is not None
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(_encode_request(method, path, host, body, timeout))
                head = await self._reader.readuntil(b"\r\n\r\n")
                _, _, rest = head.lower().partition(b"content-length:")
                data = await self._reader.readexactly(int(rest.split(b"\r\n")[0]))
        except (OSError, EOFError, TimeoutError):
            return 0, None
        return int(head.split(b" ", 2)[1]), _decode_body(data)


def _encode_request(
    method: str, path: str, host: str, body: Any, timeout: float, extra: str = ""
) -> bytes:
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        f"Deadline-Ms: {int(timeout * 1000)}\r\n{extra}\r\n"
    )
    return head.encode() + data


def _decode_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


async def call(
    address: str,
    method: str,
    path: str,
    *,
    host: str = "",
    body: Any = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Make one call on a new connection; return its status and decoded body.

    The status is 0 if there was no answer.
    """
    ip, _, port = address.rpartition(":")
    data = _encode_request(
        method, path, host or address, body, timeout, "Connection: close\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(data)
            raw = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    head, _, rest = raw.partition(b"\r\n\r\n")
    if not head:
        return 0, None
    return int(head.split(b" ", 2)[1]), _decode_body(rest)
