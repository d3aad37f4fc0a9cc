"""Storage of an owner's progress, after which the hosts' ends are acknowledged."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import PROGRESS_PRODUCER
from siskinroad.work.job import Job
from siskinroad.work.progress_records import make_progress_records
from siskinroad.work.records import (
    FormerOwner,
    HostSet,
    Loans,
    QueueClosed,
    progress_topic,
    record_of,
)
from siskinroad.work.store import (
    MAX_APPEND_BYTES,
    Fence,
    FencedError,
    Record,
    StoreUnavailableError,
    StoreUnknownError,
)
from siskinroad.work.term import Term
from siskinroad.work.used_hosts import list_used_hosts

__all__ = ["OwnershipLostError", "ProgressLog"]

# Seconds between two appends of progress, so that one append carries many ends.
FLUSH_INTERVAL = 0.08
# Seconds before a failed append is repeated.
FLUSH_RETRY_INTERVAL = 0.25
# Seconds to wait for the store to answer an append.
FLUSH_TIMEOUT = 2.0
# Most records of jobs in one append.
MAX_RECORDS_PER_APPEND = 400
# Largest number of hosts that a log line names.
MAX_LOGGED_HOSTS = 4

log = logging.getLogger("siskinroad.progress")


class OwnershipLostError(SiskinroadError):
    """Ownership was lost: another daemon has claimed the pool."""


@dataclass(slots=True, frozen=True)
class _UnstoredClosings:
    """Closings that are to be stored once the progress of some jobs is.

    Attributes
    ----------
    jobs : set of str
        Ids of these jobs, less those that are in a batch since.
    """

    closings: tuple[QueueClosed, ...]
    jobs: set[str]
    stored: asyncio.Future[None]


@dataclass(slots=True, frozen=True)
class _Batch:
    """One append of progress, and the outcomes and ends that become durable with it."""

    records: tuple[Record, ...]
    outcomes: tuple[tuple[Job, str], ...]
    hosts: HostSet
    ends_seen: tuple[tuple[str, int, int], ...]
    loans: tuple[Loans, ...] = ()
    closings: tuple[_UnstoredClosings, ...] = ()


class ProgressLog:
    """The writer of a pool's progress topic, fenced by the owner's term.

    Attributes
    ----------
    flushed : asyncio.Event
        Set, and replaced by a new event, each time a batch has been stored.
    on_loans_stored : callable
        Receives the loans of an account once they are stored, and no newer ones wait.
    find_unreconciled : callable
        Returns the owners of earlier terms that may still renew leases, or None if they
        are not known.
    choose_witnesses : callable
        Returns the witnesses that are to be stored, or None for none.
    """

    def __init__(self, term: Term, hosts: HostSet | None) -> None:
        self.term = term
        self.flushed = asyncio.Event()
        self._stored_hosts = hosts
        self._sequence = 0
        self._batch: _Batch | None = None
        self._stored_events: dict[str, asyncio.Event] = {}
        self.find_unreconciled: Callable[[], tuple[FormerOwner, ...] | None] = lambda: (
            None
        )
        self.choose_witnesses: Callable[[], tuple[str, ...] | None] = lambda: None
        self.on_loans_stored: Callable[[Loans], None] = lambda loans: None
        self._unstored_loans: dict[str, Loans] = {}
        self._obsolete_keys: list[str] = []
        self._unstored_closings: list[_UnstoredClosings] = []
        self._storing_loans: dict[str, list[asyncio.Future[None]]] = {}

    @property
    def has_unstored_changes(self) -> bool:
        """Whether anything has not been stored, or not been marked as stored yet."""
        pool_state = self.term.pool_state
        if self._batch is not None or pool_state.dirty or self._unstored_loans:
            return True
        if self._obsolete_keys or self._unstored_closings:
            return True
        hosts = self._host_set()
        # A host that was removed and added again may be in the stored set already.
        has_unmarked_host = any(
            name in pool_state.hosts and not pool_state.hosts[name].is_stored
            for name in hosts.names
        )
        return has_unmarked_host or hosts != self._stored_hosts

    def list_unstored_jobs(self) -> set[str]:
        """Return the ids of the jobs with changes that may not be stored."""
        storing = self._batch.outcomes if self._batch is not None else ()
        return self.term.pool_state.dirty | {job.id for job, _ in storing}

    def get_stored_event(self, job_id: str) -> asyncio.Event:
        """Return an event that is set once the job's outcome is stored."""
        self.term.flush_requested.set()
        return self._stored_events.setdefault(job_id, asyncio.Event())

    @property
    def is_storing_loans(self) -> bool:
        """Whether some loan still waits to be stored, as while the store is silent."""
        return bool(self._storing_loans)

    async def store_loans(self, loans: Iterable[Loans]) -> None:
        """Store the loans of accounts; return once they, or newer ones, are stored."""
        futures: list[asyncio.Future[None]] = []
        for each in loans:
            self._unstored_loans[each.account] = each
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._storing_loans.setdefault(each.account, []).append(fut)
            futures.append(fut)
        self.term.flush_requested.set()
        await asyncio.gather(*futures)

    def note_loans(self, loans: Loans) -> None:
        """Store the loans of an account with the next batch."""
        self._unstored_loans[loans.account] = loans

    async def store_closings(self, closings: Iterable[QueueClosed]) -> None:
        """Store closings after the progress of all jobs that have changed by now."""
        jobs = set(self.term.pool_state.dirty)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._unstored_closings.append(_UnstoredClosings(tuple(closings), jobs, fut))
        self.term.flush_requested.set()
        await fut

    def remove_records(self, keys: Iterable[str]) -> None:
        """Delete records of jobs that are forgotten, with a later batch."""
        self._obsolete_keys += keys
        self.term.flush_requested.set()

    async def run(self) -> None:
        """Store every change, in batches, until cancelled.

        Raises
        ------
        OwnershipLostError
            A later term has fenced this one.
        """
        while True:
            await self.term.flush_requested.wait()
            self.term.flush_requested.clear()
            try:
                await self.flush()
            except (StoreUnavailableError, StoreUnknownError) as exc:
                log.warning(
                    "progress: append failed; retrying",
                    extra={"pool": self.term.pool, "error": str(exc)},
                )
                self.term.flush_requested.set()
                await asyncio.sleep(FLUSH_RETRY_INTERVAL)
                continue
            except FencedError as exc:
                raise OwnershipLostError(
                    "progress append was fenced by a later term", step="progress.flush"
                ) from exc
            await asyncio.sleep(FLUSH_INTERVAL)

    def _host_set(self) -> HostSet:
        is_settled = self.term.pool_state.is_settled
        return HostSet(
            tuple(sorted(list_used_hosts(self.term.pool_state))),
            self.term.number,
            is_settled,
            None if is_settled else self.find_unreconciled(),
            self.choose_witnesses(),
        )

    def list_host_sets(self) -> list[HostSet]:
        """Return all sets of hosts of which a successor may read one in the store.

        That of a batch that is on its way may be stored already, or not yet. None are
        returned if no set of this term is certainly stored.
        """
        stored = self._stored_hosts
        if stored is None or stored.term != self.term.number:
            return []
        return [stored] if self._batch is None else [stored, self._batch.hosts]

    async def flush(self) -> None:
        """Store every job that has changed, then acknowledge the hosts' ends.

        A batch whose append got no answer is repeated unchanged with the same
        sequence number, so that it takes effect once and no later change is lost.
        """
        if self._batch is None:
            self._batch = self._make_batch()
        batch = self._batch
        if batch.records:
            fence = Fence(PROGRESS_PRODUCER, self.term.number, self._sequence + 1)
            await self.term.dependencies.store.append(
                progress_topic(self.term.pool),
                list(batch.records),
                fence=fence,
                timeout=FLUSH_TIMEOUT,
            )
            self._sequence += 1
        self._batch = None
        self._mark_stored(batch)
        has_more = self._obsolete_keys or self._unstored_closings
        if self.term.pool_state.dirty or has_more:
            self.term.flush_requested.set()

    def _make_batch(self) -> _Batch:
        jobs, records = self._take_changed_jobs()
        hosts = self._host_set()
        if hosts != self._stored_hosts:
            records.append(record_of(hosts))
        self._leave_out_hosts(hosts)
        loans = tuple(self._unstored_loans.values())
        self._unstored_loans.clear()
        records += map(record_of, loans)
        records += [Record(key, b"") for key in self._take_obsolete_keys()]
        ends_seen: tuple[tuple[str, int, int], ...] = ()
        if not self.term.pool_state.dirty:
            known = self.term.pool_state.hosts.values()
            ends_seen = tuple(
                (host.name, host.incarnation_ms, host.last_end_seen) for host in known
            )
        outcomes = tuple((job, job.outcome) for job in jobs)
        closings = self._take_closings()
        records += [record_of(each) for some in closings for each in some.closings]
        return _Batch(tuple(records), outcomes, hosts, ends_seen, loans, closings)

    def _take_closings(self) -> tuple[_UnstoredClosings, ...]:
        """Return the closings whose jobs are stored by this batch or a former one."""
        for each in self._unstored_closings:
            # A job that has changed again has progress in the store all the same.
            each.jobs.intersection_update(self.term.pool_state.dirty)
        ready = tuple(each for each in self._unstored_closings if not each.jobs)
        self._unstored_closings = [
            each for each in self._unstored_closings if each.jobs
        ]
        return ready

    def _leave_out_hosts(self, hosts: HostSet) -> None:
        """Start nothing more on the hosts that a set which is to be stored leaves out.

        The set may be stored from now on, also if no reply shows that.
        """
        stored = set(hosts.names)
        left_out: list[str] = []
        for host in self.term.pool_state.hosts.values():
            if host.is_stored and host.name not in stored:
                host.is_stored = False
                left_out.append(host.name)
        if left_out:
            log.info(
                "progress: hosts that leave have no work left; "
                "successors do not wait for them",
                extra={
                    "pool": self.term.pool,
                    "term": self.term.number,
                    "count": len(left_out),
                    "hosts": left_out[:MAX_LOGGED_HOSTS],
                    "stored_hosts": len(stored),
                },
            )

    def _take_obsolete_keys(self) -> list[str]:
        keys = self._obsolete_keys[:MAX_RECORDS_PER_APPEND]
        del self._obsolete_keys[: len(keys)]
        return keys

    def _take_changed_jobs(self) -> tuple[list[Job], list[Record]]:
        """Return changed jobs with their records, as many as one append takes.

        They do not count as changed any more; the others wait for a later batch.
        """
        pool_state = self.term.pool_state
        jobs: list[Job] = []
        records: list[Record] = []
        length = 0
        for job_id in list(pool_state.dirty):
            job = pool_state.jobs.get(job_id)
            if job is not None:
                added = make_progress_records(job.make_progress())
                job.progress_parts = max(job.progress_parts, len(added))
                length += sum(len(each.value) for each in added)
                is_full = len(records) + len(added) > MAX_RECORDS_PER_APPEND
                if jobs and (is_full or length > MAX_APPEND_BYTES):
                    break
                jobs.append(job)
                records += added
            pool_state.dirty.discard(job_id)
        return jobs, records

    def _mark_stored(self, batch: _Batch) -> None:
        self._stored_hosts = batch.hosts
        for name in batch.hosts.names:
            if name in self.term.pool_state.hosts:
                self.term.pool_state.hosts[name].is_stored = True
        for each in batch.loans:
            if each.account not in self._unstored_loans:
                self.on_loans_stored(each)
                for fut in self._storing_loans.pop(each.account, ()):
                    if not fut.done():
                        fut.set_result(None)
        for closings in batch.closings:
            if not closings.stored.done():
                closings.stored.set_result(None)
        for job, outcome in batch.outcomes:
            self._mark_outcome_stored(job, outcome)
        for name, incarnation_ms, last_end_seen in batch.ends_seen:
            host = self.term.pool_state.hosts.get(name)
            if host is not None and host.incarnation_ms == incarnation_ms:
                host.last_end_stored = max(host.last_end_stored, last_end_seen)
        self.flushed.set()
        self.flushed = asyncio.Event()

    def _mark_outcome_stored(self, job: Job, outcome: str) -> None:
        """Note the outcome that a batch held; it held none for a job still open then.

        The job may have got its outcome while the batch was on its way.
        """
        job.stored_outcome = outcome
        if not outcome:
            return
        job.outcome_stored_at = asyncio.get_running_loop().time()
        stored_event = self._stored_events.pop(job.id, None)
        if stored_event is not None:
            stored_event.set()
