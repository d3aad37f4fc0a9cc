"""Seeded scenarios of work and overlapping faults on one pool, then a calm."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from bench.faulty_hosts import FaultyHost, HostFault
from bench.faulty_pool import CPU_MILLI, LABEL, POOL, FaultyPool
from siskinroad.work.hosts import EndKind
from siskinroad.work.model import Advice, Configuration, JobSpec, Queue, Step
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted

URGENT = Queue("urgent", "h", "/u/", POOL, 0, 3, 1.5, 0.4, 3.0, None)
SERVING = Queue(
    "serving", "h", "/s/", POOL, 1, 3, 1.5, 0.4, 3.0, Advice(0.03, 0.002, 2.0)
)
LASTING = Queue("lasting", "h", "/l/", POOL, 1, 3, 1.5, 0.4, 3.0, None)
GANGS = Queue("gangs", "h", "/g/", POOL, 2, 3, 3.0, 2.0, 3.0, Advice(0.1, 0.004, 3.0))
BATCH = Queue("batch", "h", "/b/", POOL, 2, 3, 4.0, 3.0, 3.0, None)
QUEUES = (URGENT, SERVING, LASTING, GANGS, BATCH)
CONFIGURATIONS = (
    Configuration(1, QUEUES, (POOL,), 1 << 18),
    Configuration(
        2, tuple(replace(queue, timeout=2.0) for queue in QUEUES), (POOL,), 1 << 18
    ),
)

# Times in seconds of the faults: none begins before the first, and none lasts beyond
# the second.
FAULTS_BEGIN_AT = 4.0
FAULTS_END_AT = 18.0
# Seconds after which every lease of a host that has left is over.
LEASE_LIMIT_S = 4.4
CALM_AT = FAULTS_END_AT + LEASE_LIMIT_S
END_AT = CALM_AT + 20.0
# Seconds between two ends of long-running tasks, and between two short jobs, after the
# faults.
CALM_END_INTERVAL_S = 2.3
CALM_JOB_INTERVAL_S = 1.9
# Mean seconds between two faults, and the longest fault of a host.
FAULT_INTERVAL_S = 0.5
MAX_FAULT_S = 6.0
# Seconds of processor time, per processor of the pool, that overload adds.
OVERLOAD_S = 7.0
# Largest fraction of the hosts that one fault may concern.
MAX_FAULTY_FRACTION = 0.7
# Fractions of the hosts that the advisor allows, and the number of hosts below which
# it does not allow few.
FEW_ALLOWED = 0.1
MOST_ALLOWED = 0.7
SMALL_POOL = 10
POOL_SIZES = (3, 20, 3, 20, 130)


class Owner(Protocol):
    """Owner of the pool in a scenario."""

    def submit(self, accepted: Accepted) -> None:
        """Accept a job."""

    def cancel(self, job: str) -> None:
        """Cancel a job."""

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""

    def take_over(self) -> None:
        """Let another owner take the pool over."""

    def find_pool_state(self) -> PoolState | None:
        """Return the state of the pool; None while it has no owner."""


@dataclass(slots=True, frozen=True)
class WorkSizes:
    """Work of a scenario.

    Attributes
    ----------
    hosts : int
        Number of hosts.
    has_overload : bool
        Whether more work is submitted during the faults than the pool can do.
    """

    hosts: int
    has_overload: bool


def draw_sizes(seed: int) -> WorkSizes:
    """Return the sizes of a seed's scenario."""
    rng = random.Random(f"sizes/{seed}")
    return WorkSizes(POOL_SIZES[seed % len(POOL_SIZES)], rng.random() < 0.5)


