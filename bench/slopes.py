"""Slopes: what one more host, task, item, peer or change costs a daemon.

``python -m bench.slopes`` writes ``docs/slopes.json``, from which
``bench.capacity`` makes the tables of ``docs/CAPACITY.md``. Bytes and messages
are counts that repeat exactly; processor time is given in microseconds of this
machine and as a ratio to a fixed piece of work done in the same run.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.clock import run
from bench.world import CELL, SERVICES, World, pool
from siskinroad.cell import parse_cell
from siskinroad.deltas import make_delta
from siskinroad.ledger import Ledger
from siskinroad.messages import Digest, Echo, Heartbeat, LogTail, ShardNews, encode
from siskinroad.queues import Item
from siskinroad.records import (
    CellRevision,
    ClaimMade,
    JobAccepted,
    TasksEnded,
    encode_batch,
)
from siskinroad.scheduler import Scheduler

OUT = Path(__file__).parent.parent / "docs" / "slopes.json"
SEED = 1


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Return the least-squares line and its largest relative residual."""
    count = len(points)
    mx = sum(x for x, _ in points) / count
    my = sum(y for _, y in points) / count
    spread = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / spread
    base = my - slope * mx
    worst = max(abs(y - base - slope * x) / max(abs(y), 1e-9) for x, y in points)
    return {"slope": slope, "base": base, "residual": worst}


def _memory(build: Callable[[int], object], sizes: list[int]) -> list[tuple]:
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del kept
    return points


def _cell(hosts: int, owners: int = 1) -> str:
    text = CELL + "".join(f'[[owners]]\nname = "o{i}"\n' for i in range(owners))
    names = [(f"h{i}", f"r{i // 5}", "east-1") for i in range(hosts)]
    return text + pool("booking", names) + SERVICES


def _scheduler(hosts: int) -> Scheduler:
    cell = parse_cell(_cell(hosts))
    scheduler = Scheduler(cell, random.Random(SEED), 0.0)
    scheduler.shard.door.limit = 10_000_000
    for host in cell.hosts():
        scheduler.add_host(host, 0.0)
        scheduler.host_event(host.name, "inventory", 0.0)
    return scheduler


def _with_items(count: int, name: str, hosts: int) -> Scheduler:
    scheduler = _scheduler(hosts)
    workload = scheduler.shard.cell.workloads[name]
    for i in range(count):
        scheduler.requeue(Item(f"east-1.job/{i}", workload, 0.0), 0.0)
    return scheduler


