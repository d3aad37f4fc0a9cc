"""Replay of an overload through the real pool state, planner and admission.

A queue of events stands for the clock. Four accounts send short urgent jobs beside
long batch work; for six seconds all urgent callers send more, and one account sends
seven times its usual. Callers of refused jobs return after the time that they are told,
up to four times, as callers do.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from bench.event_queue import EventQueue
from bench.faulty_pool import POOL, FaultyPool
from bench.owner_model import OwnerModel
from siskinroad.cell import Owner
from siskinroad.resources import Resources
from siskinroad.work.admission import Admission, LoadRefusal
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.job import Job, JobState, make_job
from siskinroad.work.load_forecast import LoadForecast
from siskinroad.work.load_summary import USEFUL_TIME_FACTOR
from siskinroad.work.model import Configuration, JobSpec, Queue, Step
from siskinroad.work.records import Accepted
from siskinroad.work.submit_rates import SubmitRates

URGENT = Queue("urgent", "h", "/u/", POOL, 0, 3, 1.5, 0.4, 3.0, None)
BATCH = Queue("batch", "h", "/b/", POOL, 2, 3, 4.0, 3.0, 3.0, None)
# Urgent jobs a second that the others have to bear of each account.
WEIGHTS = {"large": 5.0, "middle": 4.0, "small": 3.0, "hot": 4.0}
HOT = "hot"
HOSTS = 20
# Usual urgent jobs a second of each account, and batch jobs a second of all.
USUAL_PER_S = 2.5
BATCH_PER_S = 0.6
# The overload: its times, and the factors of all accounts and of the hot one.
BURST = (6.0, 12.0)
BURST_FACTOR, HOT_FACTOR = 1.5, 7.0
END_OF_ARRIVALS_S = 24.0
END_S = 60.0
REFRESH_INTERVAL_S = 0.2
CALLER_RETRIES = 4


@dataclass(slots=True)
class _Request:
    """A caller's job and what became of it."""

    accepted: Accepted
    sent_at: float
    is_owed: bool
    refusals: int = 0


@dataclass(slots=True)
class ReplayResult:
    """Number of jobs by queue, account, whether they are owed, and outcome.

    The outcome is ``in_time``, ``late``, ``failed`` for jobs that ended when they were
    of no use any more or never, and ``refused``.
    """

    counts: Counter[tuple[str, str, bool, str]] = field(default_factory=Counter)

    def count(self, queue: str, *outcomes: str, is_owed: bool | None = True) -> int:
        """Return the number of a queue's jobs with one of the outcomes."""
        return sum(
            n
            for (name, _, owed, outcome), n in self.counts.items()
            if name == queue and outcome in outcomes and is_owed in (None, owed)
        )


