"""More seeded fault sessions than CI runs: python -m bench.soak [RUNS] [SEED]."""

from __future__ import annotations

import logging
import random
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.faults import FAULTS, run_session

ALONE = {"host_leaves", "rolling_replacement"}
RUNS = 3000


def run_one(seed: int) -> tuple[int, list[str], list[str]]:
    """Run two to four random causes under one seed."""
    logging.disable(logging.CRITICAL)
    rng = random.Random(seed)
    names = sorted(set(FAULTS) - ALONE)
    chosen = rng.sample(names, rng.randrange(2, 5))
    if rng.random() < 0.1:
        chosen = [rng.choice(sorted(ALONE))]
    return seed, chosen, run_session(seed, chosen, rng.random() < 0.5)


def main(runs: int, first: int) -> int:
    """Print each run that breaks a promise; return the exit code."""
    broken = 0
    with ProcessPoolExecutor() as pool:
        for seed, names, faults in pool.map(
            run_one, range(first, first + runs), chunksize=8
        ):
            if faults:
                broken += 1
                print(f"seed {seed}: {'+'.join(names)}: {faults[:3]}", flush=True)
    print(f"{runs} runs, {broken} broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    sys.exit(main(*(numbers + [RUNS, 1][len(numbers) :])))
