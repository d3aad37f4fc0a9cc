"""One shard's owner with in-memory hosts, for tests of its monitors and tasks."""

import asyncio
import random

from bench.world import small_cell
from siskinroad.cell import parse_cell
from siskinroad.ledger import JobState
from siskinroad.owner import ShardOwner
from siskinroad.owner_context import OwnerPorts
from siskinroad.records import JobAccepted
from siskinroad.upstreams import TaskStart
from siskinroad.upstreams_memory import MemoryHost, MemoryUpstreamClient

SHARD = "booking/east-1/0"
JOB = "east-1.j"


class OwnedShard:
    """An owner of ``east`` hosts, e0 and so on; ``run_time_s`` applies to each task."""

    def __init__(
        self, client_class=MemoryUpstreamClient, run_time_s=60.0, east=2, **keys
    ):
        cell = parse_cell(small_cell(east=east, **keys))
        hosts = cell.shards("east-1")[SHARD]
        self.run_time_s = run_time_s
        self.hosts = {host.name: self._make_host(cell, host) for host in hosts}
        self.client = client_class(self.hosts)
        self.outcomes = []
        ports = OwnerPorts(
            self.client,
            lambda: True,
            lambda: True,
            lambda: True,
            lambda: asyncio.get_running_loop().time(),
            lambda: None,
            self.record_outcome,
            lambda name, label: None,
            lambda workload, seconds: None,
            random.Random(1),
        )
        self.owner = ShardOwner(SHARD, 1, cell, hosts, ports)

    def _make_host(self, cell, host):
        return MemoryHost(
            host.name,
            cell.pools[host.pool].capacity,
            random.Random(1),
            duration=lambda workload, rng: self.run_time_s,
            demand=lambda workload: cell.workloads[workload].demand,
        )

    def record_outcome(self, job, index, outcome):
        self.outcomes.append((job, index, outcome))
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(len(self.outcomes))
        return fut

    def starts(self, host=None):
        """Return the times and attempts of all starts, or of those on one host."""
        return sorted(
            (event.time, event.attempt)
            for name, memory_host in self.hosts.items()
            for event in memory_host.events
            if event.kind == "start" and host in (None, name)
        )


def make_job(count=1):
    return JobState(JobAccepted(JOB, "recount", "records", SHARD, count, b""))


def make_start(attempt, lease=20.0):
    task = attempt.partition("#")[0]
    return TaskStart(task, attempt, "recount", 1000, 1024, 0, b"", lease)


def block_loop(seconds):
    """Let time pass while the event loop handles nothing."""
    asyncio.get_running_loop()._clock_selector.now += seconds
