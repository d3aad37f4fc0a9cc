"""Processor time of admission, by the number of waiting jobs.

    python -m bench.admission [JOBS...]

Prints the median over batches of the time of one decision, with reading the job, and
that of one summary of the load, which the owner makes at most five times a second.
"""

from __future__ import annotations

import statistics
import sys
import time

from bench.clock import run_on_paused_clock
from siskinroad.resources import Resources
from siskinroad.work.admission import Admission
from siskinroad.work.forecast_check import MIN_SAMPLES
from siskinroad.work.hosts import HostReport
from siskinroad.work.job import make_job
from siskinroad.work.load_forecast import LoadForecast
from siskinroad.work.model import Configuration, HostEntry, JobSpec, Queue, Step
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted

POOL = "pool"
HOSTS = 126
QUEUES = tuple(
    Queue(f"q{n}", "h", f"/{n}/", POOL, n, 3, 4.0, 3.0, 3.0, None) for n in range(3)
)
CASES = (10_000, 100_000)
DECISIONS = 2000
BATCH = 50
SUMMARIES = 3


def _make_pool_state(jobs: int) -> PoolState:
    """Return the state of a pool with waiting jobs of three queues."""
    pool_state = PoolState(POOL, 1)
    pool_state.is_settled = True
    pool_state.configure(Configuration(1, QUEUES, (POOL,), 1 << 18))
    capacity = Resources(32_000, 128_000, 0, 0)
    for number in range(HOSTS):
        entry = HostEntry(
            str(number), POOL, str(number), "dc", False, capacity, frozenset(), "r"
        )
        pool_state.add_or_update_host(entry, 0.0)
        host = pool_state.hosts[entry.name]
        host.is_stored = True
        report = HostReport(1, 1, (), ())
        pool_state.apply_report(host, report, host.token, 0.0, 0.0, 0.0)
    for number in range(jobs):
        pool_state.accept(_make_accepted(number), 0.0, 0.0, is_new=True)
    return pool_state


def _make_accepted(number: int) -> Accepted:
    steps = (Step(4, 2000, 1000, estimate=0.7), Step(4, 2000, 1000, estimate=0.7))
    queue = QUEUES[number % len(QUEUES)].name
    return Accepted(f"{number:016x}", queue, POOL, 0.0, JobSpec("payload", steps))


def measure(jobs: int) -> tuple[float, float]:
    """Return the seconds of one decision and of one summary."""
    pool_state = _make_pool_state(jobs)
    forecast = LoadForecast(pool_state)
    hosts = list(pool_state.hosts.values())
    began = time.process_time()
    for _ in range(SUMMARIES):
        forecast.refresh(hosts, 0.0, {}, (), 0.1, 0.1)
    summary_s = (time.process_time() - began) / SUMMARIES
    for queue in QUEUES:
        # Jobs are turned away only on a forecast that has proved right.
        forecast.check.accuracy(queue.name).samples = MIN_SAMPLES
    admission = Admission(pool_state, forecast)
    submitted = [_make_accepted(jobs + n) for n in range(DECISIONS)]
    took_s = []
    for first in range(0, DECISIONS, BATCH):
        began = time.process_time()
        for accepted in submitted[first : first + BATCH]:
            admission.decide(make_job(accepted), 0.1)
        took_s.append((time.process_time() - began) / BATCH)
    return statistics.median(took_s), summary_s


async def main() -> None:
    """Measure the cases and print a line for each."""
    for jobs in [int(text) for text in sys.argv[1:]] or CASES:
        decision_s, summary_s = measure(jobs)
        print(
            f"{jobs:7d} waiting jobs: a decision {decision_s * 1e6:6.1f} us, "
            f"a summary {summary_s * 1e3:7.1f} ms"
        )


if __name__ == "__main__":
    run_on_paused_clock(main())
