"""The owner of a pool: executes the decisions of its pool state and planner."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.account_exchange import AccountExchange
from siskinroad.work.admission import LoadRefusal
from siskinroad.work.admission_gate import AdmissionGate
from siskinroad.work.claim import InheritedState, release_pool
from siskinroad.work.claim_announcement import ClaimAnnouncement
from siskinroad.work.claim_confirmer import ClaimConfirmer
from siskinroad.work.claim_knowledge import LEASE_LIMIT_S
from siskinroad.work.effects import (
    Effect,
    ReconcileHost,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
)
from siskinroad.work.follower import Follower
from siskinroad.work.former_owners import FormerOwners
from siskinroad.work.former_runs import find_former_runs
from siskinroad.work.host import LEASE_S, max_lease_s
from siskinroad.work.host_commands import HostCommands
from siskinroad.work.inherited_jobs import (
    load_jobs,
    log_unknown_queues,
    note_late_job,
)
from siskinroad.work.job_forgetter import JobForgetter
from siskinroad.work.known_runs import list_known_runs
from siskinroad.work.lease_extender import LeaseExtender
from siskinroad.work.lease_renewer import LeaseRenewer
from siskinroad.work.model import Configuration, HostEntry, Queue
from siskinroad.work.planner import Planner
from siskinroad.work.planning_pass import PlanningPass
from siskinroad.work.planning_report import PlanningReport
from siskinroad.work.progress import OwnershipLostError, ProgressLog
from siskinroad.work.queue_closer import QueueCloser
from siskinroad.work.records import (
    OWNER_KEY,
    Accepted,
    Cancelled,
    QueueClosing,
    decode_stored,
    job_topic,
    record_of,
)
from siskinroad.work.run_monitor import RunMonitor
from siskinroad.work.store import NewestRecord, StoreUnknownError
from siskinroad.work.takeover_report import TakeoverReport, log_term_started
from siskinroad.work.term import OWNERSHIP_TIMEOUT_S, OwnerDependencies, Term
from siskinroad.work.witnesses import WitnessChooser

__all__ = ["OwnershipLostError", "PoolOwner"]

# Seconds between two checks of the claim, silent hosts, due occurrences and runs.
TICK_INTERVAL = 0.2
# Seconds between two checks that every listed host is known. A host that replied as
# another incarnation was removed, and gets a call each time while it stays listed.
RELIST_INTERVAL = 1.0
# Seconds for which events are collected before the next planning pass.
PLAN_DELAY = 0.004
# Multiple of the time that a planning pass took for which the next one waits, so that a
# long backlog leaves the renewal of leases two thirds of the processor.
PLAN_REST_FACTOR = 2.0
# Seconds before its due time at which an occurrence may already start.
EARLY_START_TIME = 0.05
# Seconds for which the store may hold a read of the claims open. What leases rest on is
# as old as two such reads.
CLAIMS_READ_WAIT = 0.4
# Age in seconds of the newest read of the claims up to which the witnesses may change.
# A read that the store has held open is younger, unless each call takes over 0.1 s.
WITNESS_CHANGE_AGE_S = 1.0
# Least seconds between two rereads of the claims while ownership is uncertain.
CLAIM_RECHECK_INTERVAL = 0.5
# Seconds for which a delay of the event loop is named in later log lines: as long as
# the leases that it may have cost.
DELAY_PERIOD_S = 5.0
# Seconds since the last confirmed read after which the owner no longer states that
# a job does not exist.
MAX_RECORD_AGE = 2.5
# Fractions of a cancel's time limit for reading the record of an unknown job, and for
# storing the cancellation if there is none.
RECORD_WAIT_FRACTION = 0.6
CANCEL_STORE_FRACTION = 0.35

log = logging.getLogger("siskinroad.owner")


class PoolOwner:
    """The owner of one pool for one term.

    Parameters
    ----------
    inherited : InheritedState
        The state that the claim found in the store.
    known_queues : dict of str to Queue
        Newest known settings of each queue, also of those that the configuration no
        longer has.
    """

    def __init__(
        self,
        pool: str,
        dependencies: OwnerDependencies,
        inherited: InheritedState,
        configuration: Configuration,
        known_queues: dict[str, Queue],
    ) -> None:
        self.pool = pool
        self.dependencies = dependencies
        self.term = Term(pool, inherited.term, dependencies)
        self.term.execute_effects = self._execute_effects
        self.term.on_ownership_uncertain = self.recheck_claims
        self.pool_state = self.term.pool_state
        self.pool_state.queues.update(known_queues)
        self.progress = ProgressLog(self.term, inherited.hosts)
        self.account_exchange = AccountExchange(
            self.term, self.progress, inherited.loans
        )
        self.pool_state.configure(configuration)
        self.account_exchange.configure()
        self.planner = Planner(self.pool_state)
        self.planner.room_maker.observe = lambda queue: (
            dependencies.metrics.stopped_for_urgent.labels(queue).inc()
        )
        self.admission_gate: AdmissionGate | None = None
        if dependencies.sheds_load:
            self.admission_gate = AdmissionGate(self.term, self.planner)
        self.planning_report = PlanningReport(
            self.term, asyncio.get_running_loop().time()
        )
        self.run_monitor = RunMonitor(self.pool_state, dependencies.timing)
        self.host_commands = HostCommands(self.term)
        self.lease_renewer = LeaseRenewer(self.term, self.progress)
        self.closings = inherited.closings
        self.job_keys = inherited.job_keys
        self.job_forgetter = JobForgetter(
            self.term,
            self.progress,
            dependencies.timing.status_retention_s,
            self.closings,
            self.job_keys,
        )
        self._rechecked_at = -1e9
        self._listed_hosts: dict[str, HostEntry] = {}
        self._relisted_at = -1e9
        self.former_owners = FormerOwners(
            pool, inherited, dependencies.has_later_incarnation
        )
        self._are_former_owners_stopped = False
        self.announcement: ClaimAnnouncement | None = None
        if dependencies.send_notices is not None:
            self.announcement = ClaimAnnouncement(
                dependencies.send_notices,
                dependencies.node,
                pool,
                inherited,
                lambda: self.former_owners.remaining,
                self.pool_state.list_answering_hosts,
            )
        self.progress.find_unreconciled = lambda: self.former_owners.remaining
        if dependencies.members is not None:
            self.witness_chooser = WitnessChooser(
                dependencies.members, self._were_claims_just_read
            )
            self.progress.choose_witnesses = lambda: self.witness_chooser.choose(
                asyncio.get_running_loop().time()
            )
        self._load_inherited(inherited)
        self.takeover_report = TakeoverReport(
            self.pool_state,
            self.former_owners,
            dependencies.metrics,
            asyncio.get_running_loop().time(),
        )
        self.follower = Follower(
            dependencies.store,
            job_topic(pool),
            self._apply_records,
            wait=CLAIMS_READ_WAIT,
        )
        self.follower.next_offset = inherited.next_offset
        self.queue_closer = QueueCloser(
            self.term, self.closings, self.follower, self.progress
        )
        # A later claim may have followed while the stored state was read.
        self.follower.confirmed_at = inherited.claimed_at
        self.pool_state.claims.unclaimed_at = inherited.claimed_at
        self.pool_state.list_read_at = dependencies.find_list_read_at()
        self.claim_confirmer = ClaimConfirmer(
            self.pool_state,
            self.follower,
            dependencies.confirm_unclaimed,
            self._on_claims_confirmed,
        )
        self.lease_extender = LeaseExtender(
            self.pool_state,
            self.follower,
            dependencies.ask_witnesses,
            self.progress,
        )

    def _load_inherited(self, inherited: InheritedState) -> None:
        loop = asyncio.get_running_loop()
        now, wall = loop.time(), self.dependencies.wall()
        pool_state = self.pool_state
        if inherited.former is None:
            pool_state.is_settled = True
        else:
            pool_state.is_settled = False
            names = inherited.hosts.names if inherited.hosts else ()
            pool_state.set_former_owner_hosts(
                names, now + OWNERSHIP_TIMEOUT_S + LEASE_S * 1.1
            )
            self._check_former_owners(now)
            pool_state.former_runs = find_former_runs(
                inherited.hosts, inherited.released_term, inherited.released_runs, now
            )
        load_jobs(pool_state, inherited, now, wall)
        self.job_forgetter.add_inherited(inherited)
        inherited.drop_jobs()
        if pool_state.account_use is not None:
            # What former owners may have started counts from the first pass on.
            pool_state.open_due(now, wall, EARLY_START_TIME)
        self.term.owned_until = inherited.claimed_at + OWNERSHIP_TIMEOUT_S
        log_term_started(pool_state, inherited, now)
        log_unknown_queues(pool_state)

    def _check_former_owners(self, now: float) -> None:
        """Shorten the wait for silent hosts once all former owners have stopped."""
        if self._are_former_owners_stopped or not self.former_owners.have_stopped():
            return
        self._are_former_owners_stopped = True
        leases_end_at = now + LEASE_S * 1.1
        self._shorten_wait(leases_end_at, "all former owners have stopped")

    def _shorten_wait(self, leases_end_at: float, why: str) -> None:
        """Note when all leases of former owners will have expired."""
        self.pool_state.note_former_leases_end(leases_end_at)
        if self.pool_state.is_settled:
            return
        self.former_owners.shortened_by = why
        remaining_s = leases_end_at - asyncio.get_running_loop().time()
        log.info(
            "owner: former owners' leases end soon",
            extra={
                "pool": self.pool,
                "term": self.term.number,
                "why": why,
                "leases_end_in_s": round(remaining_s, 2),
            },
        )

    async def _ask_former_owners(self) -> None:
        ask = self.dependencies.ask_stopped
        if ask is not None:
            await self.former_owners.ask_until_stopped(
                self.dependencies.store, ask, lambda: not self.pool_state.is_settled
            )

    async def _announce_claim(self) -> None:
        """Shorten the wait for silent hosts: former owners extend no more leases."""
        if self.announcement is None:
            return
        bound_at = await self.announcement.run(lambda: not self.pool_state.is_settled)
        if bound_at is not None:
            self.former_owners.note_bound()
            leases_end_at = bound_at + max_lease_s(LEASE_LIMIT_S)
            self._shorten_wait(leases_end_at, "no former owner extends its leases")

    def _were_claims_just_read(self) -> bool:
        """Return whether the store answers, so that a change can be stored."""
        age_s = asyncio.get_running_loop().time() - self.follower.confirmed_at
        return age_s <= WITNESS_CHANGE_AGE_S

    # Lifecycle

    async def run(self) -> None:
        """Own the pool until cancelled.

        Raises
        ------
        OwnershipLostError
            Another daemon has claimed the pool.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self.term.group = group
                group.create_task(self.follower.run())
                group.create_task(self.claim_confirmer.run())
                group.create_task(self._run_planning())
                group.create_task(self.progress.run())
                group.create_task(self._run_ticks())
                group.create_task(self.account_exchange.run())
                group.create_task(self._ask_former_owners())
                group.create_task(self._announce_claim())
                group.create_task(self.lease_extender.run())
                group.create_task(self.job_forgetter.run())
        except* OwnershipLostError as excs:
            raise excs.exceptions[0] from None
        finally:
            self.term.group = None
            self.planning_report.close()
            self.takeover_report.close()
            self.account_exchange.close()

    async def release(self) -> None:
        """Store the remaining progress, then release the pool; call after ``run``."""
        extra = {"pool": self.pool, "term": self.term.number}
        try:
            while self.progress.has_unstored_changes:
                await self.progress.flush()
        except SiskinroadError as exc:
            # The next owner may have fenced this term already.
            log.warning(
                "owner: last progress not stored; releasing the pool without it",
                extra={**extra, "error": str(exc)},
            )
        try:
            runs = list_known_runs(self.pool_state, self.progress)
            await release_pool(
                self.dependencies.store, self.pool, self.term.number, runs
            )
        except SiskinroadError as exc:
            log.warning(
                "owner: release of the pool not stored; "
                "the next owner waits longer for silent hosts",
                extra={**extra, "error": str(exc)},
            )

    def revoke_confirmation(self) -> None:
        """Stop acting until the claim is confirmed again, as after a suspension."""
        self._stop_acting()
        self.pool_state.claims.revoke()

    def _stop_acting(self) -> None:
        self.term.owned_until = -1e9
        self.follower.revoke_confirmation()

    def has_lapsed(self, now: float) -> bool:
        """Return whether this owner has not acted for want of a confirmed claim.

        A claim that is being read again, after a suspicion, has not lapsed.
        """
        known_at = max(self.pool_state.claims.unclaimed_at, self.follower.confirmed_at)
        is_old = now > known_at + OWNERSHIP_TIMEOUT_S
        return is_old and not self.term.is_owner_confirmed()

    def recheck_claims(self) -> None:
        """Reread the claims now, and stop acting until they are confirmed.

        Called when a host has accepted a higher token, or when another daemon
        reports a higher term.
        """
        self._stop_acting()
        now = asyncio.get_running_loop().time()
        if now - self._rechecked_at >= CLAIM_RECHECK_INTERVAL:
            self._rechecked_at = now
            self.follower.restart_read()

    # Updates from the daemon

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.pool_state.configure(configuration)
        self.account_exchange.configure()
        self.term.plan_requested.set()

    def add_known_queues(self, queues: dict[str, Queue]) -> None:
        """Add queues that were read from the store; those already known stay."""
        for name, queue in queues.items():
            self.pool_state.queues.setdefault(name, queue)
        self.term.plan_requested.set()

    def apply_host_list(self, entries: dict[str, HostEntry]) -> None:
        """Apply the live host list, which later changes in place.

        Called again after each of these changes.
        """
        now = asyncio.get_running_loop().time()
        self._listed_hosts = entries
        for entry in entries.values():
            if entry.pool == self.pool:
                self.pool_state.add_or_update_host(entry, now)
                self.lease_renewer.start_renewing(entry.name)
        for name in self.pool_state.hosts:
            listed = entries.get(name)
            if listed is None or listed.pool != self.pool:
                self.pool_state.note_host_unlisted(name, now)
        self.term.plan_requested.set()

    def _add_missing_hosts(self, now: float) -> None:
        """Add the listed hosts that were removed since the list last changed."""
        if now - self._relisted_at < RELIST_INTERVAL:
            return
        self._relisted_at = now
        for entry in self._listed_hosts.values():
            if entry.pool != self.pool or entry.name in self.pool_state.hosts:
                continue
            log.info(
                "owner: host was removed, but is still listed; adding it again",
                extra={
                    "host": entry.name,
                    "pool": self.pool,
                    "address": entry.address,
                    "draining": entry.draining,
                },
            )
            self.pool_state.add_or_update_host(entry, now)
            self.lease_renewer.start_renewing(entry.name)

    # Accepted jobs

    def _apply_records(
        self, items: tuple[NewestRecord, ...], is_snapshot: bool
    ) -> None:
        self._check_claims(items)
        now = asyncio.get_running_loop().time()
        wall = self.dependencies.wall()
        closed = self.closings.noted
        if is_snapshot:
            # A late repetition may have replaced a record that was before a closing.
            # Only what is unknown behind a closing that was read before is late.
            closed = dict(closed)
        for item in items:
            if item.value:
                self._apply_record(item, closed, now, wall)
        self.term.plan_requested.set()

    def _check_claims(self, items: tuple[NewestRecord, ...]) -> None:
        """Raise ``OwnershipLostError`` if the records hold a claim of a later term.

        Called before the records are applied: jobs stored after that claim belong to
        the new owner.
        """
        for item in items:
            if item.key == OWNER_KEY and item.offset + 1 > self.term.number:
                self.term.owned_until = -1e9
                raise OwnershipLostError(
                    f"pool claimed by another daemon in term {item.offset + 1}",
                    step="owner",
                )

    def _apply_record(
        self, item: NewestRecord, closed: dict[str, int], now: float, wall: float
    ) -> None:
        try:
            stored = decode_stored(item.value)
        except SiskinroadError as exc:
            log.error(
                "owner: job record cannot be decoded; ignoring it",
                extra={
                    "pool": self.pool,
                    "topic": self.follower.topic,
                    "key": item.key,
                    "error": str(exc),
                },
            )
            return
        match stored:
            case Accepted():
                self.job_keys.note(item.key)
                self._accept(stored, item.offset, closed, now, wall)
            case QueueClosing(queue=queue, version=version):
                self.closings.note(queue, version)
            case Cancelled(job=job):
                if job not in self.pool_state.jobs:
                    self.pool_state.note_early_cancel(job, now)
                self._execute_effects(self.pool_state.cancel(job, now, wall))
                self.term.flush_requested.set()

    def _accept(
        self,
        accepted: Accepted,
        offset: int,
        closed: dict[str, int],
        now: float,
        wall: float,
    ) -> None:
        """Add a job that was read, unless it came behind a closing of its queue."""
        job = accepted.job
        is_known = job in self.pool_state.jobs
        if not is_known and self.closings.find_closing(accepted, closed):
            note_late_job(self.closings, accepted, self.pool_state, now)
            return
        is_new = offset + 1 > self.term.number
        self.pool_state.accept(accepted, now, wall, is_new=is_new)
        if not is_known:
            log.info(
                "owner: job accepted",
                extra={
                    "request": job,
                    "queue": accepted.queue,
                    "offset": offset,
                    "age_s": round(wall - accepted.at, 3),
                },
            )
        if self.pool_state.take_early_cancel(job, now):
            self._execute_effects(self.pool_state.cancel(job, now, wall))

    # Planning

    async def _run_planning(self) -> None:
        loop = asyncio.get_running_loop()
        took_s = 0.0
        while True:
            await self.term.plan_requested.wait()
            await asyncio.sleep(max(PLAN_DELAY, PLAN_REST_FACTOR * took_s))
            self.term.plan_requested.clear()
            now = loop.time()
            planning_pass: PlanningPass | None = None
            if self.term.may_start_runs():
                self._plan(now)
                took_s = loop.time() - now
                planning_pass = self.planner.last_pass
            self.planning_report.report_if_due(now, planning_pass)

    def _plan(self, now: float) -> None:
        channels = self.dependencies.advisor_channels.channel_times(now)
        effects = self.planner.plan(now, self.dependencies.wall(), channels)
        took_s = asyncio.get_running_loop().time() - now
        self.planning_report.record_pass(took_s, effects)
        self._execute_effects(effects)
        self.account_exchange.note_pass()

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + TICK_INTERVAL
            await asyncio.sleep(TICK_INTERVAL)
            now, wall = loop.time(), self.dependencies.wall()
            self._record_loop_delay(due_at, now)
            self.claim_confirmer.note_reads()
            self.pool_state.list_read_at = self.dependencies.find_list_read_at()
            confirmed_until = self.follower.confirmed_at + OWNERSHIP_TIMEOUT_S
            self.term.owned_until = max(self.term.owned_until, confirmed_until)
            self._check_former_owners(now)
            self._add_missing_hosts(now)
            effects = self.pool_state.expire_silent_hosts(now)
            self.pool_state.settle_tasks(now)
            self.pool_state.settle_told_tasks(now)
            self.takeover_report.report_if_due(now)
            self.lease_extender.report_change(now)
            self.pool_state.open_due(now, wall, EARLY_START_TIME)
            effects += self.run_monitor.check_runs(now, wall)
            self._execute_effects(effects)
            if self.admission_gate is not None:
                channels = self.dependencies.advisor_channels.channel_times(now)
                self.admission_gate.refresh_if_due(now, wall, channels)
            if self.progress.has_unstored_changes:
                self.term.flush_requested.set()
            self.term.plan_requested.set()

    def _record_loop_delay(self, due_at: float, now: float) -> None:
        loop_delay = self.dependencies.loop_delay
        loop_delay.record(due_at, now)
        self.pool_state.loop_delay_s = loop_delay.largest_since(now - DELAY_PERIOD_S)

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartRun():
                    self.term.spawn(self.host_commands.start(effect))
                case StopRun():
                    self.term.spawn(self.host_commands.stop(effect))
                case ThrottleRun():
                    self.term.spawn(self.host_commands.throttle(effect))
                case ReconcileHost(host=host):
                    self.term.spawn(self.lease_renewer.reconcile(host))
                case RequestAdvice():
                    self.term.spawn(self.host_commands.request_advice(effect))
        if self.pool_state.dirty:
            self.term.flush_requested.set()
        if self.pool_state.claims.is_awaited:
            self.claim_confirmer.request()

    def _on_claims_confirmed(self) -> None:
        """Draw the conclusions that waited for a read of the claims."""
        now = asyncio.get_running_loop().time()
        effects = self.pool_state.expire_silent_hosts(now)
        self.pool_state.settle_tasks(now)
        self._execute_effects(effects)
        self.term.plan_requested.set()

    # Requests from callers

    def show(self, job_id: str) -> str | None:
        """Return a job's state; None if there is no such job.

        Raises
        ------
        SiskinroadError
            The owner cannot tell, as it has not read the newest records.
        """
        job = self.pool_state.jobs.get(job_id)
        if job is not None:
            return job.shown_state()
        self._require_fresh_records()
        return None

    def _require_fresh_records(self) -> None:
        age = asyncio.get_running_loop().time() - self.follower.confirmed_at
        if age > MAX_RECORD_AGE:
            raise SiskinroadError(
                f"last confirmed read was {age:.1f} s ago, "
                "too long to answer about missing or pending jobs",
                step="owner.show",
            )

    async def cancel(self, job_id: str, timeout: float) -> bool:
        """Cancel a job; return False if there is no such job.

        Raises
        ------
        StoreUnknownError
            The job is cancelled, but that is not stored yet.
        StoreUnavailableError
            The newest records cannot be read, so that the job may exist, or the
            cancellation of an unknown job is not stored.
        """
        if job_id not in self.pool_state.jobs:
            await self._await_record(job_id, timeout * RECORD_WAIT_FRACTION)
        job = self.pool_state.jobs.get(job_id)
        if job is None:
            await self._store_cancel(job_id, timeout * CANCEL_STORE_FRACTION)
            return False
        if job.stored_outcome:
            return True
        now, wall = asyncio.get_running_loop().time(), self.dependencies.wall()
        stored_event = self.progress.get_stored_event(job_id)
        self._execute_effects(self.pool_state.cancel(job_id, now, wall))
        self.term.flush_requested.set()
        try:
            async with asyncio.timeout(timeout):
                await stored_event.wait()
        except TimeoutError:
            raise StoreUnknownError(
                "cancellation not stored within the request's time limit; "
                "it may still be stored",
                step="owner.cancel",
            ) from None
        return True

    def admit(self, accepted: Accepted) -> Accepted | LoadRefusal:
        """Return a job as it may be stored, or why it is turned away for load.

        An owner whose claim or records are not fresh turns nothing away: the job may
        have been accepted by another owner or through another daemon.
        """
        loop = asyncio.get_running_loop()
        age_s = loop.time() - self.follower.confirmed_at
        if self.admission_gate is None or not self.term.is_owner_confirmed():
            return accepted
        if age_s > MAX_RECORD_AGE:
            return accepted
        return self.admission_gate.decide(accepted, loop.time())

    async def _await_record(self, job_id: str, timeout: float) -> None:
        """Read all records that were stored before a cancel of an unknown job.

        The job may have been accepted a moment ago, or may still be by an append
        without an answer. It is not started once its record is read.
        """
        self.pool_state.note_early_cancel(job_id, asyncio.get_running_loop().time())
        log.info(
            "owner: unknown job is to be cancelled; reading the newest records",
            extra={"request": job_id, "pool": self.pool},
        )
        await self.follower.confirm(timeout)

    async def _store_cancel(self, job_id: str, timeout: float) -> None:
        """Store the cancellation of a job of which no record is stored.

        An append without an answer may still bring the record, to the next owner too.
        """
        cancelled = Cancelled(job_id, self.dependencies.wall())
        await self.dependencies.store.append(
            job_topic(self.pool), [record_of(cancelled)], timeout=timeout
        )

    def list_held_queues(self) -> set[str]:
        """Return the names of the queues of which the pool holds jobs."""
        return {job.queue for job in self.pool_state.jobs.values()}

    def count_pending(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started."""
        self._require_fresh_records()
        return self.pool_state.count_pending(queue)
