"""Tests of task placement: priority, target times, gangs, advice and preemption."""

import dataclasses
import itertools

import pytest

from siskinroad.work.effects import RequestAdvice, StartRun, StopRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted
from siskinroad.work.run_end_table import FAILING_QUARANTINE_S
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import ADVISED, CONFIGURATION, POOL, entry, job, step


def make_pool_state(hosts, **entries):
    """Return the state of a pool whose hosts have replied and can be used."""
    pool_state = PoolState(POOL, 1)
    pool_state.is_settled = True
    pool_state.configure(CONFIGURATION)
    for name in hosts:
        pool_state.add_or_update_host(entries.get(name, entry(name)))
        host = pool_state.hosts[name]
        host.is_stored = True
        pool_state.apply_report(
            host, HostReport(1000, 1, (), ()), host.token, 0.0, 0.0, 0.0
        )
    return pool_state


def add_job(pool_state, name, spec, queue="fast", at=0.0):
    """Submit a job and return it."""
    pool_state.accept(Accepted(name, queue, POOL, at, spec), 0.0, at, is_new=True)
    return pool_state.jobs[name]


def plan(pool_state, now=0.1, wall=0.1):
    return Planner(pool_state).plan(now, wall)


def list_starts(effects):
    """Return the job and host of each start command."""
    return [(e.run.key[0].job, e.host) for e in effects if isinstance(e, StartRun)]


def give_tickets(accepted_job, *hosts, until=100.0, step_number=0):
    """Give a step of a job a ticket for each of the hosts."""
    advice = accepted_job.steps[0, step_number].advice
    advice.record_answer(hosts, {host: f"t-{host}" for host in hosts}, until)


def answer_advice(pool_state, request, allowed, until):
    """Answer an advice request with a ticket for each of its hosts in ``allowed``."""
    step_run = pool_state.step_by_key(request.step)
    tickets = {host: f"t-{host}" for host in allowed.intersection(request.hosts)}
    step_run.advice.record_answer(request.hosts, tickets, until)
    step_run.is_advice_pending = False


def test_urgent_steps_are_placed_before_older_steps_of_lower_priority():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "paper", job(step(1, cpu_milli=20000)), "slow")
    add_job(pool_state, "urgent", job(step(1, cpu_milli=20000)), "fast")
    assert list_starts(plan(pool_state)) == [("urgent", "i-0")]


def test_steps_past_their_target_time_do_not_delay_steps_that_can_meet_theirs():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "late", job(step(1, cpu_milli=20000)), "fast", at=-5.0)
    add_job(pool_state, "young", job(step(1, cpu_milli=20000)), "fast", at=0.0)
    assert list_starts(plan(pool_state)) == [("young", "i-0")]


def test_lateness_uses_learned_rather_than_declared_run_times():
    # The tasks of this queue take 2 s, twice their declared time: judged by the
    # declared time, the older job would count as late and lose its place.
    pool_state = make_pool_state(["i-0"])
    for _ in range(20):
        pool_state.speed_estimates.record_run("fast", 1.0, 2.0)
    add_job(pool_state, "older", job(step(1, cpu_milli=20000)), "fast", at=-1.6)
    add_job(pool_state, "younger", job(step(1, cpu_milli=20000)), "fast", at=0.0)
    assert list_starts(plan(pool_state)) == [("older", "i-0")]
    # 1.5 times 2 s of work, plus 0.4 s.
    assert pool_state.target_time(pool_state.jobs["younger"]) == pytest.approx(
        3.4, abs=0.2
    )


def test_the_target_time_includes_an_advice_request_per_step_and_the_due_time():
    pool_state = make_pool_state(["i-0"])
    spec = job(step(), step(after=(0,)), occurrences=3, first=100.0, interval=10.0)
    timed = add_job(pool_state, "timed", spec, "advised")
    # Twice 2 s of work and two advice requests of 0.4 s, plus 1.2 s.
    assert pool_state.target_time(timed, 2) == pytest.approx(120.0 + 2 * 2.8 + 1.2)


