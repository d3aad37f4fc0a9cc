"""Processor time of one call to a host, one served request and one log line.

The other end of each connection is a process of its own, so that only the measured
side counts.
"""

from __future__ import annotations

import asyncio
import logging
import multiprocessing
import os
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection

from siskinroad_platform.hosts import PlatformHosts

from siskinroad.http_client import HttpPool
from siskinroad.httpd import HttpRequest, HttpResponse, HttpServer
from siskinroad.logs import BURST_LINES, BoundedHandler, _make_formatter
from siskinroad.work.hosts import StartCommand
from siskinroad.work.model import TaskId

CALLS = 1600
CONCURRENCY = 32
REPEATS = 30
TASK = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
START_REPLY = b'{"clock_ms":482113,"born":9}'
REPORT = (
    b'{"clock_ms":482113,"born":9,"running":['
    + b",".join([b'["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,120]'] * 5)
    + b'],"finished":['
    + b",".join([b'[58,"5c0e7a21d94b36f8.0.1.18",1,"done",""]'] * 2)
    + b"]}"
)


def _response(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nserver: host\r\ncontent-type: application/json\r\n"
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


class _HostProtocol(asyncio.Protocol):
    """Host that answers each segment received with a canned response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        body = REPORT if data.startswith(b"POST /hold") else START_REPLY
        self.transport.write(_response(body))  # type: ignore[attr-defined]


def _serve_as_host(pipe: Connection) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_HostProtocol, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())


def _call_as_caller(address: str, count: int) -> None:
    body = b'{"spec":"text","phases":[{"count":4,"cpu":500}]}'
    head = b"POST /pule252/5c0e7a21d94b36f8 HTTP/1.1\r\nhost: ficu95.example\r\n"
    head += b"content-type: application/json\r\ndeadline-ms: 3000\r\n"
    data = head + b"content-length: %d\r\n\r\n" % len(body) + body

    async def call() -> None:
        ip, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        for _ in range(count // CONCURRENCY):
            writer.write(data)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(2)
        writer.close()

    async def main() -> None:
        await asyncio.gather(*(call() for _ in range(CONCURRENCY)))

    asyncio.run(main())


async def _cpu_per_call(call: Callable[[], Awaitable[object]]) -> float:
    """Return microseconds of processor time per call, the least of the repeats."""

    async def work() -> None:
        for _ in range(CALLS // CONCURRENCY):
            await call()

    results = []
    for _ in range(REPEATS):
        started_at = time.process_time()
        await asyncio.gather(*(work() for _ in range(CONCURRENCY)))
        results.append((time.process_time() - started_at) / CALLS * 1e6)
    return min(results)


async def _measure_client(address: str) -> None:
    pool = HttpPool()
    hosts = PlatformHosts(pool)
    command = StartCommand(
        "i-0a1b2c", address, 123 << 20, TASK, 2, "x" * 200, 480000, "", "t" * 40
    )

    async def renew() -> None:
        await hosts.renew_lease("i-0a1b2c", address, 123 << 20, 57, 480000, 0.2)

    print(f"start {await _cpu_per_call(lambda: hosts.start(command)):.1f} us")
    print(f"renewal {await _cpu_per_call(renew):.1f} us")
    assert pool.opened <= CONCURRENCY
    pool.close()


async def _measure_server() -> None:
    async def handle(req: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b"{}")

    server = HttpServer(handle)
    address = await server.listen("127.0.0.1:0")
    results = []
    for _ in range(REPEATS):
        caller = multiprocessing.get_context("spawn").Process(
            target=_call_as_caller, args=(address, CALLS)
        )
        caller.start()
        started_at = time.process_time()
        await asyncio.to_thread(caller.join)
        results.append((time.process_time() - started_at) / CALLS * 1e6)
    print(f"served request {min(results):.1f} us")
    await server.close()


def _measure_logs() -> None:
    fd = os.open(os.devnull, os.O_WRONLY)
    handler = BoundedHandler(fd)
    handler.setFormatter(_make_formatter("d"))
    logger = logging.getLogger("siskinroad.bench")
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    fields = {
        "request": TASK.job,
        "task": "0.1.17",
        "run": 2,
        "host": "i-0a1b2c",
        "token": 123 << 20,
        "list_age_s": 0.12,
        "took_s": 0.034,
        "outcome": "started",
    }
    for name, count in (("written", 1000), ("dropped", 4000)):
        results = []
        for _ in range(REPEATS):
            handler._tokens = BURST_LINES if name == "written" else -1e9
            started_at = time.process_time()
            for _ in range(count):
                logger.info("host_commands: start command finished", extra=fields)
            results.append((time.process_time() - started_at) / count * 1e6)
        print(f"log line {name} {min(results):.1f} us")
    os.close(fd)


def main() -> None:
    """Print each measured processor time."""
    ours, theirs = multiprocessing.Pipe()
    host = multiprocessing.get_context("spawn").Process(
        target=_serve_as_host, args=(theirs,), daemon=True
    )
    host.start()
    address = f"127.0.0.1:{ours.recv()}"
    asyncio.run(_measure_client(address))
    host.terminate()
    asyncio.run(_measure_server())
    _measure_logs()


if __name__ == "__main__":
    main()
