"""A caller's request from its arrival to its one true answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from siskinroad.cell import Cell, Locality, Workload
from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.forwarding import Forwarder
from siskinroad.messages import Forward
from siskinroad.ownership import rendezvous
from siskinroad.routing import Place, ShardLoad, choose
from siskinroad.upstreams import Answer

__all__ = ["Front", "Request", "home_of"]

NO_OWNER_PATIENCE = 6.0
NO_OWNER_PAUSE = 0.05
HANDED_ON = {
    Reason.NO_OWNER,
    Reason.OWNERSHIP_IN_DOUBT,
    Reason.DRAINING,
    Reason.PEER_LOST,
}


@dataclass(slots=True)
class Request:
    """One request of a caller; ``deadline`` in loop time."""

    workload: Workload
    path: str
    body: bytes
    key: str
    deadline: float


def home_of(cell: Cell, workload: Workload, key: str, here: Place) -> str:
    """Return the data centre whose stream holds the records of a key."""
    centres = {host.data_centre for host in cell.pools[workload.pool].hosts}
    if workload.locality is Locality.DATA_CENTRE:
        return here.data_centre
    if workload.locality is Locality.REGION:
        centres = {x for x in centres if cell.region_of(x) == here.region}
    return rendezvous(key, sorted(centres)) if centres else here.data_centre


class Front:
    """Finds the owner for each request and hands it over.

    Parameters
    ----------
    loads : callable
        Returns the known shards, this daemon's own included.
    run_here : callable
        Runs a request on a shard of this daemon.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        loads: Callable[[], list[ShardLoad]],
        run_here: Callable[[str, Request], Awaitable[Answer]],
        forwarder: Forwarder,
        incarnation: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.place = place
        self.loads = loads
        self.run_here = run_here
        self.forwarder = forwarder
        self.incarnation = incarnation
        self.rng = rng
        self.in_progress = 0

    async def serve(self, req: Request, cell: Cell) -> Answer:
        """Return the whole answer to a request.

        Raises
        ------
        Refusal
            "Not run" only if no try can have run.
        """
        self.in_progress += 1
        try:
            return await self._serve(req, cell)
        finally:
            self.in_progress -= 1

    async def _serve(self, req: Request, cell: Cell) -> Answer:
        loop = asyncio.get_running_loop()
        patience = min(loop.time() + NO_OWNER_PATIENCE, req.deadline)
        maybe_ran = False
        tried: set[str] = set()
        refusal = self._no_owner(req)
        while True:
            load = self._choose(req, cell, tried, loop.time())
            if load is None:
                tried.clear()
                if loop.time() + NO_OWNER_PAUSE > patience:
                    break
                await asyncio.sleep(NO_OWNER_PAUSE)
                continue
            try:
                return await self._try(load, req, loop.time())
            except Refusal as exc:
                refusal = exc
            maybe_ran |= refusal.outcome is Outcome.UNKNOWN
            repeatable = req.workload.idempotent or not maybe_ran
            if refusal.reason not in HANDED_ON or not repeatable:
                break
            if loop.time() >= req.deadline:
                break
            tried.add(load.shard)
        if maybe_ran:
            refusal.outcome = Outcome.UNKNOWN
        raise refusal

    def _choose(
        self, req: Request, cell: Cell, tried: set[str], now: float
    ) -> ShardLoad | None:
        loads = self.loads()
        if req.key:
            home = home_of(cell, req.workload, req.key, self.place)
            loads = [load for load in loads if load.place.data_centre == home]
        return choose(req.workload, loads, self.place, tried, now, self.rng)

    def _no_owner(self, req: Request) -> Refusal:
        reason = Reason.HOME_UNREACHABLE if req.key else Reason.NO_OWNER
        text = f"no owner with hosts of {req.workload.pool} is known here"
        return Refusal(reason, step="route", retry_after=1.0, message=text)

    async def _try(self, load: ShardLoad, req: Request, now: float) -> Answer:
        if load.owner == self.name:
            return await self.run_here(load.shard, req)
        msg = Forward(
            self.name,
            self.forwarder.new_id(),
            self.incarnation(load.owner),
            load.shard,
            req.workload.name,
            max(req.deadline - now, 0.0),
            req.key,
            req.path,
            req.body,
        )
        return await self.forwarder.forward(load.owner, msg)
