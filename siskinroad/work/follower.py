"""Following of a topic: the newest record of each key, then every later record."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.store import (
    NewestRecord,
    ReadResult,
    Record,
    Store,
    StoreUnavailableError,
    TrimmedError,
    read_all_newest,
)

__all__ = ["Follower"]

# Seconds that a reply may take beyond the requested wait.
REPLY_TIMEOUT = 1.2
# Bounds in seconds of the pause after a failed read; it doubles with each failure.
FIRST_RETRY_PAUSE = 0.1
LONGEST_RETRY_PAUSE = 1.0

log = logging.getLogger("siskinroad.follower")

ApplyRecords = Callable[[tuple[NewestRecord, ...], bool], None]


@dataclass(slots=True, frozen=True)
class _FetchResult:
    """The result of one read; ``is_snapshot`` as for ``Follower``'s ``apply``.

    ``is_at_end`` tells whether the topic ended there as the read was answered.
    """

    items: tuple[NewestRecord, ...]
    is_snapshot: bool
    next_offset: int
    confirmed_at: float
    is_at_end: bool


class Follower:
    """A reader of one topic whose position never goes back.

    Parameters
    ----------
    apply : callable
        Called with records in the order of their offsets, and whether they are a
        snapshot: the newest record of every key, so that any other key is gone.
    wait : float
        Seconds for which the store may hold a read open for a new record. It is not
        asked to while ``confirmed_at`` is negative, or after a read that failed, so
        that this ends soon, nor while further records are known.
    read_pause : float
        Seconds to wait after each successful read up to the end before the next.

    Attributes
    ----------
    confirmed_at : float
        Loop time at which the last successful read up to the topic's end was
        sent: every record appended before then has been applied. Negative before
        the first, and after ``revoke_confirmation``.
    on_confirmed : callable
        Called with each later ``confirmed_at``.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: ApplyRecords,
        *,
        wait: float = 1.0,
        read_pause: float = 0.0,
    ) -> None:
        self.store = store
        self.topic = topic
        self.next_offset = -1
        self.confirmed_at = -1e9
        self.is_reachable = True
        self.on_confirmed: Callable[[float], None] = lambda confirmed_at: None
        self._apply = apply
        self._wait = wait
        self._spacing = read_pause
        self._read_timeout: asyncio.Timeout | None = None
        self._revoked_at = -1e9
        self._waiter_count = 0
        self._is_read_held = False
        self._is_at_end = True
        self._read_done = asyncio.Event()

    def revoke_confirmation(self) -> None:
        """Let no read confirm that was sent before now.

        The loop's clock does not count a suspension, so a read that was sent before one
        seems newer than it is.
        """
        self._revoked_at = asyncio.get_running_loop().time()
        self.confirmed_at = -1e9

    def restart_read(self) -> None:
        """Abandon the pending read and read again at once.

        Requests sent before an outage of the store are never answered, and each
        would otherwise be waited for until its time limit. One whose answer is arriving
        goes on.
        """
        if self.store.is_arriving(self.topic):
            return
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(-1)

    def apply_appended(self, records: list[Record], offset: int) -> None:
        """Apply records that this daemon has just appended, without reading them.

        Only if they directly follow what was applied: between them and that there may
        be records of others, such as a claim. A read may take long while the store is
        slow or changes hands.

        Parameters
        ----------
        offset : int
            Offset of the first record, as the store has answered.
        """
        if offset != self.next_offset:
            return
        items = tuple(
            NewestRecord(record.key, record.value, offset + i)
            for i, record in enumerate(records)
        )
        self.next_offset = offset + len(items)
        self._apply(items, False)

    async def confirm(self, timeout: float) -> None:
        """Return once a read that was sent after this call has reached the end.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.

        Raises
        ------
        StoreUnavailableError
            If no such read has succeeded within the time.
        """
        called_at = asyncio.get_running_loop().time()
        if self._is_read_held:
            self.restart_read()
        self._waiter_count += 1
        try:
            async with asyncio.timeout(timeout):
                while self.confirmed_at < called_at:
                    await self._read_done.wait()
        except TimeoutError:
            raise StoreUnavailableError(
                f"no read up to the topic's end within {timeout:.2f} s", step="follow"
            ) from None
        finally:
            self._waiter_count -= 1

    async def read_now(self) -> None:
        """Read what there is now, beside the read that the store may hold open.

        Raises
        ------
        SiskinroadError
            If the store has not answered. What ``apply`` raises propagates too.
        """
        self._apply_result(await self._read_later_records(0.0))

    async def run(self) -> None:
        """Follow the topic until cancelled."""
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
        if self._spacing and self._is_at_end:
            await asyncio.sleep(self._spacing)
        elif not self._is_at_end and not result.items:
            await asyncio.sleep(FIRST_RETRY_PAUSE)
        return FIRST_RETRY_PAUSE

    async def _fetch(self) -> _FetchResult:
        if self.next_offset < 0:
            return await self._read_newest()
        is_confirmed = self.confirmed_at >= 0 and self.is_reachable
        may_be_held = is_confirmed and self._is_at_end and not self._waiter_count
        wait = self._wait if may_be_held else 0.0
        self._is_read_held = may_be_held
        try:
            return await self._read_later_records(wait)
        except TrimmedError as exc:
            log.warning(
                "follower: records trimmed; reading the newest record of each key",
                extra={
                    "topic": self.topic,
                    "from": self.next_offset,
                    "first": exc.first,
                },
            )
            return await self._read_newest()
        finally:
            self._is_read_held = False

    async def _read_newest(self) -> _FetchResult:
        sent_at = asyncio.get_running_loop().time()
        start = self.next_offset
        page = await read_all_newest(self.store, self.topic, REPLY_TIMEOUT)
        _reject_stale(page.end, start)
        items = sorted(page.items, key=lambda item: item.offset)
        return _FetchResult(tuple(items), True, page.end, sent_at, True)

    async def _read_later_records(self, wait: float) -> _FetchResult:
        sent_at = asyncio.get_running_loop().time()
        start = self.next_offset
        result = await self.store.read(
            self.topic, start, wait=wait, timeout=wait + REPLY_TIMEOUT
        )
        _reject_stale(result.end, start)
        is_at_end = result.next_offset >= result.end
        confirmed_at = sent_at if is_at_end else self.confirmed_at
        return _FetchResult(
            _with_offsets(result), False, result.next_offset, confirmed_at, is_at_end
        )

    def _apply_result(self, result: _FetchResult) -> None:
        items = result.items
        if not result.is_snapshot:
            items = tuple(item for item in items if item.offset >= self.next_offset)
        if items or result.is_snapshot:
            self._apply(items, result.is_snapshot)
        self.next_offset = max(self.next_offset, result.next_offset)
        self._is_at_end = result.is_at_end
        if result.confirmed_at >= self._revoked_at:
            self.confirmed_at = max(self.confirmed_at, result.confirmed_at)
            self.on_confirmed(self.confirmed_at)
        self._read_done.set()
        self._read_done = asyncio.Event()

    def _log_reachability(
        self, is_reachable: bool, exc: SiskinroadError | None
    ) -> None:
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        text = (
            "follower: read succeeds again"
            if is_reachable
            else "follower: read failed; retrying until one succeeds"
        )
        log.warning(
            text,
            extra={"topic": self.topic, "next": self.next_offset, "error": str(exc)},
        )


def _with_offsets(result: ReadResult) -> tuple[NewestRecord, ...]:
    return tuple(
        NewestRecord(record.key, record.value, result.start + i)
        for i, record in enumerate(result.records)
    )


def _reject_stale(end: int, start: int) -> None:
    """Raise if a reply is older than what had been applied when it was requested."""
    if end < start:
        text = f"stale reply: the topic ends at {end}, already read up to {start}"
        raise StoreUnavailableError(text, step="follow")
