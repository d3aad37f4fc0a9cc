"""Tests of admission: what is turned away, what never is, and when callers return."""

import pytest

from siskinroad.cell import Owner
from siskinroad.resources import Resources
from siskinroad.work.admission import Accept, Admission, LoadRefusal, RefusalReason
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.forecast_check import MIN_SAMPLES
from siskinroad.work.job import make_job
from siskinroad.work.load_forecast import LoadForecast
from siskinroad.work.model import Configuration
from siskinroad.work.records import Accepted
from siskinroad.work.return_times import ReturnTimes
from tests.work.cell import CONFIGURATION, POOL, job, step
from tests.work.test_load_forecast import make_record, refresh
from tests.work.test_planner import add_job, make_pool_state, plan

WEIGHT = 3


def make_admission(backlog=0, is_full=True, is_trusted=True):
    """Return the admission of a pool of 64 processors, and its state.

    The pool runs one job and has others waiting, each of 32 processor-seconds.
    """
    pool_state = make_pool_state(["i-0", "i-1"])
    account = ClientAccount(Owner("acme", WEIGHT, WEIGHT, Resources()), ("key",))
    pool_state.configure(
        Configuration(
            2, CONFIGURATION.queues, (POOL,), 1 << 18, make_directory([account])
        )
    )
    if is_full:
        add_job(pool_state, "filling", job(step(2, cpu_milli=32000)))
        plan(pool_state)
    for number in range(backlog):
        add_job(pool_state, f"w-{number}", job(step(8)), "fast", at=0.1)
    forecast = LoadForecast(pool_state)
    if is_trusted:
        for _ in range(MIN_SAMPLES):
            for queue in ("fast", "slow"):
                forecast.check.accuracy(queue).record_end(make_record(1.0), 1.0)
    # The learned factors stay at 1.
    for accuracy in forecast.check.queues.values():
        accuracy.wait_factor = accuracy.chain_factor = 1.0
    refresh(forecast, pool_state)
    return Admission(pool_state, forecast), pool_state


def decide(admission, name="new", spec=None, queue="fast", account="", now=0.1):
    accepted = Accepted(name, queue, POOL, now, spec or job(), "dc1", account)
    return admission.decide(make_job(accepted), now)


def test_a_job_that_cannot_end_while_it_is_of_use_is_turned_away():
    # It may take 1.9 s, and is of use for 5.7 s; 16 s of work are ahead.
    admission, _ = make_admission(backlog=32)
    refusal = decide(admission)
    assert isinstance(refusal, LoadRefusal)
    assert refusal.reason is RefusalReason.OF_NO_USE
    assert refusal.retry_after_s >= 1


def test_a_job_that_is_late_and_of_use_is_accepted():
    admission, _ = make_admission(backlog=5)
    decision = decide(admission)
    assert isinstance(decision, Accept)
    assert decision.forecast.end_s > decision.forecast.allowed_s


@pytest.mark.parametrize("account", ["", "acme"])
def test_a_job_beside_free_room_is_never_turned_away(account):
    # Not even of an account that sends a hundred times its weight.
    admission, _ = make_admission(is_full=False)
    admission._pool_state.ready.clear()
    spec = job(step(1, cpu_milli=100, estimate=60.0))
    for number in range(100 * WEIGHT):
        assert isinstance(
            decide(admission, f"j-{number}", spec, "fast", account), Accept
        )


def test_jobs_with_occurrences_or_lasting_tasks_are_not_turned_away():
    admission, _ = make_admission(backlog=32)
    lasting = job(step(4, long_running=True))
    repeated = job(step(), occurrences=3, first=10.0, interval=5.0)
    assert isinstance(decide(admission, "a", lasting), Accept)
    assert isinstance(decide(admission, "b", repeated), Accept)


def test_nothing_is_turned_away_on_a_forecast_without_evidence():
    admission, _ = make_admission(backlog=32, is_trusted=False)
    assert isinstance(decide(admission), Accept)


def test_an_account_over_its_weight_is_turned_away_only_when_the_pool_is_full():
    admission, _ = make_admission(backlog=2)
    decisions = [
        decide(admission, f"j-{n}", job(step(1, cpu_milli=100)), "fast", "acme")
        for n in range(WEIGHT + 2)
    ]
    assert [type(d) for d in decisions] == [Accept] * WEIGHT + [LoadRefusal] * 2
    assert decisions[-1].reason is RefusalReason.ACCOUNT_OVER_WEIGHT
    assert isinstance(decide(admission, "other", account="quiet"), Accept)
    # The window slides: a second later the account may send again.
    assert isinstance(decide(admission, "later", account="acme", now=1.2), Accept)


def test_late_work_is_turned_away_if_it_makes_less_urgent_work_late():
    # The batch work can wait for 3.6 s; 1.5 s are ahead of it, each late job adds 0.5.
    decisions = []
    for late_jobs in (1, 4):
        admission, pool_state = make_admission(backlog=3)
        for number in range(late_jobs):
            add_job(pool_state, f"late-{number}", job(step(8)), "fast", at=-2.5)
        add_job(pool_state, "batch", job(step(8, estimate=0.2)), "slow", at=0.1)
        refresh(admission._forecast, pool_state)
        decisions.append(decide(admission, spec=job(step(8))))
    assert isinstance(decisions[0], Accept)
    assert decisions[0].forecast.end_s > decisions[0].forecast.allowed_s
    assert decisions[1].reason is RefusalReason.DELAYS_OTHERS


def test_a_job_that_returns_counts_from_its_first_submission():
    admission, _ = make_admission(backlog=32)
    refusal = decide(admission, "new", now=0.1)
    returned_at = 0.1 + refusal.retry_after_s
    pool_state = admission._pool_state
    for number in range(32):
        pool_state.cancel(f"w-{number}", returned_at, returned_at)
    refresh(admission._forecast, pool_state, returned_at)
    decision = decide(admission, "new", now=returned_at)
    assert isinstance(decision, Accept)
    assert decision.waited_s == pytest.approx(refusal.retry_after_s)


def test_callers_return_spread_over_the_room_in_the_order_of_rank():
    times = ReturnTimes()
    # One processor, jobs of one second each, room in 2 s.
    urgent = [times.book((0, False), 2.0, 1.0, 1.0, 20.0, 0.0) for _ in range(4)]
    over_weight = times.book((0, True), 2.0, 1.0, 1.0, 20.0, 0.0)
    batch = times.book((2, False), 2.0, 1.0, 1.0, 20.0, 0.0)
    assert urgent == [2.0, 3.0, 4.0, 5.0]
    assert (over_weight, batch) == (6.0, 7.0)
    # No caller is told to return when its job is of no use any more.
    assert times.book((2, False), 2.0, 1.0, 1.0, 3.0, 0.0) == 3.0
