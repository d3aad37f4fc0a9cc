"""Run monitor: acts on stalled, slow and silent hosts, and throttles best-effort tasks.

- Runs that make no progress on a host that still answers requests are stopped, so that
  they restart elsewhere.
- Tasks on a host that becomes silent or slow get a speculative copy on another host,
  where their step allows copies, before it is certain that the first run is lost.
- Runs that will not end before a draining host leaves are stopped and restart elsewhere
  at once, not only when the leases of the departed host have expired.
- Best-effort tasks are throttled before they push the response tail of the serving
  tasks beside them over its bound.
"""

from __future__ import annotations

import logging

from siskinroad.work.book import Book
from siskinroad.work.effects import Effect, PaceRun
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun
from siskinroad.work.model import Timing
from siskinroad.work.speed import extrapolate_total_s

__all__ = ["Steward"]

# Seconds without progress after which a run counts as stalled. A host that has not
# answered for this long is not judged: its listed progress is too old.
STALL_TIMEOUT_S = 2.5
# Number of runs stalled on one host at the same time that puts it in quarantine.
QUARANTINE_STALLED_RUNS = 2
# Seconds in quarantine of a host whose runs fail or stall.
QUARANTINE_S = 6.0
# Ratio of actual to expected run time from which a host counts as slow. A smaller value
# would catch hosts of a slower type, a larger one would miss degraded hosts.
SLOW_HOST_RATIO = 3.0
# Seconds in quarantine of a slow host after it was last measured as slow.
SLOW_QUARANTINE_S = 2.0
# Largest fraction of the hosts in quarantine at once: if more of them look bad, the
# cause is the load, not the hosts.
MAX_QUARANTINED_FRACTION = 0.4
# A task is moved off a slow host only if its remaining time is more than this multiple
# of a restart elsewhere; the overhead in seconds covers advice and the new start. Runs
# with a number above the last bound are not moved again.
MIN_MOVE_GAIN = 1.3
MOVE_OVERHEAD_S = 0.3
MAX_MOVABLE_RUN = 3
# Seconds without a report from a host whose last request failed, and least seconds
# without progress, after which a task gets a speculative copy where that is allowed.
COPY_SILENCE_S = 0.7
COPY_STALL_S = 1.0
# A slow run gets a speculative copy if its extrapolated time is above the first
# multiple of the expected time, and its remaining time above the second.
COPY_RATIO = 3.0
MIN_COPY_GAIN = 1.5
# A run with checkpoints is stopped unless it ends this many seconds before a draining
# host leaves; other runs may end this many seconds after it, because hosts mostly stay
# a little longer than announced. Long-running tasks are stopped only when the stop
# grace and the margin are left: they are away equally long whenever they move.
LEAVE_MARGIN_S = 0.3
LEAVE_OVERSTAY_S = 1.0
# Fractions of the bound on a response tail above which best-effort tasks are slowed
# down, and below which they may speed up again; the factor applied to their allowed
# speed, and the percentage points added to it.
THROTTLE_ABOVE = 0.75
UNTHROTTLE_BELOW = 0.5
THROTTLE_FACTOR = 0.5
UNTHROTTLE_STEP = 10
# Seconds between two changes of the throttle on a host. Hosts report the tail of the
# last half second: after a shorter wait, the figure still covers the old throttle.
THROTTLE_SETTLE_S = 0.6

log = logging.getLogger("siskinroad.steward")


