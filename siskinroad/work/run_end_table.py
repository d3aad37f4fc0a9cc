"""Table of a pool's runs on whose ends its tasks and jobs go on, fail or are complete.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import logging

from siskinroad.work.effects import Effect
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import EndKind, RunEnd
from siskinroad.work.job import JobState, StepRun, Task
from siskinroad.work.run_table import RunTable, format_task_position

__all__ = ["FAILING_QUARANTINE_S", "RunEndTable"]

# Seconds in quarantine of a host whose runs fail.
FAILING_QUARANTINE_S = 6.0

log = logging.getLogger("siskinroad.pool_state")


class RunEndTable(RunTable):
    """Table of a pool's hosts and runs that applies the ends which hosts list."""

    def _process_ends(
        self, host: Host, ended: tuple[RunEnd, ...], now: float, wall: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for end in ended:
            if end.number <= host.last_end_seen:
                continue
            host.last_end_seen = end.number
            effects += self._process_end(host, end, now, wall)
        return effects

    def _process_end(
        self, host: Host, end: RunEnd, now: float, wall: float
    ) -> list[Effect]:
        run = host.runs.get((end.task, end.run))
        step = self.step(end.task)
        if run is not None:
            run.move("end")
            self._remove_run(host, run)
            if (
                end.end_kind is EndKind.DONE
                and run.begun_at
                and not run.progress_at_begin
            ):
                self.speed_estimates.record_end(
                    host, run, now, is_of_host=_tells_host_speed(host, step)
                )
        task = step.job.task(end.task) if step else None
        if step is None or task is None:
            return []
        task.was_ordered = True
        if end.end_kind is not EndKind.STOPPED:
            # A stop may come before the run has begun.
            self._note_begun(end.task)
        log.info(
            "pool_state: run ended",
            extra={
                "request": end.task.job,
                "task": format_task_position(end.task),
                "run": end.run,
                "host": host.name,
                "how": end.end_kind.value,
                "run_s": round(now - run.begun_at, 2) if run and run.begun_at else None,
                "declared_s": run.declared_s if run else None,
                "slowdown": self.speed_estimates.host_speeds.slowdown(host.name),
            },
        )
        if end.run in task.presumed_ends:
            self._log_late_end(host, end, task, now)
        if end.checkpoint and end.run >= task.run:
            step.note_checkpoint(task, end.checkpoint)
        if self._completes_task(end):
            effects = self._stop_other_runs(step, task, end.run)
            task.run = max(task.run, end.run)
            return effects + self._complete_task(host, step, task, now, wall)
        # A former owner may have used a higher number than the run that is live now.
        is_newest = end.run >= task.run and self._find_newest_run(task) is None
        if is_newest:
            task.run = end.run
        if task.state == "unsettled":
            self.dirty.add(task.id.job)
        return self._handle_unsuccessful_end(
            host, step, task, end, is_newest, now, wall
        )

    def _completes_task(self, end: RunEnd) -> bool:
        """Return whether an end completes its task.

        A task that lasts is started again however its run ends.
        """
        step = self.step(end.task)
        lasts = step is not None and step.spec.long_running
        return end.end_kind is EndKind.DONE and not lasts

    def _find_newest_run(self, task: Task) -> tuple[Host, Run] | None:
        """Return the newest run of a task and its host, unless the run is over."""
        host = self.hosts.get(task.host)
        run = host.runs.get((task.id, task.run)) if host is not None else None
        return (host, run) if host is not None and run is not None else None

    def _stop_other_runs(
        self, step: StepRun, task: Task, ended_run: int
    ) -> list[Effect]:
        """Stop the newest run of a task of which another run has succeeded.

        A gang has succeeded as a whole, so the newest runs of all its members are.
        """
        effects: list[Effect] = []
        for each in step.tasks if step.spec.gang else [task]:
            newest = self._find_newest_run(each)
            if newest is not None and each.run != ended_run:
                effects += self.stop(*newest, "another run has finished")
        return effects

    def _log_late_end(self, host: Host, end: RunEnd, task: Task, now: float) -> None:
        """Log an end of a run that was ended before its host listed this end."""
        presumed = task.presumed_ends.pop(end.run)
        self.observe_late_end(end.end_kind.value)
        log.warning(
            "pool_state: host lists the end of a run that was ended without one",
            extra={
                "request": end.task.job,
                "task": format_task_position(end.task),
                "run": end.run,
                "host": host.name,
                "how": end.end_kind.value,
                "presumed": presumed.reason,
                "presumed_s": round(now - presumed.at, 2),
                "newest_run": task.run,
                "task_state": task.state,
                "loop_delay_s": round(self.loop_delay_s, 3),
            },
        )

    def _complete_task(
        self, host: Host, step: StepRun, task: Task, now: float, wall: float
    ) -> list[Effect]:
        job = step.job
        if job.is_closed:
            if task.allows("done"):
                task.move("done")
            return []
        # A gang succeeds as a whole: the end of one member counts for all.
        tasks = step.tasks if step.spec.gang else [task]
        for each in tasks:
            if each.state != "done":
                each.run = max(each.run, task.run)
                each.move("done")
        self.dirty.add(job.id)
        self.health.observe(host.name, job.id, True, now, len(self.hosts))
        self.failing_hosts.record_success(host.name, job.queue, now)
        self._close_step_if_done(step, now)
        self._complete_job_if_done(job, wall)
        return self._stop_copies(task) if step.spec.copies else []

    def _handle_unsuccessful_end(
        self,
        host: Host,
        step: StepRun,
        task: Task,
        end: RunEnd,
        is_newest: bool,
        now: float,
        wall: float,
    ) -> list[Effect]:
        if task.state == "done":
            return []
        if is_newest and task.allows("free"):
            task.move_to_waiting("free", now)
        effects: list[Effect] = []
        if end.end_kind is EndKind.FAILED and end.run not in task.failures:
            effects += self._record_failure(host, step, task, end.run, now, wall)
        return effects + self._stop_gang(task, end.run)

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
        task.avoided_hosts[host.name] = now
        if host.is_quarantined:
            host.quarantine_evidence_at = now
        self.dirty.add(job.id)
        verdict = self.health.observe(host.name, job.id, False, now, len(self.hosts))
        is_failing = self.failing_hosts.record_failure(
            host.name, job.queue, job.id, now
        )
        is_failing |= _is_on_probation(host, tasks, run)
        if is_failing or (verdict is not None and verdict.event == "eject"):
            self._quarantine_failing_host(host, now)
        queue = self.queues.get(job.queue)
        attempt_limit = queue.max_attempts if queue else 1
        if (
            step.spec.long_running
            or task.failure_count < attempt_limit
            or job.is_closed
        ):
            return []
        return self._close_job(job, JobState.FAILED, wall)

    def _quarantine_failing_host(self, host: Host, now: float) -> None:
        reason = "too many of its runs failed"
        if self.quarantine_host(host, FAILING_QUARANTINE_S, reason, now):
            host.needs_probation = True
            return
        # Further failures there are counted anew.
        self.health.remove_host(host.name)
        log.warning(
            "pool_state: host not quarantined, as too many others are",
            extra={"host": host.name, "why": reason, "hosts": len(self.hosts)},
        )


def _is_on_probation(host: Host, tasks: list[Task], run: int) -> bool:
    """Return whether a run of one of the tasks is the first after a quarantine.

    A gang fails as a whole, whichever of its members began the probation.
    """
    return any(host.probation_run == (each.id, run) for each in tasks)


def _tells_host_speed(host: Host, step: StepRun | None) -> bool:
    """Return whether the time of a step's run depends on no other host and no link.

    The members of a gang wait for each other, and a task away from its data for these.
    """
    if step is None or step.spec.gang:
        return False
    return not step.spec.data_rack or step.spec.data_rack == host.entry.rack
