"""Both example cells on loopback under a bounded load."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from siskinroad.cluster import Cluster
from siskinroad.http_client import HttpPool
from siskinroad.load import LoadResult, percentile, send_load
from siskinroad.tables import table

__all__ = ["run_demo"]

SEED = 7
RATE = 40.0
BOOKING_RATE = 5.0
FLOOD = 400
GANGS = 4
SECONDS = {
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
class _Script:
    """What is asked of one example cell."""

    file: str
    requests: str
    keyed: str
    flood: str
    single: str
    gang: str


SCRIPTS = (
    _Script(
        "stanova.toml",
        "quotes",
        "crew-dispatch",
        "fleet-recount",
        "floor-plan",
        "festival-render",
    ),
    _Script(
        "alrahma.toml",
        "slot-check",
        "booking",
        "archive",
        "certificate-scan",
        "identity-match",
    ),
)


def _duration(workload: str, rng: random.Random) -> float:
    return SECONDS.get(workload, 1.0) * rng.uniform(0.7, 1.3)


def _example(name: str) -> str:
    packaged = resources.files("siskinroad").joinpath("examples", name)
    if packaged.is_file():
        return packaged.read_text()
    return (Path(__file__).parent.parent / "examples" / name).read_text()


def run_demo(seconds: float) -> str:
    """Run both cells for ``seconds`` of load each; return a table."""
    rows = [asyncio.run(_run(script, seconds)) for script in SCRIPTS]
    columns = list(rows[0])
    return table(columns, rows)


async def _run(script: _Script, seconds: float) -> dict[str, object]:
    cluster = Cluster(_example(script.file), _duration, SEED)
    await cluster.open()
    try:
        if not await cluster.owned():
            return {"cell": script.file, "fault": "not every shard has an owner"}
        await asyncio.sleep(2.5)
        return await _measure(cluster, script, seconds)
    finally:
        await cluster.close()


async def _measure(
    cluster: Cluster, script: _Script, seconds: float
) -> dict[str, object]:
    sent = sum(_sent(cluster).values())
    loop = asyncio.get_running_loop()
    began = loop.time()
    jobs = await _submit(cluster, script)
    packing = loop.create_task(_packing(cluster, seconds))
    rng = random.Random(SEED)
    to = cluster.callers
    urgent, keyed = await asyncio.gather(
        send_load(to, script.requests, RATE, seconds, 1024, rng),
        send_load(to, script.keyed, BOOKING_RATE, seconds, 256, rng, "demo-"),
    )
    spent = loop.time() - began
    daemons = len(cluster.nodes)
    control = (sum(_sent(cluster).values()) - sent) / spent / daemons
    return {
        "cell": script.file,
        "requests": _counts(urgent),
        "median ms": round(percentile(urgent.times, 0.5) * 1000, 1),
        "p99 ms": round(percentile(urgent.times, 0.99) * 1000, 1),
        "keyed": _counts(keyed),
        "keyed p99 ms": round(percentile(keyed.times, 0.99) * 1000, 1),
        "jobs": jobs,
        "peak packing": f"{await packing:.0%}",
        "peer B/s a daemon": round(control),
        "appends": cluster.log.appends,
    }


def _counts(result: LoadResult) -> str:
    refused = sum(result.refused.values()) + result.errors
    return f"{len(result.times)} ok, {refused} not"


def _sent(cluster: Cluster) -> dict[str, int]:
    sent: dict[str, int] = {}
    for node in cluster.nodes:
        for kind, size in node.daemon.peers.traffic.sent.items():
            sent[kind] = sent.get(kind, 0) + size
    return sent


async def _submit(cluster: Cluster, script: _Script) -> int:
    pool = HttpPool()
    accepted = 0
    wanted = [(script.flood, FLOOD)] * 3 + [(script.gang, 1)] * GANGS
    wanted.append((script.single, 20))
    for number, (workload, count) in enumerate(wanted):
        address = cluster.callers[number % len(cluster.callers)]
        target = f"/v1/jobs/{workload}?count={count}"
        answer = await pool.request(address, "POST", target)
        accepted += answer.status == 202
    pool.close()
    return accepted


async def _packing(cluster: Cluster, seconds: float) -> float:
    """Return the highest part of the given resources of accelerator hosts."""
    best = 0.0
    for _ in range(int(seconds * 4)):
        await asyncio.sleep(0.25)
        used = total = 0
        for node in cluster.nodes:
            for owner in node.daemon.shards.owners.values():
                part, whole = owner.used()
                used += part.accelerators
                total += whole.accelerators
        best = max(best, used / total if total else 0.0)
    return best
