"""Tests that no task waits for long once the faults of a scenario are over.

Each scenario draws overlapping faults, work and an overload from its seed; see
``bench.waiting_scenario``. Then hosts, advisor and owner are well, and the pool is less
than half used.
"""

import pytest

from bench.waiting_work import run_seed


def check_seed(seed):
    result = run_seed(seed)
    assert not result.violations, result.describe()


@pytest.mark.parametrize("seed", [1, 2, 6, 7, 8, 9, 10, 11, 12, 13, 15, 16])
def test_a_waiting_task_is_placed_soon_after_the_end_of_overlapping_faults(seed):
    check_seed(seed)
