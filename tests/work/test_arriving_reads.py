"""Reads whose answers arrive slowly, while other daemons are answered at once."""

import asyncio
from collections import Counter

from siskinroad.work.store_memory import MemoryStore
from tests.work.test_daemon import run_scenario

# Seconds that each answer takes to arrive, without a pause between its bytes.
ANSWER_S = 3.0
# Seconds from the loss of an owner without a trace to the next one.
TAKEOVER_S = 4.0


class TricklingStore(MemoryStore):
    """Store whose answers to one daemon trickle in."""

    slow_client = None

    def __init__(self, logs, client):
        super().__init__(logs, client)
        self.arriving = Counter()

    def is_arriving(self, topic=None):
        return any(self.arriving.values()) if topic is None else self.arriving[topic]

    async def read(self, topic, start, **fields):
        result = await super().read(topic, start, **fields)
        if result.records:
            await self._receive(topic)
        return result

    async def newest(self, topic, after="", **fields):
        page = await super().newest(topic, after, **fields)
        await self._receive(topic)
        return page

    async def _receive(self, topic):
        if self.client != TricklingStore.slow_client:
            return
        self.arriving[topic] += 1
        await asyncio.sleep(ANSWER_S)
        self.arriving[topic] -= 1


def test_a_claimant_whose_own_reads_trickle_in_reads_through_others(monkeypatch):
    """It read on for as long as bytes came, and no other daemon claimed the pool."""

    async def scenario(cell):
        cell.open_store = TricklingStore
        for number in range(6):
            cell.start(f"n{number}", processor=2.2 - 0.1 * number)
        await asyncio.sleep(5.0)
        assert cell.owner() == "n0"
        monkeypatch.setattr(TricklingStore, "slow_client", "n1")
        await cell.kill("n0", loses_power=True)
        await asyncio.sleep(TAKEOVER_S)
        assert cell.owner() is not None

    run_scenario(scenario)
