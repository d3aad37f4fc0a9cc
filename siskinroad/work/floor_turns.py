"""Turns of steps that would otherwise wait for as long as room is short.

The load that it answers: a pool that is full for a long time, in which steps beyond
their account's rate, or of no use any more, stand behind all others. For each queue one
of them at a time is planned like a step in time. The pause after a turn grows with the
step's work, so that these turns take a small part of the pool, however large a step is.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinroad.work.job import StepRun

__all__ = ["FloorTurns"]

# Seconds for which a step waits before it may get a turn.
MIN_WAIT_S = 5.0
# Longest turn in seconds; a step that no host fits by then gives way to the next one.
LONGEST_TURN_S = 2.0
# Fraction of the pool's processors that the turns of one queue may take on average.
FLOOR_FRACTION = 0.02

log = logging.getLogger("siskinroad.floor_turns")


@dataclass(slots=True)
class _QueueTurn:
    """Turn of one queue: its step, if one has it, and when the next may begin."""

    step: StepRun | None = None
    began_at: float = 0.0
    next_at: float = -1e9


@dataclass(slots=True)
class FloorTurns:
    """Choice of the steps that have their turn, at most one of each queue."""

    _turns: dict[str, _QueueTurn] = field(default_factory=dict)

    def choose(
        self, delayed: Iterable[StepRun], now: float, cpu_milli: float
    ) -> set[tuple[str, int, int]]:
        """Return the keys of the steps that have their turn.

        Parameters
        ----------
        delayed : iterable of StepRun
            Steps that stand behind others.
        cpu_milli : float
            Thousandths of a processor of the hosts in use.
        """
        by_queue: dict[str, list[StepRun]] = {}
        for step in delayed:
            if now - step.ready_at >= MIN_WAIT_S:
                by_queue.setdefault(step.job.queue, []).append(step)
        for name in self._turns.keys() - by_queue.keys():
            self._turns[name].step = None
        chosen: set[tuple[str, int, int]] = set()
        for name, steps in by_queue.items():
            turn = self._turns.setdefault(name, _QueueTurn())
            self._renew(turn, steps, now, cpu_milli)
            if turn.step is not None:
                chosen.add(turn.step.key)
        return chosen

    def _renew(
        self, turn: _QueueTurn, steps: list[StepRun], now: float, cpu_milli: float
    ) -> None:
        """End a turn that is over, and begin the next one when it is due."""
        is_over = now - turn.began_at >= LONGEST_TURN_S
        if turn.step is not None and (is_over or turn.step not in steps):
            turn.step = None
        if turn.step is not None or now < turn.next_at:
            return
        step = min(steps, key=lambda s: (s.late_turn_at, s.ready_at))
        turn.step = step
        step.late_turn_at = turn.began_at = now
        work = step.need.cpu_milli * step.waiting_count * step.spec.estimate
        pause_s = work / max(1.0, FLOOR_FRACTION * cpu_milli)
        turn.next_at = now + max(LONGEST_TURN_S, pause_s)
        log.info(
            "floor_turns: step that stood behind others is planned as if in time",
            extra={
                "request": step.job.id,
                "account": step.job.account,
                "step": f"{step.occurrence}.{step.number}",
                "waited_s": round(now - step.ready_at, 2),
                "waiting": step.waiting_count,
                "delayed_steps": len(steps),
                "next_turn_s": round(turn.next_at - now, 2),
            },
        )
