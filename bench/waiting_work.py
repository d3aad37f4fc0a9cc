"""Waiting tasks after seeded faults: each has to be placed within a bounded time.

``python -m bench.waiting_work [SEEDS] [FIRST]`` runs the scenarios of the seeds from
FIRST on and prints those in which a task waits for too long.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from bench.event_queue import EventQueue
from bench.faulty_pool import FaultyPool
from bench.owner_model import OwnerModel
from bench.waiting_check import CHECK_INTERVAL_S, WaitingCheck
from bench.waiting_scenario import (
    CALM_AT,
    CONFIGURATIONS,
    END_AT,
    Scenario,
    WorkSizes,
    draw_sizes,
)
from siskinroad.work.model import Configuration
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted

DEFAULT_SEEDS = 200
# Seconds for which a pool has no owner during a takeover.
TAKEOVER_S = 0.6
# Processes of a run by hand, on a machine that others use too.
MAX_PROCESSES = 3


@dataclass(slots=True)
class WaitingResult:
    """Result of a scenario: the tasks that waited for too long, and its faults."""

    seed: int
    sizes: WorkSizes
    violations: list[str]
    faults: list[str]
    worst_s: float

    def describe(self) -> str:
        """Return the violations and the faults before them."""
        faults = "; ".join(self.faults)
        return "\n".join(
            [f"seed {self.seed}, {self.sizes}: {faults}", *self.violations]
        )


class ModelledPool:
    """Pool whose successive owners are models without a loop."""

    def __init__(self, seed: int, sizes: WorkSizes) -> None:
        self.events = EventQueue()
        self.pool = FaultyPool(
            lambda: self.events.now, self.events.at, sizes.hosts, seed
        )
        self.configuration = CONFIGURATIONS[0]
        self.owner = OwnerModel(self.events, self.pool, self.configuration)
        self.accepted: dict[str, Accepted] = {}
        self.pool.on_list_change = lambda: self.owner.apply_host_list()
        self.pool.on_end = lambda name: self.owner.note_end(name)
        self.owner.begin_first_term()

    def submit(self, accepted: Accepted) -> None:
        """Accept a job."""
        self.accepted[accepted.job] = accepted
        if self.owner.is_active:
            self.owner.submit(accepted)

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        self.owner.cancel(job)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.owner.configure(configuration)

    def take_over(self) -> None:
        """Let the owner die, and another one take the pool over."""
        self.owner.is_active = False
        self.events.at(TAKEOVER_S, self._begin_next_term)

    def _begin_next_term(self) -> None:
        former = self.owner
        term = former.pool_state.term + 1
        self.owner = OwnerModel(self.events, self.pool, self.configuration, term)
        self.owner.take_over(former, self.accepted)

    def find_pool_state(self) -> PoolState | None:
        """Return the state of the pool; None while it has no owner."""
        return self.owner.pool_state if self.owner.is_active else None


def run_seed(seed: int, sizes: WorkSizes | None = None) -> WaitingResult:
    """Run one scenario; return the tasks that waited for too long."""
    sizes = sizes or draw_sizes(seed)
    modelled = ModelledPool(seed, sizes)
    events = modelled.events
    scenario = Scenario(seed, sizes, modelled.pool, modelled, events.at)
    scenario.begin()
    check = WaitingCheck(
        modelled.pool, modelled.find_pool_state, scenario.began_at + CALM_AT
    )
    while scenario.now < END_AT:
        events.run(CHECK_INTERVAL_S)
        check.check(events.now)
    violations = list(check.violations.values())
    return WaitingResult(seed, sizes, violations, scenario.faults, check.worst_s)


def _run_quietly(run: Callable[[int], WaitingResult], seed: int) -> WaitingResult:
    logging.disable(logging.CRITICAL)
    return run(seed)


def main(run: Callable[[int], WaitingResult], arguments: list[str]) -> int:
    """Print each scenario in which a task waits for too long; return the exit code."""
    given = [int(word) for word in arguments]
    seeds, first_seed = given + [DEFAULT_SEEDS, 0][len(given) :]
    failed = []
    processes = min(MAX_PROCESSES, os.cpu_count() or 1)
    with ProcessPoolExecutor(processes) as executor:
        chosen = range(first_seed, first_seed + seeds)
        for result in executor.map(partial(_run_quietly, run), chosen):
            if result.violations:
                failed.append(result.seed)
                print(result.describe(), flush=True)
    print(f"{seeds} seeds, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(run_seed, sys.argv[1:]))
