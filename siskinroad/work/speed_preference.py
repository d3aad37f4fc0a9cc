"""Which hosts of an uneven pool a step takes first: the fast or the slow ones.

Load pattern: short urgent steps beside wide ones with time to spare, on hosts
of which some are twice as fast as the others. What is short of time goes to fast
hosts; what has time left, and what runs until its job is cancelled, goes to slow ones
and so leaves the fast ones free. No step waits for a host of the other kind.

Nothing here does I/O.
"""

from __future__ import annotations

from enum import Enum, auto

from siskinroad.work.host import Host
from siskinroad.work.host_speeds import HostSpeeds
from siskinroad.work.job import StepRun
from siskinroad.work.planning_pass import PlanningPass

__all__ = [
    "SpeedPreference",
    "choose_speed_preference",
    "compute_speed_cost",
    "order_by_preference",
]

# Ratio of the time of a step's longest task to the expected one: tasks of one step
# differ by a third, and all must end.
LONGEST_TASK_RATIO = 1.5


class SpeedPreference(Enum):
    """Hosts that a step takes first.

    ``NONE``: it does not matter, or the hosts are about equally fast.
    """

    NONE = auto()
    FAST = auto()
    SLOW = auto()


def choose_speed_preference(
    planning_pass: PlanningPass, step: StepRun
) -> SpeedPreference:
    """Return which hosts a step's waiting tasks should take first."""
    spec = step.spec
    speeds = planning_pass.pool_state.speed_estimates.host_speeds
    if not speeds.slowdowns or spec.filler or spec.tail_limit:
        return SpeedPreference.NONE
    if spec.long_running:
        return SpeedPreference.SLOW
    queue = planning_pass.pool_state.queues.get(step.job.queue)
    if queue is None or queue.priority == 0:
        return SpeedPreference.FAST
    if _has_time_left(planning_pass, step, speeds.largest_slowdown):
        return SpeedPreference.SLOW
    return SpeedPreference.FAST


def compute_speed_cost(
    preference: SpeedPreference, speeds: HostSpeeds, host: str
) -> int:
    """Return the cost of a host's speed; the lowest is preferred."""
    match preference:
        case SpeedPreference.NONE:
            return 0
        case SpeedPreference.FAST:
            return speeds.speed_class(host)
        case SpeedPreference.SLOW:
            return -speeds.speed_class(host)


def order_by_preference(
    planning_pass: PlanningPass, step: StepRun, hosts: list[Host]
) -> list[Host]:
    """Return the hosts, those first that the step prefers, else in their order."""
    preference = choose_speed_preference(planning_pass, step)
    if preference is SpeedPreference.NONE:
        return hosts
    speeds = planning_pass.pool_state.speed_estimates.host_speeds
    return sorted(hosts, key=lambda h: compute_speed_cost(preference, speeds, h.name))


def _has_time_left(planning_pass: PlanningPass, step: StepRun, slowdown: float) -> bool:
    """Return whether a job meets its target time on the slowest hosts, if at all.

    A job that is late already has nothing to gain from a fast host.
    """
    pool_state = planning_pass.pool_state
    job = step.job
    ratio = pool_state.speed_estimates.run_time_ratio(job.queue)
    remaining_s = job.remaining_times[step.number] * ratio * LONGEST_TASK_RATIO
    left_s = pool_state.target_time(job, step.occurrence) - planning_pass.wall
    return left_s < 0 or remaining_s * slowdown <= left_s
