"""Tests that the planning of a large pool examines few hosts.

An examination is a read of a host's state or a comparison of a need with a capacity.
"""

from collections import Counter

import pytest

from bench.planning_load import LoadSizes, PlanningLoad
from siskinroad.resources import Resources
from siskinroad.work.effects import StartRun
from siskinroad.work.host import Host

examinations = Counter()


class CountedHost(Host):
    """Host that counts the reads of its state."""

    __slots__ = ()
    counted = frozenset(("entry", "used", "runs", "reserved", "replied_at"))

    def __getattribute__(self, name):
        if name in CountedHost.counted:
            examinations["reads"] += 1
        return super().__getattribute__(name)


class CountedLoad(PlanningLoad):
    """Load that counts the examinations of each planning pass."""

    def __init__(self, sizes, seed=1):
        self.passes = []
        super().__init__(sizes, seed)

    def note_host(self, host):
        host.__class__ = CountedHost

    def plan(self, channels):
        ready = list(self.pool_state.ready.values())
        waiting_steps = sum(1 for step_run in ready if step_run.waiting())
        before = examinations.total()
        effects = super().plan(channels)
        placed = {e.run.step for e in effects if isinstance(e, StartRun)}
        self.passes.append((examinations.total() - before, waiting_steps, len(placed)))
        return effects

    def mean_examinations(self):
        return sum(count for count, _, _ in self.passes) / len(self.passes)


@pytest.fixture
def counted_fits(monkeypatch):
    """Count the comparisons of a need with a capacity."""
    fits = Resources.fits

    def count_and_compare(need, capacity):
        examinations["fits"] += 1
        return fits(need, capacity)

    monkeypatch.setattr(Resources, "fits", count_and_compare)


def run_counted(**sizes):
    load = CountedLoad(LoadSizes(**sizes))
    load.run(2.0)
    assert len(load.passes) > 100
    return load


@pytest.mark.usefixtures("counted_fits")
@pytest.mark.parametrize(
    "sizes",
    [
        {},
        {"backlog_jobs": 60, "advised_per_s": 24.0},
        {"hosts": 252, "urgent_per_s": 30.0, "backlog_jobs": 40},
    ],
)
def test_a_pass_examines_each_host_a_few_times_whatever_waits(sizes):
    # 126 hosts, 15 urgent jobs a second and a backlog: with an examination of each host
    # for each waiting task, an owner falls behind its reports.
    load = run_counted(**sizes)
    for count, waiting_steps, placed_steps in load.passes:
        few = 12 * load.sizes.hosts * (1 + placed_steps) + 10 * waiting_steps
        assert count <= few


@pytest.mark.usefixtures("counted_fits")
def test_the_examinations_of_a_pass_do_not_grow_with_the_waiting_tasks_or_steps():
    usual = run_counted().mean_examinations()
    more_tasks = run_counted(backlog_tasks=600).mean_examinations()
    more_steps = run_counted(backlog_jobs=80).mean_examinations()
    assert max(more_tasks, more_steps) < 1.3 * usual
