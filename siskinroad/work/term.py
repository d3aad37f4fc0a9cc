"""What the parts of one owner share: the book, the right to act, and events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from siskinroad.work.book import Book
from siskinroad.work.effects import Effect
from siskinroad.work.hosts import HostLink
from siskinroad.work.lines import AdviceLines
from siskinroad.work.model import Timing
from siskinroad.work.store import Store
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["RIGHT_TIME", "OwnerParts", "Term"]

# Seconds after its last confirmed read of the claims for which an owner goes on
# without the store. Outages of the store are shorter; a successor that does not
# know the owner dead waits this long before it gives up silent hosts.
RIGHT_TIME = 10.0


@dataclass(slots=True, frozen=True)
class OwnerParts:
    """What an owner works with; the same for every pool of a daemon."""

    node: str
    incarnation: int
    store: Store
    link: HostLink
    lines: AdviceLines
    timing: Timing
    metrics: WorkMetrics
    wall: Callable[[], float]
    is_later_life: Callable[[str, int], bool]


class Term:
    """One term of one pool, as all parts of its owner see it.

    Attributes
    ----------
    right_until : float
        Loop time until which the owner may act without a further confirmation.
    plan_wanted, flush_wanted : asyncio.Event
        Something may be placed; something is to be recorded.
    carry_out : callable
        Carries effects of the book out.
    doubted : callable
        Called when another daemon seems to own the pool.
    group : asyncio.TaskGroup or None
        Holds every task of the owner while it runs.
    """

    def __init__(self, pool: str, number: int, parts: OwnerParts) -> None:
        self.pool = pool
        self.number = number
        self.parts = parts
        self.book = Book(pool, number)
        self.right_until = -1e9
        self.plan_wanted = asyncio.Event()
        self.flush_wanted = asyncio.Event()
        self.carry_out: Callable[[list[Effect]], None] = lambda effects: None
        self.doubted: Callable[[], None] = lambda: None
        self.group: asyncio.TaskGroup | None = None

    def may_act(self) -> bool:
        """Return whether the claim was confirmed recently enough."""
        return asyncio.get_running_loop().time() < self.right_until

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None] | None:
        """Run a coroutine for as long as the term lasts."""
        if self.group is None:
            coro.close()
            return None
        return self.group.create_task(coro)
