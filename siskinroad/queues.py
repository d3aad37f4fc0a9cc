"""Queues of waiting work: one lane for each workload.

All items of a lane need the same resources, so a lane whose head does not fit is
blocked as a whole until capacity becomes free. Cancelling only marks an item, and
the lane drops it when it reaches the head, so that each of many cancellations takes
constant time.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from siskinroad.cell import Urgency, Workload

__all__ = ["AGING_TIME", "Item", "Lane", "WaitingWork"]

# Seconds of waiting after which background work ranks as standard work. Without
# this limit, constant standard work would starve it.
AGING_TIME = 300.0
# Seconds for which an item avoids a host on which it failed. With a smaller value, a
# faulty host fails the same item again; with a larger one, an item waits longer while
# its other hosts are full or out of use.
AVOID_TIME = 30.0
# Half-life of the measured rate of starts, in seconds.
RATE_HALF_LIFE = 10.0
# Fewest waiting items for which a waiting time is forecast. With fewer, the forecast
# would refuse items that could still start in time.
MIN_FORECAST_ITEMS = 8
# Lower bound of the observed fraction of the averaging window. Without it, a rate
# measured over a very short time would be scaled up without limit.
MIN_OBSERVED_FRACTION = 0.05


@dataclass(slots=True, eq=False)
class Item:
    """Request, batch task or gang that waits or runs.

    Attributes
    ----------
    key : str
        Unique name; the name of an attempt adds the number of the try.
    enqueued : float
        Loop time at which the item began to wait.
    deadline : float
        Loop time by which the item must have started; infinite if there is none.
    tries : int
        Attempts started so far.
    unsent : int
        Attempts among ``tries`` that never reached their host.
    state : str
        State of the ``attempt`` chart.
    avoid : dict of str to float
        Hosts on which the item failed, with the loop time until which it avoids them.
    payload : bytes
        Bytes passed to the host that runs the item.
    started : float
        Loop time of the last start.
    backoff_until : float
        Loop time at which the backoff after a failure ends; 0 outside of a backoff.
    waiting_since : float
        Loop time at which its present wait began, at first or after an attempt.
    """

    key: str
    workload: Workload
    enqueued: float
    deadline: float = math.inf
    tries: int = 0
    unsent: int = 0
    state: str = "waiting"
    avoid: dict[str, float] = field(default_factory=dict)
    payload: bytes = b""
    started: float = 0.0
    backoff_until: float = 0.0
    waiting_since: float = 0.0

    def __post_init__(self) -> None:
        self.waiting_since = self.enqueued

    def avoid_host(self, host: str, now: float) -> None:
        """Avoid a host on which the item failed for ``AVOID_TIME`` seconds."""
        self.avoid[host] = now + AVOID_TIME

    def avoided_hosts(self, now: float) -> set[str]:
        """Return the hosts that the item avoids at ``now``."""
        return {host for host, until in self.avoid.items() if now < until}


@dataclass(slots=True, eq=False)
class Lane:
    """Queue of the items of one workload, in order of arrival.

    Attributes
    ----------
    live : int
        Number of waiting items, without those already cancelled.
    is_blocked : bool
        Whether the head did not fit when it was last tried.
    rate : float
        Starts per second, decayed to ``rate_at``.
    rate_at : float
        Loop time of the last start.
    rate_since : float
        Loop time of the first start.
    tried_at : float or None
        Loop time at which its head was last tried.
    """

    workload: Workload
    items: deque[Item] = field(default_factory=deque)
    live: int = 0
    is_blocked: bool = False
    rate: float = 0.0
    rate_at: float = 0.0
    rate_since: float = 0.0
    tried_at: float | None = None

    def head(self) -> Item | None:
        """Return the first item that still waits."""
        items = self.items
        while items and items[0].state != "waiting":
            items.popleft()
        return items[0] if items else None

    def urgency(self, now: float) -> Urgency:
        """Return the current urgency class of the lane.

        A background lane whose head has waited longer than ``AGING_TIME`` ranks
        with the standard lanes, so that it is not starved.
        """
        declared = self.workload.urgency
        if declared is not Urgency.BACKGROUND:
            return declared
        head = self.head()
        is_aged = head is not None and now - head.enqueued > AGING_TIME
        return Urgency.STANDARD if is_aged else declared

    def count_start(self, now: float) -> None:
        """Add one start to the measured rate of starts."""
        if self.rate == 0.0:
            self.rate_since = now
        decay = 0.5 ** ((now - self.rate_at) / RATE_HALF_LIFE)
        self.rate = self.rate * decay + math.log(2) / RATE_HALF_LIFE
        self.rate_at = now

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a new item is expected to wait; 0 if unknown.

        With fewer than ``MIN_FORECAST_ITEMS`` waiting items there is no forecast. If
        starts have been observed for part of the averaging window only, their rate
        is scaled up to the whole window.
        """
        if self.live < MIN_FORECAST_ITEMS or not self.is_blocked:
            return 0.0
        decay = 0.5 ** ((now - self.rate_at) / RATE_HALF_LIFE)
        observed = 1.0 - 0.5 ** ((now - self.rate_since) / RATE_HALF_LIFE)
        rate = self.rate * decay / max(observed, MIN_OBSERVED_FRACTION)
        return self.live / rate if rate > 0 else 0.0


