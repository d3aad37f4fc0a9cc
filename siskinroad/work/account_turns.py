"""Turns of an account's large steps beside its smaller ones, in one pool.

Load pattern: an account that is at its limit has small tasks all the time, and a step
whose first start takes most of the limit. Whatever ends, small tasks take what it
leaves, so that the large step would never start. For the time of its turn the other
steps of its account start nothing in its pool, and other pools lend what they have.

A turn in which use does not fall far enough is followed by a pause of the same length,
and the next one is twice as long: runs that last for good take no more than half of the
time from the smaller steps.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from siskinroad.resources import Resources

__all__ = ["LargeStep", "LargeStepTurns", "is_large"]

# Seconds for which a large step is held back before its turn, if its account uses half
# of its limit or more.
WAIT_S = 1.0
# Length in seconds of the first turn, and of the longest one.
TURN_S = 4.0
LONGEST_TURN_S = 64.0
# Seconds after which a turn ends in which the account uses under half of its limit, or
# the limit allows the step to start: it waits for something else. The pause after such
# a turn, in seconds.
LOW_TURN_S = 2.0
LOW_PAUSE_S = 1.0

StepKey = tuple[str, int, int]

log = logging.getLogger("siskinroad.account_turns")


@dataclass(slots=True, frozen=True)
class LargeStep:
    """A waiting step whose first start takes much of its account's limit.

    Attributes
    ----------
    key : tuple
        Job id, occurrence number and step number.
    accepted_at : float
        Time of its job's acceptance; the oldest step has the first turn.
    need : Resources
        Need of one task, or of all members of a gang.
    waiting_count : int
        Number of its tasks that wait.
    is_held_back : bool
        Whether the limit allows none of them to start.
    """

    key: StepKey
    accepted_at: float
    need: Resources
    waiting_count: int
    is_held_back: bool


@dataclass(slots=True)
class _Turn:
    """The present or next turn of an account's large steps.

    Attributes
    ----------
    step : LargeStep or None
        The step whose turn it is; None during a pause.
    seen_at : float
        Loop time at which that step was chosen.
    began_at, low_since : float or None
        Loop time since which its turn lasts, and since which use is low in it or the
        limit allows the step to start.
    length_s : float
        Length of the turn if use stays high.
    paused_until : float
        Loop time before which no turn begins.
    tried : set of tuple
        Steps that have had a turn in vain since all had one.
    """

    step: LargeStep | None = None
    seen_at: float = 0.0
    began_at: float | None = None
    low_since: float | None = None
    length_s: float = TURN_S
    paused_until: float = -1e9
    tried: set[StepKey] = field(default_factory=set)

    def end(self, now: float, pause_s: float) -> None:
        """End the turn; no other one begins during the pause."""
        self.step = None
        self.began_at = self.low_since = None
        self.paused_until = now + pause_s


class LargeStepTurns:
    """Whose turn it is, for each account of one pool."""

    def __init__(self) -> None:
        self._turns: dict[str, _Turn] = {}

    def keep(self, accounts: set[str]) -> None:
        """Forget all accounts but those that have large steps."""
        for account in self._turns.keys() - accounts:
            del self._turns[account]

    def choose(
        self, account: str, steps: list[LargeStep], now: float, *, is_low: bool
    ) -> LargeStep | None:
        """Return the step whose turn it is, if any.

        Parameters
        ----------
        steps : list of LargeStep
            All waiting large steps of the account.
        now : float
            Loop time in seconds.
        is_low : bool
            Whether the account uses under half of its limit in all pools.
        """
        turn = self._turns.setdefault(account, _Turn())
        self._follow(account, turn, steps, now)
        if now < turn.paused_until:
            return None
        if turn.step is None:
            turn.step = _find_oldest(steps, turn.tried)
            turn.seen_at = now
        if turn.step is None:
            return None
        if turn.began_at is None:
            if not is_low and now - turn.seen_at < WAIT_S:
                return None
            turn.began_at = now
            _log_turn("begins", account, turn.step, turn, now)
        if not is_low and turn.step.is_held_back:
            turn.low_since = None
        elif turn.low_since is None:
            turn.low_since = now
        if self._is_over(account, turn, now):
            return None
        return turn.step

    def _follow(
        self, account: str, turn: _Turn, steps: list[LargeStep], now: float
    ) -> None:
        """Bring the chosen step up to date; its turn is over once a task starts."""
        if turn.step is None:
            return
        former = turn.step
        found = [step for step in steps if step.key == former.key]
        turn.step = found[0] if found else None
        if turn.step is not None and turn.step.waiting_count >= former.waiting_count:
            return
        if turn.began_at is not None:
            _log_turn("ends: nothing waits, or a start", account, former, turn, now)
            turn.tried.clear()
            turn.length_s = TURN_S
            turn.end(now, TURN_S)
        turn.step = None

    def _is_over(self, account: str, turn: _Turn, now: float) -> bool:
        """End a turn that was in vain; return whether it was."""
        assert turn.step is not None and turn.began_at is not None
        is_long = now - turn.began_at >= turn.length_s
        is_idle = turn.low_since is not None and now - turn.low_since >= LOW_TURN_S
        if not is_long and not is_idle:
            return False
        _log_turn("ends in vain", account, turn.step, turn, now)
        turn.tried.add(turn.step.key)
        if is_idle:
            turn.end(now, LOW_PAUSE_S)
        else:
            turn.end(now, turn.length_s)
            turn.length_s = min(2 * turn.length_s, LONGEST_TURN_S)
        return True


def is_large(need: Resources, share: Resources) -> bool:
    """Return whether a start takes more than half of a pool's equal share."""
    return (
        2 * need.cpu_milli > share.cpu_milli
        or 2 * need.memory_mib > share.memory_mib
        or 2 * need.accelerators > share.accelerators
    )


def _find_oldest(steps: list[LargeStep], tried: set[StepKey]) -> LargeStep | None:
    """Return the oldest step that is held back; those tried in vain come last."""
    held_back = [step for step in steps if step.is_held_back]
    untried = [step for step in held_back if step.key not in tried]
    if not untried:
        tried.clear()
    return min(
        untried or held_back,
        key=lambda step: (step.accepted_at, step.key),
        default=None,
    )


def _log_turn(
    what: str, account: str, step: LargeStep, turn: _Turn, now: float
) -> None:
    job, occurrence, number = step.key
    log.info(
        "account_turns: turn of a large step %s",
        what,
        extra={
            "request": job,
            "occurrence": occurrence,
            "step": number,
            "account": account,
            "waiting": step.waiting_count,
            "waited_s": round(now - turn.seen_at, 2),
            "length_s": turn.length_s,
            "is_low": turn.low_since is not None,
        },
    )
