"""Tests that long-running steps start beside hundreds of others, in a late owner.

The limit is the users': 3 s without a run while there is capacity for it. The owner
makes two planning passes a second.
"""

from dataclasses import replace

import pytest

from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import RequestAdvice, StartRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd
from siskinroad.work.planner import Planner
from tests.work.cell import ADVISED, job, step
from tests.work.test_planner import (
    add_job,
    answer_advice,
    give_tickets,
    make_pool_state,
)

LIMIT_S = 3.0
PASS_S = 0.5
WAITING = 600
LONG_S = 1000.0
URGENT_ADVISED = replace(ADVISED, name="urgent-advised", priority=0)


class LateOwner:
    """A pool that is planned twice a second, with an advisor of one channel."""

    def __init__(self, hosts):
        self.names = [f"i-{i}" for i in range(hosts)]
        self.pool_state = make_pool_state(self.names)
        self.pool_state.queues[URGENT_ADVISED.name] = URGENT_ADVISED
        self.planner = Planner(self.pool_state)
        self.now = 0.1
        self.clock = 1000
        self.runs = []
        self.started_at = {}
        self.requests = []
        self.channel_free_at = 0.0

    def add_lasting(self, count=1, queue="slow", cpu_milli=4000, names=("lasting",)):
        spec = job(step(count, cpu_milli=cpu_milli, estimate=1.0, long_running=True))
        return [add_job(self.pool_state, name, spec, queue) for name in names]

    def add_urgent(self, queue="fast", **fields):
        fields.setdefault("estimate", LONG_S)
        for i in range(WAITING):
            add_job(self.pool_state, f"urgent-{i}", job(step(1, **fields)), queue)

    def run(self, seconds=LIMIT_S, each_pass=lambda: None):
        until = self.now + seconds
        while self.now < until:
            for host in self.pool_state.hosts.values():
                host.replied_at = host.reported_at = self.now
            for request in self.requests:
                valid_until = self.now + ADVISED.advice.valid_s
                answer_advice(self.pool_state, request, set(self.names), valid_until)
            self.requests.clear()
            each_pass()
            backlog = [self.channel_free_at - self.now]
            channels = ChannelTimes(backlog, backlog)
            for effect in self.planner.plan(self.now, self.now, channels):
                self._execute(effect)
            self.now = round(self.now + PASS_S, 3)

    def _execute(self, effect):
        if isinstance(effect, RequestAdvice):
            began_at = max(self.now, self.channel_free_at)
            self.channel_free_at = began_at + effect.duration
            self.requests.append(effect)
        elif isinstance(effect, StartRun):
            host = self.pool_state.hosts[effect.host]
            self.pool_state.apply_start_reply(host, effect.run, None, self.now)
            self.runs.append((host, effect.run))
            name = effect.run.key[0].job
            self.started_at.setdefault(name, []).append(self.now)

    def end_run(self):
        """Let the run that has lasted longest end."""
        host, run = self.runs.pop(0)
        self.clock += 1
        end = RunEnd(host.last_end_seen + 1, *run.key, EndKind.DONE, "")
        report = HostReport(self.clock, 1, (), (end,), lists_all_ends=False)
        self.pool_state.apply_report(
            host, report, host.token, self.now, self.now, self.now
        )


def test_a_lasting_task_starts_soon_beside_more_urgent_steps_than_a_pass_plans():
    owner = LateOwner(hosts=126)
    owner.add_urgent()
    owner.add_lasting()
    owner.run()
    assert len(owner.started_at["lasting"]) == 1


def test_a_lasting_task_gets_capacity_that_becomes_free_before_urgent_steps():
    owner = LateOwner(hosts=2)
    owner.add_urgent()
    owner.run(PASS_S)
    assert len(owner.runs) == 16
    owner.add_lasting(2)
    owner.run(each_pass=owner.end_run)
    assert len(owner.started_at["lasting"]) == 2


def test_a_lasting_task_is_advised_before_urgent_steps_that_fill_the_channel():
    owner = LateOwner(hosts=126)
    owner.add_urgent("urgent-advised")
    owner.add_lasting(queue="advised")
    owner.run(LIMIT_S + ADVISED.advice.duration(100))
    assert len(owner.started_at["lasting"]) == 1


@pytest.mark.parametrize("count", [1, 12])
def test_lasting_tasks_of_full_hosts_are_advised_about_others_beside_blocked_steps(
    count,
):
    # Hundreds are blocked: all have tickets of hosts that are full only.
    owner = LateOwner(hosts=126)
    full = owner.names[:2]
    for i, name in enumerate(full):
        taker = job(step(1, cpu_milli=32000, memory_mib=64000, estimate=LONG_S))
        accepted = add_job(owner.pool_state, f"taker-{i}", taker, "advised")
        accepted.steps[0, 0].advice.answered.update(owner.names)
        give_tickets(accepted, name, until=1e9)
    owner.run(PASS_S)
    assert len(owner.runs) == 2
    owner.add_urgent("urgent-advised", cpu_milli=30000)
    names = [f"lasting-{i}" for i in range(count)]
    owner.add_lasting(queue="advised", names=names)
    for accepted in owner.pool_state.jobs.values():
        give_tickets(accepted, *full, until=1e9)
    owner.run(LIMIT_S + count * ADVISED.advice.duration(100))
    assert [len(owner.started_at.get(name, ())) for name in names] == [1] * count


def test_more_overdue_steps_than_a_pass_puts_first_all_get_their_turn():
    # Those that come first in the usual order fit nowhere.
    owner = LateOwner(hosts=2)
    owner.add_lasting(cpu_milli=64000, names=[f"large-{i}" for i in range(40)])
    owner.add_urgent(cpu_milli=33000)
    owner.add_lasting(names=["small"])
    owner.run()
    assert len(owner.started_at["small"]) == 1
