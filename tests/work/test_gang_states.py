"""Tests of gangs of which only a part has a run, in states that end by no event."""

import pytest

from siskinroad.work.effects import StopRun
from siskinroad.work.hosts import EndKind, RunEnd, RunStatus
from siskinroad.work.model import TaskId, Timing
from siskinroad.work.planner import Planner
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import job, step
from tests.work.test_pool_state import (
    make_pool_state,
    make_successor,
    plan_starts,
    send_report,
)

GANG = step(2, cpu_milli=20000, gang=True)
HOSTS = ("i-0", "i-1")
TICK_S = 0.1
# Seconds within which a run that waits for a lost member is to be stopped.
STOP_LIMIT_S = 1.0


def start_gang():
    """Return the state of a pool on both of whose hosts one member of a gang runs."""
    pool_state = make_pool_state(job(GANG), HOSTS)
    for start in plan_starts(pool_state):
        pool_state.apply_start_reply(pool_state.hosts[start.host], start.run, None, 0.1)
    return pool_state


def find_member(pool_state, host):
    """Return the member of the gang on a host."""
    tasks = pool_state.jobs["j"].steps[0, 0].tasks
    return next(task for task in tasks if task.host == host)


def run_checks(pool_state, now, running):
    """Let a second pass; return which runs are stopped."""
    planner, monitor = Planner(pool_state), RunMonitor(pool_state, Timing())
    effects = []
    until = now + STOP_LIMIT_S
    while now < until:
        now = round(now + TICK_S, 3)
        for name in HOSTS:
            effects += send_report(pool_state, name, now, running=running.get(name, ()))
        effects += monitor.check_runs(now, now)
        effects += planner.plan(now, now)
    return [each.run.key for each in effects if isinstance(each, StopRun)]


def take_over(former, ended=()):
    """Return a successor that has adopted the member on ``i-1``, and its status."""
    successor = make_successor(former)
    member = find_member(former, "i-1")
    status = RunStatus(member.id, member.run, "", 5, 0)
    successor.note_unclaimed(0.0)
    effects = send_report(successor, "i-0", 1.0, ended=ended)
    effects += send_report(successor, "i-1", 1.1, running=[status])
    successor.note_unclaimed(1.2)
    return successor, status, effects


@pytest.mark.parametrize("is_listed", [False, True], ids=["no end", "listed end"])
def test_a_member_adopted_after_a_takeover_without_the_others_is_stopped(is_listed):
    # The former owner died between the starts, or after an end before the stop.
    former = start_gang()
    lost = find_member(former, "i-0")
    end = RunEnd(1, lost.id, lost.run, EndKind.STOPPED, "")
    successor, status, effects = take_over(former, [end] if is_listed else [])
    assert not [each for each in effects if isinstance(each, StopRun)]
    assert successor.settle_tasks(1.2)
    assert successor.task(lost.id).state == "waiting"
    assert successor.task(status.task).state == "placed"
    stopped = run_checks(successor, 1.2, {"i-1": [status]})
    assert stopped == [(status.task, status.run)]


def test_a_whole_gang_that_is_adopted_after_a_takeover_runs_on():
    former = start_gang()
    successor = make_successor(former)
    successor.note_unclaimed(0.0)
    running = {}
    for name in HOSTS:
        member = find_member(former, name)
        running[name] = [RunStatus(member.id, member.run, "", 5, 0)]
        send_report(successor, name, 1.0, running=running[name])
    successor.note_unclaimed(1.2)
    assert successor.settle_tasks(1.2)
    assert run_checks(successor, 1.2, running) == []


def test_a_gang_that_starts_before_the_next_check_of_runs_is_not_stopped():
    successor = make_successor(start_gang())
    successor.note_unclaimed(0.0)
    for name in HOSTS:
        send_report(successor, name, 1.0)
    successor.note_unclaimed(1.2)
    assert successor.settle_tasks(1.2)
    assert len(plan_starts(successor, 1.25)) == 2
    assert RunMonitor(successor, Timing()).check_runs(1.3, 1.3) == []


def test_a_member_that_is_listed_again_after_its_gang_has_ended_is_stopped():
    # Both runs were ended, and one of them is listed by a later report after all.
    pool_state = start_gang()
    first, second = find_member(pool_state, "i-0"), find_member(pool_state, "i-1")
    for name in HOSTS:
        send_report(pool_state, name, 1.0)
    assert {first.state, second.state} == {"waiting"}
    status = RunStatus(second.id, second.run, "", 5, 0)
    effects = send_report(pool_state, "i-1", 1.1, running=[status])
    assert [each.run.key for each in effects if isinstance(each, StopRun)] == [
        (second.id, second.run)
    ]
    # Its task has a run until the host lists the end: it starts nowhere else before.
    assert second.state == "placed"
    assert plan_starts(pool_state, 1.2) == []
    end = RunEnd(1, second.id, second.run, EndKind.STOPPED, "")
    send_report(pool_state, "i-1", 1.3, ended=[end])
    assert {start.run.key[1] for start in plan_starts(pool_state, 1.4)} == {2}


