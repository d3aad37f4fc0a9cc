"""Tests of reading the log: directly, through the reader, over gaps and faults."""

import asyncio
import random

from bench.clock import run_on_paused_clock
from siskinroad.log_reader import LogReader, Stream
from siskinroad.membership import Membership
from siskinroad.messages import LogFetch, LogRecords, LogTail
from siskinroad.platform import LogPage
from siskinroad.platform_memory import MemoryPlatform, MemoryPlatformState
from siskinroad.records import DaemonJoined, encode_batch
from siskinroad.stamps import StampClock


class Follower:
    """A ``LogReader`` of daemon ``a`` on one stream, with what it reported and sent."""

    def __init__(self, platform):
        self.offset = 1
        self.skipped = 0
        self.confirmed = []
        self.sent = []
        self.log_reader = LogReader(
            "a",
            platform,
            Membership("a", 2, 0.0),
            lambda name, msg: self.sent.append((name, msg)),
            lambda stream, stamp: self.confirmed.append(stamp),
            random.Random(1),
        )
        self.stream = Stream("s", lambda: self.offset, self.apply, self.skip)
        self.log_reader.follow(self.stream)

    def apply(self, offset, records):
        assert offset == self.offset
        self.offset += 1

    def skip(self, first):
        self.skipped = first
        self.offset = first


def encode_record(number):
    return encode_batch("a", [DaemonJoined(f"d{number}", number)])


def run_follower(platform, seconds=3.0, during=None):
    async def main():
        follower = Follower(platform)
        task = asyncio.create_task(follower.log_reader.run())
        if during is not None:
            await during(follower)
        await asyncio.sleep(seconds)
        task.cancel()
        return follower

    return run_on_paused_clock(main())


def make_log(count):
    log = MemoryPlatformState()
    for number in range(count):
        log.append("s", encode_record(number))
    return log


def test_the_log_is_read_to_its_end_and_confirmed():
    follower = run_follower(MemoryPlatform(make_log(1200)))
    assert follower.offset == 1201
    assert follower.confirmed


def test_records_received_during_a_read_are_not_taken_for_a_shorter_log():
    """A peer's records may pass the tail of a read in flight, which is no fault."""
    log = make_log(3)

    class SlowPlatform(MemoryPlatform):
        async def read(self, stream, start, limit):
            page = await super().read(stream, start, limit)
            await asyncio.sleep(0.5)
            return page

    async def during(follower):
        await asyncio.sleep(0.1)
        records = [encode_record(number) for number in range(6)]
        for data in records[3:]:
            log.append("s", data)
        follower.log_reader.handle_records(LogRecords("s", 1, records))

    follower = run_follower(SlowPlatform(log), during=during)
    assert (follower.stream.stop_reason, follower.offset) == ("", 7)


def test_a_log_that_became_shorter_stops_the_reader():
    """After a loss of records, offsets would stand for other records than before."""

    class ShrinkingPlatform(MemoryPlatform):
        async def read(self, stream, start, limit):
            page = await super().read(stream, start, limit)
            return LogPage(1, 1, [], 2) if start > 2 else page

    follower = run_follower(ShrinkingPlatform(make_log(3)))
    assert "log ends at 2" in follower.stream.stop_reason


def test_trimmed_records_are_skipped_and_a_damaged_one_stops_the_reader():
    """Reading past a damaged record would give daemons different states."""
    log = make_log(5)
    log.trim("s", 4)
    follower = run_follower(MemoryPlatform(log))
    assert (follower.skipped, follower.offset) == (4, 6)
    log.append("s", b"\xffdamaged")
    log.append("s", encode_record(9))
    follower = run_follower(MemoryPlatform(log))
    assert follower.offset == 6
    assert "damaged" in follower.stream.stop_reason


def test_records_after_a_gap_wait_and_a_lagging_peer_is_sent_recent_ones():
    """Records behind a gap must not be applied; a reply never starts after a gap."""

    async def main():
        follower = Follower(MemoryPlatform(make_log(0)))
        follower.log_reader.handle_records(LogRecords("s", 3, [encode_record(3)]))
        assert follower.offset == 1
        follower.log_reader.handle_records(
            LogRecords("s", 1, [encode_record(1), encode_record(2)])
        )
        follower.log_reader.handle_fetch(LogFetch("b", "s", 2))
        follower.log_reader.handle_fetch(LogFetch("b", "s", 0))
        return follower

    follower = run_on_paused_clock(main())
    assert follower.offset == 3
    pages = [(msg.start, len(msg.records)) for _, msg in follower.sent]
    assert pages == [(2, 1), (0, 0)]


def test_a_tail_with_the_stamp_of_an_earlier_incarnation_confirms_nothing():
    """The clock of the earlier one may have shown more than this one's."""

    async def main():
        follower = Follower(MemoryPlatform(MemoryPlatformState()))
        earlier_stamp = StampClock(1, 0.0).make(5000.0)
        follower.log_reader.handle_tail(LogTail("s", 1, earlier_stamp), 1000.0)
        assert follower.confirmed == []
        stamp = StampClock(2, 0.0).make(999.0)
        follower.log_reader.handle_tail(LogTail("s", 1, stamp), 1000.0)
        assert follower.confirmed == [999.0]

    run_on_paused_clock(main())
