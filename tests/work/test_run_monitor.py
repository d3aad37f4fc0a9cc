"""Tests of the run monitor: stalled, slow and leaving hosts, copies, throttling."""

import dataclasses

from siskinroad.work.effects import StartRun, StopRun, ThrottleRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, make_pool_state

TIMING = Timing(stop_grace_s=0.2)


def report_host(pool_state, host, now, running=(), ended=()):
    """Apply a report of a host and return the effects."""
    state = pool_state.hosts[host]
    report = HostReport(1000 + int(now * 1000), 1, tuple(running), tuple(ended))
    return pool_state.apply_report(state, report, state.token, now - 0.001, now, now)


def start_waiting(pool_state, now):
    """Start every task that fits, each confirmed at once; return the starts."""
    starts = [e for e in Planner(pool_state).plan(now, now) if isinstance(e, StartRun)]
    for effect in starts:
        pool_state.apply_start_reply(
            pool_state.hosts[effect.host], effect.run, None, now
        )
    return starts


def learn_run_time(pool_state, now=0.1, seconds=0.9):
    """Let ten tasks with a declared time of 1 s end after ``seconds``."""
    add_job(pool_state, "taught", job(step(10, cpu_milli=100, estimate=1.0)), "fast")
    ends = {}
    for i, effect in enumerate(start_waiting(pool_state, now)):
        end = RunEnd(i + 1, *effect.run.key, EndKind.DONE, "")
        ends.setdefault(effect.host, []).append(end)
    for host, ended in ends.items():
        report_host(pool_state, host, now + seconds, ended=ended)


def running_row(effect, percent, usage=0):
    """Return the row of a started run in a host's report."""
    return RunStatus(*effect.run.key, "", percent, usage)


def start_three_jobs(pool_state, now, estimate=1.0):
    """Start one task of each of three jobs on one host; return the starts."""
    for name in ("j", "k", "l"):
        add_job(pool_state, name, job(step(1, estimate=estimate)), "fast")
    begun = start_waiting(pool_state, now)
    assert len({effect.host for effect in begun}) == 1
    return begun


def report_all(pool_state, now, begun, percent):
    """Let every host report its started runs at the same progress."""
    for name in pool_state.hosts:
        here = [running_row(effect, percent) for effect in begun if effect.host == name]
        report_host(pool_state, name, now, here)


def test_a_slow_host_is_quarantined_and_its_tasks_move_if_they_end_sooner():
    # The host has become about six times slower than the others.
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state)
    begun = start_three_jobs(pool_state, 1.1)
    report_all(pool_state, 1.9, begun, 12)
    effects = RunMonitor(pool_state, TIMING).check_runs(1.9, 1.9)
    stopped = [e.run for e in effects if isinstance(e, StopRun)]
    assert stopped == [effect.run for effect in begun]
    assert pool_state.hosts[begun[0].host].is_quarantined


def test_hosts_of_normal_speed_are_not_quarantined():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state)
    report_all(pool_state, 1.9, start_three_jobs(pool_state, 1.1), 55)
    assert RunMonitor(pool_state, TIMING).check_runs(1.9, 1.9) == []
    assert not any(host.is_quarantined for host in pool_state.hosts.values())


def test_a_wrong_declared_time_of_a_queue_makes_no_host_slow():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state, seconds=4.9)
    report_all(pool_state, 7.9, start_three_jobs(pool_state, 5.1), 55)
    assert RunMonitor(pool_state, TIMING).check_runs(7.9, 7.9) == []


def test_a_wrong_declared_time_of_one_job_makes_no_host_slow():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state)
    add_job(pool_state, "j", job(step(2, estimate=1.0)), "fast")
    report_all(pool_state, 1.9, start_waiting(pool_state, 1.1), 12)
    assert RunMonitor(pool_state, TIMING).check_runs(1.9, 1.9) == []


def test_runs_that_have_just_begun_make_no_host_slow():
    # The host reports the runs without progress, and then nothing for 0.85 s.
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state)
    begun = start_three_jobs(pool_state, 1.1)
    report_all(pool_state, 1.15, begun, 0)
    assert RunMonitor(pool_state, TIMING).check_runs(2.0, 2.0) == []


