"""Steps that may use no host but those that a blocked large step withholds.

A large step that stays blocked withholds the same host in each planning pass. A step
that the advisor allows that host only would wait beside its free capacity for good.
"""

from siskinroad.work.planner import Planner
from tests.work.cell import job, step
from tests.work.test_planner import add_job, give_tickets, list_starts, make_pool_state

# Seconds for which a job of which nothing runs may wait beside free capacity.
WAIT_LIMIT_S = 3.0


def make_blocked_pool():
    """Return a pool whose first host is withheld for a large step, and its planner."""
    pool_state = make_pool_state(["i-0", "i-1"])
    planner = Planner(pool_state)
    add_job(pool_state, "long", job(step(2, cpu_milli=8000, spread=1, estimate=60.0)))
    for start in planner.plan(0.1, 0.1):
        host = pool_state.hosts[start.host]
        pool_state.apply_start_reply(host, start.run, None, 0.1)
    add_job(pool_state, "large", job(step(2, cpu_milli=30000, estimate=90.0)))
    return pool_state, planner


def plan_until(pool_state, planner, end, began=0.2):
    """Plan five times a second; return the starts with their times."""
    starts = []
    now = began
    while now < end:
        for host in pool_state.hosts.values():
            host.replied_at = host.reported_at = now
        starts += [(round(now, 1), *s) for s in list_starts(planner.plan(now, now))]
        now += 0.2
    return starts


def test_a_step_with_one_allowed_host_is_placed_there_although_it_is_withheld():
    pool_state, planner = make_blocked_pool()
    small = add_job(pool_state, "small", job(step(cpu_milli=4000)), "advised")
    small.steps[0, 0].advice.record_answer(["i-0", "i-1"], {"i-0": "t"}, 100.0)
    starts = plan_until(pool_state, planner, 0.2 + WAIT_LIMIT_S)
    assert [(job, host) for _, job, host in starts] == [("small", "i-0")]


def test_a_step_with_another_allowed_host_waits_for_that():
    pool_state, planner = make_blocked_pool()
    small = add_job(pool_state, "small", job(step(cpu_milli=28000)), "advised")
    give_tickets(small, "i-0", "i-1")
    assert plan_until(pool_state, planner, 0.2 + WAIT_LIMIT_S) == []


def test_a_withheld_host_is_kept_for_the_large_step_at_first():
    pool_state, planner = make_blocked_pool()
    small = add_job(pool_state, "small", job(step(cpu_milli=4000)), "advised")
    small.steps[0, 0].advice.record_answer(["i-0", "i-1"], {"i-0": "t"}, 100.0)
    assert plan_until(pool_state, planner, 1.0) == []
