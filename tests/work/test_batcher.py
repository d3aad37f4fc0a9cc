"""Appends while the store is slow, silent or loses answers, on a paused clock."""

import asyncio

from bench.clock import run
from siskinroad.work.batcher import Batcher
from siskinroad.work.store import (
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
)


class RoughStore(Store):
    """Takes ``delay`` for an append; loses some answers, or all while silent.

    The partition works on one append after another for ``busy`` seconds each, also on
    those that nobody waits for any more, and rejects what would wait over two seconds.
    """

    def __init__(self, delay=0.004, busy=0.002):
        self.delay = delay
        self.busy = busy
        self.busy_until = 0.0
        self.silent = False
        self.lose_every = 0
        self.answered_at = -1e9
        self.stored = set()
        self.appends = 0

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        self.appends += 1
        lost = self.lose_every and self.appends % self.lose_every == 0
        now = asyncio.get_running_loop().time()
        queued = max(0.0, self.busy_until - now)
        if not self.silent:
            if queued > 2.0:
                raise StoreUnavailableError("busy", step="append")
            self.busy_until = now + queued + self.busy
            self.stored.update(record.key for record in records)
        delay = queued + self.busy + self.delay
        if self.silent or lost or delay > timeout:
            await asyncio.sleep(timeout)
            raise StoreUnknownError("no answer", step="append")
        await asyncio.sleep(delay)
        self.answered_at = asyncio.get_running_loop().time()
        return 0

    async def read(self, topic, start, *, wait, timeout=1.0):
        raise NotImplementedError

    async def newest(self, topic, after="", *, timeout=1.0):
        raise NotImplementedError


def make(store):
    return Batcher(store, "t", lambda: store.answered_at)


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


async def stream(batcher, count, spacing=0.05, start=0):
    """Submit so many jobs one after another, and return what became of each."""
    tasks = []
    for i in range(count):
        tasks.append(asyncio.create_task(submit(batcher, f"k{start + i}")))
        await asyncio.sleep(spacing)
    return await asyncio.gather(*tasks)


def test_in_an_outage_all_but_the_batch_on_its_way_is_refused_within_a_second():
    # Load: twenty submissions a second for three seconds while nothing is answered.
    async def play():
        store = RoughStore()
        batcher = make(store)
        await submit(batcher, "first")
        store.silent = True
        found = await stream(batcher, 60)
        outcomes = [outcome for outcome, _ in found]
        assert outcomes.count("unknown") == 1
        assert outcomes.count("refused") == 59
        assert max(took for outcome, took in found if outcome == "refused") <= 1.05
        assert not store.stored - {"first"}
        # Once an append has stuck for a second, callers are refused at once.
        assert max(took for _, took in found[25:50]) < 0.01

    run(play())


def test_submissions_are_taken_again_once_the_store_has_answered_anything():
    async def play():
        store = RoughStore()
        batcher = make(store)
        store.silent = True
        await stream(batcher, 30)
        store.silent = False
        assert (await submit(batcher, "early"))[0] == "refused"
        store.answered_at = asyncio.get_running_loop().time()
        assert (await submit(batcher, "late"))[0] == "stored"

    run(play())


def test_a_store_that_turns_slow_refuses_nobody_and_is_not_flooded():
    # Load: answers that take a hundred times their usual time from one on, and two
    # daemons that append to the same partition.
    async def play():
        store = RoughStore()
        daemons = [make(store) for _ in range(2)]
        await asyncio.gather(*[stream(d, 5) for d in daemons])
        store.delay, store.busy = 0.4, 0.2
        store.appends = 0
        found = await asyncio.gather(*[stream(d, 100, start=10) for d in daemons])
        for outcomes in found:
            assert {outcome for outcome, _ in outcomes} == {"stored"}
            assert max(took for _, took in outcomes) < 2.0
        # Nothing is repeated: each append takes 0.6 s at least.
        assert store.appends <= 2 * (5.5 / 0.6 + 1)

    run(play())


async def answer_others(store):
    """Answer other calls all the time."""
    while True:
        await asyncio.sleep(0.1)
        store.answered_at = asyncio.get_running_loop().time()


def test_lost_answers_of_a_store_that_answers_others_refuse_nobody():
    # Load: a third of the appends is done and not answered.
    async def play():
        store = RoughStore()
        store.lose_every = 3
        others = asyncio.create_task(answer_others(store))
        found = await stream(make(store), 60)
        others.cancel()
        assert {outcome for outcome, _ in found} == {"stored"}
        assert max(took for _, took in found) < 2.1

    run(play())


def test_one_stuck_partition_refuses_what_waits_though_others_answer():
    async def play():
        store = RoughStore()
        batcher = make(store)
        store.silent = True
        others = asyncio.create_task(answer_others(store))
        found = await stream(batcher, 40)
        others.cancel()
        assert max(took for outcome, took in found if outcome == "refused") <= 2.05
        assert [outcome for outcome, _ in found].count("unknown") <= 2

    run(play())
