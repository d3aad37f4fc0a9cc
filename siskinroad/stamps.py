"""Stamps: times of a daemon's clock that its peers return to it."""

from __future__ import annotations

import math

__all__ = ["StampClock"]

# Parts of a second that a stamp resolves. Heartbeats of one daemon within one of them
# count as one; a larger value leaves fewer bits of a float for the tag.
TICKS_PER_S = 1 << 12
# Number of different tags. With more of them a float of 53 bits would not hold seconds
# up to ``ORIGIN_S``, ticks and tag exactly.
TAG_COUNT = 1 << 9
# Unix time in seconds, in the year 2106, at which stamps reach 0. Until then they are
# negative, so that they lie before any loop time.
ORIGIN_S = 1 << 32


class StampClock:
    """Maker and reader of the stamps of one incarnation of a daemon.

    A stamp is the calendar time of the incarnation's start plus the loop time since, in
    seconds before ``ORIGIN_S``, with a tag of the incarnation below the last tick. So
    it differs from the stamps of an earlier incarnation, whose loop time may have shown
    more than this one's, and the tag differs even where the calendar clock was set back
    in between, unless the incarnations are equal modulo ``TAG_COUNT``.

    Peers return a stamp as they got it, so that those of the former version may run
    beside this one: they echo these stamps, and their own, which are loop times, are
    returned to them. A daemon of the former version that replaces one of this version
    takes the stamps of this one for times before its start.

    Parameters
    ----------
    incarnation : int
        The daemon's incarnation: Unix time of its start in milliseconds. Only the tag
        depends on it if it is another rising number.
    started_at : float
        Loop time of the start, in seconds.
    """

    def __init__(self, incarnation: int, started_at: float) -> None:
        self._started_at = started_at
        self._start_ticks = incarnation * TICKS_PER_S // 1000
        self._tag = incarnation % TAG_COUNT / TAG_COUNT

    def make(self, now: float) -> float:
        """Return the stamp for a loop time, rounded down to a tick."""
        ticks = self._start_ticks + math.floor((now - self._started_at) * TICKS_PER_S)
        return (ticks + self._tag) / TICKS_PER_S - ORIGIN_S

    def read(self, stamp: float, now: float) -> float | None:
        """Return the loop time of a stamp that this incarnation made until ``now``.

        Return None for any other: one of an earlier incarnation or one of the future.
        """
        if not self.make(self._started_at) <= stamp <= self.make(now):
            return None
        ticks, tag = divmod((stamp + ORIGIN_S) * TICKS_PER_S, 1)
        if tag != self._tag:
            return None
        return self._started_at + (ticks - self._start_ticks) / TICKS_PER_S
