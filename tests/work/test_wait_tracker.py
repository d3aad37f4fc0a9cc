"""Tests of how long a task has waited, and for how long its reason has held."""

from collections import Counter

import pytest

from bench.planning_load import LoadSizes, PlanningLoad
from siskinroad.work import wait_tracker
from siskinroad.work.host import Reservation
from siskinroad.work.planner import Planner
from siskinroad.work.wait_reasons import WaitReason
from siskinroad.work.wait_tracker import WaitTracker
from tests.work.cell import job, step
from tests.work.test_planner import add_job, make_pool_state


def keep_hosts(pool_state, now):
    """Let all hosts have replied just now."""
    for host in pool_state.hosts.values():
        host.replied_at = now


class Waits:
    """A planner with a tracker of the tasks that still wait."""

    def __init__(self, pool_state):
        self.pool_state = pool_state
        self.planner = Planner(pool_state)
        self.tracker = WaitTracker(pool_state)

    def plan_and_examine(self, now):
        keep_hosts(self.pool_state, now)
        self.planner.plan(now, now)
        return self.tracker.examine(now, self.planner.last_pass)


def end_run(pool_state, now):
    """End the only run of host i-0 without a listed end."""
    host = pool_state.hosts["i-0"]
    (run,) = host.runs.values()
    run.move("lapse")
    pool_state._end_run(host, run, "lapsed", now)


def quarantine(host, failed_at):
    """Quarantine the pool's only host, which gets no work for 2 s after a failure."""
    host.is_quarantined = True
    host.quarantine_evidence_at = failed_at


def test_a_wait_counts_from_the_pass_that_first_finds_the_task():
    pool_state = make_pool_state(["i-0"])
    waits = Waits(pool_state)
    add_job(pool_state, "large", job(step(1, cpu_milli=99000)))
    waits.planner.plan(1.0, 1.0)
    waits.planner.plan(2.0, 2.0)
    (wait,) = waits.plan_and_examine(3.0)
    assert wait.waiting_since == 1.0


def test_a_long_running_task_waits_anew_after_each_run():
    pool_state = make_pool_state(["i-0"])
    waits = Waits(pool_state)
    lasting = add_job(pool_state, "lasting", job(step(1, long_running=True)))
    assert waits.plan_and_examine(1.0) == []
    end_run(pool_state, 20.0)
    quarantine(pool_state.hosts["i-0"], failed_at=20.0)
    assert [w.waiting_since for w in waits.plan_and_examine(20.1)] == [20.0]
    pool_state.hosts["i-0"].is_quarantined = False
    assert waits.plan_and_examine(21.0) == []
    end_run(pool_state, 30.0)
    quarantine(pool_state.hosts["i-0"], failed_at=32.0)
    waits.plan_and_examine(30.2)
    (wait,) = waits.plan_and_examine(33.0)
    assert wait.waiting_since == 30.0
    assert wait.tasks == lasting.steps[0, 0].tasks


def test_a_reason_counts_from_the_examination_that_first_finds_it():
    pool_state = make_pool_state(["i-0"])
    waits = Waits(pool_state)
    add_job(pool_state, "large", job(step(1, cpu_milli=32000)))
    host = pool_state.hosts["i-0"]
    quarantine(host, failed_at=1.0)
    waits.plan_and_examine(1.0)
    (wait,) = waits.plan_and_examine(2.0)
    assert (wait.reason, wait.reason_since) == (WaitReason.NO_SCHEDULABLE_HOST, 1.0)
    host.is_quarantined = False
    host.reserved["other", 0, 0] = Reservation(host.entry.capacity, 9.0)
    waits.plan_and_examine(3.0)
    (wait,) = waits.plan_and_examine(4.0)
    assert (wait.reason, wait.reason_since) == (WaitReason.RESERVED, 3.0)
    assert wait.waiting_since == 1.0


