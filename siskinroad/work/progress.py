"""Storage of an owner's progress, after which the hosts' ends are acknowledged."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import PRODUCER
from siskinroad.work.job import Job
from siskinroad.work.records import HostSet, progress_topic, record_of
from siskinroad.work.store import (
    Fence,
    FencedError,
    Record,
    StoreUnavailableError,
    StoreUnknownError,
)
from siskinroad.work.term import Term

__all__ = ["Deposed", "ProgressLog"]

# Seconds between two appends of progress, so that one append carries many ends.
FLUSH_INTERVAL = 0.08
# Seconds before a failed append is repeated.
FLUSH_RETRY_INTERVAL = 0.25
# Seconds to wait for the store to answer an append.
FLUSH_TIMEOUT = 2.0
# Records in one append: the store limits the bytes of a call.
MAX_RECORDS_PER_APPEND = 400

log = logging.getLogger("siskinroad.progress")


class Deposed(SiskinroadError):
    """Ownership was lost: another daemon has claimed the pool."""


@dataclass(slots=True, frozen=True)
class _Batch:
    """One append of progress, and what storing it allows to show and acknowledge."""

    records: tuple[Record, ...]
    outcomes: tuple[tuple[Job, str], ...]
    hosts: HostSet
    ends_seen: tuple[tuple[str, int, int], ...]


class ProgressLog:
    """The writer of a pool's progress topic, fenced by the owner's term.

    Attributes
    ----------
    flushed : asyncio.Event
        Set, and replaced by a new event, each time a batch has been stored.
    """

    def __init__(self, term: Term, hosts: HostSet | None) -> None:
        self.term = term
        self.flushed = asyncio.Event()
        self._recorded_hosts = hosts
        self._sequence = 0
        self._batch: _Batch | None = None
        self._waiters: dict[str, asyncio.Event] = {}

    @property
    def due(self) -> bool:
        """Whether anything has not been stored yet."""
        pending = self._batch is not None or bool(self.term.book.dirty)
        return pending or self._host_set() != self._recorded_hosts

    def get_recorded_event(self, job_id: str) -> asyncio.Event:
        """Return an event that is set once the job's outcome is stored."""
        self.term.flush_wanted.set()
        return self._waiters.setdefault(job_id, asyncio.Event())

    async def run(self) -> None:
        """Store every change, in batches, until cancelled.

        Raises
        ------
        Deposed
            A later term has fenced this one.
        """
        while True:
            await self.term.flush_wanted.wait()
            self.term.flush_wanted.clear()
            try:
                await self.flush()
            except (StoreUnavailableError, StoreUnknownError) as exc:
                log.warning(
                    "progress: append failed; retrying",
                    extra={"pool": self.term.pool, "error": str(exc)},
                )
                self.term.flush_wanted.set()
                await asyncio.sleep(FLUSH_RETRY_INTERVAL)
                continue
            except FencedError as exc:
                raise Deposed(
                    "progress append was fenced by a later term", step="progress.flush"
                ) from exc
            await asyncio.sleep(FLUSH_INTERVAL)

    def _host_set(self) -> HostSet:
        known = set(self.term.book.hosts)
        if not self.term.book.settled:
            known |= self.term.book.waiting_for_hosts
        return HostSet(tuple(sorted(known)), self.term.number, self.term.book.settled)

    async def flush(self) -> None:
        """Store every job that has changed, then acknowledge the hosts' ends.

        A batch whose append got no answer is repeated unchanged with the same
        sequence number, so that it takes effect once and no later change is lost.
        """
        if self._batch is None:
            self._batch = self._make_batch()
        batch = self._batch
        if batch.records:
            fence = Fence(PRODUCER, self.term.number, self._sequence + 1)
            await self.term.parts.store.append(
                progress_topic(self.term.pool),
                list(batch.records),
                fence=fence,
                timeout=FLUSH_TIMEOUT,
            )
            self._sequence += 1
        self._batch = None
        self._mark_recorded(batch)
        if self.term.book.dirty:
            self.term.flush_wanted.set()

    def _make_batch(self) -> _Batch:
        changed = list(self.term.book.dirty)[:MAX_RECORDS_PER_APPEND]
        self.term.book.dirty.difference_update(changed)
        jobs = [
            self.term.book.jobs[job] for job in changed if job in self.term.book.jobs
        ]
        records = [record_of(job.progress()) for job in jobs]
        hosts = self._host_set()
        if hosts != self._recorded_hosts:
            records.append(record_of(hosts))
        ends_seen: tuple[tuple[str, int, int], ...] = ()
        if not self.term.book.dirty:
            known = self.term.book.hosts.values()
            ends_seen = tuple((host.name, host.born, host.seen) for host in known)
        outcomes = tuple((job, job.outcome) for job in jobs)
        return _Batch(tuple(records), outcomes, hosts, ends_seen)

    def _mark_recorded(self, batch: _Batch) -> None:
        self._recorded_hosts = batch.hosts
        for name in batch.hosts.names:
            if name in self.term.book.hosts:
                self.term.book.hosts[name].recorded = True
        for job, outcome in batch.outcomes:
            job.recorded = outcome
            waiter = self._waiters.pop(job.id, None)
            if waiter is not None:
                waiter.set()
        for name, born, seen in batch.ends_seen:
            host = self.term.book.hosts.get(name)
            if host is not None and host.born == born:
                host.acknowledged = max(host.acknowledged, seen)
        self.flushed.set()
        self.flushed = asyncio.Event()
