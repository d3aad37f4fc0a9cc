"""Waiting tasks after seeded faults, with real daemons on a paused clock.

``python -m bench.waiting_daemons [SEEDS] [FIRST]`` runs the scenarios of the seeds from
FIRST on and prints those in which a task waits for too long.
"""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import replace

from bench.clock import run_on_paused_clock
from bench.faulty_pool import POOL, FaultyPool, NoReply
from bench.owner_model import SLOW_CALL_S, TRIP_S
from bench.waiting_check import CHECK_INTERVAL_S, WaitingCheck
from bench.waiting_scenario import (
    CALM_AT,
    CONFIGURATIONS,
    END_AT,
    Scenario,
    WorkSizes,
    draw_sizes,
)
from bench.waiting_work import WaitingResult, main
from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.peers import MemoryNetwork
from siskinroad.work import messages
from siskinroad.work.advice import AdviceResult, Advisor
from siskinroad.work.daemon import WorkDaemon
from siskinroad.work.hosts import (
    CommandReply,
    HostClient,
    HostCommand,
    HostReport,
    Rejection,
    StartCommand,
)
from siskinroad.work.model import Configuration, HostEntry, Queue, Timing
from siskinroad.work.platform_clients import Decoder, PlatformClients
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted, Member
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

NODES = ("a", "b", "c")
# Seconds after which a call that gets no reply fails.
NO_REPLY_S = 30.0
# Seconds until the daemons have claimed the pool.
BEGIN_S = 3.0
# Seconds after which a killed daemon is started again.
RESTART_S = 1.5
# Time limit of a caller's request in seconds.
REQUEST_TIMEOUT_S = 3.0


class FaultyHostClient(HostClient):
    """Client of the hosts of a faulty pool."""

    def __init__(self, pool: FaultyPool) -> None:
        self.pool = pool
        self._ends: dict[str, asyncio.Event] = {}

    def note_end(self, name: str) -> None:
        """Wake the renewals that wait for an end on a host."""
        event = self._ends.pop(name, None)
        if event is not None:
            event.set()

    async def _complete(
        self, reply: Rejection | NoReply | HostReport | None, name: str
    ) -> Rejection | HostReport | None:
        if isinstance(reply, NoReply):
            if not reply.is_sent:
                raise NotSentError("connection refused", step="hosts", peer=name)
            await asyncio.sleep(NO_REPLY_S)
            raise OutcomeUnknownError("host did not reply", step="hosts", peer=name)
        await asyncio.sleep(TRIP_S / 2)
        return reply

    async def start(self, command: StartCommand) -> CommandReply:
        """Start a run; see the base class."""
        await asyncio.sleep(TRIP_S / 2)
        reply = await self._complete(self.pool.start(command), command.host)
        return CommandReply(reply, None, None)

    async def stop(self, command: HostCommand) -> CommandReply:
        """Stop a run; see the base class."""
        await asyncio.sleep(TRIP_S / 2)
        reply = await self._complete(self.pool.stop(command), command.host)
        return CommandReply(reply, None, None)

    async def throttle(self, command: HostCommand, percent: int) -> CommandReply:
        """Accept a throttle command without effect; see the base class."""
        return CommandReply(None, None, None)

    async def renew_lease(
        self,
        host: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until: int | None,
        wait: float,
    ) -> HostReport | Rejection:
        """Renew the lease and return the host's report; see the base class."""
        await asyncio.sleep(TRIP_S / 2)
        reply = self.pool.renew(host, address, token, acknowledged, lease_until)
        if isinstance(reply, HostReport) and not reply.ended and wait:
            event = self._ends.setdefault(host, asyncio.Event())
            try:
                async with asyncio.timeout(wait):
                    await event.wait()
            except TimeoutError:
                pass
            reply = self.pool.renew(host, address, token, acknowledged, None)
        return await self._complete(reply, host)


class FaultyAdvisorClient(Advisor):
    """Client of the advisor, which serves one call of a daemon at a time."""

    def __init__(self, pool: FaultyPool, queues: dict[str, Queue]) -> None:
        self.pool = pool
        self._queues = queues
        self._lock = asyncio.Lock()

    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> AdviceResult:
        """Return tickets for the hosts that the step may use; see the base class."""
        try:
            async with asyncio.timeout(timeout), self._lock:
                return await self._call((job, occurrence, step), hosts)
        except TimeoutError:
            raise OutcomeUnknownError("no advice in time", step="advise") from None

    async def _call(self, step: tuple[str, int, int], hosts: list[str]) -> AdviceResult:
        now, advisor = self.pool.now(), self.pool.advisor
        queue = self._queues[step[0].partition("-")[0]]
        slow_s = SLOW_CALL_S if now < advisor.slow_until else 0.0
        await asyncio.sleep(queue.advice.duration(len(hosts)) + slow_s)
        if now < advisor.failing_until:
            raise OutcomeUnknownError("advisor failed", step="advise")
        find_host = self.pool.hosts.get
        tickets = advisor.make_tickets(step, hosts, find_host, self.pool.now())
        return AdviceResult(tickets, advisor.valid_s[step[0]])


