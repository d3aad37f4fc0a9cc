"""Routing of a caller's request to the owner of a shard that can run it."""

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
from siskinroad.routing import Place, ShardLoad, choose_shard
from siskinroad.upstreams import UpstreamResponse

__all__ = ["Request", "RequestHandler", "home_data_centre_of"]

# Seconds for which a request waits for an owner to become known. A shorter time
# refuses requests during a takeover.
NO_OWNER_TIMEOUT = 6.0
# Seconds between two attempts to find an owner within ``NO_OWNER_TIMEOUT``.
NO_OWNER_RETRY_INTERVAL = 0.05
# Refusals after which a request is tried at the owner of another shard.
RETRIED_ELSEWHERE = {
    Reason.NO_OWNER,
    Reason.OWNERSHIP_UNCERTAIN,
    Reason.DRAINING,
    Reason.PEER_LOST,
}


@dataclass(slots=True)
class Request:
    """One request of a caller; ``deadline`` is in loop time (s)."""

    workload: Workload
    path: str
    body: bytes
    key: str
    deadline: float


def home_data_centre_of(cell: Cell, workload: Workload, key: str, here: Place) -> str:
    """Return the data centre whose log stream stores the records of a key."""
    centres = {host.data_centre for host in cell.pools[workload.pool].hosts}
    if workload.locality is Locality.DATA_CENTRE:
        return here.data_centre
    if workload.locality is Locality.REGION:
        centres = {
            centre for centre in centres if cell.region_of(centre) == here.region
        }
    return rendezvous(key, sorted(centres)) if centres else here.data_centre


class RequestHandler:
    """Handler of callers' requests: routes each to the owner of a shard.

    Parameters
    ----------
    loads : callable
        Returns the loads of all known shards, including this daemon's own.
    run_locally : callable
        Runs a request on a shard that this daemon owns.
    incarnation_of : callable
        Returns the latest known incarnation of a daemon.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        loads: Callable[[], list[ShardLoad]],
        run_locally: Callable[[str, Request], Awaitable[UpstreamResponse]],
        forwarder: Forwarder,
        incarnation_of: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.place = place
        self.loads = loads
        self.run_locally = run_locally
        self.forwarder = forwarder
        self.incarnation_of = incarnation_of
        self.rng = rng
        self.in_progress = 0

    async def serve(self, req: Request, cell: Cell) -> UpstreamResponse:
        """Return the complete answer to a request.

        Raises
        ------
        Refusal
            Its outcome is "not run" only if no attempt can have run.
        """
        self.in_progress += 1
        try:
            return await self._serve(req, cell)
        finally:
            self.in_progress -= 1

    async def _serve(self, req: Request, cell: Cell) -> UpstreamResponse:
        loop = asyncio.get_running_loop()
        no_owner_deadline = min(loop.time() + NO_OWNER_TIMEOUT, req.deadline)
        may_have_run = False
        tried_shards: set[str] = set()
        refusal = self._no_owner_refusal(req)
        while True:
            load = self._choose_shard(req, cell, tried_shards, loop.time())
            if load is None:
                tried_shards.clear()
                if loop.time() + NO_OWNER_RETRY_INTERVAL > no_owner_deadline:
                    break
                await asyncio.sleep(NO_OWNER_RETRY_INTERVAL)
                continue
            try:
                return await self._send_to_owner(load, req, loop.time())
            except Refusal as exc:
                refusal = exc
            may_have_run |= refusal.outcome is Outcome.UNKNOWN
            is_repeatable = req.workload.idempotent or not may_have_run
            if refusal.reason not in RETRIED_ELSEWHERE or not is_repeatable:
                break
            if loop.time() >= req.deadline:
                break
            tried_shards.add(load.shard)
        if may_have_run:
            refusal.outcome = Outcome.UNKNOWN
        raise refusal

    def _choose_shard(
        self, req: Request, cell: Cell, tried_shards: set[str], now: float
    ) -> ShardLoad | None:
        loads = self.loads()
        if req.key:
            home = home_data_centre_of(cell, req.workload, req.key, self.place)
            loads = [load for load in loads if load.place.data_centre == home]
        return choose_shard(
            req.workload, loads, self.place, tried_shards, now, self.rng
        )

    def _no_owner_refusal(self, req: Request) -> Refusal:
        reason = Reason.HOME_DATA_CENTRE_UNREACHABLE if req.key else Reason.NO_OWNER
        text = f"no known daemon owns a shard of pool {req.workload.pool}"
        return Refusal(reason, step="route", retry_after=1.0, message=text)

    async def _send_to_owner(
        self, load: ShardLoad, req: Request, now: float
    ) -> UpstreamResponse:
        if load.owner == self.name:
            return await self.run_locally(load.shard, req)
        msg = Forward(
            self.name,
            self.forwarder.new_id(),
            self.incarnation_of(load.owner),
            load.shard,
            req.workload.name,
            max(req.deadline - now, 0.0),
            req.key,
            req.path,
            req.body,
        )
        return await self.forwarder.forward(load.owner, msg)
