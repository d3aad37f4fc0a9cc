"""Owners that are being stopped."""

import asyncio

from siskinroad.work.model import HostEntry
from tests.work.cell import entry
from tests.work.test_daemon import run_scenario


def test_a_host_listed_while_its_owner_stops_raises_no_error_in_the_daemon():
    # The daemon's reader of the live list ended with the error of the task group.
    async def scenario(cell):
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners["desk"]
        seen = []

        async def list_host_while_stopping():
            try:
                await asyncio.sleep(60)
            finally:
                new: dict[str, HostEntry] = {"i-9": entry("i-9")}
                owner.apply_host_list(new)
                seen.append("listed")

        assert owner.term.spawn(list_host_while_stopping()) is not None
        await asyncio.sleep(0.1)
        await cell.kill("a")
        assert seen == ["listed"]

    run_scenario(scenario)
