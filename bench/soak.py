"""Soak test with many more seeded fault sessions than CI runs.

``python -m bench.soak [RUNS] [SEED]`` runs the seeds from SEED on and prints those
whose session violates an invariant.
"""

from __future__ import annotations

import logging
import random
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.faults import FAULTS, run_session

# Faults that do nothing if other faults are injected
SOLO_FAULTS = {"host_leaves", "rolling_replacement"}
# Number of sessions if the command gives none
DEFAULT_RUNS = 3000


def run_seeded_session(seed: int) -> tuple[int, list[str], list[str]]:
    """Run two to four random faults, or one solo fault, under one seed.

    Return the seed, the faults and a message for each violated invariant.
    """
    logging.disable(logging.CRITICAL)
    rng = random.Random(seed)
    candidates = sorted(set(FAULTS) - SOLO_FAULTS)
    chosen = rng.sample(candidates, rng.randrange(2, 5))
    if rng.random() < 0.1:
        chosen = [rng.choice(sorted(SOLO_FAULTS))]
    return seed, chosen, run_session(seed, chosen, rng.random() < 0.5)


def main(runs: int, first_seed: int) -> int:
    """Print each session that violates an invariant; return the exit code."""
    violating_count = 0
    with ProcessPoolExecutor() as pool:
        for seed, faults, violations in pool.map(
            run_seeded_session, range(first_seed, first_seed + runs), chunksize=8
        ):
            if violations:
                violating_count += 1
                print(f"seed {seed}: {'+'.join(faults)}: {violations[:3]}", flush=True)
    print(f"{runs} sessions, {violating_count} violated an invariant")
    return 1 if violating_count else 0


if __name__ == "__main__":
    arguments = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(arguments + [DEFAULT_RUNS, 1][len(arguments) :])))
