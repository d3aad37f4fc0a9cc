"""Processor time of a pool's owner as a whole, by starts and by hosts.

    python -m bench.owner [HOSTS] [STARTS]

Runs one real daemon on a paused clock, with the codec of the platform's hosts and
in-memory hosts behind it, and a steady load of short jobs that need advice. Without
arguments, prints a line for each of several pools and rates, and the processor seconds
that an owner spends for each host and for each start, by least squares. The HTTP
exchange itself is left out; `bench.calls` has it. The work of the stand-ins counts.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass

import msgspec
from siskinroad_platform.hosts import PlatformHosts
from siskinroad_platform.wire import task_from_name, task_name

from bench.clock import run_on_paused_clock
from siskinroad.http_connection import ClientResponse
from siskinroad.peers import MemoryNetwork
from siskinroad.resources import Resources
from siskinroad.work import messages
from siskinroad.work.daemon import WorkDaemon
from siskinroad.work.hosts import HostCommand, HostReport, Rejection, StartCommand
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
from siskinroad.work.records import Member
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

POOL = "pool"
QUEUE = Queue(
    "queue", "h", "/q/", POOL, 0, 3, 2.0, 0.4, 3.0, Advice(0.005, 0.0005, 3.0)
)
CONFIGURATION = Configuration(1, (QUEUE,), (POOL,), 1 << 18)
CAPACITY = Resources(32_000, 128_000, 0, 0)
TASKS_PER_JOB = 10
TASK_S = 0.7
# Hosts and starts a second of the pools that are measured.
CASES = ((25, 50), (100, 50), (200, 50), (400, 50), (200, 100), (200, 200), (400, 200))
# Seconds before the measurement, and of the measurement.
WARM_UP_S = 4.0
MEASURED_S = 6.0


class EncodedHosts:
    """Stand-in for the HTTP client of the hosts, which decodes what is sent."""

    def __init__(self, hosts: MemoryHosts) -> None:
        self.hosts = hosts
        self._started: dict[str, asyncio.Event] = {}

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 10.0,
    ) -> ClientResponse:
        """Carry out a command; see `HttpPool`."""
        fields = json.loads(body)
        if target == "/hold":
            await self._wait_for_end(
                address, fields["ack_cursor"], fields.get("wait_ms", 0) / 1000
            )
            reply = await self.hosts.renew_lease(
                address,
                address,
                fields["fencing_token"],
                fields["ack_cursor"],
                fields.get("deadline_ms"),
                0.0,
            )
        else:
            reply = await self._command(address, target, fields)
        return _encode(reply)

    async def _wait_for_end(self, name: str, acknowledged: int, wait: float) -> None:
        """Wait for an end that is not acknowledged, without polling for it."""
        host = self.hosts.hosts[name]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while loop.time() < deadline:
            host.advance()
            if any(end.number > acknowledged for end in host.ends):
                return
            ends_at = min((run.ends_at for run in host.runs.values()), default=1e9)
            started = self._started[name] = asyncio.Event()
            timer = loop.call_at(min(deadline, ends_at) + 2e-3, started.set)
            await started.wait()
            timer.cancel()

    async def _command(
        self, host: str, target: str, fields: dict[str, object]
    ) -> Rejection | None:
        task = task_from_name(str(fields["task"]))
        token, run = int(str(fields["fencing_token"])), int(str(fields["attempt"]))
        if target == "/run-stop":
            command = HostCommand(host, host, token, task, run)
            return (await self.hosts.stop(command)).rejection
        start = StartCommand(
            host, host, token, task, run, "", int(str(fields["deadline_ms"])), "", ""
        )
        rejection = (await self.hosts.start(start)).rejection
        started = self._started.get(host)
        if started is not None:
            started.set()
        return rejection


def _encode(reply: HostReport | Rejection | None) -> ClientResponse:
    if isinstance(reply, Rejection):
        return ClientResponse(409, (), b'{"clock_ms":1,"reason":"room"}')
    fields: dict[str, object] = {"clock_ms": 1, "born": 1}
    if reply is not None:
        fields = {
            "clock_ms": reply.clock,
            "born": reply.incarnation_ms,
            "running": [
                [task_name(r.task), r.run, r.checkpoint, r.progress, r.usage]
                for r in reply.running
            ],
            "finished": [
                [e.number, task_name(e.task), e.run, e.end_kind.value, e.checkpoint]
                for e in reply.ended
            ],
        }
    return ClientResponse(200, (), msgspec.json.encode(fields))


class BenchDecoder(Decoder):
    """Decoder of the bench's own records."""

    hosts_topic = "keyed.hosts"
    configuration_topic = "keyed.configuration"

    def decode_host(self, key: str, value: bytes) -> HostEntry | None:
        """Return a host's entry; see the base class."""
        rack = f"rack-{int(key) % 20}"
        return HostEntry(key, POOL, key, "dc", False, CAPACITY, frozenset({rack}), rack)

    def decode_configuration(self, key: str, value: bytes) -> Configuration:
        """Return the only configuration; see the base class."""
        return CONFIGURATION