def test_a_stalled_run_is_stopped_and_resumes_on_another_host():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    add_job(pool_state, "j", job(step(1)), "slow")
    (begun,) = start_waiting(pool_state, 0.1)
    for now in (0.5, 1.5, 2.5, 3.5):
        for name in pool_state.hosts:
            report_host(
                pool_state,
                name,
                now,
                [running_row(begun, 5)] if name == begun.host else [],
            )
    (stop,) = RunMonitor(pool_state, TIMING).check_runs(3.5, 3.5)
    end = RunEnd(1, *begun.run.key, EndKind.STOPPED, "ck")
    report_host(pool_state, begun.host, 3.6, ended=[end])
    (restart,) = start_waiting(pool_state, 3.7)
    assert stop.run is begun.run and restart.host != begun.host
    assert restart.checkpoint == "ck"


def test_best_effort_tasks_are_throttled_before_a_tail_reaches_its_bound():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "s", job(step(1, long_running=True, tail_limit=0.1)), "fast")
    (serving,) = start_waiting(pool_state, 0.1)
    add_job(pool_state, "f", job(step(1, filler=True)), "slow")
    (filler,) = start_waiting(pool_state, 0.2)
    run_monitor = RunMonitor(pool_state, TIMING)
    report_host(
        pool_state,
        "i-0",
        1.0,
        [running_row(serving, 100, 80), running_row(filler, 10, 4000)],
    )
    (slower,) = run_monitor.check_runs(1.0, 1.0)
    assert isinstance(slower, ThrottleRun) and slower.percent < 100
    report_host(
        pool_state,
        "i-0",
        2.0,
        [running_row(serving, 100, 30), running_row(filler, 12, 400)],
    )
    (faster,) = run_monitor.check_runs(2.0, 2.0)
    assert faster.percent > slower.percent


def test_a_throttling_without_a_reply_is_sent_again():
    # It may have taken effect, and would then last although the speed is as before.
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "f", job(step(1, filler=True)), "slow")
    (filler,) = start_waiting(pool_state, 0.2)
    filler.run.is_speed_known = False
    report_host(pool_state, "i-0", 1.0, [running_row(filler, 10, 4000)])
    (again,) = RunMonitor(pool_state, TIMING).check_runs(1.0, 1.0)
    assert isinstance(again, ThrottleRun) and again.percent == 100


def start_copyable_task(pool_state, now):
    """Start one task whose step allows copies; return its host and its start."""
    learn_run_time(pool_state)
    add_job(pool_state, "c", job(step(1, estimate=1.0, copies=True)), "fast")
    (begun,) = start_waiting(pool_state, now)
    return pool_state.hosts[begun.host], begun


def report_progress(pool_state, begun, now, percent):
    """Let every host report; the host of the task reports its progress."""
    for name in pool_state.hosts:
        rows = [running_row(begun, percent)] if name == begun.host else []
        report_host(pool_state, name, now, rows)


def test_a_task_on_a_silent_host_is_copied_before_the_lease_expires():
    # The host is cut off or has lost power.
    pool_state = make_pool_state(["i-0", "i-1"])
    host, begun = start_copyable_task(pool_state, 2.0)
    report_progress(pool_state, begun, 2.1, 10)
    host.replied_at = 0.0
    RunMonitor(pool_state, TIMING).check_runs(2.5, 2.5)
    assert start_waiting(pool_state, 2.5) == []
    RunMonitor(pool_state, TIMING).check_runs(2.9, 2.9)
    (copy_start,) = start_waiting(pool_state, 2.9)
    assert copy_start.host != host.name and copy_start.run.key[1] == 2


def test_a_slow_task_is_copied_once_and_the_first_end_counts():
    # The host has become four times slower while the task runs.
    pool_state = make_pool_state(["i-0", "i-1"])
    host, begun = start_copyable_task(pool_state, 2.0)
    report_progress(pool_state, begun, 2.8, 20)
    run_monitor = RunMonitor(pool_state, TIMING)
    run_monitor.check_runs(2.85, 2.85)
    (copy_start,) = start_waiting(pool_state, 2.9)
    assert copy_start.host != host.name
    run_monitor.check_runs(3.1, 3.1)
    assert start_waiting(pool_state, 3.1) == []
    end = RunEnd(99, *copy_start.run.key, EndKind.DONE, "")
    effects = report_host(pool_state, copy_start.host, 3.9, ended=[end])
    stops = [e for e in effects if isinstance(e, StopRun)]
    assert [(e.host, e.run) for e in stops] == [(host.name, begun.run)]
    assert pool_state.jobs["c"].outcome == "complete"


