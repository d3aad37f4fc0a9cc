"""Tests of a pool that is behind its work and whose owner's passes take time.

The load that they replay: after a burst or a fault, hundreds of steps wait whose
tickets have expired, and no advisor channel is free. If a planning pass then takes
longer than a ticket is valid, no ticket can be used, nothing is started and the backlog
never ends.
"""

import random
from collections import Counter
from dataclasses import replace

import pytest

from bench.planning_load import ADVISED, CONFIGURATION, LoadSizes, PlanningLoad
from siskinroad.resources import Resources
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import RequestAdvice, StartRun
from siskinroad.work.host import Host
from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.model import Advice, JobSpec, Step
from siskinroad.work.owner import PLAN_DELAY, PLAN_REST_FACTOR
from siskinroad.work.planner import MAX_STEPS_PER_PASS, Planner
from siskinroad.work.records import Accepted
from siskinroad.work.wait_reasons import WaitExaminer, WaitReason
from tests.work.cell import POOL, job, step
from tests.work.test_planner import (
    add_job,
    answer_advice,
    give_tickets,
    make_pool_state,
)

# Seconds of an owner's processor for one examination of a host.
EXAMINATION_S = 2e-6
SHORT_CHANNELS, LONG_CHANNELS = 10, 19
# Mean ratio of the run time of the load's tasks to their declared one.
MEAN_STRETCH = 1.15

examinations = Counter()


class CountedHost(Host):
    """Host that counts the reads of its state."""

    __slots__ = ()
    counted = frozenset(("entry", "used", "runs", "reserved", "replied_at"))

    def __getattribute__(self, name):
        if name in CountedHost.counted:
            examinations["reads"] += 1
        return super().__getattribute__(name)


def make_busy_channels():
    return ChannelTimes([10.0] * SHORT_CHANNELS, [10.0] * LONG_CHANNELS)


