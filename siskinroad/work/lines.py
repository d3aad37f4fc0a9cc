"""Questions to the advisor, dealt over the lines of all living daemons.

The advisor answers one call at a time for each calling daemon. Loads that this
answers: short questions of urgent steps beside long ones of gangs (a third of the
daemons, by name, takes the short ones, so that none waits behind a long one while
there are two daemons); a take-over, after which every waiting step is asked about
anew (an owner asks no more than the lines soon take, in order of urgency, so that a
step that comes later is not behind all others).
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from siskinroad.errors import OutcomeUnknownError, SiskinroadError
from siskinroad.work.advice import Advised, Advisor
from siskinroad.work.calls import Calls
from siskinroad.work.messages import AdviceReply, AdviceRequest

__all__ = ["AdviceLines", "LineTimes"]

# Expected seconds from which a question counts as long.
LONG_CALL = 0.08
# Times its expected duration, and seconds besides, that an answer may take. A call
# that is given up still keeps its line busy, so this is generous.
PATIENCE_FACTOR = 3.0
PATIENCE = 1.5
# Daemons for each one that takes short questions: these use little of a line.
SHORT_LINES = 3
# Seconds of questions that may wait on a line for another to be sent there: plans
# are made five times a second at least.
QUEUE_TIME = 0.25

log = logging.getLogger("siskinroad.lines")


class LineTimes:
    """When the lines are free, while one plan deals questions to them.

    Parameters
    ----------
    short, long : list of float
        Seconds until each line for short and for long questions is free.
    """

    __slots__ = ("_long", "_short")

    def __init__(self, short: list[float], long: list[float]) -> None:
        self._short = short
        self._long = long

    def take(self, duration: float) -> bool:
        """Take a line for a question, if one is free soon."""
        lines = self._long if duration >= LONG_CALL else self._short
        if not lines:
            return True
        first = min(range(len(lines)), key=lines.__getitem__)
        if lines[first] > QUEUE_TIME:
            return False
        lines[first] = max(0.0, lines[first]) + duration
        return True


class AdviceLines:
    """Deals questions over the daemons' lines.

    Parameters
    ----------
    node : str
        This daemon's name.
    alive : callable
        Returns the other living daemons.
    """

    def __init__(
        self, node: str, advisor: Advisor, calls: Calls, alive: Callable[[], list[str]]
    ) -> None:
        self._node = node
        self._advisor = advisor
        self._calls = calls
        self._alive = alive
        self._free_at: dict[str, float] = {}
        self._own_free_at = 0.0
        # Every owner has another order of lines, so that not all take the first.
        self._rng = random.Random(node)

    def backlog(self, now: float) -> float:
        """Return the seconds of calls that wait on this daemon's own line."""
        return max(0.0, self._own_free_at - now)

    def heard(self, line: str, backlog: float, now: float) -> None:
        """Take in how much waits on another daemon's line, for any owner."""
        self._free_at[line] = max(self._free_at.get(line, 0.0), now + backlog)

    async def ask(
        self, step: tuple[str, int, int], hosts: tuple[str, ...], duration: float
    ) -> Advised:
        """Ask on the line that should answer first.

        Raises
        ------
        SiskinroadError
            No answer; asking again is safe.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        line = self._choose(duration, now)
        start = max(now, self._free_at.get(line, 0.0))
        self._free_at[line] = start + duration
        timeout = start - now + duration * PATIENCE_FACTOR + PATIENCE
        try:
            advised = await self._ask_on(line, step, hosts, duration, timeout)
        except SiskinroadError as exc:
            # Others take the next question while this line recovers.
            self._free_at[line] = loop.time() + timeout
            log.warning(
                "lines: no advice",
                extra={"request": step[0], "line": line, "error": str(exc)},
            )
            raise
        log.info(
            "lines: advised",
            extra={
                "request": step[0],
                "line": line,
                "asked": len(hosts),
                "allowed": len(advised.tickets),
                "took_s": round(loop.time() - now, 3),
                "expected_s": round(duration, 3),
            },
        )
        return advised

    def times(self, now: float) -> LineTimes:
        """Return when the lines are free, for one plan."""
        short, long = self._split()
        return LineTimes(
            [self._free_at.get(n, 0.0) - now for n in short],
            [self._free_at.get(n, 0.0) - now for n in long],
        )

    def _split(self) -> tuple[list[str], list[str]]:
        """Return the lines for short and for long questions."""
        names = sorted([self._node, *self._alive()])
        short = names[::SHORT_LINES]
        return short, [name for name in names if name not in short] or names

    def _choose(self, duration: float, now: float) -> str:
        short, long = self._split()
        lines = long if duration >= LONG_CALL else short
        self._rng.shuffle(lines)
        return min(lines, key=lambda n: max(now, self._free_at.get(n, 0.0)))

    async def _ask_on(
        self,
        line: str,
        step: tuple[str, int, int],
        hosts: tuple[str, ...],
        duration: float,
        time: float,
    ) -> Advised:
        job, occurrence, number = step
        if line == self._node:
            return await self._call(job, occurrence, number, hosts, duration, time)
        reply = await self._calls.ask(
            line,
            lambda n: AdviceRequest(n, job, occurrence, number, hosts, duration, time),
            AdviceReply,
            time,
        )
        if not reply.valid:
            raise OutcomeUnknownError("no advice there", step="lines", peer=line)
        return Advised(reply.tickets, reply.valid)

    async def _call(
        self,
        job: str,
        occurrence: int,
        step: int,
        hosts: tuple[str, ...],
        duration: float,
        timeout: float,
    ) -> Advised:
        """Call the advisor on the own line, and keep count of what waits there."""
        now = asyncio.get_running_loop().time()
        self._own_free_at = max(self._own_free_at, now) + duration
        return await self._advisor.advise(job, occurrence, step, list(hosts), timeout)

    async def answer(self, msg: AdviceRequest) -> AdviceReply:
        """Ask on this daemon's own line for another daemon."""
        try:
            advised = await self._call(
                msg.job,
                msg.occurrence,
                msg.step,
                msg.hosts,
                msg.duration,
                msg.timeout,
            )
        except SiskinroadError as exc:
            log.warning(
                "lines: no advice for a peer",
                extra={"request": msg.job, "error": str(exc)},
            )
            return AdviceReply(msg.id, {}, 0.0)
        return AdviceReply(msg.id, advised.tickets, advised.valid)
