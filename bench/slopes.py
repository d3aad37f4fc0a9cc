"""Marginal costs of a daemon: for one more host, task, job, key, owner or peer.

``python -m bench.slopes`` writes ``docs/slopes.json``, from which
``bench.capacity`` makes the tables of ``docs/CAPACITY.md``. Bytes and message
counts repeat exactly. Processor time depends on the machine: it is given in
microseconds and as a ratio to a fixed computation timed in the same run.
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

from bench.clock import run_on_paused_clock
from bench.world import CELL, SERVICES, World, pool
from siskinroad.cell import parse_cell
from siskinroad.deltas import make_delta
from siskinroad.ledger import Ledger
from siskinroad.messages import Digest, Echo, Heartbeat, LogTail, ShardUpdate, encode
from siskinroad.queues import Item
from siskinroad.records import (
    CellRevision,
    ClaimMade,
    JobAccepted,
    TasksEnded,
    encode_batch,
)
from siskinroad.scheduler import Scheduler
from siskinroad.stamps import StampClock

OUTPUT_PATH = Path(__file__).parent.parent / "docs" / "slopes.json"
SEED = 1


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Fit a line by least squares; return it with its largest relative residual."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    intercept = mean_y - slope * mean_x
    residual = max(
        abs(y - intercept - slope * x) / max(abs(y), 1e-9) for x, y in points
    )
    return {"slope": slope, "base": intercept, "residual": residual}


def _measure_memory(build: Callable[[int], object], sizes: list[int]) -> list[tuple]:
    """Return each size with the bytes allocated for the state of that size."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        state = build(size)
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del state
    return points


def _make_cell_text(hosts: int, owners: int = 1) -> str:
    text = CELL + "".join(f'[[owners]]\nname = "o{i}"\n' for i in range(owners))
    names = [(f"h{i}", f"r{i // 5}", "east-1") for i in range(hosts)]
    return text + pool("booking", names) + SERVICES


def _make_scheduler(hosts: int) -> Scheduler:
    cell = parse_cell(_make_cell_text(hosts))
    scheduler = Scheduler(cell, random.Random(SEED), 0.0)
    scheduler.shard.admission_limit.limit = 10_000_000
    for host in cell.hosts():
        scheduler.add_host(host, 0.0)
        scheduler.host_event(host.name, "inventory", 0.0)
    return scheduler


def _make_scheduler_with_tasks(count: int, name: str, hosts: int) -> Scheduler:
    scheduler = _make_scheduler(hosts)
    workload = scheduler.shard.cell.workloads[name]
    for i in range(count):
        scheduler.requeue(Item(f"east-1.job/{i}", workload, 0.0), 0.0)
    return scheduler


