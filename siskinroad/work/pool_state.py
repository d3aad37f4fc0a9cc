"""State of a pool as its owner sees it: methods take events and return effects.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.

Why a task never runs twice:

1. A run is started only for a task in state ``waiting``. The task is then ``placed``
   until the run is over. A task has one run at a time, unless its step allows
   speculative copies; then an older run may continue beside the newest one.
2. A run is over when its host lists its end, when the host rejected its start, when
   a report requested after the reply to its start does not list it, or when every
   lease that the host may hold has expired and it does not reply to a further call.
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
from siskinroad.work.hosts import HostReport, Rejection, RunStatus
from siskinroad.work.run_end_table import RunEndTable
from siskinroad.work.run_table import MAX_UNSTORED_RUNS, format_task_position

__all__ = ["PoolState"]

# Number of rejected starts of a task after which its run number is stored, so that the
# next owner skips every number that may have been used by then.
STORED_RUN_INTERVAL = MAX_UNSTORED_RUNS // 2
# Rejections of a start that contradict the newest report of its host: the next planning
# pass would choose the same host for the same reasons.
CONTRADICTING_REJECTIONS = frozenset(
    (Rejection.NO_CAPACITY, Rejection.LEASE_EXPIRED, Rejection.INVALID)
)
log = logging.getLogger("siskinroad.pool_state")


class PoolState(RunEndTable):
    """Jobs, tasks, hosts and runs of one pool, updated from the hosts' reports."""

    def apply_start_reply(
        self,
        host: Host,
        run: Run,
        rejection: Rejection | None,
        now: float,
        *,
        ticket: str | None = None,
    ) -> list[Effect]:
        """Apply a host's reply to a start.

        Parameters
        ----------
        ticket : str, optional
            Ticket that the start carried; by default the newest one for the host.
        """
        if host.runs.get(run.key) is not run or run.state == "over":
            return []
        if rejection is None:
            run.commanded_at = now
            run.move("accept")
            self._mark_begun(host, run, now)
            step = self.step(run.key[0])
            if step is not None:
                step.advice.record_acceptance(host.name)
            return []
        if rejection is Rejection.TICKET:
            self._record_ticket_rejection(host, run, ticket, now)
        if not run.allows("reject"):
            return []
        run.move("reject")
        if run.key[1] % STORED_RUN_INTERVAL == 0:
            self.dirty.add(run.key[0].job)
        if rejection in CONTRADICTING_REJECTIONS:
            self._await_report(host, run, rejection, now)
        task = self.task(run.key[0])
        if rejection is Rejection.STALE_RUN and task is not None:
            # The next run number may be rejected there too.
            task.avoided_hosts[host.name] = now
        return self._end_run(host, run, rejection.value, now)

    def _await_report(
        self, host: Host, run: Run, rejection: Rejection, now: float
    ) -> None:
        """Give a host no new work until its next report."""
        host.start_rejected_at = now
        free = host.entry.capacity - host.used
        log.warning(
            "pool_state: host rejected a start that its newest report allowed; "
            "it gets no new work until its next report",
            extra={
                "request": run.key[0].job,
                "task": format_task_position(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "why": rejection.value,
                "report_age_s": round(now - host.reported_at, 2),
                "lease_left_s": round(host.lease_expires_at - now, 2),
                "free_cpu_milli": free.cpu_milli,
                "need_cpu_milli": run.need.cpu_milli,
                "runs": len(host.runs),
            },
        )

    def _record_ticket_rejection(
        self, host: Host, run: Run, ticket: str | None, now: float
    ) -> None:
        """End the step's advice about a host that has rejected a ticket."""
        step = self.step(run.key[0])
        if step is None:
            return
        rejection = step.advice.record_rejection(host.name, ticket, now)
        if rejection is None:
            return
        log.warning(
            "pool_state: host rejected a ticket; requesting advice about it again",
            extra={
                "request": run.key[0].job,
                "task": format_task_position(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "valid_left_s": round(rejection.valid_left_s, 2),
                "rejected_in_a_row": rejection.count,
                "ask_again_s": round(rejection.ask_again_at - now, 2),
                "tickets_left": len(step.tickets),
            },
        )

    def may_send_start(self, host: Host, run: Run) -> bool:
        """Return whether a start that is still unsent may be sent."""
        return host.runs.get(run.key) is run and run.state == "ordered"

    def drop_start(self, host: Host, run: Run, now: float) -> list[Effect]:
        """End a run whose start was withdrawn before it was sent."""
        if host.runs.get(run.key) is not run or not run.allows("drop"):
            return []
        run.move("drop")
        return self._end_run(host, run, "withdrawn", now)

    def note_start_not_sent(self, host: Host, run: Run, now: float) -> list[Effect]:
        """End a run whose start could not be sent from this daemon."""
        return self.apply_start_reply(host, run, Rejection.UNAVAILABLE, now)

    def note_start_without_reply(
        self, host: Host, run: Run, now: float
    ) -> list[Effect]:
        """Raise the host's token to void a start that may still be carried out."""
        if host.runs.get(run.key) is not run or not run.allows("miss"):
            return []
        run.move("miss")
        return [self.raise_token(host)]

    def apply_report(
        self,
        host: Host,
        report: HostReport,
        token: int,
        sent_at: float,
        now: float,
        wall: float,
        *,
        answered_by: float = float("inf"),
    ) -> list[Effect]:
        """Apply a host's report of its runs and ends.

        Reports on different connections may overtake each other. Of one that is older
        than the newest applied, only the ends count; one that may be of a former
        incarnation of the host is ignored. One that leaves out ends does not show that
        a run is absent.

        Parameters
        ----------
        token : int
            Token under which the report was requested.
        sent_at : float
            Loop time at which the request was sent.
        answered_by : float
            Loop time by which a reply was due; a later one has probably waited for
            this owner, and tells of the time when it was due.
        """
        effects: list[Effect] = []
        is_other = host.incarnation_ms not in (0, report.incarnation_ms)
        # Only the order of the calls tells a former incarnation: the calendar clock
        # that numbers them may have been set back. The next call shows which is up.
        if is_other and sent_at < host.reported_at:
            return effects
        self._open_listed_occurrences(report, now)
        if is_other and not self._is_loss_certain(host, now):
            host.record_failed_request(now)
            return effects
        is_overtaken = report.clock < host.clock or sent_at < host.lost_at
        if report.incarnation_ms == host.incarnation_ms and is_overtaken:
            # A newer report has overtaken this one, so what runs is known better.
            return self._process_ends(host, report.ended, now, wall)
        if is_other:
            effects += self._handle_restart(host, sent_at, now)
        self.crash_tracker.note_report(host, report.incarnation_ms, now)
        if report.incarnation_ms != host.incarnation_ms:
            host.first_reported_at, host.is_unconfirmed = now, True
            host.token_held_at = -1e9
        host.lost_at = 0.0
        host.incarnation_ms = report.incarnation_ms
        self._confirm_incarnation(host)
        host.clock, host.clock_read_at = report.clock, now
        host.replied_at = host.reported_at = now
        host.token_held_at = max(host.token_held_at, sent_at)
        if not host.is_settled and report.lists_all_ends:
            host.is_settled = True
            # A former owner may have renewed the lease just before this report.
            host.extend_lease_expiry(now)
            log.info(
                "pool_state: first report from host under this term",
                extra={
                    "host": host.name,
                    "token": token,
                    "incarnation_ms": report.incarnation_ms,
                    "running": len(report.running),
                    "ended": len(report.ended),
                },
            )
        effects += self._process_ends(host, report.ended, now, wall)
        made_at = min(now, answered_by)
        effects += self._process_running(host, report.running, made_at, now)
        if report.lists_all_ends:
            effects += self._end_absent_runs(host, report, token, sent_at, now)
        return effects

    def may_free_tasks(self, host: Host, report: HostReport, sent_at: float) -> bool:
        """Return whether tasks may start again by a report of the host.

        So it is if runs have ended without success, or are neither listed nor ended.
        """
        present = {(status.task, status.run) for status in report.running}
        for end in report.ended:
            if end.number > host.last_end_seen and not self._completes_task(end):
                return True
            present.add((end.task, end.run))
        return any(
            run.state in ("running", "stopping") and run.commanded_at < sent_at
            for key, run in host.runs.items()
            if key not in present
        )

    def _open_listed_occurrences(self, report: HostReport, now: float) -> None:
        """Open the occurrences of which a host lists runs or ends.

        A former owner has opened them as they were due. Until this owner has, it would
        not know the tasks, and would acknowledge their ends without applying them.
        """
        listed = [end.task for end in report.ended]
        listed += [status.task for status in report.running]
        for task in listed:
            if task.job in self.scheduled_jobs:
                self.open_occurrences(self.jobs[task.job], task.occurrence, now)

    def _handle_restart(self, host: Host, sent_at: float, now: float) -> list[Effect]:
        """End the runs that a former incarnation of a host has accepted.

        Starts without a reply may still arrive, and one that was accepted since the
        call which shows the restart may be of the present incarnation.
        """
        tickets = self.forget_advice(host.name)
        log.warning(
            "pool_state: host restarted; runs of its former incarnation are ended",
            extra={
                "host": host.name,
                "void_tickets": tickets,
                "term": self.term,
                "claims_age_s": self.claims.age_s(now),
            },
        )
        effects: list[Effect] = []
        lost = [
            run
            for run in host.runs.values()
            if run.state in ("running", "stopping") and run.commanded_at < sent_at
        ]
        self.crash_tracker.record_crash(host, lost, "host restarted", now)
        for run in lost:
            run.move("lapse")
            effects += self._end_run(host, run, "host restarted", now)
        host.last_end_seen = host.last_end_stored = 0
        effects.append(self.raise_token(host))
        return effects

    def _process_running(
        self, host: Host, running: tuple[RunStatus, ...], made_at: float, now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for status in running:
            run = host.runs.get((status.task, status.run))
            if run is None:
                run, adopt_effects = self._adopt_run(host, status, now)
                effects += adopt_effects
            elif run.state in ("ordered", "withdrawn", "doubtful"):
                run.commanded_at = now
                run.move("list")
                self._mark_begun(host, run, now)
                if run.state == "running" and self._is_job_closed(run):
                    effects += self.stop(host, run, "job is closed")
            if run.progress != status.progress or not run.progress_changed_at:
                run.progress = status.progress
                run.progress_changed_at = made_at
            run.reported_at = max(run.reported_at, made_at)
            run.usage = status.usage
            step = self.step(status.task)
            task = step.job.task(status.task) if step is not None else None
            if step is None or task is None or status.run != task.run:
                continue
            self.crash_tracker.note_survival(task, run, made_at)
            if status.checkpoint:
                step.note_checkpoint(task, status.checkpoint)
        return effects

    def _is_job_closed(self, run: Run) -> bool:
        job = self.jobs.get(run.key[0].job)
        return job is None or job.is_closed

    def _adopt_run(
        self, host: Host, status: RunStatus, now: float
    ) -> tuple[Run, list[Effect]]:
        """Add a listed run that this owner did not start; stop it if unwanted."""
        step = self.step(status.task)
        task = step.job.task(status.task) if step else None
        if step is not None and task is not None:
            run = step.make_run(task, status.run, host.token, now)
        else:
            # The needs of an unknown run are not known: assume the whole host.
            key = (status.task.job, status.task.occurrence, status.task.step)
            host_capacity = host.entry.capacity
            run = Run((status.task, status.run), host_capacity, host.token, now, key)
        run.move("list")
        run.progress = run.progress_at_begin = status.progress
        run.progress_changed_at = now
        run.begun_at = now
        host.add_run(run)
        is_wanted = (
            step is not None
            and task is not None
            and not step.job.is_closed
            and task.state in ("unsettled", "waiting")
            and status.run >= task.run
        )
        if step is not None:
            step.runs_by_host[host.name] = step.runs_by_host.get(host.name, 0) + 1
        self._mark_begun(host, run, now)
        if not is_wanted or step is None or task is None:
            run.is_unwanted = True
            return run, self.stop(host, run, "not wanted")
        task.run = status.run
        task.host = host.name
        task.move("adopt")
        if step.spec.gang and step.waiting_count:
            # Another member has no run, and the gang starts only as a whole.
            return run, self.stop(host, run, "gang lost a member")
        return run, []

    def _end_absent_runs(
        self, host: Host, report: HostReport, token: int, sent_at: float, now: float
    ) -> list[Effect]:
        listed = {(status.task, status.run) for status in report.running}
        effects: list[Effect] = []
        for key, run in list(host.runs.items()):
            if key in listed:
                continue
            is_missing = (
                run.state in ("running", "stopping") and run.commanded_at < sent_at
            )
            is_voided = run.state == "doubtful" and run.token < token
            if is_missing or is_voided:
                run.move("absent")
                effects += self._end_run(host, run, "absent", now)
        return effects
