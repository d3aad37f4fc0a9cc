"""Steps that need a quarantined host beside others, which cannot hold all their tasks.

Callers take a job of which nothing runs for 3 s beside free capacity for lost.
"""

import pytest

from siskinroad.work.effects import StartRun
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.run_end_table import FAILING_QUARANTINE_S
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import job, step
from tests.work.test_planner import add_job, give_tickets, make_pool_state

LIMIT_S = 3.0
TICK_S = 0.2
SUBMITTED_AT = 0.2
NEEDING_BOTH_HOSTS = {
    "gang, one task a host": step(2, cpu_milli=20000, gang=True),
    "spread 1": step(2, cpu_milli=2000, spread=1),
    "lasting, spread 1": step(2, cpu_milli=2000, spread=1, long_running=True),
    "lasting, one task a host": step(2, cpu_milli=20000, long_running=True),
    "one task a host": step(2, cpu_milli=20000),
}
NEEDING_THE_QUARANTINED_ONE = {
    "one task": step(1, cpu_milli=10000),
    "gang": step(2, cpu_milli=7000, gang=True),
}


def make_pool_with_quarantined_host(*usual):
    """Return a pool whose host ``i-0`` is well and in quarantine, and its planner."""
    pool_state = make_pool_state(["i-0", *usual])
    host = pool_state.hosts["i-0"]
    assert pool_state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", 0.1)
    return pool_state, Planner(pool_state)


def start_all(pool_state, planner, now):
    """Run one planning pass; return the jobs of the starts, which all succeed."""
    started = []
    for effect in planner.plan(now, now):
        if isinstance(effect, StartRun):
            host = pool_state.hosts[effect.host]
            pool_state.apply_start_reply(host, effect.run, None, now)
            started.append((effect.run.key[0].job, effect.host))
    return started


def find_start_times(pool_state, planner, name, seconds, *, tickets=()):
    """Let time pass; return when and where tasks of a job were started."""
    monitor = RunMonitor(pool_state, Timing())
    times = []
    now = SUBMITTED_AT
    while now <= SUBMITTED_AT + seconds:
        for host in pool_state.hosts.values():
            host.replied_at = host.reported_at = now
        if tickets:
            give_tickets(pool_state.jobs[name], *tickets)
        monitor.check_runs(now, now)
        started = start_all(pool_state, planner, now)
        times += [(round(now, 1), host) for job, host in started if job == name]
        now += TICK_S
    return times


def take_host(pool_state, planner, host):
    """Let a run of 60 s hold most of a host."""
    spec = job(step(1, cpu_milli=30000, estimate=60.0))
    taker = add_job(pool_state, "taker", spec, "advised")
    taker.steps[0, 0].advice.answered.update(pool_state.hosts)
    give_tickets(taker, host)
    assert start_all(pool_state, planner, 0.15) == [("taker", host)]


@pytest.mark.parametrize("name", NEEDING_BOTH_HOSTS)
def test_a_step_that_needs_a_quarantined_host_beside_another_is_placed_in_time(name):
    pool_state, planner = make_pool_with_quarantined_host("i-1", "i-2")
    bound = add_job(pool_state, "bound", job(NEEDING_BOTH_HOSTS[name]), "advised")
    bound.steps[0, 0].advice.answered.update(["i-2"])
    tickets = ("i-0", "i-1")
    times = find_start_times(pool_state, planner, "bound", LIMIT_S, tickets=tickets)
    assert {host for _, host in times} == {"i-0", "i-1"}


@pytest.mark.parametrize("name", NEEDING_THE_QUARANTINED_ONE)
def test_a_step_whose_other_allowed_host_is_taken_is_placed_in_time(name):
    pool_state, planner = make_pool_with_quarantined_host("i-1", "i-2")
    take_host(pool_state, planner, "i-1")
    spec = NEEDING_THE_QUARANTINED_ONE[name]
    bound = add_job(pool_state, "bound", job(spec), "advised")
    bound.steps[0, 0].advice.answered.update(["i-2"])
    tickets = ("i-0", "i-1")
    times = find_start_times(pool_state, planner, "bound", LIMIT_S, tickets=tickets)
    assert [host for _, host in times] == ["i-0"] * spec.count


def test_a_step_whose_other_allowed_host_rejects_its_tickets_is_placed_in_time():
    # A host whose clock is wrong is asked about again and again.
    pool_state, planner = make_pool_with_quarantined_host("i-1", "i-2")
    bound = add_job(pool_state, "bound", job(step(1, cpu_milli=10000)), "advised")
    advice = bound.steps[0, 0].advice
    advice.answered.update(["i-2"])
    give_tickets(bound, "i-0")
    for _ in range(6):
        advice.record_answer(["i-1"], {"i-1": "old"}, 100.0)
        advice.record_rejection("i-1", "old", 0.1)
    times = find_start_times(pool_state, planner, "bound", LIMIT_S)
    assert [host for _, host in times] == ["i-0"]


def test_a_step_that_usual_hosts_can_hold_stays_off_a_quarantined_host():
    pool_state, planner = make_pool_with_quarantined_host("i-1", "i-2")
    add_job(pool_state, "bound", job(step(2, cpu_milli=20000)), "advised")
    tickets = ("i-0", "i-1", "i-2")
    times = find_start_times(pool_state, planner, "bound", LIMIT_S, tickets=tickets)
    assert {host for _, host in times} == {"i-1", "i-2"}


def test_steps_of_a_full_pool_stay_off_a_quarantined_host():
    # They wait for room, not for that host: it would fail one of them after another.
    pool_state, planner = make_pool_with_quarantined_host("i-1", "i-2")
    for name in ("first", "second", "third"):
        add_job(pool_state, name, job(step(1, cpu_milli=30000, estimate=60.0)))
    times = find_start_times(pool_state, planner, "third", LIMIT_S)
    assert times == []
