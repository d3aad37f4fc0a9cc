"""Registry of the queues that any version of the configuration has sent to a pool.

A version of the configuration may send a queue to another pool, or remove it. The jobs
that were accepted before stay in their pool. Which pools these are, and the settings of
the queue, outlive the versions of the configuration in the store: a daemon that starts
later reads them there. Nothing here does I/O.

The stored records also order the versions: before a daemon stores the first job of a
queue in a pool, it stores by which version the queue is assigned to that pool, and
reads all records up to its own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from siskinroad.work.model import Advice, Configuration, Queue
from siskinroad.work.records import StoredQueue, queue_key

__all__ = [
    "Assigned",
    "QueueRegistry",
    "Superseded",
    "Unassigned",
    "make_queue",
    "make_stored_queue",
]

# Seconds for which a queue must not have been sent to a pool before the registry may
# forget it there: an append without an answer may still bring a job of it.
FORGET_AFTER_S = 60.0


# Name, virtual host, prefix and pool of a queue.
_Identity = tuple[str, str, str, str]


@dataclass(slots=True, frozen=True)
class Assigned:
    """A queue is assigned to its pool by a record of this version, which was read."""

    version: int


@dataclass(slots=True, frozen=True)
class Unassigned:
    """A queue's assignment to its pool is to be stored by this record."""

    record: StoredQueue


@dataclass(slots=True, frozen=True)
class Superseded:
    """A configuration of this version or a later one tells where a queue is sent now.

    It has assigned the queue to another pool, or removed it.
    """

    version: int


@dataclass(slots=True)
class _Entry:
    """One queue as it was sent to one pool.

    Attributes
    ----------
    queue : StoredQueue
        Newest known settings, without a version.
    is_stored : bool
        The store has these settings.
    ended_at : float or None
        Loop time at which the entry was first not in force; None while it is.
    offsets : dict of int to int
        Offset of the first known record of each version that is stored.
    """

    queue: StoredQueue
    is_stored: bool = False
    ended_at: float | None = None
    offsets: dict[int, int] = field(default_factory=dict)

    @property
    def is_recorded(self) -> bool:
        """Whether the store has any record of this queue in this pool."""
        return self.is_stored or bool(self.offsets)

    @property
    def newest_version(self) -> int:
        """The newest version that is stored; -1 if there is none."""
        return max(self.offsets, default=-1)

    def list_keys(self, versions: Iterable[int]) -> list[str]:
        """Return the keys of the records of some versions."""
        return [queue_key(_with_version(self.queue, each)) for each in versions]


