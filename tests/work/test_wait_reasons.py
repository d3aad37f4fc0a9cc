"""Tests of the reason that is given for each waiting task."""

from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.host import Reservation
from siskinroad.work.planner import Planner
from siskinroad.work.planning_pass import AVOID_FAILED_HOST_S
from siskinroad.work.wait_reasons import WaitExaminer, WaitReason
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, give_tickets, make_pool_state

# Need of a task that takes most of a host.
LARGE_CPU_MILLI = 30000


def find_reasons(pool_state, waiting_job, now=0.1, channels=None, planner=None):
    """Return the number of a job's waiting tasks by reason, after a planning pass."""
    planner = planner or Planner(pool_state)
    planner.plan(now, now, channels)
    examiner = WaitExaminer(planner.last_pass)
    counts = {}
    for step_run in waiting_job.steps.values():
        if step_run.waiting_count:
            for reason, tasks in examiner.find_reasons(step_run).items():
                counts[reason] = counts.get(reason, 0) + len(tasks)
    return counts


def fill(pool_state, count=1, **fields):
    """Start tasks that each take most of a host."""
    fields.setdefault("cpu_milli", LARGE_CPU_MILLI)
    filler = add_job(pool_state, "fill", job(step(count, **fields)), "fast")
    Planner(pool_state).plan(0.1, 0.1)
    assert not filler.steps[0, 0].waiting_count
    return filler


def test_a_placed_task_has_no_reason():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job())
    assert find_reasons(pool_state, one) == {}


def test_no_queue():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(), "unknown")
    assert find_reasons(pool_state, one) == {WaitReason.NO_QUEUE: 1}


def test_gang_incomplete_while_another_member_still_runs():
    pool_state = make_pool_state(["i-0"])
    gang = add_job(pool_state, "gang", job(step(2, gang=True)))
    gang.steps[0, 0].tasks[0].move("order")
    assert find_reasons(pool_state, gang) == {WaitReason.GANG_INCOMPLETE: 1}


def test_no_schedulable_host_while_all_are_draining():
    pool_state = make_pool_state(["i-0"], **{"i-0": entry("i-0", draining=True)})
    one = add_job(pool_state, "one", job())
    assert find_reasons(pool_state, one) == {WaitReason.NO_SCHEDULABLE_HOST: 1}


def test_no_capable_host_for_a_label_that_none_has():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(step(1, label="none")))
    assert find_reasons(pool_state, one) == {WaitReason.NO_CAPABLE_HOST: 1}


def test_advice_pending_after_a_request():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(), "advised")
    assert find_reasons(pool_state, one) == {WaitReason.ADVICE_PENDING: 1}


def test_advice_no_channel_while_all_are_busy():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(), "advised")
    channels = ChannelTimes([9.0], [9.0])
    reasons = find_reasons(pool_state, one, channels=channels)
    assert reasons == {WaitReason.ADVICE_NO_CHANNEL: 1}


def test_advice_not_requested_although_a_channel_is_free(monkeypatch):
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(), "advised")
    planner = Planner(pool_state)
    monkeypatch.setattr(
        planner.advice_requester, "check_or_request_advice", lambda *args: False
    )
    reasons = find_reasons(pool_state, one, planner=planner)
    assert reasons == {WaitReason.ADVICE_NOT_REQUESTED: 1}


def test_advice_not_allowed_if_no_capable_host_got_a_ticket(monkeypatch):
    pool_state = make_pool_state(["i-0", "i-1"])
    one = add_job(pool_state, "one", job(), "advised")
    one.steps[0, 0].advice.answered.update(("i-0", "i-1"))
    planner = Planner(pool_state)
    monkeypatch.setattr(
        planner.advice_requester, "check_or_request_advice", lambda *args: False
    )
    reasons = find_reasons(pool_state, one, planner=planner)
    assert reasons == {WaitReason.ADVICE_NOT_ALLOWED: 1}


def test_tickets_stale_if_no_channel_renews_them():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(), "advised")
    give_tickets(one, "i-0", until=0.2)
    channels = ChannelTimes([9.0], [9.0])
    reasons = find_reasons(pool_state, one, channels=channels)
    assert reasons == {WaitReason.TICKETS_STALE: 1}
    # A free channel takes the renewal.
    assert find_reasons(pool_state, one) == {WaitReason.ADVICE_PENDING: 1}