def test_placement_exceeds_no_resource_of_a_host():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "a", job(step(9, cpu_milli=1000, memory_mib=1, accelerators=3)))
    assert len(list_starts(plan(pool_state))) == 2


def test_a_step_with_several_allowed_hosts_avoids_the_only_host_of_another():
    # Advice allows one of the steps a single host, and each needs all accelerators.
    pool_state = make_pool_state(["i-0", "i-1"])
    need = {"cpu_milli": 1000, "accelerators": 8}
    free = add_job(pool_state, "free", job(step(1, **need)), "advised", at=-0.1)
    bound = add_job(pool_state, "bound", job(step(1, **need)), "advised")
    give_tickets(free, "i-0", "i-1")
    give_tickets(bound, "i-0")
    assert sorted(list_starts(plan(pool_state))) == [("bound", "i-0"), ("free", "i-1")]


def test_a_blocked_gang_excludes_later_single_tasks_from_its_hosts():
    # Otherwise single tasks fill every gap before the gang fits.
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "first", job(step(1, cpu_milli=30000)), "fast")
    assert list_starts(plan(pool_state)) == [("first", "i-0")]
    add_job(pool_state, "gang", job(step(2, cpu_milli=20000, gang=True)), "fast")
    add_job(pool_state, "small", job(step(9, cpu_milli=9000)), "slow")
    hosts = {host for _, host in list_starts(plan(pool_state, 0.2))}
    assert len(hosts) <= 1


def test_advice_is_requested_once_and_renewed_only_for_the_chosen_hosts():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    one = add_job(pool_state, "one", job(step(1, cpu_milli=30000)), "advised")
    (request,) = plan(pool_state)
    assert isinstance(request, RequestAdvice) and len(request.hosts) == 3
    assert plan(pool_state) == []
    one.steps[0, 0].is_advice_pending = False
    give_tickets(one, "i-1", until=0.2)
    (again,) = plan(pool_state, now=1.0)
    assert isinstance(again, RequestAdvice) and again.hosts == ("i-1",)
    # The capacity stays reserved for the step until the reply.
    add_job(pool_state, "other", job(step(1, cpu_milli=30000)), "fast")
    assert ("other", "i-1") not in list_starts(plan(pool_state, now=1.1))


def test_spread_limits_the_tasks_of_a_step_on_one_host():
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "a", job(step(9, cpu_milli=100, spread=2)))
    hosts = [host for _, host in list_starts(plan(pool_state))]
    assert sorted(hosts) == ["i-0", "i-0", "i-1", "i-1"]


def test_best_effort_tasks_are_kept_apart_from_serving_tasks():
    pool_state = make_pool_state(["i-0", "i-1"])
    serving = step(1, long_running=True, tail_limit=0.2)
    add_job(pool_state, "serve", job(serving), "fast")
    ((_, host),) = list_starts(plan(pool_state))
    add_job(pool_state, "fill", job(step(3, filler=True)), "slow")
    assert host not in {name for _, name in list_starts(plan(pool_state, 0.2))}


def test_a_host_without_a_recent_reply_gets_no_tasks():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "a", job())
    assert list_starts(plan(pool_state, now=5.0)) == []


def test_a_gang_returns_to_a_host_where_it_failed_if_it_needs_every_host():
    # The gang has as many tasks as hosts: if it avoided the host for good, it would
    # never run.
    pool_state = make_pool_state(["i-0", "i-1"])
    gang = add_job(pool_state, "g", job(step(2, cpu_milli=30000, gang=True)))
    for task in gang.steps[0, 0].tasks:
        task.avoided_hosts["i-0"] = 0.0
    assert list_starts(plan(pool_state, now=0.1)) == []
    assert len(list_starts(plan(pool_state, now=1.6))) == 2


def test_a_task_prefers_a_host_where_it_has_not_failed():
    pool_state = make_pool_state(["i-0", "i-1"])
    one = add_job(pool_state, "g", job(step(1)))
    one.steps[0, 0].tasks[0].avoided_hosts["i-0"] = -9.0
    assert list_starts(plan(pool_state)) == [("g", "i-1")]


