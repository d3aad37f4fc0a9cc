"""Owner of one shard: carries out the effects that its scheduler returns."""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from siskinroad.cell import Cell, Host
from siskinroad.effects import ControlTask, Effect, Finished, Refused, StartTask
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.host_monitor import HostMonitor, monitor_host
from siskinroad.names import attempt_name, split_task
from siskinroad.owner_context import OwnerPorts
from siskinroad.requests import RequestTable
from siskinroad.resources import Resources
from siskinroad.restarts import run_restarted
from siskinroad.scheduler import TICK_INTERVAL, Scheduler
from siskinroad.tasks import TaskTable
from siskinroad.upstreams import Control
from siskinroad.wait_reporter import WaitReporter

__all__ = ["ShardOwner"]

# Seconds between checks for task starts in flight during a release. A longer one
# delays the handover of the shard.
RELEASE_POLL_INTERVAL = 0.02
# Shortest sleep between scheduler ticks, in seconds; the longest is ``TICK_INTERVAL``.
# Without it, a timer that is already due would make the loop spin.
MIN_TICK_INTERVAL = 0.01
log = logging.getLogger("siskinroad.owner")


class ShardOwner:
    """Scheduler loop of one shard, from its takeover to its release.

    Parameters
    ----------
    shard, epoch : str, int
        The claim under which this daemon places work. The epoch is sent to the
        hosts as the fencing token.
    hosts : list of Host
        The shard's hosts.
    """

    def __init__(
        self, shard: str, epoch: int, cell: Cell, hosts: list[Host], ports: OwnerPorts
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.shard = shard
        self.epoch = epoch
        self.ports = ports
        self.scheduler = Scheduler(cell, ports.rng, now)
        self.scheduler.is_paused = True
        self.is_stale = False
        self.monitors: dict[str, HostMonitor] = {}
        self.requests = RequestTable(self)
        self.tasks = TaskTable(self)
        self.waits = WaitReporter(self, self.tasks)
        self._in_flight: set[asyncio.Task[None]] = set()
        self._background_tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        for host in hosts:
            self._add_host(host)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def _add_host(self, host: Host) -> None:
        self.scheduler.add_host(host, self.now())
        self.monitors[host.name] = HostMonitor(host)

    # Lifecycle

    async def take_over(self) -> None:
        """Fetch the inventory of every host, then start to place work."""
        async with asyncio.TaskGroup() as group:
            for monitor in self.monitors.values():
                group.create_task(self._fetch_first_inventory(monitor))
        if self.is_closed:
            return
        for monitor in self.monitors.values():
            self._spawn_monitor(monitor)
        self._spawn_loop("tick", self._tick)
        self.tasks.queue_unreported()
        self.resume()

    async def _fetch_first_inventory(self, monitor: HostMonitor) -> None:
        """Fetch a host's inventory; the monitor fetches it again after an error."""
        try:
            await monitor.fetch_inventory(self, wait=0.0, renew=True)
        except Exception:
            log.exception(
                "owner: first inventory of host %s failed; its monitor fetches another",
                monitor.host.name,
            )

    def _spawn_monitor(self, monitor: HostMonitor) -> None:
        run = functools.partial(monitor_host, self, monitor)
        self._spawn_loop(f"monitor of {monitor.host.name}", run)

    def _spawn_loop(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        name = f"owner: {name} of shard {self.shard}"
        self.spawn(run_restarted(run, name, log))

    def resume(self) -> None:
        """Place work again, once ownership is certain, unless a host rejected it."""
        if not self.is_closed and not self.is_stale:
            self.run(self.scheduler.resume(self.now()))

    def suspend(self, *, requests: bool = False) -> None:
        """Place no work until resumed; with ``requests``, still place requests."""
        self.scheduler.is_paused = self.is_stale or not requests
        self.scheduler.requests_only = requests

    async def release(self) -> None:
        """Place no more work and wait until no task start is in flight.

        Requests in progress continue; the next owner finds them in the hosts'
        inventories.
        """
        self.suspend()
        while any(monitor.starting for monitor in self.monitors.values()):
            await asyncio.sleep(RELEASE_POLL_INTERVAL)

    def close(self) -> None:
        """Stop scheduling; work already sent still gets its reply.

        Queued requests are refused, so that the daemons that received them from
        callers can send them to the next owner.
        """
        self.is_closed = True
        self.scheduler.is_paused = True
        self.requests.refuse_unsent()
        for task in self._background_tasks - self._in_flight:
            task.cancel()

    async def wait_idle(self) -> None:
        """Wait until every request and task start in flight has completed."""
        while self._in_flight:
            await asyncio.wait(set(self._in_flight))

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that is cancelled when the owner is closed.

        Requests and task starts in flight are not cancelled.
        """
        task = asyncio.get_running_loop().create_task(coro)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        self._in_flight.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "owner: background task of shard %s failed; not restarted",
                self.shard,
                exc_info=task.exception(),
            )

    async def _tick(self) -> None:
        while True:
            delay = self.scheduler.next_tick_time() - self.now()
            await asyncio.sleep(min(max(delay, MIN_TICK_INTERVAL), TICK_INTERVAL))
            self.run(self.scheduler.tick(self.now()))
            self.waits.log_long_waits()

    def configure(self, cell: Cell, hosts: list[Host]) -> None:
        """Apply a new cell configuration: remove, add and update hosts.

        A removed host gets no new work; it is forgotten once what it runs has ended.
        """
        names = {host.name for host in hosts}
        for name, monitor in self.monitors.items():
            if name not in names:
                monitor.is_removed = True
                self.host_event(name, "leave")
        self.run(self.scheduler.configure(cell, self.now()))
        for host in hosts:
            if host.name not in self.monitors:
                self._add_host(host)
                self._spawn_monitor(self.monitors[host.name])
            monitor = self.monitors[host.name]
            monitor.host = host
            if monitor.is_removed:
                monitor.is_removed = False
                if monitor.may_rejoin:
                    self.host_event(host.name, "rejoin")

    def forget_host(self, name: str) -> bool:
        """Forget a removed host unless it still runs work; return whether it did.

        What it runs would otherwise be started again while it still runs there.
        """
        view = self.scheduler.view(name)
        running = self.scheduler.shard.running
        if view is not None and any(split_task(x)[0] in running for x in view.tasks):
            return False
        del self.monitors[name]
        self.run(self.scheduler.remove_host(name, self.now()))
        return True

    def host_event(self, name: str, event: str) -> None:
        """Apply an event of the ``upstream`` chart to a host."""
        self.run(self.scheduler.host_event(name, event, self.now()))

    def mark_stale(self) -> None:
        """Stop placing work after a host has rejected this owner's epoch as stale."""
        if not self.is_stale:
            self.is_stale = True
            self.suspend()
            log.warning(
                "owner: a host rejected epoch %d of shard %s as stale; "
                "placing no more work on it",
                self.epoch,
                self.shard,
            )

    # Effects

    def run(self, effects: list[Effect]) -> None:
        """Carry out the scheduler's effects in order."""
        for effect in effects:
            match effect:
                case StartTask():
                    self._start(effect)
                case ControlTask():
                    self.spawn(self._control(effect))
                case Refused(item=item, refusal=refusal):
                    if item.key in self.requests:
                        self.requests.answer_refused(item.key, refusal)
                    else:
                        self.tasks.record_outcome(item.key, refusal.reason.value)
                case Finished(item=item, end=end):
                    if item.key in self.requests:
                        self.requests.answer_finished(item.key)
                    else:
                        self.tasks.record_finished(item.key, end)

    def _start(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1:
            self.ports.observe_wait(item.workload, self.now() - item.enqueued)
        if item.workload.kind == "service":
            self._in_flight.add(self.spawn(self.requests.send(effect)))
            return
        for member, host in enumerate(effect.hosts):
            # Recorded before the coroutine first runs: the inventory being applied
            # now may be older than this decision and must not end the attempt as
            # lost.
            self.monitors[host].starting.add(attempt_name(effect.attempt, member))
            self._in_flight.add(self.spawn(self.tasks.start(effect, member)))

    async def _control(self, effect: ControlTask) -> None:
        monitor = self.monitors.get(effect.host)
        if monitor is None or effect.key in self.requests:
            return
        if effect.action is Control.STOP and not self.ports.is_certain():
            # A successor may have started the task. Inventories that list a task to be
            # stopped repeat the stop.
            return
        attempt = attempt_name(effect.attempt, effect.member)
        self.ports.count_event("control", effect.action.value)
        try:
            await self.ports.upstreams.control(
                monitor.host, self.epoch, attempt, effect.action
            )
        except StaleEpochError:
            self.mark_stale()
        except (NotSentError, OutcomeUnknownError):
            monitor.controls_to_retry.append(effect)

    # State for peers and status pages

    def free_slots(self) -> int:
        """Return the free slots on all hosts; 0 while no work is placed."""
        if self.scheduler.is_paused:
            return 0
        pools = self.scheduler.shard.pools.values()
        return sum(state.index.free_slots for state in pools)

    def expected_waits(self) -> dict[str, float]:
        """Return the waits expected by workload, in seconds, that exceed 0.01 s."""
        now = self.now()
        lanes = self.scheduler.shard.waiting.lanes
        expected_waits = {name: lane.expected_wait(now) for name, lane in lanes.items()}
        return {
            name: round(wait, 2) for name, wait in expected_waits.items() if wait > 0.01
        }

    def usage_and_capacity(self) -> tuple[Resources, Resources]:
        """Return the allocated resources and the capacity of all open hosts."""
        used = Resources()
        total = Resources()
        for view in self.scheduler.shard.views():
            if view.is_open:
                used = used + view.used()
                total = total + view.capacity
        return used, total
