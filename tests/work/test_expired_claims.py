"""Claims whose daemons never acted, once the store has no older claims any more.

The store keeps the newest claim of a pool for good, and others for some seconds. The
next owner has to know all owners since the stored set of hosts: else it waits 14.4 s
for a host that has left.
"""

import asyncio

import pytest

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import claim_pool
from siskinroad.work.records import (
    OWNER_KEY,
    Cancelled,
    OwnerRecord,
    job_topic,
    record_of,
)
from siskinroad.work.store import StoreUnavailableError
from siskinroad.work.store_memory import MemoryStore
from tests.work.cell import POOL
from tests.work.cut_hosts import check_never_twice, cut_daemon, start_views
from tests.work.test_daemon import run_scenario
from tests.work.test_deposed_owner import (
    CALM_S,
    check_that_all_run,
    leave,
    start_cell,
    wait_for_owner,
)
from tests.work.test_two_owners import find_busy, submit_and_start

TOPIC = job_topic(POOL)


class CutStore(MemoryStore):
    """Store that a claimant does not reach any more once its claim is stored.

    Attributes
    ----------
    records_between : int
        Records of others that come between the claimant's first read and its claim.
    """

    records_between = 0

    async def append(self, topic, records, **fields):
        for number in range(self.records_between):
            other = record_of(Cancelled(f"{number:016x}", 0.0))
            self.logs.append(TOPIC, [other], None, None)
        if topic != TOPIC:
            raise StoreUnavailableError("cut off", step="store.append")
        return await super().append(topic, records, **fields)


async def claim_and_stop(cell, node, records_between=0):
    """Claim the pool for a daemon that does nothing under its claim."""
    store = CutStore(cell.logs, "claimant")
    store.records_between = records_between
    with pytest.raises(SiskinroadError):
        await claim_pool(store, POOL, OwnerRecord(node, 1, uses_witnesses=True))


def expire_claims(cell):
    """Let all records expire, but the newest of each key."""
    cell.logs.trim(TOPIC)


async def find_next_owner(cell, term):
    """Wait until a daemon owns the pool under a later term; return its owner."""
    while True:
        for daemon in cell.daemons.values():
            owner = daemon.owners.get(POOL)
            if owner is not None and owner.term.number > term:
                return owner
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("records_between", [0, 3])
@pytest.mark.parametrize("is_claimant_lost", [False, True])
def test_a_claim_without_an_acting_owner_delays_no_lasting_task_by_the_longest_wait(
    is_claimant_lost, records_between
):
    async def scenario(cell):
        await start_cell(cell)
        owner = cell.owner()
        other = next(name for name in cell.daemons if name != owner)
        expire_claims(cell)
        leave(cell, "i-1")
        claimed_at = asyncio.get_running_loop().time()
        name = "lost" if is_claimant_lost else other
        await claim_and_stop(cell, name, records_between)
        await check_that_all_run(cell, claimed_at)

    run_scenario(scenario)


@pytest.mark.parametrize("claims", [2, 15])
def test_several_claims_without_an_acting_owner_delay_no_lasting_task(claims):
    async def scenario(cell):
        await start_cell(cell)
        expire_claims(cell)
        leave(cell, "i-1")
        for number in range(claims):
            await claim_and_stop(cell, f"lost-{number}", 1)
        await check_that_all_run(cell, asyncio.get_running_loop().time())

    run_scenario(scenario)


@pytest.mark.parametrize("reaches_s", [0.5, 2.0, 4.0])
def test_leases_of_an_owner_that_stored_no_hosts_end_before_its_successor_counts_on_it(
    reaches_s,
):
    # It renews the leases of a host that its successor does not reach.
    class RejectingStore(MemoryStore):
        """Store that takes no progress of some terms, but their fences."""

        terms = ()

        async def append(self, topic, records, *, fence=None, **fields):
            if fence is not None and records and fence.epoch in RejectingStore.terms:
                raise StoreUnavailableError("rejected", step="store.append")
            return await super().append(topic, records, fence=fence, **fields)

    async def scenario(cell):
        cell.open_store = RejectingStore
        views = await start_views(cell, 1000.0)
        await submit_and_start(cell, 3, estimate=1000.0, cpu_milli=16000, spread=1)
        await asyncio.sleep(1.0)
        first, busy = cell.owner(), find_busy(cell)
        term = cell.daemons[first].owners[POOL].term.number
        RejectingStore.terms = range(term + 1, 10_000)
        expire_claims(cell)
        await cell.kill(first, loses_power=True)
        second = await wait_for_owner(cell, {first})
        await asyncio.sleep(reaches_s)
        host = min(busy)
        cut_at = asyncio.get_running_loop().time()
        assert views[second].called_at > cut_at - 2.0
        cut_daemon(cell, views, second, set(cell.hosts.hosts) - {host}, {host})
        expire_claims(cell)
        RejectingStore.terms = ()
        claim = cell.logs.topic(TOPIC).newest[OWNER_KEY]
        third = await find_next_owner(cell, claim.offset + 1)
        assert third.dependencies.node != second
        await asyncio.sleep(16.0)
        assert third.former_owners.shortened_by
        check_never_twice(cell, cut_at)
        lost = [s for s in cell.hosts.starts() if s.at > cut_at]
        assert len(lost) == 1 and lost[0].at - cut_at < CALM_S

    run_scenario(scenario, hosts=4)
