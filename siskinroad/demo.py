"""Demonstration: both example cells on loopback under a load of limited duration."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from siskinroad.cluster import Cluster
from siskinroad.http_client import HttpPool
from siskinroad.load import LoadResult, percentile, send_load
from siskinroad.tables import format_table

__all__ = ["run_demo"]

SEED = 7
# Mean request rates to the service without idempotency keys and to the one with them.
REQUESTS_PER_SECOND = 40.0
KEYED_REQUESTS_PER_SECOND = 5.0
# Number of tasks in each large job: enough that tasks wait in the queue.
BATCH_JOB_TASKS = 400
GANG_JOBS = 4
# Mean run time of a task in seconds by workload; 1 s for any other.
MEAN_RUN_TIMES_S = {
    "quotes": 0.08,
    "slot-check": 0.08,
    "crew-dispatch": 0.1,
    "booking": 0.1,
    "fleet-recount": 1.5,
    "archive": 1.5,
    "floor-plan": 1.0,
    "certificate-scan": 1.0,
    "festival-render": 2.0,
    "identity-match": 2.0,
}


@dataclass(slots=True, frozen=True)
class _DemoCell:
    """An example cell and the workloads that the demonstration uses.

    Requests are sent to ``service``, and requests with idempotency keys to
    ``keyed``. The other workloads are submitted as jobs: large ones of
    ``batch_workload``, a small one of ``single_workload``, and gangs.
    """

    file: str
    service: str
    keyed: str
    batch_workload: str
    single_workload: str
    gang_workload: str


DEMO_CELLS = (
    _DemoCell(
        "stanova.toml",
        "quotes",
        "crew-dispatch",
        "fleet-recount",
        "floor-plan",
        "festival-render",
    ),
    _DemoCell(
        "alrahma.toml",
        "slot-check",
        "booking",
        "archive",
        "certificate-scan",
        "identity-match",
    ),
)


def _draw_run_time_s(workload: str, rng: random.Random) -> float:
    return MEAN_RUN_TIMES_S.get(workload, 1.0) * rng.uniform(0.7, 1.3)


def _read_example(name: str) -> str:
    packaged = resources.files("siskinroad").joinpath("examples", name)
    if packaged.is_file():
        return packaged.read_text()
    return (Path(__file__).parent.parent / "examples" / name).read_text()


def run_demo(seconds: float) -> str:
    """Run both cells for ``seconds`` of load each and return a table of results."""
    rows = [asyncio.run(_run_cell(demo_cell, seconds)) for demo_cell in DEMO_CELLS]
    columns = list(rows[0])
    return format_table(columns, rows)


async def _run_cell(demo_cell: _DemoCell, seconds: float) -> dict[str, object]:
    cluster = Cluster(_read_example(demo_cell.file), _draw_run_time_s, SEED)
    await cluster.open()
    try:
        if not await cluster.wait_until_owned():
            return {
                "cell": demo_cell.file,
                "fault": "some shards had no owner within the time limit",
            }
        await asyncio.sleep(2.5)
        return await _measure_cell(cluster, demo_cell, seconds)
    finally:
        await cluster.close()


async def _measure_cell(
    cluster: Cluster, demo_cell: _DemoCell, seconds: float
) -> dict[str, object]:
    sent_before = sum(_sum_sent_bytes(cluster).values())
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    jobs = await _submit_jobs(cluster, demo_cell)
    packing_task = loop.create_task(_measure_peak_packing(cluster, seconds))
    rng = random.Random(SEED)
    addresses = cluster.caller_addresses
    urgent, keyed = await asyncio.gather(
        send_load(
            addresses, demo_cell.service, REQUESTS_PER_SECOND, seconds, 1024, rng
        ),
        send_load(
            addresses,
            demo_cell.keyed,
            KEYED_REQUESTS_PER_SECOND,
            seconds,
            256,
            rng,
            "demo-",
        ),
    )
    elapsed_s = loop.time() - started_at
    daemons = len(cluster.nodes)
    peer_bytes_rate = (
        (sum(_sum_sent_bytes(cluster).values()) - sent_before) / elapsed_s / daemons
    )
    return {
        "cell": demo_cell.file,
        "requests": _format_counts(urgent),
        "median ms": round(percentile(urgent.latencies_s, 0.5) * 1000, 1),
        "p99 ms": round(percentile(urgent.latencies_s, 0.99) * 1000, 1),
        "keyed": _format_counts(keyed),
        "keyed p99 ms": round(percentile(keyed.latencies_s, 0.99) * 1000, 1),
        "jobs": jobs,
        "peak packing": f"{await packing_task:.0%}",
        "peer B/s per daemon": round(peer_bytes_rate),
        "appends": cluster.log.appends,
    }


def _format_counts(result: LoadResult) -> str:
    refused = sum(result.refused.values()) + result.error_count
    return f"{len(result.latencies_s)} ok, {refused} failed"


def _sum_sent_bytes(cluster: Cluster) -> dict[str, int]:
    sent: dict[str, int] = {}
    for node in cluster.nodes:
        for kind, size in node.daemon.peers.traffic.bytes_sent.items():
            sent[kind] = sent.get(kind, 0) + size
    return sent


async def _submit_jobs(cluster: Cluster, demo_cell: _DemoCell) -> int:
    pool = HttpPool()
    accepted = 0
    submissions = [(demo_cell.batch_workload, BATCH_JOB_TASKS)] * 3 + [
        (demo_cell.gang_workload, 1)
    ] * GANG_JOBS
    submissions.append((demo_cell.single_workload, 20))
    for number, (workload, count) in enumerate(submissions):
        address = cluster.caller_addresses[number % len(cluster.caller_addresses)]
        target = f"/v1/jobs/{workload}?count={count}"
        response = await pool.request(address, "POST", target)
        accepted += response.status == 202
    pool.close()
    return accepted


async def _measure_peak_packing(cluster: Cluster, seconds: float) -> float:
    """Return the highest fraction of all accelerators that was allocated to tasks."""
    peak = 0.0
    for _ in range(int(seconds * 4)):
        await asyncio.sleep(0.25)
        used = total = 0
        for node in cluster.nodes:
            for owner in node.daemon.shards.owners.values():
                allocated, capacity = owner.usage_and_capacity()
                used += allocated.accelerators
                total += capacity.accelerators
        peak = max(peak, used / total if total else 0.0)
    return peak
