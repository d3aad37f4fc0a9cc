"""Queue of timed events that stands for the clock of an event loop."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """Callbacks in the order of their times.

    Attributes
    ----------
    now : float
        Time in seconds of the event that is processed.
    """

    def __init__(self, now: float = 1.0) -> None:
        self.now = now
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def at(self, delay: float, action: Callable, *args: object) -> None:
        """Call ``action`` in ``delay`` seconds."""
        event = (self.now + delay, next(self._numbers), action, args)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Process the events of the next ``seconds``."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until
