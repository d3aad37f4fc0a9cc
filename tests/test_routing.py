import random

import pytest

from bench.world import small_cell
from siskinroad.cell import Locality, parse_cell
from siskinroad.routing import Place, ShardLoad, choose

HERE = Place("east-1", "east")
NEXT = Place("east-2", "east")
FAR = Place("west-1", "west")
WORK = parse_cell(small_cell()).workloads["quote"]


def load(place, free=5, wait=0.0, heard=100.0):
    name = f"booking/{place.data_centre}/0"
    return ShardLoad(name, "booking", "d", place, free, {"quote": wait}, heard)


def pick(*loads, tried=(), workload=WORK):
    rng = random.Random(1)
    found = choose(workload, list(loads), HERE, set(tried), 100.0, rng)
    return found.place if found else None


def test_home_goes_first_then_the_region_then_abroad():
    assert pick(load(FAR), load(NEXT), load(HERE)) == HERE
    assert pick(load(FAR), load(NEXT), load(HERE, 0, 9.0)) == NEXT
    assert pick(load(FAR), load(HERE, 0, 0.4)) == HERE
    assert pick(load(FAR), load(HERE, 0, 0.6)) == FAR
    assert pick(load(FAR), load(HERE), tried=["booking/east-1/0"]) == FAR


def test_old_news_and_other_pools_are_not_used():
    assert pick(load(HERE, heard=96.9), load(FAR)) == FAR
    assert pick(load(FAR, heard=84.0)) is None
    other = load(HERE)
    other.pool = "render"
    assert pick(other) is None


@pytest.mark.parametrize(
    ("locality", "place"),
    [(Locality.DATA_CENTRE, None), (Locality.REGION, NEXT), (Locality.ANYWHERE, NEXT)],
)
def test_a_request_stays_within_its_locality(locality, place):
    text = small_cell().replace(
        "idempotent = true", f'idempotent = true\nlocality = "{locality.name.lower()}"'
    )
    work = parse_cell(text).workloads["quote"]
    assert pick(load(NEXT), load(FAR), workload=work) == place


def test_equal_shards_share_the_load():
    first, second = load(HERE), load(HERE)
    second.shard = "booking/east-1/1"
    rng = random.Random(1)
    found = [
        choose(WORK, [first, second], HERE, set(), 100.0, rng).shard for _ in range(99)
    ]
    assert set(found) <= {first.shard, second.shard}
    second.free = 1
    assert choose(WORK, [first, second], HERE, set(), 100.0, rng) is first
