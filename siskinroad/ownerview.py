"""What the parts of a shard's owner need of it, and it of its daemon."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from siskinroad.cell import Workload
from siskinroad.effects import Effect
from siskinroad.scheduler import Scheduler
from siskinroad.upstreams import Upstreams

__all__ = ["OwnerPorts", "OwnerView"]


@dataclass(slots=True, frozen=True)
class OwnerPorts:
    """What an owner needs of its daemon.

    Attributes
    ----------
    may_place : callable
        Returns whether requests may be sent to the shard's hosts just now.
    is_certain : callable
        Returns whether tasks may be started there just now.
    ended : callable
        Takes job, index and outcome of a task that has ended for good and
        returns a future that is done once this is on record.
    count : callable
        Counts an event by name and label.
    waited : callable
        Notes the seconds that an item waited before its start.
    """

    upstreams: Upstreams
    may_place: Callable[[], bool]
    is_certain: Callable[[], bool]
    ended: Callable[[str, int, str], asyncio.Future[int]]
    count: Callable[[str, str], None]
    waited: Callable[[Workload, float], None]
    rng: random.Random


class OwnerView(Protocol):
    """A shard's owner as its parts see it.

    Attributes
    ----------
    shard, epoch : str, int
        The claim under which it places work.
    closed : bool
        It decides nothing any more.
    """

    shard: str
    epoch: int
    ports: OwnerPorts
    scheduler: Scheduler
    closed: bool

    def now(self) -> float:
        """Return the loop's time."""

    def run(self, effects: list[Effect]) -> None:
        """Carry out what the scheduler has decided."""

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine until the owner is closed."""

    def host_event(self, name: str, event: str) -> None:
        """Apply an event of the ``upstream`` chart to a host."""

    def go_stale(self) -> None:
        """Stop placing, since a host has seen a later owner's epoch."""
