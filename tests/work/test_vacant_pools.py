"""Pools whose owner is lost together with many other daemons of a large cell."""

import asyncio
import random

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.members import Members, rank_node
from siskinroad.work.messages import Heartbeat
from siskinroad.work.vacant_pools import VacantPools, has_much_larger
from tests.work.cell import POOL, Cell

DATA_CENTRES = ("dc1", "dc2", "dc3")
LARGE = 2.15
SMALL = 0.516
# Of each data centre, so many daemons are large; the others are small.
LARGE_COUNT = 4
# Seconds from the loss of an owner without a trace to the next one, where larger
# daemons than the next one may be lost as well.
TAKEN_OVER_S = 2.5


def run_cell(scenario, size, seed):
    async def run_and_close():
        cell = Cell(seed=seed)
        cell.network.faults.jitter = 0.05
        try:
            for number in range(size):
                processor = LARGE if number < 3 * LARGE_COUNT else SMALL
                cell.start(f"n{number}", processor, DATA_CENTRES[number % 3])
                await asyncio.sleep(0.02)
            await cell.wait_for_owner()
            await asyncio.sleep(4.0)
            assert cell.daemons[cell.owner()].processor == LARGE
            await scenario(cell)
        finally:
            await cell.close()

    run_on_paused_clock(run_and_close())


def list_aggregators(cell):
    return {
        node
        for daemon in cell.daemons.values()
        for node in daemon.membership.routes.aggregators or ()
    }


def choose_lost(cell, rng):
    """Return half of the daemons: the owner, aggregators, and the next ones to claim.

    The large ones that are left would all wait for one that is lost.
    """
    owner = cell.owner()
    aggregators = list_aggregators(cell) - {owner}
    large = [name for name, each in cell.daemons.items() if each.processor == LARGE]
    in_order = sorted(set(large) - {owner}, key=lambda name: rank_node(POOL, name))
    kept = [name for name in in_order if name not in aggregators][-2:]
    small = sorted(set(cell.daemons) - set(large) - aggregators)
    rng.shuffle(small)
    lost = [owner, *sorted(aggregators), *in_order, *small]
    chosen = [name for name in dict.fromkeys(lost) if name not in kept]
    return set(chosen[: len(cell.daemons) // 2])


async def lose_power(cell, lost):
    """Let daemons lose power; return the next owner and the seconds until it owns."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.gather(*(cell.kill(name, loses_power=True) for name in lost))
    while cell.owner() is None:
        await asyncio.sleep(0.01)
        assert loop.time() - began < 10.0
    return cell.daemons[cell.owner()], loop.time() - began


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("size", [16, 38])
def test_a_large_daemon_is_next_though_half_of_all_are_lost_with_the_owner(size, seed):
    # Aggregators are lost too, so that daemons are not heard of for a while.
    async def scenario(cell):
        owner, took_s = await lose_power(cell, choose_lost(cell, random.Random(seed)))
        assert owner.processor == LARGE
        assert took_s < TAKEN_OVER_S
        # None that did not hear of it claims the pool again.
        await asyncio.sleep(3.0)
        assert POOL in owner.owners

    run_cell(scenario, size, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("size", [16, 38])
def test_a_small_daemon_takes_the_pool_soon_if_all_large_ones_are_lost(size, seed):
    async def scenario(cell):
        large = [name for name, d in cell.daemons.items() if d.processor == LARGE]
        owner, took_s = await lose_power(cell, large)
        assert owner.processor == SMALL
        assert took_s < TAKEN_OVER_S
        await asyncio.sleep(3.0)
        assert POOL in owner.owners

    run_cell(scenario, size, seed)


# Decisions


def heartbeat(node, processor=LARGE, **fields):
    values = {"owned": (), "store_age": 0.1, "is_leaving": False, "can_claim": True}
    return Heartbeat(node, 1, **values | fields, processor=processor)


def make_members(*heard, at=10.0):
    members = Members("a", 1, pool_sizes={POOL: 50, "other": 400})
    for each in heard:
        members.record_heartbeat(each, at)
    return members


def test_a_daemon_waits_for_a_much_larger_one_that_could_claim_and_for_no_other():
    def waits(*heard, now=10.1, processor=SMALL):
        own = heartbeat("a", processor)
        return has_much_larger(make_members(*heard), POOL, own, now)

    assert waits(heartbeat("b"))
    assert waits(heartbeat("b"), now=13.9)
    assert not waits(heartbeat("b"), now=14.1)
    assert not waits(heartbeat("b"), processor=0.6 * LARGE)
    assert not waits(heartbeat("b"), processor=0.0)
    assert not waits(heartbeat("b", can_claim=False))
    assert not waits(heartbeat("b", is_leaving=True))
    assert not waits(heartbeat("b", store_age=3.0))
    # It owns so many hosts that it would have less for each.
    assert not waits(heartbeat("b", owned=(("other", 3),)))
    assert waits(heartbeat("b", 8 * LARGE, owned=(("other", 3),)))
    assert not waits(heartbeat("b", 8 * LARGE, owned=(("other", 3),)), now=10.8)


async def count_heartbeats(own, seconds, is_heard):
    """Return the number of heartbeats sent to all in a vacancy."""
    loop = asyncio.get_running_loop()
    members = make_members(heartbeat("b"), at=loop.time() - 0.1)
    sent = []
    vacant_pools = VacantPools(members, sent.append)
    since = loop.time()
    while loop.time() - since < seconds:
        if is_heard:
            members.record_heartbeat(heartbeat("b"), loop.time())
        vacant_pools.announce(own, since)
        await asyncio.sleep(0.01)
    return len(sent)


@pytest.mark.parametrize(
    "fields,sends",
    [
        ({}, True),
        ({"processor": 0.5 * LARGE}, True),
        ({"processor": SMALL}, False),
        ({"can_claim": False}, False),
        ({"store_age": 3.0}, False),
    ],
)
def test_only_daemons_that_may_be_the_best_claimant_send_heartbeats_to_all(
    fields, sends
):
    async def scenario():
        count = await count_heartbeats(heartbeat("a", **fields), 6.0, True)
        # Ten in the first 3 s, and then none.
        assert count in (range(9, 12) if sends else (0,))

    run_on_paused_clock(scenario())


def test_small_daemons_are_heard_once_no_large_one_was_heard_in_the_vacancy():
    # Each would claim the pool, and the last one own it.
    async def scenario():
        own = heartbeat("a", SMALL)
        assert await count_heartbeats(own, 0.5, False) == 0
        assert await count_heartbeats(own, 1.2, False) >= 2

    run_on_paused_clock(scenario())