def test_headroom_is_kept_for_bursts_of_urgent_steps():
    # Otherwise tasks of lower priority fill every gap between two bursts.
    pool_state = make_pool_state(["i-0", "i-1"])
    planner = Planner(pool_state)
    add_job(pool_state, "burst", job(step(6, cpu_milli=4000)), "fast")
    first = list_starts(planner.plan(0.1, 0.1))
    assert len(first) == 6
    for host in pool_state.hosts.values():
        for run in list(host.runs.values()):
            run.move("lapse")
            host.remove_run(run)
    add_job(pool_state, "paper", job(step(40, cpu_milli=2000)), "slow")
    planner.plan(1.0, 1.0)
    add_job(pool_state, "again", job(step(4, cpu_milli=4000)), "fast")
    assert len(list_starts(planner.plan(1.1, 1.1))) == 4


def test_other_work_may_use_the_whole_pool_without_urgent_demand():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "paper", job(step(16, cpu_milli=2000)), "slow")
    assert len(list_starts(plan(pool_state))) == 16


def test_runs_with_checkpoints_are_preempted_for_a_large_urgent_step():
    # Single tasks hold one accelerator each, and the urgent task needs all eight.
    pool_state = make_pool_state(["i-0"])
    small = step(8, cpu_milli=1000, accelerators=1, checkpoints=True, estimate=5.0)
    add_job(pool_state, "small", job(small), "slow")
    for effect in plan(pool_state):
        pool_state.apply_start_reply(pool_state.hosts["i-0"], effect.run, None, 0.2)
    add_job(pool_state, "large", job(step(1, cpu_milli=8000, accelerators=8)), "fast")
    stops = [e for e in plan(pool_state, 0.3, 0.3) if isinstance(e, StopRun)]
    assert len(stops) == 8
    assert plan(pool_state, 0.4, 0.4) == []


def test_no_run_is_preempted_for_its_own_priority_or_when_nearly_done():
    pool_state = make_pool_state(["i-0"])
    near = step(1, cpu_milli=20000, checkpoints=True, estimate=1.0)
    add_job(pool_state, "near", job(near), "slow")
    (effect,) = plan(pool_state)
    pool_state.apply_start_reply(pool_state.hosts["i-0"], effect.run, None, 0.2)
    add_job(pool_state, "urgent", job(step(1, cpu_milli=20000)), "fast")
    add_job(pool_state, "equal", job(step(1, cpu_milli=20000)), "slow")
    assert plan(pool_state, 0.3, 0.3) == []


def end_only_run(pool_state, now):
    """Let the only run of the pool end without a report, as after an expired lease."""
    ((host, run),) = [
        (host, run) for host in pool_state.hosts.values() for run in host.runs.values()
    ]
    pool_state.replace_host(host, now)
    pool_state.add_or_update_host(entry(host.name), now)
    restarted = pool_state.hosts[host.name]
    restarted.is_stored = True
    report = HostReport(1000, 2, (), ())
    pool_state.apply_report(restarted, report, restarted.token, now, now, now)
    assert pool_state.task(run.key[0]).state == "waiting"


def start_watch_again_beside(other_at, now):
    """Return the starts after a long-running task of an old job has lost its run.

    The job was accepted 60 s before, and the run is lost at 60 s. The host has room for
    one task, and another job of the same queue is accepted at ``other_at``.
    """
    pool_state = make_pool_state(["i-0"])
    watch = job(step(1, cpu_milli=20000, long_running=True))
    add_job(pool_state, "watch", watch, "slow")
    assert list_starts(plan(pool_state)) == [("watch", "i-0")]
    end_only_run(pool_state, 60.0)
    pool_state.hosts["i-0"].replied_at = now
    other = job(step(1, cpu_milli=20000))
    add_job(pool_state, "other", other, "slow", at=other_at)
    return list_starts(plan(pool_state, now, now))


def test_a_long_running_task_that_lost_its_run_is_not_ranked_as_without_value():
    # Counted from the acceptance of its job, it is later than three times its allowed
    # time, and every other step of its priority would be placed before it.
    assert start_watch_again_beside(60.1, 60.2) == [("watch", "i-0")]


