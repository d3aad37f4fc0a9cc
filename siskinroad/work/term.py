"""State shared by the components of a pool's owner: pool state, term, events."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Collection, Coroutine, Set
from dataclasses import dataclass, field
from typing import Any

from siskinroad.work.account_limits import AccountLimits
from siskinroad.work.account_peers import AccountPeers
from siskinroad.work.advisor_channels import AdvisorChannels
from siskinroad.work.effects import Effect
from siskinroad.work.hosts import HostClient
from siskinroad.work.loop_delay import LoopDelay
from siskinroad.work.members import Members
from siskinroad.work.model import Timing
from siskinroad.work.pool_state import PoolState
from siskinroad.work.records import FormerOwner
from siskinroad.work.store import Store
from siskinroad.work.workmetrics import WorkMetrics

__all__ = [
    "OWNERSHIP_TIMEOUT_S",
    "AskWitnesses",
    "ConfirmUnclaimed",
    "OwnerDependencies",
    "SendNotices",
    "Term",
]

# Seconds after its last confirmed read of the claims for which an owner may act without
# the store. A smaller value stops owners during an outage of the store; a larger one
# delays a successor, which waits this long before it abandons silent hosts if it does
# not know that the former owner is dead.
OWNERSHIP_TIMEOUT_S = 10.0

# Least seconds for which leases can be granted while runs are started. What starts
# later would probably end with its lease.
MIN_START_LEASE_S = 1.5

# Asks the other members about a pool, given the loop time until which nobody else had
# claimed it, and the own term. Returns the later loop time until which that is certain
# now, or None.
ConfirmUnclaimed = Callable[[str, float, int], Awaitable[float | None]]
# Asks the witnesses that are named last whether leases may be extended, the other
# parameters being the same. Returns the loop time at which they were asked, and the
# names of those that have stated what is needed.
AskWitnesses = Callable[
    [str, float, int, Collection[str]], Awaitable[tuple[float, Set[str]]]
]
# Sends notices of a claim to members, see `ClaimNotices.send`.
SendNotices = Callable[
    [str, int, Collection[str], dict[str, float]], Coroutine[Any, Any, None]
]

log = logging.getLogger("siskinroad.owner")


@dataclass(slots=True, frozen=True)
class OwnerDependencies:
    """Dependencies of an owner; the same for every pool of a daemon.

    Attributes
    ----------
    node, incarnation : str, int
        Name of the daemon, and the number of its current incarnation.
    wall : callable
        Returns the Unix time in seconds.
    has_later_incarnation : callable
        Returns whether a later incarnation of a daemon than the one given is known.
    loop_delay : LoopDelay
        Recent delays of the daemon's event loop.
    account_limits : AccountLimits
        Limits of the client accounts that the daemon has seen.
    ask_stopped : callable or None
        Asks a former owner of a pool whether it has stopped.
    find_list_read_at : callable
        Returns the loop time at which the newest read of the live list was sent.
    account_peers : AccountPeers or None
        Way to the owners of the other pools; None if there is none.
    sheds_load : bool
        Whether an owner may turn jobs away for load.
    confirm_unclaimed : callable or None
        Asks all other members about a pool. Given the loop time up to which no other
        daemon had certainly claimed it, and the own term, returns the later time up to
        which that now is certain, or None if it is not.
    ask_witnesses : callable or None
        Asks an owner's witnesses whether its leases may be extended.
    send_notices : callable or None
        Tells witnesses of a claim, see `ClaimNotices.send`.
    members : Members or None
        The other daemons, of which an owner chooses its witnesses.
    """

    node: str
    incarnation: int
    store: Store
    host_client: HostClient
    advisor_channels: AdvisorChannels
    timing: Timing
    metrics: WorkMetrics
    wall: Callable[[], float]
    has_later_incarnation: Callable[[str, int], bool]
    loop_delay: LoopDelay
    account_limits: AccountLimits = field(default_factory=AccountLimits)
    account_peers: AccountPeers | None = None
    ask_stopped: Callable[[str, FormerOwner], Awaitable[bool]] | None = None
    sheds_load: bool = False
    find_list_read_at: Callable[[], float] = lambda: math.inf
    confirm_unclaimed: ConfirmUnclaimed | None = None
    ask_witnesses: AskWitnesses | None = None
    send_notices: SendNotices | None = None
    members: Members | None = None


class Term:
    """One term of ownership of one pool, shared by all components of the owner.

    Attributes
    ----------
    owned_until : float
        Loop time until which the owner may act without a further confirmation.
    plan_requested, flush_requested : asyncio.Event
        Set when a task may be placed, and when records are to be stored.
    execute_effects : callable
        Executes effects that the pool state returns.
    on_ownership_uncertain : callable
        Called when the ownership is uncertain: another daemon seems to own the pool.
    group : asyncio.TaskGroup or None
        Group of all asyncio tasks of the owner; None while it does not run.
    """

    def __init__(self, pool: str, number: int, dependencies: OwnerDependencies) -> None:
        self.pool = pool
        self.number = number
        self.dependencies = dependencies
        self.pool_state = PoolState(pool, number)
        metrics = dependencies.metrics
        self.pool_state.observe_presumed_end = lambda reason: (
            metrics.unlisted_ends.labels(reason).inc()
        )
        self.pool_state.observe_late_end = lambda end_kind: metrics.late_ends.labels(
            end_kind
        ).inc()
        self.pool_state.observe_copy = lambda reason: metrics.copies.labels(
            reason
        ).inc()
        self.pool_state.observe_stop = lambda reason: metrics.stopped_runs.labels(
            reason
        ).inc()
        self.pool_state.crash_tracker.observe_lost_host = lambda reason: (
            metrics.lost_hosts.labels(reason).inc()
        )
        self.pool_state.observe_result = lambda job, result: metrics.jobs_ended.labels(
            job.queue, job.data_centre, result
        ).inc()
        self.owned_until = -1e9
        self.plan_requested = asyncio.Event()
        self.flush_requested = asyncio.Event()
        self.execute_effects: Callable[[list[Effect]], None] = lambda effects: None
        self.on_ownership_uncertain: Callable[[], None] = lambda: None
        self.group: asyncio.TaskGroup | None = None

    def is_owner_confirmed(self) -> bool:
        """Return whether the claim was confirmed recently enough."""
        return asyncio.get_running_loop().time() < self.owned_until

    def may_start_runs(self) -> bool:
        """Return whether the claim is confirmed, and leases last for long enough."""
        now = asyncio.get_running_loop().time()
        lease_s = self.pool_state.claims.leases_end_by - now
        return self.is_owner_confirmed() and lease_s >= MIN_START_LEASE_S

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None] | None:
        """Run a coroutine in the owner's task group; close it if that has ended.

        A group that is being cancelled takes no further tasks, while the daemon still
        tells the owner of hosts.
        """
        if self.group is not None:
            try:
                return self.group.create_task(coro)
            except RuntimeError as exc:
                log.debug(
                    "owner: stopping; call not made",
                    extra={"pool": self.pool, "error": str(exc)},
                )
        coro.close()
        return None
