"""Stamps of one incarnation, of others and of the future; their precision and size."""

import random

import pytest

from bench.slopes import measure_message_sizes
from siskinroad.membership import Membership
from siskinroad.messages import Echo, Heartbeat, LogTail, decode, encode
from siskinroad.stamps import ORIGIN_S, TAG_COUNT, TICKS_PER_S, StampClock

# Unix time in milliseconds, as of an incarnation, and the loop time of its start.
STARTED_MS = 1_800_000_000_123
STARTED_AT = 4321.75


def test_a_stamp_of_this_incarnation_is_read_as_its_loop_time():
    """Rounded down, since a later time would extend the lease of a claim."""
    rng = random.Random(1)
    for _ in range(2000):
        incarnation = STARTED_MS + rng.randrange(10**11)
        started_at = rng.uniform(0.0, 1e8)
        now = started_at + rng.choice([0.0, rng.random(), rng.uniform(0.0, 1e8)])
        clock = StampClock(incarnation, started_at)
        found = clock.read(clock.make(now), now)
        assert found is not None
        # A float of 1e8 s resolves 1.5e-8 s.
        assert now - 1 / TICKS_PER_S - 1e-7 <= found <= now + 1e-7


def test_stamps_rise_with_each_tick_and_survive_encoding():
    clock = StampClock(STARTED_MS, STARTED_AT)
    times = [STARTED_AT + tick / TICKS_PER_S for tick in range(5000)]
    stamps = [clock.make(time) for time in times]
    assert stamps == sorted(set(stamps))
    sent = [decode(encode(LogTail("s", 1, stamp))).stamp for stamp in stamps]
    assert [clock.read(stamp, times[-1]) for stamp in sent] == times


def test_a_stamp_of_an_earlier_incarnation_is_not_read():
    """Also if it is made with the last moment of the earlier one, however long it ran.

    The loop's clock starts again with the host, so it may show less than before.
    """
    earlier = StampClock(STARTED_MS - 86_400_000, 1e6)
    stamp = earlier.make(1e6 + 86_399.0)
    clock = StampClock(STARTED_MS, 10.0)
    for seconds in (0.0, 1.0, 86_399.0, 1e6, 1e8):
        assert clock.read(stamp, 10.0 + seconds) is None


def test_a_stamp_of_an_earlier_incarnation_is_not_read_after_the_clock_was_set_back():
    """It then lies among those of this incarnation; the tag tells them apart."""
    clock = StampClock(STARTED_MS, 10.0)
    for distance in range(1, TAG_COUNT):
        earlier = StampClock(STARTED_MS - distance, 1e6)
        assert clock.read(earlier.make(1e6 + 30.0), 100.0) is None


def test_a_stamp_of_the_future_is_not_read():
    clock = StampClock(STARTED_MS, STARTED_AT)
    now = STARTED_AT + 60.0
    stamp = clock.make(now + 1 / TICKS_PER_S)
    assert clock.read(stamp, now) is None
    assert clock.read(stamp, now + 1 / TICKS_PER_S) is not None


@pytest.mark.parametrize(
    "stamp", [float("nan"), float("inf"), float("-inf"), 0.0, 4350.0, -4350.0, 1e300]
)
def test_a_number_that_is_no_stamp_is_not_read(stamp):
    """A daemon of the former version returns loop times such as 4350 s."""
    clock = StampClock(STARTED_MS, STARTED_AT)
    assert clock.read(stamp, STARTED_AT + 1e8) is None


def test_a_daemon_of_the_former_version_takes_a_stamp_for_a_time_of_the_past():
    """It would take a time of its future for a confirmation of its claims."""
    for incarnation in (1, STARTED_MS, (ORIGIN_S - 1) * 1000):
        assert StampClock(incarnation, 0.0).make(0.5) < 0.0


def test_only_echoes_of_this_incarnation_confirm_in_its_loop_time():
    members = Membership("a", 2, 50.0)
    earlier = StampClock(1, 1e6).make(1e6 + 10.0)
    future = members.stamps.make(200.0)
    echoes = [(60.0, earlier), (61.0, future), (62.0, members.stamps.make(61.5))]
    echoes += [(63.0, earlier), (64.0, future), (65.0, members.stamps.make(61.0))]
    found = []
    for now, stamp in echoes:
        echo = Echo(stamp, [f"shard at {now}"])
        msg = Heartbeat("b", 1, now, echo, 1, False, True, None, [])
        members.record_heartbeat(msg, now)
        member = members.members["b"]
        found.append((member.echoed_at, *member.claimed_shards))
    none, own = (float("-inf"),), (61.5, "shard at 62.0")
    assert found == [none, none, own, own, own, own]


def test_heartbeats_and_tails_carry_no_incarnation_besides_the_stamp():
    """Sizes in bytes; their sum bounds the control bytes of a daemon."""
    size = measure_message_sizes()
    assert size["heartbeat"] == 120
    assert size["heartbeat that names the admitted"] == 176
    assert size["tail"] == 53
