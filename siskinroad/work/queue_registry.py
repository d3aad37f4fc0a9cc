"""Registry of the queues that any version of the configuration has sent to a pool.

A version of the configuration may send a queue to another pool, or remove it. The jobs
that were accepted before stay in their pool. Which pools these are, and the settings of
the queue, outlive the versions of the configuration in the store: a daemon that starts
later reads them there. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from siskinroad.work.model import Advice, Configuration, Queue
from siskinroad.work.records import StoredQueue, queue_key

__all__ = ["QueueRegistry", "make_queue", "make_stored_queue"]

# Seconds for which a queue must not have been sent to a pool before the registry may
# forget it there: an append without an answer may still bring a job of it.
FORGET_AFTER_S = 60.0


@dataclass(slots=True)
class _Entry:
    """One queue as it was sent to one pool.

    Attributes
    ----------
    is_stored : bool
        The store has this entry with these settings.
    ended_at : float or None
        Loop time at which the entry was first not in force; None while it is.
    """

    queue: StoredQueue
    is_stored: bool = False
    ended_at: float | None = None


class QueueRegistry:
    """The queues that were ever sent to a pool, until the pool holds no job of them.

    Attributes
    ----------
    is_read : bool
        The stored entries have been read once.
    """

    def __init__(self) -> None:
        self.is_read = False
        self._entries: dict[str, _Entry] = {}
        self._is_indexed = True
        self._configured_pools: frozenset[str] = frozenset()
        self._pools_by_name: dict[str, set[str]] = {}
        self._pools_by_address: dict[tuple[str, str], set[str]] = {}

    # Input

    def configure(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration."""
        self._configured_pools = frozenset(configuration.pools)
        in_force = {}
        for queue in configuration.queues:
            stored = make_stored_queue(queue)
            in_force[queue_key(stored)] = stored
        for key, stored in in_force.items():
            entry = self._entries.get(key)
            if entry is None or entry.queue != stored:
                self._entries[key] = _Entry(stored)
            self._entries[key].ended_at = None
        for key, entry in self._entries.items():
            if key not in in_force and entry.ended_at is None:
                entry.ended_at = now
        self._is_indexed = False

    def apply_record(self, queue: StoredQueue, now: float) -> None:
        """Apply a record that was read from the store, or has just been stored there.

        What the configuration in force says of a queue is newer.
        """
        entry = self._entries.setdefault(queue_key(queue), _Entry(queue, ended_at=now))
        if entry.ended_at is not None:
            entry.queue = queue
        entry.is_stored = entry.queue == queue
        self._is_indexed = False

    def remove(self, key: str) -> None:
        """Remove an entry that the store has no more, unless it is in force."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.is_stored = False
        if entry.ended_at is not None:
            del self._entries[key]
            self._is_indexed = False

    def keep_listed(self, keys: set[str]) -> None:
        """Remove the stored entries of which the store has none of these keys."""
        for key, entry in list(self._entries.items()):
            if entry.is_stored and key not in keys:
                self.remove(key)

    def _index(self) -> None:
        """Find the pools of each queue anew, once for any number of changes."""
        if self._is_indexed:
            return
        self._is_indexed = True
        self._pools_by_name.clear()
        self._pools_by_address.clear()
        for entry in self._entries.values():
            queue = entry.queue
            address = (queue.virtual_host, queue.prefix)
            if entry.is_stored or queue.pool in self._configured_pools:
                self._pools_by_name.setdefault(queue.name, set()).add(queue.pool)
                self._pools_by_address.setdefault(address, set()).add(queue.pool)

    # Answers

    def former_pools(self, queue: Queue) -> tuple[str, ...]:
        """Return the other pools that may hold jobs of a queue, by name or address.

        A pool that no daemon would claim is left out: nobody could answer for it.
        """
        self._index()
        pools = self._pools_by_name.get(queue.name, set()) | self._pools_by_address.get(
            (queue.virtual_host, queue.prefix), set()
        )
        return tuple(sorted(pools - {queue.pool}))

    def list_pools(self) -> set[str]:
        """Return the pools of the stored queues, also of queues that were removed."""
        return {entry.queue.pool for entry in self._entries.values() if entry.is_stored}

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
        return [
            entry.queue
            for entry in self._entries.values()
            if entry.queue.pool == pool
            and not entry.is_stored
            and (entry.ended_at is None or entry.queue.name in names)
        ]

    def list_obsolete(self, pool: str, held: Iterable[str], now: float) -> list[str]:
        """Return the keys of the queues of a pool that may be forgotten."""
        names = set(held)
        return [
            key
            for key, entry in self._entries.items()
            if entry.queue.pool == pool
            and entry.ended_at is not None
            and now - entry.ended_at > FORGET_AFTER_S
            and entry.queue.name not in names
        ]

    def has_ended_queues(self, pool: str) -> bool:
        """Return whether some queue was sent to a pool and is no longer."""
        return any(
            entry.queue.pool == pool and entry.ended_at is not None
            for entry in self._entries.values()
        )


def make_stored_queue(queue: Queue) -> StoredQueue:
    """Return the record of a queue."""
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
