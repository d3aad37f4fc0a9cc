"""Interfaces between a shard's owner, its components and its daemon."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from siskinroad.cell import Workload
from siskinroad.effects import Effect
from siskinroad.scheduler import Scheduler
from siskinroad.upstreams import UpstreamClient

__all__ = ["OwnerContext", "OwnerPorts"]


@dataclass(slots=True, frozen=True)
class OwnerPorts:
    """Services of the daemon that a shard's owner uses.

    Attributes
    ----------
    may_place : callable
        Returns whether requests may be sent to the shard's hosts now.
    may_start_tasks : callable
        Returns whether ownership is certain, so that tasks may be started now.
    is_certain : callable
        Returns whether no successor can act on the shard's tasks now.
    log_read_at : callable
        Returns the latest loop time such that a read of the log begun no earlier has
        reached its end.
    read_log : callable
        Makes the daemon read the log at once.
    record_outcome : callable
        Stores the final outcome of a task, given job, task index and outcome;
        returns a future that is done once it is stored.
    count_event : callable
        Counts an event in the metrics, by name and label.
    observe_wait : callable
        Adds an item's wait before its start, in seconds, to the metrics.
    """

    upstreams: UpstreamClient
    may_place: Callable[[], bool]
    may_start_tasks: Callable[[], bool]
    is_certain: Callable[[], bool]
    log_read_at: Callable[[], float]
    read_log: Callable[[], None]
    record_outcome: Callable[[str, int, str], asyncio.Future[int]]
    count_event: Callable[[str, str], None]
    observe_wait: Callable[[Workload, float], None]
    rng: random.Random


class OwnerContext(Protocol):
    """Shard owner as its components use it.

    Attributes
    ----------
    shard, epoch : str, int
        The claim under which it places work; the epoch is the fencing token.
    is_closed : bool
        Whether it has stopped scheduling.
    is_stale : bool
        Whether a host has rejected its epoch.
    """

    shard: str
    epoch: int
    ports: OwnerPorts
    scheduler: Scheduler
    is_closed: bool
    is_stale: bool

    def now(self) -> float:
        """Return the event loop's time in seconds."""

    def run(self, effects: list[Effect]) -> None:
        """Carry out the scheduler's effects in order."""

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that is cancelled when the owner is closed."""

    def host_event(self, name: str, event: str) -> None:
        """Apply an event of the ``upstream`` chart to a host."""

    def mark_stale(self) -> None:
        """Stop placing work after a host has rejected this owner's epoch as stale."""
