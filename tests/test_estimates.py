import random

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.world import small_cell
from siskinroad.cell import parse_cell
from siskinroad.estimates import Estimates, Histogram

CELL = parse_cell(small_cell())
RECOUNT = CELL.workloads["recount"]
ROOM = CELL.pools["booking"].capacity


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.001, 1e6), min_size=1, max_size=60))
def test_a_quantile_is_at_most_one_bucket_high(values):
    histogram = Histogram()
    for value in values:
        histogram.add(value)
    top = histogram.quantile(1.0)
    assert max(values) * 0.999 <= top <= max(values) * 2**0.25 * 1.001


def test_an_unknown_workload_holds_four_times_its_declaration():
    reserve = Estimates().reserve(RECOUNT, ROOM)
    assert reserve.memory_mib == 4 * RECOUNT.demand.memory_mib


def test_sizes_off_ten_times_either_way_are_learned():
    for factor in (0.1, 10.0):
        estimates = Estimates()
        rng = random.Random(1)
        true = RECOUNT.demand.memory_mib * factor
        for _ in range(30):
            used = round(true * rng.uniform(0.8, 1.0))
            estimates.observe(RECOUNT, 3.0 * factor, 1000, used)
        reserve = estimates.reserve(RECOUNT, ROOM).memory_mib
        assert true <= reserve <= true * 1.4
        assert 3.0 * factor <= estimates.run_time(RECOUNT) <= 3.0 * factor * 1.2


def test_a_change_is_followed():
    estimates = Estimates()
    for seconds in [10.0] * 300 + [1.0] * 700:
        estimates.observe(RECOUNT, seconds, 1000, 100)
    assert estimates.run_time(RECOUNT) < 1.3
