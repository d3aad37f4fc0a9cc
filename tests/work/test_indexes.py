"""Tests that what is kept of tasks and runs by job equals a full scan."""

import pytest

from bench.planning_load import LoadSizes, PlanningLoad
from siskinroad.resources import Resources
from siskinroad.work.host import QueueUse

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
        check_run_indexes(self.pool_state)


def check_tallies(pool_state):
    for each in pool_state.jobs.values():
        for step_run in each.steps.values():
            tasks = step_run.tasks
            waiting = [task for task in tasks if task.state == "waiting"]
            assert step_run.waiting() == list(step_run.iterate_waiting()) == waiting
            assert step_run.waiting_count == len(waiting)
            assert step_run.is_done() == all(task.state == "done" for task in tasks)


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
