"""Replay of a burst beside one account that sends far too much; see `BurstLoad`.

The real planner and pool state run on a paused clock, on the same arrivals: as they
are, and untouched, by priority, lateness and target time and without making room.
"""

import functools
from collections import Counter

import pytest

from bench.burst_load import BurstLoad
from siskinroad.work.making_room import RoomMaker
from siskinroad.work.waiting_order import WaitingOrder

SEED = 1
# Seconds until every batch is done.
REPLAY_S = 100.0
# Worth of a late job as a part of that of one in time.
LATE_WORTH = 0.2


class FormerOrder(WaitingOrder):
    """Order by priority, lateness and target time, as without client accounts.

    It is replayed without stops for urgent steps, which are made with accounts only.
    """

    def _rank_with_accounts(self, steps, now, wall, cpu_milli):
        return self._rank_by_target_time(steps, now, wall)


class NoRoomMaker(RoomMaker):
    """Maker of room that stops nothing."""

    def make_room(self, planning_pass):
        return []


@functools.cache
def replay(*, is_untouched):
    """Return the load after its replay."""
    load = BurstLoad(seed=SEED)
    if is_untouched:
        load.planner.waiting_order = FormerOrder(load.pool_state)
        load.planner.room_maker = NoRoomMaker(load.pool_state)
    load.run(REPLAY_S)
    return load


def count_owed(load):
    """Return the owed jobs by queue and result."""
    results = Counter()
    for (queue, owed, result), count in load.count_results().items():
        if owed == "owed":
            results[queue, result] += count
    return results


def count_both():
    """Return the owed jobs by queue and result, untouched and as it is."""
    untouched = replay(is_untouched=True)
    return count_owed(untouched), count_owed(replay(is_untouched=False))


def compute_worth(results, queue):
    """Return what callers got of a queue, as a part of what was owed to them."""
    total = sum(n for (name, _), n in results.items() if name == queue)
    worth = results[queue, "in time"] + LATE_WORTH * results[queue, "late"]
    return worth / total


def compute_part_in_time(load, begin, end):
    """Return the part of the owed urgent jobs of a period that are done in time."""
    results = [
        load.find_result(job.id)
        for job in load.pool_state.jobs.values()
        if job.queue == "urgent"
        and load.owed[job.id]
        and begin <= job.accepted_at < end
    ]
    return results.count("in time") / len(results)


def test_at_most_half_as_many_urgent_jobs_are_late_in_a_burst_beside_one_account():
    untouched, results = count_both()
    assert untouched["urgent", "late"] >= 10, untouched
    assert results["urgent", "late"] <= untouched["urgent", "late"] / 2, results


def test_no_more_urgent_jobs_are_never_done_in_a_burst_beside_one_account():
    untouched, results = count_both()
    assert results["urgent", "never"] <= untouched["urgent", "never"], results


@pytest.mark.parametrize("queue", ["urgent", "batch"])
def test_no_class_loses_a_tenth_of_its_worth_by_the_order(queue):
    untouched, results = count_both()
    worth, former_worth = (compute_worth(each, queue) for each in (results, untouched))
    assert worth >= 0.90 * former_worth, (results, untouched)


def test_urgent_jobs_are_in_time_as_before_from_two_seconds_after_a_burst():
    load = replay(is_untouched=False)
    burst = load.burst
    end = burst.begin_s + burst.burst_s
    before = compute_part_in_time(load, 0.0, burst.begin_s)
    after = compute_part_in_time(load, end + 2.0, burst.end_s)
    assert after >= before
