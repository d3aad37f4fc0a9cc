"""A shard in this daemon's hands: the scheduler's effects carried out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from siskinroad.cell import Cell, Host
from siskinroad.effects import ControlTask, Effect, Finished, Refused, StartTask
from siskinroad.errors import NotSentError, OutcomeUnknownError, StaleEpochError
from siskinroad.hostwatch import HostWatch, watch_host
from siskinroad.names import attempt_name
from siskinroad.ownerview import OwnerPorts
from siskinroad.requests import Requests
from siskinroad.resources import Resources
from siskinroad.scheduler import TICK_TIME, Scheduler
from siskinroad.tasks import Tasks

__all__ = ["ShardOwner"]

RELEASE_POLL = 0.02
MIN_TICK_TIME = 0.01

log = logging.getLogger("siskinroad.owner")


class ShardOwner:
    """Places work on one shard from its take-over to its release.

    Parameters
    ----------
    shard, epoch : str, int
        The claim under which this daemon places work.
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
        self.scheduler.paused = True
        self.stale = False
        self.watches: dict[str, HostWatch] = {}
        self.requests = Requests(self)
        self.tasks = Tasks(self)
        self._sending: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        for host in hosts:
            self._add_host(host)

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def _add_host(self, host: Host) -> None:
        self.scheduler.add_host(host, self.now())
        self.watches[host.name] = HostWatch(host)

    # Life

    async def take(self) -> None:
        """Ask every host what it runs, then start to place work."""
        async with asyncio.TaskGroup() as group:
            for watch in self.watches.values():
                group.create_task(self._first_inventory(watch))
        if self.closed:
            return
        for watch in self.watches.values():
            self.spawn(watch_host(self, watch))
        self.spawn(self._tick())
        self.tasks.queue_unfound()
        self.resume()

    async def _first_inventory(self, watch: HostWatch) -> None:
        await watch.ask(self, wait=0.0, renew=True)

    def resume(self) -> None:
        """Start work again; this is called when the claim is certain."""
        if not self.closed:
            self.run(self.scheduler.resume(self.now()))

    def suspend(self, *, requests: bool = False) -> None:
        """Start nothing until resumed, or requests only."""
        self.scheduler.paused = not requests
        self.scheduler.requests_only = requests

    async def release(self) -> None:
        """Start nothing more and wait until no start of a task is under way.

        Requests in progress go on; the next owner sees them on the hosts.
        """
        self.suspend()
        while any(watch.starting for watch in self.watches.values()):
            await asyncio.sleep(RELEASE_POLL)

    def close(self) -> None:
        """Stop deciding; what was sent is answered as far as is known.

        Requests that still wait are refused as not run, so that the callers'
        daemons send them to the next owner.
        """
        self.closed = True
        self.scheduler.paused = True
        self.requests.hand_back_unsent()
        for task in self._tasks - self._sending:
            task.cancel()

    async def idle(self) -> None:
        """Wait until every request and start that was sent has its answer."""
        while self._sending:
            await asyncio.wait(set(self._sending))

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine until the owner is closed."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._sending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("owner: %s failed", self.shard, exc_info=task.exception())

    async def _tick(self) -> None:
        while True:
            pause = self.scheduler.next_time() - self.now()
            await asyncio.sleep(min(max(pause, MIN_TICK_TIME), TICK_TIME))
            self.run(self.scheduler.tick(self.now()))

    def configure(self, cell: Cell, hosts: list[Host]) -> None:
        """Put another configuration in force."""
        now = self.now()
        names = {host.name for host in hosts}
        for name in [name for name in self.watches if name not in names]:
            watch = self.watches.pop(name)
            watch.removed = True
            self.run(self.scheduler.remove_host(name, now))
        self.run(self.scheduler.configure(cell, now))
        for host in hosts:
            if host.name not in self.watches:
                self._add_host(host)
                self.spawn(watch_host(self, self.watches[host.name]))
            self.watches[host.name].host = host

    def host_event(self, name: str, event: str) -> None:
        """Apply an event of the ``upstream`` chart to a host."""
        self.run(self.scheduler.host_event(name, event, self.now()))

    def go_stale(self) -> None:
        """Stop placing, since a host has seen a later owner's epoch."""
        if not self.stale:
            self.stale = True
            self.suspend()
            log.warning("owner: %s was claimed by another daemon", self.shard)

    # Effects

    def run(self, effects: list[Effect]) -> None:
        """Carry out what the scheduler has decided, in order."""
        for effect in effects:
            match effect:
                case StartTask():
                    self._start(effect)
                case ControlTask():
                    self.spawn(self._control(effect))
                case Refused(item=item, refusal=refusal):
                    if item.key in self.requests:
                        self.requests.refused(item.key, refusal)
                    else:
                        self.tasks.record_end(item.key, refusal.reason.value)
                case Finished(item=item, end=end):
                    if item.key in self.requests:
                        self.requests.finished(item.key)
                    else:
                        self.tasks.finished(item.key, end)

    def _start(self, effect: StartTask) -> None:
        item = effect.item
        if item.tries == 1:
            self.ports.waited(item.workload, self.now() - item.enqueued)
        if item.workload.kind == "service":
            self._sending.add(self.spawn(self.requests.send(effect)))
            return
        for member, host in enumerate(effect.hosts):
            # Noted before the first step of the coroutine, since the inventory
            # being taken in just now may be older than this decision.
            self.watches[host].starting.add(attempt_name(effect.attempt, member))
            self._sending.add(self.spawn(self.tasks.start(effect, member)))

    async def _control(self, effect: ControlTask) -> None:
        watch = self.watches.get(effect.host)
        if watch is None or effect.key in self.requests:
            return
        attempt = attempt_name(effect.attempt, effect.member)
        self.ports.count("control", effect.do.value)
        try:
            await self.ports.upstreams.control(
                watch.host, self.epoch, attempt, effect.do
            )
        except StaleEpochError:
            self.go_stale()
        except (NotSentError, OutcomeUnknownError):
            watch.again.append(effect)

    # News for others

    def free_slots(self) -> int:
        """Return the room for one more request, in slots."""
        if self.scheduler.paused:
            return 0
        pools = self.scheduler.shard.pools.values()
        return sum(state.index.free_slots for state in pools)

    def waits(self) -> dict[str, float]:
        """Return the expected wait of each workload that has one, in seconds."""
        now = self.now()
        lanes = self.scheduler.shard.waiting.lanes
        waits = {name: lane.expected_wait(now) for name, lane in lanes.items()}
        return {name: round(wait, 2) for name, wait in waits.items() if wait > 0.01}

    def used(self) -> tuple[Resources, Resources]:
        """Return what is given away and the capacity of the open hosts."""
        used = Resources()
        total = Resources()
        for view in self.scheduler.shard.views():
            if view.open:
                used = used + view.used()
                total = total + view.capacity
        return used, total
