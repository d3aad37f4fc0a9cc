"""Tests of the forecast of a job's end: what is ahead of it, and how good it was."""

import pytest

from siskinroad.work.forecast_check import MIN_SAMPLES, ForecastRecord, QueueAccuracy
from siskinroad.work.job import make_job
from siskinroad.work.load_forecast import AdvisorRoom, LoadForecast
from siskinroad.work.records import Accepted
from tests.work.cell import ADVISED, FAST, POOL, SLOW, job, step
from tests.work.test_planner import add_job, make_pool_state, plan

QUEUES = {queue.name: queue for queue in (FAST, SLOW, ADVISED)}


def make_waiting_job(name="new", queue=FAST, spec=None):
    return make_job(Accepted(name, queue.name, POOL, 0.1, spec or job()))


def refresh(forecast, pool_state, now=0.1):
    hosts = list(pool_state.hosts.values())
    rooms = {ADVISED.name: AdvisorRoom(2, 0.0)}
    forecast.refresh(hosts, 0.0, rooms, (), now, now)


def predict(pool_state, queue=FAST, spec=None, now=0.1):
    forecast = LoadForecast(pool_state)
    refresh(forecast, pool_state, now)
    return forecast.predict(queue, make_waiting_job(queue=queue, spec=spec), now)


def add_backlog(pool_state, count, queue="fast", **fields):
    """Let one job fill the pool, and others wait behind it."""
    hosts = len(pool_state.hosts)
    add_job(pool_state, "filling", job(step(hosts, cpu_milli=32000)))
    plan(pool_state)
    for number in range(count):
        add_job(pool_state, f"w-{number}", job(step(8, **fields)), queue, at=0.1)


def test_a_job_beside_free_room_does_not_wait():
    found = predict(make_pool_state(["i-0"]))
    assert found.has_free_room
    assert found.wait_s == 0.0
    assert found.end_s == 1.0


def test_what_is_ahead_is_waited_for_at_the_speed_of_the_pool():
    pool_state = make_pool_state(["i-0", "i-1"])
    # 64 processors; each waiting job needs 32 of them for one second.
    add_backlog(pool_state, 8)
    found = predict(pool_state)
    assert not found.has_free_room
    assert found.end_s > found.allowed_s
    assert 4.0 <= found.wait_s <= 5.0


def test_less_urgent_work_is_not_ahead():
    pool_state = make_pool_state(["i-0", "i-1"])
    add_backlog(pool_state, 8, "slow")
    assert predict(pool_state, FAST).wait_s <= 1.0
    assert predict(pool_state, SLOW).wait_s >= 4.0


def test_less_urgent_runs_hold_their_capacity_until_they_end():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "long", job(step(8, estimate=10.0)), "slow")
    plan(pool_state)
    add_job(pool_state, "ahead", job(step(8)), "fast", at=0.1)
    # By itself the pool would need one second for the work ahead.
    assert predict(pool_state).wait_s > 2.0


def test_work_that_can_never_be_done_is_not_ahead():
    # A flood of jobs that no host can hold, and of others whose time has passed.
    pool_state = make_pool_state(["i-0", "i-1"])
    for number in range(50):
        too_large = job(step(8, cpu_milli=33000))
        add_job(pool_state, f"large-{number}", too_large, "fast", at=0.1)
        add_job(pool_state, f"old-{number}", job(step(8)), "fast", at=-60.0)
    found = predict(pool_state)
    assert found.has_free_room
    assert found.wait_s == 0.0


def test_accepted_jobs_count_until_the_owner_has_read_them():
    pool_state = make_pool_state(["i-0"])
    add_backlog(pool_state, 0)
    forecast = LoadForecast(pool_state)
    refresh(forecast, pool_state)
    for number in range(40):
        ahead = make_waiting_job(f"a-{number}", spec=job(step(8)))
        found = forecast.predict(FAST, ahead, 0.1)
        forecast.note_accepted(FAST, ahead, found, is_over_weight=False)
    refresh(forecast, pool_state, 0.3)
    load = forecast.summary.waiting[FAST.priority]
    assert load.in_time.cpu_s + load.late.cpu_s == pytest.approx(40 * 32.0)
    # What was not read within the time that the store may take is not stored.
    refresh(forecast, pool_state, 8.0)
    assert not forecast.summary.waiting


def test_the_forecast_follows_lost_hosts_and_ends_with_the_last():
    pool_state = make_pool_state([f"i-{n}" for n in range(4)])
    add_backlog(pool_state, 8)
    forecast = LoadForecast(pool_state)
    hosts = list(pool_state.hosts.values())
    waits = []
    for count in (4, 2):
        forecast.refresh(hosts[:count], 0.0, {}, (), 0.1, 0.1)
        waits.append(forecast.predict(FAST, make_waiting_job(), 0.1).wait_s)
    assert waits[1] > 1.5 * waits[0]
    forecast.refresh([], 0.0, {}, (), 0.1, 0.1)
    assert forecast.predict(FAST, make_waiting_job(), 0.1) is None


def test_a_silent_advisor_is_no_capacity():
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "asking", job(step(2)), "advised")
    plan(pool_state)
    forecast = LoadForecast(pool_state)
    waits = []
    for now in (0.1, 1.0, 6.1):
        refresh(forecast, pool_state, now)
        found = forecast.predict(ADVISED, make_waiting_job(queue=ADVISED), now)
        waits.append(found.wait_s)
    assert waits[0] == waits[1] < 1.0
    assert waits[2] == pytest.approx(6.0)
    assert forecast.predict(FAST, make_waiting_job(), 6.1).wait_s == 0.0


def make_record(end_s, allowed_s=2.0):
    return ForecastRecord("fast", 0.0, 1.0, 1.0, end_s, allowed_s)


def test_a_forecast_that_is_worse_than_chance_is_not_trusted():
    accuracy = QueueAccuracy()
    for _ in range(MIN_SAMPLES):
        assert not accuracy.is_trusted
        accuracy.record_end(make_record(1.0), 1.0)
    assert accuracy.is_trusted
    # Jobs that it calls late are in time.
    for _ in range(10):
        accuracy.record_lateness(False)
    assert not accuracy.is_trusted
    for _ in range(10):
        accuracy.record_lateness(True)
    assert accuracy.is_trusted


def test_each_accepted_job_is_compared_with_its_forecast():
    forecast = LoadForecast(make_pool_state(["i-0"]))
    check = forecast.check
    check.record_forecast("in-time", make_record(9.0))
    check.record_forecast("late", make_record(9.0))
    check.record_end("in-time", 1.0, is_complete=True)
    assert check.accuracy("fast").error_s == 8.0
    assert check.accuracy("fast").late_fraction == 0.9
    # A job counts as late as soon as it is, and not only at its end.
    check.record_late_jobs(2.1)
    assert check.accuracy("fast").late_fraction == pytest.approx(0.91)
