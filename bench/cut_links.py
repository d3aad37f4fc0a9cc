"""Links between processes on loopback that can be cut, one pair of ends at a time.

Every daemon reaches the store, the executors and each other daemon at an address of its
own, so a cut needs no rights and no change of the product. An `AddressBook` replaces
the addresses in what a daemon reads and writes by those of its own view.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["AddressBook", "Cuts", "Forwarder"]

CHUNK_BYTES = 1 << 16


@dataclass(slots=True)
class Cuts:
    """The links that are cut now, in both directions.

    Attributes
    ----------
    is_off : bool
        Whether nothing is cut, as a comparison.
    """

    is_off: bool = False
    _links: set[frozenset[str]] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two ends."""
        return frozenset((one, other)) in self._links

    def cut(self, ends: Iterable[str], others: Iterable[str]) -> None:
        """Cut every link between one of ``ends`` and one of ``others``."""
        if self.is_off:
            return
        others = list(others)
        self._links |= {frozenset((a, b)) for a in ends for b in others if a != b}

    def heal(self, ends: Iterable[str], others: Iterable[str]) -> None:
        """Restore every link between one of ``ends`` and one of ``others``."""
        others = list(others)
        self._links -= {frozenset((a, b)) for a in ends for b in others}
        self._wake()

    def heal_all(self) -> None:
        """Restore every link."""
        self._links.clear()
        self._wake()

    async def wait_open(self, one: str, other: str) -> None:
        """Wait until the link between two ends is not cut."""
        while self.is_cut(one, other):
            await self._changed.wait()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@dataclass(slots=True)
class AddressBook:
    """The addresses of daemons and executors, and those at which others reach them.

    All addresses have the same length, so they can be replaced within any message.
    """

    _common: dict[str, bytes] = field(default_factory=dict)
    _views: dict[tuple[str, str], bytes] = field(default_factory=dict)

    def add(self, name: str, address: str) -> None:
        """Add the address that a process or executor has given as its own."""
        self._common[name] = address.encode()
        lengths = {len(each) for each in self._common.values()}
        if len(lengths) > 1:
            raise ValueError(f"addresses differ in length: {self._common}")

    def add_view(self, reader: str, name: str, address: str) -> None:
        """Add the address at which ``reader`` is to reach ``name``."""
        if len(address) != len(self._common[name]):
            raise ValueError(f"address differs in length: {address}")
        self._views[reader, name] = address.encode()

    def translate(self, data: bytes, source: str, reader: str) -> bytes:
        """Return data with the addresses of one view replaced by those of another.

        Parameters
        ----------
        source, reader : str
            The daemon whose view it is in, and the one whose view is wanted; empty for
            the addresses as their bearers have given them.
        """
        for name, address in self._common.items():
            old = self._views.get((source, name), address)
            if old in data:
                data = data.replace(old, self._views.get((reader, name), address))
        return data


class Forwarder:
    """A TCP forwarder from one daemon to another; a cut holds back all that passes.

    What is held back, the end of a connection included, passes when the link is
    restored, as with TCP.
    """

    def __init__(
        self, dialler: str, target: str, address: str, cuts: Cuts, book: AddressBook
    ) -> None:
        self.dialler, self.target, self.address = dialler, target, address
        self.own_ports: set[int] = set()
        self._cuts, self._book = cuts, book
        self._server: asyncio.Server | None = None
        self._listening = ("", 0)
        self._full_queue: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self._listening = host, bound_port = self._server.sockets[0].getsockname()
        return f"{host}:{bound_port}"

    def silence(self) -> None:
        """Leave new connections without an answer, as a machine without power does."""
        self._refuse()
        listener, *callers = (socket.socket() for _ in range(3))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._listening)
        # Once one caller waits in this queue, the kernel answers no other one.
        listener.listen(0)
        for caller in callers:
            caller.setblocking(False)
            caller.connect_ex(self._listening)
        self._full_queue = [listener, *callers]

    async def resume(self) -> None:
        """Accept connections again at the same address."""
        self._refuse()
        await self.listen(*self._listening)

    def _refuse(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for sock in self._full_queue:
            sock.close()
        self._full_queue = []

    def close(self) -> None:
        """Refuse connections and reset those that there are."""
        self._refuse()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._cuts.wait_open(self.dialler, self.target)
            ip, _, port = self.address.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            self._writers.add(far_writer)
            self.own_ports.add(far_writer.get_extra_info("sockname")[1])
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._pump(reader, far_writer, self.dialler, self.target)
                    )
                    group.create_task(
                        self._pump(far_reader, writer, self.target, self.dialler)
                    )
            finally:
                self._drop(far_writer)
        except OSError:
            pass
        finally:
            self._drop(writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
    ) -> None:
        """Pass on what one end sends until it ends; then end the other one."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._cuts.wait_open(source, target)
                writer.write(self._book.translate(data, source, target))
                await writer.drain()
        await self._cuts.wait_open(source, target)
        writer.close()

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.transport.abort()
