"""Crowds of connections that exceed a daemon's limits, and what the daemon used."""

import asyncio
import contextlib
import os
import socket
import time
from pathlib import Path

__all__ = [
    "KIB",
    "MIB",
    "Crowd",
    "ask",
    "ask_until",
    "head",
    "open_sockets",
    "own_addresses",
    "peak_mb",
]

KIB = 1 << 10
MIB = 1 << 20
# Seconds without a byte sent or a connection ended after which a crowd has done all
# that it can, and the longest time that is waited for that.
QUIET_S = 2.0
LONGEST_S = 15.0
# Seconds that an ordinary request is given, with repeats; what is checked is that it is
# answered, not when.
ANSWER_LIMIT_S = 40.0


def head(method, path, *fields):
    """Return the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: ficu95.example",
        "content-type: application/json",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def own_addresses(count):
    """Return free addresses on a loopback host that nothing else on the machine uses.

    On 127.0.0.1 a stand-in or a client may get one of the ports before the daemon does.
    """
    pid = os.getpid()
    host = f"127.{1 + pid // 256 % 254}.{pid % 256}.9"
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((host, 0))
        return [f"{host}:{sock.getsockname()[1]}" for sock in sockets]


def peak_mb(pid):
    """Return the most memory that a process has had, in MB; fails if it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def open_sockets(pid):
    """Return the number of sockets and pipes of a process."""
    count = 0
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            count += os.readlink(path).startswith(("socket:", "pipe:"))
    return count


class Crowd:
    """Connections to a process that send and then hold on.

    Attributes
    ----------
    most_sockets : int
        Most sockets and pipes that the process had.
    answers : list of bytes
        The first bytes of each answer that was read.
    """

    def __init__(self, pid):
        self.pid = pid
        self.tasks = []
        self.answers = []
        self.most_sockets = 0
        self._last_progress = 0.0

    def add(self, address, pieces, reads=False):
        """Add a connection that sends ``pieces`` and then holds on."""
        self.tasks.append(asyncio.create_task(self._send(address, pieces, reads)))

    def _note_progress(self):
        self._last_progress = time.monotonic()

    async def _send(self, address, pieces, reads):
        ip, _, port = address.rpartition(":")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            self._note_progress()
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                self._note_progress()
            if reads:
                self.answers.append(await reader.read(4096))
                self._note_progress()
            await asyncio.sleep(3600)
        except OSError:
            self._note_progress()
        finally:
            if writer is not None:
                writer.transport.abort()

    async def wait_quiet(self):
        """Wait until the connections have sent all that they can."""
        self._note_progress()
        until = time.monotonic() + LONGEST_S
        while time.monotonic() < min(until, self._last_progress + QUIET_S):
            with contextlib.suppress(OSError):
                self.most_sockets = max(self.most_sockets, open_sockets(self.pid))
            await asyncio.sleep(0.1)

    async def end(self):
        """Reset the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def ask(address, data, timeout=10.0):
    """Send a request on a connection of its own; return the status, 0 if none."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(data)
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


async def ask_until(address, data, status=200):
    """Repeat a request until it has the status; return the last status."""
    until = time.monotonic() + ANSWER_LIMIT_S
    while True:
        last = await ask(address, data)
        if last == status or time.monotonic() > until:
            return last
        await asyncio.sleep(0.3)
