"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import json

__all__ = ["HttpStandIn", "request"]

REASONS = {200: "OK"}


async def _read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpStandIn:
    """A server whose connections can be reset at any time, as by a crash.

    Parameters
    ----------
    handle : callable
        Coroutine that gets the method, the target, the headers and the body, and
        returns the status and the body of the response; bytes, or data for JSON.
        It returns None where the request gets no answer.
    """

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, ip, port=0):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, ip, port)
        host, bound_port = self.server.sockets[0].getsockname()
        return f"{host}:{bound_port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ")
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                reason = REASONS.get(status, "Status")
                head = f"HTTP/1.1 {status} {reason}\r\ncontent-length: {len(data)}"
                writer.write(head.encode() + b"\r\n\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Reset every connection and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def request(address, method, target, headers=None, body=b"", timeout=3.0):
    """Send one request on a connection of its own; return status and body.

    Returns None if there is no whole answer within ``timeout`` seconds.
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {target} HTTP/1.1", f"content-length: {len(body)}"]
            headers = headers or {"host": address}
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, _, data = await _read_message(reader)
            return int(line.split(" ")[1]), data
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.transport.abort()
