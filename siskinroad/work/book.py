"""An owner's knowledge of a pool: every event goes in, effects come out.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``.

Why a task never runs twice, step by step:

1. A run is started only for a task in state ``waiting``, and moves it to
   ``placed`` until the run is over. A task has one run at a time, unless its step
   allows copies; then an older run may go on beside the newest one.
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

from siskinroad.work.effects import Effect
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import Ended, EndKind, HostReport, Rejection, Running
from siskinroad.work.job import JobState, StepRun, Task
from siskinroad.work.runbook import RunBook, label

__all__ = ["Book"]

log = logging.getLogger("siskinroad.book")


class Book(RunBook):
    """Jobs, tasks, hosts and runs of one pool, and what the hosts say of them."""

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
                "task": label(end.task),
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
