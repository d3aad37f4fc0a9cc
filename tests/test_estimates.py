import random

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.world import small_cell
from siskinroad.cell import parse_cell
from siskinroad.estimates import Estimates, Histogram

CELL = parse_cell(small_cell())
RECOUNT = CELL.workloads["recount"]
CAPACITY = CELL.pools["booking"].capacity


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.001, 1e6), min_size=1, max_size=60))
def test_quantile_is_at_most_one_bucket_too_high(values):
    histogram = Histogram()
    for value in values:
        histogram.add(value)
    top = histogram.quantile(1.0)
    assert max(values) * 0.999 <= top <= max(values) * 2**0.25 * 1.001


def test_unknown_workload_is_allocated_four_times_its_declared_memory():
    allocation = Estimates().allocation(RECOUNT, CAPACITY)
    assert allocation.memory_mib == 4 * RECOUNT.demand.memory_mib


def test_sizes_declared_ten_times_too_small_or_large_are_learned():
    for factor in (0.1, 10.0):
        estimates = Estimates()
        rng = random.Random(1)
        true_size = RECOUNT.demand.memory_mib * factor
        for _ in range(30):
            used = round(true_size * rng.uniform(0.8, 1.0))
            estimates.observe(RECOUNT, 3.0 * factor, 1000, used)
        allocation = estimates.allocation(RECOUNT, CAPACITY).memory_mib
        assert true_size <= allocation <= true_size * 1.4
        assert 3.0 * factor <= estimates.run_time(RECOUNT) <= 3.0 * factor * 1.2


def test_run_time_estimate_follows_a_change():
    estimates = Estimates()
    for seconds in [10.0] * 300 + [1.0] * 700:
        estimates.observe(RECOUNT, seconds, 1000, 100)
    assert estimates.run_time(RECOUNT) < 1.3
