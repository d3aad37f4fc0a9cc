"""Seeded load on a pool's state and planner: many hosts, no loop and no I/O.

A queue of events stands for the clock. Hosts accept each start, run its task and report
its end; the advisor replies after the time that a call takes; one planning pass follows
each event after the owner's delay.
"""

import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from bench.event_queue import EventQueue
from siskinroad.resources import Resources
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import (
    ReconcileHost,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
)
from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.model import (
    Advice,
    Configuration,
    HostEntry,
    JobSpec,
    Queue,
    Step,
    Timing,
)
from siskinroad.work.planner import Planner
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import Accepted
from siskinroad.work.run_monitor import RunMonitor

POOL = "load"
URGENT = Queue("urgent", "h", "/u/", POOL, 0, 3, 1.5, 0.4, 3.0, None)
ADVISED = Queue(
    "advised", "h", "/a/", POOL, 1, 3, 2.0, 1.2, 3.0, Advice(0.03, 0.002, 2.0)
)
GANGS = Queue("gangs", "h", "/g/", POOL, 1, 3, 3.0, 2.0, 3.0, Advice(0.1, 0.004, 3.0))
BATCH = Queue("batch", "h", "/b/", POOL, 2, 3, 4.0, 3.0, 3.0, None)
CONFIGURATION = Configuration(1, (URGENT, ADVISED, GANGS, BATCH), (POOL,), 1 << 18)
PLAN_DELAY = 0.004
TICK_INTERVAL = 0.2
RENEWAL_INTERVAL = 0.5
TRIP = 0.002
STOP_TIME = 0.1
SHORT_CHANNELS, LONG_CHANNELS = 2, 4


@dataclass(slots=True)
class LoadSizes:
    """Sizes of a load.

    Attributes
    ----------
    urgent_per_s, advised_per_s, gangs_per_s : float
        Jobs submitted per second.
    backlog_jobs, backlog_tasks : int
        Jobs that wait from the start, and the tasks of each.
    faults_per_s : float
        Rate of silent hosts, drains, cancellations and failures of tasks.
    """

    hosts: int = 126
    urgent_per_s: float = 15.0
    advised_per_s: float = 6.0
    gangs_per_s: float = 0.3
    backlog_jobs: int = 20
    backlog_tasks: int = 60
    batch_per_s: float = 1.0
    faults_per_s: float = 0.0
    lasting_tasks: int = 20


@dataclass(slots=True)
class _Work:
    """A run as its host sees it."""

    run: object
    begun_at: float
    seconds: float
    checkpoint_percent: int

    def percent(self, now):
        if self.seconds == float("inf"):
            return 100
        done = (now - self.begun_at) / self.seconds
        return min(99, int(self.checkpoint_percent + 100 * done))


@dataclass(slots=True)
class _Machine:
    """A host's own state."""

    work: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    end_count: int = 0
    silent_until: float = 0.0


