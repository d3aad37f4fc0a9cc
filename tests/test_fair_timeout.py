"""Fair timeouts on a loop that is on time, and on one that is late."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.fair_timeout import FairTimeout, FairTimer


def test_expires_at_its_limit_if_the_loop_is_on_time():
    async def scenario():
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(TimeoutError):
            async with FairTimeout(0.5):
                await asyncio.sleep(9.0)
        assert loop.time() - began == pytest.approx(0.5)

    run_on_paused_clock(scenario())


def test_a_reply_that_is_read_in_the_turn_of_the_expiry_is_kept():
    # The loop stands still over the arrival of the reply and the end of the limit.
    async def scenario():
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        loop.call_later(0.2, reply.set_result, "reply")
        loop.call_later(0.1, lambda: setattr(loop._clock_selector, "now", 1002.0))
        async with FairTimeout(0.5):
            assert await reply == "reply"

    run_on_paused_clock(scenario())


def test_cancellation_from_outside_is_not_turned_into_a_timeout():
    async def scenario():
        async def wait():
            async with FairTimeout(0.5):
                await asyncio.sleep(9.0)

        task = asyncio.get_running_loop().create_task(wait())
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_on_paused_clock(scenario())


def test_nothing_expires_after_the_block_has_ended():
    async def scenario():
        async with FairTimeout(0.5):
            await asyncio.sleep(0.4)
        await asyncio.sleep(1.0)

    run_on_paused_clock(scenario())


def test_a_timer_of_a_late_loop_can_be_cancelled_by_what_the_loop_reads():
    async def scenario():
        loop = asyncio.get_running_loop()
        calls = []
        timer = FairTimer(0.5, lambda: calls.append("late"))
        loop.call_later(0.2, lambda: loop.call_soon(timer.cancel))
        loop._clock_selector.now += 1.0
        await asyncio.sleep(1.0)
        assert not calls
        FairTimer(0.5, lambda: calls.append("on time"))
        await asyncio.sleep(0.6)
        assert calls == ["on time"]

    run_on_paused_clock(scenario())
