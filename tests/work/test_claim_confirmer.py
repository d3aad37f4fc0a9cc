"""Reads of the claims that an owner makes when a conclusion waits for them."""

import asyncio
import logging

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
