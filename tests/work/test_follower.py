"""Following a topic through trimmed records and stale replies, on a paused clock."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.follower import Follower
from siskinroad.work.progress import OwnershipLostError
from siskinroad.work.store import NewestPage, ReadResult, Record, TrimmedError
from siskinroad.work.store_memory import MemoryLogs, MemoryStore


class StaleStore(MemoryStore):
    """A store that answers as it was ``behind`` records ago."""

    behind = 0
    calls = 0

    async def read(self, topic, start, *, wait, timeout=1.0):
        self.calls += 1
        if not self.behind:
            return await super().read(topic, start, wait=wait, timeout=timeout)
        end = self.logs.topic(topic).end - self.behind
        if start > end:
            return ReadResult(start, (), end)
        raise TrimmedError(end)

    async def newest(self, topic, after="", *, timeout=1.0):
        page = await super().newest(topic, after, timeout=timeout)
        return NewestPage(page.items, page.more, page.end - self.behind)


async def start_follower(store, seen, seconds):
    follower = Follower(
        store, "t", lambda items, is_snapshot: seen.extend(item.key for item in items)
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(seconds)
    return follower, task


def test_records_are_applied_once_each_in_order():
    async def scenario():
        store, seen = MemoryStore(MemoryLogs()), []
        await store.append("t", [Record("a", b"1"), Record("b", b"1")])
        _, task = await start_follower(store, seen, 1.0)
        await store.append("t", [Record("c", b"1")])
        await asyncio.sleep(1.0)
        assert seen == ["a", "b", "c"]
        task.cancel()

    run_on_paused_clock(scenario())


def test_stale_replies_neither_rewind_follower_nor_cause_busy_loop():
    async def scenario():
        store, seen = StaleStore(MemoryLogs()), []
        await store.append("t", [Record(k, b"1") for k in "abc"])
        follower, task = await start_follower(store, seen, 1.0)
        store.behind, store.calls = 2, 0
        await asyncio.sleep(3.0)
        assert follower.next_offset == 3 and seen == ["a", "b", "c"]
        assert store.calls < 15
        store.behind = 0
        await store.append("t", [Record("d", b"1")])
        await asyncio.sleep(2.0)
        assert seen[-1] == "d"
        task.cancel()

    run_on_paused_clock(scenario())


def test_follower_reads_newest_of_each_key_after_trim():
    async def scenario():
        logs = MemoryLogs()
        store, seen = MemoryStore(logs, "x"), []
        await store.append("t", [Record("a", b"1")])
        _, task = await start_follower(store, seen, 1.0)
        logs.faults.cut.add("x")
        await asyncio.sleep(2.5)
        logs.append("t", [Record("a", b"2"), Record("b", b"1")], None, None)
        logs.trim("t")
        logs.faults.cut.clear()
        await asyncio.sleep(3.0)
        assert seen[1:] == ["a", "b"]
        task.cancel()

    run_on_paused_clock(scenario())


def test_error_from_apply_ends_follower():
    # An owner that read a later claim treated the error as a fault of the store, read
    # on, and was allowed to act again at its next tick.
    async def scenario():
        store = MemoryStore(MemoryLogs())
        await store.append("t", [Record("a", b"1")])

        def refuse(items, is_snapshot):
            raise OwnershipLostError("a later claim", step="test")

        follower = Follower(store, "t", refuse)
        with pytest.raises(OwnershipLostError):
            await follower.run()
        assert follower.confirmed_at < 0

    run_on_paused_clock(scenario())


def test_restart_read_reads_at_once_and_loses_no_record():
    async def scenario():
        logs = MemoryLogs()
        store, seen = MemoryStore(logs, "me"), []
        follower, task = await start_follower(store, seen, 0.5)
        logs.faults.no_read_replies.add("me")
        await asyncio.sleep(1.2)
        logs.faults.no_read_replies.clear()
        logs.append("t", [Record("a", b"1")], None, None)
        follower.restart_read()
        await asyncio.sleep(0.05)
        assert seen == ["a"]
        task.cancel()
        follower.restart_read()

    run_on_paused_clock(scenario())


def test_restart_read_leaves_a_read_whose_answer_is_arriving():
    """Begun again, a large answer on a small link would never be whole."""

    class ArrivingStore(MemoryStore):
        calls = 0

        def is_arriving(self, topic=None):
            return topic == "t"

        async def read(self, topic, start, *, wait, timeout=1.0):
            self.calls += 1
            await asyncio.sleep(5.0)
            return await super().read(topic, start, wait=0.0, timeout=timeout)

    async def scenario():
        store, seen = ArrivingStore(MemoryLogs()), []
        follower, task = await start_follower(store, seen, 1.0)
        await store.append("t", [Record("a", b"1")])
        follower.restart_read()
        await asyncio.sleep(4.5)
        assert seen == ["a"]
        task.cancel()

    run_on_paused_clock(scenario())


def test_a_follower_that_is_far_behind_reads_page_by_page_without_a_pause():
    """A page is part of the records; only the read up to the end confirms."""

    class PagedStore(MemoryStore):
        waits = ()

        async def read(self, topic, start, *, wait, timeout=1.0):
            self.waits += (wait,)
            result = await super().read(topic, start, wait=wait, timeout=timeout)
            return ReadResult(start, result.records[:10], result.end)

    async def scenario():
        store, seen, confirmed = PagedStore(MemoryLogs()), [], []
        follower = Follower(
            store,
            "t",
            lambda items, is_snapshot: seen.extend(item.key for item in items),
            wait=5.0,
            read_pause=0.5,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        began = asyncio.get_running_loop().time()
        follower.on_confirmed = lambda at: confirmed.append((at >= began, len(seen)))
        keys = [str(number) for number in range(95)]
        store.waits = ()
        await store.append("t", [Record(key, b"1") for key in keys])
        await asyncio.sleep(1.0)
        assert seen == keys
        assert all(count == 95 for is_new, count in confirmed if is_new)
        assert confirmed[-1] == (True, 95)
        assert store.waits.count(0.0) >= 9
        task.cancel()

    run_on_paused_clock(scenario())


def test_empty_pages_before_the_end_cause_no_busy_loop():
    class EmptyStore(MemoryStore):
        calls = 0

        async def read(self, topic, start, *, wait, timeout=1.0):
            self.calls += 1
            await asyncio.sleep(0.001)
            return ReadResult(start, (), start + 1)

    async def scenario():
        store = EmptyStore(MemoryLogs())
        began = asyncio.get_running_loop().time()
        follower, task = await start_follower(store, [], 2.0)
        assert store.calls < 25
        assert follower.confirmed_at == began
        task.cancel()

    run_on_paused_clock(scenario())
