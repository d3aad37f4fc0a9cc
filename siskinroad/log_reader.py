"""Reading of the platform's log by one daemon for its whole data centre.

That daemon, the reader, sends the records to the others and tells them when it has read
a stream to its end. A daemon that misses these messages reads the log itself.
"""

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

__all__ = ["LogReader", "Stream"]

# Longest time between two reads of the log, in seconds. Reads confirm claims, so that
# a value near ``LEASE_TIME`` lets them expire; a smaller one loads the platform.
POLL_INTERVAL = 1.0
# Seconds without the reader's ``LogTail`` after which a daemon reads the log itself. A
# value near ``POLL_INTERVAL`` makes every daemon read it after one lost message.
TAIL_TIMEOUT = 2.5
# Most appends in one read of the log and in one message to a lagging peer.
PAGE_APPENDS = 500
# Most appends, and bytes of them, kept for lagging peers. A peer that lags further
# reads the log itself, so smaller values add reads and larger ones memory.
MAX_RECENT_APPENDS = 1000
MAX_RECENT_BYTES = 1 << 19
# Least time in seconds between two requests for the missing records of one stream;
# without it each message received before the reply would cause another request.
FETCH_INTERVAL = 0.3
# Bounds in seconds of the pause after a failed read; it doubles with each failure.
# Smaller values load a failing platform, larger ones delay recovery.
MIN_BACKOFF = 0.2
MAX_BACKOFF = 2.0

log = logging.getLogger("siskinroad.log")


@dataclass(slots=True)
class Stream:
    """One stream of the log that this daemon follows.

    Attributes
    ----------
    next_offset : callable
        Returns the next offset to apply.
    apply : callable
        Applies the records of one append, given its offset.
    skip : callable
        Continues at an offset because the records before it were trimmed.
    recent : deque
        The latest appends as (offset, data), for peers that lag.
    stop_reason : str
        Why the stream is read no further; empty while it is read.
    tail_received_at : float
        Loop time of the reader's last ``LogTail`` at which nothing was missing here.
    fetch_sent_at : float
        Loop time of the last request for missing records.
    recent_bytes : int
        Bytes of data in ``recent``.
    """

    name: str
    next_offset: Callable[[], int]
    apply: Callable[[int, list[Record]], None]
    skip: Callable[[int], None]
    recent: deque[tuple[int, bytes]] = field(default_factory=deque)
    stop_reason: str = ""
    tail_received_at: float = float("-inf")
    fetch_sent_at: float = float("-inf")
    recent_bytes: int = 0

    def add_recent(self, offset: int, data: bytes) -> None:
        """Keep an append for peers that lag, within the bounds on count and bytes."""
        self.recent.append((offset, data))
        self.recent_bytes += len(data)
        while (
            self.recent_bytes > MAX_RECENT_BYTES
            or len(self.recent) > MAX_RECENT_APPENDS
        ):
            self.recent_bytes -= len(self.recent.popleft()[1])


