"""Test cell: several daemons in one process, on a paused clock and in-memory fakes."""

import asyncio
import random
from dataclasses import replace

import msgspec

from siskinroad.errors import ProtocolError
from siskinroad.peers import MemoryNetwork
from siskinroad.resources import Resources
from siskinroad.work import messages
from siskinroad.work.daemon import WorkDaemon
from siskinroad.work.hosts_memory import MemoryAdvisor, MemoryHost, MemoryHosts
from siskinroad.work.model import (
    Advice,
    Configuration,
    HostEntry,
    JobSpec,
    Queue,
    Step,
    Timing,
)
from siskinroad.work.platform_clients import Decoder, PlatformClients
from siskinroad.work.records import MEMBERS_TOPIC, Member
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

CODEC = messages.CODEC
POOL = "desk"
HOST_CAPACITY = Resources(32000, 64000, 8, 0)
FAST = Queue("fast", "h", "/fast/", POOL, 0, 3, 1.5, 0.4, 3.0, None)
SLOW = Queue("slow", "h", "/slow/", POOL, 2, 3, 4.0, 3.0, 3.0, None)
ADVISED = Queue(
    "advised", "h", "/advised/", POOL, 1, 3, 2.0, 1.2, 3.0, Advice(0.1, 0.01, 2.0)
)
CONFIGURATION = Configuration(1, (FAST, SLOW, ADVISED), (POOL,), 1 << 18)


def entry(name, draining=False, capacity=HOST_CAPACITY, rack="r1", pool=POOL):
    return HostEntry(
        name, pool, name, "dc1", draining, capacity, frozenset({"a", rack}), rack
    )


def step(count=1, **fields):
    fields.setdefault("cpu_milli", 4000)
    fields.setdefault("memory_mib", 1000)
    fields.setdefault("estimate", 1.0)
    return Step(count, **fields)


def job(*steps, **fields):
    return JobSpec("payload", steps or (step(),), **fields)


class PlainDecoder(Decoder):
    hosts_topic = "keyed.list"
    configuration_topic = "keyed.setup"

    def decode_host(self, key, value):
        if not value:
            return None
        fields = msgspec.json.decode(value)
        capacity = Resources(*fields["room"])
        listed = entry(key, fields["draining"], capacity, pool=fields["pool"])
        return replace(listed, address=fields["address"] or key)

    def decode_configuration(self, key, value):
        if not value.isdigit():
            raise ProtocolError("expected a version", step="test")
        return CONFIGURATION_BY_VERSION[int(value)]


# Pools of the second configuration; the cell's first hosts are all in POOL. The third
# one has a single queue, the fourth one all of them again. The fifth one sends a queue
# to another pool, the sixth one gives it another name and another pool. The seventh and
# the eighth one are as the second and the third one again. The ninth one lacks a queue,
# and the tenth one is as the fifth one again.
POOLS = ("archive", POOL, "bulk")
MOVED = replace(FAST, pool="archive")
RENAMED = replace(FAST, name="faster", pool="archive")
CONFIGURATION_BY_VERSION = {
    1: CONFIGURATION,
    2: Configuration(2, CONFIGURATION.queues, POOLS, 1 << 18),
    3: Configuration(3, (FAST,), (POOL,), 1 << 18),
    4: Configuration(4, CONFIGURATION.queues, (POOL,), 1 << 18),
    5: Configuration(5, (MOVED, SLOW, ADVISED), POOLS, 1 << 18),
    6: Configuration(6, (RENAMED, SLOW, ADVISED), POOLS, 1 << 18),
    7: Configuration(7, CONFIGURATION.queues, POOLS, 1 << 18),
    8: Configuration(8, (FAST,), (POOL,), 1 << 18),
    9: Configuration(9, (SLOW, ADVISED), POOLS, 1 << 18),
    10: Configuration(10, (MOVED, SLOW, ADVISED), POOLS, 1 << 18),
}


def host_record(name, draining=False, capacity=HOST_CAPACITY, pool=POOL, address=""):
    parts = [capacity.cpu_milli, capacity.memory_mib, capacity.accelerators, 0]
    fields = {"draining": draining, "room": parts, "pool": pool, "address": address}
    return Record(name, msgspec.json.encode(fields))


