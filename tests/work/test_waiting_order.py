"""Tests of the order of waiting steps, of owed rates, and of the turns of a queue."""

import random
from dataclasses import replace

import pytest

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING
from siskinroad.work.account_rates import AccountRates
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.floor_turns import LONGEST_TURN_S, MIN_WAIT_S, FloorTurns
from siskinroad.work.planner import Planner
from siskinroad.work.wait_reasons import WaitExaminer, WaitReason
from siskinroad.work.waiting_order import Lateness, Place, WaitingOrder, find_place
from tests.work.cell import CONFIGURATION, job, step
from tests.work.test_planner import add_job, make_pool_state

POOL_CPU_MILLI = 32000.0


def make_accounts(**weights):
    return make_directory(
        ClientAccount(Owner(name, weight, 1.0, NOTHING), (f"key-{name}",))
        for name, weight in weights.items()
    )


def make_shared_pool(**weights):
    """Return a pool of one host whose configuration has client accounts."""
    pool_state = make_pool_state(["i-0"])
    accounts = make_accounts(**(weights or {"big": 5.0, "small": 5.0}))
    pool_state.configure(replace(CONFIGURATION, accounts=accounts))
    return pool_state


def submit(pool_state, name, account, queue="fast", at=0.0, **fields):
    accepted = add_job(pool_state, name, job(step(1, **fields)), queue, at=at)
    accepted.account = account
    return accepted


def rank(pool_state, now=0.1, order=None):
    steps = list(pool_state.ready.values())
    order = order or WaitingOrder(pool_state)
    return order.rank(steps, now, now, POOL_CPU_MILLI)


def list_jobs(ranked):
    return [each.step.job.id for each in ranked]


def rank_as_before(pool_state, steps, now):
    """Return the steps in the order that the planner had without client accounts."""
    keyed = []
    for i, each in enumerate(steps):
        times = pool_state.queue_times(each.job.queue)
        allowed_s = times.allowed_time(each.job)
        base = each.job.base_time(each.occurrence)
        if each.spec.long_running:
            base = max(base, each.waiting_since)
        remaining_s = each.job.remaining_times[each.number] * times.run_time_ratio
        end = now + 0.8 * remaining_s
        target = base + allowed_s
        lateness = (end > target) + (end >= target + 2 * allowed_s)
        priority = pool_state.queues[each.job.queue].priority
        level = 0 if each.spec.long_running else lateness
        keyed.append((priority, level, target, i, lateness))
    return [(steps[i], lateness) for *_, i, lateness in sorted(keyed)]


@pytest.mark.parametrize("seed", range(10))
def test_without_accounts_the_order_is_the_one_by_priority_lateness_and_time(seed):
    rng = random.Random(seed)
    pool_state = make_pool_state(["i-0"])
    for number in range(60):
        fields = {"estimate": rng.uniform(0.2, 6.0), "long_running": rng.random() < 0.1}
        steps = [step(rng.randrange(1, 4), **fields)]
        queue = rng.choice(("fast", "slow", "advised"))
        added = add_job(pool_state, f"{number}", job(*steps), queue, rng.uniform(0, 30))
        added.account = rng.choice(("", "big", "small"))
    steps = list(pool_state.ready.values())
    ranked = rank(pool_state, 30.0)
    found = [(each.step, each.lateness) for each in ranked]
    assert found == rank_as_before(pool_state, steps, 30.0)
    assert len({lateness for _, lateness in found}) == 3


def test_jobs_beyond_the_rate_of_an_account_follow_late_ones_of_others():
    pool_state = make_shared_pool(big=2.0, small=5.0)
    for number in range(4):
        submit(pool_state, f"big-{number}", "big", at=3.0 + number / 100)
    submit(pool_state, "late", "small", at=0.0)
    submit(pool_state, "new", "small", at=3.09)
    order = list_jobs(rank(pool_state, 3.1))
    assert order == ["big-0", "big-1", "new", "late", "big-2", "big-3"]


def test_urgent_work_of_no_use_any_more_follows_other_work_in_time():
    pool_state = make_shared_pool()
    submit(pool_state, "worthless", "small", at=-30.0)
    submit(pool_state, "paper", "small", "slow")
    assert list_jobs(rank(pool_state)) == ["paper", "worthless"]


def test_urgent_work_that_is_late_but_of_use_keeps_its_priority():
    pool_state = make_shared_pool()
    submit(pool_state, "late", "small", at=-2.0)
    submit(pool_state, "paper", "small", "slow")
    ranked = rank(pool_state)
    assert list_jobs(ranked) == ["late", "paper"]
    assert ranked[0].lateness is Lateness.LATE