class AdmissionReplay:
    """One overload, with admission or without.

    Parameters
    ----------
    seed : int
        Seed of the arrivals and of the hosts.
    has_admission : bool
        Whether jobs may be turned away.
    """

    def __init__(self, seed: int, *, has_admission: bool) -> None:
        self.events = EventQueue()
        self._rng = random.Random(f"arrivals/{seed}")
        self._has_admission = has_admission
        self.pool = FaultyPool(lambda: self.events.now, self.events.at, HOSTS, seed)
        accounts = [
            ClientAccount(Owner(name, weight, weight, Resources()), (name,))
            for name, weight in WEIGHTS.items()
        ]
        configuration = Configuration(
            1, (URGENT, BATCH), (POOL,), 1 << 18, make_directory(accounts)
        )
        self.owner = OwnerModel(self.events, self.pool, configuration)
        self.pool.on_list_change = self.owner.apply_host_list
        self.pool.on_end = self.owner.note_end
        self.pool_state = self.owner.pool_state
        self.forecast = LoadForecast(self.pool_state)
        self.admission = Admission(self.pool_state, self.forecast)
        self.pool_state.observe_result = self._note_result
        self.refusals: list[LoadRefusal] = []
        self._requests: dict[str, _Request] = {}
        self._ended: dict[str, float] = {}
        self._rates = SubmitRates()
        self.owner.begin_first_term()
        for account in WEIGHTS:
            self._schedule(URGENT, account)
        self._schedule(BATCH, "large")
        self._refresh()

    def run(self) -> ReplayResult:
        """Play all arrivals and what follows; return what callers got."""
        self.events.run(END_S)
        result = ReplayResult()
        for request in self._requests.values():
            accepted = request.accepted
            outcome = self._find_outcome(request)
            result.counts[
                accepted.queue, accepted.account, request.is_owed, outcome
            ] += 1
        return result

    # Arrivals

    def _rate(self, queue: Queue, account: str) -> float:
        if queue is BATCH:
            return BATCH_PER_S
        if not BURST[0] <= self.events.now < BURST[1]:
            return USUAL_PER_S
        return USUAL_PER_S * (HOT_FACTOR if account == HOT else BURST_FACTOR)

    def _schedule(self, queue: Queue, account: str) -> None:
        delay_s = self._rng.expovariate(self._rate(queue, account))
        self.events.at(delay_s, self._arrive, queue, account)

    def _arrive(self, queue: Queue, account: str) -> None:
        now = self.events.now
        if now > END_OF_ARRIVALS_S:
            return
        name = f"{len(self._requests):016x}"
        accepted = Accepted(
            name, queue.name, POOL, now, self._make_spec(queue), "dc1", account
        )
        is_owed = not self._rates.is_over_weight(account, WEIGHTS[account], now)
        if is_owed:
            self._rates.record(account, now)
        self.pool.specs[name] = accepted.spec
        self._requests[name] = _Request(accepted, now, is_owed)
        self._submit(name)
        self._schedule(queue, account)

    def _make_spec(self, queue: Queue) -> JobSpec:
        rng = self._rng
        if queue is BATCH:
            step = Step(rng.randint(5, 15), 8000, 8000, estimate=rng.uniform(2, 6))
            return JobSpec("batch", (step,))
        cpu_milli = rng.randint(3000, 8000)
        step = Step(rng.randint(5, 15), cpu_milli, 2000, estimate=rng.uniform(0.3, 0.9))
        return JobSpec("urgent", (step,))

    def _submit(self, name: str) -> None:
        request = self._requests[name]
        accepted, now = request.accepted, self.events.now
        if self._has_admission:
            decision = self.admission.decide(make_job(accepted), now)
            if isinstance(decision, LoadRefusal):
                self.refusals.append(decision)
                request.refusals += 1
                if request.refusals <= CALLER_RETRIES:
                    self.events.at(decision.retry_after_s, self._submit, name)
                return
        self.owner.submit(accepted)

    # Decisions and results

    def _refresh(self) -> None:
        now = self.events.now
        hosts = [h for h in self.pool_state.hosts.values() if h.is_usable(now)]
        headroom = self.owner.planner.urgent_headroom.compute_headroom(
            HOSTS * 32000, 0.0
        )
        self.forecast.refresh(
            hosts, headroom / 1000, {}, self.admission.over_weight_jobs, now, now
        )
        self.events.at(REFRESH_INTERVAL_S, self._refresh)

    def _note_result(self, job: Job, result: str) -> None:
        now = self.events.now
        if result in ("in_time", "late"):
            self._ended[job.id] = now
        is_complete = job.outcome == JobState.COMPLETE
        self.forecast.check.record_end(job.id, now, is_complete=is_complete)
        self.admission.note_ended(job.id)

    def _find_outcome(self, request: _Request) -> str:
        accepted = request.accepted
        if accepted.job not in self.pool_state.jobs:
            return "refused"
        ended_at = self._ended.get(accepted.job)
        if ended_at is None:
            return "failed"
        # Declared times count, so that both ways are judged by the same times.
        queue = self.pool_state.queues[accepted.queue]
        longest_s = sum(step.estimate for step in accepted.spec.steps)
        allowed_s = queue.slack * longest_s + queue.target
        took_s = ended_at - request.sent_at
        if took_s <= allowed_s:
            return "in_time"
        return "late" if took_s <= USEFUL_TIME_FACTOR * allowed_s else "failed"
