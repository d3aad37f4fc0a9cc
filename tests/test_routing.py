import random

import pytest

from bench.world import small_cell
from siskinroad.cell import Locality, parse_cell
from siskinroad.routing import Place, ShardLoad, choose_shard

HERE = Place("east-1", "east")
NEAR = Place("east-2", "east")
FAR = Place("west-1", "west")
QUOTE = parse_cell(small_cell()).workloads["quote"]


def shard_load(place, free=5, wait=0.0, received_at=100.0):
    name = f"booking/{place.data_centre}/0"
    return ShardLoad(name, "booking", "d", place, free, {"quote": wait}, received_at)


def choose_place(*loads, tried=(), workload=QUOTE):
    rng = random.Random(1)
    found = choose_shard(workload, list(loads), HERE, set(tried), 100.0, rng)
    return found.place if found else None


def test_data_centre_is_preferred_then_region_then_other_regions():
    assert choose_place(shard_load(FAR), shard_load(NEAR), shard_load(HERE)) == HERE
    assert (
        choose_place(shard_load(FAR), shard_load(NEAR), shard_load(HERE, 0, 9.0))
        == NEAR
    )
    assert choose_place(shard_load(FAR), shard_load(HERE, 0, 0.4)) == HERE
    assert choose_place(shard_load(FAR), shard_load(HERE, 0, 0.6)) == FAR
    assert (
        choose_place(shard_load(FAR), shard_load(HERE), tried=["booking/east-1/0"])
        == FAR
    )


def test_stale_loads_and_other_pools_are_ignored():
    assert choose_place(shard_load(HERE, received_at=96.9), shard_load(FAR)) == FAR
    assert choose_place(shard_load(FAR, received_at=84.0)) is None
    other = shard_load(HERE)
    other.pool = "render"
    assert choose_place(other) is None


@pytest.mark.parametrize(
    ("locality", "place"),
    [
        (Locality.DATA_CENTRE, None),
        (Locality.REGION, NEAR),
        (Locality.ANYWHERE, NEAR),
    ],
)
def test_a_request_stays_within_its_locality(locality, place):
    text = small_cell().replace(
        "idempotent = true", f'idempotent = true\nlocality = "{locality.name.lower()}"'
    )
    quote = parse_cell(text).workloads["quote"]
    assert choose_place(shard_load(NEAR), shard_load(FAR), workload=quote) == place


def test_freer_of_two_equal_shards_is_chosen():
    first, second = shard_load(HERE), shard_load(HERE)
    second.shard = "booking/east-1/1"
    rng = random.Random(1)
    found = [
        choose_shard(QUOTE, [first, second], HERE, set(), 100.0, rng).shard
        for _ in range(99)
    ]
    assert set(found) <= {first.shard, second.shard}
    second.free = 1
    assert choose_shard(QUOTE, [first, second], HERE, set(), 100.0, rng) is first
