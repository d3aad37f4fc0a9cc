"""Where a request goes: home data centre, then region, then abroad."""

from __future__ import annotations

import random
from dataclasses import dataclass

from siskinroad.cell import Locality, Workload

__all__ = ["Place", "ShardLoad", "choose"]

HOP_TIME = {Locality.DATA_CENTRE: 0.0, Locality.REGION: 0.001, Locality.ANYWHERE: 0.024}
STALE_AFTER = 3.0
STALE_ABROAD = 15.0
SLOT_TIME = 0.05


@dataclass(slots=True, frozen=True)
class Place:
    """A data centre and its region."""

    data_centre: str
    region: str

    def distance(self, other: Place) -> Locality:
        """Return how far another place is."""
        if self.data_centre == other.data_centre:
            return Locality.DATA_CENTRE
        if self.region == other.region:
            return Locality.REGION
        return Locality.ANYWHERE


@dataclass(slots=True)
class ShardLoad:
    """What the owner of a shard last said of it.

    Attributes
    ----------
    free : int
        Slots with room for one more request.
    waits : dict of str to float
        Expected seconds of waiting by workload, where there is any.
    heard : float
        Loop time at which this arrived.
    """

    shard: str
    pool: str
    owner: str
    place: Place
    free: int
    waits: dict[str, float]
    heard: float


def choose(
    workload: Workload,
    loads: list[ShardLoad],
    here: Place,
    tried: set[str],
    now: float,
    rng: random.Random,
) -> ShardLoad | None:
    """Return the shard to which a request goes, or none.

    The cost of a shard is its expected waiting time, the time of the hop and,
    across regions, the waiting that the workload's owner deems worth the paid
    bytes. Among shards of equal cost the freer of two random ones is taken, so
    that daemons with the same news do not all choose the same shard.
    """
    best: list[ShardLoad] = []
    best_cost = float("inf")
    for load in loads:
        distance = here.distance(load.place)
        if load.pool != workload.pool or distance > workload.locality:
            continue
        if load.shard in tried or _stale(load, distance, now):
            continue
        cost = _cost(workload, load, distance)
        if cost < best_cost - 1e-9:
            best, best_cost = [load], cost
        elif cost <= best_cost + 1e-9:
            best.append(load)
    if len(best) <= 1:
        return best[0] if best else None
    first, second = rng.sample(best, 2)
    return first if first.free >= second.free else second


def _stale(load: ShardLoad, distance: Locality, now: float) -> bool:
    limit = STALE_AFTER if distance is Locality.DATA_CENTRE else STALE_ABROAD
    return now - load.heard > limit


def _cost(workload: Workload, load: ShardLoad, distance: Locality) -> float:
    wait = load.waits.get(workload.name, 0.0)
    if load.free <= 0:
        wait = max(wait, SLOT_TIME)
    cost = wait + HOP_TIME[distance]
    if distance is Locality.ANYWHERE:
        cost += workload.byte_cost
    return cost
