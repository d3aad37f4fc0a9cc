from hypothesis import given, settings
from hypothesis import strategies as st

from siskinroad.accounts import Accounts, apportion
from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 10**15), st.lists(st.floats(0, 1e6), min_size=1, max_size=60))
def test_apportioned_parts_sum_to_the_amount(amount, weights):
    assert sum(apportion(amount, weights)) == amount


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(1, 90_000), st.sampled_from("abc"), st.booleans()),
        max_size=40,
    )
)
def test_used_and_idle_amounts_sum_to_the_capacity(steps):
    owners = {n: Owner(n, w, i, NOTHING) for n, w, i in [("a", 3, 1), ("b", 1, 2)]}
    accounts = Accounts(owners, 0)
    accounts.set_capacity(Resources(320_000, 999_999, 7, 80), 0)
    held = dict.fromkeys("abc", 0)
    now = 0
    member = Resources(1000, 333, 1, 1)
    for passed, name, adds in steps:
        now += passed
        if adds and sum(held.values()) < 7:
            held[name] += 1
            accounts.change_allocation(name, member, 1, now)
        elif not adds and held[name]:
            held[name] -= 1
            accounts.change_allocation(name, member, -1, now)
        accounts.tick(now)
    accounts.apportion_span(now)
    totals = accounts.totals()
    for dim, size in enumerate((320_000, 999_999, 7)):
        spans = totals.values()
        used = sum(s.used.values[dim] for s in spans)
        idle = sum(s.idle.values[dim] for s in spans)
        assert used + idle == size * now
        lent = sum(s.lent.values[dim] for s in spans)
        assert lent == sum(s.borrowed.values[dim] for s in spans)
