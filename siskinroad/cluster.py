"""Cluster of daemons, platform and hosts in one process, for demos and benchmarks."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

from siskinroad.cell import Cell, Host, parse_cell
from siskinroad.listeners import Node
from siskinroad.platform_memory import MemoryPlatformState
from siskinroad.settings import Peer, Settings
from siskinroad.stand_in_servers import HostServer, PlatformServer
from siskinroad.upstreams_memory import MemoryHost

__all__ = ["Cluster", "free_addresses"]

DurationSampler = Callable[[str, random.Random], float]


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports were free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Cluster:
    """Daemons of a cell with an in-memory platform and in-memory upstream hosts.

    All of them communicate over loopback connections.

    Parameters
    ----------
    text : str
        Text of a cell file; the hosts' addresses are replaced by loopback ones.
    duration : callable
        Returns the seconds that a request or task of a workload takes.
    seed : int
        Seed of all random generators.
    daemons_per_data_centre : int
        Number of daemons in each data centre.
    """

    def __init__(
        self,
        text: str,
        duration: DurationSampler,
        seed: int,
        daemons_per_data_centre: int = 2,
    ) -> None:
        self.cell: Cell = parse_cell(text)
        self.text = text
        self.seed = seed
        self.log = MemoryPlatformState()
        self.platform = PlatformServer(self.log)
        self.memory_hosts: dict[str, MemoryHost] = {}
        self.host_servers: list[HostServer] = []
        self.nodes: list[Node] = []
        self._duration = duration
        self._daemons_per_data_centre = daemons_per_data_centre

    async def open(self) -> None:
        """Start the platform, hosts and daemons, and apply the cell file."""
        platform = await self.platform.http.listen("127.0.0.1:0")
        for host in self.cell.hosts():
            await self._start_host(host)
        peers = self._make_peers()
        listener_addresses = iter(free_addresses(2 * len(peers)))
        for index, peer in enumerate(peers):
            others = tuple(other for other in peers if other is not peer)
            cfg = Settings(
                peer.name,
                peer.data_centre,
                peer.region,
                next(listener_addresses),
                next(listener_addresses),
                peer.address,
                platform,
                others,
            )
            rng = random.Random(self.seed + index)
            node = Node(cfg, 1, rng)
            await node.open()
            self.nodes.append(node)
        await self._apply_cell_file()

    async def _start_host(self, host: Host) -> None:
        capacity = self.cell.pools[host.pool].capacity
        rng = random.Random(f"{self.seed}{host.name}")
        memory_host = MemoryHost(host.name, capacity, rng, duration=self._duration)
        server = HostServer(memory_host, host)
        address = await server.http.listen("127.0.0.1:0")
        self.text = self.text.replace(f'"{host.address}"', f'"{address}"')
        self.memory_hosts[host.name] = memory_host
        self.host_servers.append(server)

    def _make_peers(self) -> list[Peer]:
        names = [
            (f"{data_centre}{chr(97 + i)}", data_centre, region)
            for data_centre, region in sorted(self.cell.regions.items())
            for i in range(self._daemons_per_data_centre)
        ]
        addresses = free_addresses(len(names))
        return [
            Peer(name, address, data_centre, region)
            for (name, data_centre, region), address in zip(
                names, addresses, strict=True
            )
        ]

    async def _apply_cell_file(self) -> None:
        await asyncio.sleep(1.0)
        await self.nodes[0].daemon.publisher.apply(self.text, None)

    async def wait_until_owned(self, within: float = 15.0) -> bool:
        """Wait up to ``within`` seconds until every shard has an owner.

        Returns
        -------
        bool
            Whether every shard has an owner.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within
        all_shards = {host.shard for host in self.cell.hosts()}
        while loop.time() < deadline:
            owned_shards: set[str] = set()
            for node in self.nodes:
                owned_shards |= {
                    update.shard for update in node.daemon.shards.shard_updates()
                }
            if owned_shards == all_shards:
                return True
            await asyncio.sleep(0.1)
        return False

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses at which the daemons accept callers."""
        return [node.callers for node in self.nodes]

    async def close(self) -> None:
        """Stop the daemons, hosts and platform."""
        for node in self.nodes:
            await node.close()
        for server in self.host_servers:
            await server.http.close()
        await self.platform.http.close()
