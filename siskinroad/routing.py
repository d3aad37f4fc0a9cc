"""Routing of requests to shards: same data centre, then region, then any."""

from __future__ import annotations

import random
from dataclasses import dataclass

from siskinroad.cell import Locality, Workload

__all__ = ["Place", "ShardLoad", "choose_shard"]

# Network time of one hop, in seconds, by distance.
HOP_TIME = {Locality.DATA_CENTRE: 0.0, Locality.REGION: 0.001, Locality.ANYWHERE: 0.024}
# Seconds after which the load of a shard in the same data centre is ignored. A larger
# value sends requests to shards whose owner is gone.
STALE_AFTER_LOCAL = 3.0
# The same for shards in other data centres.
STALE_AFTER_REMOTE = 15.0
# Least expected wait, in seconds, of a shard without a free slot.
MIN_FULL_WAIT = 0.05


@dataclass(slots=True, frozen=True)
class Place:
    """Location: a data centre and its region."""

    data_centre: str
    region: str

    def distance(self, other: Place) -> Locality:
        """Return the distance to another place."""
        if self.data_centre == other.data_centre:
            return Locality.DATA_CENTRE
        if self.region == other.region:
            return Locality.REGION
        return Locality.ANYWHERE


@dataclass(slots=True)
class ShardLoad:
    """Load of a shard, as last reported by its owner.

    Attributes
    ----------
    free : int
        Free slots, each with capacity for one more request.
    waits : dict of str to float
        Expected waiting time in seconds by workload, where it is not zero.
    received_at : float
        Loop time at which the report arrived.
    """

    shard: str
    pool: str
    owner: str
    place: Place
    free: int
    waits: dict[str, float]
    received_at: float


def choose_shard(
    workload: Workload,
    loads: list[ShardLoad],
    here: Place,
    tried: set[str],
    now: float,
    rng: random.Random,
) -> ShardLoad | None:
    """Choose the shard for a request; return None if there is none.

    The cost of a shard is the sum of its expected waiting time, the time of the hop
    and, across regions, ``byte_cost``: the waiting time that the workload's owner
    accepts to avoid paying for the bytes. Among shards of equal cost, two are drawn
    at random and the one with more free slots is taken, so that daemons with the
    same reports do not all choose the same shard.
    """
    best: list[ShardLoad] = []
    best_cost = float("inf")
    for load in loads:
        distance = here.distance(load.place)
        if load.pool != workload.pool or distance > workload.locality:
            continue
        if load.shard in tried or _is_stale(load, distance, now):
            continue
        cost = _routing_cost(workload, load, distance)
        if cost < best_cost - 1e-9:
            best, best_cost = [load], cost
        elif cost <= best_cost + 1e-9:
            best.append(load)
    if len(best) <= 1:
        return best[0] if best else None
    first, second = rng.sample(best, 2)
    return first if first.free >= second.free else second


def _is_stale(load: ShardLoad, distance: Locality, now: float) -> bool:
    limit = (
        STALE_AFTER_LOCAL if distance is Locality.DATA_CENTRE else STALE_AFTER_REMOTE
    )
    return now - load.received_at > limit


def _routing_cost(workload: Workload, load: ShardLoad, distance: Locality) -> float:
    wait = load.waits.get(workload.name, 0.0)
    if load.free <= 0:
        wait = max(wait, MIN_FULL_WAIT)
    cost = wait + HOP_TIME[distance]
    if distance is Locality.ANYWHERE:
        cost += workload.byte_cost
    return cost
