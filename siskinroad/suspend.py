"""Tells when the machine was suspended: the loop's clock does not count that."""

from __future__ import annotations

import time

__all__ = ["SuspendWatch"]

# Seconds by which the two clocks may drift apart without a suspension.
TOLERANCE = 0.2


class SuspendWatch:
    """Compares the clock that stops during a suspension with one that does not."""

    def __init__(self) -> None:
        self._offset = self._read()

    def _read(self) -> float:
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot - time.clock_gettime(time.CLOCK_MONOTONIC)

    def suspended(self) -> float:
        """Return the seconds of suspension since the last call; usually 0."""
        offset = self._read()
        jump = offset - self._offset
        self._offset = offset
        return jump if jump > TOLERANCE else 0.0