class QueueRegistry:
    """The queues that were ever sent to a pool, until the pool holds no job of them.

    Attributes
    ----------
    is_read : bool
        The stored entries have been read once.
    version : int
        Version of the configuration in force.
    """

    def __init__(self) -> None:
        self.is_read = False
        self.version = 0
        self._entries: dict[_Identity, _Entry] = {}
        self._versions_by_key: dict[str, tuple[_Identity, int]] = {}
        self._is_indexed = True
        self._unstored_in_force: list[StoredQueue] | None = None
        self._configured_pools: frozenset[str] = frozenset()
        self._by_name: dict[str, list[_Entry]] = {}
        self._by_address: dict[tuple[str, str], list[_Entry]] = {}

    # Input

    def configure(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration."""
        self.version = configuration.version
        self._configured_pools = frozenset(configuration.pools)
        in_force = {_identify(queue): queue for queue in configuration.queues}
        for identity, queue in in_force.items():
            stored = make_stored_queue(queue)
            entry = self._entries.setdefault(identity, _Entry(stored))
            if entry.queue != stored:
                entry.queue = stored
                entry.is_stored = False
            entry.ended_at = None
        for identity, entry in self._entries.items():
            if identity not in in_force and entry.ended_at is None:
                entry.ended_at = now
        self._note_changed()

    def apply_record(self, queue: StoredQueue, now: float, offset: int = -1) -> None:
        """Apply a record that was read from the store, or has just been stored there.

        What the configuration in force says of a queue is newer.

        Parameters
        ----------
        offset : int
            Offset of the record.
        """
        settings = _with_version(queue, 0)
        identity = _identify(queue)
        entry = self._entries.setdefault(identity, _Entry(settings, ended_at=now))
        if queue.version >= entry.newest_version:
            if entry.ended_at is not None:
                entry.queue = settings
            entry.is_stored = entry.queue == settings
        first_offset = entry.offsets.get(queue.version, offset)
        entry.offsets[queue.version] = min(first_offset, offset)
        self._versions_by_key[queue_key(queue)] = (identity, queue.version)
        self._note_changed()

    def remove(self, key: str) -> None:
        """Remove a record that the store has no more.

        An entry without any is removed, unless it is in force.
        """
        if key not in self._versions_by_key:
            return
        identity, version = self._versions_by_key.pop(key)
        entry = self._entries[identity]
        del entry.offsets[version]
        self._note_changed()
        if entry.offsets:
            return
        entry.is_stored = False
        if entry.ended_at is not None:
            del self._entries[identity]

    def keep_listed(self, keys: set[str]) -> None:
        """Remove the records of which the store has none of these keys."""
        for key in list(self._versions_by_key):
            if key not in keys:
                self.remove(key)

    def _index(self) -> None:
        """Find the entries of each queue anew, once for any number of changes."""
        if self._is_indexed:
            return
        self._is_indexed = True
        self._by_name.clear()
        self._by_address.clear()
        for entry in self._entries.values():
            queue = entry.queue
            address = (queue.virtual_host, queue.prefix)
            self._by_name.setdefault(queue.name, []).append(entry)
            self._by_address.setdefault(address, []).append(entry)

    def _note_changed(self) -> None:
        self._is_indexed = False
        self._unstored_in_force = None

    def _list_related(self, queue: Queue | StoredQueue) -> list[_Entry]:
        """Return the entries of a queue in all pools, by its name or its address."""
        self._index()
        address = (queue.virtual_host, queue.prefix)
        related = list(self._by_name.get(queue.name, ()))
        for entry in self._by_address.get(address, ()):
            if entry.queue.name != queue.name:
                related.append(entry)
        return related

    def _may_hold_jobs(self, entry: _Entry) -> bool:
        """Return whether the entry's pool may hold jobs, and has or gets an owner."""
        return entry.is_recorded or entry.queue.pool in self._configured_pools

    # Answers

    def find_assignment(
        self, queue: Queue, read_to: float = math.inf, at_least: int = 0
    ) -> Assigned | Unassigned | Superseded:
        """Return by which version a queue is assigned to its pool.

        Of two daemons that store assignments of one queue to different pools, each
        reads the topic up to its own record before it relies on it. So the later one
        has read the other's, whichever is of the newer version.

        Parameters
        ----------
        read_to : float
            Offset up to which the topic was read; a later record is not relied on.
        at_least : int
            An older version is not relied on.
        """
        own = self._entries.get(_identify(queue))
        if own is None or own.ended_at is not None:
            return Superseded(self.version)
        return self._find_assignment(own, read_to, at_least)

    def _find_assignment(
        self, own: _Entry, read_to: float = math.inf, at_least: int = 0
    ) -> Assigned | Unassigned | Superseded:
        others = [
            entry.newest_version
            for entry in self._list_related(own.queue)
            if entry.queue.pool != own.queue.pool
        ]
        other = max(others, default=-1)
        newest = max(other, at_least)
        if newest > self.version:
            return Superseded(newest)
        read = [version for version, at in own.offsets.items() if at < read_to]
        version = max(read, default=-1)
        if version >= at_least and (version > other or version == other > 0):
            return Assigned(version)
        return Unassigned(_with_version(own.queue, self.version))

    def former_pools(self, queue: Queue) -> tuple[str, ...]:
        """Return the other pools that may hold jobs of a queue, by name or address.

        A pool that no daemon would claim is left out: nobody could answer for it.
        """
        return tuple(self.former_queues(queue))

    def former_queues(self, queue: Queue) -> dict[str, tuple[str, ...]]:
        """Return by these pools the names that a queue has, or had, there."""
        names: dict[str, set[str]] = {}
        for entry in self._list_related(queue):
            pool = entry.queue.pool
            if pool != queue.pool and self._may_hold_jobs(entry):
                names.setdefault(pool, {queue.name}).add(entry.queue.name)
        return {pool: tuple(sorted(names[pool])) for pool in sorted(names)}

    def list_pools(self) -> set[str]:
        """Return the pools of the stored queues, also of queues that were removed."""
        return {
            entry.queue.pool for entry in self._entries.values() if entry.is_recorded
        }

    def list_queues(self, pool: str) -> dict[str, Queue]:
        """Return the queues that were ever sent to a pool, by name."""
        return {
            entry.queue.name: make_queue(entry.queue)
            for entry in self._entries.values()
            if entry.queue.pool == pool
        }

    def list_unstored(self, pool: str, held: Iterable[str]) -> list[StoredQueue]:
        """Return the queues of a pool that are to be stored.

        Parameters
        ----------
        held : Iterable of str
            Names of the queues of which the pool holds jobs.
        """
        names = set(held)
        in_force = [
            each for each in self._list_unstored_in_force() if each.pool == pool
        ]
        ended = [
            _with_version(entry.queue, max(entry.newest_version, 0))
            for entry in self._entries.values()
            if entry.queue.pool == pool
            and entry.ended_at is not None
            and not entry.is_stored
            and entry.queue.name in names
        ]
        return in_force + ended

    def _list_unstored_in_force(self) -> list[StoredQueue]:
        """Return what all queues in force lack, found once for any number of calls."""
        if self._unstored_in_force is None:
            self._unstored_in_force = []
            for entry in self._entries.values():
                if entry.ended_at is None:
                    self._unstored_in_force += self._list_lacking(entry)
        return self._unstored_in_force

    def _list_lacking(self, entry: _Entry) -> list[StoredQueue]:
        match self._find_assignment(entry):
            case Unassigned(record=record):
                return [record]
            case Assigned(version=version) if not entry.is_stored:
                return [_with_version(entry.queue, version)]
        return []

    def list_obsolete(self, pool: str, held: Iterable[str], now: float) -> list[str]:
        """Return the keys of the records of a pool's queues that may be forgotten."""
        names = set(held)
        keys: list[str] = []
        for entry in self._entries.values():
            if entry.queue.pool != pool:
                continue
            versions = sorted(entry.offsets) or [0]
            is_forgotten = (
                entry.ended_at is not None
                and now - entry.ended_at > FORGET_AFTER_S
                and entry.queue.name not in names
                and versions[-1] <= self.version
            )
            # A newer version of the same pool tells all that an older one does.
            keys += entry.list_keys(versions if is_forgotten else versions[:-1])
        return keys

    def has_ended_queues(self, pool: str) -> bool:
        """Return whether some queue was sent to a pool and is no longer."""
        return any(
            entry.queue.pool == pool and entry.ended_at is not None
            for entry in self._entries.values()
        )


def _identify(queue: Queue | StoredQueue) -> _Identity:
    return queue.name, queue.virtual_host, queue.prefix, queue.pool


def _with_version(queue: StoredQueue, version: int) -> StoredQueue:
    return msgspec.structs.replace(queue, version=version)


def make_stored_queue(queue: Queue, version: int = 0) -> StoredQueue:
    """Return the record of a queue, assigned to its pool by a version."""
    advice: tuple[float, ...] = ()
    if queue.advice is not None:
        advice = (queue.advice.base, queue.advice.per_host, queue.advice.valid_s)
    return StoredQueue(
        queue.name,
        queue.virtual_host,
        queue.prefix,
        queue.pool,
        queue.priority,
        queue.max_attempts,
        queue.slack,
        queue.target,
        advice,
        version,
    )


def make_queue(stored: StoredQueue) -> Queue:
    """Return the queue of a record; it takes no new jobs, so it has no timeout."""
    return Queue(
        stored.name,
        stored.virtual_host,
        stored.prefix,
        stored.pool,
        stored.priority,
        stored.max_attempts,
        stored.slack,
        stored.target,
        0.0,
        Advice(*stored.advice) if stored.advice else None,
    )
