"""Following the log: through the reader, alone, over gaps, and never wrongly."""

import asyncio
import random

from bench.clock import run
from siskinroad.logfeed import LogFeed, Stream
from siskinroad.membership import Membership
from siskinroad.messages import LogFetch, LogRecords
from siskinroad.platform import LogPage
from siskinroad.platform_memory import MemoryLog, MemoryPlatform
from siskinroad.records import DaemonJoined, encode_batch


class Follower:
    def __init__(self, platform):
        self.offset = 1
        self.skipped = 0
        self.confirmed = []
        self.sent = []
        self.feed = LogFeed(
            "a",
            platform,
            Membership("a"),
            lambda name, msg: self.sent.append((name, msg)),
            lambda stream, stamp: self.confirmed.append(stamp),
            random.Random(1),
        )
        self.stream = Stream("s", lambda: self.offset, self.apply, self.skip)
        self.feed.follow(self.stream)

    def apply(self, offset, records):
        assert offset == self.offset
        self.offset += 1

    def skip(self, first):
        self.skipped = first
        self.offset = first


def record(number):
    return encode_batch("a", [DaemonJoined(f"d{number}", number)])


def follow(platform, seconds=3.0, during=None):
    async def main():
        follower = Follower(platform)
        task = asyncio.create_task(follower.feed.run())
        if during is not None:
            await during(follower)
        await asyncio.sleep(seconds)
        task.cancel()
        return follower

    return run(main())


def filled(count):
    log = MemoryLog()
    for number in range(count):
        log.append("s", record(number))
    return log


def test_the_log_is_read_to_its_end_and_confirmed():
    follower = follow(MemoryPlatform(filled(1200)))
    assert follower.offset == 1201
    assert follower.confirmed


def test_records_heard_during_a_read_do_not_look_like_a_shorter_log():
    log = filled(3)

    class Slow(MemoryPlatform):
        async def read(self, stream, start, limit):
            page = await super().read(stream, start, limit)
            await asyncio.sleep(0.5)
            return page

    async def during(follower):
        await asyncio.sleep(0.1)
        records = [record(number) for number in range(6)]
        for data in records[3:]:
            log.append("s", data)
        follower.feed.hear_records(LogRecords("s", 1, records))

    follower = follow(Slow(log), during=during)
    assert (follower.stream.stopped, follower.offset) == ("", 7)


def test_a_log_that_became_shorter_stops_the_reader():
    class Shorter(MemoryPlatform):
        async def read(self, stream, start, limit):
            page = await super().read(stream, start, limit)
            return LogPage(1, 1, [], 2) if start > 2 else page

    follower = follow(Shorter(filled(3)))
    assert "log ends at 2" in follower.stream.stopped


def test_trimmed_records_are_skipped_and_a_damaged_one_stops_the_reader():
    log = filled(5)
    log.trim("s", 4)
    follower = follow(MemoryPlatform(log))
    assert (follower.skipped, follower.offset) == (4, 6)
    log.append("s", b"\xffdamaged")
    log.append("s", record(9))
    follower = follow(MemoryPlatform(log))
    assert follower.offset == 6
    assert "damaged" in follower.stream.stopped


def test_a_gap_is_asked_for_and_a_lagging_peer_is_served():
    async def main():
        follower = Follower(MemoryPlatform(filled(0)))
        follower.feed.hear_records(LogRecords("s", 3, [record(3)]))
        assert follower.offset == 1
        follower.feed.hear_records(LogRecords("s", 1, [record(1), record(2)]))
        follower.feed.hear_fetch(LogFetch("b", "s", 2))
        follower.feed.hear_fetch(LogFetch("b", "s", 0))
        return follower

    follower = run(main())
    assert follower.offset == 3
    pages = [(msg.start, len(msg.records)) for _, msg in follower.sent]
    assert pages == [(2, 1), (0, 0)]
