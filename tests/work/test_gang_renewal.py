"""Replays of gangs whose tickets expire while urgent tasks come and go.

The load: an advisor takes 1 s for an answer that is valid for 2 s, and a gang needs
several of its allowed hosts at once. Urgent short tasks take and free capacity on all
of them every moment, so that other hosts have capacity when the answer arrives than
when it was requested.
"""

import random
from dataclasses import replace

import pytest

from siskinroad.work.advice_requester import count_spare_hosts
from siskinroad.work.effects import RequestAdvice, StartRun
from siskinroad.work.model import Advice
from siskinroad.work.planner import Planner
from tests.work.cell import ADVISED, job, step
from tests.work.test_planner import (
    add_job,
    answer_advice,
    give_tickets,
    make_pool_state,
)

SLOW_ADVICE = Advice(0.9, 0.008, 2.0)
HOSTS = 40
ALLOWED_HOSTS = 20
TICK_S = 0.05
URGENT_S = 0.6
URGENT_JOBS_PER_TICK = 5
GANG_S = 6.0
GANG_INTERVAL_S = 2.5
# Seconds from the last gang to the end of a replay.
GANG_WAIT_S = 20.0


class GangReplay:
    """A pool under a steady load of urgent tasks and gangs."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        names = [f"i-{i:02}" for i in range(HOSTS)]
        self.allowed = set(names[::2])
        self.pool_state = make_pool_state(names)
        self.pool_state.queues["advised"] = replace(ADVISED, advice=SLOW_ADVICE)
        self.planner = Planner(self.pool_state)
        self.ends = []
        self.answers = []
        self.submitted_at = {}
        self.started_at = {}
        self.requests = 0
        self.now = 0.0

    def run(self, until):
        urgent = 0
        gang_at = 2.0
        while self.now < until:
            self.now = round(self.now + TICK_S, 3)
            self._end_tasks()
            self._answer_requests()
            for _ in range(self.rng.randrange(URGENT_JOBS_PER_TICK + 1)):
                urgent += 1
                spec = job(step(4, cpu_milli=5500, estimate=URGENT_S))
                add_job(self.pool_state, f"u-{urgent}", spec, "fast", self.now)
            if gang_at <= self.now < until - GANG_WAIT_S:
                gang_at += GANG_INTERVAL_S
                self._add_gang()
            self._plan()

    def _add_gang(self):
        name = f"gang-{len(self.submitted_at)}"
        width = self.rng.choice((6, 10, 14, 20))
        spec = job(step(width, cpu_milli=9000, gang=True, estimate=GANG_S))
        add_job(self.pool_state, name, spec, "advised", self.now)
        self.submitted_at[name] = self.now

    def _plan(self):
        for effect in self.planner.plan(self.now, self.now):
            match effect:
                case RequestAdvice():
                    self.requests += 1
                    due_at = self.now + effect.duration + 0.06
                    self.answers.append((due_at, effect))
                case StartRun():
                    name = effect.run.key[0].job
                    is_gang = name in self.submitted_at
                    if is_gang:
                        self.started_at.setdefault(name, self.now)
                    host = self.pool_state.hosts[effect.host]
                    self.pool_state.apply_start_reply(host, effect.run, None, self.now)
                    ends_at = self.now + (GANG_S if is_gang else URGENT_S)
                    self.ends.append((ends_at, host, effect.run))

    def _end_tasks(self):
        for host in self.pool_state.hosts.values():
            host.replied_at = self.now
        for end in [end for end in self.ends if end[0] <= self.now]:
            self.ends.remove(end)
            _, host, run = end
            run.move("end")
            self.pool_state._remove_run(host, run)
            self.pool_state.task(run.key[0]).move("done")

    def _answer_requests(self):
        for answer in [a for a in self.answers if a[0] <= self.now]:
            self.answers.remove(answer)
            answer_advice(self.pool_state, answer[1], self.allowed, self.now + 2.0)


@pytest.mark.parametrize("seed", range(4))
def test_gangs_need_one_renewal_at_most_beside_urgent_tasks(seed):
    # Each renewal takes 1 s, in which the gang's capacity may go to urgent tasks.
    replay = GangReplay(seed)
    replay.run(until=50.0)
    gangs = len(replay.submitted_at)
    assert len(replay.started_at) == gangs
    assert replay.requests <= 2 * gangs, (replay.requests, gangs)


def test_a_renewal_names_other_allowed_hosts_at_little_cost():
    pool_state = make_pool_state([f"i-{i}" for i in range(10)])
    pool_state.queues["advised"] = replace(ADVISED, advice=SLOW_ADVICE)
    one = add_job(pool_state, "one", job(step(1, cpu_milli=30000)), "advised")
    give_tickets(one, *pool_state.hosts, until=0.2)
    for host in pool_state.hosts.values():
        host.replied_at = 1.0
    (request,) = Planner(pool_state).plan(1.0, 1.0)
    assert len(request.hosts) == 10
    added_s = SLOW_ADVICE.duration(10) - SLOW_ADVICE.duration(1)
    assert added_s <= SLOW_ADVICE.duration(0) / 4


def test_the_number_of_spare_hosts_follows_what_they_cost():
    # Where each host costs as much as the decision, a renewal names two others only.
    assert count_spare_hosts(Advice(0.1, 0.1, 2.0)) == 2
    assert count_spare_hosts(Advice(0.9, 0.008, 2.0)) == 28
    assert count_spare_hosts(Advice(0.5, 0.0, 2.0)) == 100


def test_spare_hosts_with_the_most_free_capacity_come_first():
    pool_state = make_pool_state(["i-0", "i-1", "i-2", "i-3", "i-4"])
    advice = Advice(0.1, 0.1, 2.0)
    pool_state.queues["advised"] = replace(ADVISED, advice=advice)
    for name, cpu_milli in (("i-1", 20000), ("i-2", 16000), ("i-3", 2000)):
        filling = add_job(pool_state, f"f-{name}", job(step(cpu_milli=cpu_milli)))
        step_run = filling.steps[0, 0]
        step_run.tasks[0].move("order")
        host = pool_state.hosts[name]
        host.add_run(step_run.make_run(step_run.tasks[0], 1, host.token, 0.0))
    one = add_job(pool_state, "one", job(step(cpu_milli=11000)), "advised")
    give_tickets(one, *pool_state.hosts, until=0.2)
    for host in pool_state.hosts.values():
        host.replied_at = 1.0
    (request,) = [
        effect
        for effect in Planner(pool_state).plan(1.0, 1.0)
        if isinstance(effect, RequestAdvice)
    ]
    # The smallest gap is chosen first: i-1 has 12 processors left.
    assert request.hosts == ("i-1", "i-0", "i-4")