def test_the_speculative_copy_is_stopped_when_the_first_run_ends():
    pool_state = make_pool_state(["i-0", "i-1"])
    host, begun = start_copyable_task(pool_state, 2.0)
    report_progress(pool_state, begun, 2.8, 20)
    RunMonitor(pool_state, TIMING).check_runs(2.85, 2.85)
    (copy_start,) = start_waiting(pool_state, 2.9)
    end = RunEnd(99, *begun.run.key, EndKind.DONE, "")
    effects = report_host(pool_state, host.name, 3.3, ended=[end])
    assert [e.run for e in effects if isinstance(e, StopRun)] == [copy_start.run]
    assert pool_state.jobs["c"].outcome == "complete"


def test_tasks_whose_step_allows_no_copies_are_never_copied():
    pool_state = make_pool_state(["i-0", "i-1"])
    learn_run_time(pool_state)
    add_job(pool_state, "c", job(step(1, estimate=1.0)), "fast")
    (begun,) = start_waiting(pool_state, 2.0)
    host = pool_state.hosts[begun.host]
    report_progress(pool_state, begun, 2.8, 20)
    host.replied_at = 0.0
    RunMonitor(pool_state, TIMING).check_runs(3.9, 3.9)
    assert start_waiting(pool_state, 3.9) == []


def test_each_failed_run_of_a_copied_task_counts_once():
    pool_state = make_pool_state(["i-0", "i-1"])
    host, begun = start_copyable_task(pool_state, 2.0)
    report_progress(pool_state, begun, 2.8, 20)
    RunMonitor(pool_state, TIMING).check_runs(2.85, 2.85)
    (copy_start,) = start_waiting(pool_state, 2.9)
    report_host(
        pool_state,
        host.name,
        3.2,
        ended=[RunEnd(99, *begun.run.key, EndKind.FAILED, "")],
    )
    task = pool_state.task(begun.run.key[0])
    assert (task.failure_count, task.state, task.older_run_host) == (1, "placed", "")
    report_host(
        pool_state,
        copy_start.host,
        3.3,
        ended=[RunEnd(99, *copy_start.run.key, EndKind.FAILED, "")],
    )
    assert (task.failure_count, task.state) == (2, "waiting")


def drain_host(pool_state, host, min_stay_s, now):
    """Let a host drain and return the jobs whose runs the monitor stops."""
    state = pool_state.hosts[host]
    draining_entry = dataclasses.replace(
        state.entry, draining=True, min_stay_s=min_stay_s
    )
    pool_state.add_or_update_host(draining_entry, now)
    effects = RunMonitor(pool_state, TIMING).check_runs(now, now)
    return [e.run.key[0].job for e in effects if isinstance(e, StopRun)]


def test_runs_that_will_not_end_before_their_host_leaves_are_stopped():
    # The host is drained and leaves after 2.5 s.
    pool_state = make_pool_state(["i-0"])
    learn_run_time(pool_state)
    add_job(pool_state, "saves", job(step(1, estimate=4.0, checkpoints=True)), "slow")
    add_job(pool_state, "lasts", job(step(1, long_running=True)), "slow")
    add_job(pool_state, "plain", job(step(1, estimate=9.0)), "slow")
    add_job(pool_state, "short", job(step(1, estimate=1.0)), "slow")
    begun = start_waiting(pool_state, 2.0)
    report_host(pool_state, "i-0", 2.3, [running_row(effect, 10) for effect in begun])
    assert sorted(drain_host(pool_state, "i-0", 2.5, 2.4)) == ["plain", "saves"]
    # Long-running tasks work until just before the host leaves.
    lasting = [running_row(e, 100) for e in begun if e.run.key[0].job == "lasts"]
    report_host(pool_state, "i-0", 4.4, lasting)
    assert drain_host(pool_state, "i-0", 2.5, 4.5) == ["lasts"]


def test_a_lasting_run_is_stopped_before_its_host_leaves_though_that_is_read_late():
    # The owner reads the live list up to 0.5 s late, checks runs every 0.2 s, and the
    # stop takes its grace and a round trip.
    pool_state = make_pool_state(["i-0"])
    report_host(pool_state, "i-0", 1.9)
    add_job(pool_state, "lasts", job(step(1, long_running=True)), "slow")
    (begun,) = start_waiting(pool_state, 2.0)
    stays_s, read_late_s, tick_s, round_trip_s = 11.0, 0.5, 0.2, 0.1
    left_at = 2.0 + stays_s
    report_host(pool_state, "i-0", 2.3, [running_row(begun, 100)])
    assert drain_host(pool_state, "i-0", stays_s, 2.0 + read_late_s) == []
    stop_by = left_at - TIMING.stop_grace_s - round_trip_s
    checked_at = stop_by - tick_s
    report_host(pool_state, "i-0", checked_at, [running_row(begun, 100)])
    assert drain_host(pool_state, "i-0", stays_s, checked_at) == ["lasts"]


