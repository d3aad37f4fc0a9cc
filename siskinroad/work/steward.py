"""Looks after what runs: tasks that stand still, and fillers beside servers.

Loads that this answers: hosts on which work stops moving while their calls are
answered well; hosts that fall silent or slow under short urgent tasks (where copies
are allowed, another one begins elsewhere without waiting for certainty); hosts that
leave before their work ends (it begins anew elsewhere at once, not when the leases
of a host that is gone have lapsed); fillers that raise the tail of the tasks that
serve beside them.
"""

from __future__ import annotations

import logging

from siskinroad.work.book import Book
from siskinroad.work.effects import Effect, PaceRun
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun
from siskinroad.work.model import Timing
from siskinroad.work.speed import seeming_time

__all__ = ["Steward"]

# Seconds without progress after which a run counts as standing still, and the
# least percent that a run of the declared length moves in that time.
STALL_TIME = 2.5
# Runs that stand still on a host at the same time until it gets no new work.
STALLED_RUNS = 2
# Seconds for which a host that fails or stalls its work rests.
REST_TIME = 6.0
# Times slower than others that a host is when it counts as slow: more than hosts
# differ by kind, less than a degraded one is slowed.
SLOW_RATIO = 3.0
# Seconds for which a slow host gets no work after it was last seen to be slow.
SLOW_REST = 2.0
# Part of the hosts that may rest: beyond it the load is to blame, not the hosts.
MAX_RESTING_PART = 0.4
# A task is moved only where that ends it clearly sooner, and only so often;
# advice and the start elsewhere take a while.
MOVE_FACTOR = 1.3
MOVE_TIME = 0.3
MOST_MOVES = 3
# Seconds without a report, after a call has failed, and without progress, after
# which a task is copied where that is allowed.
COPY_SILENCE = 0.7
COPY_STALL = 1.0
# Times its expected time that a copied run takes, and times as long as a new run
# that it still needs.
COPY_RATIO = 3.0
COPY_GAIN = 1.5
# Seconds before a draining host leaves at which a checkpointed task is moved, and
# seconds after it for which others are left there: hosts mostly stay a bit longer.
# Tasks that last are at work until then, and are away for as long at any time.
LEAVE_MARGIN = 0.3
LEAVE_HOPE = 1.0
# Parts of a tail's bound above which fillers are slowed, and below which they
# may work faster again.
SLOW_ABOVE = 0.75
FASTER_BELOW = 0.5
SLOWER_FACTOR = 0.5
FASTER_STEP = 10
# Seconds that a change of pace needs to show in the tail: the hosts' figure is
# that of the last half second.
PACE_SETTLE = 0.6

log = logging.getLogger("siskinroad.steward")


