"""Daemons and stand-ins over loopback in one process, for demos and benches."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

from siskinroad.cell import Cell, Host, parse_cell
from siskinroad.listeners import Node
from siskinroad.platform_memory import MemoryLog
from siskinroad.settings import Peer, Settings
from siskinroad.stand_ins import PlatformServer, WorkerServer
from siskinroad.upstreams_memory import MemoryWorker

__all__ = ["Cluster", "free_addresses"]

Duration = Callable[[str, random.Random], float]


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that were free just now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
    for sock in socks:
        sock.close()
    return addresses


class Cluster:
    """A cell with its stand-ins and two daemons in each data centre.

    Parameters
    ----------
    text : str
        A cell file; the hosts' addresses are replaced by those of stand-ins.
    duration : callable
        Returns the seconds that a request or task of a workload takes.
    per_centre : int
        Daemons in each data centre.
    """

    def __init__(
        self, text: str, duration: Duration, seed: int, per_centre: int = 2
    ) -> None:
        self.cell: Cell = parse_cell(text)
        self.text = text
        self.seed = seed
        self.log = MemoryLog()
        self.platform = PlatformServer(self.log)
        self.workers: dict[str, MemoryWorker] = {}
        self.servers: list[WorkerServer] = []
        self.nodes: list[Node] = []
        self._duration = duration
        self._per_centre = per_centre

    async def open(self) -> None:
        """Start everything and put the cell in force."""
        platform = await self.platform.http.listen("127.0.0.1:0")
        for host in self.cell.hosts():
            await self._open_worker(host)
        peers = self._peers()
        addresses = iter(free_addresses(2 * len(peers)))
        for number, peer in enumerate(peers):
            others = tuple(x for x in peers if x is not peer)
            cfg = Settings(
                peer.name,
                peer.data_centre,
                peer.region,
                next(addresses),
                next(addresses),
                peer.address,
                platform,
                others,
            )
            rng = random.Random(self.seed + number)
            node = Node(cfg, 1, rng)
            await node.open()
            self.nodes.append(node)
        await self._publish()

    async def _open_worker(self, host: Host) -> None:
        capacity = self.cell.pools[host.pool].capacity
        rng = random.Random(f"{self.seed}{host.name}")
        worker = MemoryWorker(host.name, capacity, rng, duration=self._duration)
        server = WorkerServer(worker, host)
        address = await server.http.listen("127.0.0.1:0")
        self.text = self.text.replace(f'"{host.address}"', f'"{address}"')
        self.workers[host.name] = worker
        self.servers.append(server)

    def _peers(self) -> list[Peer]:
        names = [
            (f"{centre}{chr(97 + i)}", centre, region)
            for centre, region in sorted(self.cell.regions.items())
            for i in range(self._per_centre)
        ]
        addresses = free_addresses(len(names))
        return [
            Peer(name, address, centre, region)
            for (name, centre, region), address in zip(names, addresses, strict=True)
        ]

    async def _publish(self) -> None:
        await asyncio.sleep(1.0)
        await self.nodes[0].daemon.publisher.apply(self.text, None)

    async def owned(self, within: float = 15.0) -> bool:
        """Wait until every shard has an owner; return whether it has."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        wanted = {host.shard for host in self.cell.hosts()}
        while loop.time() < until:
            found: set[str] = set()
            for node in self.nodes:
                found |= {news.shard for news in node.daemon.shards.news()}
            if found == wanted:
                return True
            await asyncio.sleep(0.1)
        return False

    @property
    def callers(self) -> list[str]:
        """The callers' addresses of all daemons."""
        return [node.callers for node in self.nodes]

    async def close(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            await node.close()
        for server in self.servers:
            await server.http.close()
        await self.platform.http.close()