@dataclass
class OwnerCost:
    """Processor time of an owner over the measured time."""

    hosts: int
    starts_per_s: float
    processor_per_s: float
    renewals_per_s: float
    late_tasks: int


async def measure_owner(hosts: int, starts_per_s: float) -> OwnerCost:
    """Return the processor time of an owner under a steady load."""
    logs = MemoryLogs()
    memory_hosts = MemoryHosts()
    logs.append("keyed.configuration", [Record("config", b"1")], None, None)
    for number in range(hosts):
        name = str(number)
        entry = BenchDecoder().decode_host(name, b"x")
        assert entry is not None
        memory_hosts.add(MemoryHost(entry, task_duration_s=TASK_S))
        logs.append("keyed.hosts", [Record(name, b"x")], None, None)
    encoded_hosts = EncodedHosts(memory_hosts)
    daemon = WorkDaemon(
        Member("a", 1, "a", "dc", "r"),
        PlatformClients(
            MemoryStore(logs, "a"),
            PlatformHosts(encoded_hosts),  # type: ignore[arg-type]
            MemoryAdvisor(0.02, 3.0),
            BenchDecoder(),
        ),
        MemoryNetwork(random.Random(1)).join("a", messages.CODEC),
        lambda member: None,
        Timing(),
        lambda: asyncio.get_running_loop().time(),
        1.0,
    )
    daemon.start()
    await asyncio.sleep(2.0)
    submitter = asyncio.create_task(_submit_jobs(daemon, starts_per_s))
    await asyncio.sleep(WARM_UP_S)
    starts, calls = len(memory_hosts.starts()), memory_hosts.calls
    began = time.process_time()
    await asyncio.sleep(MEASURED_S)
    used = time.process_time() - began
    starts = len(memory_hosts.starts()) - starts
    calls = memory_hosts.calls - calls
    late = sum(
        step.waiting_count
        for step in daemon.owners[POOL].pool_state.ready.values()
        if not step.job.is_closed
    )
    submitter.cancel()
    await daemon.close()
    return OwnerCost(
        hosts,
        starts / MEASURED_S,
        used / MEASURED_S,
        (calls - starts) / MEASURED_S,
        late,
    )


async def _submit_jobs(daemon: WorkDaemon, starts_per_s: float) -> None:
    """Submit jobs of one step at a steady rate, without waiting for each."""
    loop = asyncio.get_running_loop()
    step = Step(TASKS_PER_JOB, cpu_milli=2000, memory_mib=1000, estimate=TASK_S)
    pending = set()
    number = 0
    due_at = loop.time()
    while True:
        number += 1
        submit = daemon.job_service.submit(
            QUEUE, f"{number:016x}", JobSpec("payload", (step,)), loop.time() + 3.0
        )
        task = loop.create_task(submit)
        pending.add(task)
        task.add_done_callback(pending.discard)
        due_at += TASKS_PER_JOB / starts_per_s
        await asyncio.sleep(max(0.0, due_at - loop.time()))


def fit_slopes(costs: list[OwnerCost]) -> tuple[float, float]:
    """Return the processor seconds for each host a second, and for each start."""
    hh = sum(c.hosts**2 for c in costs)
    ss = sum(c.starts_per_s**2 for c in costs)
    hs = sum(c.hosts * c.starts_per_s for c in costs)
    hp = sum(c.hosts * c.processor_per_s for c in costs)
    sp = sum(c.starts_per_s * c.processor_per_s for c in costs)
    determinant = hh * ss - hs * hs
    return (hp * ss - sp * hs) / determinant, (sp * hh - hp * hs) / determinant


def main() -> None:
    """Print the cost of each case, and the slopes."""
    cases = CASES
    if len(sys.argv) == 3:
        cases = ((int(sys.argv[1]), int(sys.argv[2])),)
    print("hosts  starts/s  renewals/s  core   ms a start  waiting")
    costs = []
    for hosts, starts_per_s in cases:
        cost = run_on_paused_clock(measure_owner(hosts, starts_per_s))
        costs.append(cost)
        per_start = 1000 * cost.processor_per_s / max(1.0, cost.starts_per_s)
        print(
            f"{cost.hosts:5}  {cost.starts_per_s:8.0f}  {cost.renewals_per_s:10.0f}"
            f"  {cost.processor_per_s:.3f}  {per_start:10.2f}  {cost.late_tasks:7}"
        )
    if len(costs) > 1:
        per_host, per_start = fit_slopes(costs)
        print(f"each host: {per_host * 1e3:.3f} ms a second")
        print(f"each start: {per_start * 1e3:.3f} ms")


if __name__ == "__main__":
    main()
