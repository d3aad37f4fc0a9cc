"""Tests that what is kept of tasks by state equals a full scan."""

import pytest

from bench.planning_load import LoadSizes, PlanningLoad

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


def check_tallies(pool_state):
    for each in pool_state.jobs.values():
        for step_run in each.steps.values():
            tasks = step_run.tasks
            waiting = [task for task in tasks if task.state == "waiting"]
            assert step_run.waiting() == waiting
            assert step_run.waiting_count == len(waiting)
            assert step_run.is_done() == all(task.state == "done" for task in tasks)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_tallies_of_tasks_equal_a_full_scan_after_each_event(seed):
    load = CheckedLoad(TROUBLED, seed)
    load.run(5.0)
    kinds = {command[1] for command in load.commands}
    assert {"start", "stop", "advice"} <= kinds