def test_a_long_running_task_that_waits_past_its_target_time_is_placed_first():
    # Its users count every second without it, so it never loses its value.
    assert start_watch_again_beside(99.9, 100.0) == [("watch", "i-0")]


def test_the_wait_of_a_long_running_task_counts_from_the_loss_of_its_run():
    # The other job has waited for longer, and both can still meet their target times.
    assert start_watch_again_beside(59.0, 60.2) == [("other", "i-0")]


def test_urgent_steps_that_no_host_may_run_reserve_no_headroom():
    # No host has the label, is large enough, or has a ticket. Such steps wait until
    # their jobs are cancelled, and other work would leave two fifths of the pool idle.
    pool_state = make_pool_state(["i-0", "i-1"])
    pool_state.queues["advised"] = dataclasses.replace(ADVISED, priority=0)
    add_job(pool_state, "labelled", job(step(20, label="none")), "fast")
    add_job(pool_state, "wide", job(step(20, cpu_milli=33000)), "fast")
    denied = add_job(pool_state, "denied", job(step(20)), "advised")
    denied.steps[0, 0].advice.answered.update(["i-0", "i-1"])
    add_job(pool_state, "paper", job(step(32, cpu_milli=2000)), "slow")
    assert len(list_starts(plan(pool_state))) == 32


def time_large_step_under_steady_load(age, *, long_running=False):
    """Return the seconds until a large task is placed beside small ones, None if never.

    The small tasks use 0.7 of two hosts, each for a second, and the large one needs
    most of a host. It has waited for ``age`` seconds when the load begins.
    """
    pool_state = make_pool_state(["i-0", "i-1"])
    planner = Planner(pool_state)
    ends = []
    for tick in range(1200):
        now = tick / 20
        for host in pool_state.hosts.values():
            host.replied_at = now
        for end_at, host, run in list(ends):
            if end_at <= now:
                ends.remove((end_at, host, run))
                run.move("end")
                pool_state._remove_run(host, run)
        if tick % 20 in (0, 4, 8, 11, 15, 18):
            add_job(pool_state, f"small-{tick}", job(step(cpu_milli=8000)), at=now)
        if tick == 100:
            spec = job(step(cpu_milli=30000, long_running=long_running))
            large = add_job(pool_state, "large", spec, at=now - age)
            large.steps[0, 0].ready_at = now - age
        for effect in planner.plan(now, now):
            if not isinstance(effect, StartRun):
                continue
            if effect.run.key[0].job == "large":
                return now - 5.0
            host = pool_state.hosts[effect.host]
            pool_state.apply_start_reply(host, effect.run, None, now)
            ends.append((now + 1.0, host, effect.run))
    return None


def test_a_large_step_in_time_is_placed_under_a_steady_load_of_small_ones():
    assert time_large_step_under_steady_load(0.0) is not None


def test_a_late_large_long_running_step_is_placed_under_a_steady_load():
    assert time_large_step_under_steady_load(30.0, long_running=True) is not None


def test_a_late_large_step_is_placed_in_the_end_under_a_steady_load():
    assert time_large_step_under_steady_load(30.0) is not None


def test_no_host_is_withheld_for_a_step_that_long_running_tasks_keep_out():
    # A host is withheld so that it becomes free. These tasks do not end by themselves.
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "watch", job(step(cpu_milli=8000, long_running=True)), "fast")
    assert list_starts(plan(pool_state)) == [("watch", "i-0")]
    add_job(pool_state, "large", job(step(cpu_milli=30000)), "fast", at=0.1)
    add_job(pool_state, "small", job(step(cpu_milli=4000)), "slow", at=0.1)
    assert list_starts(plan(pool_state)) == [("small", "i-0")]


