"""Tests that a step which is due does not wait beside free capacity.

The limit is the users': 3 s without a run while its turn has come and there is capacity
for it twice over, and the time of the advisor calls that it needs.
"""

from dataclasses import replace

import pytest

from siskinroad.work.effects import RequestAdvice, StartRun, StopRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.run_end_table import FAILING_QUARANTINE_S
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import ADVISED, entry, job, step
from tests.work.test_planner import (
    add_job,
    answer_advice,
    give_tickets,
    make_pool_state,
)

LIMIT_S = 3.0
TICK_S = 0.1
# Time of one advisor call, and what a pass and a report add.
CALL_S = ADVISED.advice.duration(4) + 2 * TICK_S


class Pool:
    """Hosts that answer each report, and an advisor that answers each call in time."""

    def __init__(self, names, allowed=None):
        self.pool_state = make_pool_state(names)
        self.planner = Planner(self.pool_state)
        self.monitor = RunMonitor(self.pool_state, Timing())
        self.allowed = set(names if allowed is None else allowed)
        self.now = 0.1
        self.starts = []
        self.answers = []

    def run(self, seconds, reply=lambda effect: None):
        """Let time pass; ``reply`` returns why a start is rejected, or None."""
        until = self.now + seconds
        while self.now < until - 1e-6:
            self.now = round(self.now + TICK_S, 3)
            self._tick(reply)

    def _tick(self, reply):
        for host in self.pool_state.hosts.values():
            host.replied_at = host.reported_at = self.now
        for due in [each for each in self.answers if each[0] <= self.now]:
            self.answers.remove(due)
            valid_until = self.now + ADVISED.advice.valid_s
            answer_advice(self.pool_state, due[1], self.allowed, valid_until)
        self.monitor.check_runs(self.now, self.now)
        for effect in self.planner.plan(self.now, self.now):
            if isinstance(effect, RequestAdvice):
                self.answers.append((self.now + effect.duration, effect))
            elif isinstance(effect, StartRun):
                self._start(effect, reply(effect))

    def _start(self, effect, rejection):
        host = self.pool_state.hosts[effect.host]
        if rejection is None:
            self.starts.append((self.now, effect.host, effect.run.key[0].job))
        self.pool_state.apply_start_reply(host, effect.run, rejection, self.now)

    def count_starts(self, name):
        return sum(1 for _, _, job_name in self.starts if job_name == name)


def take(pool, host, seconds=60.0, cpu_milli=30000):
    """Let a run of an earlier job hold a host."""
    name = f"taker-{host}"
    spec = job(step(1, cpu_milli=cpu_milli, estimate=seconds))
    taker = add_job(pool.pool_state, name, spec, "advised")
    taker.steps[0, 0].advice.answered.update(pool.pool_state.hosts)
    give_tickets(taker, host, until=1e9)
    pool.run(TICK_S)
    assert pool.count_starts(name) == 1


def test_a_gang_starts_on_the_only_allowed_host_after_its_quarantine():
    # Beside the first run after a quarantine nothing else starts, and a gang starts
    # as a whole or not at all.
    pool = Pool(["i-0", "i-1", "i-2"], allowed=["i-0"])
    pool.pool_state.hosts["i-0"].needs_probation = True
    add_job(pool.pool_state, "gang", job(step(2, cpu_milli=2000, gang=True)), "advised")
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("gang") == 2


def test_a_gang_starts_after_a_quarantine_of_one_of_two_hosts_that_it_needs():
    pool = Pool(["i-0", "i-1", "i-2", "i-3"], allowed=["i-0", "i-1"])
    take(pool, "i-1", cpu_milli=24000)
    pool.pool_state.hosts["i-0"].needs_probation = True
    spec = job(step(3, cpu_milli=6000, gang=True))
    add_job(pool.pool_state, "gang", spec, "advised")
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("gang") == 3


