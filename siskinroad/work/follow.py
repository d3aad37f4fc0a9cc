"""Following of a topic: the newest record of each key, then every later record."""

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

# Seconds that a reply may take beyond the requested wait.
REPLY_TIMEOUT = 1.2
# Bounds in seconds of the pause after a failed read; it doubles with each failure.
FIRST_RETRY_PAUSE = 0.1
LONGEST_RETRY_PAUSE = 1.0

log = logging.getLogger("siskinroad.follow")

Apply = Callable[[tuple[Newest, ...], bool], None]


@dataclass(slots=True, frozen=True)
class _ReadResult:
    """The result of one read; ``is_snapshot`` as for ``Follower``'s ``apply``."""

    items: tuple[Newest, ...]
    is_snapshot: bool
    next: int
    confirmed_at: float


class Follower:
    """A reader of one topic whose position never goes back.

    Parameters
    ----------
    apply : callable
        Called with records in the order of their offsets, and whether they are a
        snapshot: the newest record of every key, so that any other key is gone.
    wait : float
        Seconds for which the store may hold a read open for a new record.
    spacing : float
        Least seconds between two reads.

    Attributes
    ----------
    confirmed_at : float
        Loop time at which the last successful read up to the topic's end was
        sent: every record appended before then has been applied.
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
        self._read_timeout: asyncio.Timeout | None = None

    def nudge(self) -> None:
        """Abandon the pending read and read again at once.

        Requests sent before an outage of the store are never answered, and each
        would otherwise be waited for until its time limit.
        """
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(-1)

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_RETRY_PAUSE
        while True:
            try:
                async with asyncio.timeout(None) as read_timeout:
                    self._read_timeout = read_timeout
                    pause = await self._run_once(pause)
            except TimeoutError:
                pause = FIRST_RETRY_PAUSE
            finally:
                self._read_timeout = None

    async def _run_once(self, pause: float) -> float:
        """Read once, then pause; return the pause after the next failure.

        Errors raised by ``apply`` are not errors of the store, and propagate.
        """
        try:
            result = await self._fetch()
        except SiskinroadError as exc:
            self._log_reachability(False, exc)
            await asyncio.sleep(pause)
            return min(2 * pause, LONGEST_RETRY_PAUSE)
        self._log_reachability(True, None)
        self._apply_result(result)
        if self._spacing:
            await asyncio.sleep(self._spacing)
        return FIRST_RETRY_PAUSE

    async def _fetch(self) -> _ReadResult:
        if self.next < 0:
            return await self._read_newest()
        try:
            return await self._read_tail()
        except TrimmedError as exc:
            log.warning(
                "follow: records trimmed; reading the newest record of each key",
                extra={"topic": self.topic, "from": self.next, "first": exc.first},
            )
            return await self._read_newest()

    async def _read_newest(self) -> _ReadResult:
        sent_at = asyncio.get_running_loop().time()
        page = await newest_of_all(self.store, self.topic, REPLY_TIMEOUT)
        self._reject_stale(page.end)
        items = sorted(page.items, key=lambda item: item.offset)
        return _ReadResult(tuple(items), True, page.end, sent_at)

    async def _read_tail(self) -> _ReadResult:
        sent_at = asyncio.get_running_loop().time()
        tail = await self.store.read(
            self.topic, self.next, wait=self._wait, timeout=self._wait + REPLY_TIMEOUT
        )
        self._reject_stale(tail.end)
        at_end = tail.next >= tail.end
        confirmed_at = sent_at if at_end else self.confirmed_at
        return _ReadResult(_with_offsets(tail), False, tail.next, confirmed_at)

    def _apply_result(self, result: _ReadResult) -> None:
        if result.items or result.is_snapshot:
            self._apply(result.items, result.is_snapshot)
        self.next = result.next
        self.confirmed_at = result.confirmed_at

    def _reject_stale(self, end: int) -> None:
        """Raise if a reply is older than what has already been read."""
        if end < self.next:
            text = (
                f"stale reply: the topic ends at {end}, already read up to {self.next}"
            )
            raise StoreUnavailableError(text, step="follow")

    def _log_reachability(self, reachable: bool, exc: SiskinroadError | None) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        text = "follow: topic is read again" if reachable else "follow: topic not read"
        log.warning(
            text, extra={"topic": self.topic, "next": self.next, "error": str(exc)}
        )


def _with_offsets(tail: Tail) -> tuple[Newest, ...]:
    return tuple(
        Newest(record.key, record.value, tail.start + i)
        for i, record in enumerate(tail.records)
    )
