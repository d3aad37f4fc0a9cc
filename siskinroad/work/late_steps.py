"""Turns of large steps that can no longer meet their target time.

Small tasks in time fill every gap before a late large task fits, for as long as the
load lasts. So one late step at a time gets a turn, in which it is planned before all
others and one host is withheld for it. Turns are short and have a pause between them,
so that late work costs the steps in time a small part of the pool only.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from siskinroad.work.job import StepRun

__all__ = ["LateStepTurns"]

# Seconds for which a late large step waits before it may get a turn.
MIN_WAIT_S = 15.0
# Longest turn in seconds. A withheld host gets free once its runs have ended.
LONGEST_TURN_S = 10.0
# Seconds between the end of a turn and the next one.
PAUSE_S = 10.0

log = logging.getLogger("siskinroad.late_steps")


@dataclass(slots=True)
class LateStepTurns:
    """Choice of the late step that has its turn."""

    _step: StepRun | None = None
    _began_at: float = 0.0
    _ended_at: float = -1e9

    def choose(self, late_steps: Iterable[StepRun], now: float) -> StepRun | None:
        """Return the step that has its turn, or None.

        Parameters
        ----------
        late_steps : iterable of StepRun
            Large steps that cannot meet their target time and wait for hosts.
        """
        waiting = [s for s in late_steps if now - s.waiting_since >= MIN_WAIT_S]
        if self._step is not None:
            if self._step in waiting and now - self._began_at < LONGEST_TURN_S:
                return self._step
            self._step = None
            self._ended_at = now
        if not waiting or now - self._ended_at < PAUSE_S:
            return None
        # A step that was not placed in its turn stands behind the others.
        self._step = min(waiting, key=lambda s: (s.late_turn_at, s.waiting_since))
        self._step.late_turn_at = self._began_at = now
        log.info(
            "late_steps: late large step gets its turn; it is planned first",
            extra={
                "request": self._step.job.id,
                "step": f"{self._step.occurrence}.{self._step.number}",
                "waited_s": round(now - self._step.waiting_since, 2),
                "waiting": self._step.waiting_count,
                "late_steps": len(waiting),
            },
        )
        return self._step