class Steward:
    """Monitor of the runs on the hosts of one pool."""

    def __init__(self, book: Book, timing: Timing) -> None:
        self.book = book
        self.timing = timing
        self._throttled_at: dict[str, float] = {}
        self._quarantined_until: dict[str, float] = {}

    def look(self, now: float, wall: float) -> list[Effect]:
        """Check every host and return the commands that stop or throttle its runs."""
        effects: list[Effect] = []
        for host in list(self.book.hosts.values()):
            self._copy_late_tasks(host, now)
            effects += self._stop_stalled_runs(host, now)
            effects += self._move_off_slow_host(host, now)
            effects += self._stop_before_leave(host, now)
            effects += self._throttle_best_effort(host, now)
            self._end_quarantine(host, now)
        return effects

    def _copy_late_tasks(self, host: Host, now: float) -> None:
        """Request speculative copies of tasks whose runs are late or silent."""
        for run in list(host.runs.values()):
            step = self.book.step(run.key[0])
            if run.state != "running" or step is None or not step.spec.copies:
                continue
            reason = self._find_copy_reason(host, run, now)
            if reason:
                self.book.copy(host, run, reason, now)

    def _find_copy_reason(self, host: Host, run: Run, now: float) -> str:
        """Return why a run needs a speculative copy; empty if it needs none."""
        if host.failing and now - host.reported_at > COPY_SILENCE_S:
            return "host does not answer"
        expected = self.book.speeds.expected(run.queue, run.declared)
        ratio = self.book.speeds.ratio(run)
        if expected is None:
            return ""
        stalled_s = now - run.moved_at if run.moved_at else 0.0
        if run.progress < 100 and stalled_s > max(COPY_STALL_S, 2 * expected / 100):
            return "no progress"
        left_s = self.book.speeds.remaining(run, now)
        slow = ratio is not None and ratio > COPY_RATIO
        return "slow" if slow and left_s > MIN_COPY_GAIN * expected else ""

    def _stop_stalled_runs(self, host: Host, now: float) -> list[Effect]:
        """Stop stalled runs, so that their tasks restart elsewhere."""
        if now - host.heard_at > STALL_TIMEOUT_S:
            return []
        stalled = [run for run in host.runs.values() if self._is_stalled(run, now)]
        effects: list[Effect] = []
        for run in stalled:
            task = self.book.task(run.key[0])
            if task is not None:
                task.avoid[host.name] = now
            effects += self.book.stop(host, run, "no progress")
        if len(stalled) >= QUARANTINE_STALLED_RUNS:
            self._quarantine_host(host, now, QUARANTINE_S, "stalls")
        return effects

    def _is_stalled(self, run: Run, now: float) -> bool:
        if run.state != "running" or run.progress >= 100 or run.filler:
            return False
        return bool(run.moved_at) and now - run.moved_at > STALL_TIMEOUT_S

    def _quarantine_host(
        self, host: Host, now: float, seconds: float, reason: str
    ) -> None:
        resting = sum(1 for h in self.book.hosts.values() if h.resting)
        max_quarantined = len(self.book.hosts) * MAX_QUARANTINED_FRACTION
        if not host.resting and resting + 1 > max_quarantined:
            return
        if not host.resting:
            log.warning(
                "steward: host quarantined", extra={"host": host.name, "why": reason}
            )
        host.resting = True
        self._quarantined_until[host.name] = now + seconds

    def _move_off_slow_host(self, host: Host, now: float) -> list[Effect]:
        """Quarantine a slow host, and stop runs that would end sooner elsewhere."""
        slowness = self.book.speeds.slowness(host)
        if slowness < SLOW_HOST_RATIO or now - host.heard_at > STALL_TIMEOUT_S:
            return []
        self._quarantine_host(
            host, now, SLOW_QUARANTINE_S, f"{slowness:.1f} times slower than expected"
        )
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            if self._ends_sooner_elsewhere(run, slowness, now):
                effects += self.book.stop(host, run, "would end sooner elsewhere")
        return effects

    def _ends_sooner_elsewhere(self, run: Run, slowness: float, now: float) -> bool:
        """Return whether a task would end sooner if it restarted elsewhere."""
        step = self.book.step(run.key[0])
        if run.state != "running" or step is None or step.spec.gang:
            return False
        if step.spec.filler or step.spec.long_running or run.key[1] > MAX_MOVABLE_RUN:
            return False
        total_s = extrapolate_total_s(run)
        if total_s is None:
            return False
        restart_s = total_s / slowness + self.timing.stop_grace + MOVE_OVERHEAD_S
        return total_s - (now - run.begun_at) > MIN_MOVE_GAIN * restart_s

    def _stop_before_leave(self, host: Host, now: float) -> list[Effect]:
        """Stop the runs that will not end before a draining host leaves."""
        if not host.entry.draining:
            return []
        left_s = max(0.0, host.leaves_at - now)
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            step = self.book.step(run.key[0])
            if run.state != "running" or step is None:
                continue
            if self._should_stop_before_leave(run, step, left_s, now):
                effects += self.book.stop(host, run, "host leaves before the run ends")
        return effects

    def _should_stop_before_leave(
        self, run: Run, step: StepRun, left_s: float, now: float
    ) -> bool:
        """Return whether to stop a run when its host leaves in ``left_s`` seconds."""
        if step.spec.long_running:
            return left_s <= self.timing.stop_grace + LEAVE_MARGIN_S
        limit_s = (
            left_s - LEAVE_MARGIN_S
            if step.spec.checkpoints
            else left_s + LEAVE_OVERSTAY_S
        )
        return self.book.speeds.remaining(run, now) > limit_s

    def _end_quarantine(self, host: Host, now: float) -> None:
        if not host.resting:
            return
        until = self._quarantined_until.setdefault(host.name, now + QUARANTINE_S)
        if now >= until:
            host.resting = False
            del self._quarantined_until[host.name]
            self.book.health.remove_host(host.name)
            log.info("steward: host leaves quarantine", extra={"host": host.name})

    def _throttle_best_effort(self, host: Host, now: float) -> list[Effect]:
        """Throttle best-effort tasks before a tail beside them reaches its bound."""
        best_effort = [
            r for r in host.runs.values() if r.filler and r.state == "running"
        ]
        if (
            not best_effort
            or now - self._throttled_at.get(host.name, -1e9) < THROTTLE_SETTLE_S
        ):
            return []
        serving = [r for r in host.runs.values() if r.tail_limit]
        worst_tail_ratio = max(
            (run.usage / 1000 / run.tail_limit for run in serving), default=0.0
        )
        if worst_tail_ratio > THROTTLE_ABOVE:
            new_percents = [
                int(max(run.pace, 0) * THROTTLE_FACTOR) for run in best_effort
            ]
        elif worst_tail_ratio < UNTHROTTLE_BELOW:
            new_percents = [
                min(100, max(run.pace, 0) + UNTHROTTLE_STEP) for run in best_effort
            ]
        else:
            return []
        effects: list[Effect] = []
        for run, percent in zip(best_effort, new_percents, strict=True):
            if percent != run.pace:
                run.pace = percent
                effects.append(PaceRun(host.name, run, percent))
        if effects:
            self._throttled_at[host.name] = now
        return effects
