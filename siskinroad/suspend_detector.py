"""Detection of machine suspension, during which the loop's clock stands still."""

from __future__ import annotations

import time

__all__ = ["SuspendDetector"]

# Seconds by which the two clocks may drift apart without a suspension; a smaller value
# would report drift as one.
CLOCK_TOLERANCE_S = 0.2


class SuspendDetector:
    """Detector that compares a clock that suspension stops with one that runs on."""

    def __init__(self) -> None:
        self._offset = self._read_offset()

    def _read_offset(self) -> float:
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot - time.clock_gettime(time.CLOCK_MONOTONIC)

    def take_suspended_s(self) -> float:
        """Return the seconds of suspension since the last call, 0 if there was none."""
        offset = self._read_offset()
        suspended_s = offset - self._offset
        self._offset = offset
        return suspended_s if suspended_s > CLOCK_TOLERANCE_S else 0.0