def memory_slopes() -> dict[str, Any]:
    """Return bytes of state for each unit."""
    spans: dict[str, tuple[Callable[[int], object], list[int]]] = {
        "host in the cell file": (lambda n: parse_cell(_cell(n)), _sizes(64)),
        "owner": (lambda n: parse_cell(_cell(4, n)), _sizes(16)),
        "host owned": (_scheduler, _sizes(32)),
        "queued task": (lambda n: _with_items(n, "recount", 1), _sizes(500)),
        "running task": (lambda n: _with_items(n, "quote", n // 8 + 1), _sizes(200)),
        "job in the ledger": (_ledger_jobs, _sizes(250)),
        "key in the ledger": (_ledger_keys, _sizes(250)),
    }
    return {
        name: _slope(_memory(build, sizes), "bytes")
        for name, (build, sizes) in spans.items()
    }


def _sizes(first: int) -> list[int]:
    """Return five sizes that span 16 times."""
    return [first * 2**i for i in range(5)]


def _ledger_jobs(count: int) -> Ledger:
    ledger = Ledger()
    jobs = [
        JobAccepted(f"east-1.a-1-{i}", "recount", "desk", "booking/east-1/0", 1, b"")
        for i in range(count)
    ]
    ledger.apply(1, list(jobs))
    return ledger


def _ledger_keys(count: int) -> Ledger:
    from siskinroad.records import IntentRecorded, KeyOutcome

    ledger = Ledger()
    for i in range(count):
        key = f"dispatch/key-{i:08d}"
        intent = IntentRecorded(key, "dispatch", "0" * 24, "a")
        done = KeyOutcome(key, "done", 200, b"x" * 100, "a")
        ledger.apply(ledger.next_offset, [intent, done])
    return ledger


def _slope(points: list[tuple], unit: str) -> dict[str, Any]:
    found = fit(points)
    return {
        "unit": unit,
        "points": [[x, round(y, 3)] for x, y in points],
        "slope": round(found["slope"], 4),
        "base": round(found["base"], 4),
        "residual": round(found["residual"], 4),
    }


def message_sizes() -> dict[str, int]:
    """Return bytes of each kind of message and record; they repeat exactly."""
    news = [ShardNews("booking/east-1/0", 123456789, 40, {})]
    names = [f"east-1{x}" for x in "abcdefg"]
    stamp = 123456.789
    beat = Heartbeat(
        "east-1a", 1764801000000, stamp, Echo(stamp, []), 1200, False, True, names, []
    )
    short = Heartbeat(
        "east-1a", 1764801000000, stamp, Echo(stamp, []), 1200, False, True, None, []
    )
    loud = Heartbeat(
        "east-1a", 1764801000000, stamp, Echo(stamp, []), 1200, False, True, names, news
    )
    base = dict.fromkeys(["booking/east-1/0"], ("east-1a", 1764801000000))
    digest = Digest("east-1a", "east-1", "east", 1200, 1 << 60, base, news, True)
    two = news * 2
    more = Digest(
        "east-1a",
        "east-1",
        "east",
        1200,
        1 << 60,
        {**base, "booking/east-1/1": base["booking/east-1/0"]},
        two,
        True,
    )
    old = _cell(4500, 58)
    new = old.replace("weight = 3", "weight = 4", 1)
    delta = make_delta(old, new)
    revision = CellRevision(1200, 1199, delta, "0" * 16, "0" * 20)
    claim = ClaimMade("booking/east-1/0", "east-1a", 1764801000000, 123456789)
    job = JobAccepted("east-1.a-1-1", "recount", "desk", "booking/east-1/0", 1, b"", 9)
    return {
        "heartbeat": len(encode(short)),
        "heartbeat that names the admitted": len(encode(beat)),
        "heartbeat, a shard more": len(encode(loud)) - len(encode(beat)),
        "tail": len(encode(LogTail("dc.east-1", 123456, stamp))),
        "digest": len(encode(digest)),
        "digest, a shard more": len(encode(more)) - len(encode(digest)),
        "claim record": len(encode_batch("east-1a", [claim])),
        "job record": len(encode_batch("east-1a", [job])),
        "end record": len(
            encode_batch("east-1a", [TasksEnded("east-1.a-1-1", [0], "done")])
        ),
        "change record": len(encode_batch("east-1a", [revision])),
        "whole cell file": len(old),
    }


async def _idle(peers: int, seconds: float) -> dict[str, float]:
    """Return bytes and messages a second that one daemon sends at rest."""
    names = [f"east-1{chr(97 + i)}" for i in range(peers + 1)]
    world = World(_cell(4), names, SEED)
    await world.ready()
    sent = [sum(d.peers.traffic.sent.values()) for d in world.daemons.values()]
    counts = [sum(d.peers.traffic.messages.values()) for d in world.daemons.values()]
    reads, appends = world.log.reads, world.log.appends
    await asyncio.sleep(seconds)
    after = [sum(d.peers.traffic.sent.values()) for d in world.daemons.values()]
    number = [sum(d.peers.traffic.messages.values()) for d in world.daemons.values()]
    return {
        "reader": (after[0] - sent[0]) / seconds,
        "other": (after[-1] - sent[-1]) / seconds if peers else 0.0,
        "messages": (number[0] - counts[0]) / seconds,
        "reads": (world.log.reads - reads) / seconds,
        "appends": (world.log.appends - appends) / seconds,
    }


def control_slopes() -> dict[str, Any]:
    """Return what a daemon sends at rest against its peers in the data centre."""
    sizes = [1, 2, 4, 8, 16]
    found = {peers: run(_idle(peers, 60.0)) for peers in sizes}
    slopes: dict[str, Any] = {}
    for key in ("reader", "other", "messages", "reads", "appends"):
        points = [(peers, found[peers][key]) for peers in sizes]
        slopes[f"{key} at rest, by peer"] = _slope(points, "a second")
    return slopes


async def _abroad(seconds: float) -> float:
    names = [f"{centre}{x}" for centre in ("east-1", "west-1") for x in "abc"]
    hosts = [("e0", "r", "east-1"), ("w0", "r", "west-1")]
    world = World(CELL + pool("booking", hosts) + SERVICES, names, SEED)
    await world.ready()
    before = _digest_bytes(world)
    await asyncio.sleep(seconds)
    return (_digest_bytes(world) - before) / seconds


def _digest_bytes(world: World) -> int:
    """Return bytes of digests that crossed regions, relays left out."""
    total = 0
    for daemon in world.daemons.values():
        total += daemon.beats.sent_abroad
    return total


def times() -> dict[str, Any]:
    """Return processor time of repeated steps, in microseconds and as a ratio."""
    unit = _work_unit()
    found: dict[str, Any] = {"unit of work us": round(unit * 1e6, 2)}
    beat = Heartbeat("a", 1, 2.0, Echo(2.0, []), 3, False, True, ["b"] * 6, [])
    from siskinroad.membership import Membership
    from siskinroad.messages import decode

    members = Membership("z")
    stamp = [0.0]

    def heartbeat() -> None:
        stamp[0] += 1.0
        msg = Heartbeat("a", 1, stamp[0], Echo(2.0, []), 3, False, True, ["b"] * 6, [])
        members.hear(decode(encode(msg)), stamp[0])

    steps = {"heartbeat sent and heard": heartbeat}
    scheduler = _with_items(2000, "recount", 64)
    steps["scheduler tick, 64 hosts"] = lambda: scheduler.tick(1.0)
    for name, step in steps.items():
        spent = _time(step)
        found[name] = {"us": round(spent * 1e6, 1), "ratio": round(spent / unit, 2)}
    del beat
    return found


def _time(step: Callable[[], object], count: int = 2000) -> float:
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(count):
            step()
        best = min(best, (time.process_time() - began) / count)
    return best


def _work_unit() -> float:
    return _time(lambda: sum(range(1000)))


def measure() -> dict[str, Any]:
    return {
        "command": "python -m bench.slopes",
        "memory": memory_slopes(),
        "messages": message_sizes(),
        "control": control_slopes(),
        "abroad": {"digest bytes a second, pair": round(run(_abroad(60.0)), 2)},
        "times": times(),
    }


def main() -> int:
    found = measure()
    OUT.write_text(json.dumps(found, indent=1) + "\n")
    for part in ("memory", "control"):
        for name, row in found[part].items():
            line = f"{row['slope']:12.2f} {row['unit']}, base {row['base']:.1f}"
            print(f"{name:32}{line}, residual {row['residual']:.1%}")
    print(json.dumps({k: found[k] for k in ("messages", "abroad", "times")}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
