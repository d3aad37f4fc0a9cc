"""Keyed requests run at most once, whatever the log does with their records."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.errors import Refusal
from siskinroad.records import KeyOutcome, decode_batch


def _last_outcome(world):
    """Return the data of the last append that holds the outcome of a key."""
    for data in reversed(world.log.streams["dc.east-1"].records):
        _, records = decode_batch(data)
        if any(isinstance(record, KeyOutcome) for record in records):
            return data
    raise AssertionError("no outcome in the log")


def test_a_late_copy_of_a_refusal_does_not_open_the_key_again():
    """An append without a reply may take effect after the append that repeats it."""

    async def main():
        world = World(small_cell(west=0), ["east-1a"])
        await world.start_and_configure()
        for memory_host in world.memory_hosts.values():
            memory_host.faults.down = True
        with pytest.raises(Refusal) as refused:
            await world.send_request("east-1a", "dispatch", b"x", "k", limit=2.0)
        assert refused.value.outcome == "not run"
        await asyncio.sleep(1.0)
        late_copy = _last_outcome(world)
        for memory_host in world.memory_hosts.values():
            memory_host.faults.down = False
        world.run_time_s["dispatch"] = 3.0
        await asyncio.sleep(20.0)
        first = asyncio.create_task(
            world.send_request("east-1a", "dispatch", b"x", "k")
        )
        await asyncio.sleep(1.0)
        world.log.append("dc.east-1", late_copy)
        await first
        await asyncio.sleep(2.0)
        await world.send_request("east-1a", "dispatch", b"x", "k")
        starts = [event for event in world.events if event.kind == "start"]
        assert len(starts) == 1

    run_on_paused_clock(main())