def test_a_step_withholds_no_host_that_its_spread_does_not_let_it_use():
    # A long-running step is never late: what it withholds, it withholds for good.
    pool_state = make_pool_state(["i-0"])
    spec = job(step(2, cpu_milli=16000, spread=1, long_running=True))
    add_job(pool_state, "lasting", spec, "fast")
    planner = Planner(pool_state)
    for start in planner.plan(0.1, 0.1):
        host = pool_state.hosts[start.host]
        pool_state.apply_start_reply(host, start.run, None, 0.1)
    add_job(pool_state, "small", job(step(1, cpu_milli=1000)), "slow")
    assert list_starts(planner.plan(0.2, 0.2)) == [("small", "i-0")]


def test_a_gang_that_its_allowed_hosts_cannot_hold_withholds_none():
    # A long-running gang is never late: what it withholds, it withholds for good.
    names = ["i-0", "i-1", "i-2", "i-3"]
    pool_state = make_pool_state(names)
    spec = job(step(2, cpu_milli=20000, gang=True, long_running=True))
    gang = add_job(pool_state, "gang", spec, "advised")
    gang.steps[0, 0].advice.record_answer(names, {"i-0": "t"}, 100.0)
    add_job(pool_state, "single", job(step(4, cpu_milli=32000)), "slow")
    assert len(list_starts(plan(pool_state))) == 4


def make_pool_with_quarantined_host():
    """Return a pool of three hosts, and a job that is allowed on a quarantined one."""
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    bound = add_job(pool_state, "bound", job(step(1)), "advised")
    give_tickets(bound, "i-0")
    bound.steps[0, 0].advice.answered.update(["i-1", "i-2"])
    host = pool_state.hosts["i-0"]
    assert pool_state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", 0.1)
    return pool_state, bound, host


def test_a_step_whose_only_allowed_host_is_quarantined_is_placed_within_three_seconds():
    # The users count a job as lost whose tasks do not run for 3 s beside capacity for
    # them. The host has failed tasks of other jobs, perhaps through their own fault.
    pool_state, _, host = make_pool_with_quarantined_host()
    monitor = RunMonitor(pool_state, Timing())
    planner = Planner(pool_state)
    starts = []
    for i in range(15):
        now = 0.2 + 0.2 * i
        host.replied_at = host.reported_at = now
        monitor.check_runs(now, now)
        starts += list_starts(planner.plan(now, now))
    assert starts == [("bound", "i-0")]


def test_steps_with_other_hosts_stay_off_a_quarantined_host():
    # Otherwise one step that is allowed there only would end the quarantine for all.
    pool_state, _, host = make_pool_with_quarantined_host()
    for other in pool_state.hosts.values():
        other.replied_at = 3.0
    add_job(pool_state, "paper", job(step(40, cpu_milli=2000)), "slow")
    starts = list_starts(plan(pool_state, 3.0, 3.0))
    assert [job for job, name in starts if name == host.name] == ["bound"]
    assert len(starts) == 33


def test_a_quarantined_host_is_asked_about_if_no_other_may_run_the_step():
    # The step was asked about the others only, and none of them may run it.
    pool_state, bound, host = make_pool_with_quarantined_host()
    bound.steps[0, 0].advice.forget_host(host.name)
    for other in pool_state.hosts.values():
        other.replied_at = 3.0
    (request,) = plan(pool_state, 3.0, 3.0)
    assert isinstance(request, RequestAdvice) and request.hosts == (host.name,)


def test_attempts_on_a_quarantined_host_are_two_seconds_apart():
    # A job that may run nowhere else would use up its attempts while the host fails.
    pool_state, _, host = make_pool_with_quarantined_host()
    planner = Planner(pool_state)
    starts = []
    for i in range(40):
        now = 0.2 + 0.2 * i
        host.replied_at = host.reported_at = now
        pool_state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", now)
        for start in planner.plan(now, now):
            if not isinstance(start, StartRun):
                continue
            starts.append(now)
            pool_state.apply_start_reply(host, start.run, None, now)
            (number,) = (run for _, run in host.runs)
            end = RunEnd(len(starts), start.run.key[0], number, EndKind.FAILED, "")
            report = HostReport(1000 + i, 1, (), (end,))
            pool_state.apply_report(host, report, host.token, now, now, now)
    assert len(starts) == 3
    assert min(b - a for a, b in itertools.pairwise(starts)) >= 2.0