class NumberedDecoder(Decoder):
    """Decoder of records that hold the number of an entry or a configuration."""

    hosts_topic = "keyed.list"
    configuration_topic = "keyed.setup"

    def __init__(self) -> None:
        self.entries: list[HostEntry] = []
        self.configurations: list[Configuration] = []

    def decode_host(self, key: str, value: bytes) -> HostEntry | None:
        """Return a host of the live list; see the base class."""
        return self.entries[int(value)] if value else None

    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration; see the base class."""
        return self.configurations[int(value)]


class DaemonPool:
    """Pool that is owned by one of several daemons."""

    def __init__(self, seed: int, sizes: WorkSizes) -> None:
        loop = asyncio.get_running_loop()
        self.logs = MemoryLogs()
        self.network = MemoryNetwork(random.Random(seed))
        self.pool = FaultyPool(loop.time, loop.call_later, sizes.hosts, seed)
        self.host_client = FaultyHostClient(self.pool)
        self.decoder = NumberedDecoder()
        self.daemons: dict[str, WorkDaemon] = {}
        self.queues = {queue.name: queue for queue in CONFIGURATIONS[0].queues}
        self._listed: dict[str, HostEntry] = {}
        self._incarnations = 0
        self._tasks: set[asyncio.Task] = set()
        self.configure(CONFIGURATIONS[0])
        self._publish_hosts()
        self.pool.on_list_change = self._publish_hosts
        self.pool.on_end = self.host_client.note_end

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or its next incarnation."""
        self._incarnations += 1
        self.network.powered_off.discard(name)
        loop = asyncio.get_running_loop()
        daemon = WorkDaemon(
            Member(name, self._incarnations, name, "dc1", "r1"),
            PlatformClients(
                MemoryStore(self.logs, name),
                self.host_client,
                FaultyAdvisorClient(self.pool, self.queues),
                self.decoder,
            ),
            self.network.join(name, messages.CODEC),
            lambda member: None,
            Timing(stop_grace_s=0.2),
            loop.time,
            0.0,
        )
        daemon.start()
        self.daemons[name] = daemon

    def _publish_hosts(self) -> None:
        """Append the changes of the live list, or one heartbeat if there is none."""
        listed = self.pool.listed
        records = [Record(name, b"") for name in self._listed if name not in listed]
        changed = [e for name, e in listed.items() if self._listed.get(name) is not e]
        if not records and not changed:
            changed = list(listed.values())[:1]
        for entry in changed:
            self.decoder.entries.append(entry)
            number = len(self.decoder.entries) - 1
            records.append(Record(entry.name, str(number).encode()))
        self._listed = dict(listed)
        if records:
            self.logs.append(self.decoder.hosts_topic, records, None, None)

    def _spawn(self, coro) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find_job_service(self):
        daemon = next(iter(self.daemons.values()))
        deadline = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
        return daemon.job_service, deadline

    def submit(self, accepted: Accepted) -> None:
        """Accept a job."""
        queue = self.queues[accepted.queue]
        job_service, deadline = self._find_job_service()
        self._spawn(job_service.submit(queue, accepted.job, accepted.spec, deadline))

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        queue = self.queues[job.partition("-")[0]]
        job_service, deadline = self._find_job_service()
        self._spawn(job_service.cancel(queue, job, deadline))

    def configure(self, configuration: Configuration) -> None:
        """Store a configuration under the next version."""
        number = len(self.decoder.configurations)
        self.decoder.configurations.append(replace(configuration, version=number + 1))
        record = Record("config", str(number).encode())
        self.logs.append(self.decoder.configuration_topic, [record], None, None)

    def take_over(self) -> None:
        """Kill the owner; it is started again later."""
        for name, daemon in self.daemons.items():
            if POOL in daemon.owners:
                self._spawn(self._restart(name))
                return

    async def _restart(self, name: str) -> None:
        self.network.powered_off.add(name)
        await self.daemons.pop(name).close()
        await asyncio.sleep(RESTART_S)
        self.start_daemon(name)

    def find_pool_state(self) -> PoolState | None:
        """Return the state of the pool; None while it has no owner."""
        for daemon in self.daemons.values():
            owner = daemon.owners.get(POOL)
            if owner is not None:
                return owner.pool_state
        return None

    async def close(self) -> None:
        """Stop the daemons."""
        for daemon in list(self.daemons.values()):
            await daemon.close()


async def _run_scenario(seed: int, sizes: WorkSizes) -> WaitingResult:
    daemon_pool = DaemonPool(seed, sizes)
    for name in NODES:
        daemon_pool.start_daemon(name)
    await asyncio.sleep(BEGIN_S)
    pool = daemon_pool.pool
    scenario = Scenario(seed, sizes, pool, daemon_pool, pool.at)
    scenario.begin()
    calm_at = scenario.began_at + CALM_AT
    check = WaitingCheck(pool, daemon_pool.find_pool_state, calm_at)
    while scenario.now < END_AT:
        await asyncio.sleep(CHECK_INTERVAL_S)
        check.check(pool.now())
    await daemon_pool.close()
    violations = list(check.violations.values())
    return WaitingResult(seed, sizes, violations, scenario.faults, check.worst_s)


def run_daemon_seed(seed: int, sizes: WorkSizes | None = None) -> WaitingResult:
    """Run one scenario with daemons; return the tasks that waited for too long."""
    return run_on_paused_clock(_run_scenario(seed, sizes or draw_sizes(seed)))


if __name__ == "__main__":
    sys.exit(main(run_daemon_seed, sys.argv[1:]))
