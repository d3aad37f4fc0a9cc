"""An owner's knowledge of a pool: every event goes in, effects come out.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``.

Why a task never runs twice, step by step:

1. A run is started only for a task in state ``waiting``, and moves it to
   ``placed`` until the run is over. A task has one run at a time.
2. A run is over when its host lists its end, when a report that was asked for
   after the start was answered does not list it, when the host rejected it, or
   when the host's leases have surely lapsed.
3. A start without an answer may be carried out later. Its run is doubtful until
   the host has answered a call under a higher token: from then on the host
   rejects the start, so that the report says whether the run is there.
4. After a take-over, tasks are ``unsettled`` until every host on which the former
   owner may have started work has answered under the new term or has lapsed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from siskinroad.health import Health
from siskinroad.work.effects import Effect, SettleHost, StopRun
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import Ended, EndKind, HostReport, Rejection, Running
from siskinroad.work.job import Job, JobState, StepRun, Task, make_job
from siskinroad.work.model import HostEntry, Queue, Setup, TaskId
from siskinroad.work.records import Accepted, Progress
from siskinroad.work.speed import Speeds

__all__ = ["Book"]

# Tokens of one term; a term lasts far fewer changes of token.
TOKENS_OF_A_TERM = 1 << 20
# Runs that a former owner may have used for one task without a record.
UNRECORDED_RUNS = 8
# Hosts that one question to the advisor counts for in a job's objective, by the
# platform's page.
ADVICE_HOSTS = 30

log = logging.getLogger("siskinroad.book")


class Book:
    """Jobs, tasks, hosts and runs of one pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    term : int
        The owner's term; it makes the hosts' tokens.
    """

    def __init__(self, pool: str, term: int) -> None:
        self.pool = pool
        self.term = term
        self.setup: Setup | None = None
        self.queues: dict[str, Queue] = {}
        self.jobs: dict[str, Job] = {}
        self.hosts: dict[str, Host] = {}
        self.ready: dict[tuple[str, int, int], StepRun] = {}
        self.timed: set[str] = set()
        self.dirty: set[str] = set()
        self.health = Health()
        self.speeds = Speeds()
        self.settled = False
        self.waiting_for_hosts: set[str] = set()
        self.former_lapse_at = 0.0

    # Configuration and jobs

    def configure(self, setup: Setup) -> None:
        """Put a configuration in force; queues that are gone keep their rules."""
        self.setup = setup
        for queue in setup.queues:
            self.queues[queue.name] = queue

    def accept(self, accepted: Accepted, now: float, wall: float, fresh: bool) -> Job:
        """Take in an accepted job; a repeated submission changes nothing.

        Parameters
        ----------
        fresh : bool
            No former owner can have started any of its tasks.
        """
        known = self.jobs.get(accepted.job)
        if known is not None:
            return known
        job = make_job(accepted)
        self.jobs[job.id] = job
        if job.spec.occurrences > 1 or job.spec.first:
            self.timed.add(job.id)
        else:
            job.open_occurrence(settled=fresh or self.settled)
        self._find_ready(job, now)
        return job

    def restore(self, progress: Progress, now: float) -> None:
        """Take over what the store has of an accepted job."""
        job = self.jobs.get(progress.job)
        if job is None:
            return
        job.restore(progress)
        for step in list(job.steps.values()):
            self._step_changed(step, now)
        self._find_ready(job, now)

    def cancel(self, job_id: str, now: float, wall: float) -> list[Effect]:
        """Cancel a job: what waits never starts, what runs is stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.closed:
            return []
        return self._close(job, JobState.CANCELLED, wall)

    def open_due(self, now: float, wall: float, early: float) -> None:
        """Open the occurrences whose time has come, at most ``early`` ahead."""
        for job_id in list(self.timed):
            job = self.jobs[job_id]
            while job.opened < job.spec.occurrences and not job.closed:
                if job.spec.due(job.opened) > wall + early:
                    break
                job.open_occurrence(settled=self.settled)
                self._find_ready(job, now)
            if job.closed or job.opened >= job.spec.occurrences:
                self.timed.discard(job_id)

    def pending(self, queue: str) -> int:
        """Return the accepted jobs of a queue of which nothing has begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.queue == queue and not job.started and not job.closed
        )

    def forget_closed(self, wall: float, kept: float) -> list[str]:
        """Forget jobs that ended more than ``kept`` seconds ago; return them."""
        old = [
            job.id
            for job in self.jobs.values()
            if job.recorded and wall - job.outcome_at > kept
        ]
        for job_id in old:
            del self.jobs[job_id]
            self.health.forget_workload(job_id)
        return old

    def allowed(self, job: Job) -> float:
        """Return the seconds that a job's users grant it until it is complete.

        They count its longest chain of work as it is, not as it was declared, and
        one question to the advisor for each step of it.
        """
        queue = self.queues.get(job.queue)
        if queue is None:
            return 0.0
        chain = max(job.tails) * self.speeds.factor(job.queue)
        if queue.advice is not None:
            chain += job.links * queue.advice.duration(ADVICE_HOSTS)
        return queue.slack * chain + queue.target

    def objective(self, job: Job, occurrence: int = 0) -> float:
        """Return the Unix time in seconds by which an occurrence is worth most."""
        begins = job.spec.due(occurrence) if job.spec.first else job.accepted_at
        return begins + self.allowed(job)

    def _find_ready(self, job: Job, now: float) -> None:
        if job.closed:
            return
        for step in job.steps.values():
            if step.key not in self.ready and not step.is_done() and job.is_ready(step):
                step.ready_at = now
                self.ready[step.key] = step

    def _step_changed(self, step: StepRun, now: float) -> None:
        """Note the end of a step and of its job."""
        job = step.job
        if not step.is_done():
            return
        self.ready.pop(step.key, None)
        self._find_ready(job, now)

    def _check_complete(self, job: Job, wall: float) -> None:
        if job.closed or job.opened < job.spec.occurrences:
            return
        if all(step.is_done() for step in job.steps.values()):
            self._finish(job, JobState.COMPLETE, wall)

    def _finish(self, job: Job, outcome: str, wall: float) -> None:
        job.outcome = outcome
        job.outcome_at = wall
        self.dirty.add(job.id)
        for key in [key for key in self.ready if key[0] == job.id]:
            del self.ready[key]
        log.info(
            "book: job %s",
            outcome,
            extra={
                "request": job.id,
                "queue": job.queue,
                "age_s": round(wall - job.accepted_at, 3),
                "late_s": round(wall - self.objective(job, job.opened - 1), 3),
            },
        )

    def _close(self, job: Job, outcome: str, wall: float) -> list[Effect]:
        self._finish(job, outcome, wall)
        for step in job.steps.values():
            for task in step.tasks:
                if task.allows("abandon"):
                    task.move("abandon")
        return self._stop_runs(job.id, f"job {outcome}")

    def _stop_runs(self, job_id: str, reason: str) -> list[Effect]:
        effects: list[Effect] = []
        for host in self.hosts.values():
            for run in list(host.runs.values()):
                if run.key[0].job == job_id:
                    effects += self.stop(host, run, reason)
        return effects

    def stop(self, host: Host, run: Run, reason: str) -> list[Effect]:
        """Order the stop of a run; its room stays taken until the end is listed."""
        if run.state in ("stopping", "withdrawn"):
            return []
        run.move("stop")
        return [StopRun(host.name, run, reason)]

    # Hosts

    def host_listed(self, entry: HostEntry, now: float = 0.0) -> None:
        """Take in an entry of the live list."""
        host = self.hosts.get(entry.name)
        if host is None:
            host = Host(entry, self.term * TOKENS_OF_A_TERM)
            self.hosts[entry.name] = host
        if entry.draining and host.leaves_at == float("inf"):
            host.leaves_at = now + entry.stays
            log.info(
                "book: host drains",
                extra={"host": entry.name, "stays_s": entry.stays},
            )
        host.entry = entry
        host.unlisted_at = 0.0

    def host_unlisted(self, name: str, now: float) -> None:
        """Note that the live list has lost a host; it may run on for a while."""
        host = self.hosts.get(name)
        if host is None or host.unlisted_at:
            return
        host.unlisted_at = now
        log.info(
            "book: host is not listed any more",
            extra={"host": name, "silent_s": round(now - host.reported_at, 2)},
        )

    def expect_hosts(self, names: Iterable[str], lapse_at: float) -> None:
        """Name the hosts that a former owner used, and when their leases lapse."""
        self.waiting_for_hosts = set(names)
        for host in self.hosts.values():
            host.lapse_at = max(host.lapse_at, lapse_at)
        self.former_lapse_at = lapse_at

    def former_gone(self, lapse_at: float) -> None:
        """Shorten the wait for silent hosts: the former owner is dead."""
        self.former_lapse_at = min(self.former_lapse_at, lapse_at)

    def settle_tasks(self, now: float) -> bool:
        """Release unsettled tasks once no former run can be anywhere else."""
        if self.settled:
            return False
        open_ = [n for n in self.waiting_for_hosts if not self._is_settled(n)]
        if open_ and now < self.former_lapse_at:
            return False
        self.settled = True
        count = 0
        for job in self.jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.state == "unsettled":
                        task.run += UNRECORDED_RUNS
                        task.move("settle")
                        count += 1
        log.info(
            "book: former runs are accounted for",
            extra={"tasks": count, "silent_hosts": len(open_), "term": self.term},
        )
        return True

    def _is_settled(self, name: str) -> bool:
        host = self.hosts.get(name)
        return host is not None and host.settled

    def raise_token(self, host: Host) -> Effect:
        """Raise a host's token, which voids every older start on its way."""
        host.token += 1
        return SettleHost(host.name)

    def host_replaced(self, host: Host, now: float) -> list[Effect]:
        """Another life answers at the host's address: all that ran there is over."""
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            run.move("lapse")
            effects += self._over(host, run, "host replaced", now)
        self.hosts.pop(host.name, None)
        self.waiting_for_hosts.discard(host.name)
        return effects

    def lapse_silent(self, now: float) -> list[Effect]:
        """Take the runs of hosts as over whose leases have surely lapsed."""
        effects: list[Effect] = []
        for host in list(self.hosts.values()):
            if now < host.lapse_at or now < self._former_bound(host):
                continue
            if host.runs:
                log.warning(
                    "book: leases of a silent host have lapsed",
                    extra={
                        "host": host.name,
                        "runs": len(host.runs),
                        "silent_s": round(now - host.reported_at, 2),
                    },
                )
            for run in list(host.runs.values()):
                run.move("lapse")
                effects += self._over(host, run, "lapsed", now)
            if host.unlisted_at:
                del self.hosts[host.name]
        return effects

    def _former_bound(self, host: Host) -> float:
        return 0.0 if host.settled else self.former_lapse_at

    # Answers and reports

    def start_answered(
        self, host: Host, run: Run, rejection: Rejection | None, now: float
    ) -> list[Effect]:
        """Take in a host's answer to a start."""
        if host.runs.get(run.key) is not run or run.state == "over":
            return []
        if rejection is None:
            run.since = now
            run.move("accept")
            self._begun(host, run, now)
            return []
        if not run.allows("reject"):
            return []
        run.move("reject")
        if rejection is Rejection.TICKET:
            step = self.step(run.key[0])
            if step is not None:
                step.tickets.pop(host.name, None)
        return self._over(host, run, rejection.value, now)

    def may_send(self, host: Host, run: Run) -> bool:
        """Return whether a start that has waited to be sent is still wanted."""
        return host.runs.get(run.key) is run and run.state == "ordered"

    def start_dropped(self, host: Host, run: Run, now: float) -> list[Effect]:
        """Note that a start was not sent, as it is not wanted any more."""
        if host.runs.get(run.key) is not run or not run.allows("drop"):
            return []
        run.move("drop")
        return self._over(host, run, "withdrawn", now)

    def start_not_sent(self, host: Host, run: Run, now: float) -> list[Effect]:
        """Nothing of a start left this daemon."""
        return self.start_answered(host, run, Rejection.UNWELL, now)

    def start_unanswered(self, host: Host, run: Run, now: float) -> list[Effect]:
        """Void a start that may be carried out later, by a higher token."""
        if host.runs.get(run.key) is not run or not run.allows("miss"):
            return []
        run.move("miss")
        return [self.raise_token(host)]

    def report(
        self,
        host: Host,
        report: HostReport,
        token: int,
        sent_at: float,
        now: float,
        wall: float,
    ) -> list[Effect]:
        """Take in a host's list of runs and ends.

        Parameters
        ----------
        token : int
            Token under which the host was asked.
        sent_at : float
            Loop time at which the question was sent.
        """
        effects: list[Effect] = []
        if host.born and report.born != host.born:
            effects += self._new_life(host, now)
        host.born = report.born
        host.clock, host.clock_at = report.clock, now
        host.heard_at = host.reported_at = now
        if not host.settled:
            host.settled = True
            # A former owner may have extended the lease just before.
            host.granted(now)
            log.info(
                "book: host answers under this term",
                extra={
                    "host": host.name,
                    "token": token,
                    "running": len(report.running),
                    "ended": len(report.ended),
                },
            )
        effects += self._take_ends(host, report.ended, now, wall)
        effects += self._take_running(host, report.running, now)
        effects += self._take_absent(host, report, token, sent_at, now)
        return effects

    def _new_life(self, host: Host, now: float) -> list[Effect]:
        log.warning("book: host began a new life", extra={"host": host.name})
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            if run.state in ("ordered", "withdrawn"):
                continue
            run.move("lapse")
            effects += self._over(host, run, "host restarted", now)
        host.seen = host.acknowledged = 0
        effects.append(self.raise_token(host))
        return effects

    def _take_ends(
        self, host: Host, ended: tuple[Ended, ...], now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for end in ended:
            if end.number <= host.seen:
                continue
            host.seen = end.number
            effects += self._take_end(host, end, now, wall)
        return effects

    def _take_end(
        self, host: Host, end: Ended, now: float, wall: float
    ) -> list[Effect]:
        run = host.runs.get((end.task, end.run))
        if run is not None:
            run.move("end")
            self._release(host, run)
            if end.how is EndKind.DONE and run.begun_at and not run.progress_at_begin:
                self.speeds.ended(run.queue, run.declared, now - run.begun_at)
        step = self.step(end.task)
        task = step.job.task(end.task) if step else None
        if step is None or task is None:
            return []
        log.info(
            "book: run ended",
            extra={
                "request": end.task.job,
                "task": _label(end.task),
                "run": end.run,
                "host": host.name,
                "how": end.how.value,
                "run_s": round(now - run.begun_at, 2) if run and run.begun_at else None,
            },
        )
        if end.checkpoint and end.run >= task.run:
            task.checkpoint = end.checkpoint
        if end.how is EndKind.DONE:
            task.run = max(task.run, end.run)
            return self._done(step, task, now, wall)
        newest = end.run >= task.run
        task.run = max(task.run, end.run)
        if task.state == "unsettled":
            self.dirty.add(task.id.job)
        return self._ended_badly(host, step, task, end, newest, now, wall)

    def _done(self, step: StepRun, task: Task, now: float, wall: float) -> list[Effect]:
        job = step.job
        if job.closed:
            if task.allows("done"):
                task.move("done")
            return []
        # The end of one member of a gang stands for all.
        tasks = step.tasks if step.spec.gang else [task]
        for each in tasks:
            if each.state != "done":
                each.run = max(each.run, task.run)
                each.move("done")
        job.started = True
        self.dirty.add(job.id)
        self.health.observe(task.host, job.id, True, now, len(self.hosts))
        self._step_changed(step, now)
        self._check_complete(job, wall)
        return self._stop_copies(task) if step.spec.copies else []

    def _stop_copies(self, task: Task) -> list[Effect]:
        """Stop what still runs of a task that is done."""
        effects: list[Effect] = []
        for host in self.hosts.values():
            for run in list(host.runs.values()):
                if run.key[0] == task.id:
                    effects += self.stop(host, run, "another copy is done")
        return effects

    def copy(self, host: Host, run: Run, why: str, now: float) -> bool:
        """Let a task be placed once more while its run goes on.

        Only steps that allow copies, and one more copy of a task.
        """
        step = self.step(run.key[0])
        task = self.task(run.key[0])
        if step is None or task is None or not step.spec.copies or task.older:
            return False
        if task.run != run.key[1] or not task.allows("free"):
            return False
        task.older = host.name
        task.move("free")
        log.info(
            "book: task is copied",
            extra={
                "request": task.id.job,
                "task": _label(task.id),
                "run": run.key[1],
                "host": host.name,
                "why": why,
                "progress": run.progress,
                "report_age_s": round(now - host.reported_at, 2),
            },
        )
        return True

    def _ended_badly(
        self,
        host: Host,
        step: StepRun,
        task: Task,
        end: Ended,
        newest: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        if task.state == "done":
            return []
        if newest and task.allows("free"):
            task.move("free")
        if end.how is EndKind.FAILED and end.run not in task.failures:
            return self._failed(host, step, task, end.run, now, wall)
        return []

    def _failed(
        self,
        host: Host,
        step: StepRun,
        task: Task,
        run: int,
        now: float,
        wall: float,
    ) -> list[Effect]:
        job = step.job
        tasks = step.tasks if step.spec.gang else [task]
        for each in tasks:
            each.failures.add(run)
        task.avoid[host.name] = now
        self.dirty.add(job.id)
        verdict = self.health.observe(host.name, job.id, False, now, len(self.hosts))
        if verdict is not None and verdict.event == "eject":
            host.resting = True
            log.warning("book: host fails its work", extra={"host": host.name})
        queue = self.queues.get(job.queue)
        most = queue.max_attempts if queue else 1
        if step.spec.long_running or task.failed < most or job.closed:
            return []
        return self._close(job, JobState.FAILED, wall)

    def _take_running(
        self, host: Host, running: tuple[Running, ...], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for row in running:
            run = host.runs.get((row.task, row.run))
            if run is None:
                run, more = self._adopt(host, row, now)
                effects += more
            elif run.state in ("ordered", "withdrawn", "doubtful"):
                run.since = now
                run.move("list")
                self._begun(host, run, now)
                if run.state == "running" and self._is_closed(run):
                    effects += self.stop(host, run, "job is closed")
            if run.progress != row.progress or not run.moved_at:
                run.progress = row.progress
                run.moved_at = now
            run.reported_at = now
            run.usage = row.usage
            task = self.task(row.task)
            if task is not None and row.checkpoint and row.run == task.run:
                task.checkpoint = row.checkpoint
        return effects

    def _is_closed(self, run: Run) -> bool:
        job = self.jobs.get(run.key[0].job)
        return job is None or job.closed

    def _adopt(self, host: Host, row: Running, now: float) -> tuple[Run, list[Effect]]:
        """Take in a run that this owner has not ordered."""
        step = self.step(row.task)
        task = step.job.task(row.task) if step else None
        if step is not None and task is not None:
            run = step.make_run(task, row.run, host.token, now)
        else:
            # What an unknown run takes is not known: it may be all of the host.
            key = (row.task.job, row.task.occurrence, row.task.step)
            whole = host.entry.capacity
            run = Run((row.task, row.run), whole, host.token, now, key)
        run.move("list")
        run.progress = run.progress_at_begin = row.progress
        run.moved_at = now
        run.begun_at = now
        host.add(run)
        wanted = (
            step is not None
            and task is not None
            and not step.job.closed
            and task.state in ("unsettled", "waiting")
            and row.run >= task.run
        )
        if step is not None:
            step.by_host[host.name] = step.by_host.get(host.name, 0) + 1
        if not wanted or step is None or task is None:
            run.foreign = True
            return run, self.stop(host, run, "not wanted")
        task.run = row.run
        task.host = host.name
        task.move("adopt")
        step.job.started = True
        return run, []

    def _take_absent(
        self, host: Host, report: HostReport, token: int, sent_at: float, now: float
    ) -> list[Effect]:
        listed = {(row.task, row.run) for row in report.running}
        effects: list[Effect] = []
        for key, run in list(host.runs.items()):
            if key in listed:
                continue
            sure = run.state in ("running", "stopping") and run.since < sent_at
            void = run.state == "doubtful" and run.token < token
            if sure or void:
                run.move("absent")
                effects += self._over(host, run, "absent", now)
        return effects

    # Ends of runs

    def _begun(self, host: Host, run: Run, now: float) -> None:
        if not run.begun_at:
            run.begun_at = now
        job = self.jobs.get(run.key[0].job)
        if job is not None:
            job.started = True

    def _release(self, host: Host, run: Run) -> None:
        host.drop(run)
        step = self.step(run.key[0])
        if step is not None and step.by_host.get(host.name):
            step.by_host[host.name] -= 1
        task = self.task(run.key[0])
        if task is not None and task.older == host.name:
            task.older = ""

    def _over(self, host: Host, run: Run, why: str, now: float) -> list[Effect]:
        """End a run without a listed end: its task may be placed again."""
        self._release(host, run)
        task = self.task(run.key[0])
        if task is None or task.run != run.key[1]:
            return []
        if task.allows("free"):
            task.move("free")
        log.info(
            "book: run is void",
            extra={
                "request": run.key[0].job,
                "task": _label(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "why": why,
            },
        )
        return self._break_gang(task, run)

    def _break_gang(self, task: Task, run: Run) -> list[Effect]:
        """Stop the members of a gang that has lost one."""
        step = self.step(task.id)
        if step is None or not step.spec.gang:
            return []
        effects: list[Effect] = []
        for host in self.hosts.values():
            for other in list(host.runs.values()):
                if other.step == step.key and other.key[1] == run.key[1]:
                    effects += self.stop(host, other, "gang lost a member")
        return effects

    # Lookups

    def task(self, key: TaskId) -> Task | None:
        """Return a task, or None if its job or the task is not known."""
        job = self.jobs.get(key.job)
        return job.task(key) if job else None

    def step(self, key: TaskId) -> StepRun | None:
        """Return the step of a task, or None if it is not known."""
        return self.step_by_key((key.job, key.occurrence, key.step))

    def step_by_key(self, key: tuple[str, int, int]) -> StepRun | None:
        """Return a step by its job, occurrence and number, or None."""
        job = self.jobs.get(key[0])
        return job.steps.get((key[1], key[2])) if job else None


def _label(key: TaskId) -> str:
    return f"{key.occurrence}.{key.step}.{key.index}"
