"""Seeded burst of short urgent jobs beside one account that sends far too much.

A pool of 126 hosts runs large batches of lower priority and short urgent jobs of twenty
accounts, a few of them large, whose steps all need advice. For some seconds all urgent
jobs come more often, and one account sends several times its usual.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass

from bench.planning_load import POOL, LoadSizes, PlanningLoad
from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.model import (
    Advice,
    Configuration,
    HostEntry,
    JobSpec,
    Queue,
    Step,
)
from siskinroad.work.records import Accepted

URGENT = Queue(
    "urgent", "h", "/u/", POOL, 0, 4, 1.5, 0.4, 3.0, Advice(0.014, 0.00019, 2.0)
)
LASTING = Queue("lasting", "h", "/l/", POOL, 1, 2, 2.2, 2.5, 3.0, None)
BATCH = Queue("batch", "h", "/b/", POOL, 2, 2, 4.0, 3.0, 3.0, Advice(0.15, 0.0022, 2.0))
SHORT_CHANNELS, LONG_CHANNELS = 10, 19
# Multiple of its allowed time up to which a job is of use.
OF_USE_FACTOR = 3.0
NO_OTHER_LOAD = LoadSizes(
    urgent_per_s=0.0,
    advised_per_s=0.0,
    gangs_per_s=0.0,
    batch_per_s=0.0,
    backlog_jobs=0,
    lasting_tasks=0,
)


@dataclass(slots=True, frozen=True)
class BurstSizes:
    """Sizes of the load.

    Attributes
    ----------
    urgent_per_s, batch_per_s : float
        Jobs of all accounts in a usual second.
    burst_factor, hot_factor : float
        Multiple of the usual urgent jobs in the burst, and of one account's jobs.
    begin_s, burst_s, end_s : float
        Begin of the burst, its seconds, and the end of the load.
    weight_factor : float
        Jobs a second that are owed to an account, as a multiple of its usual.
    """

    urgent_per_s: float = 16.4
    batch_per_s: float = 1.43
    burst_factor: float = 1.9
    hot_factor: float = 7.0
    begin_s: float = 7.0
    burst_s: float = 4.0
    end_s: float = 17.0
    weight_factor: float = 1.5
    accounts: int = 20
    lasting_tasks: int = 150


class BurstLoad(PlanningLoad):
    """The pool under the burst; see the module.

    Attributes
    ----------
    owed : dict of str to bool
        Whether each job is within the rate owed to its account.
    """

    def __init__(self, sizes: BurstSizes | None = None, seed: int = 1) -> None:
        self.burst = sizes or BurstSizes()
        # Apart from the load's own, so that two orders get the same arrivals.
        self.arrivals = random.Random(seed)
        super().__init__(NO_OTHER_LOAD, seed)
        parts = [1 / (1 + i) for i in range(self.burst.accounts)]
        self.parts = {f"a{i:02}": x / sum(parts) for i, x in enumerate(parts)}
        self.hot_account = "a00"
        self.owed: dict[str, bool] = {}
        self.last_owed_at: dict[str, list[float]] = {}
        self.channels = ([0.0] * SHORT_CHANNELS, [0.0] * LONG_CHANNELS)
        self.pool_state.configure(self._make_configuration())
        self._add_lasting_work()
        for queue in ("urgent", "batch"):
            self._await_next(queue)

    def _make_configuration(self) -> Configuration:
        per_s = self.burst.urgent_per_s + self.burst.batch_per_s
        accounts = make_directory(
            ClientAccount(
                Owner(name, self._weight(part * per_s), 1.0, NOTHING), (f"key-{name}",)
            )
            for name, part in self.parts.items()
        )
        return Configuration(
            1, (URGENT, LASTING, BATCH), (POOL,), 1 << 18, accounts=accounts
        )

    def _weight(self, usual_per_s: float) -> float:
        return max(1.0, round(usual_per_s * self.burst.weight_factor))

    def _add_host(self, number: int) -> None:
        name = f"h{number:04}"
        capacity = Resources(32000, 128000, 0, 0)
        rack = f"r{number // 20}"
        entry = HostEntry(name, POOL, name, "dc1", False, capacity, frozenset(), rack)
        self._list_host(entry)
        self._at(self.rng.random() * 0.5, self._renew, name)

    def _add_lasting_work(self) -> None:
        spec = Step(
            self.burst.lasting_tasks,
            cpu_milli=9000,
            memory_mib=33000,
            long_running=True,
        )
        self._submit("lasting", JobSpec("p", (spec,)))

    def is_burst(self) -> bool:
        """Return whether the burst is on."""
        return 0 <= self.now - self.burst.begin_s < self.burst.burst_s

    def _rate(self, queue: str, account: str) -> float:
        """Return the jobs of a queue that an account submits per second now."""
        burst = self.burst
        rate = burst.urgent_per_s if queue == "urgent" else burst.batch_per_s
        rate *= self.parts[account]
        if not self.is_burst():
            return rate
        if account == self.hot_account:
            rate *= burst.hot_factor
        return rate * burst.burst_factor if queue == "urgent" else rate

    def _await_next(self, queue: str) -> None:
        total = sum(self._rate(queue, account) for account in self.parts)
        self._at(self.arrivals.expovariate(total), self._arrive_from, queue)

    def _arrive_from(self, queue: str) -> None:
        self._await_next(queue)
        if self.now >= self.burst.end_s:
            return
        names = list(self.parts)
        rates = [self._rate(queue, name) for name in names]
        (account,) = self.arrivals.choices(names, rates)
        spec = self._make_spec(queue)
        name = f"{queue}-{next(self.job_numbers)}"
        accepted = Accepted(name, queue, POOL, self.now, spec)
        job = self.pool_state.accept(accepted, self.now, self.now, is_new=True)
        job.account = account
        self.owed[name] = self._is_owed(account)
        self._request_plan()

    def _is_owed(self, account: str) -> bool:
        """Return whether the account has sent less than its weight in this second."""
        per_s = self.burst.urgent_per_s + self.burst.batch_per_s
        recent = self.last_owed_at.setdefault(account, [])
        recent[:] = [at for at in recent if at > self.now - 1.0]
        if len(recent) >= max(1.0, self._weight(self.parts[account] * per_s)):
            return False
        recent.append(self.now)
        return True

    def _make_spec(self, queue: str) -> JobSpec:
        rng = self.arrivals
        is_urgent = queue == "urgent"
        width = _draw(rng, 9.5, 0.8, 57) if is_urgent else _draw(rng, 18, 0.6, 88)
        step = Step(
            max(1, round(width)),
            cpu_milli=int(
                _draw(rng, 5300, 0.45, 16000)
                if is_urgent
                else _draw(rng, 9000, 0.4, 15000)
            ),
            memory_mib=int(
                _draw(rng, 15000, 0.6, 46000)
                if is_urgent
                else _draw(rng, 32000, 0.5, 64000)
            ),
            estimate=_draw(rng, 0.56, 0.5, 1.4)
            if is_urgent
            else _draw(rng, 5.6, 0.5, 14),
            checkpoints=not is_urgent,
            copies=is_urgent and rng.random() < 0.3,
        )
        count = rng.choice((1, 2)) if is_urgent else rng.choice((1, 2, 2, 3))
        steps = [step]
        for i in range(1, count):
            steps.append(
                Step(
                    step.count,
                    cpu_milli=step.cpu_milli,
                    memory_mib=step.memory_mib,
                    estimate=step.estimate,
                    checkpoints=step.checkpoints,
                    copies=step.copies,
                    after=(i - 1,),
                )
            )
        return JobSpec("p", tuple(steps))

    def count_results(self) -> Counter[tuple[str, str, str]]:
        """Return the jobs by queue, by whether they are owed, and by their result."""
        counts: Counter[tuple[str, str, str]] = Counter()
        for job in self.pool_state.jobs.values():
            if job.id not in self.owed:
                continue
            owed = "owed" if self.owed[job.id] else "not owed"
            counts[job.queue, owed, self.find_result(job.id)] += 1
        return counts

    def find_result(self, job_id: str) -> str:
        """Return whether a job is done in time, late, or not while it was of use."""
        job = self.pool_state.jobs[job_id]
        allowed_s = self.pool_state.queue_times(job.queue).allowed_time(job)
        took_s = (job.outcome_at if job.outcome else math.inf) - job.accepted_at
        if took_s <= allowed_s:
            return "in time"
        return "late" if took_s <= OF_USE_FACTOR * allowed_s else "never"


def _draw(rng: random.Random, mean: float, spread: float, largest: float) -> float:
    """Return a log-normal value with a mean, a relative spread and an upper bound."""
    sigma = math.sqrt(math.log(1 + spread**2))
    return min(largest, rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma))