def test_runs_that_end_before_their_host_leaves_are_not_stopped():
    pool_state = make_pool_state(["i-0"])
    report_host(pool_state, "i-0", 1.9)
    add_job(pool_state, "saves", job(step(1, estimate=2.0, checkpoints=True)), "slow")
    (begun,) = start_waiting(pool_state, 2.0)
    report_host(pool_state, "i-0", 2.3, [running_row(begun, 15)])
    assert drain_host(pool_state, "i-0", 2.5, 2.4) == []


def test_a_repeated_listing_of_a_draining_host_does_not_postpone_its_leave():
    pool_state = make_pool_state(["i-0"])
    for now in (1.0, 2.0):
        drain_host(pool_state, "i-0", 2.5, now)
    assert pool_state.hosts["i-0"].earliest_leave_at == 3.5


def apply_late_report(pool_state, host, sent_at, made_at, now, running=()):
    """Apply a report that has waited in the owner's socket since it was made."""
    state = pool_state.hosts[host]
    report = HostReport(1000 + int(made_at * 1000), 1, tuple(running), ())
    return pool_state.apply_report(
        state, report, state.token, sent_at, now, now, answered_by=made_at
    )


def test_a_late_owner_takes_no_host_for_slow():
    # The reports were made after 1.05 s of work, at the expected speed, and are read
    # 4 s later.
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    learn_run_time(pool_state)
    begun = start_three_jobs(pool_state, 1.1)
    for name in pool_state.hosts:
        rows = [running_row(start, 60) for start in begun if start.host == name]
        apply_late_report(pool_state, name, 1.2, 1.7, 5.7, rows)
    assert RunMonitor(pool_state, TIMING).check_runs(5.7, 5.7) == []
    assert not any(host.is_quarantined for host in pool_state.hosts.values())


def test_a_late_owner_takes_no_run_for_stalled():
    # The host has reported progress each half second, but the owner has read its last
    # report, with the same whole percent, 3 s after that was made.
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    add_job(pool_state, "j", job(step(1, estimate=60.0)), "slow")
    (begun,) = start_waiting(pool_state, 0.1)
    report_host(pool_state, begun.host, 0.5, [running_row(begun, 1)])
    row = running_row(begun, 1)
    apply_late_report(pool_state, begun.host, 0.6, 0.9, 3.9, [row])
    assert RunMonitor(pool_state, TIMING).check_runs(3.9, 3.9) == []
    assert begun.run.state == "running"


def make_named_pool(count):
    """Return a pool in which each host has its own name as a label."""
    names = [f"i-{i}" for i in range(count)]
    return make_pool_state(names, **{name: entry(name, rack=name) for name in names})


def add_named_host(pool_state, name, now):
    """List a host, under a name that may have been used before, and let it reply."""
    pool_state.add_or_update_host(entry(name, rack=name), now)
    host = pool_state.hosts[name]
    host.is_stored = True
    report = HostReport(1000 + int(now * 1000), 2, (), ())
    pool_state.apply_report(host, report, host.token, now, now, now)


def fail_three_jobs(pool_state, name, now):
    """Let tasks of three jobs fail on one host; return whether it is quarantined."""
    host = pool_state.hosts[name]
    for _ in range(3):
        now += 0.1
        for each in pool_state.hosts.values():
            each.replied_at = now
        spec = job(step(1, label=name))
        job_id = f"{name}-{now:.1f}"
        add_job(pool_state, job_id, spec, "fast", at=now)
        (begun,) = start_waiting(pool_state, now)
        end = RunEnd(host.last_end_seen + 1, *begun.run.key, EndKind.FAILED, "")
        report_host(pool_state, name, now + 0.05, ended=[end])
        pool_state.cancel(job_id, now, now)
    return host.is_quarantined


def test_a_host_whose_tasks_keep_failing_is_quarantined_for_a_while():
    pool_state = make_named_pool(4)
    run_monitor = RunMonitor(pool_state, TIMING)
    assert fail_three_jobs(pool_state, "i-0", 1.0)
    run_monitor.check_runs(1.5, 1.5)
    run_monitor.check_runs(6.0, 6.0)
    assert pool_state.hosts["i-0"].is_quarantined
    run_monitor.check_runs(8.0, 8.0)
    assert not pool_state.hosts["i-0"].is_quarantined