class LogReader:
    """Reader of the log's streams, directly or through the data centre's reader.

    Parameters
    ----------
    send : callable
        Sends a message to a daemon by name.
    on_confirmed : callable
        Called with a stream's name and a loop time of this daemon: a read begun no
        earlier than that has reached the end of the stream.
    """

    def __init__(
        self,
        name: str,
        platform: Platform,
        members: Membership,
        send: Callable[[str, Message], None],
        on_confirmed: Callable[[str, float], None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.platform = platform
        self.members = members
        self.send = send
        self.on_confirmed = on_confirmed
        self.rng = rng
        self.streams: dict[str, Stream] = {}
        self.reads = 0
        self.failures = 0
        self.last_read_at = float("-inf")
        self._wake = asyncio.Event()

    def follow(self, stream: Stream) -> None:
        """Add a stream to those that are read."""
        self.streams[stream.name] = stream

    def wake(self) -> None:
        """Read the log at once, for example because a record was appended."""
        self._wake.set()

    def is_reading(self, now: float) -> bool:
        """Return whether this daemon reads the log itself at ``now``."""
        if self.members.log_reader_name(now) == self.name:
            return True
        return any(
            now - s.tail_received_at > TAIL_TIMEOUT for s in self.streams.values()
        )

    def is_reachable(self, now: float) -> bool:
        """Return whether a recent read of the log succeeded, here or at the reader."""
        received_at = min(
            (s.tail_received_at for s in self.streams.values()), default=now
        )
        return now - max(self.last_read_at, received_at) <= 2 * TAIL_TIMEOUT

    async def run(self) -> None:
        """Read the streams until cancelled."""
        loop = asyncio.get_running_loop()
        backoff = MIN_BACKOFF
        while True:
            was_woken = self._wake.is_set()
            self._wake.clear()
            if was_woken or self.is_reading(loop.time()):
                if await self._read_all():
                    backoff = MIN_BACKOFF
                else:
                    await asyncio.sleep(self.rng.uniform(backoff / 2, backoff))
                    backoff = min(backoff * 2, MAX_BACKOFF)
            try:
                async with asyncio.timeout(POLL_INTERVAL):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _read_all(self) -> bool:
        now = asyncio.get_running_loop().time()
        stamps = {m.name: m.stamp for m in self.members.alive_members(now)}
        results = [await self._read(stream) for stream in self.streams.values()]
        if not all(results):
            self.failures += 1
            return False
        self.last_read_at = now
        for stream in self.streams.values():
            if stream.stop_reason:
                continue
            self.on_confirmed(stream.name, now)
            for name, stamp in stamps.items():
                self.send(name, LogTail(stream.name, stream.next_offset(), stamp))
        return True

    async def _read(self, stream: Stream) -> bool:
        """Read a stream to its end; return whether the platform answered."""
        while not stream.stop_reason:
            start = stream.next_offset()
            try:
                page = await self.platform.read(stream.name, start, PAGE_APPENDS)
            except LogTrimmedError as exc:
                log.warning(
                    "log: stream %s was trimmed; skipping to its first offset %d",
                    stream.name,
                    exc.first_offset,
                )
                stream.skip(exc.first_offset)
                continue
            except PlatformError:
                return False
            self.reads += 1
            if page.tail < start:
                stream.stop_reason = (
                    f"log ends at {page.tail}, but this daemon has read further before"
                )
                log.error(
                    "log: reading of %s stopped: %s", stream.name, stream.stop_reason
                )
                return False
            if page.start == stream.next_offset() and page.records:
                self._apply_records(stream, page.start, page.records)
                self._send_to_members(stream, page.start, page.records)
            if stream.next_offset() >= page.tail or not page.records:
                return True
        return True

    def _apply_records(self, stream: Stream, start: int, records: list[bytes]) -> None:
        for offset, data in enumerate(records, start):
            if offset != stream.next_offset():
                continue
            try:
                _, batch = decode_batch(data)
                stream.apply(offset, batch)
            except ProtocolError as exc:
                stream.stop_reason = str(exc)
                log.error(
                    "log: reading of %s stopped at %d: %s", stream.name, offset, exc
                )
                return
            stream.add_recent(offset, data)

    def _send_to_members(
        self, stream: Stream, start: int, records: list[bytes]
    ) -> None:
        now = asyncio.get_running_loop().time()
        if self.members.log_reader_name(now) != self.name:
            return
        for member in self.members.alive_members(now):
            self.send(member.name, LogRecords(stream.name, start, records))

    # Messages from peers

    def handle_records(self, msg: LogRecords) -> None:
        """Apply records that a peer has sent.

        An empty list means that the peer no longer keeps the requested records, so
        that the log is read instead.
        """
        stream = self.streams.get(msg.stream)
        if stream is None or stream.stop_reason:
            return
        if not msg.records:
            self.wake()
            return
        if msg.start > stream.next_offset():
            self._request_missing(stream)
            return
        self._apply_records(stream, msg.start, msg.records)

    def handle_tail(self, msg: LogTail, now: float) -> None:
        """Record the reader's position, or request the records missing here."""
        stream = self.streams.get(msg.stream)
        if stream is None:
            return
        if stream.next_offset() < msg.next:
            self._request_missing(stream)
            return
        stream.tail_received_at = now
        confirmed_at = self.members.stamps.read(msg.stamp, now)
        if confirmed_at is not None and not stream.stop_reason:
            self.on_confirmed(msg.stream, confirmed_at)

    def _request_missing(self, stream: Stream) -> None:
        now = asyncio.get_running_loop().time()
        if now - stream.fetch_sent_at < FETCH_INTERVAL:
            return
        stream.fetch_sent_at = now
        log_reader_name = self.members.log_reader_name(now)
        if log_reader_name == self.name:
            self.wake()
        else:
            self.send(
                log_reader_name, LogFetch(self.name, stream.name, stream.next_offset())
            )

    def handle_fetch(self, msg: LogFetch) -> None:
        """Send a lagging peer the recent records that it requests.

        An empty reply tells the peer to read the log itself.
        """
        stream = self.streams.get(msg.stream)
        if stream is None:
            return
        records: list[bytes] = []
        if stream.recent and stream.recent[0][0] <= msg.start:
            records = [data for offset, data in stream.recent if offset >= msg.start]
        page = records[:PAGE_APPENDS]
        self.send(msg.name, LogRecords(msg.stream, msg.start, page))