def test_unsettled_tasks_keep_their_wait_when_they_are_settled():
    pool_state = make_pool_state(["i-0"])
    pool_state.is_settled = False
    pool_state.former_owner_hosts = {"i-9"}
    pool_state.former_leases_end_at = 5.0
    waits = Waits(pool_state)
    large = add_job(pool_state, "large", job(step(2, cpu_milli=99000)))
    for task in large.steps[0, 0].tasks:
        task.move("doubt")
    (wait,) = waits.plan_and_examine(1.0)
    assert (wait.reason, len(wait.tasks)) == (WaitReason.UNSETTLED, 2)
    assert pool_state.settle_tasks(5.0)
    (wait,) = waits.plan_and_examine(6.0)
    assert wait.reason is WaitReason.NO_CAPABLE_HOST
    assert wait.waiting_since == 1.0


def test_every_task_waits_for_an_owner_that_is_not_confirmed():
    pool_state = make_pool_state(["i-0"])
    pool_state.is_settled = False
    one = add_job(pool_state, "one", job(step(3)))
    one.steps[0, 0].tasks[0].move("doubt")
    (wait,) = WaitTracker(pool_state).examine(1.0, None)
    assert (wait.reason, len(wait.tasks)) == (WaitReason.OWNER_UNCONFIRMED, 3)


def test_each_waiting_task_has_exactly_one_reason():
    pool_state = make_pool_state(["i-0", "i-1"])
    waits = Waits(pool_state)
    add_job(pool_state, "urgent", job(step(20, cpu_milli=4000)), "fast")
    add_job(pool_state, "gang", job(step(2, cpu_milli=20000, gang=True)), "fast")
    add_job(pool_state, "paper", job(step(9, cpu_milli=4000, spread=1)), "slow")
    add_job(pool_state, "advised", job(step(3)), "advised")
    add_job(pool_state, "other", job(step(2)), "unknown")
    found = [task for wait in waits.plan_and_examine(1.0) for task in wait.tasks]
    waiting = [
        task
        for step_run in pool_state.ready.values()
        for task in step_run.tasks
        if task.state == "waiting"
    ]
    assert len(found) > 10
    assert sorted(t.id for t in found) == sorted(t.id for t in waiting)


class ExaminedLoad(PlanningLoad):
    """Load whose waits are examined after each planning pass."""

    def __init__(self, sizes, seed):
        self.tracker = None
        self.counts = Counter()
        super().__init__(sizes, seed)

    def plan(self, channels):
        effects = super().plan(channels)
        if self.tracker is None:
            self.tracker = WaitTracker(self.pool_state)
        found = []
        for wait in self.tracker.examine(self.now, self.planner.last_pass):
            self.counts[wait.reason] += len(wait.tasks)
            found += [task.id for task in wait.tasks]
        ready = self.pool_state.ready.values()
        assert sorted(found) == sorted(t.id for s in ready for t in s.waiting())
        return effects


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_known_reason_explains_each_task_that_a_pass_leaves_waiting(seed):
    # The examiner repeats the planner's checks: one that it lacks, or that differs,
    # leaves tasks unexplained under a load with faults.
    sizes = LoadSizes(
        hosts=30, backlog_jobs=10, advised_per_s=20.0, gangs_per_s=3.0, faults_per_s=10
    )
    load = ExaminedLoad(sizes, seed)
    load.run(2.0)
    assert len(load.counts) >= 4
    assert not load.counts[WaitReason.UNEXPLAINED]
    assert not load.counts[WaitReason.ADVICE_NOT_REQUESTED]


@pytest.mark.parametrize("limit", [0, 2])
def test_steps_beyond_the_limit_are_counted_as_not_examined(monkeypatch, limit):
    monkeypatch.setattr(wait_tracker, "MAX_EXAMINED_STEPS", limit)
    pool_state = make_pool_state(["i-0"])
    waits = Waits(pool_state)
    for i in range(5):
        add_job(pool_state, f"large-{i}", job(step(1, cpu_milli=99000)))
        waits.planner.plan(1.0 + i, 1.0 + i)
    found = [(w.step.job.id, w.reason) for w in waits.plan_and_examine(7.0)]
    reasons = [WaitReason.NO_CAPABLE_HOST] * limit
    reasons += [WaitReason.NOT_EXAMINED] * (5 - limit)
    assert found == [(f"large-{i}", reason) for i, reason in enumerate(reasons)]