def test_hosts_that_left_in_quarantine_do_not_prevent_that_of_others():
    # Half of the hosts failed and were replaced by others, of which one fails too.
    pool_state = make_named_pool(4)
    for i in range(2):
        assert fail_three_jobs(pool_state, f"i-{i}", 1.0 + i)
        pool_state.replace_host(pool_state.hosts[f"i-{i}"], 2.0 + i)
        add_named_host(pool_state, f"i-{i + 4}", 2.0 + i)
    assert fail_three_jobs(pool_state, "i-4", 5.0)


def test_a_host_that_comes_back_under_its_name_can_be_quarantined_again():
    pool_state = make_named_pool(4)
    run_monitor = RunMonitor(pool_state, TIMING)
    assert fail_three_jobs(pool_state, "i-0", 1.0)
    run_monitor.check_runs(1.5, 1.5)
    pool_state.replace_host(pool_state.hosts["i-0"], 2.0)
    add_named_host(pool_state, "i-0", 3.0)
    assert fail_three_jobs(pool_state, "i-0", 20.0)
    run_monitor.check_runs(20.5, 20.5)
    assert pool_state.hosts["i-0"].is_quarantined


def test_slow_and_failing_hosts_in_quarantine_are_at_most_half_of_the_pool():
    # Four of ten hosts stall; then others fail. If more than half look bad, the cause
    # is probably not in the hosts.
    pool_state = make_named_pool(10)
    run_monitor = RunMonitor(pool_state, TIMING)
    for i in range(4):
        spec = job(step(2, label=f"i-{i}"))
        add_job(pool_state, f"stalled-{i}", spec, "fast")
    begun = start_waiting(pool_state, 0.1)
    for now in (0.5, 1.5, 2.5, 3.5):
        report_all(pool_state, now, begun, 5)
    run_monitor.check_runs(3.5, 3.5)
    assert sum(host.is_quarantined for host in pool_state.hosts.values()) == 4
    for i in range(4, 10):
        fail_three_jobs(pool_state, f"i-{i}", 3.5 + i / 10)
    assert sum(host.is_quarantined for host in pool_state.hosts.values()) == 5


def test_a_success_counts_for_the_host_that_lists_it():
    # The older run of a copied task succeeds; the host of the copy has shown nothing.
    pool_state = make_pool_state(["i-0", "i-1"])
    host, begun = start_copyable_task(pool_state, 2.0)
    report_progress(pool_state, begun, 2.8, 20)
    RunMonitor(pool_state, TIMING).check_runs(2.85, 2.85)
    (copy_start,) = start_waiting(pool_state, 2.9)
    assert copy_start.host != host.name
    observed = []
    pool_state.health.observe = lambda *args: observed.append(args[:3])
    end = RunEnd(99, *begun.run.key, EndKind.DONE, "")
    report_host(pool_state, host.name, 3.3, ended=[end])
    assert observed == [(host.name, "c", True)]


def test_a_host_that_drains_a_second_time_is_given_its_whole_notice():
    # It drained before, and was ready again since, such as after a restart.
    pool_state = make_pool_state(["i-0"])
    drain_host(pool_state, "i-0", 2.5, 1.0)
    pool_state.add_or_update_host(entry("i-0"), 5.0)
    report_host(pool_state, "i-0", 5.9)
    learn_run_time(pool_state, 6.0)
    add_job(pool_state, "saves", job(step(1, estimate=1.5, checkpoints=True)), "slow")
    (begun,) = start_waiting(pool_state, 7.0)
    report_host(pool_state, "i-0", 7.3, [running_row(begun, 15)])
    assert drain_host(pool_state, "i-0", 2.5, 7.4) == []


def test_a_long_task_that_progresses_by_a_percent_in_some_seconds_is_not_stalled():
    # Reports give whole percents: a task of 400 s shows the same one for 4 s.
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "j", job(step(1, estimate=400.0)), "slow")
    (begun,) = start_waiting(pool_state, 0.1)
    run_monitor = RunMonitor(pool_state, TIMING)
    for tick in range(1, 60):
        now = 0.2 * tick
        report_progress(pool_state, begun, now, int(now / 4))
        assert run_monitor.check_runs(now, now) == []
