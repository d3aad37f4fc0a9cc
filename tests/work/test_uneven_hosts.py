"""Replay of short urgent jobs beside wide ones on a pool of uneven hosts.

A quarter of the hosts takes about half as long as the others, and hosts have half, one
or two times the usual capacity. The replay runs the planner and the pool state on a
simulated clock, once with the speeds that the pool state learns and once without.
"""

import heapq
import random
import statistics

import pytest

from siskinroad.resources import Resources
from siskinroad.work.effects import StartRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd
from siskinroad.work.planner import Planner
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, make_pool_state

HOST_COUNT = 24
RUN_S = 40.0
PASS_S = 0.05
# Issue 35: late at most half as often, and the slowest hundredth down by a third.
MAX_LATE_RATIO = 0.5
MAX_TAIL_RATIO = 2 / 3


class Replay:
    """Jobs on a pool of uneven hosts, with ends reported at each planning pass."""

    def __init__(self, seed, learns):
        self.rng = random.Random(seed)
        self.factors = {}
        entries = {}
        for i in range(HOST_COUNT):
            cores = 32000 * (1.0, 1.0, 0.5, 2.0)[self.rng.randrange(4)]
            capacity = Resources(int(cores), int(cores) * 2, 8, 0)
            entries[f"i-{i}"] = entry(f"i-{i}", capacity=capacity)
            self.factors[f"i-{i}"] = 0.55 if i % 4 == 0 else 1.2
        self.pool_state = make_pool_state(list(entries), **entries)
        self.planner = Planner(self.pool_state)
        self.learns = learns
        self.end_numbers = dict.fromkeys(entries, 0)
        self.ends = []
        self.run_times = {"fast": [], "slow": []}

    def run(self):
        for i in range(int(RUN_S / PASS_S)):
            now = i * PASS_S
            self.submit(i, now)
            self.report_ends(now)
            if self.learns:
                self.pool_state.speed_estimates.host_speeds.compare_if_due(now)
            for effect in self.planner.plan(now, now):
                if isinstance(effect, StartRun):
                    self.start(effect, now)
        return self

    def submit(self, i, now):
        """Submit an urgent job in each fifth pass and a wide one each second."""
        if i % 5 == 0:
            steps = [step(8, cpu_milli=6000, memory_mib=100, estimate=0.75)]
            if self.rng.random() < 0.5:
                steps.append(step(8, cpu_milli=6000, memory_mib=100, estimate=0.75))
                steps[1] = type(steps[1])(
                    8, cpu_milli=6000, memory_mib=100, estimate=0.75, after=(0,)
                )
            add_job(self.pool_state, f"u{i}", job(*steps), "fast", at=now)
        if i % 20 == 0:
            wide = step(12, cpu_milli=9000, memory_mib=100, estimate=3.0)
            add_job(self.pool_state, f"w{i}", job(wide), "slow", at=now)

    def start(self, effect, now):
        host = self.pool_state.hosts[effect.host]
        self.pool_state.apply_start_reply(host, effect.run, None, now)
        seconds = effect.run.declared_s * self.rng.lognormvariate(0.0, 0.3)
        seconds *= self.factors[effect.host]
        heapq.heappush(self.ends, (now + seconds, effect.run.key, effect.host))

    def report_ends(self, now):
        by_host = {name: [] for name in self.factors}
        while self.ends and self.ends[0][0] <= now:
            _, key, name = heapq.heappop(self.ends)
            self.end_numbers[name] += 1
            by_host[name].append(
                RunEnd(self.end_numbers[name], *key, EndKind.DONE, "")
            )
        for name, ended in by_host.items():
            host = self.pool_state.hosts[name]
            known = [(run.begun_at, run.queue) for run in host.runs.values()]
            running = tuple(
                self.make_row(run, now)
                for run in host.runs.values()
                if (run.key[0], run.key[1]) not in {(e.task, e.run) for e in ended}
            )
            report = HostReport(1000 + int(now * 1000), 1, running, tuple(ended))
            self.pool_state.apply_report(host, report, host.token, now, now, now)
            left = [(run.begun_at, run.queue) for run in host.runs.values()]
            for begun_at, queue in known:
                if (begun_at, queue) in left:
                    left.remove((begun_at, queue))
                else:
                    self.run_times[queue].append(now - begun_at)
