"""Follows a topic: the newest of each key, then every record behind them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import (
    Newest,
    Store,
    StoreUnavailableError,
    Tail,
    TrimmedError,
    newest_of_all,
)

__all__ = ["Follower"]

# Seconds that an answer may take beyond the wait that was asked for.
ANSWER_TIME = 1.2
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0

log = logging.getLogger("siskinroad.follow")

Apply = Callable[[tuple[Newest, ...], bool], None]


@dataclass(slots=True, frozen=True)
class _Found:
    """What one read has found; ``whole`` is as for ``Follower``'s ``apply``."""

    items: tuple[Newest, ...]
    whole: bool
    next: int
    confirmed_at: float


class Follower:
    """Reads one topic for as long as it runs; offsets never go back.

    Parameters
    ----------
    apply : callable
        Called with records in the order of their offsets, and whether they are
        the newest of every key, so that keys not among them are gone.
    wait : float
        Seconds for which the store may wait for a record.
    spacing : float
        Least seconds between two reads.

    Attributes
    ----------
    confirmed_at : float
        Loop time at which the last answered read was sent: all that was
        appended before it has been applied.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: Apply,
        *,
        wait: float = 1.0,
        spacing: float = 0.0,
    ) -> None:
        self.store = store
        self.topic = topic
        self.next = -1
        self.confirmed_at = -1e9
        self.reachable = True
        self._apply = apply
        self._wait = wait
        self._spacing = spacing
        self._limit: asyncio.Timeout | None = None

    def nudge(self) -> None:
        """Ask anew at once.

        The store answers again after a silence; questions of before never get an
        answer, and each would be waited for to its end.
        """
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(-1)

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_PAUSE
        while True:
            try:
                async with asyncio.timeout(None) as limit:
                    self._limit = limit
                    pause = await self._turn(pause)
            except TimeoutError:
                pause = FIRST_PAUSE
            finally:
                self._limit = None

    async def _turn(self, pause: float) -> float:
        """Read once, then pause; return the pause after the next failure.

        Errors of whoever takes the records are none of the store's, and end this.
        """
        try:
            found = await self._fetch()
        except SiskinroadError as exc:
            self._note(False, exc)
            await asyncio.sleep(pause)
            return min(2 * pause, LONGEST_PAUSE)
        self._note(True, None)
        self._take(found)
        if self._spacing:
            await asyncio.sleep(self._spacing)
        return FIRST_PAUSE

    async def _fetch(self) -> _Found:
        if self.next < 0:
            return await self._load()
        try:
            return await self._read()
        except TrimmedError as exc:
            log.warning(
                "follow: history is gone, reading the newest records",
                extra={"topic": self.topic, "from": self.next, "first": exc.first},
            )
            return await self._load()

    async def _load(self) -> _Found:
        sent_at = asyncio.get_running_loop().time()
        page = await newest_of_all(self.store, self.topic, ANSWER_TIME)
        self._check_stale(page.end)
        items = sorted(page.items, key=lambda item: item.offset)
        return _Found(tuple(items), True, page.end, sent_at)

    async def _read(self) -> _Found:
        sent_at = asyncio.get_running_loop().time()
        tail = await self.store.read(
            self.topic, self.next, wait=self._wait, timeout=self._wait + ANSWER_TIME
        )
        self._check_stale(tail.end)
        at_end = tail.next >= tail.end
        confirmed_at = sent_at if at_end else self.confirmed_at
        return _Found(_numbered(tail), False, tail.next, confirmed_at)

    def _take(self, found: _Found) -> None:
        if found.items or found.whole:
            self._apply(found.items, found.whole)
        self.next = found.next
        self.confirmed_at = found.confirmed_at

    def _check_stale(self, end: int) -> None:
        """Refuse an answer that is older than what has been read already."""
        if end < self.next:
            text = f"the topic ends at {end}, before {self.next}"
            raise StoreUnavailableError(text, step="follow")

    def _note(self, reachable: bool, exc: SiskinroadError | None) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        text = "follow: topic is read again" if reachable else "follow: topic not read"
        log.warning(
            text, extra={"topic": self.topic, "next": self.next, "error": str(exc)}
        )


def _numbered(tail: Tail) -> tuple[Newest, ...]:
    return tuple(
        Newest(record.key, record.value, tail.start + i)
        for i, record in enumerate(tail.records)
    )
