"""Tests of when advice is requested, and about which hosts."""

from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import RequestAdvice, StartRun
from siskinroad.work.hosts import HostReport, RunStatus
from siskinroad.work.planner import Planner
from tests.work.cell import job, step
from tests.work.test_planner import (
    add_job,
    give_tickets,
    list_starts,
    make_pool_state,
    plan,
)

# An advisor call takes 0.1 s plus 0.01 s for each host; tickets are valid for 2 s.
LARGE = {"cpu_milli": 30000, "estimate": 4.0}


def advice_requests(effects):
    return [(e.step, e.hosts) for e in effects if isinstance(e, RequestAdvice)]


def accept_starts(pool_state, effects, now):
    """Record every start of a plan as accepted by its host."""
    for effect in effects:
        if isinstance(effect, StartRun):
            pool_state.apply_start_reply(
                pool_state.hosts[effect.host], effect.run, None, now
            )


def report_progress(pool_state, percent, now):
    """Report all runs of every host at the same progress in percent."""
    for host in pool_state.hosts.values():
        running = tuple(RunStatus(t, n, "", percent, 0) for t, n in host.runs)
        report = HostReport(1000 + int(now * 1000), 1, running, ())
        pool_state.apply_report(host, report, host.token, now, now, now)


def make_blocked_step(expires):
    """Return pool state with one busy host, and a job that waits for its capacity."""
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "first", job(step(1, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, "i-0", until=expires)
    return pool_state, waiting_job


def test_tickets_are_renewed_just_before_capacity_becomes_free():
    # Large tasks on nearly full accelerator hosts: tickets requested only once the
    # capacity is free would leave the host idle for the duration of the call.
    pool_state, waiting_job = make_blocked_step(expires=1.0)
    report_progress(pool_state, 50, 2.1)
    assert advice_requests(plan(pool_state, 2.1)) == []
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == [
        (waiting_job.steps[0, 0].key, ("i-0",))
    ]
    assert advice_requests(plan(pool_state, 3.95)) == []


def test_runs_that_end_at_the_same_time_free_their_capacity_together():
    # The large task fits only once both runs have ended.
    pool_state = make_pool_state(["i-0"])
    half = {"cpu_milli": 15000, "estimate": 4.0}
    add_job(
        pool_state, "first", job(step(1, **half), step(1, memory_mib=7, **half)), "slow"
    )
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, "i-0", until=1.0)
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == [
        (waiting_job.steps[0, 0].key, ("i-0",))
    ]


def test_tickets_valid_until_capacity_is_free_are_not_renewed():
    # A needless renewal would occupy the advisor.
    pool_state, _ = make_blocked_step(expires=9.0)
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == []


def test_gang_tickets_are_renewed_once_capacity_for_all_members_is_near():
    # Renewed for the first member, they could expire before the last run ends.
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "first", job(step(2, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    gang = add_job(pool_state, "gang", job(step(2, gang=True, **LARGE)), "advised")
    give_tickets(gang, "i-0", "i-1", until=1.0)
    report_progress(pool_state, 95, 3.9)
    (last_run,) = pool_state.hosts["i-1"].runs.values()
    last_run.progress = 50
    assert advice_requests(plan(pool_state, 3.9)) == []
    last_run.progress = 95
    assert advice_requests(plan(pool_state, 3.9)) == [
        (gang.steps[0, 0].key, ("i-0", "i-1"))
    ]


def test_advice_for_the_next_step_is_requested_while_its_predecessor_runs():
    # Jobs of several short steps, worth most within a second or two: a request made
    # only when the next step is ready would delay each step by a call.
    pool_state = make_pool_state(["i-0", "i-1"])
    two_steps = add_job(
        pool_state, "both", job(step(2), step(1, after=(0,))), "advised"
    )
    give_tickets(two_steps, "i-0", "i-1")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    assert advice_requests(plan(pool_state, 0.2)) == []
    report_progress(pool_state, 80, 0.9)
    assert advice_requests(plan(pool_state, 0.95)) == [
        (two_steps.steps[0, 1].key, ("i-0", "i-1"))
    ]
    assert advice_requests(plan(pool_state, 1.0)) == []
    # With its tickets present, the step starts as soon as it is ready.
    two_steps.steps[0, 1].is_advice_pending = False
    give_tickets(two_steps, "i-0", "i-1", step_number=1)
    for task in two_steps.steps[0, 0].tasks:
        task.move("done")
    pool_state.ready.pop(two_steps.steps[0, 0].key)
    pool_state._collect_ready_steps(two_steps, 1.1)
    assert [name for name, _ in list_starts(plan(pool_state, 1.1))] == ["both"]


def test_advice_for_the_next_step_is_not_requested_while_predecessors_wait():
    # The end of tasks that have not started is unknown; tickets would expire unused.
    pool_state = make_pool_state(["i-0"])
    two_steps = add_job(
        pool_state, "both", job(step(2, cpu_milli=30000), step(1, after=(0,)))
    )
    two_steps.queue = "advised"
    give_tickets(two_steps, "i-0")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    report_progress(pool_state, 95, 0.95)
    assert advice_requests(plan(pool_state, 0.96)) == []


def test_advice_is_requested_for_the_most_urgent_steps_first_and_the_rest_later():
    # A takeover while many steps wait for advice, with one channel free: requests for
    # all of them at once would delay the urgent step behind the others.
    pool_state = make_pool_state(["i-0", "i-1"])
    for i in range(5):
        add_job(pool_state, f"old{i}", job(step(1, estimate=9.0)), "advised", at=-0.05)
    urgent = add_job(pool_state, "young", job(step(1, estimate=0.1)), "advised")
    effects = Planner(pool_state).plan(0.1, 0.1, ChannelTimes([0.0], [0.2]))
    assert advice_requests(effects) == [(urgent.steps[0, 0].key, ("i-0", "i-1"))]
    later = advice_requests(
        Planner(pool_state).plan(0.3, 0.3, ChannelTimes([0.0], [0.2]))
    )
    assert len(later) == 1 and later[0][0][0].startswith("old")
