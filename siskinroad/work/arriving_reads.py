"""Reads of the store whose answers are arriving.

On a small link the answer to a read takes longer than its time limit allows. Given up
and begun again, it would never arrive, and keep the link from everything else.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from siskinroad.http_arrival import ResponseArrival

__all__ = ["ArrivingReads"]

# Seconds after which a read is given up though its answer is arriving.
READ_TIME_LIMIT = 15.0
# Seconds without further bytes after which an answer counts as standing still.
STILL_AFTER = 0.4


class ArrivingReads:
    """The open reads of one daemon by topic, with the progress of their answers.

    Attributes
    ----------
    on_received : callable
        Called when bytes of an answer have arrived.
    """

    def __init__(self) -> None:
        self.on_received: Callable[[], None] = lambda: None
        self._by_topic: dict[str, set[ResponseArrival]] = {}

    @contextmanager
    def track(self, topic: str, pause_limit: float) -> Iterator[ResponseArrival]:
        """Track the read that the body makes.

        Parameters
        ----------
        pause_limit : float
            Seconds without further bytes after which the answer is given up.
        """
        arrival = ResponseArrival(
            pause_limit, READ_TIME_LIMIT, on_received=lambda: self.on_received()
        )
        arrivals = self._by_topic.setdefault(topic, set())
        arrivals.add(arrival)
        try:
            yield arrival
        finally:
            arrivals.discard(arrival)

    def is_arriving(self, topic: str | None = None) -> bool:
        """Return whether the answer to a read of a topic, or of any, is arriving."""
        topics = self._by_topic if topic is None else (topic,)
        return any(
            _is_arriving(arrival)
            for each in topics
            for arrival in self._by_topic.get(each, ())
        )


def _is_arriving(arrival: ResponseArrival) -> bool:
    now = asyncio.get_running_loop().time()
    return now - arrival.received_at <= STILL_AFTER
