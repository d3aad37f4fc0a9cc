"""Tests that what is kept of tasks and runs by job equals a full scan."""

import pytest

from bench.planning_load import LoadSizes, PlanningLoad
from siskinroad.resources import Resources
from siskinroad.work.host import QueueUse
from siskinroad.work.hosts import HostReport, RunStatus
from siskinroad.work.model import TaskId
from siskinroad.work.records import Progress
from siskinroad.work.run_ends import RunEnds
from siskinroad.work.speed_estimates import SpeedEstimates
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, make_pool_state

SEEDS = range(1, 5)
# A small pool, in which hosts fall silent, drain and jobs are cancelled.
TROUBLED = LoadSizes(
    hosts=16,
    urgent_per_s=3.0,
    advised_per_s=2.0,
    gangs_per_s=1.0,
    backlog_jobs=2,
    backlog_tasks=20,
    faults_per_s=4.0,
    lasting_tasks=4,
)


class CheckedLoad(PlanningLoad):
    """Load that compares every index with a full scan after each event."""

    def note_event(self):
        check_tallies(self.pool_state)
        check_pending(self.pool_state)
        check_run_indexes(self.pool_state)


def check_tallies(pool_state):
    for each in pool_state.jobs.values():
        for step_run in each.steps.values():
            tasks = step_run.tasks
            waiting = [task for task in tasks if task.state == "waiting"]
            assert step_run.waiting() == list(step_run.iterate_waiting()) == waiting
            assert step_run.waiting_count == len(waiting)
            assert step_run.is_done() == all(task.state == "done" for task in tasks)


def check_pending(pool_state):
    for queue in pool_state.queues:
        pending = [
            each
            for each in pool_state.jobs.values()
            if each.queue == queue and not each.has_started and not each.is_closed
        ]
        assert pool_state.count_pending(queue) == len(pending)


def check_run_indexes(pool_state):
    by_job = {}
    for host in pool_state.hosts.values():
        uses = {}
        used = Resources()
        for run in host.runs.values():
            by_job.setdefault(run.key[0].job, {})[host.name, run.key] = (host, run)
            use = uses.setdefault(run.queue, QueueUse())
            use.runs += 1
            use.cpu_milli += run.need.cpu_milli
            used = used + run.need
        found = {name: (use.runs, use.cpu_milli) for name, use in uses.items()}
        kept = {
            name: (use.runs, use.cpu_milli) for name, use in host.queue_uses.items()
        }
        assert kept == found
        assert host.used == used
    assert pool_state.run_index.by_job == by_job


@pytest.mark.parametrize("seed", SEEDS)
def test_the_indexes_of_tasks_and_runs_equal_a_full_scan_after_each_event(seed):
    load = CheckedLoad(TROUBLED, seed)
    load.run(5.0)
    kinds = {command[1] for command in load.commands}
    assert {"start", "stop", "advice"} <= kinds


class EndsLoad(PlanningLoad):
    """Load that compares the kept ends of runs with new ones after each event."""

    def __init__(self, sizes, seed):
        super().__init__(sizes, seed)
        self.run_ends = RunEnds(self.pool_state.speed_estimates)

    def note_event(self):
        remaining_s = self.pool_state.speed_estimates.remaining_s
        for host in self.pool_state.hosts.values():
            ends = self.run_ends.find_ends(host, self.now)
            kept = sorted(max(self.now, end) for end, _ in ends)
            runs = host.runs.values()
            new = sorted(self.now + remaining_s(run, self.now) for run in runs)
            assert kept == pytest.approx(new)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_kept_ends_of_runs_equal_new_ones_after_each_event(seed, monkeypatch):
    # With the ratios of the queues fixed: the kept ends use those of the last report.
    monkeypatch.setattr(SpeedEstimates, "record_run", lambda *args: None)
    load = EndsLoad(TROUBLED, seed)
    load.run(5.0)
    assert any(host.runs for host in load.pool_state.hosts.values())


def test_a_forgotten_job_is_kept_nowhere():
    load = PlanningLoad(TROUBLED)
    load.run(4.0)
    pool_state = load.pool_state
    for each in pool_state.jobs.values():
        each.stored_outcome = each.outcome
    expired = pool_state.list_expired(load.now + 200.0, 120.0)
    for each in expired:
        pool_state.forget(each)
    forgotten = {each.id for each in expired}
    assert forgotten and not forgotten & set(pool_state.jobs)
    kept = {job.id for jobs in pool_state._maybe_pending.values() for job in jobs}
    assert not forgotten & (kept | {key[0] for key in pool_state.ready})


def report_running(pool_state, host, running):
    report = HostReport(1000, 1, running, ())
    return pool_state.apply_report(host, report, host.token, 0.2, 0.2, 0.2)


@pytest.mark.parametrize("cause", ["replaced", "expired"])
def test_a_late_report_of_a_removed_host_leaves_the_indexes_as_they_are(cause):
    # A call to a host is still open when the host is replaced under the same name.
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "j", job(step(2)))
    host = pool_state.hosts["i-0"]
    if cause == "replaced":
        pool_state.replace_host(host, 0.1)
    else:
        pool_state.note_host_unlisted("i-0", 0.1)
        pool_state.expire_silent_hosts(99.0)
    pool_state.add_or_update_host(entry("i-0"))
    running = (RunStatus(TaskId("j", 0, 0, 0), 1, "", 5, 0),)
    report_running(pool_state, host, running)
    check_run_indexes(pool_state)
    report_running(pool_state, pool_state.hosts["i-0"], running)
    check_run_indexes(pool_state)
    report_running(pool_state, host, ())
    check_run_indexes(pool_state)


def test_jobs_restored_as_closed_have_no_ready_steps():
    # After a takeover most of the jobs in the store are closed.
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "j", job(step(2), step(2, after=(0,))))
    pool_state.restore(Progress("j", "complete", 1.0, ()), 0.0)
    assert not pool_state.ready
    assert pool_state.jobs["j"].shown_state() == "complete"
