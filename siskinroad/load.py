"""Load generator with open (Poisson) arrivals for a limited time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from siskinroad.errors import SiskinroadError
from siskinroad.http_client import HttpPool

__all__ = ["LoadResult", "percentile", "run_load", "send_load"]

# Largest number of concurrent connections to one daemon. A request beyond it fails at
# once as not sent and counts as an error.
MAX_CONNECTIONS_PER_DAEMON = 256
# Seconds after which a request without a complete response counts as an error.
REQUEST_TIMEOUT_S = 30.0
HTTP_OK = 200


@dataclass(slots=True)
class LoadResult:
    """Results of a load run.

    Latencies are in seconds, from sending a request to its complete response.
    Refusals are counted by HTTP status.
    """

    latencies_s: list[float] = field(default_factory=list)
    refused: dict[int, int] = field(default_factory=dict)
    error_count: int = 0

    def summarize(self) -> dict[str, float]:
        """Return counts and latencies in milliseconds by name."""
        return {
            "answered": len(self.latencies_s),
            "refused": sum(self.refused.values()),
            "errors": self.error_count,
            "median_ms": round(percentile(self.latencies_s, 0.5) * 1000, 2),
            "p99_ms": round(percentile(self.latencies_s, 0.99) * 1000, 2),
            "max_ms": round(max(self.latencies_s, default=0.0) * 1000, 2),
        }


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lie; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


async def send_load(
    addresses: list[str],
    service: str,
    rate: float,
    seconds: float,
    body_bytes: int,
    rng: random.Random,
    key_prefix: str = "",
) -> LoadResult:
    """Send requests with Poisson arrivals to the given daemons in rotation.

    Parameters
    ----------
    addresses : list of str
        Addresses of the daemons' caller listeners.
    rate : float
        Mean number of requests per second.
    seconds : float
        Time during which new requests are sent.
    body_bytes : int
        Size of each request body in bytes.
    key_prefix : str
        If not empty, each request carries an idempotency key of its own.
    """
    loop = asyncio.get_running_loop()
    pool = HttpPool(MAX_CONNECTIONS_PER_DAEMON)
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    end = loop.time() + seconds
    next_arrival = loop.time()
    number = 0
    while next_arrival < end:
        next_arrival += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, next_arrival - loop.time()))
        number += 1
        key = f"{key_prefix}{number}" if key_prefix else ""
        address = addresses[number % len(addresses)]
        task = loop.create_task(
            _send_one_request(pool, address, service, body_bytes, key, result)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    pool.close()
    return result


async def _send_one_request(
    pool: HttpPool,
    address: str,
    service: str,
    body_bytes: int,
    key: str,
    result: LoadResult,
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    headers = (("idempotency-key", key),) if key else ()
    try:
        response = await pool.request(
            address,
            "POST",
            f"/v1/services/{service}",
            body=b"x" * body_bytes,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
        )
    except SiskinroadError:
        result.error_count += 1
        return
    if response.status == HTTP_OK:
        result.latencies_s.append(loop.time() - started_at)
    else:
        result.refused[response.status] = result.refused.get(response.status, 0) + 1


def run_load(
    address: str, service: str, rate: float, seconds: float, body_bytes: int
) -> dict[str, float]:
    """Send a load to one daemon and return its counts and latencies by name."""
    rng = random.Random(0)
    result = asyncio.run(send_load([address], service, rate, seconds, body_bytes, rng))
    return result.summarize()
