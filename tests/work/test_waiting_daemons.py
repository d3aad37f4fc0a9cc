"""Tests that no task waits for long after seeded faults, with real daemons."""

import pytest

from bench.waiting_daemons import run_daemon_seed


def check_seed(seed):
    result = run_daemon_seed(seed)
    assert not result.violations, result.describe()


@pytest.mark.parametrize("seed", [5, 10, 12, 15, 18])
def test_daemons_place_a_waiting_task_soon_after_the_end_of_overlapping_faults(seed):
    check_seed(seed)


@pytest.mark.parametrize("seed", [7, 150])
def test_daemons_ask_again_about_a_step_whose_tickets_were_all_rejected(seed):
    check_seed(seed)


@pytest.mark.parametrize("seed", [20, 82])
def test_daemons_ask_about_other_hosts_beside_one_at_the_spread_limit(seed):
    check_seed(seed)