class Steward:
    """Watches the runs of a book."""

    def __init__(self, book: Book, timing: Timing) -> None:
        self.book = book
        self.timing = timing
        self._paced_at: dict[str, float] = {}
        self._rest_until: dict[str, float] = {}

    def look(self, now: float, wall: float) -> list[Effect]:
        """Return what is to be done about runs that stall or disturb."""
        effects: list[Effect] = []
        for host in list(self.book.hosts.values()):
            self._copy(host, now)
            effects += self._stalled(host, now)
            effects += self._slow(host, now)
            effects += self._leaving(host, now)
            effects += self._pace(host, now)
            self._wake(host, now)
        return effects

    def _copy(self, host: Host, now: float) -> None:
        """Copy tasks that would end sooner elsewhere, where copies are allowed."""
        for run in list(host.runs.values()):
            step = self.book.step(run.key[0])
            if run.state != "running" or step is None or not step.spec.copies:
                continue
            why = self._why_copy(host, run, now)
            if why:
                self.book.copy(host, run, why, now)

    def _why_copy(self, host: Host, run: Run, now: float) -> str:
        """Return why a run is not waited for; empty if it is."""
        if host.failing and now - host.reported_at > COPY_SILENCE:
            return "host is silent"
        expected = self.book.speeds.expected(run.queue, run.declared)
        ratio = self.book.speeds.ratio(run)
        if expected is None:
            return ""
        moved = now - run.moved_at if run.moved_at else 0.0
        if run.progress < 100 and moved > max(COPY_STALL, 2 * expected / 100):
            return "stands still"
        left = self.book.speeds.remaining(run, now)
        slow = ratio is not None and ratio > COPY_RATIO
        return "slow" if slow and left > COPY_GAIN * expected else ""

    def _stalled(self, host: Host, now: float) -> list[Effect]:
        """Stop what stands still, so that it can go on elsewhere."""
        if now - host.heard_at > STALL_TIME:
            return []
        still = [run for run in host.runs.values() if self._stands_still(run, now)]
        effects: list[Effect] = []
        for run in still:
            task = self.book.task(run.key[0])
            if task is not None:
                task.avoid[host.name] = now
            effects += self.book.stop(host, run, "stands still")
        if len(still) >= STALLED_RUNS:
            self._rest(host, now, REST_TIME, "stalls")
        return effects

    def _stands_still(self, run: Run, now: float) -> bool:
        if run.state != "running" or run.progress >= 100 or run.filler:
            return False
        return bool(run.moved_at) and now - run.moved_at > STALL_TIME

    def _rest(self, host: Host, now: float, seconds: float, why: str) -> None:
        resting = sum(1 for h in self.book.hosts.values() if h.resting)
        most = len(self.book.hosts) * MAX_RESTING_PART
        if not host.resting and resting + 1 > most:
            return
        if not host.resting:
            log.warning("steward: host rests", extra={"host": host.name, "why": why})
        host.resting = True
        self._rest_until[host.name] = now + seconds

    def _slow(self, host: Host, now: float) -> list[Effect]:
        """Keep work off a slow host, and move what would end sooner elsewhere."""
        slowness = self.book.speeds.slowness(host)
        if slowness < SLOW_RATIO or now - host.heard_at > STALL_TIME:
            return []
        self._rest(host, now, SLOW_REST, f"slower {slowness:.1f} times")
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            if self._sooner_elsewhere(run, slowness, now):
                effects += self.book.stop(host, run, "sooner elsewhere")
        return effects

    def _sooner_elsewhere(self, run: Run, slowness: float, now: float) -> bool:
        """Return whether a task would end sooner if it began anew elsewhere."""
        step = self.book.step(run.key[0])
        if run.state != "running" or step is None or step.spec.gang:
            return False
        if step.spec.filler or step.spec.long_running or run.key[1] > MOST_MOVES:
            return False
        total = seeming_time(run)
        if total is None:
            return False
        anew = total / slowness + self.timing.stop_grace + MOVE_TIME
        return total - (now - run.begun_at) > MOVE_FACTOR * anew

    def _leaving(self, host: Host, now: float) -> list[Effect]:
        """Stop what will not end before a draining host leaves."""
        if not host.entry.draining:
            return []
        left = max(0.0, host.leaves_at - now)
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            step = self.book.step(run.key[0])
            if run.state != "running" or step is None:
                continue
            if self._outlasts(run, step, left, now):
                effects += self.book.stop(host, run, "host leaves")
        return effects

    def _outlasts(self, run: Run, step: StepRun, left: float, now: float) -> bool:
        """Return whether a run is better stopped than left on a leaving host."""
        if step.spec.long_running:
            return left <= self.timing.stop_grace + LEAVE_MARGIN
        most = left - LEAVE_MARGIN if step.spec.checkpoints else left + LEAVE_HOPE
        return self.book.speeds.remaining(run, now) > most

    def _wake(self, host: Host, now: float) -> None:
        if not host.resting:
            return
        until = self._rest_until.setdefault(host.name, now + REST_TIME)
        if now >= until:
            host.resting = False
            del self._rest_until[host.name]
            self.book.health.forget(host.name)
            log.info("steward: host is tried again", extra={"host": host.name})

    def _pace(self, host: Host, now: float) -> list[Effect]:
        """Slow fillers before a tail beside them reaches its bound."""
        fillers = [r for r in host.runs.values() if r.filler and r.state == "running"]
        if not fillers or now - self._paced_at.get(host.name, -1e9) < PACE_SETTLE:
            return []
        serving = [r for r in host.runs.values() if r.tail_limit]
        worst = max((run.usage / 1000 / run.tail_limit for run in serving), default=0.0)
        if worst > SLOW_ABOVE:
            wanted = [int(max(run.pace, 0) * SLOWER_FACTOR) for run in fillers]
        elif worst < FASTER_BELOW:
            wanted = [min(100, max(run.pace, 0) + FASTER_STEP) for run in fillers]
        else:
            return []
        effects: list[Effect] = []
        for run, percent in zip(fillers, wanted, strict=True):
            if percent != run.pace:
                run.pace = percent
                effects.append(PaceRun(host.name, run, percent))
        if effects:
            self._paced_at[host.name] = now
        return effects
