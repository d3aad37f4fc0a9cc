"""Tests of the processors that are kept for urgent work."""

import pytest

from siskinroad.work.headroom import limit_to_usable


@pytest.mark.parametrize("waiting", [0.0, 40.0, 100.0, 400.0])
def test_waiting_tasks_that_can_use_all_of_it_keep_the_whole_headroom(waiting):
    assert limit_to_usable(100.0, waiting, usable=waiting) == 100.0


def test_headroom_beyond_the_waiting_tasks_is_kept_for_bursts_to_come():
    assert limit_to_usable(100.0, waiting=30.0, usable=0.0) == 70.0


def test_tasks_that_can_use_a_part_of_the_room_keep_no_more_than_that():
    assert limit_to_usable(100.0, waiting=400.0, usable=20.0) == 20.0
