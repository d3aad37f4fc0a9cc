"""State of a pool as its owner sees it: methods take events and return effects.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.

Why a task never runs twice:

1. A run is started only for a task in state ``waiting``. The task is then ``placed``
   until the run is over. A task has one run at a time, unless its step allows
   speculative copies; then an older run may continue beside the newest one.
2. A run is over when its host lists its end, when the host rejected its start, when
   a report requested after the reply to its start does not list it, or when every
   lease that the host may hold has expired.
3. A start without a reply may still be carried out later. Its run is ``doubtful``
   until the host has replied to a request under a higher token: from then on the
   host rejects the start, so a report that does not list the run is conclusive.
4. After a takeover, tasks are ``unsettled`` until every host on which the former
   owner may have started work has replied under the new term or its leases have
   expired. A host or task is settled once it is reconciled in this way.
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
    """Jobs, tasks, hosts and runs of one pool, updated from the hosts' reports."""

    def start_answered(
        self, host: Host, run: Run, rejection: Rejection | None, now: float
    ) -> list[Effect]:
        """Apply a host's reply to a start."""
        if host.runs.get(run.key) is not run or run.state == "over":
            return []
        if rejection is None:
            run.since = now
            run.move("accept")
            self._mark_begun(host, run, now)
            return []
        if not run.allows("reject"):
            return []
        run.move("reject")
        if rejection is Rejection.TICKET:
            step = self.step(run.key[0])
            if step is not None:
                step.tickets.pop(host.name, None)
        return self._end_run(host, run, rejection.value, now)

    def may_send(self, host: Host, run: Run) -> bool:
        """Return whether a start that is still unsent may be sent."""
        return host.runs.get(run.key) is run and run.state == "ordered"

    def start_dropped(self, host: Host, run: Run, now: float) -> list[Effect]:
        """End a run whose start was withdrawn before it was sent."""
        if host.runs.get(run.key) is not run or not run.allows("drop"):
            return []
        run.move("drop")
        return self._end_run(host, run, "withdrawn", now)

    def start_not_sent(self, host: Host, run: Run, now: float) -> list[Effect]:
        """End a run whose start could not be sent from this daemon."""
        return self.start_answered(host, run, Rejection.UNWELL, now)

    def start_unanswered(self, host: Host, run: Run, now: float) -> list[Effect]:
        """Raise the host's token to void a start that may still be carried out."""
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
        """Apply a host's report of its runs and ends.

        Parameters
        ----------
        token : int
            Token under which the report was requested.
        sent_at : float
            Loop time at which the request was sent.
        """
        effects: list[Effect] = []
        if host.born and report.born != host.born:
            effects += self._handle_restart(host, now)
        host.born = report.born
        host.clock, host.clock_at = report.clock, now
        host.heard_at = host.reported_at = now
        if not host.settled:
            host.settled = True
            # A former owner may have renewed the lease just before this report.
            host.granted(now)
            log.info(
                "book: first report from host under this term",
                extra={
                    "host": host.name,
                    "token": token,
                    "running": len(report.running),
                    "ended": len(report.ended),
                },
            )
        effects += self._process_ends(host, report.ended, now, wall)
        effects += self._process_running(host, report.running, now)
        effects += self._end_absent_runs(host, report, token, sent_at, now)
        return effects

    def _handle_restart(self, host: Host, now: float) -> list[Effect]:
        log.warning(
            "book: host restarted; runs of its former incarnation are ended",
            extra={"host": host.name},
        )
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            if run.state in ("ordered", "withdrawn"):
                continue
            run.move("lapse")
            effects += self._end_run(host, run, "host restarted", now)
        host.seen = host.acknowledged = 0
        effects.append(self.raise_token(host))
        return effects

    def _process_ends(
        self, host: Host, ended: tuple[Ended, ...], now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for end in ended:
            if end.number <= host.seen:
                continue
            host.seen = end.number
            effects += self._process_end(host, end, now, wall)
        return effects

    def _process_end(
        self, host: Host, end: Ended, now: float, wall: float
    ) -> list[Effect]:
        run = host.runs.get((end.task, end.run))
        if run is not None:
            run.move("end")
            self._remove_run(host, run)
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
            return self._complete_task(step, task, now, wall)
        newest = end.run >= task.run
        task.run = max(task.run, end.run)
        if task.state == "unsettled":
            self.dirty.add(task.id.job)
        return self._handle_unsuccessful_end(host, step, task, end, newest, now, wall)

    def _complete_task(
        self, step: StepRun, task: Task, now: float, wall: float
    ) -> list[Effect]:
        job = step.job
        if job.closed:
            if task.allows("done"):
                task.move("done")
            return []
        # A gang succeeds as a whole: the end of one member counts for all.
        tasks = step.tasks if step.spec.gang else [task]
        for each in tasks:
            if each.state != "done":
                each.run = max(each.run, task.run)
                each.move("done")
        job.started = True
        self.dirty.add(job.id)
        self.health.observe(task.host, job.id, True, now, len(self.hosts))
        self._close_step_if_done(step, now)
        self._complete_job_if_done(job, wall)
        return self._stop_copies(task) if step.spec.copies else []

    def _handle_unsuccessful_end(
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
            return self._record_failure(host, step, task, end.run, now, wall)
        return []

    def _record_failure(
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
            log.warning(
                "book: host quarantined: too many of its runs failed",
                extra={"host": host.name},
            )
        queue = self.queues.get(job.queue)
        attempt_limit = queue.max_attempts if queue else 1
        if step.spec.long_running or task.failed < attempt_limit or job.closed:
            return []
        return self._close_job(job, JobState.FAILED, wall)

    def _process_running(
        self, host: Host, running: tuple[Running, ...], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for row in running:
            run = host.runs.get((row.task, row.run))
            if run is None:
                run, more = self._adopt_run(host, row, now)
                effects += more
            elif run.state in ("ordered", "withdrawn", "doubtful"):
                run.since = now
                run.move("list")
                self._mark_begun(host, run, now)
                if run.state == "running" and self._is_job_closed(run):
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

    def _is_job_closed(self, run: Run) -> bool:
        job = self.jobs.get(run.key[0].job)
        return job is None or job.closed

    def _adopt_run(
        self, host: Host, row: Running, now: float
    ) -> tuple[Run, list[Effect]]:
        """Add a listed run that this owner did not start; stop it if unwanted."""
        step = self.step(row.task)
        task = step.job.task(row.task) if step else None
        if step is not None and task is not None:
            run = step.make_run(task, row.run, host.token, now)
        else:
            # The needs of an unknown run are not known: assume the whole host.
            key = (row.task.job, row.task.occurrence, row.task.step)
            host_capacity = host.entry.capacity
            run = Run((row.task, row.run), host_capacity, host.token, now, key)
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

    def _end_absent_runs(
        self, host: Host, report: HostReport, token: int, sent_at: float, now: float
    ) -> list[Effect]:
        listed = {(row.task, row.run) for row in report.running}
        effects: list[Effect] = []
        for key, run in list(host.runs.items()):
            if key in listed:
                continue
            is_missing = run.state in ("running", "stopping") and run.since < sent_at
            is_voided = run.state == "doubtful" and run.token < token
            if is_missing or is_voided:
                run.move("absent")
                effects += self._end_run(host, run, "absent", now)
        return effects