class Scenario:
    """Work and faults of one seed.

    Parameters
    ----------
    at : callable
        Calls an action after a delay in seconds.
    """

    def __init__(
        self,
        seed: int,
        sizes: WorkSizes,
        pool: FaultyPool,
        owner: Owner,
        at: Callable,
    ) -> None:
        self.sizes = sizes
        self.pool = pool
        self.owner = owner
        self.at = at
        self.rng = random.Random(f"scenario/{seed}")
        self.faults: list[str] = []
        self.began_at = pool.now()
        self._job_count = 0
        self._lasting_jobs: list[str] = []
        self._has_taken_over = False

    @property
    def now(self) -> float:
        """Seconds since the scenario began."""
        return self.pool.now() - self.began_at

    def begin(self) -> None:
        """Submit the long-running jobs, and schedule all else."""
        for _ in range(self.rng.randrange(2, 6)):
            self.at(self.rng.random(), self._submit_lasting)
        self.at(1.0, self._submit_short)
        if self.sizes.has_overload:
            delay_s = self.rng.uniform(FAULTS_BEGIN_AT, FAULTS_BEGIN_AT + 4.0)
            self.at(delay_s, self._submit_overload)
        self.at(FAULTS_BEGIN_AT, self._cause_next)
        self.at(CALM_AT, self._end_lasting_in_calm)
        self.at(0.5, self._repeat_host_list)

    def _repeat_host_list(self) -> None:
        """Pass the list on, as each heartbeat of a host does."""
        self.pool.on_list_change()
        self.at(0.5, self._repeat_host_list)

    # Work

    def _submit(self, queue: Queue, step: Step) -> str:
        name = f"{queue.name}-{self._job_count}"
        self._job_count += 1
        spec = JobSpec("p", (step,))
        self.pool.specs[name] = spec
        advisor = self.pool.advisor
        if queue.advice is not None:
            advisor.valid_s[name] = queue.advice.valid_s
            few = MOST_ALLOWED if self.sizes.hosts < SMALL_POOL else FEW_ALLOWED
            fraction = self.rng.choice((few, MOST_ALLOWED, 1.0))
            advisor.allowed_fraction[name] = fraction
        self.owner.submit(Accepted(name, queue.name, POOL, self.pool.now(), spec))
        return name

    def _submit_lasting(self) -> None:
        rng = self.rng
        step = Step(
            rng.randrange(1, 4),
            cpu_milli=rng.choice((500, 2000, 4000)),
            memory_mib=1000,
            estimate=rng.choice((0.0, 1.0)),
            spread=rng.choice((0, 1, 2)),
            label=rng.choice(("", LABEL)),
            long_running=True,
        )
        self._lasting_jobs.append(self._submit(rng.choice((SERVING, LASTING)), step))

    def _submit_short(self) -> None:
        rng = self.rng
        queue = rng.choice(QUEUES)
        step = Step(
            rng.randrange(1, 4),
            cpu_milli=rng.choice((500, 2000)),
            memory_mib=500,
            estimate=rng.uniform(0.2, 1.0),
            gang=queue is GANGS,
            copies=queue is not GANGS and rng.random() < 0.3,
            label=rng.choice(("", "", LABEL)),
        )
        self._submit(queue, step)
        is_calm = self.now > FAULTS_END_AT
        mean_s = CALM_JOB_INTERVAL_S if is_calm else CALM_JOB_INTERVAL_S / 6
        self.at(rng.expovariate(1 / mean_s), self._submit_short)

    def _submit_overload(self) -> None:
        """Submit a backlog of tasks of half a host's size at most."""
        rng = self.rng
        queue = rng.choice((URGENT, SERVING, BATCH))
        left = self.sizes.hosts * CPU_MILLI * OVERLOAD_S
        while left > 0:
            cpu_milli, seconds = rng.choice((4000, 8000, 16000)), rng.uniform(0.5, 2)
            step = Step(
                30, cpu_milli=cpu_milli, memory_mib=1000, estimate=seconds, copies=False
            )
            self._submit(queue, step)
            left -= step.count * cpu_milli * seconds

    def _end_lasting_in_calm(self) -> None:
        """End a long-running run by its own fault, again and again."""
        self._end_lasting_run()
        self.at(CALM_END_INTERVAL_S, self._end_lasting_in_calm)

    def _end_lasting_run(self) -> None:
        runs = [
            (host, run)
            for host in self.pool.hosts.values()
            for run in host.runs.values()
            if run.spec.long_running
        ]
        if runs:
            host, run = self.rng.choice(runs)
            kind = self.rng.choice((EndKind.FAILED, EndKind.LEASE_EXPIRED))
            self.pool.end(host, run.task, run.run, kind)

    # Faults

    def _cause_next(self) -> None:
        if self.now >= FAULTS_END_AT:
            return
        self._cause_fault()
        self.at(self.rng.expovariate(1 / FAULT_INTERVAL_S), self._cause_next)

    def _cause_fault(self) -> None:
        actions = [
            *([self._disturb_hosts] * 6),
            self._restart_host,
            self._move_host,
            self._replace_host,
            self._drain_host,
            self._unlist_host,
            self._fail_advisor,
            self._slow_advisor,
            self._end_lasting_run,
            self._end_lasting_run,
            self._cancel_job,
            self._configure,
            self._take_over,
        ]
        action = self.rng.choice(actions)
        self.faults.append(f"{self.now:.1f} {action.__name__.strip('_')}")
        action()

    def _draw_duration(self, longest_s: float = MAX_FAULT_S) -> float:
        left_s = FAULTS_END_AT - self.now
        return min(left_s, self.rng.uniform(0.2, longest_s))

    def _choose_host(self) -> FaultyHost | None:
        hosts = [h for h in self.pool.hosts.values() if not h.entry.draining]
        return self.rng.choice(hosts) if hosts else None

    def _disturb_hosts(self) -> None:
        rng = self.rng
        fault = rng.choice(list(HostFault))
        hosts = list(self.pool.hosts.values())
        most = max(1, int(len(hosts) * MAX_FAULTY_FRACTION))
        until = self.pool.now() + self._draw_duration()
        self.faults[-1] += f": {fault.value} until {until - self.began_at:.1f}"
        for host in rng.sample(hosts, min(len(hosts), rng.randrange(1, most + 1))):
            host.faults[fault] = max(until, host.faults.get(fault, 0.0))

    def _restart_host(self) -> None:
        host = self._choose_host()
        if host is not None:
            self.pool.crash(host.entry.name)
            self.at(self._draw_duration(3.0), self.pool.begin, host.entry)

    def _move_host(self) -> None:
        """Restart a host under its name at another address."""
        host = self._choose_host()
        if host is not None:
            name = host.entry.name
            address = f"{name}-at-{self.now:.3f}"
            self.pool.crash(name)
            entry = replace(host.entry, address=address)
            self.at(self._draw_duration(3.0), self.pool.begin, entry)

    def _replace_host(self) -> None:
        """Let another host serve at an address, of which the list tells later."""
        host = self._choose_host()
        if host is None:
            return
        name = host.entry.name
        self.pool.crash(name)
        self.at(self._draw_duration(2.0), self.pool.add_host, host.entry.address)
        self.at(self._draw_duration(3.0), self.pool.unlist_host, name)

    def _drain_host(self) -> None:
        host = self._choose_host()
        if host is None or FAULTS_END_AT - self.now < 1.0:
            return
        name = host.entry.name
        stay_s = self.rng.uniform(0.3, 0.7) * (FAULTS_END_AT - self.now)
        self.pool.drain(name, stay_s)
        self.at(stay_s + 0.1, self._leave, host)

    def _leave(self, host: FaultyHost) -> None:
        """End a drained host; it comes back under its name, or another one does."""
        if host.is_gone:
            return
        name = host.entry.name
        self.pool.crash(name)
        self.pool.unlist_host(name)
        entry = replace(host.entry, draining=False, min_stay_s=0.0)
        delay_s = self._draw_duration(3.0)
        if self.rng.random() < 0.5:
            self.at(delay_s, self.pool.begin, entry)
        else:
            self.at(delay_s, self.pool.add_host)

    def _unlist_host(self) -> None:
        """Take a host that lives off the list for a while."""
        host = self._choose_host()
        if host is not None:
            self.pool.unlist_host(host.entry.name)
            self.at(self._draw_duration(), self._list_again, host)

    def _list_again(self, host: FaultyHost) -> None:
        if not host.is_gone:
            self.pool.list_host(host.entry)

    def _fail_advisor(self) -> None:
        self.pool.advisor.failing_until = self.pool.now() + self._draw_duration(3.0)

    def _slow_advisor(self) -> None:
        self.pool.advisor.slow_until = self.pool.now() + self._draw_duration(3.0)

    def _cancel_job(self) -> None:
        pool_state = self.owner.find_pool_state()
        if pool_state is None:
            return
        names = [job.id for job in pool_state.jobs.values() if not job.is_closed]
        kept = self._lasting_jobs[0] if self._lasting_jobs else ""
        names = sorted(name for name in names if name != kept)
        if names:
            self.owner.cancel(self.rng.choice(names))

    def _configure(self) -> None:
        self.owner.configure(self.rng.choice(CONFIGURATIONS))

    def _take_over(self) -> None:
        if not self._has_taken_over and FAULTS_END_AT - self.now > 1.0:
            self._has_taken_over = True
            self.owner.take_over()