class Cell:
    """A store, hosts and daemons; a killed daemon stops without draining."""

    def __init__(self, hosts=3, seed=1, configuration=1):
        self.logs = MemoryLogs()
        self.network = MemoryNetwork(random.Random(seed))
        self.hosts = MemoryHosts()
        self.advisor = MemoryAdvisor()
        self.daemons = {}
        self.incarnations = 0
        self.sheds_load = False
        self.open_store = MemoryStore
        self.decoder = PlainDecoder()
        version = str(configuration).encode()
        self.logs.append("keyed.setup", [Record("config", version)], None, None)
        for i in range(hosts):
            self.add_host(f"i-{i}")

    def configure(self, version):
        """Put a version of the configuration in force."""
        record = Record("config", str(version).encode())
        self.logs.append("keyed.setup", [record], None, None)

    def add_host(self, name, pool=POOL, address="", **fields):
        self.hosts.add(MemoryHost(entry(name, pool=pool), **fields))
        record = host_record(name, pool=pool, address=address)
        self.logs.append("keyed.list", [record], None, None)

    def relist(self, name, **fields):
        """List a host again with other fields; it runs on."""
        self.logs.append("keyed.list", [host_record(name, **fields)], None, None)

    def drain(self, name):
        self.logs.append("keyed.list", [host_record(name, True)], None, None)

    def unlist(self, name):
        self.logs.append("keyed.list", [Record(name, b"")], None, None)

    def start(self, name, processor=0.0, data_centre="dc1"):
        self.incarnations += 1
        self.network.powered_off.discard(name)
        peers = self.network.join(name, CODEC)
        platform_clients = PlatformClients(
            self.open_store(self.logs, name), self.hosts, self.advisor, self.decoder
        )
        daemon = WorkDaemon(
            Member(name, self.incarnations, name, data_centre, "r1"),
            platform_clients,
            peers,
            lambda member: None,
            Timing(status_retention_s=120.0),
            lambda: asyncio.get_running_loop().time(),
            processor,
            sheds_load=self.sheds_load,
            was_listed=name in self.logs.topic(MEMBERS_TOPIC).newest,
        )
        daemon.start()
        self.daemons[name] = daemon
        return daemon

    async def start_daemons(self, *names):
        for name in names:
            self.start(name)
        await asyncio.sleep(3.0)

    async def kill(self, name, loses_power=False):
        if loses_power:
            self.network.powered_off.add(name)
        await self.daemons.pop(name).close()

    def owner(self, pool=POOL):
        """Return the name of the daemon that owns the pool, or None."""
        for name, daemon in self.daemons.items():
            if pool in daemon.owners:
                return name
        return None

    def deadline(self, seconds=3.0):
        return asyncio.get_running_loop().time() + seconds

    async def submit(self, name, job_id, spec, queue=FAST):
        job_service = self.daemons[name].job_service
        return await job_service.submit(queue, job_id, spec, self.deadline())

    async def state(self, name, job_id, queue=FAST):
        reply = await self.daemons[name].job_service.show(
            queue, job_id, self.deadline()
        )
        return reply.state or reply.kind.value

    async def wait_for_state(self, job_id, state, seconds=20.0):
        """Wait until a job is shown in a state; return the seconds that this took."""
        began = asyncio.get_running_loop().time()
        while True:
            name = next(iter(self.daemons))
            shown = await self.state(name, job_id)
            now = asyncio.get_running_loop().time()
            if shown == state:
                return now - began
            assert now - began < seconds, f"{job_id} is {shown}"
            await asyncio.sleep(0.05)

    async def wait_for_starts(self, count, seconds=20.0):
        """Wait until the hosts have executed ``count`` starts; return all of them."""
        for _ in range(int(seconds / 0.05)):
            if len(self.hosts.starts()) >= count:
                return self.hosts.starts()
            await asyncio.sleep(0.05)
        raise AssertionError(f"{len(self.hosts.starts())} starts, not {count}")

    async def wait_for_owner(self, seconds=10.0):
        """Wait until a daemon owns the pool, and one second more."""
        for _ in range(int(seconds / 0.05)):
            if self.owner() is not None:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def close(self):
        for daemon in list(self.daemons.values()):
            await daemon.close()

    def check_run_numbers(self):
        """Check that each run of a task was started once, in the order of run numbers.

        A repeated or lower number means that two runs of the task may have overlapped.
        """
        by_task = {}
        for start in self.hosts.starts():
            by_task.setdefault(start.task, []).append(start)
        for starts in by_task.values():
            runs = [start.run for start in starts]
            assert runs == sorted(set(runs)), starts
        return by_task
