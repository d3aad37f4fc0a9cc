"""Delays of the event loop, which distinguish a late daemon from a silent peer.

A daemon whose processor is saturated runs its timers and reads its sockets late. Its
timeouts then expire although the peer has replied in time, so every decision that
follows from silence logs the delay of the loop beside it.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

__all__ = ["LoopDelay"]

# Seconds of delay from which one is remembered; shorter ones explain no timeout.
MIN_REMEMBERED_DELAY_S = 0.05
# Seconds of delay from which a warning is logged, and the least interval between two.
WARN_DELAY_S = 0.25
WARN_INTERVAL_S = 1.0
# Number of delays that are remembered.
MAX_REMEMBERED_DELAYS = 64

log = logging.getLogger("siskinroad.loop_delay")


class LoopDelay:
    """Recent delays of the event loop.

    Parameters
    ----------
    observe : callable
        Receives each delay in seconds, for the metrics.
    """

    def __init__(self, observe: Callable[[float], None] = lambda delay_s: None) -> None:
        self._observe = observe
        self._delays: deque[tuple[float, float]] = deque(maxlen=MAX_REMEMBERED_DELAYS)
        self._warned_at = -1e9

    def record(self, due_at: float, now: float) -> None:
        """Record that a timer which was due at a loop time ran at ``now``."""
        delay_s = max(0.0, now - due_at)
        self._observe(delay_s)
        if delay_s >= MIN_REMEMBERED_DELAY_S:
            self._delays.append((now, delay_s))
        if delay_s >= WARN_DELAY_S and now - self._warned_at >= WARN_INTERVAL_S:
            self._warned_at = now
            log.warning(
                "loop_delay: event loop is late; peers may seem silent",
                extra={"delay_s": round(delay_s, 3)},
            )

    def largest_since(self, loop_time: float) -> float:
        """Return the largest delay in seconds recorded since a loop time, or 0."""
        delays = [delay_s for at, delay_s in self._delays if at >= loop_time]
        return max(delays, default=0.0)