class PlanningLoad:
    """A pool under a seeded load.

    Attributes
    ----------
    times, calls : Counter
        Seconds of processor time in each entry point of the planning, and its calls.
    commands : list of tuple
        Every command and advice request, with its time.
    """

    def __init__(self, sizes=None, seed=1):
        self.sizes = sizes or LoadSizes()
        self.rng = random.Random(seed)
        self.events = EventQueue()
        self.machines = {}
        self.pool_state = PoolState(POOL, 1)
        self.pool_state.is_settled = True
        self.pool_state.configure(CONFIGURATION)
        self.planner = Planner(self.pool_state)
        self.run_monitor = RunMonitor(self.pool_state, Timing(stop_grace_s=0.2))
        self.is_plan_requested = False
        self.channels = ([0.0] * SHORT_CHANNELS, [0.0] * LONG_CHANNELS)
        self.allowed = {}
        self.commands = []
        self.times = Counter()
        self.calls = Counter()
        self.job_numbers = itertools.count()
        for i in range(self.sizes.hosts):
            self._add_host(i)
        self._add_standing_work()
        for queue in ("urgent", "advised", "gangs", "batch", "faults"):
            self._schedule_next(queue)
        self._at(0.05, self._tick)

    # Events

    @property
    def now(self):
        """Time in seconds of the event that is processed."""
        return self.events.now

    def _at(self, delay, action, *args):
        self.events.at(delay, self._process, action, args)

    def _process(self, action, args):
        action(*args)
        self.note_event()

    def run(self, seconds):
        """Process the events of the next ``seconds``."""
        self.events.run(seconds)

    def note_event(self):
        """Do nothing; called after each event."""

    def note_host(self, host):
        """Do nothing; called with each host that is listed."""

    def plan(self, channels):
        """Return the effects of one planning pass."""
        return self.planner.plan(self.now, self.now, channels)

    def _timed(self, name, function, *args):
        began = time.process_time()
        result = function(*args)
        self.times[name] += time.process_time() - began
        self.calls[name] += 1
        return result

    def _request_plan(self):
        if not self.is_plan_requested:
            self.is_plan_requested = True
            self._at(PLAN_DELAY, self._plan)

    def _plan(self):
        self.is_plan_requested = False
        channels = ChannelTimes(
            *([at - self.now for at in each] for each in self.channels)
        )
        self._execute(self._timed("plan", self.plan, channels))

    def _tick(self):
        state = self.pool_state
        effects = self._timed("expire", state.expire_silent_hosts, self.now)
        state.open_due(self.now, self.now, 0.05)
        effects += self._timed(
            "check_runs", self.run_monitor.check_runs, self.now, self.now
        )
        self._execute(effects)
        self._request_plan()
        self._at(TICK_INTERVAL, self._tick)

    # Hosts

    def _add_host(self, number):
        name = f"h{number:04}"
        cores = self.rng.choice((32, 48, 64))
        accelerators = 8 if number % 5 == 0 else 0
        labels = {"disk"} if number % 4 else {"disk", "fast-disk"}
        capacity = Resources(cores * 1000, cores * 4000, accelerators, 0)
        rack = f"r{number // 12}"
        entry = HostEntry(
            name, POOL, name, "dc1", False, capacity, frozenset(labels), rack
        )
        self._list_host(entry)
        self._at(self.rng.random() * RENEWAL_INTERVAL, self._renew, name)

    def _list_host(self, entry):
        self.pool_state.add_or_update_host(entry, self.now)
        host = self.pool_state.hosts[entry.name]
        self.note_host(host)
        host.is_stored = True
        self.machines.setdefault(entry.name, _Machine())
        self._report(entry.name)

    def _renew(self, name):
        if name not in self.pool_state.hosts:
            return
        self._report(name)
        self._at(RENEWAL_INTERVAL, self._renew, name)

    def _report(self, name):
        host = self.pool_state.hosts.get(name)
        machine = self.machines[name]
        if host is None:
            return
        if self.now < machine.silent_until:
            host.record_failed_request(self.now)
            return
        running = tuple(
            RunStatus(
                work.run.key[0],
                work.run.key[1],
                f"ck{work.percent(self.now) // 10}",
                work.percent(self.now),
                80 if work.run.tail_limit else 500,
            )
            for work in machine.work.values()
        )
        report = HostReport(int(self.now * 1000), 1, running, tuple(machine.ends[-20:]))
        host.extend_lease_expiry(self.now)
        effects = self._timed(
            "report",
            self.pool_state.apply_report,
            host,
            report,
            host.token,
            self.now - TRIP,
            self.now,
            self.now,
        )
        self._execute(effects)
        if report.ended or report.running:
            self._request_plan()

    def _end(self, name, key, kind):
        machine = self.machines[name]
        work = machine.work.pop(key, None)
        if work is None:
            return
        machine.end_count += 1
        checkpoint = f"ck{work.percent(self.now) // 10}"
        machine.ends.append(RunEnd(machine.end_count, *key, kind, checkpoint))
        self._at(TRIP, self._report, name)

    # Effects

    def _execute(self, effects):
        for effect in effects:
            match effect:
                case StartRun(host=host, run=run):
                    self.commands.append((round(self.now, 4), "start", host, run.key))
                    self._at(TRIP, self._start, effect)
                case StopRun(host=host, run=run, reason=reason):
                    self.commands.append(
                        (round(self.now, 4), "stop", host, run.key, reason)
                    )
                    self._at(STOP_TIME, self._end, host, run.key, EndKind.STOPPED)
                case RequestAdvice(step=step, hosts=hosts, duration=duration):
                    self.commands.append((round(self.now, 4), "advice", step, hosts))
                    self._occupy_channel(duration)
                    self._at(duration, self._grant, step, hosts)
                case ThrottleRun(host=host, run=run, percent=percent):
                    self.commands.append(
                        (round(self.now, 4), "throttle", host, run.key, percent)
                    )
                case ReconcileHost(host=host):
                    self._at(TRIP, self._report, host)

    def _occupy_channel(self, duration):
        channels = self.channels[1] if duration >= 0.08 else self.channels[0]
        first = channels.index(min(channels))
        channels[first] = max(self.now, channels[first]) + duration

    def _start(self, effect):
        host = self.pool_state.hosts.get(effect.host)
        machine = self.machines[effect.host]
        run = effect.run
        if host is None or not self.pool_state.may_send_start(host, run):
            if host is not None:
                self.pool_state.drop_start(host, run, self.now)
            return
        if self.now < machine.silent_until:
            self._execute(self.pool_state.note_start_without_reply(host, run, self.now))
            return
        self._execute(self.pool_state.apply_start_reply(host, run, None, self.now))
        percent = int(effect.checkpoint[2:] or 0) * 10 if effect.checkpoint else 0
        seconds = run.declared_s * self.rng.uniform(0.7, 1.6)
        if run.long_running:
            seconds = float("inf")
        machine.work[run.key] = _Work(run, self.now, seconds, percent)
        if not run.long_running:
            is_failed = self.sizes.faults_per_s > 0 and self.rng.random() < 0.02
            kind = EndKind.FAILED if is_failed else EndKind.DONE
            left = seconds * (100 - percent) / 100
            self._at(left, self._end, effect.host, run.key, kind)

    def _grant(self, key, hosts):
        step = self.pool_state.step_by_key(key)
        if step is None:
            return
        allowed = []
        for name in hosts:
            chance = self.allowed.get((key, name))
            if chance is None:
                chance = self.allowed[key, name] = self.rng.random() < 0.6
            if chance:
                allowed.append(name)
        valid_until = self.now + self.pool_state.queues[step.job.queue].advice.valid_s
        tickets = {name: f"t-{name}" for name in allowed}
        step.advice.record_answer(hosts, tickets, valid_until)
        step.is_advice_pending = False
        self._request_plan()

    # Work

    def _submit(self, queue, spec):
        name = f"{queue}-{next(self.job_numbers)}"
        self.pool_state.accept(
            Accepted(name, queue, POOL, self.now, spec), self.now, self.now, is_new=True
        )
        self._request_plan()

    def _add_standing_work(self):
        sizes = self.sizes
        if sizes.lasting_tasks:
            serving = Step(
                sizes.lasting_tasks,
                cpu_milli=4000,
                memory_mib=4000,
                spread=2,
                long_running=True,
                tail_limit=0.1,
            )
            self._submit("urgent", JobSpec("p", (serving,)))
            filler = Step(
                sizes.lasting_tasks,
                cpu_milli=2000,
                memory_mib=1000,
                estimate=3.0,
                filler=True,
                checkpoints=True,
            )
            self._submit("batch", JobSpec("p", (filler,)))
        for _ in range(sizes.backlog_jobs):
            self._submit("batch", self._make_batch_spec(sizes.backlog_tasks))

    def _make_batch_spec(self, tasks):
        rng = self.rng
        accelerators = rng.choice((0, 0, 0, 1, 4))
        return JobSpec(
            "p",
            (
                Step(
                    tasks,
                    cpu_milli=rng.randrange(4, 17) * 1000,
                    memory_mib=rng.randrange(2, 40) * 1000,
                    accelerators=accelerators,
                    estimate=rng.uniform(2.0, 8.0),
                    checkpoints=True,
                    copies=rng.random() < 0.2,
                ),
            ),
        )

    def _schedule_next(self, queue):
        rate = getattr(self.sizes, f"{queue}_per_s")
        if rate:
            self._at(self.rng.expovariate(rate), self._arrive, queue)

    def _arrive(self, queue):
        self._schedule_next(queue)
        rng = self.rng
        match queue:
            case "urgent" | "advised":
                fields = {
                    "cpu_milli": rng.randrange(5, 12) * 1000,
                    "memory_mib": rng.randrange(2, 24) * 1000,
                    "estimate": rng.uniform(0.4, 1.0),
                    "copies": rng.random() < 0.3,
                }
                if queue == "advised":
                    fields["label"] = "fast-disk"
                    fields["estimate"] *= 2
                steps = [Step(rng.randrange(5, 16), **fields)]
                if rng.random() < 0.5:
                    fields["data_rack"] = f"r{rng.randrange(5)}"
                    steps.append(Step(rng.randrange(5, 16), after=(0,), **fields))
                self._submit(queue, JobSpec("p", tuple(steps)))
            case "gangs":
                gang = Step(
                    rng.choice((2, 4, 8)),
                    cpu_milli=rng.randrange(8, 30) * 1000,
                    memory_mib=64000,
                    accelerators=rng.choice((4, 8)),
                    estimate=rng.uniform(1.0, 4.0),
                    gang=True,
                    one_rack=rng.random() < 0.5,
                )
                self._submit(queue, JobSpec("p", (gang,)))
            case "batch":
                self._submit(queue, self._make_batch_spec(rng.randrange(10, 80)))
            case "faults":
                self._cause_fault()

    def _cause_fault(self):
        rng = self.rng
        names = sorted(self.pool_state.hosts)
        match rng.randrange(4):
            case 0:
                machine = self.machines[rng.choice(names)]
                machine.silent_until = self.now + rng.choice((0.3, 1.5, 7.0))
            case 1:
                host = self.pool_state.hosts[rng.choice(names)]
                draining = not host.entry.draining
                self._list_host(replace(host.entry, draining=draining, min_stay_s=2.0))
            case 2:
                jobs = [j for j in self.pool_state.jobs.values() if not j.is_closed]
                if jobs:
                    job = rng.choice(jobs)
                    self._execute(self.pool_state.cancel(job.id, self.now, self.now))
            case 3:
                host = self.pool_state.hosts[rng.choice(names)]
                host.is_quarantined = True
                host.quarantined_until = self.now + 6.0
