"""Replay of short urgent jobs beside wide ones through the planner and a pool state."""

import heapq
import random

from siskinroad.resources import Resources
from siskinroad.work.effects import StartRun
from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.planner import Planner
from siskinroad.work.run_monitor import RunMonitor
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, make_pool_state
from tests.work.test_run_monitor import TIMING

PASS_S = 0.05
# Seconds of a replay whose jobs and runs are not counted, as nothing is learned yet.
LEARNING_S = 10.0


class Replay:
    """Jobs on a pool of hosts of several sizes, reported at each planning pass.

    Parameters
    ----------
    factors : list of float
        Ratio of run times to the usual ones, for each host.
    failing : frozenset of int
        Numbers of the hosts on which most runs fail from ``fails_from`` on.
    learns : bool
        Whether the learned speeds are used.
    """

    def __init__(self, seed, factors, failing=frozenset(), learns=True, load=1.0):
        self.rng = random.Random(seed)
        self.run_rng = random.Random(seed + 1)
        entries = {}
        for i in range(len(factors)):
            cores = int(32000 * self.rng.choice((1.0, 1.0, 0.5, 2.0)))
            capacity = Resources(cores, cores * 2, 8, 0)
            entries[f"i-{i}"] = entry(f"i-{i}", capacity=capacity)
        self.factors = dict(zip(entries, factors, strict=True))
        self.failing = {f"i-{i}" for i in failing}
        self.fails_from = 5.0
        self.pool_state = make_pool_state(list(entries), **entries)
        self.planner = Planner(self.pool_state)
        self.monitor = RunMonitor(self.pool_state, TIMING)
        if not learns:
            speeds = self.pool_state.speed_estimates.host_speeds
            speeds.compare_if_due = lambda now: None
        self.load = load
        self.end_numbers = dict.fromkeys(entries, 0)
        self.ends = []
        self.starts = []
        self.spans = {}
        self.run_times = {"fast": [], "slow": []}
        self.late = {"fast": [], "slow": []}
        self.job_times = {"fast": [], "slow": []}
        self.first_failures = {}
        self.quarantined_at = {}
        self.most_quarantined = 0
        self.pool_state.observe_result = self.observe_result

    def observe_result(self, ended_job, result):
        if ended_job.accepted_at < LEARNING_S:
            return
        self.late[ended_job.queue].append(result != "in_time")
        seconds = ended_job.outcome_at - ended_job.accepted_at
        self.job_times[ended_job.queue].append(seconds)

    def run(self, seconds):
        for i in range(int(seconds / PASS_S)):
            now = i * PASS_S
            self.submit(i, now)
            self.report_ends(now)
            self.monitor.check_runs(now, now)
            for effect in self.planner.plan(now, now):
                if isinstance(effect, StartRun):
                    self.start(effect, now)
            self.note_quarantines(now)
        return self

    def submit(self, i, now):
        """Submit urgent jobs of one or two steps, and wide ones with time left."""
        fields = {"cpu_milli": 6000, "memory_mib": 100, "estimate": 0.75}
        if self.rng.random() < 0.2 * self.load:
            steps = [step(8, **fields)]
            if self.rng.random() < 0.5:
                steps.append(step(8, after=(0,), **fields))
            add_job(self.pool_state, f"u{i}", job(*steps), "fast", at=now)
        if self.rng.random() < 0.05 * self.load:
            wide = step(16, cpu_milli=9000, memory_mib=100, estimate=3.0)
            add_job(self.pool_state, f"w{i}", job(wide), "slow", at=now)

    def start(self, effect, now):
        host = self.pool_state.hosts[effect.host]
        self.pool_state.apply_start_reply(host, effect.run, None, now)
        seconds = effect.run.declared_s * self.run_rng.lognormvariate(0.0, 0.3)
        seconds *= self.factors[effect.host]
        self.spans[effect.run.key] = (now, seconds)
        self.starts.append((now, effect.run.key, effect.host))
        fails = effect.host in self.failing and now >= self.fails_from
        kind = EndKind.DONE
        if fails and self.run_rng.random() < 0.9:
            kind = EndKind.FAILED
            seconds *= self.run_rng.random()
        ends_at = now + seconds
        heapq.heappush(self.ends, (ends_at, effect.run.key, effect.host, kind))

    def report_ends(self, now):
        by_host = {name: [] for name in self.factors}
        while self.ends and self.ends[0][0] <= now:
            _, key, name, kind = heapq.heappop(self.ends)
            self.end_numbers[name] += 1
            by_host[name].append(RunEnd(self.end_numbers[name], *key, kind, ""))
            run = self.pool_state.hosts[name].runs[key]
            if kind is EndKind.FAILED:
                self.first_failures.setdefault(name, now)
            elif run.begun_at >= LEARNING_S:
                self.run_times[run.queue].append(now - run.begun_at)
        for name, ended in by_host.items():
            host = self.pool_state.hosts[name]
            keys = host.runs.keys() - {(end.task, end.run) for end in ended}
            running = [self.make_row(key, now) for key in keys]
            report = HostReport(1000 + int(now * 1000), 1, tuple(running), tuple(ended))
            self.pool_state.apply_report(host, report, host.token, now, now, now)

    def make_row(self, key, now):
        """Return the row of a run in its host's report."""
        begun_at, seconds = self.spans[key]
        return RunStatus(*key, "", min(99, int(100 * (now - begun_at) / seconds)), 0)

    def note_quarantines(self, now):
        out = [h.name for h in self.pool_state.hosts.values() if h.is_quarantined]
        for name in out:
            self.quarantined_at.setdefault(name, now)
        self.most_quarantined = max(self.most_quarantined, len(out))
