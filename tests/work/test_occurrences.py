"""Tests of jobs of many occurrences."""

from siskinroad.work.job_table import MAX_OPENED_AT_ONCE
from tests.work.cell import job, step
from tests.work.test_planner import add_job, make_pool_state


def test_occurrences_that_are_all_due_are_opened_in_parts():
    # Opening all at once would hold up the owner of the pool, and its leases.
    pool_state = make_pool_state(["i-0"])
    spec = job(step(), occurrences=1_000_000, first=1.0, interval=0.0)
    repeated = add_job(pool_state, "repeated", spec)
    opened = repeated.opened_occurrences
    for number in range(1, 4):
        pool_state.open_due(2.0, 2.0, 0.1)
        assert repeated.opened_occurrences <= opened + number * MAX_OPENED_AT_ONCE
    assert repeated.opened_occurrences >= 3 * MAX_OPENED_AT_ONCE
