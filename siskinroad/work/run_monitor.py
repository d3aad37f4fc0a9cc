"""Monitor of stalled, slow and silent hosts and runs, and of best-effort tasks.

- Runs that make no progress on a host that still replies to requests are stopped, so
  that they restart elsewhere.
- Tasks on a host that becomes silent or slow get a speculative copy on another host,
  where their step allows copies, before it is certain that the first run is lost.
- Runs that will not end before a draining host leaves are stopped and restart elsewhere
  at once, not only when the leases of the departed host have expired.
- Best-effort tasks are throttled before they push the response tail of the serving
  tasks beside them over its bound.
"""

from __future__ import annotations

import logging

from siskinroad.work.effects import Effect, ThrottleRun
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun
from siskinroad.work.model import Timing
from siskinroad.work.pool_state import PoolState
from siskinroad.work.speed_estimates import extrapolate_total_s

__all__ = ["RunMonitor"]

# Seconds without progress after which a run counts as stalled. Runs on a host that has
# not replied for this long are not judged: their listed progress is too old.
STALL_TIMEOUT_S = 2.5
# Multiple of the time expected for one percent for which a run never counts as stalled:
# hosts report progress in whole percents.
STALL_PERCENTS = 2.0
# Number of runs stalled on one host at the same time that puts it in quarantine.
QUARANTINE_STALLED_RUNS = 2
# Seconds in quarantine of a host whose runs stall.
STALL_QUARANTINE_S = 6.0
# Ratio of actual to expected run time from which a host counts as slow. A smaller value
# would catch hosts of a slower type, a larger one would miss degraded hosts.
SLOW_HOST_RATIO = 3.0
# Seconds in quarantine of a slow host after it was last measured as slow.
SLOW_QUARANTINE_S = 2.0
# Largest fraction of the hosts in quarantine up to which a slow or stalled one is
# added: if more of them look bad, the cause is the load, not the hosts.
MAX_QUARANTINED_FRACTION = 0.4
# A task is moved off a slow host only if its remaining time there is more than this
# multiple of the time that a restart elsewhere takes.
MIN_MOVE_GAIN = 1.3
# Seconds that advice and the new start add to a restart elsewhere.
MOVE_OVERHEAD_S = 0.3
# Highest run number that is moved off a slow host; it bounds how often a task is moved.
MAX_MOVABLE_RUN = 3
# Seconds without a report, from a host whose last request failed, after which its tasks
# get speculative copies where their step allows them.
COPY_SILENCE_S = 0.7
# Least seconds without progress after which a task gets a speculative copy.
COPY_STALL_S = 1.0
# A slow run gets a speculative copy if its extrapolated time is more than the first of
# these multiples of its expected time, and its remaining time more than the second.
COPY_RATIO = 3.0
MIN_COPY_GAIN = 1.5
# A run with checkpoints is stopped unless it ends at least this many seconds before a
# draining host leaves.
LEAVE_MARGIN_S = 0.3
# Long-running tasks are stopped when the stop grace and these seconds remain. They are
# down for the same time whenever they move, but for much longer if the host leaves
# first: that it drains was read up to 0.5 s late.
LASTING_LEAVE_MARGIN_S = 1.0
# A run without checkpoints may end up to this many seconds after its host is to leave:
# hosts mostly stay a little longer than announced.
LEAVE_OVERSTAY_S = 1.0
# Fractions of the bound on a response tail above which the best-effort tasks beside it
# are throttled further, and below which they are throttled less.
THROTTLE_ABOVE = 0.75
UNTHROTTLE_BELOW = 0.5
# Factor on the allowed speed of best-effort tasks each time they are throttled further.
THROTTLE_FACTOR = 0.5
# Percentage points added to their allowed speed each time they are throttled less.
UNTHROTTLE_STEP = 10
# Seconds between two changes of the throttle on a host. Hosts report the tail of the
# last half second: after a shorter wait, the figure still covers the old throttle.
THROTTLE_SETTLE_S = 0.6

