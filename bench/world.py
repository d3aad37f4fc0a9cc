"""Several daemons in one process with an in-memory platform, network and hosts."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from siskinroad.cell import Cell, parse_cell
from siskinroad.entry import Daemon
from siskinroad.peers import MemoryNetwork
from siskinroad.platform import CELL_STREAM
from siskinroad.platform_memory import MemoryPlatform, MemoryPlatformState
from siskinroad.request_handler import Request
from siskinroad.settings import Peer, Settings
from siskinroad.upstreams import UpstreamResponse
from siskinroad.upstreams_memory import MemoryHost, MemoryUpstreamClient

CELL = """
name = "test"

[[owners]]
name = "desk"
weight = 3

[[owners]]
name = "records"

[[regions]]
name = "east"
data_centres = ["east-1"]

[[regions]]
name = "west"
data_centres = ["west-1"]
"""

SERVICES = """
[[services]]
name = "quote"
owner = "desk"
upstream = "booking"
urgency = "urgent"
idempotent = true
start_within_s = 30
timeout_s = 5

[[services]]
name = "dispatch"
owner = "desk"
upstream = "booking"
urgency = "urgent"
key_required = true
timeout_s = 5

[[batch]]
name = "recount"
owner = "records"
upstream = "booking"
urgency = "background"
run_time_s = 3
checkpoint = true

[[gangs]]
name = "render"
owner = "records"
upstream = "booking"
size = 4
run_time_s = 5
"""


def pool(name: str, hosts: list[tuple[str, str, str]], **keys: object) -> str:
    """Return the TOML table of an upstream; hosts are (name, rack, data centre)."""
    values = {"cpu": 32, "memory_gib": 128, "fencing": False, **keys}
    lines = ["[[upstreams]]", f'name = "{name}"']
    lines += [f"{k} = {str(v).lower()}" for k, v in values.items()]
    for i, (host, rack, centre) in enumerate(hosts):
        lines += ["[[upstreams.hosts]]", f'name = "{host}"']
        lines += [f'address = "127.0.0.1:{7000 + i}"', f'rack = "{rack}"']
        lines += [f'data_centre = "{centre}"']
    return "\n".join(lines) + "\n"


def small_cell(east: int = 3, west: int = 2, **keys: object) -> str:
    """Return the text of a cell with hosts in ``east-1`` and ``west-1``."""
    hosts = [(f"e{i}", f"r{i // 2}", "east-1") for i in range(east)]
    hosts += [(f"w{i}", f"r{i // 2}", "west-1") for i in range(west)]
    return CELL + pool("booking", hosts, **keys) + SERVICES


@dataclass
class World:
    """Daemons with the platform, the network and the hosts around them.

    The name of a daemon is its data centre and one letter, such as ``east-1a``.
    ``run_time_s`` is the mean run time by workload; ``blocked_calls`` holds the pairs
    of daemon and host that cannot reach each other.
    """

    text: str
    names: list[str]
    seed: int = 1
    settings: dict[str, object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.cell: Cell = parse_cell(self.text)
        self.log = MemoryPlatformState()
        self.network = MemoryNetwork(random.Random(self.seed + 1))
        sequence = itertools.count()
        self.memory_hosts = {
            host.name: MemoryHost(
                host.name,
                self.cell.pools[host.pool].capacity,
                random.Random(f"{self.seed}{host.name}"),
                fencing=self.cell.pools[host.pool].fencing,
                duration=self.duration,
                demand=self.demand,
                sequence=sequence,
            )
            for host in self.cell.hosts()
        }
        self.blocked_calls: set[tuple[str, str]] = set()
        self.daemons: dict[str, Daemon] = {}
        self.incarnation = 0
        self.run_time_s = {"quote": 0.1, "dispatch": 0.1, "recount": 3.0, "render": 5.0}

    def duration(self, workload: str, rng: random.Random) -> float:
        return self.run_time_s.get(workload, 1.0) * rng.uniform(0.8, 1.2)

    def demand(self, workload: str):
        return self.cell.workloads[workload].demand

    def create_settings(self, name: str) -> Settings:
        peers = tuple(
            Peer(x, "127.0.0.1:1", x[:-1], x.partition("-")[0])
            for x in self.names
            if x != name
        )
        region = name.partition("-")[0]
        return Settings(name, name[:-1], region, peers=peers, **self.settings)

    def start(self, name: str) -> Daemon:
        """Start a daemon, or restart it under the same name as a new incarnation."""
        self.incarnation += 1
        daemon = Daemon(
            self.create_settings(name),
            self.incarnation,
            MemoryPlatform(self.log, name),
            MemoryUpstreamClient(self.memory_hosts, name, self.blocked_calls),
            self.network.join(name),
            random.Random(f"{self.seed}{name}{self.incarnation}"),
        )
        self.daemons[name] = daemon
        daemon.start()
        return daemon

    async def kill(self, name: str) -> None:
        """Stop a daemon without draining it, as a crash would."""
        await self.daemons.pop(name).close()

    async def start_all(self) -> None:
        for name in self.names:
            self.start(name)

    async def apply_configuration(self, text: str | None = None) -> None:
        """Apply a cell file through one daemon, by default ``self.text``."""
        daemon = next(iter(self.daemons.values()))
        await daemon.publisher.apply(text or self.text, None)

    async def settle(self, seconds: float = 6.0) -> None:
        await asyncio.sleep(seconds)

    async def start_and_configure(self) -> None:
        """Start all daemons, apply the cell file and wait 6 s for shard owners."""
        await self.start_all()
        await asyncio.sleep(1.0)
        await self.apply_configuration()
        await self.settle()

    def owners(self) -> dict[str, list[str]]:
        """Return the names of the daemons that may place work, by shard."""
        found: dict[str, list[str]] = {}
        for name, daemon in self.daemons.items():
            for shard in daemon.shards.owners:
                found.setdefault(shard, []).append(name)
        return found

    async def send_request(
        self, name: str, service: str, body: bytes = b"x", key: str = "", limit=20.0
    ) -> UpstreamResponse:
        """Send a request to a daemon; ``limit`` is its time limit in seconds."""
        daemon = self.daemons[name]
        cell = daemon.cell()
        now = asyncio.get_running_loop().time()
        workload = cell.workloads[service]
        req = Request(workload, f"/{service}", body, key, now + limit)
        return await daemon.request_handler.serve(req, cell)

    @property
    def events(self):
        return sorted(
            (
                event
                for memory_host in self.memory_hosts.values()
                for event in memory_host.events
            ),
            key=lambda event: event.number,
        )


__all__ = ["CELL_STREAM", "World", "pool", "small_cell"]