def measure_memory_slopes() -> dict[str, Any]:
    """Measure the bytes that each kind of state takes per instance."""
    builders: dict[str, tuple[Callable[[int], object], list[int]]] = {
        "host in the cell file": (
            lambda n: parse_cell(_make_cell_text(n)),
            _make_sizes(64),
        ),
        "owner": (lambda n: parse_cell(_make_cell_text(4, n)), _make_sizes(16)),
        "host owned": (_make_scheduler, _make_sizes(32)),
        "queued task": (
            lambda n: _make_scheduler_with_tasks(n, "recount", 1),
            _make_sizes(500),
        ),
        "running task": (
            lambda n: _make_scheduler_with_tasks(n, "quote", n // 8 + 1),
            _make_sizes(200),
        ),
        "job in the ledger": (_make_ledger_with_jobs, _make_sizes(250)),
        "key in the ledger": (_make_ledger_with_keys, _make_sizes(250)),
    }
    return {
        name: _fit_slope(_measure_memory(build, sizes), "bytes")
        for name, (build, sizes) in builders.items()
    }


def _make_sizes(first: int) -> list[int]:
    """Return five sizes, each twice the one before."""
    return [first * 2**i for i in range(5)]


def _make_ledger_with_jobs(count: int) -> Ledger:
    ledger = Ledger()
    jobs = [
        JobAccepted(f"east-1.a-1-{i}", "recount", "desk", "booking/east-1/0", 1, b"")
        for i in range(count)
    ]
    ledger.apply(1, list(jobs))
    return ledger


def _make_ledger_with_keys(count: int) -> Ledger:
    from siskinroad.records import IntentRecorded, KeyOutcome

    ledger = Ledger()
    for i in range(count):
        key = f"dispatch/key-{i:08d}"
        intent = IntentRecorded(key, "dispatch", "0" * 24, "a")
        done = KeyOutcome(key, "done", 200, b"x" * 100, "a")
        ledger.apply(ledger.next_offset, [intent, done])
    return ledger


def _fit_slope(points: list[tuple], unit: str) -> dict[str, Any]:
    found = fit_line(points)
    return {
        "unit": unit,
        "points": [[x, round(y, 3)] for x, y in points],
        "slope": round(found["slope"], 4),
        "base": round(found["base"], 4),
        "residual": round(found["residual"], 4),
    }


def measure_message_sizes() -> dict[str, int]:
    """Return the encoded size of each kind of message and record, in bytes."""
    updates = [ShardUpdate("booking/east-1/0", 123456789, 40, {})]
    names = [f"east-1{x}" for x in "abcdefg"]
    stamp = StampClock(1764801000000, 0.0).make(123456.789)
    heartbeat = Heartbeat(
        "east-1a",
        1764801000000,
        stamp,
        Echo(stamp, []),
        1200,
        False,
        True,
        names,
        [],
    )
    brief_heartbeat = Heartbeat(
        "east-1a",
        1764801000000,
        stamp,
        Echo(stamp, []),
        1200,
        False,
        True,
        None,
        [],
    )
    heartbeat_with_shard = Heartbeat(
        "east-1a",
        1764801000000,
        stamp,
        Echo(stamp, []),
        1200,
        False,
        True,
        names,
        updates,
    )
    owners = dict.fromkeys(["booking/east-1/0"], ("east-1a", 1764801000000))
    digest = Digest("east-1a", "east-1", "east", 1200, 1 << 60, owners, updates, True)
    two_updates = updates * 2
    digest_with_shard = Digest(
        "east-1a",
        "east-1",
        "east",
        1200,
        1 << 60,
        {**owners, "booking/east-1/1": owners["booking/east-1/0"]},
        two_updates,
        True,
    )
    old_text = _make_cell_text(4500, 58)
    new_text = old_text.replace("weight = 3", "weight = 4", 1)
    delta = make_delta(old_text, new_text)
    revision = CellRevision(1200, 1199, delta, "0" * 16, "0" * 20)
    claim = ClaimMade("booking/east-1/0", "east-1a", 1764801000000, 123456789)
    job = JobAccepted("east-1.a-1-1", "recount", "desk", "booking/east-1/0", 1, b"", 9)
    return {
        "heartbeat": len(encode(brief_heartbeat)),
        "heartbeat that names the admitted": len(encode(heartbeat)),
        "heartbeat, a shard more": len(encode(heartbeat_with_shard))
        - len(encode(heartbeat)),
        "tail": len(encode(LogTail("dc.east-1", 123456, stamp))),
        "digest": len(encode(digest)),
        "digest, a shard more": len(encode(digest_with_shard)) - len(encode(digest)),
        "claim record": len(encode_batch("east-1a", [claim])),
        "job record": len(encode_batch("east-1a", [job])),
        "end record": len(
            encode_batch("east-1a", [TasksEnded("east-1.a-1-1", [0], "done")])
        ),
        "change record": len(encode_batch("east-1a", [revision])),
        "whole cell file": len(old_text),
    }


async def _measure_idle_rates(peers: int, seconds: float) -> dict[str, float]:
    """Measure the rates of bytes, messages and log requests of idle daemons."""
    names = [f"east-1{chr(97 + i)}" for i in range(peers + 1)]
    world = World(_make_cell_text(4), names, SEED)
    await world.start_and_configure()
    sent = [sum(d.peers.traffic.bytes_sent.values()) for d in world.daemons.values()]
    messages_before = [
        sum(d.peers.traffic.messages_sent.values()) for d in world.daemons.values()
    ]
    reads, appends = world.log.reads, world.log.appends
    await asyncio.sleep(seconds)
    sent_after = [
        sum(d.peers.traffic.bytes_sent.values()) for d in world.daemons.values()
    ]
    messages_after = [
        sum(d.peers.traffic.messages_sent.values()) for d in world.daemons.values()
    ]
    return {
        "reader": (sent_after[0] - sent[0]) / seconds,
        "other": (sent_after[-1] - sent[-1]) / seconds if peers else 0.0,
        "messages": (messages_after[0] - messages_before[0]) / seconds,
        "reads": (world.log.reads - reads) / seconds,
        "appends": (world.log.appends - appends) / seconds,
    }


def measure_control_slopes() -> dict[str, Any]:
    """Measure how idle traffic grows with the peers in the data centre."""
    sizes = [1, 2, 4, 8, 16]
    found = {
        peers: run_on_paused_clock(_measure_idle_rates(peers, 60.0)) for peers in sizes
    }
    slopes: dict[str, Any] = {}
    for key in ("reader", "other", "messages", "reads", "appends"):
        points = [(peers, found[peers][key]) for peers in sizes]
        slopes[f"{key} at rest, by peer"] = _fit_slope(points, "a second")
    return slopes


async def _measure_digest_rate(seconds: float) -> float:
    """Return the digest bytes a second between two idle data centres."""
    names = [f"{centre}{x}" for centre in ("east-1", "west-1") for x in "abc"]
    hosts = [("e0", "r", "east-1"), ("w0", "r", "west-1")]
    world = World(CELL + pool("booking", hosts) + SERVICES, names, SEED)
    await world.start_and_configure()
    before = _count_digest_bytes(world)
    await asyncio.sleep(seconds)
    return (_count_digest_bytes(world) - before) / seconds


def _count_digest_bytes(world: World) -> int:
    """Count the digest bytes sent across regions, without relays inside a region."""
    total = 0
    for daemon in world.daemons.values():
        total += daemon.periodic.cross_dc_bytes
    return total


def measure_step_times() -> dict[str, Any]:
    """Measure the processor time of frequent steps, in us and as a ratio."""
    reference_s = _measure_reference_time()
    found: dict[str, Any] = {"unit of work us": round(reference_s * 1e6, 2)}
    heartbeat = Heartbeat("a", 1, 2.0, Echo(2.0, []), 3, False, True, ["b"] * 6, [])
    from siskinroad.membership import Membership
    from siskinroad.messages import decode

    members = Membership("z", 0, 0.0)
    echo = Echo(members.stamps.make(1.0), [])
    stamp = [0.0]

    def exchange_heartbeat() -> None:
        stamp[0] += 1.0
        msg = Heartbeat("a", 1, stamp[0], echo, 3, False, True, ["b"] * 6, [])
        members.record_heartbeat(decode(encode(msg)), stamp[0])

    steps = {"heartbeat sent and heard": exchange_heartbeat}
    scheduler = _make_scheduler_with_tasks(2000, "recount", 64)
    steps["scheduler tick, 64 hosts"] = lambda: scheduler.tick(1.0)
    for name, step in steps.items():
        step_time_s = _measure_cpu_time(step)
        found[name] = {
            "us": round(step_time_s * 1e6, 1),
            "ratio": round(step_time_s / reference_s, 2),
        }
    del heartbeat
    return found


def _measure_cpu_time(step: Callable[[], object], count: int = 2000) -> float:
    """Return the processor seconds of a call: the smallest mean of five series."""
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(count):
            step()
        best = min(best, (time.process_time() - began) / count)
    return best


def _measure_reference_time() -> float:
    """Return the processor seconds of the computation that ratios refer to."""
    return _measure_cpu_time(lambda: sum(range(1000)))


def measure() -> dict[str, Any]:
    return {
        "command": "python -m bench.slopes",
        "memory": measure_memory_slopes(),
        "messages": measure_message_sizes(),
        "control": measure_control_slopes(),
        "abroad": {
            "digest bytes a second, pair": round(
                run_on_paused_clock(_measure_digest_rate(60.0)), 2
            )
        },
        "times": measure_step_times(),
    }


def main() -> int:
    found = measure()
    OUTPUT_PATH.write_text(json.dumps(found, indent=1) + "\n")
    for part in ("memory", "control"):
        for name, row in found[part].items():
            line = f"{row['slope']:12.2f} {row['unit']}, base {row['base']:.1f}"
            print(f"{name:32}{line}, residual {row['residual']:.1%}")
    print(json.dumps({k: found[k] for k in ("messages", "abroad", "times")}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