def test_ticketed_hosts_full_while_hosts_without_tickets_are_free(monkeypatch):
    pool_state = make_pool_state(["i-0", "i-1"])
    host = pool_state.hosts["i-0"]
    holder = add_job(pool_state, "holder", job(step(1, cpu_milli=LARGE_CPU_MILLI)))
    run = holder.steps[0, 0].make_run(holder.steps[0, 0].tasks[0], 1, host.token, 0.0)
    holder.steps[0, 0].tasks[0].move("order")
    host.add_run(run)
    one = add_job(pool_state, "one", job(), "advised")
    give_tickets(one, "i-0")
    planner = Planner(pool_state)
    # Nobody asks about the other host, as while the advisor's channels are busy.
    requester = planner.advice_requester
    monkeypatch.setattr(requester, "check_or_request_advice", lambda *args: True)
    monkeypatch.setattr(requester, "request_for_blocked_step", lambda *args: None)
    reasons = find_reasons(pool_state, one, planner=planner)
    assert reasons == {WaitReason.TICKETED_HOSTS_FULL: 1}
    one.steps[0, 0].is_advice_pending = True
    reasons = find_reasons(pool_state, one, planner=planner)
    assert reasons == {WaitReason.ADVICE_PENDING: 1}


def test_no_capacity_on_full_hosts():
    pool_state = make_pool_state(["i-0"])
    fill(pool_state)
    one = add_job(pool_state, "one", job())
    assert find_reasons(pool_state, one) == {WaitReason.NO_CAPACITY: 1}


def test_no_capacity_for_the_whole_gang():
    pool_state = make_pool_state(["i-0", "i-1"])
    gang = add_job(
        pool_state, "gang", job(step(3, cpu_milli=LARGE_CPU_MILLI, gang=True))
    )
    assert find_reasons(pool_state, gang) == {WaitReason.NO_CAPACITY: 3}


def test_reserved_capacity_of_another_step():
    pool_state = make_pool_state(["i-0"])
    host = pool_state.hosts["i-0"]
    host.reserved["other", 0, 0] = Reservation(host.entry.capacity, 9.0)
    one = add_job(pool_state, "one", job())
    assert find_reasons(pool_state, one) == {WaitReason.RESERVED: 1}
    assert find_reasons(pool_state, one, now=9.1) == {WaitReason.NO_SCHEDULABLE_HOST: 1}


def test_excluded_by_a_blocked_gang():
    pool_state = make_pool_state(["i-0", "i-1", "i-2", "i-3"])
    fill(pool_state, 3)
    spec = job(step(2, cpu_milli=20000, gang=True))
    gang = add_job(pool_state, "gang", spec, "fast")
    small = add_job(pool_state, "small", job(step(1, cpu_milli=9000)), "slow")
    planner = Planner(pool_state)
    reasons = find_reasons(pool_state, small, planner=planner)
    assert reasons == {WaitReason.EXCLUDED_BY_BLOCKED_STEP: 1}
    reasons = find_reasons(pool_state, gang, planner=planner)
    assert reasons == {WaitReason.NO_CAPACITY: 2}


def test_spread_limit():
    pool_state = make_pool_state(["i-0", "i-1"])
    spread = add_job(pool_state, "a", job(step(9, cpu_milli=100, spread=2)))
    assert find_reasons(pool_state, spread) == {WaitReason.SPREAD: 5}


def test_urgent_headroom():
    pool_state = make_pool_state(["i-0"])
    planner = Planner(pool_state)
    add_job(pool_state, "burst", job(step(3, cpu_milli=4000)), "fast")
    planner.plan(0.1, 0.1)
    host = pool_state.hosts["i-0"]
    for run in list(host.runs.values()):
        run.move("lapse")
        host.remove_run(run)
    paper = add_job(pool_state, "paper", job(step(16, cpu_milli=2000)), "slow")
    reasons = find_reasons(pool_state, paper, now=0.2, planner=planner)
    assert list(reasons) == [WaitReason.URGENT_HEADROOM]


def test_only_the_task_that_failed_avoids_the_host():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(step(2)))
    one.steps[0, 0].tasks[0].avoided_hosts["i-0"] = 0.0
    assert find_reasons(pool_state, one) == {WaitReason.AVOIDS_FAILED_HOST: 1}
    assert not find_reasons(pool_state, one, now=AVOID_FAILED_HOST_S)


def test_a_gang_avoids_a_host_where_one_of_its_members_failed():
    pool_state = make_pool_state(["i-0", "i-1"])
    spec = job(step(2, cpu_milli=LARGE_CPU_MILLI, gang=True))
    gang = add_job(pool_state, "gang", spec)
    for task in gang.steps[0, 0].tasks:
        task.avoided_hosts["i-0"] = 0.0
    assert find_reasons(pool_state, gang) == {WaitReason.AVOIDS_FAILED_HOST: 2}


def test_a_speculative_copy_avoids_the_host_of_the_older_run():
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job(step(1, copies=True)))
    one.steps[0, 0].tasks[0].older_run_host = "i-0"
    assert find_reasons(pool_state, one) == {WaitReason.AVOIDS_FAILED_HOST: 1}


def test_unexplained_if_the_planner_leaves_out_a_task_that_fits(monkeypatch):
    pool_state = make_pool_state(["i-0"])
    one = add_job(pool_state, "one", job())
    planner = Planner(pool_state)
    monkeypatch.setattr(planner, "_plan_step", lambda *args: None)
    reasons = find_reasons(pool_state, one, planner=planner)
    assert reasons == {WaitReason.UNEXPLAINED: 1}
