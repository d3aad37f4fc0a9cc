"""A daemon goes on after an unexpected error, a refused append or a cancelled call."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.errors import PlatformError
from siskinroad.owner import ShardOwner
from siskinroad.records import ClaimReleased

DAEMON = "east-1a"
SHARD = "booking/east-1/0"
# Seconds after which a daemon must have recovered from one fault.
RECOVERY_BOUND_S = 30.0


def make_world():
    return World(small_cell(west=0), [DAEMON])


def fail_once(monkeypatch, target, name, exc):
    """Let the first call of a method raise; later calls run it."""
    method = getattr(target, name)
    calls = []

    def failing(*args, **keys):
        calls.append(args)
        if len(calls) == 1:
            raise exc
        return method(*args, **keys)

    monkeypatch.setattr(target, name, failing)
    return calls


def test_a_takeover_that_fails_is_tried_again(monkeypatch):
    """Guard against a claim in the state taking, which nobody may replace."""

    async def main():
        calls = fail_once(
            monkeypatch, ShardOwner, "take_over", ValueError("unexpected")
        )
        world = make_world()
        await world.start_and_configure()
        await asyncio.sleep(RECOVERY_BOUND_S)
        assert len(calls) > 1
        assert (await world.send_request(DAEMON, "quote")).status == 200

    run_on_paused_clock(main())


def test_the_ownership_loop_continues_after_an_unexpected_error(monkeypatch):
    """Guard against a live daemon that neither claims nor releases any shard."""

    async def main():
        world = make_world()
        await world.start_all()
        shards = world.daemons[DAEMON].shards
        fail_once(monkeypatch, shards, "tick", ValueError("unexpected"))
        await asyncio.sleep(1.0)
        await world.apply_configuration()
        await asyncio.sleep(RECOVERY_BOUND_S)
        assert (await world.send_request(DAEMON, "quote")).status == 200

    run_on_paused_clock(main())


def test_a_release_that_the_appender_refuses_is_appended_again(monkeypatch):
    """Guard against a shard that its live holder has left and nobody may claim."""

    async def main():
        world = make_world()
        await world.start_and_configure()
        daemon = world.daemons[DAEMON]
        append = daemon.appender.append
        refused = []

        def append_or_refuse(record, timeout):
            if not isinstance(record, ClaimReleased) or refused:
                return append(record, timeout)
            refused.append(record)
            fut = asyncio.get_running_loop().create_future()
            fut.set_exception(PlatformError("too many pending", step="append"))
            return fut

        monkeypatch.setattr(daemon.appender, "append", append_or_refuse)
        daemon.ownership.draining = True
        await asyncio.sleep(RECOVERY_BOUND_S)
        assert refused
        assert daemon.ledger.claims[SHARD].released

    run_on_paused_clock(main())


def test_a_key_is_free_after_its_request_is_cancelled_before_it_is_sent():
    """Guard against a key that stays in progress although nothing was sent.

    The caller goes away while the intent is appended. The intent is stored later.
    """

    async def main():
        world = make_world()
        await world.start_and_configure()
        daemon = world.daemons[DAEMON]
        append = daemon.platform.append
        released = asyncio.Event()

        async def held_append(stream, data):
            await released.wait()
            return await append(stream, data)

        daemon.platform.append = held_append
        request = asyncio.create_task(world.send_request(DAEMON, "dispatch", b"x", "k"))
        await asyncio.sleep(0.5)
        request.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request
        released.set()
        await asyncio.sleep(RECOVERY_BOUND_S)
        answer = await world.send_request(DAEMON, "dispatch", b"x", "k")
        assert answer.status == 200

    run_on_paused_clock(main())


def test_an_owner_that_a_host_rejects_claims_the_shard_again():
    """Guard against an owner that a host calls superseded although nobody else claims.

    Such an owner places nothing, and its claim stays in force in the log.
    """

    async def main():
        world = World(small_cell(east=2, west=0, fencing=True), [DAEMON])
        await world.start_and_configure()
        daemon = world.daemons[DAEMON]
        memory_host = world.memory_hosts["e0"]
        memory_host.epoch = daemon.ownership.epoch(SHARD) + 1
        await asyncio.sleep(RECOVERY_BOUND_S)
        assert (await world.send_request(DAEMON, "quote")).status == 200

    run_on_paused_clock(main())