log = logging.getLogger("siskinroad.run_monitor")


class RunMonitor:
    """Monitor of the runs on the hosts of one pool."""

    def __init__(self, pool_state: PoolState, timing: Timing) -> None:
        self.pool_state = pool_state
        self.timing = timing
        self._throttled_at: dict[str, float] = {}

    def check_runs(self, now: float, wall: float) -> list[Effect]:
        """Check every host and return the commands that stop or throttle its runs."""
        self.pool_state.speed_estimates.host_speeds.compare_if_due(now)
        effects = self.pool_state.stop_parts_of_gangs()
        for host in list(self.pool_state.hosts.values()):
            if host.runs:
                effects += self._check_host(host, now)
            if host.is_quarantined and now >= host.quarantined_until:
                self.pool_state.end_quarantine(host)
        return effects

    def _check_host(self, host: Host, now: float) -> list[Effect]:
        self._allow_copies(host, now)
        return [
            *self._stop_stalled_runs(host, now),
            *self._move_off_slow_host(host, now),
            *self._stop_before_leave(host, now),
            *self._throttle_best_effort(host, now),
        ]

    def _allow_copies(self, host: Host, now: float) -> None:
        """Allow speculative copies of tasks whose runs are slow, stalled or silent."""
        for run in list(host.runs.values()):
            if not run.copies or run.state != "running":
                continue
            reason = self._find_copy_reason(host, run, now)
            if reason:
                self.pool_state.allow_copy(host, run, reason, now)

    def _find_copy_reason(self, host: Host, run: Run, now: float) -> str:
        """Return the reason for a speculative copy of a run's task; empty if none."""
        if host.is_failing and now - host.reported_at > COPY_SILENCE_S:
            return "host does not reply"
        expected_s = self.pool_state.speed_estimates.expected_s(
            run.queue, run.declared_s
        )
        if expected_s is None:
            return ""
        stalled_s = _stalled_s(run)
        if run.progress < 100 and stalled_s > max(
            COPY_STALL_S, STALL_PERCENTS * expected_s / 100
        ):
            return "no progress"
        slowdown = self.pool_state.speed_estimates.slowdown(run)
        if slowdown is None or slowdown <= COPY_RATIO:
            return ""
        estimated_remaining_s = self.pool_state.speed_estimates.remaining_s(run, now)
        return "slow" if estimated_remaining_s > MIN_COPY_GAIN * expected_s else ""

    def _stop_stalled_runs(self, host: Host, now: float) -> list[Effect]:
        """Stop stalled runs, so that their tasks restart elsewhere."""
        if now - host.replied_at > STALL_TIMEOUT_S:
            return []
        stalled = [run for run in host.runs.values() if self._is_stalled(run)]
        effects: list[Effect] = []
        for run in stalled:
            task = self.pool_state.task(run.key[0])
            if task is not None:
                task.avoided_hosts[host.name] = now
            effects += self.pool_state.stop(host, run, "no progress")
        if stalled and host.is_quarantined:
            host.quarantine_evidence_at = now
        if len(stalled) >= QUARANTINE_STALLED_RUNS:
            self._quarantine_host(host, now, STALL_QUARANTINE_S, "stalls")
        return effects

    def _is_stalled(self, run: Run) -> bool:
        if run.state != "running" or run.progress >= 100 or run.filler:
            return False
        return _stalled_s(run) > self._stall_timeout_s(run)

    def _stall_timeout_s(self, run: Run) -> float:
        """Return the seconds without progress after which a run counts as stalled."""
        if run.long_running:
            return STALL_TIMEOUT_S
        ratio = self.pool_state.speed_estimates.run_time_ratio(run.queue)
        percent_s = run.declared_s * ratio / 100
        return max(STALL_TIMEOUT_S, STALL_PERCENTS * percent_s)

    def _quarantine_host(
        self, host: Host, now: float, seconds: float, reason: str
    ) -> None:
        self.pool_state.quarantine_host(
            host, seconds, reason, now, MAX_QUARANTINED_FRACTION
        )

    def _move_off_slow_host(self, host: Host, now: float) -> list[Effect]:
        """Quarantine a slow host, and stop runs that would end sooner elsewhere."""
        host_slowdown = self.pool_state.speed_estimates.host_slowdown(host)
        if host_slowdown < SLOW_HOST_RATIO or now - host.replied_at > STALL_TIMEOUT_S:
            return []
        self._quarantine_host(
            host,
            now,
            SLOW_QUARANTINE_S,
            f"{host_slowdown:.1f} times slower than expected",
        )
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            if self._ends_sooner_elsewhere(run, host_slowdown, now):
                effects += self.pool_state.stop(host, run, "would end sooner elsewhere")
        return effects

    def _ends_sooner_elsewhere(
        self, run: Run, host_slowdown: float, now: float
    ) -> bool:
        """Return whether a task would end sooner if it restarted elsewhere."""
        step = self.pool_state.step(run.key[0])
        if run.state != "running" or step is None or step.spec.gang:
            return False
        if step.spec.filler or step.spec.long_running or run.key[1] > MAX_MOVABLE_RUN:
            return False
        total_s = extrapolate_total_s(run)
        if total_s is None:
            return False
        restart_s = total_s / host_slowdown + self.timing.stop_grace_s + MOVE_OVERHEAD_S
        return total_s - (now - run.begun_at) > MIN_MOVE_GAIN * restart_s

    def _stop_before_leave(self, host: Host, now: float) -> list[Effect]:
        """Stop the runs that will not end before a draining host leaves."""
        if not host.entry.draining:
            return []
        stay_s = max(0.0, host.earliest_leave_at - now)
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            step = self.pool_state.step(run.key[0])
            if run.state != "running" or step is None:
                continue
            if self._should_stop_before_leave(host, run, step, stay_s, now):
                effects += self.pool_state.stop(
                    host, run, "host leaves before the run ends"
                )
        return effects

    def _should_stop_before_leave(
        self, host: Host, run: Run, step: StepRun, stay_s: float, now: float
    ) -> bool:
        """Return whether to stop a run when its host leaves in ``stay_s`` seconds."""
        if step.spec.long_running:
            return stay_s <= self.timing.stop_grace_s + LASTING_LEAVE_MARGIN_S
        limit_s = (
            stay_s - LEAVE_MARGIN_S
            if step.spec.checkpoints
            else stay_s + LEAVE_OVERSTAY_S
        )
        remaining_s = self.pool_state.speed_estimates.remaining_s(run, now, host.name)
        return remaining_s > limit_s

    def _throttle_best_effort(self, host: Host, now: float) -> list[Effect]:
        """Throttle best-effort tasks by the response tails of the tasks beside them."""
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
                int(run.speed_percent * THROTTLE_FACTOR) for run in best_effort
            ]
        elif worst_tail_ratio < UNTHROTTLE_BELOW:
            new_percents = [
                min(100, run.speed_percent + UNTHROTTLE_STEP) for run in best_effort
            ]
        else:
            return []
        effects: list[Effect] = []
        for run, percent in zip(best_effort, new_percents, strict=True):
            if percent != run.speed_percent or not run.is_speed_known:
                former_percent, run.speed_percent = run.speed_percent, percent
                effects.append(ThrottleRun(host.name, run, percent, former_percent))
        if effects:
            self._throttled_at[host.name] = now
        return effects


def _stalled_s(run: Run) -> float:
    """Return the seconds for which a run's reports have shown the same progress.

    The time since the newest report does not count: a late owner has not read the
    later ones yet.
    """
    if not run.progress_changed_at:
        return 0.0
    return run.reported_at - run.progress_changed_at
