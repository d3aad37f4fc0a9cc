"""Table of a pool's hosts and of the runs that occupy capacity on them.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from siskinroad.resources import Resources
from siskinroad.work.account_use import AccountUse
from siskinroad.work.claim_knowledge import ClaimKnowledge
from siskinroad.work.crash_record import TRIAL_S
from siskinroad.work.crash_tracker import CrashTracker
from siskinroad.work.effects import Effect, ReconcileHost, StopRun
from siskinroad.work.failing_hosts import FailingHosts
from siskinroad.work.former_runs import FormerRuns
from siskinroad.work.host import Host, Run, RunIndex
from siskinroad.work.job import Job, JobState, PresumedEnd, StepRun, Task
from siskinroad.work.job_table import JobTable
from siskinroad.work.model import Configuration, HostEntry, TaskId
from siskinroad.work.unsettled_use import UnsettledUse
from siskinroad.work.witness_counts import count_tolerated_hosts

__all__ = ["RunTable", "format_task_position"]

# Number of host tokens reserved for each term. A term that raised a token more often
# would reach the tokens of the next term, and hosts could no longer fence it.
TOKENS_PER_TERM = 1 << 20
# Largest number of run numbers that an owner may have used for one task without storing
# them. They are skipped after a takeover, for each former owner, as several may have
# died one after the other: no run number is used twice.
MAX_UNSTORED_RUNS = 8
# Number of newest presumed ends that are remembered of a task: starts may be rejected
# any number of times.
MAX_PRESUMED_ENDS = 8
# Largest fraction of the hosts in quarantine at once, for any reason. If more of them
# look bad, the cause is probably one that they share, and the others would be overrun.
MAX_QUARANTINED_FRACTION = 0.5
# Largest number of hosts that a log line names.
MAX_LOGGED_HOSTS = 4

log = logging.getLogger("siskinroad.pool_state")


@dataclass(slots=True, frozen=True)
class _Replacement:
    """A host whose former address served another one at a loop time."""

    address: str
    at: float


class RunTable(JobTable):
    """Table of the hosts of one pool and their runs, on top of its jobs.

    Parameters
    ----------
    term : int
        The owner's term; the hosts' tokens are derived from it.

    Attributes
    ----------
    run_index : RunIndex
        Runs of all hosts by job.
    former_owner_hosts : set of str
        Hosts on which a former owner may have started work.
    list_read_at : float
        Loop time at which the newest read of the live list was sent; infinite where
        the list is never old.
    former_leases_end_at : float
        Loop time by which every lease that a former owner granted has expired.
    former_runs : FormerRuns or None
        The runs that the former owner has told of; None if it has not.
    claims : ClaimKnowledge
        What is known of later claims on the pool.
    loop_delay_s : float
        Largest recent delay of the owner's event loop in seconds, for the logs: a
        late owner finds hosts silent that have replied in time.
    observe_presumed_end, observe_late_end : callable
        Receive the reason of each end that no host has listed, and the kind of each
        end that a host lists after that.
    observe_copy, observe_stop : callable
        Receive the reason of each speculative copy that is allowed, and of each stop of
        a run.
    crash_tracker : CrashTracker
        Tracker of the hosts that crash, and of the tasks that may be the cause.
    account_use : AccountUse or None
        What the client accounts hold; None if the deployment has none.
    failing_hosts : FailingHosts
        Recognition of hosts that fail nearly all that they start.
    """

    def __init__(self, pool: str, term: int) -> None:
        super().__init__(pool, term)
        self.hosts: dict[str, Host] = {}
        self.run_index = RunIndex()
        self._next_tokens: dict[str, int] = {}
        self.former_owner_hosts: set[str] = set()
        self.list_read_at = math.inf
        self._replaced: dict[str, _Replacement] = {}
        # First reports of the hosts that were removed before the tasks were settled.
        self._reported_at: dict[str, float] = {}
        self.former_leases_end_at = 0.0
        self.former_runs: FormerRuns | None = None
        self.claims = ClaimKnowledge()
        self.loop_delay_s = 0.0
        self.observe_presumed_end: Callable[[str], None] = lambda reason: None
        self.observe_late_end: Callable[[str], None] = lambda end_kind: None
        self.observe_copy: Callable[[str], None] = lambda reason: None
        self.observe_stop: Callable[[str], None] = lambda reason: None
        self.crash_tracker = CrashTracker(self.hosts, self.step, self.dirty.add)
        self.account_use: AccountUse | None = None
        self._unsettled_use = UnsettledUse()
        self._settled_gangs: list[StepRun] = []
        self.failing_hosts = FailingHosts()

    # Client accounts

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; count by account once it has client accounts."""
        super().configure(configuration)
        if configuration.accounts is None:
            self.account_use = self.run_index.account_use = None
            return
        if self.account_use is None:
            self.account_use = self.run_index.account_use = AccountUse()
            self.account_use.find_unsettled = lambda: self._unsettled_use.by_account
            for runs in self.run_index.by_job.values():
                for _, run in runs.values():
                    self.account_use.add(run.account, run.account_need)
        self.account_use.set_accounts(configuration.accounts)

    def rank_account(self, account: str, now: float) -> float:
        """Return an account's rank by its share of the pool; the lowest goes first."""
        use = self.account_use
        return use.rank(account, now) if use is not None else 0.0

    def update_account_use(self, now: float, wall: float) -> None:
        """Bring up to date what accounts hold; call before a planning pass."""
        use = self.account_use
        if use is None:
            return
        use.advance(now)
        capacities = [host.entry.capacity for host in self.hosts.values()]
        use.set_total(
            Resources(
                sum(c.cpu_milli for c in capacities),
                sum(c.memory_mib for c in capacities),
                sum(c.accelerators for c in capacities),
            ),
            now,
        )
        if self.is_settled:
            self._unsettled_use.clear()
            return
        silent_hosts = len(self.list_unsettled_hosts())
        self._unsettled_use.update(
            self.jobs.values(), self.additions, silent_hosts, capacities, now, wall
        )

    # Stopping runs

    def cancel(self, job_id: str, now: float, wall: float) -> list[Effect]:
        """Cancel a job: abandon its waiting tasks and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.is_closed:
            return []
        return self._close_job(job, JobState.CANCELLED, wall)

    def _close_job(self, job: Job, outcome: str, wall: float) -> list[Effect]:
        self._set_outcome(job, outcome, wall)
        for step in job.steps.values():
            for task in step.tasks:
                if task.allows("abandon"):
                    task.move("abandon")
        return self._stop_runs(job.id, f"job {outcome}")

    def give_up_crashing_tasks(self, wall: float) -> list[Effect]:
        """Fail the jobs of tasks that have crashed their hosts."""
        effects: list[Effect] = []
        for step, task in self.crash_tracker.causes:
            if step.job.is_closed or task.state == "done":
                continue
            log.warning(
                "pool_state: task given up, as hosts crashed under it",
                extra={
                    "request": step.job.id,
                    "task": format_task_position(task.id),
                    "hosts": [note.host for note in task.crashes.notes],
                    "runs": task.run,
                },
            )
            effects += self._close_job(step.job, JobState.FAILED, wall)
        self.crash_tracker.causes.clear()
        return effects

    def _stop_runs(self, job_id: str, reason: str) -> list[Effect]:
        effects: list[Effect] = []
        for host, run in self.run_index.find_runs(job_id):
            effects += self.stop(host, run, reason)
        return effects

    def stop(self, host: Host, run: Run, reason: str) -> list[Effect]:
        """Stop a run; its capacity stays occupied until the host lists its end."""
        if run.state in ("stopping", "withdrawn"):
            return []
        run.move("stop")
        self.observe_stop(reason)
        return [StopRun(host.name, run, reason)]

    def allow_copy(self, host: Host, run: Run, reason: str, now: float) -> bool:
        """Allow a speculative copy of a task while its run continues.

        Return False if the step allows no copies or the task already has one.
        """
        step = self.step(run.key[0])
        task = self.task(run.key[0])
        if step is None or task is None or not step.spec.copies or task.older_run_host:
            return False
        if task.run != run.key[1] or not task.allows("free"):
            return False
        if task.crashes.notes:
            # A copy would crash a further host before the first crash is known.
            return False
        if host.is_failing and host.run_age_at_loss(run, now) <= TRIAL_S:
            task.crashes.suspect(now, is_on_trial=False)
        task.older_run_host = host.name
        task.move_to_waiting("free", now)
        self.observe_copy(reason)
        log.info(
            "pool_state: task may be placed again as a speculative copy",
            extra={
                "request": task.id.job,
                "task": format_task_position(task.id),
                "run": run.key[1],
                "host": host.name,
                "why": reason,
                "progress": run.progress,
                "report_age_s": round(now - host.reported_at, 2),
            },
        )
        return True

    def _stop_copies(self, task: Task) -> list[Effect]:
        """Stop the remaining runs of a task that is done."""
        effects: list[Effect] = []
        for host, run in self.run_index.find_runs(task.id.job):
            if run.key[0] == task.id:
                effects += self.stop(host, run, "another copy has finished")
        return effects

    # Hosts

    def note_unclaimed(self, at: float) -> None:
        """Note that no other daemon had claimed the pool at a loop time."""
        self.claims.note_unclaimed(at)
        for host in self.hosts.values():
            self._confirm_incarnation(host)

    def _confirm_incarnation(self, host: Host) -> None:
        """Confirm that no successor knew a host's incarnation before this owner."""
        if host.is_unconfirmed:
            host.is_unconfirmed = not self.claims.was_sole_owner(host.first_reported_at)

    def _is_loss_certain(self, host: Host, now: float) -> bool:
        """Return whether the runs of a host's former incarnation ended with it.

        Before a restart, a successor may have acknowledged ends that this owner has not
        seen: the runs are over, but their tasks may be done.
        """
        if self.claims.was_sole_owner(host.lost_at or now):
            return True
        if not host.lost_at:
            host.lost_at = now
            log.info(
                "pool_state: another incarnation answers for a host; its runs are "
                "ended once the claims are read",
                extra={
                    "host": host.name,
                    "runs": len(host.runs),
                    "term": self.term,
                    "claims_age_s": self.claims.age_s(now),
                },
            )
        return False

    def add_or_update_host(self, entry: HostEntry, now: float = 0.0) -> None:
        """Add or update a host from its entry in the live list."""
        self.crash_tracker.note_listed(entry, now)
        replacement = self._replaced.get(entry.name)
        if replacement is not None and replacement.address != entry.address:
            del self._replaced[entry.name]
        host = self.hosts.get(entry.name)
        if host is None:
            first_token = self.term * TOKENS_PER_TERM
            token = self._next_tokens.pop(entry.name, first_token)
            host = Host(entry, token, self.run_index)
            self.hosts[entry.name] = host
        if not entry.draining:
            host.earliest_leave_at = float("inf")
        elif host.earliest_leave_at == float("inf"):
            host.earliest_leave_at = now + entry.min_stay_s
            log.info(
                "pool_state: host is draining",
                extra={"host": entry.name, "stays_s": entry.min_stay_s},
            )
        host.entry = entry
        host.unlisted_at = 0.0

    def note_host_unlisted(self, name: str, now: float) -> None:
        """Note that a host has left the live list; its runs may continue."""
        host = self.hosts.get(name)
        if host is None or host.unlisted_at:
            return
        host.unlisted_at = now
        log.info(
            "pool_state: host is no longer in the live list",
            extra={"host": name, "silent_s": round(now - host.reported_at, 2)},
        )

    def set_former_owner_hosts(
        self, names: Iterable[str], lease_expires_at: float
    ) -> None:
        """Set the hosts that a former owner used, and when its leases have expired."""
        self.former_owner_hosts = set(names)
        for host in self.hosts.values():
            host.lease_expires_at = max(host.lease_expires_at, lease_expires_at)
        self.former_leases_end_at = lease_expires_at

    def note_former_leases_end(self, lease_expires_at: float) -> None:
        """Shorten the wait for silent hosts: the former owners' leases end sooner."""
        self.former_leases_end_at = min(self.former_leases_end_at, lease_expires_at)

    def settle_tasks(self, now: float) -> bool:
        """Settle the unsettled tasks once none of them can have an unknown run.

        This is so when every host of the former owner has replied under this term,
        or when every lease of the former owner has expired, and no successor of this
        owner acted before that. Return whether the tasks were settled by this call.
        """
        if self.is_settled:
            return False
        unsettled_hosts = self.list_unsettled_hosts()
        if unsettled_hosts and now < self.former_leases_end_at:
            return False
        if not self.claims.was_sole_owner(self._find_settled_at(bool(unsettled_hosts))):
            return False
        self.is_settled = True
        self._replaced.clear()
        self._reported_at.clear()
        count = 0
        for job in self.jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.state == "unsettled":
                        self._settle(task)
                        count += 1
                if step.spec.gang and step.waiting_count:
                    self._settled_gangs.append(step)
        log.info(
            "pool_state: runs of former owners are reconciled or lapsed; "
            "unsettled tasks may be placed",
            extra={
                "tasks": count,
                "silent_hosts": len(unsettled_hosts),
                "hosts": unsettled_hosts[:MAX_LOGGED_HOSTS],
                "term": self.term,
                "claims_age_s": self.claims.age_s(now),
            },
        )
        return True

    def _settle(self, task: Task) -> None:
        """Let a task be placed; skip the run numbers that may have been used."""
        first_run = MAX_UNSTORED_RUNS * (self.term - 1)
        task.run = max(task.run, first_run) + MAX_UNSTORED_RUNS
        task.move("settle")

    def settle_told_tasks(self, now: float) -> None:
        """Settle the tasks that have no unknown run by what the former owner has told.

        Others wait until all are settled.
        """
        told = self.former_runs
        if self.is_settled or told is None:
            return
        if not self.claims.was_sole_owner(told.told_at):
            return
        count = 0
        for job in self.jobs.values():
            for step in job.steps.values():
                for task in told.list_settled(step, self._is_host_certain):
                    self._settle(task)
                    count += 1
        if count:
            log.info(
                "pool_state: the former owner has told of its runs; "
                "tasks without an unknown one may be placed",
                extra={
                    "tasks": count,
                    "silent_hosts": len(self.list_unsettled_hosts()),
                    "told_s": round(now - told.told_at, 2),
                    "term": self.term,
                    "claims_age_s": self.claims.age_s(now),
                },
            )

    def _is_host_certain(self, name: str) -> bool:
        """Return whether a host is settled, and no successor was there by then."""
        host = self.hosts.get(name)
        reported_at = self._reported_at.get(name, -math.inf)
        if host is not None:
            reported_at = host.first_reported_at
        if not self.claims.was_sole_owner(reported_at):
            return False
        return self._is_host_settled(name)

    def stop_parts_of_gangs(self) -> list[Effect]:
        """Stop what runs of the gangs of which a member was settled without a run.

        The former owner had not started that member, or knew its end. The others wait
        for it, and the gang starts anew only once none of them runs.
        """
        effects: list[Effect] = []
        for step in self._settled_gangs:
            if not step.waiting_count:
                # It has been started as a whole since.
                continue
            for host, run in self.run_index.find_runs(step.job.id):
                if run.step == step.key:
                    effects += self.stop(host, run, "gang lost a member")
        self._settled_gangs.clear()
        return effects

    def list_unsettled_hosts(self) -> list[str]:
        """Return the sorted names of the former owner's hosts that are not settled."""
        return sorted(
            n for n in self.former_owner_hosts if not self._is_host_settled(n)
        )

    def list_answering_hosts(self) -> frozenset[str]:
        """Return the names of the hosts that have answered under this term."""
        return frozenset(
            name for name, host in self.hosts.items() if host.token_held_at >= 0
        )

    def find_tokens_held_at(self, names: Collection[str]) -> float:
        """Return until when certainly no successor had reached enough of these hosts.

        A host that was seen since as another incarnation may have forgotten a higher
        token; it counts only once no successor can have known it before. Minus infinity
        if too few of the hosts count.
        """
        tolerated = count_tolerated_hosts(len(names))
        times = sorted(map(self._find_token_held_at, names))
        return times[tolerated] if times else -math.inf

    def _find_token_held_at(self, name: str) -> float:
        host = self.hosts.get(name)
        if host is None or host.is_unconfirmed or host.token_held_at < 0:
            return -math.inf
        return host.token_held_at

    def _find_settled_at(self, has_silent_host: bool) -> float:
        """Return the loop time of the last event by which the tasks are settled."""
        if has_silent_host:
            return self.former_leases_end_at
        replied_at = [
            self.hosts[name].first_reported_at
            for name in self.former_owner_hosts
            if name in self.hosts
        ]
        replied_at += self._reported_at.values()
        return max(replied_at, default=-math.inf)

    def _is_host_settled(self, name: str) -> bool:
        host = self.hosts.get(name)
        if host is not None and host.is_settled:
            return True
        if host is None and name in self._reported_at:
            return True
        replacement = self._replaced.get(name)
        return replacement is not None and self.list_read_at >= replacement.at

    def raise_token(self, host: Host) -> Effect:
        """Raise a host's token, which voids every start still in flight to it."""
        host.token += 1
        return ReconcileHost(host.name)

    def replace_host(self, host: Host, now: float) -> list[Effect]:
        """End all runs of a host whose address now serves another incarnation."""
        effects: list[Effect] = []
        if not self._is_loss_certain(host, now):
            return effects
        runs = list(host.runs.values())
        self.crash_tracker.record_crash(host, runs, "host replaced", now)
        for run in runs:
            run.move("lapse")
            effects += self._end_run(host, run, "host replaced", now)
        self._remove_host(host)
        if not self.is_settled:
            # By an old list: the host may be at another address now.
            self._replaced[host.name] = _Replacement(host.entry.address, now)
        return effects

    def _remove_host(self, host: Host) -> None:
        """Remove a host without runs; a late report of it changes no index.

        A host that comes back keeps the tokens that it has seen, but may have restarted
        meanwhile, so that the advice about it is void.
        """
        self.hosts.pop(host.name, None)
        self.forget_advice(host.name)
        self._next_tokens[host.name] = host.token + 1
        self.health.remove_host(host.name)
        self.failing_hosts.remove_host(host.name)
        self.speed_estimates.host_speeds.remove_host(host.name)
        host.index = RunIndex()

    def expire_silent_hosts(self, now: float) -> list[Effect]:
        """End the runs of hosts whose leases have expired; remove unlisted hosts.

        A successor may have renewed the leases of a host that this owner does not
        reach, so runs end only once no later claim was read since they expired.
        """
        effects: list[Effect] = []
        for host in list(self.hosts.values()):
            if not host.is_lease_over(now) or now < self._former_lease_end(host):
                continue
            leases_end_at = max(host.lease_expires_at, self._former_lease_end(host))
            if host.runs and not self.claims.was_sole_owner(leases_end_at):
                continue
            if host.runs:
                log.warning(
                    "pool_state: leases of a silent host have expired; "
                    "its runs are ended",
                    extra={
                        "host": host.name,
                        "runs": len(host.runs),
                        "silent_s": round(now - host.reported_at, 2),
                        "expired_s": round(now - host.lease_expires_at, 2),
                        "term": self.term,
                        "claims_age_s": self.claims.age_s(now),
                        "loop_delay_s": round(self.loop_delay_s, 3),
                    },
                )
            self.crash_tracker.record_lapse(host, now)
            for run in list(host.runs.values()):
                run.move("lapse")
                effects += self._end_run(host, run, "lapsed", now)
            if host.unlisted_at:
                self._remember_report(host)
                self._remove_host(host)
        return effects

    def _remember_report(self, host: Host) -> None:
        """Remember that a host has answered, until the tasks are settled."""
        is_awaited = not self.is_settled and host.name in self.former_owner_hosts
        if is_awaited and host.is_settled:
            self._reported_at[host.name] = host.first_reported_at

    def _former_lease_end(self, host: Host) -> float:
        return 0.0 if host.is_settled else self.former_leases_end_at

    # Quarantine

    def quarantine_host(
        self,
        host: Host,
        seconds: float,
        reason: str,
        now: float,
        max_fraction: float = MAX_QUARANTINED_FRACTION,
    ) -> bool:
        """Give a host no new work for some seconds from now.

        Parameters
        ----------
        max_fraction : float
            Fraction of the hosts in quarantine up to which this one may be added.

        Returns
        -------
        bool
            False if too many others are in quarantine.
        """
        others = sum(
            1 for h in self.hosts.values() if h.is_quarantined and h is not host
        )
        if not host.is_quarantined:
            if others + 1 > max_fraction * len(self.hosts):
                return False
            log.warning(
                "pool_state: host quarantined; it gets no new work",
                extra={
                    "host": host.name,
                    "why": reason,
                    "quarantine_s": seconds,
                    "others": others,
                    "hosts": len(self.hosts),
                    "report_age_s": round(now - host.reported_at, 2),
                },
            )
            host.quarantine_evidence_at = now
        host.is_quarantined = True
        host.quarantined_until = max(host.quarantined_until, now + seconds)
        return True

    def end_quarantine(self, host: Host) -> None:
        """Let a host get new work again, and forget how tasks ended there."""
        host.is_quarantined = False
        self.health.remove_host(host.name)
        self.failing_hosts.remove_host(host.name)
        log.info(
            "pool_state: host leaves quarantine and may get new work",
            extra={"host": host.name},
        )

    # Starts and ends of runs

    def _mark_begun(self, host: Host, run: Run, now: float) -> None:
        if not run.begun_at:
            run.begun_at = now
        self._note_begun(run.key[0])

    def _note_begun(self, key: TaskId) -> None:
        """Note that a host has begun a run of a task, which may be unknown here."""
        job, task = self.jobs.get(key.job), self.task(key)
        if job is not None:
            job.has_started = True
        if task is not None:
            task.was_ordered = task.has_begun = True

    def _remove_run(self, host: Host, run: Run) -> None:
        host.remove_run(run)
        step = self.step(run.key[0])
        if step is not None and step.runs_by_host.get(host.name):
            step.runs_by_host[host.name] -= 1
        task = self.task(run.key[0])
        if task is not None and task.older_run_host == host.name:
            task.older_run_host = ""

    def _end_run(self, host: Host, run: Run, reason: str, now: float) -> list[Effect]:
        """End a run whose end no host has listed; its task may be placed again."""
        self._remove_run(host, run)
        task = self.task(run.key[0])
        if task is None or task.run != run.key[1]:
            return []
        if task.allows("free"):
            task.move_to_waiting("free", now)
        if len(task.presumed_ends) >= MAX_PRESUMED_ENDS:
            del task.presumed_ends[next(iter(task.presumed_ends))]
        task.presumed_ends[run.key[1]] = PresumedEnd(reason, now)
        self.observe_presumed_end(reason)
        log.info(
            "pool_state: run ended without a listed end",
            extra={
                "request": run.key[0].job,
                "task": format_task_position(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "why": reason,
                "report_age_s": round(now - host.reported_at, 2),
                "lease_left_s": round(host.lease_expires_at - now, 2),
                "term": self.term,
                "claims_age_s": self.claims.age_s(now),
                "loop_delay_s": round(self.loop_delay_s, 3),
            },
        )
        return self._stop_gang(task, run.key[1])

    def _stop_gang(self, task: Task, run: int) -> list[Effect]:
        """Stop the other members of a gang after one of its runs was lost."""
        step = self.step(task.id)
        if step is None or not step.spec.gang:
            return []
        effects: list[Effect] = []
        for host, other in self.run_index.find_runs(task.id.job):
            if other.step == step.key and other.key[1] == run:
                effects += self.stop(host, other, "gang lost a member")
        return effects


def format_task_position(key: TaskId) -> str:
    """Return a task's position in its job as ``occurrence.step.index``, for logs."""
    return f"{key.occurrence}.{key.step}.{key.index}"