class WaitingWork:
    """Lanes of one shard and the deadlines of their items."""

    def __init__(self) -> None:
        self.lanes: dict[str, Lane] = {}
        self.active: dict[Urgency, dict[str, Lane]] = {
            urgency: {} for urgency in Urgency
        }
        self._deadlines: list[tuple[float, int, Item]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return sum(lane.live for lane in self.lanes.values())

    def lane(self, workload: Workload) -> Lane:
        """Return the lane of a workload."""
        lane = self.lanes.get(workload.name)
        if lane is None:
            lane = self.lanes[workload.name] = Lane(workload)
        return lane

    def push(self, item: Item, *, front: bool = False) -> Lane:
        """Queue an item, last in its lane or, with ``front``, first.

        Items that were checkpointed or never sent go to the front. An item whose
        workload has changed since it was made takes on that of its lane.
        """
        lane = self.lane(item.workload)
        item.workload = lane.workload
        if front:
            lane.items.appendleft(item)
        else:
            lane.items.append(item)
        lane.live += 1
        self.active[lane.workload.urgency][lane.workload.name] = lane
        if item.deadline < math.inf:
            self._sequence += 1
            heapq.heappush(self._deadlines, (item.deadline, self._sequence, item))
        return lane

    def pop_head(self, lane: Lane) -> Item:
        """Remove the head of a lane that is not empty, and return it."""
        item = lane.head()
        assert item is not None
        lane.items.popleft()
        self._count_removed(lane)
        return item

    def stop_counting(self, item: Item) -> None:
        """Stop counting an item whose state is no longer ``waiting``."""
        self._count_removed(self.lanes[item.workload.name])

    def _count_removed(self, lane: Lane) -> None:
        lane.live -= 1
        if lane.live == 0:
            lane.items.clear()
            lane.is_blocked = False
            self.active[lane.workload.urgency].pop(lane.workload.name, None)

    def expired(self, now: float) -> Iterator[Item]:
        """Yield the waiting items whose deadline has passed, removing them."""
        heap = self._deadlines
        while heap and heap[0][0] <= now:
            item = heapq.heappop(heap)[2]
            if item.state == "waiting" and item.deadline <= now:
                yield item

    def next_deadline(self) -> float:
        """Return the earliest deadline; infinite if there is none."""
        return self._deadlines[0][0] if self._deadlines else math.inf

    def replace_workload(self, workload: Workload) -> None:
        """Apply a changed workload to its waiting items."""
        lane = self.lanes.get(workload.name)
        if lane is None:
            return
        self.active[lane.workload.urgency].pop(workload.name, None)
        lane.workload = workload
        lane.is_blocked = False
        for item in lane.items:
            item.workload = workload
        if lane.live:
            self.active[workload.urgency][workload.name] = lane

    def first_unblocked(self, now: float) -> list[Lane]:
        """Return the unblocked lanes of the most urgent class that has some."""
        aged = [
            lane
            for lane in self.active[Urgency.BACKGROUND].values()
            if not lane.is_blocked and lane.urgency(now) is Urgency.STANDARD
        ]
        for urgency in Urgency:
            lanes = [x for x in self.active[urgency].values() if not x.is_blocked]
            if urgency is Urgency.STANDARD:
                lanes += aged
            if lanes:
                return lanes
        return []