def test_a_late_end_of_an_older_start_does_not_stop_the_next_one_of_the_gang():
    pool_state = start_gang()
    first, second = find_member(pool_state, "i-0"), find_member(pool_state, "i-1")
    for name in HOSTS:
        send_report(pool_state, name, 1.0)
    starts = plan_starts(pool_state, 1.1)
    assert len(starts) == 2
    end = RunEnd(1, first.id, 1, EndKind.LEASE_EXPIRED, "")
    effects = send_report(pool_state, "i-0", 1.2, sent_at=1.05, ended=[end])
    assert [each for each in effects if isinstance(each, StopRun)] == []
    assert {first.state, second.state} == {"placed"}


def test_a_gang_that_has_succeeded_starts_no_member_after_a_late_other_end():
    pool_state = start_gang()
    first, second = find_member(pool_state, "i-0"), find_member(pool_state, "i-1")
    end = RunEnd(1, first.id, 1, EndKind.STOPPED, "")
    send_report(pool_state, "i-0", 1.0, ended=[end])
    end = RunEnd(1, second.id, 1, EndKind.DONE, "")
    send_report(pool_state, "i-1", 1.1, ended=[end])
    assert {first.state, second.state} == {"done"}
    assert pool_state.jobs["j"].is_closed
    assert plan_starts(pool_state, 1.2) == []


def test_tasks_of_another_step_with_the_same_run_number_are_not_stopped():
    pool_state = make_pool_state(job(GANG, step(1, cpu_milli=2000)), HOSTS)
    starts = plan_starts(pool_state)
    assert len(starts) == 3
    for start in starts:
        pool_state.apply_start_reply(pool_state.hosts[start.host], start.run, None, 0.1)
    first = find_member(pool_state, "i-0")
    end = RunEnd(1, first.id, 1, EndKind.STOPPED, "")
    effects = send_report(pool_state, "i-0", 0.1, sent_at=0.05, ended=[end])
    stopped = {e.run.key[0] for e in effects if isinstance(e, StopRun)}
    assert TaskId("j", 0, 1, 0) not in stopped
    assert len(stopped) == 1


def begin_gang_without_a_reply():
    """Return a pool where one start of a gang has no reply, and both members."""
    pool_state = make_pool_state(job(GANG), HOSTS)
    for start in plan_starts(pool_state):
        host = pool_state.hosts[start.host]
        if host.name == "i-0":
            pool_state.note_start_without_reply(host, start.run, 0.5)
        else:
            pool_state.apply_start_reply(host, start.run, None, 0.1)
    pool_state.note_unclaimed(0.0)
    return pool_state, find_member(pool_state, "i-0"), find_member(pool_state, "i-1")


def end_by_replacement(pool_state):
    pool_state.note_unclaimed(100.0)
    return pool_state.replace_host(pool_state.hosts["i-0"], 1.0)


def end_by_lease(pool_state):
    pool_state.note_host_unlisted("i-0", 1.0)
    host = pool_state.hosts["i-0"]
    pool_state.note_unclaimed(100.0)
    host.unanswered_renewal_at = 90.0
    return pool_state.expire_silent_hosts(90.0)


def end_by_report(pool_state):
    return send_report(pool_state, "i-0", 1.0)


@pytest.mark.parametrize("end", [end_by_replacement, end_by_lease, end_by_report])
def test_the_rest_of_a_gang_is_stopped_as_a_start_without_a_reply_is_lost(end):
    pool_state, lost, other = begin_gang_without_a_reply()
    assert pool_state.hosts["i-0"].runs[lost.id, 1].state == "doubtful"
    effects = end(pool_state)
    assert lost.state == "waiting"
    assert [each.run.key for each in effects if isinstance(each, StopRun)] == [
        (other.id, 1)
    ]


def test_a_gang_waits_for_no_ends_after_a_restart_of_both_hosts():
    # Both hosts restart, as all machines did: the runs of before are gone with them.
    pool_state = start_gang()
    pool_state.note_unclaimed(100.0)
    for name in HOSTS:
        send_report(pool_state, name, 1.0, incarnation_ms=2)
    pool_state.note_unclaimed(100.0)
    starts = plan_starts(pool_state, 1.1)
    assert {start.run.key[1] for start in starts} == {2}
    assert len(starts) == 2
