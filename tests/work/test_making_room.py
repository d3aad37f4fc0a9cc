"""Runs that are stopped so that urgent steps of a burst start in time.

A pool that is full of long tasks would make a burst of short urgent ones late. What is
stopped must lose little, and no more may be stopped than the burst needs.
"""

import dataclasses

import pytest

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.effects import StopRun
from siskinroad.work.planner import Planner
from tests.work.cell import CONFIGURATION, job, step
from tests.work.test_planner import add_job, list_starts, make_pool_state

# Seconds after which a burst's tasks must have started: a stop, and the target time of
# their queue beyond the work itself.
URGENT_TARGET_S = 0.4
STOP_S = 0.2
ACCOUNTS = make_directory([ClientAccount(Owner("a", 1.0, 1.0, NOTHING), ("k",))])
COMPETING = dataclasses.replace(CONFIGURATION, accounts=ACCOUNTS)
LONG = {"cpu_milli": 16000, "estimate": 20.0}


class Pool:
    """A pool whose hosts are full of tasks of the queue ``slow``."""

    def __init__(self, configuration=COMPETING, hosts=2, queue="slow", **fields):
        names = [f"i-{i}" for i in range(hosts)]
        self.state = make_pool_state(names)
        self.state.configure(configuration)
        self.planner = Planner(self.state)
        fields = {"checkpoints": True, **LONG, **fields}
        add_job(self.state, "long", job(step(2 * hosts, **fields)), queue)
        assert len(self.starts(self.plan(0.1))) == 2 * hosts

    def plan(self, now):
        for host in self.state.hosts.values():
            host.replied_at = host.reported_at = now
        return self.planner.plan(now, now)

    def starts(self, effects):
        for effect in effects:
            if hasattr(effect, "ticket"):
                host = self.state.hosts[effect.host]
                self.state.apply_start_reply(host, effect.run, None, 0.1)
        return list_starts(effects)

    def stops_until(self, end, began=0.2):
        stops, now = [], began
        while now <= end:
            stops += [e for e in self.plan(now) if isinstance(e, StopRun)]
            now += 0.05
        return stops


def test_a_burst_starts_within_a_stop_and_its_target_time():
    pool = Pool()
    add_job(pool.state, "burst", job(step(6, cpu_milli=5000)), "fast", at=0.2)
    started, ends, now = {}, [], 0.2
    while now < 2.0:
        for at, stop in [e for e in ends if e[0] <= now]:
            ends.remove((at, stop))
            host = pool.state.hosts[stop.host]
            pool.state._end_run(host, stop.run, "stopped", now)
        effects = pool.plan(now)
        ends += [(now + STOP_S, e) for e in effects if isinstance(e, StopRun)]
        for name, _ in pool.starts(effects):
            started.setdefault(name, []).append(now - 0.2)
        now += 0.05
    assert len(started["burst"]) == 6
    assert max(started["burst"]) <= STOP_S + URGENT_TARGET_S


def test_no_more_is_stopped_than_the_burst_needs():
    pool = Pool()
    add_job(pool.state, "burst", job(step(3, cpu_milli=5000)), "fast", at=0.2)
    assert len(pool.stops_until(1.0)) == 1


def test_nothing_is_stopped_beside_free_capacity():
    pool = Pool(cpu_milli=10000)
    add_job(pool.state, "burst", job(step(2, cpu_milli=5000)), "fast", at=0.2)
    assert pool.stops_until(1.0) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"checkpoints": False},
        {"gang": True},
        {"long_running": True},
        {"estimate": 1.0},
        {"queue": "fast"},
        {"configuration": CONFIGURATION},
    ],
)
def test_nothing_is_stopped_that_would_lose_more_or_is_as_urgent(fields):
    pool = Pool(**fields)
    add_job(pool.state, "burst", job(step(6, cpu_milli=5000)), "fast", at=0.2)
    assert pool.stops_until(1.0) == []


def test_nothing_is_stopped_for_work_that_may_wait():
    pool = Pool()
    add_job(pool.state, "other", job(step(6, cpu_milli=5000)), "slow", at=0.2)
    assert pool.stops_until(1.0) == []


def test_the_run_with_the_most_work_left_is_stopped():
    pool = Pool(hosts=1)
    host = pool.state.hosts["i-0"]
    first, second = host.runs.values()
    for run, progress in ((first, 10), (second, 60)):
        run.begun_at, run.reported_at, run.progress = -10.0, 0.1, progress
    add_job(pool.state, "burst", job(step(1, cpu_milli=5000)), "fast", at=0.2)
    (stop,) = pool.stops_until(1.0)
    assert stop.run is first


def test_a_task_is_not_stopped_again_soon():
    pool = Pool(hosts=1)
    add_job(pool.state, "burst", job(step(1, cpu_milli=5000)), "fast", at=0.2)
    (stop,) = pool.stops_until(1.0)
    host = pool.state.hosts["i-0"]
    pool.state._end_run(host, stop.run, "stopped", 1.0)
    pool.starts(pool.plan(1.1))
    pool.starts(pool.plan(1.2))
    add_job(pool.state, "next", job(step(6, cpu_milli=5000)), "fast", at=1.2)
    again = pool.stops_until(3.0, began=1.4)
    assert stop.run.key[0] not in [s.run.key[0] for s in again]
