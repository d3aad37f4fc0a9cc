"""The links that tests of slow daemons use."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.store import Record, StoreUnknownError
from siskinroad.work.store_memory import MemoryLogs
from tests.work.slow_links import (
    MESSAGE_BYTES,
    WINDOW_BYTES,
    Link,
    LinkedStore,
    SlowLinks,
)


async def wait_for_all(link, *transfers):
    loop = asyncio.get_running_loop()
    began = loop.time()
    times = []
    for transfer in transfers:
        transfer.arrived.add_done_callback(lambda _: times.append(loop.time() - began))
    await asyncio.gather(*(transfer.arrived for transfer in transfers))
    await asyncio.sleep(0)
    return times


def test_messages_of_a_connection_arrive_one_after_the_other():
    async def scenario():
        link = Link(1000.0)
        sizes = (1000 - MESSAGE_BYTES, 2000 - MESSAGE_BYTES)
        return await wait_for_all(link, *(link.carry("a", size) for size in sizes))

    assert run_on_paused_clock(scenario()) == pytest.approx([1.0, 3.0])


def test_a_short_message_waits_for_one_window_of_another_connection():
    async def scenario():
        link = Link(1_000_000.0)
        long, short = link.carry("a", 900_000), link.carry("b", 0)
        return await wait_for_all(link, long, short)

    first, last = run_on_paused_clock(scenario())
    assert first == pytest.approx((WINDOW_BYTES + MESSAGE_BYTES) / 1e6)
    assert last == pytest.approx((900_000 + 2 * MESSAGE_BYTES) / 1e6)


def test_the_answer_of_a_read_that_is_too_late_stops_taking_the_link():
    async def scenario():
        links = SlowLinks({"a": 40_000.0})
        logs = MemoryLogs(record_bytes=1_000_000)
        logs.append("topic", [Record("key", bytes(900_000))], None, None)
        store = LinkedStore(links, logs, "a")
        with pytest.raises(StoreUnknownError):
            await store.read("topic", 0, wait=0.0, timeout=1.0)
        await asyncio.sleep(10.0)
        return links.receiving("a").carried_bytes

    assert run_on_paused_clock(scenario()) <= 15.0 * 40_000 + 2 * WINDOW_BYTES
