"""Tests of when a step stays off a quarantined host that has rested."""

from siskinroad.work.effects import StartRun, StopRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.run_end_table import FAILING_QUARANTINE_S
from siskinroad.work.run_monitor import STALL_QUARANTINE_S, RunMonitor
from tests.work.cell import job, step
from tests.work.test_gang_waiting import Pool, take
from tests.work.test_planner import add_job, give_tickets, make_pool_state

TICK_S = 0.1


def send(pool_state, name, now, running=(), ended=()):
    host = pool_state.hosts[name]
    report = HostReport(round(1000 + now * 1000), 1, tuple(running), tuple(ended))
    return pool_state.apply_report(host, report, host.token, now, now, now)


def accept_starts(pool_state, effects, now):
    """Accept all starts; return them."""
    starts = [effect for effect in effects if isinstance(effect, StartRun)]
    for start in starts:
        host = pool_state.hosts[start.host]
        pool_state.apply_start_reply(host, start.run, None, now)
    return starts


def test_one_rejected_ticket_sends_no_step_to_a_quarantined_host():
    # The usual host is asked about again at once; nothing says that it holds no task.
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    host = pool_state.hosts["i-0"]
    assert pool_state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", 0.1)
    for each in pool_state.hosts.values():
        each.replied_at = each.reported_at = 3.0
    # The task waits for no time yet.
    bound = add_job(pool_state, "bound", job(step(1)), "advised", at=2.9)
    bound.steps[0, 0].ready_at = 2.9
    advice = bound.steps[0, 0].advice
    advice.answered.update(["i-2"])
    give_tickets(bound, "i-0", "i-1")
    assert advice.record_rejection("i-1", None, 3.0).count == 1
    starts = accept_starts(pool_state, Planner(pool_state).plan(3.0, 3.0), 3.0)
    assert [start.host for start in starts] == []


def test_a_task_keeps_an_attempt_for_a_usual_host_that_becomes_free():
    # i-0 fails all that starts there; i-1, which is well, is taken for 8 s.
    pool_state = make_pool_state(["i-0", "i-1", "i-2", "i-3"])
    planner, monitor = Planner(pool_state), RunMonitor(pool_state, Timing())
    taker = add_job(pool_state, "taker", job(step(1, cpu_milli=30000)), "advised")
    taker.steps[0, 0].advice.answered.update(pool_state.hosts)
    give_tickets(taker, "i-1")
    (taken,) = accept_starts(pool_state, planner.plan(0.1, 0.1), 0.1)
    assert taken.host == "i-1"
    host = pool_state.hosts["i-0"]
    assert pool_state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", 0.1)
    host.needs_probation = True
    bound = add_job(pool_state, "bound", job(step(1, cpu_milli=10000)), "advised")
    bound.steps[0, 0].advice.answered.update(["i-2", "i-3"])
    now, number, used = 0.1, 0, []
    while now < 12.0 and not bound.is_closed:
        now = round(now + TICK_S, 3)
        for name in ("i-2", "i-3"):
            send(pool_state, name, now)
        send(pool_state, "i-0", now)
        if taken is not None and now > 8.0:
            key = taken.run.key
            send(pool_state, "i-1", now, ended=[RunEnd(1, *key, EndKind.DONE, "")])
            taken = None
        else:
            listed = [taken.run.key] if taken is not None else []
            running = [RunStatus(*key, "", round(now * 10), 0) for key in listed]
            for run_host, run in list(pool_state.run_index.find_runs("bound")):
                if run_host.name == "i-1":
                    running.append(RunStatus(*run.key, "", round(now), 0))
            send(pool_state, "i-1", now, running=running)
        give_tickets(bound, "i-0", "i-1")
        monitor.check_runs(now, now)
        for start in accept_starts(pool_state, planner.plan(now, now), now):
            used.append((now, start.host))
            if start.host == "i-0":
                number += 1
                end = RunEnd(number, *start.run.key, EndKind.FAILED, "")
                send(pool_state, "i-0", now + 0.05, ended=[end])
    assert used[-1][1] == "i-1", used
    assert bound.outcome != "failed"


def test_a_quarantined_host_on_which_runs_stall_rests_again():
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    planner, monitor = Planner(pool_state), RunMonitor(pool_state, Timing())
    host = pool_state.hosts["i-0"]
    assert pool_state.quarantine_host(host, STALL_QUARANTINE_S, "stalls", 0.1)
    first = add_job(pool_state, "first", job(step(2, long_running=True)), "advised")
    first.steps[0, 0].advice.answered.update(["i-1", "i-2"])
    give_tickets(first, "i-0")
    send(pool_state, "i-0", 2.2)
    starts = accept_starts(pool_state, planner.plan(2.2, 2.2), 2.2)
    assert [start.host for start in starts] == ["i-0", "i-0"]
    running = [RunStatus(*start.run.key, "", 1, 0) for start in starts]
    now, stops = 2.2, []
    while not stops and now < 6.0:
        now = round(now + TICK_S, 3)
        send(pool_state, "i-0", now, running=running)
        effects = monitor.check_runs(now, now)
        stops = [effect for effect in effects if isinstance(effect, StopRun)]
    assert len(stops) == 2
    assert host.is_quarantined
    ends = [
        RunEnd(i + 1, *start.run.key, EndKind.STOPPED, "")
        for i, start in enumerate(starts)
    ]
    now = round(now + TICK_S, 3)
    send(pool_state, "i-0", now, ended=ends)
    second = add_job(pool_state, "second", job(step(2)), "advised", at=now)
    second.steps[0, 0].advice.answered.update(["i-1", "i-2"])
    give_tickets(second, "i-0")
    assert accept_starts(pool_state, planner.plan(now, now), now) == []


def test_a_gang_expects_no_capacity_on_a_quarantined_host_that_another_step_uses():
    # Over half of the pool is in use. The other step may use i-0 only, which is too
    # small for it; the gang has a ticket for i-0 too, and room on i-6 and i-7.
    names = [f"i-{i}" for i in range(8)]
    pool = Pool(names)
    state = pool.pool_state
    for name in names[1:6]:
        take(pool, name)
    assert state.quarantine_host(state.hosts["i-0"], 60.0, "failures", pool.now)
    hopeless = add_job(
        state, "other", job(step(3, cpu_milli=20000, gang=True)), "advised"
    )
    hopeless.steps[0, 0].advice.answered.update(names)
    give_tickets(hopeless, "i-0", until=1e9)
    pool.run(3.0)
    spec = job(step(2, cpu_milli=8000, gang=True))
    gang = add_job(state, "gang", spec, "advised", at=pool.now)
    gang.steps[0, 0].ready_at = pool.now
    give_tickets(gang, "i-0", until=pool.now + 1.0)
    pool.run(1.0)
    assert pool.count_starts("gang") == 2
    assert pool.count_starts("other") == 0