def test_a_gang_starts_within_the_limit_once_its_host_takes_tickets_again():
    pool = Pool(["i-0", "i-1", "i-2", "i-3"], allowed=["i-0", "i-1"])
    spec = job(step(2, cpu_milli=2000, spread=1, gang=True))
    gang = add_job(pool.pool_state, "gang", spec, "advised")
    advice = gang.steps[0, 0].advice
    # A host whose clock was wrong has rejected one ticket after another.
    for _ in range(6):
        answer = (("i-0", "i-1"), {"i-0": "old", "i-1": "t"}, pool.now + 2.0)
        advice.record_answer(*answer)
        advice.record_rejection("i-0", "old", pool.now)
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("gang") == 2


def test_a_host_that_restarted_during_a_call_is_asked_about_again():
    # The former incarnation was not allowed; the next one is of another kind.
    pool = Pool(["i-0", "i-1"], allowed=[])
    state = pool.pool_state
    add_job(state, "gang", job(step(2, cpu_milli=2000, gang=True)), "advised")
    pool.run(TICK_S)
    due_at, request = pool.answers.pop()
    host = state.hosts["i-0"]
    state.claims.note_unclaimed(pool.now)
    report = HostReport(1, 2, (), ())
    state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    assert host.incarnation_ms == 2
    pool.now = due_at
    state.note_unclaimed(pool.now)
    answer_advice(state, request, set(), pool.now + 2.0)
    pool.allowed = {"i-0"}
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("gang") == 2


NAMES = [f"i-{i}" for i in range(8)]
NEEDING_TWO_HOSTS = {
    "gang": step(2, cpu_milli=2000, spread=1, gang=True),
    "lasting tasks": step(2, cpu_milli=2000, spread=1, long_running=True),
}


@pytest.mark.parametrize("name", NEEDING_TWO_HOSTS)
def test_a_step_that_needs_a_withheld_host_beside_another_one_starts(name):
    # A lasting task may use i-0 only, and withholds it until the run there ends.
    pool = Pool(NAMES)
    take(pool, "i-0", cpu_milli=12000)
    spec = job(step(1, cpu_milli=24000, long_running=True))
    blocked = add_job(pool.pool_state, "blocked", spec, "advised")
    blocked.steps[0, 0].advice.answered.update(NAMES)
    give_tickets(blocked, "i-0", until=1e9)
    pool.run(TICK_S)
    pool.pool_state.queues["low"] = replace(ADVISED, name="low", priority=2)
    other = add_job(pool.pool_state, "other", job(NEEDING_TWO_HOSTS[name]), "low")
    other.steps[0, 0].advice.answered.update(NAMES)
    give_tickets(other, "i-0", "i-1", until=1e9)
    pool.run(LIMIT_S)
    assert not pool.count_starts("blocked")
    assert pool.count_starts("other") == 2


def test_room_that_urgent_tasks_cannot_use_keeps_no_other_step_from_its_hosts():
    # The urgent tasks may use i-0 only, which is taken.
    pool = Pool(NAMES)
    urgent_queue = replace(ADVISED, name="urgent", priority=0)
    pool.pool_state.queues["urgent"] = urgent_queue
    for host in NAMES[:4]:
        take(pool, host)
    urgent = add_job(
        pool.pool_state, "urgent", job(step(40, cpu_milli=4000)), "urgent", at=pool.now
    )
    urgent.steps[0, 0].advice.answered.update(NAMES)
    give_tickets(urgent, "i-0", until=1e9)
    pool.run(TICK_S)
    spec = job(step(2, cpu_milli=20000, gang=True))
    add_job(pool.pool_state, "gang", spec, "advised", at=pool.now)
    pool.run(LIMIT_S + CALL_S)
    assert not pool.count_starts("urgent")
    assert pool.count_starts("gang") == 2


def test_the_members_of_a_gang_resume_from_the_same_checkpoint():
    pool = Pool(["i-0", "i-1"])
    state = pool.pool_state
    spec = job(step(2, cpu_milli=20000, gang=True, checkpoints=True))
    gang = add_job(state, "gang", spec)
    pool.run(TICK_S)
    assert pool.count_starts("gang") == 2
    first, second = gang.steps[0, 0].tasks
    for task, checkpoint, kind in (
        (first, "early", EndKind.LEASE_EXPIRED),
        (second, "late", EndKind.STOPPED),
    ):
        host = state.hosts[task.host]
        end = RunEnd(1, task.id, task.run, kind, checkpoint)
        report = HostReport(2000, 1, (), (end,))
        state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    effects = pool.planner.plan(pool.now, pool.now)
    starts = [effect for effect in effects if isinstance(effect, StartRun)]
    assert len(starts) == 2
    assert len({effect.checkpoint for effect in starts}) == 1


