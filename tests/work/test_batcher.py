"""Appends while the store is slow, silent or loses answers, on a paused clock."""

import asyncio

from bench.clock import run_on_paused_clock
from siskinroad.work.batcher import Batcher
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)


class FaultyStore(Store):
    """A store with slow appends that loses some answers, or all while ``is_silent``.

    Each answer takes ``delay`` seconds. The partition processes one append at a time
    for ``busy`` seconds each, including those whose client has stopped waiting, and
    rejects an append that would queue for over two seconds.
    """

    def __init__(self, delay=0.004, busy=0.002):
        self.delay = delay
        self.busy = busy
        self.busy_until = 0.0
        self.is_silent = False
        self.lose_every = 0
        self.last_answer_at = -1e9
        self.stored = set()
        self.appends = 0

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        self.appends += 1
        is_lost = self.lose_every and self.appends % self.lose_every == 0
        now = asyncio.get_running_loop().time()
        queued = max(0.0, self.busy_until - now)
        if not self.is_silent:
            if queued > 2.0:
                raise StoreUnavailableError("busy", step="append")
            self.busy_until = now + queued + self.busy
            self.stored.update(record.key for record in records)
        delay = queued + self.busy + self.delay
        if self.is_silent or is_lost or delay > timeout:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no answer", step="append")
        await asyncio.sleep(delay)
        self.last_answer_at = asyncio.get_running_loop().time()
        return 0

    async def read(self, topic, start, *, wait, timeout=1.0):
        raise NotImplementedError

    async def newest(self, topic, after="", *, timeout=1.0):
        raise NotImplementedError


def make_batcher(store):
    return Batcher(store, "t", lambda: store.last_answer_at)


async def submit(batcher, key, seconds=2.85):
    """Return the outcome of one submission and the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    outcome = "stored"
    try:
        await batcher.put(Record(key, b"x"), began + seconds)
    except StoreUnavailableError:
        outcome = "refused"
    except StoreUnknownError:
        outcome = "unknown"
    return outcome, loop.time() - began


async def submit_stream(batcher, count, spacing=0.05, start=0):
    """Submit records at an interval; return the outcome and time of each."""
    tasks = []
    for i in range(count):
        tasks.append(asyncio.create_task(submit(batcher, f"k{start + i}")))
        await asyncio.sleep(spacing)
    return await asyncio.gather(*tasks)


def test_outage_refuses_queued_records_within_a_second():
    # Twenty submissions a second arrive for three seconds while the store answers
    # nothing. Only the batch in flight may have an unknown outcome.
    async def scenario():
        store = FaultyStore()
        batcher = make_batcher(store)
        await submit(batcher, "first")
        store.is_silent = True
        results = await submit_stream(batcher, 60)
        outcomes = [outcome for outcome, _ in results]
        assert outcomes.count("unknown") == 1
        assert outcomes.count("refused") == 59
        assert (
            max(took_s for outcome, took_s in results if outcome == "refused") <= 1.05
        )
        assert not store.stored - {"first"}
        # Once an append has been stuck for a second, callers are refused at once.
        assert max(took_s for _, took_s in results[25:50]) < 0.01

    run_on_paused_clock(scenario())


def test_records_are_accepted_again_after_any_store_answer():
    async def scenario():
        store = FaultyStore()
        batcher = make_batcher(store)
        store.is_silent = True
        await submit_stream(batcher, 30)
        store.is_silent = False
        assert (await submit(batcher, "early"))[0] == "refused"
        store.last_answer_at = asyncio.get_running_loop().time()
        assert (await submit(batcher, "late"))[0] == "stored"

    run_on_paused_clock(scenario())


def test_slow_store_refuses_no_record_and_is_not_flooded():
    # Answers become a hundred times slower from one append to the next, while two
    # daemons append to the same partition.
    async def scenario():
        store = FaultyStore()
        batchers = [make_batcher(store) for _ in range(2)]
        await asyncio.gather(*[submit_stream(b, 5) for b in batchers])
        store.delay, store.busy = 0.4, 0.2
        store.appends = 0
        results = await asyncio.gather(
            *[submit_stream(b, 100, start=10) for b in batchers]
        )
        for outcomes in results:
            assert {outcome for outcome, _ in outcomes} == {"stored"}
            assert max(took_s for _, took_s in outcomes) < 2.0
        # No append is repeated: each takes at least 0.6 s.
        assert store.appends <= 2 * (5.5 / 0.6 + 1)

    run_on_paused_clock(scenario())


async def answer_other_calls(store):
    """Keep recording that the store has just answered another call."""
    while True:
        await asyncio.sleep(0.1)
        store.last_answer_at = asyncio.get_running_loop().time()


def test_lost_answers_refuse_no_record_while_store_answers_other_calls():
    # A third of the appends takes effect without an answer.
    async def scenario():
        store = FaultyStore()
        store.lose_every = 3
        others = asyncio.create_task(answer_other_calls(store))
        results = await submit_stream(make_batcher(store), 60)
        others.cancel()
        assert {outcome for outcome, _ in results} == {"stored"}
        assert max(took_s for _, took_s in results) < 2.1

    run_on_paused_clock(scenario())


def test_stuck_partition_refuses_queued_records_while_store_answers_other_calls():
    async def scenario():
        store = FaultyStore()
        batcher = make_batcher(store)
        store.is_silent = True
        others = asyncio.create_task(answer_other_calls(store))
        results = await submit_stream(batcher, 40)
        others.cancel()
        assert (
            max(took_s for outcome, took_s in results if outcome == "refused") <= 2.05
        )
        assert [outcome for outcome, _ in results].count("unknown") <= 2

    run_on_paused_clock(scenario())


class StoreReadLate(FaultyStore):
    """A store whose answers are read some turns of the loop after they arrive."""

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        await asyncio.sleep(self.delay)
        for _ in range(4):
            await asyncio.sleep(0)
        self.last_answer_at = asyncio.get_running_loop().time()
        self.stored.update(record.key for record in records)
        return 0


def test_a_late_loop_refuses_no_record_for_the_silence_of_the_store():
    # The loop stands still for longer than both limits, while an answer arrives.
    async def scenario():
        loop = asyncio.get_running_loop()
        store = StoreReadLate(delay=0.3)
        batcher = make_batcher(store)
        tasks = [asyncio.create_task(submit(batcher, "sent", 9.0))]
        await asyncio.sleep(0.05)
        tasks.append(asyncio.create_task(submit(batcher, "queued", 9.0)))
        await asyncio.sleep(0.05)
        loop._clock_selector.now += 3.0
        outcomes = [outcome for outcome, _ in await asyncio.gather(*tasks)]
        assert outcomes == ["stored", "stored"]

    run_on_paused_clock(scenario())
