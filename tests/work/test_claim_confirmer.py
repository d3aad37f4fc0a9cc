"""Reads of the claims that an owner makes when a conclusion waits for them."""

import asyncio
import logging
from types import SimpleNamespace

from bench.clock import run_on_paused_clock
from siskinroad.work.claim_confirmer import ClaimConfirmer
from siskinroad.work.store_memory import MemoryStore
from tests.work.cut_hosts import start_views
from tests.work.test_daemon import run_scenario
from tests.work.test_two_owners import find_busy, now, submit_and_start


def test_each_wait_for_the_claims_is_logged_even_after_a_read_that_was_late(caplog):
    async def scenario(cell):
        await start_views(cell, 60.0)
        await submit_and_start(cell, 3, estimate=60.0)
        other = next(name for name in cell.daemons if name != cell.owner())
        await cell.kill(other, loses_power=True)
        faults = cell.logs.faults
        for fault, value in (("is_silent", 1), ("call_delay_s", 0.5), ("is_silent", 1)):
            caplog.clear()
            await asyncio.sleep(3.0)
            setattr(faults, fault, value)
            await asyncio.sleep(1.0)
            host = cell.hosts.hosts[find_busy(cell).pop()]
            host.down_s = 0.3
            host.crash()
            await asyncio.sleep(4.0)
            setattr(faults, fault, 0)
            await asyncio.sleep(4.0)
            lines = [record.getMessage() for record in caplog.records]
            waits = [line for line in lines if "not certain whether" in line]
            ends = [line for line in lines if "certain again" in line]
            assert len(waits) == len(ends) == (1 if fault == "is_silent" else 0)

    caplog.set_level(logging.INFO)
    run_scenario(scenario)


def test_a_confirmation_cancels_no_read_of_the_store():
    # The HTTP pool takes a cancelled read for one without an answer, and drops all idle
    # connections to the store.
    async def scenario(cell):
        cancelled = []

        class WatchedStore(MemoryStore):
            async def read(self, topic, start, *, wait, timeout=1.0):
                try:
                    return await super().read(topic, start, wait=wait, timeout=timeout)
                except asyncio.CancelledError:
                    cancelled.append(now())
                    raise

        daemon = cell.start("a")
        daemon.store.direct = WatchedStore(cell.logs, "a")
        await asyncio.sleep(3.0)
        cancelled.clear()
        host = cell.hosts.hosts["i-0"]
        host.down_s = 0.3
        for _ in range(5):
            host.crash()
            await asyncio.sleep(2.0)
        assert not cancelled

    run_scenario(scenario)


def test_members_are_asked_again_while_the_answer_to_a_read_is_arriving():
    # On a small link it may arrive for many seconds, in which leases would expire.
    async def scenario():
        asked_at = []

        async def read_now():
            await asyncio.sleep(15.0)

        async def ask_members(pool, since, term):
            asked_at.append(now())
            return now() if len(asked_at) > 2 else None

        claims = SimpleNamespace(unclaimed_at=-1e9, awaited_at=now(), is_awaited=True)
        pool_state = SimpleNamespace(
            pool="p", term=1, claims=claims, note_unclaimed=lambda at: None
        )
        follower = SimpleNamespace(read_now=read_now, confirmed_at=-1.0)
        confirmed_at = []
        confirmer = ClaimConfirmer(
            pool_state, follower, ask_members, lambda: confirmed_at.append(now())
        )
        began = now()
        confirmer.request()
        task = asyncio.create_task(confirmer.run())
        await asyncio.sleep(5.0)
        assert len(asked_at) == 3
        assert confirmed_at and confirmed_at[0] - began < 4.0
        task.cancel()

    run_on_paused_clock(scenario())
