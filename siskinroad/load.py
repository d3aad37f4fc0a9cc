"""A bounded load of requests with open arrivals, and its waiting times."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from siskinroad.errors import SiskinroadError
from siskinroad.http_client import HttpPool

__all__ = ["LoadResult", "percentile", "run_load", "send_load"]

MAX_IN_FLIGHT = 256
REQUEST_TIME = 30.0
OK = 200


@dataclass(slots=True)
class LoadResult:
    """What a load saw; times in seconds from the arrival to the whole answer."""

    times: list[float] = field(default_factory=list)
    refused: dict[int, int] = field(default_factory=dict)
    errors: int = 0

    def summary(self) -> dict[str, float]:
        """Return the figures by name."""
        return {
            "answered": len(self.times),
            "refused": sum(self.refused.values()),
            "errors": self.errors,
            "median_ms": round(percentile(self.times, 0.5) * 1000, 2),
            "p99_ms": round(percentile(self.times, 0.99) * 1000, 2),
            "max_ms": round(max(self.times, default=0.0) * 1000, 2),
        }


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of the values do not exceed; 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


async def send_load(
    to: list[str],
    service: str,
    rate: float,
    seconds: float,
    size: int,
    rng: random.Random,
    key_prefix: str = "",
) -> LoadResult:
    """Send requests at random instants to the given daemons in turn.

    Parameters
    ----------
    to : list of str
        Callers' addresses.
    rate : float
        Requests a second on average.
    size : int
        Bytes of each body.
    key_prefix : str
        With it, each request carries a key of its own.
    """
    loop = asyncio.get_running_loop()
    pool = HttpPool(MAX_IN_FLIGHT)
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    until = loop.time() + seconds
    due = loop.time()
    number = 0
    while due < until:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - loop.time()))
        number += 1
        key = f"{key_prefix}{number}" if key_prefix else ""
        address = to[number % len(to)]
        task = loop.create_task(_one(pool, address, service, size, key, result))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    pool.close()
    return result


async def _one(
    pool: HttpPool, to: str, service: str, size: int, key: str, result: LoadResult
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    headers = (("idempotency-key", key),) if key else ()
    try:
        answer = await pool.request(
            to,
            "POST",
            f"/v1/services/{service}",
            body=b"x" * size,
            headers=headers,
            limit=REQUEST_TIME,
        )
    except SiskinroadError:
        result.errors += 1
        return
    if answer.status == OK:
        result.times.append(loop.time() - began)
    else:
        result.refused[answer.status] = result.refused.get(answer.status, 0) + 1


def run_load(
    to: str, service: str, rate: float, seconds: float, size: int
) -> dict[str, float]:
    """Send a load to one daemon and return the figures by name."""
    rng = random.Random(0)
    result = asyncio.run(send_load([to], service, rate, seconds, size, rng))
    return result.summary()
