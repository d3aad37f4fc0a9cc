"""Tests of the division of an account's limit between the owners of two pools."""

import random

import pytest

from siskinroad.resources import Resources
from tests.work.account_world import World

LIMIT = Resources(20, 0, 8, 0)


@pytest.mark.parametrize("seed", range(200))
def test_starts_in_both_pools_never_exceed_the_limit(seed):
    """Whatever is lost, late or repeated, and whoever dies, takes over or lags."""
    world = World(random.Random(seed), LIMIT)
    world.run(1500)
    assert world.starts > 20