def make_backlog(hosts, steps, tickets_until):
    """Return a pool with empty hosts, and steps with a ticket for most of them."""
    names = [f"i-{i:03}" for i in range(hosts)]
    pool_state = make_pool_state(names)
    for number in range(steps):
        spec = job(step(8, cpu_milli=9000))
        late = add_job(pool_state, f"j-{number}", spec, "advised", at=-30.0)
        give_tickets(late, *names[: hosts * 2 // 3], until=tickets_until)
    return pool_state


def fill_host(pool_state, name):
    """Let a host run one task of an urgent job that takes all of it."""
    filling = add_job(pool_state, f"fill-{name}", job(step(1, cpu_milli=32000)))
    step_run = filling.steps[0, 0]
    task = step_run.tasks[0]
    task.move("order")
    host = pool_state.hosts[name]
    host.add_run(step_run.make_run(task, 1, host.token, 0.0))


def fill_hosts(pool_state):
    """Let each host run one task of an urgent job that takes all of it."""
    for name in pool_state.hosts:
        fill_host(pool_state, name)


def test_a_step_that_gets_no_advisor_channel_reserves_no_capacity():
    # Without the request, the reservation would keep the capacity from steps that could
    # use it, in every pass again.
    pool_state = make_pool_state(["i-0"])
    stale = add_job(pool_state, "stale", job(step(1, cpu_milli=30000)), "advised")
    valid = add_job(pool_state, "valid", job(step(1, cpu_milli=30000)), "advised")
    give_tickets(stale, "i-0", until=0.1)
    give_tickets(valid, "i-0", until=100.0)
    effects = Planner(pool_state).plan(0.2, 0.2, make_busy_channels())
    starts = [e.run.key[0].job for e in effects if isinstance(e, StartRun)]
    assert starts == ["valid"]


@pytest.mark.parametrize("is_renewal", [False, True])
def test_a_step_requests_advice_on_a_free_channel_for_long_calls(is_renewal):
    # Short calls have channels of their own; the step's request is a long one.
    names = [f"i-{i:03}" for i in range(100)]
    pool_state = make_pool_state(names)
    advised = replace(ADVISED, advice=Advice(0.02, 0.002, 1.5))
    pool_state.configure(replace(CONFIGURATION, queues=(advised,)))
    spec = job(step(100, gang=True, spread=1))
    waiting = add_job(pool_state, "waiting", spec, "advised")
    if is_renewal:
        give_tickets(waiting, *names, until=0.1)
    planner = Planner(pool_state)
    effects = planner.plan(0.2, 0.2, ChannelTimes([10.0], [0.0, 0.0]))
    assert [len(e.hosts) for e in effects if isinstance(e, RequestAdvice)] == [100]


@pytest.mark.parametrize("steps", [50, 400])
def test_steps_that_no_channel_serves_cost_a_pass_no_examination_of_hosts(steps):
    # Each pass predicted when every host of every such step would have free capacity,
    # for requests that could not be made.
    pool_state = make_backlog(126, steps, tickets_until=0.1)
    planner = Planner(pool_state)
    planner.plan(0.2, 0.2, make_busy_channels())
    for host in pool_state.hosts.values():
        host.__class__ = CountedHost
    examinations.clear()
    planner.plan(0.3, 0.3, make_busy_channels())
    assert examinations.total() <= 12 * 126 + 10 * steps


@pytest.mark.parametrize("steps", [50, 400])
def test_placing_a_step_costs_no_examination_of_hosts_for_each_that_waits(steps):
    # The cost of a host counts the demand of every waiting step with a ticket for it.
    pool_state = make_backlog(126, steps, tickets_until=0.1)
    valid = add_job(pool_state, "valid", job(step(1, cpu_milli=9000)), "advised")
    give_tickets(valid, *pool_state.hosts, until=100.0)
    for host in pool_state.hosts.values():
        host.__class__ = CountedHost
    examinations.clear()
    effects = Planner(pool_state).plan(0.2, 0.2, make_busy_channels())
    assert [e.run.key[0].job for e in effects if isinstance(e, StartRun)] == ["valid"]
    assert examinations.total() <= 30 * 126 + 10 * steps


def test_each_of_many_waiting_steps_gets_its_turn_in_a_few_passes():
    # The first steps of the order are planned in each pass; if they stay blocked, those
    # after them would never be planned.
    pool_state = make_backlog(3, 4 * MAX_STEPS_PER_PASS, tickets_until=100.0)
    fill_hosts(pool_state)
    planner = Planner(pool_state)
    for i in range(10):
        planner.plan(1.0 + 0.01 * i, 1.0, None)
        assert len(planner.last_pass.deferred_steps) == 3 * MAX_STEPS_PER_PASS
    steps = [each for each in pool_state.ready.values() if each.waiting_count]
    assert len(steps) == 4 * MAX_STEPS_PER_PASS
    assert all(each.planned_at >= 1.0 for each in steps)


def test_steps_planned_in_their_turn_keep_their_order():
    # The batch steps were planned longer ago than the urgent one, as a pass that cannot
    # take all steps picks them. The others have tickets for a full host only.
    pool_state = make_pool_state(["i-0", "i-1"])
    need = {"cpu_milli": 30000}
    for number in range(MAX_STEPS_PER_PASS):
        blocked = add_job(pool_state, f"blocked-{number}", job(step(**need)), "advised")
        give_tickets(blocked, "i-1")
        blocked.steps[0, 0].planned_at = 0.05
    urgent = add_job(pool_state, "urgent", job(step(**need)), "advised", at=0.01)
    give_tickets(urgent, "i-0")
    urgent.steps[0, 0].planned_at = 0.04
    batch = add_job(pool_state, "batch", job(step(**need)), "slow")
    batch.steps[0, 0].planned_at = 0.03
    fill_host(pool_state, "i-1")
    starts = [
        e.run.key[0].job
        for e in Planner(pool_state).plan(0.1, 0.1)
        if isinstance(e, StartRun)
    ]
    assert starts == ["urgent"]


def test_new_steps_do_not_keep_older_ones_from_their_turn():
    # In each pass, as many steps are new as get their turn.
    pool_state = make_backlog(3, 2 * MAX_STEPS_PER_PASS, tickets_until=100.0)
    fill_hosts(pool_state)
    old = [each for each in pool_state.ready.values() if each.waiting_count]
    planner = Planner(pool_state)
    for i in range(10):
        now = 1.0 + 0.01 * i
        for number in range(MAX_STEPS_PER_PASS):
            name = f"new-{i}-{number}"
            spec = job(step(8, cpu_milli=9000))
            accepted = Accepted(name, "advised", POOL, now, spec)
            pool_state.accept(accepted, now, now, is_new=True)
            give_tickets(pool_state.jobs[name], "i-000")
        planner.plan(now, now, None)
    assert all(each.planned_at >= 1.0 for each in old)


def test_a_step_that_is_left_to_the_next_passes_has_a_reason_of_its_own():
    pool_state = make_backlog(3, 2 * MAX_STEPS_PER_PASS, tickets_until=100.0)
    fill_hosts(pool_state)
    planner = Planner(pool_state)
    planner.plan(1.0, 1.0, None)
    deferred = [pool_state.ready[key] for key in planner.last_pass.deferred_steps]
    assert len(deferred) == MAX_STEPS_PER_PASS
    # A full pool is the reason to name, even for a step that was not planned.
    full = WaitExaminer(planner.last_pass)
    assert {r for s in deferred for r in full.find_reasons(s)} == {
        WaitReason.NO_CAPACITY
    }
    for host in pool_state.hosts.values():
        host.used = Resources()
    planner.last_pass.non_urgent_cpu_milli = float("inf")
    free = WaitExaminer(planner.last_pass)
    assert {r for s in deferred for r in free.find_reasons(s)} == {WaitReason.DEFERRED}


class SlowOwnerLoad(PlanningLoad):
    """Load whose planning passes take time, as on an owner with little processor.

    The owner rests after each pass for as long as the real one does.
    """

    def __init__(self, sizes, seed):
        super().__init__(sizes, seed)
        advised = replace(ADVISED, priority=0, advice=Advice(0.02, 0.0003, 1.5))
        self.pool_state.configure(replace(CONFIGURATION, queues=(advised,)))
        self.channels = ([0.0] * SHORT_CHANNELS, [0.0] * LONG_CHANNELS)
        self.pass_times = []

    def note_host(self, host):
        host.__class__ = CountedHost

    def _plan(self):
        examinations.clear()
        before = self.now
        channels = ChannelTimes(*([t - before for t in each] for each in self.channels))
        effects = self.plan(channels)
        took_s = examinations.total() * EXAMINATION_S
        self.pass_times.append(took_s)
        self._at(took_s, self._execute, effects)
        rest_s = max(PLAN_DELAY, PLAN_REST_FACTOR * took_s)
        self._at(took_s + rest_s, self._end_rest)

    def _end_rest(self):
        self.is_plan_requested = False
        self._request_plan()

    def submit_backlog(self, jobs):
        for _ in range(jobs):
            need = {"cpu_milli": self.rng.randrange(5, 15) * 1000, "memory_mib": 4000}
            spec = JobSpec("p", (Step(8, estimate=0.8, **need),))
            self._submit("advised", spec)

    def compute_full_pool_s(self):
        """Return the seconds of work that waits if the pool is full all the time."""
        ready = self.pool_state.ready.values()
        cpu_s = sum(s.waiting_count * s.need.cpu_milli * s.spec.estimate for s in ready)
        hosts = self.pool_state.hosts.values()
        cpu_milli = sum(host.entry.capacity.cpu_milli for host in hosts)
        return MEAN_STRETCH * cpu_s / cpu_milli

    def count_waiting(self):
        return sum(each.waiting_count for each in self.pool_state.ready.values())


NO_ARRIVALS = LoadSizes(
    urgent_per_s=0.0,
    advised_per_s=0.0,
    gangs_per_s=0.0,
    batch_per_s=0.0,
    backlog_jobs=0,
    lasting_tasks=0,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_pool_with_a_backlog_goes_on_starting_tasks_on_its_free_hosts(seed):
    # Six times the work that the pool holds at once arrives within a moment. Half of
    # the pool has to be in use on average until the last task has started.
    load = SlowOwnerLoad(NO_ARRIVALS, seed)
    load.run(1.0)
    load.submit_backlog(500)
    limit_s = 2 * load.compute_full_pool_s()
    load.run(limit_s)
    assert load.count_waiting() == 0, f"after {limit_s:.1f} s"


class SmallTasksLoad:
    """Hosts that small tasks without advice fill, beside busy advisor channels.

    Attributes
    ----------
    now : float
        Loop time of the next pass; there is one each ``PASS_S`` seconds.
    """

    PASS_S = 0.02
    ADVICE_S = 0.1

    def __init__(self, hosts, seed):
        self.names = [f"i-{i}" for i in range(hosts)]
        self.pool_state = make_pool_state(self.names)
        self.planner = Planner(self.pool_state)
        self.now = 0.1
        self._rng = random.Random(seed)
        self._ends = []
        self._requests = []
        self._end_count = 0

    def play_pass(self, channels):
        """Report, submit small tasks, plan once; return the jobs that start."""
        self._submit()
        self._answer()
        for name in self.names:
            self._report(name)
        started = []
        for effect in self.planner.plan(self.now, self.now, channels):
            match effect:
                case StartRun():
                    host = self.pool_state.hosts[effect.host]
                    self.pool_state.apply_start_reply(host, effect.run, None, self.now)
                    run_s = effect.run.declared_s * self._rng.uniform(0.7, 1.3)
                    self._ends.append((self.now + run_s, host.name, effect.run.key))
                    started.append(effect.run.key[0].job)
                case RequestAdvice():
                    self._requests.append((self.now + self.ADVICE_S, effect))
        self.now += self.PASS_S
        return started

    def _submit(self):
        ready = self.pool_state.ready.values()
        waiting = sum(s.waiting_count for s in ready if s.job.queue == "slow")
        for _ in range(8 - waiting):
            name = f"small-{len(self.pool_state.jobs)}"
            spec = job(step(1, cpu_milli=8000, estimate=0.8))
            add_job(self.pool_state, name, spec, "slow", at=self.now)

    def _answer(self):
        due = [each for each in self._requests if each[0] <= self.now]
        self._requests = [each for each in self._requests if each[0] > self.now]
        for _, request in due:
            until = self.now + 1.5
            answer_advice(self.pool_state, request, set(self.names), until)

    def _report(self, name):
        host = self.pool_state.hosts[name]
        due = [e for e in self._ends if e[0] <= self.now and e[1] == name]
        self._ends = [e for e in self._ends if e not in due]
        ended = []
        for _, _, (task, run) in due:
            self._end_count += 1
            ended.append(RunEnd(self._end_count, task, run, EndKind.DONE, ""))
        over = {key for _, _, key in due}
        running = tuple(
            RunStatus(*key, "", 5, 0) for key in host.runs if key not in over
        )
        report = HostReport(1000 + int(self.now * 1000), 1, running, tuple(ended))
        self.pool_state.apply_report(
            host, report, host.token, self.now, self.now, self.now
        )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_are_withheld_for_a_large_step_while_channels_are_busy(seed):
    # The channels take a call in every second pass. The step has to start as long
    # before its target time as it runs.
    load = SmallTasksLoad(4, seed)
    while load.now < 3.0:
        load.play_pass(make_busy_channels())
    spec = job(step(1, cpu_milli=30000, estimate=4.0))
    large = add_job(load.pool_state, "large", spec, "advised", at=load.now)
    give_tickets(large, *load.names, until=load.now)
    limit = load.pool_state.target_time(large) - 4.0
    started = []
    while load.now < limit and "large" not in started:
        started += load.play_pass(make_busy_channels())
        started += load.play_pass(ChannelTimes([0.0], [0.0]))
    assert "large" in started, f"not started by {limit:.1f} s"
