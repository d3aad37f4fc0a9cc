"""Stops of less urgent runs, so that urgent steps of a burst can start in time.

Load pattern: short urgent steps arrive in a burst while long tasks of lower priority
hold the whole pool. Waiting for these to end would make the burst late. Only runs that
can resume from a checkpoint are stopped, on hosts that an urgent step may use, and no
more of them than it needs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from siskinroad.resources import NOTHING, Resources
from siskinroad.work.effects import Effect
from siskinroad.work.host import Host, Run
from siskinroad.work.job import StepRun
from siskinroad.work.model import TaskId
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    step_allows_host,
)
from siskinroad.work.pool_state import PoolState

__all__ = ["RoomMaker"]

# Seconds between two looks for runs to stop: a pass follows almost every report.
CHECK_INTERVAL_S = 0.1
# Seconds for which an urgent step waits before runs are stopped for it. In a calm pool
# capacity becomes free sooner.
MIN_WAIT_S = 0.15
# Seconds of work that a run must have left: a stop and a restart take nearly as long as
# a shorter rest.
MIN_REMAINING_S = 1.5
# Seconds for which a task that was stopped for another one is not stopped again, and
# its highest run number.
STOP_PAUSE_S = 30.0
MAX_RUN = 4
# Urgent steps for which one look stops runs.
MAX_STEPS = 16

log = logging.getLogger("siskinroad.making_room")


@dataclass(slots=True)
class _Room:
    """What a host has, gets and could get free.

    Attributes
    ----------
    free : Resources
        Free capacity once the runs that are being stopped have ended.
    runs : list of Run
        Runs that may be stopped, the one with the least work left first.
    """

    free: Resources
    runs: list[Run] = field(default_factory=list)


class RoomMaker:
    """Chooser of the runs that make room for urgent steps.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.

    Attributes
    ----------
    observe : callable
        Receives the queue of each stopped run, for the metrics.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self.pool_state = pool_state
        self.observe: Callable[[str], None] = lambda queue: None
        self._checked_at = -1e9
        self._stopped_at: dict[TaskId, float] = {}

    def make_room(
        self, planning_pass: PlanningPass, ranked: list[tuple[int, StepRun]]
    ) -> list[Effect]:
        """Return stops for the urgent steps that this pass could not place.

        Parameters
        ----------
        ranked : list of tuple
            Lateness and step, in the order of the pass.
        """
        now = planning_pass.now
        configuration = self.pool_state.configuration
        if configuration is None or configuration.accounts is None:
            return []
        if now - self._checked_at < CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        steps = [s for lateness, s in ranked if self._needs_room(s, lateness, now)]
        if not steps:
            return []
        self._forget_old_stops(now)
        rooms = self._find_rooms(planning_pass)
        effects: list[Effect] = []
        for step in steps[:MAX_STEPS]:
            effects += self._make_room_for(planning_pass, step, rooms)
        return effects

    def _needs_room(self, step: StepRun, lateness: int, now: float) -> bool:
        queue = self.pool_state.queues.get(step.job.queue)
        if queue is None or queue.priority > 0 or lateness:
            return False
        if step.spec.gang or step.spec.long_running or not step.waiting_count:
            return False
        if queue.advice is not None and not step.tickets:
            return False
        return now - step.waiting_since >= MIN_WAIT_S

    def _forget_old_stops(self, now: float) -> None:
        self._stopped_at = {
            task: at for task, at in self._stopped_at.items() if now - at < STOP_PAUSE_S
        }

    def _find_rooms(self, planning_pass: PlanningPass) -> dict[str, _Room]:
        return {
            host.name: self._examine(host, planning_pass)
            for host in planning_pass.schedulable_hosts.hosts
        }

    def _examine(self, host: Host, planning_pass: PlanningPass) -> _Room:
        room = _Room(host.entry.capacity - host.used)
        queues = self.pool_state.queues
        has_lower = False
        for name in host.queue_uses:
            queue = queues.get(name)
            has_lower |= queue is not None and queue.priority > 0
        if not has_lower:
            return room
        estimates = self.pool_state.speed_estimates
        remaining: list[tuple[float, Run]] = []
        ending = NOTHING
        for run in host.runs.values():
            if run.state in ("stopping", "withdrawn"):
                ending = ending + run.need
            elif self._may_stop(run):
                remaining.append((estimates.remaining_s(run, planning_pass.now), run))
        room.free = room.free + ending
        remaining = [(s, r) for s, r in remaining if s > MIN_REMAINING_S]
        remaining.sort(key=lambda item: item[0])
        room.runs = [run for _, run in remaining]
        return room

    def _may_stop(self, run: Run) -> bool:
        if run.state != "running" or run.long_running or run.filler:
            return False
        queue = self.pool_state.queues.get(run.queue)
        if queue is None or queue.priority == 0 or run.key[1] > MAX_RUN:
            return False
        step = self.pool_state.step(run.key[0])
        if step is None or step.spec.gang or not step.spec.checkpoints:
            return False
        return run.key[0] not in self._stopped_at

    def _make_room_for(
        self, planning_pass: PlanningPass, step: StepRun, rooms: dict[str, _Room]
    ) -> list[Effect]:
        """Return the stops for one step, and take the room that it will use."""
        effects: list[Effect] = []
        placement = TentativePlacement()
        missing = step.waiting_count
        for host in self._find_hosts(planning_pass, step):
            room = rooms[host.name]
            while missing and step_allows_host(step, host, placement):
                stops = _choose_runs(room, step.need)
                if stops is None:
                    break
                for run in stops:
                    effects += self._stop(planning_pass, step, host, run)
                room.free = room.free - step.need
                placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
                missing -= 1
            if not missing:
                break
        return effects

    def _find_hosts(self, planning_pass: PlanningPass, step: StepRun) -> list[Host]:
        """Return the hosts that a step may use, those with free capacity first."""
        capable = planning_pass.schedulable_hosts.find_capable_hosts(step)
        queue = self.pool_state.queues[step.job.queue]
        hosts = capable.hosts
        if queue.advice is not None:
            hosts = [host for host in hosts if host.name in step.tickets]
        now = planning_pass.now
        return sorted(
            hosts,
            key=lambda h: not step.need.fits(h.free_capacity(step.key, now, step.rank)),
        )

    def _stop(
        self, planning_pass: PlanningPass, step: StepRun, host: Host, run: Run
    ) -> list[Effect]:
        now = planning_pass.now
        self._stopped_at[run.key[0]] = now
        self.observe(run.queue)
        remaining_s = self.pool_state.speed_estimates.remaining_s(run, now)
        log.info(
            "making_room: run stopped for an urgent step",
            extra={
                "request": run.key[0].job,
                "run": run.key[1],
                "host": host.name,
                "queue": run.queue,
                "remaining_s": round(remaining_s, 2),
                "report_age_s": round(now - host.reported_at, 2),
                "for_job": step.job.id,
                "for_queue": step.job.queue,
                "waited_s": round(now - step.waiting_since, 2),
            },
        )
        return self.pool_state.stop(host, run, "makes room for urgent work")


def _choose_runs(room: _Room, need: Resources) -> list[Run] | None:
    """Remove and return the runs to stop so that a task fits; None if none suffice."""
    free = room.free
    chosen: list[Run] = []
    for run in reversed(room.runs):
        if need.fits(free):
            break
        free = free + run.need
        chosen.append(run)
    if not need.fits(free):
        return None
    room.free = free
    for run in chosen:
        room.runs.remove(run)
    return chosen
