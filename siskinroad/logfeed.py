"""The log's records, read by one daemon of the data centre for all of them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from siskinroad.errors import LogTrimmedError, PlatformError, ProtocolError
from siskinroad.membership import Membership
from siskinroad.messages import LogFetch, LogRecords, LogTail, Message
from siskinroad.platform import Platform
from siskinroad.records import Record, decode_batch

__all__ = ["LogFeed", "Stream"]

POLL_TIME = 1.0
TAIL_SILENCE = 2.5
PAGE_RECORDS = 500
KEPT_RECORDS = 1000
KEPT_BYTES = 1 << 19
FETCH_PAUSE = 0.3
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 2.0

log = logging.getLogger("siskinroad.log")


@dataclass(slots=True)
class Stream:
    """One stream as this daemon follows it.

    Attributes
    ----------
    next : callable
        Returns the next offset to apply.
    apply : callable
        Takes an offset and the records of one append.
    skip : callable
        Goes on at an offset, since what lay before was trimmed.
    recent : deque
        The latest appends as (offset, data), for peers that lag.
    """

    name: str
    next: Callable[[], int]
    apply: Callable[[int, list[Record]], None]
    skip: Callable[[int], None]
    recent: deque[tuple[int, bytes]] = field(default_factory=deque)
    stopped: str = ""
    tail_heard: float = float("-inf")
    asked: float = float("-inf")
    recent_bytes: int = 0

    def keep(self, offset: int, data: bytes) -> None:
        """Keep an append for peers that lag, within a bound on bytes."""
        self.recent.append((offset, data))
        self.recent_bytes += len(data)
        while self.recent_bytes > KEPT_BYTES or len(self.recent) > KEPT_RECORDS:
            self.recent_bytes -= len(self.recent.popleft()[1])


class LogFeed:
    """Follows the streams, through the data centre's reader where there is one.

    Parameters
    ----------
    send : callable
        Sends a message to a daemon by name.
    confirmed : callable
        Called with a stream's name and an own stamp at which that stream is
        known to have been read to its end.
    """

    def __init__(
        self,
        name: str,
        platform: Platform,
        members: Membership,
        send: Callable[[str, Message], None],
        confirmed: Callable[[str, float], None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.platform = platform
        self.members = members
        self.send = send
        self.confirmed = confirmed
        self.rng = rng
        self.streams: dict[str, Stream] = {}
        self.reads = 0
        self.failures = 0
        self.last_read = float("-inf")
        self._wake = asyncio.Event()

    def follow(self, stream: Stream) -> None:
        """Add a stream."""
        self.streams[stream.name] = stream

    def nudge(self) -> None:
        """Read soon: something was appended."""
        self._wake.set()

    def reading(self, now: float) -> bool:
        """Return whether this daemon reads the log itself just now."""
        if self.members.reader(now) == self.name:
            return True
        return any(now - s.tail_heard > TAIL_SILENCE for s in self.streams.values())

    def reachable(self, now: float) -> bool:
        """Return whether the log was heard of lately, at first or second hand."""
        heard = min((s.tail_heard for s in self.streams.values()), default=now)
        return now - max(self.last_read, heard) <= 2 * TAIL_SILENCE

    async def run(self) -> None:
        """Read until cancelled."""
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE
        while True:
            forced = self._wake.is_set()
            self._wake.clear()
            if forced or self.reading(loop.time()):
                if await self._read_all():
                    pause = FIRST_PAUSE
                else:
                    await asyncio.sleep(self.rng.uniform(pause / 2, pause))
                    pause = min(pause * 2, LONGEST_PAUSE)
            try:
                async with asyncio.timeout(POLL_TIME):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _read_all(self) -> bool:
        now = asyncio.get_running_loop().time()
        stamps = {m.name: m.stamp for m in self.members.alive(now)}
        results = [await self._read(stream) for stream in self.streams.values()]
        if not all(results):
            self.failures += 1
            return False
        self.last_read = now
        for stream in self.streams.values():
            if stream.stopped:
                continue
            self.confirmed(stream.name, now)
            for name, stamp in stamps.items():
                self.send(name, LogTail(stream.name, stream.next(), stamp))
        return True

    async def _read(self, stream: Stream) -> bool:
        """Read a stream to its end; return whether the platform answered."""
        while not stream.stopped:
            start = stream.next()
            try:
                page = await self.platform.read(stream.name, start, PAGE_RECORDS)
            except LogTrimmedError as exc:
                log.warning("log: %s was trimmed to %d", stream.name, exc.first)
                stream.skip(exc.first)
                continue
            except PlatformError:
                return False
            self.reads += 1
            if page.tail < start:
                stream.stopped = f"log ends at {page.tail}, before what was read"
                log.error("log: %s stops: %s", stream.name, stream.stopped)
                return False
            if page.start == stream.next() and page.records:
                self._take(stream, page.start, page.records)
                self._fan_out(stream, page.start, page.records)
            if stream.next() >= page.tail or not page.records:
                return True
        return True

    def _take(self, stream: Stream, start: int, records: list[bytes]) -> None:
        for offset, data in enumerate(records, start):
            if offset != stream.next():
                continue
            try:
                _, batch = decode_batch(data)
                stream.apply(offset, batch)
            except ProtocolError as exc:
                stream.stopped = str(exc)
                log.error("log: %s stops at %d: %s", stream.name, offset, exc)
                return
            stream.keep(offset, data)

    def _fan_out(self, stream: Stream, start: int, records: list[bytes]) -> None:
        now = asyncio.get_running_loop().time()
        if self.members.reader(now) != self.name:
            return
        for member in self.members.alive(now):
            self.send(member.name, LogRecords(stream.name, start, records))

    # What peers say

    def hear_records(self, msg: LogRecords) -> None:
        """Apply records that the reader has sent."""
        stream = self.streams.get(msg.stream)
        if stream is None or stream.stopped:
            return
        if not msg.records:
            self.nudge()
            return
        if msg.start > stream.next():
            self._ask(stream)
            return
        self._take(stream, msg.start, msg.records)

    def hear_tail(self, msg: LogTail, now: float) -> None:
        """Note how far the reader has read."""
        stream = self.streams.get(msg.stream)
        if stream is None:
            return
        if stream.next() < msg.next:
            self._ask(stream)
            return
        stream.tail_heard = now
        if not stream.stopped:
            self.confirmed(msg.stream, msg.stamp)

    def _ask(self, stream: Stream) -> None:
        now = asyncio.get_running_loop().time()
        if now - stream.asked < FETCH_PAUSE:
            return
        stream.asked = now
        reader = self.members.reader(now)
        if reader == self.name:
            self.nudge()
        else:
            self.send(reader, LogFetch(self.name, stream.name, stream.next()))

    def hear_fetch(self, msg: LogFetch) -> None:
        """Send a lagging peer what this daemon still has.

        An empty answer tells the peer to read the log itself.
        """
        stream = self.streams.get(msg.stream)
        if stream is None:
            return
        records: list[bytes] = []
        if stream.recent and stream.recent[0][0] <= msg.start:
            records = [data for offset, data in stream.recent if offset >= msg.start]
        page = records[:PAGE_RECORDS]
        self.send(msg.name, LogRecords(msg.stream, msg.start, page))
