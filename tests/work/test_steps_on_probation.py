"""Tests of when a step starts beside the first run of a host whose runs have failed."""

import pytest

from siskinroad.work.host import MIN_PROBATION_S, PROBATION_S
from siskinroad.work.hosts import EndKind, HostReport, RunEnd
from siskinroad.work.run_end_table import FAILING_QUARANTINE_S
from siskinroad.work.sole_hosts import SOLE_HOST_PAUSE_S
from tests.work.cell import job, step
from tests.work.test_gang_waiting import CALL_S, LIMIT_S, NAMES, TICK_S, Pool
from tests.work.test_planner import add_job

SMALL = step(1, cpu_milli=2000, estimate=30.0)


def make_pool(quarantine_s=FAILING_QUARANTINE_S):
    """Return a pool whose only allowed host has just begun a quarantine."""
    pool = Pool(NAMES, allowed=["i-0"])
    state = pool.pool_state
    host = state.hosts["i-0"]
    assert state.quarantine_host(host, quarantine_s, "failures", pool.now)
    host.needs_probation = True
    return pool


def find_start(pool, name):
    (at,) = [at for at, _, job_name in pool.starts if job_name == name]
    return at


def add(pool, name, spec=SMALL):
    add_job(pool.pool_state, name, job(spec), "advised", at=pool.now)


def test_no_step_starts_in_the_first_moments_of_a_probation():
    # A host that fails at once what it starts takes one attempt only.
    pool = make_pool()
    add(pool, "first")
    add(pool, "second")
    pool.run(LIMIT_S + CALL_S)
    alone_s = find_start(pool, "second") - find_start(pool, "first")
    assert alone_s >= MIN_PROBATION_S


def test_a_step_that_has_waited_for_a_moment_stays_off_a_host_on_probation():
    pool = make_pool()
    add(pool, "first")
    pool.run(SOLE_HOST_PAUSE_S + CALL_S)
    assert pool.count_starts("first") == 1
    add(pool, "second")
    pool.run(LIMIT_S + CALL_S)
    alone_s = find_start(pool, "second") - find_start(pool, "first")
    assert alone_s >= PROBATION_S - TICK_S / 2


def test_a_step_waits_no_longer_if_the_quarantine_ends_during_the_probation():
    # The host is then no quarantined one any more, and its first run is still alone.
    pool = make_pool(quarantine_s=SOLE_HOST_PAUSE_S + 0.3)
    add(pool, "first")
    add(pool, "second")
    pool.run(LIMIT_S + CALL_S)
    assert not pool.pool_state.hosts["i-0"].is_quarantined
    assert pool.count_starts("second") == 1


def test_nothing_starts_beside_a_task_on_trial_that_begins_a_probation():
    # A task that is suspected of crashing hosts is alone for the whole of its trial.
    pool = make_pool()
    host = pool.pool_state.hosts["i-0"]
    add(pool, "first")
    pool.run(SOLE_HOST_PAUSE_S + CALL_S)
    (run,) = host.runs.values()
    host.begin_trial(run, 5.0, pool.now)
    add(pool, "second")
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("second") == 0


def test_a_first_run_that_fails_beside_another_begins_the_pause_again():
    pool = make_pool()
    state = pool.pool_state
    add(pool, "first")
    add(pool, "second")
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("second") == 1
    host = state.hosts["i-0"]
    run = next(run for run in host.runs.values() if run.key[0].job == "first")
    end = RunEnd(1, *run.key, EndKind.FAILED, "")
    report = HostReport(2000, 1, (), (end,))
    state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    assert host.needs_probation
    add(pool, "third")
    pool.run(SOLE_HOST_PAUSE_S - TICK_S)
    assert pool.count_starts("third") == 0


@pytest.mark.parametrize("count", [1, 3])
def test_all_steps_that_wait_beside_the_first_start_in_time(count):
    pool = make_pool()
    names = [f"job-{i}" for i in range(count + 1)]
    for name in names:
        add(pool, name)
    pool.run(LIMIT_S + CALL_S)
    assert [pool.count_starts(name) for name in names] == [1] * (count + 1)