def test_of_late_steps_the_shortest_goes_first():
    pool_state = make_shared_pool()
    submit(pool_state, "long", "small", at=-5.0, estimate=2.0)
    submit(pool_state, "short", "small", at=-1.0, estimate=0.5)
    assert list_jobs(rank(pool_state)) == ["short", "long"]


def test_steps_of_an_account_over_its_share_follow_others_that_are_as_late():
    pool_state = make_shared_pool(big=5.0, small=5.0, third=5.0)
    submit(pool_state, "big", "big", at=-0.1)
    submit(pool_state, "small", "small")
    submit(pool_state, "third", "third")
    submit(pool_state, "late", "small", at=-2.0)
    uses = {"big": 0.9, "small": 0.1, "third": 0.1}
    order = WaitingOrder(pool_state, lambda account, now: uses[account])
    ranked = rank(pool_state, order=order)
    assert list_jobs(ranked) == ["small", "third", "big", "late"]
    assert find_place(ranked[2]) is Place.OVER_SHARE


def test_a_step_behind_others_gets_its_turn_in_the_end():
    # New steps in time come all the while.
    pool_state = make_shared_pool()
    submit(pool_state, "worthless", "small", at=-30.0)
    order = WaitingOrder(pool_state)
    first = []
    for tick in range(int(2 * MIN_WAIT_S)):
        now = 0.5 * (tick + 1)
        submit(pool_state, f"new-{tick}", "small", at=now)
        first.append(list_jobs(rank(pool_state, now, order))[0])
    assert "worthless" in first[-2:]
    assert "worthless" not in first[:-2]


def test_turns_of_a_queue_take_a_small_part_of_the_pool():
    pool_state = make_shared_pool()
    for number in range(30):
        submit(pool_state, f"{number}", "small", cpu_milli=8000, estimate=2.0)
    turns = FloorTurns()
    planned_cpu_s = 0.0
    waiting = list(pool_state.ready.values())
    for tick in range(1200):
        now = MIN_WAIT_S + tick / 10
        for key in turns.choose(waiting, now, POOL_CPU_MILLI):
            waiting = [each for each in waiting if each.key != key]
            planned_cpu_s += 16.0
    assert 1 <= planned_cpu_s / 16.0 < 30
    assert planned_cpu_s <= 0.02 * 32 * 120 + 16.0


def test_a_turn_passes_on_to_the_next_step_if_no_host_fits():
    pool_state = make_shared_pool()
    for name in ("first", "second"):
        submit(pool_state, name, "small", cpu_milli=1)
    steps = list(pool_state.ready.values())
    turns = FloorTurns()
    assert turns.choose(steps, MIN_WAIT_S, POOL_CPU_MILLI) == {steps[0].key}
    later = MIN_WAIT_S + LONGEST_TURN_S
    assert turns.choose(steps, later, POOL_CPU_MILLI) == {steps[1].key}


def count_owed(per_s, weight, seconds=10):
    """Return the jobs within the rate of an account that sends evenly."""
    pool_state = make_shared_pool()
    for number in range(int(per_s * seconds)):
        submit(pool_state, f"{number}", "big", at=number / per_s)
    jobs = list(pool_state.jobs.values())
    random.Random(1).shuffle(jobs)
    AccountRates().judge(jobs, make_accounts(big=weight).owners())
    return sum(not each.is_excess for each in jobs)


def test_an_account_that_sends_too_much_still_gets_its_rate():
    assert count_owed(35.0, weight=5.0) == pytest.approx(50, abs=1)


def test_an_account_within_its_rate_has_no_job_beyond_it():
    assert count_owed(4.9, weight=5.0) == 49


def test_an_unknown_account_and_one_without_weight_have_no_rate():
    pool_state = make_shared_pool()
    for number in range(9):
        submit(pool_state, f"u-{number}", "unknown")
        submit(pool_state, f"w-{number}", "weightless")
    jobs = list(pool_state.jobs.values())
    AccountRates().judge(jobs, make_accounts(weightless=0.0).owners())
    assert not any(each.is_excess for each in jobs)


def test_a_task_that_waits_for_others_names_the_share_of_its_account():
    pool_state = make_shared_pool(big=2.0, small=5.0)
    for number in range(3):
        submit(pool_state, f"big-{number}", "big", cpu_milli=30000, at=0.01 * number)
    planner = Planner(pool_state)
    planner.plan(0.1, 0.1)
    waiting = {each.job.id: each for each in pool_state.ready.values()}
    examiner = WaitExaminer(planner.last_pass)
    assert set(examiner.find_reasons(waiting["big-1"])) == {WaitReason.NO_CAPACITY}
    assert set(examiner.find_reasons(waiting["big-2"])) == {WaitReason.ACCOUNT_SHARE}
