"""Forecast of when the hosts that a step may use have capacity for it."""

from __future__ import annotations

from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.planning_pass import PlanningPass
from siskinroad.work.run_ends import RunEnds
from siskinroad.work.speed_estimates import SpeedEstimates

__all__ = ["CapacityForecast"]


class CapacityForecast:
    """Forecast of capacity from the expected ends of runs.

    Parameters
    ----------
    speed_estimates : SpeedEstimates
        Estimates of the remaining times of runs.
    """

    def __init__(self, speed_estimates: SpeedEstimates) -> None:
        self._run_ends = RunEnds(speed_estimates)

    def keep_only(self, hosts: dict[str, Host]) -> None:
        """Forget the hosts that are not among the given ones."""
        self._run_ends.keep_only(hosts)

    def predict_next_capacity(
        self, planning_pass: PlanningPass, step: StepRun, limit: float
    ) -> tuple[list[Host], float]:
        """Return the hosts that will have capacity for a step, and when all have it.

        The list is empty if no such time up to ``limit`` can be predicted.
        """
        count = step.waiting_count if step.spec.gang else 1
        now = planning_pass.now
        openings: list[tuple[float, Host]] = []
        for host in _find_allowed_hosts(planning_pass, step):
            times = self._predict_capacity_times(step, host, count, now, limit)
            openings += [(at, host) for at in times]
        openings.sort(key=lambda opening: opening[0])
        chosen = openings[:count]
        if len(chosen) < count:
            return [], now
        return list({h.name: h for _, h in chosen}.values()), chosen[-1][0]

    def expects_capacity(
        self, planning_pass: PlanningPass, step: StepRun, limit: float
    ) -> bool:
        """Return whether allowed hosts should have capacity by loop time ``limit``."""
        now = planning_pass.now
        count = step.waiting_count if step.spec.gang else 1
        for host in _find_allowed_hosts(planning_pass, step):
            is_open = step.need.fits(host.free_capacity(step.key, now, step.rank))
            # Capacity that a single task cannot use now tells nothing of later.
            if is_open and not step.spec.gang:
                continue
            most = _limit_to_spread(step, host, count)
            if most > 0:
                times = self._predict_capacity_times(step, host, most, now, limit)
                count -= len(times)
            if count <= 0:
                return True
        return False

    def _predict_capacity_times(
        self, step: StepRun, host: Host, count: int, now: float, limit: float
    ) -> list[float]:
        """Return when a host has capacity for one more task each, up to ``count``.

        Times after ``limit`` are left out.
        """
        need = step.need
        capacity = host.free_capacity(step.key, now, step.rank)
        times: list[float] = []
        at = now
        ends = iter(self._run_ends.find_ends(host, now))
        while at <= limit:
            while need.fits(capacity):
                capacity = capacity - need
                times.append(at)
                if len(times) == count:
                    return times
            end, freed = next(ends, (float("inf"), need))
            capacity = capacity + freed
            at = max(at, end)
        return times


def _find_allowed_hosts(planning_pass: PlanningPass, step: StepRun) -> list[Host]:
    """Return the hosts with a ticket, less those in quarantine for this step."""
    sole_hosts = planning_pass.open_hosts.sole_hosts
    hosts = planning_pass.schedulable_hosts.find_hosts(step.tickets)
    return [host for host in hosts if sole_hosts.allow(step, host)]


def _limit_to_spread(step: StepRun, host: Host, count: int) -> int:
    """Return how many of ``count`` more tasks the step's spread allows on a host."""
    spread = step.spec.spread
    if not spread:
        return count
    return min(count, spread - step.runs_by_host.get(host.name, 0))