@pytest.mark.parametrize("kind", [EndKind.STOPPED, EndKind.LEASE_EXPIRED])
def test_the_rest_of_a_gang_is_stopped_when_one_member_ends_without_success(kind):
    # The owner itself stops a member whose run makes no progress.
    pool = Pool(["i-0", "i-1"])
    state = pool.pool_state
    gang = add_job(state, "gang", job(step(2, cpu_milli=20000, gang=True)))
    pool.run(TICK_S)
    first, second = gang.steps[0, 0].tasks
    host = state.hosts[first.host]
    end = RunEnd(1, first.id, first.run, kind, "")
    report = HostReport(2000, 1, (), (end,))
    effects = state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    assert [(e.host, e.run.key) for e in effects if isinstance(e, StopRun)] == [
        (second.host, (second.id, second.run))
    ]


@pytest.mark.parametrize("member", [0, 1])
def test_a_gang_that_fails_after_a_quarantine_of_its_host_begins_another_one(member):
    pool = Pool(["i-0", "i-1"])
    state = pool.pool_state
    host = state.hosts["i-0"]
    host.needs_probation = True
    state.hosts["i-1"].entry = replace(state.hosts["i-1"].entry, draining=True)
    gang = add_job(state, "gang", job(step(2, cpu_milli=2000, gang=True)))
    pool.run(TICK_S)
    assert [name for _, name, _ in pool.starts] == ["i-0", "i-0"]
    task = gang.steps[0, 0].tasks[member]
    end = RunEnd(1, task.id, task.run, EndKind.FAILED, "")
    report = HostReport(2000, 1, (), (end,))
    state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    assert host.is_quarantined


def test_a_gang_behind_many_blocked_steps_asks_about_a_host_that_has_joined():
    # A pass predicts free capacity for a few blocked steps only, and each has its turn.
    pool = Pool(NAMES)
    state = pool.pool_state
    take(pool, "i-0", cpu_milli=20000)
    for i in range(9):
        spec = job(step(1, cpu_milli=20000))
        blocked = add_job(state, f"blocked-{i}", spec, "advised", at=pool.now)
        blocked.steps[0, 0].advice.answered.update([*NAMES, "i-9"])
        give_tickets(blocked, "i-0", until=1e9)
    state.queues["low"] = replace(ADVISED, name="low", priority=2)
    spec = job(step(2, cpu_milli=7000, gang=True))
    gang = add_job(state, "gang", spec, "low", at=pool.now)
    gang.steps[0, 0].advice.answered.update(NAMES)
    give_tickets(gang, "i-0", until=1e9)
    pool.run(TICK_S)
    state.add_or_update_host(entry("i-9"), pool.now)
    host = state.hosts["i-9"]
    host.is_stored = True
    report = HostReport(1000, 1, (), ())
    state.apply_report(host, report, host.token, pool.now, pool.now, pool.now)
    pool.allowed = {"i-9"}
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("gang") == 2


def test_a_second_step_starts_on_the_only_allowed_host_while_it_is_in_quarantine():
    # The pause of a quarantined host and its first run alone come one after the other.
    pool = Pool(NAMES, allowed=["i-0"])
    state = pool.pool_state
    host = state.hosts["i-0"]
    assert state.quarantine_host(host, FAILING_QUARANTINE_S, "failures", pool.now)
    host.needs_probation = True
    for name in ("first", "second"):
        spec = job(step(1, cpu_milli=2000, estimate=10.0))
        add_job(state, name, spec, "advised", at=pool.now)
    pool.run(LIMIT_S + CALL_S)
    assert pool.count_starts("first") == 1
    assert pool.count_starts("second") == 1
