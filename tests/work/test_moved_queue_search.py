"""Seeded search for jobs that run twice, or never, while their queue is moved.

Each seed draws versions that move a queue, give it another name, remove it and take it
back; daemons that lag behind the versions, append late and are killed; a store that
carries out appends late and drops its history; callers that submit each job several
times.
"""

import asyncio
import os
import random
from dataclasses import replace

import pytest

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.model import Configuration, Queue
from tests.work.cell import CONFIGURATION, FAST, MOVED, POOL, RENAMED, PlainDecoder
from tests.work.cell import job as make_job
from tests.work.test_daemon import run_scenario
from tests.work.test_late_jobs import LaggingStore, hold_configuration, store_of
from tests.work.test_queue_assigner import NAMES, start_cell

# By hand: MOVED_SEEDS=300 MOVED_FIRST_SEED=1000 pytest -rA ...
FIRST_SEED = int(os.environ.get("MOVED_FIRST_SEED", "0"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("MOVED_SEEDS", "10")))
BUSY_S = 12.0
# Seconds after the last trouble in which the jobs are accepted, and in which they run.
ACCEPT_S = 15.0
RUN_S = 8.0
JOBS = 14
# Most seconds until a caller that got no answer tries again.
TRY_PAUSE_S = 0.7
BOTH_POOLS = (POOL, MOVED.pool)
# The queue under test in each kind of version, and the pools of that version.
KINDS = (
    (FAST, (POOL,)),
    (FAST, BOTH_POOLS),
    (MOVED, (MOVED.pool,)),
    (MOVED, BOTH_POOLS),
    (RENAMED, BOTH_POOLS),
    (replace(RENAMED, pool=POOL), BOTH_POOLS),
    (None, BOTH_POOLS),
)


class DrawnDecoder(PlainDecoder):
    """Decoder of records with a version and the number of a kind."""

    def decode_configuration(self, key, value):
        version, _, kind = value.partition(b":")
        if not kind:
            return CONFIGURATION
        queue, pools = KINDS[int(kind)]
        queues = () if queue is None else (queue,)
        return Configuration(int(version), queues, pools, 1 << 18)


class Search:
    """The troubles and the callers of one seed."""

    def __init__(self, cell, seed, *, holds_reads):
        self.cell = cell
        self.rng = random.Random(seed)
        self.holds_reads = holds_reads
        self.version = 1
        self.accepted = set()
        self.rejected = set()

    async def run(self):
        loop = asyncio.get_running_loop()
        self.ends_at = loop.time() + BUSY_S
        callers = [asyncio.create_task(self._call(f"{i:016x}")) for i in range(JOBS)]
        troubles = [self._move(), self._lag(), self._kill(), self._lose_answers()]
        if self.holds_reads:
            troubles.append(self._hold_reads())
        await asyncio.gather(*troubles, self._compact())
        self._configure(1)
        async with asyncio.timeout(ACCEPT_S):
            await asyncio.gather(*callers)
        await asyncio.sleep(RUN_S)

    def _is_busy(self):
        return asyncio.get_running_loop().time() < self.ends_at

    def _configure(self, kind):
        self.version += self.rng.choice((1, 1, 3))
        self.cell.configure(f"{self.version}:{kind}")

    async def _move(self):
        while self._is_busy():
            await asyncio.sleep(self.rng.choice((0.1, 0.33, 1.0, 2.5)))
            self._configure(self.rng.randrange(len(KINDS)))

    async def _lag(self):
        """Let a daemon keep its version, and what it reads and appends come late."""
        while self._is_busy():
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            name = self.rng.choice(NAMES)
            if name not in self.cell.daemons:
                continue
            daemon = self.cell.daemons[name]
            release = hold_configuration(self.cell, name)
            store = store_of(self.cell, name)
            if self.rng.random() < 0.5:
                store.reads_held.add("members")
            store.append_delay_s = self.rng.choice((0.0, 0.2, 0.9))
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            store.reads_held.clear()
            store.append_delay_s = 0.0
            if self.cell.daemons.get(name) is daemon:
                release()

    async def _hold_reads(self):
        """Hold a daemon's reads of the jobs, so that history is dropped meanwhile."""
        while self._is_busy():
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            name = self.rng.choice(NAMES)
            if name not in self.cell.daemons:
                continue
            store = store_of(self.cell, name)
            topics = {f"jobs.{pool}" for pool in BOTH_POOLS}
            store.reads_held |= topics
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            store.reads_held -= topics

    async def _kill(self):
        while self._is_busy():
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            name = self.rng.choice(NAMES)
            await self.cell.kill(name, loses_power=self.rng.random() < 0.7)
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            self.cell.start(name)

    async def _lose_answers(self):
        faults = self.cell.logs.faults
        while self._is_busy():
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            faults.late_append_delay = self.rng.uniform(0.5, 6.0)
            faults.lost_replies = self.rng.choice((1, 1, 2))
        faults.lost_replies = 0

    async def _compact(self):
        """Drop the history of a topic; the newest record of each key is kept."""
        while self._is_busy():
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            topics = ["members", *(f"jobs.{pool}" for pool in BOTH_POOLS)]
            self.cell.logs.trim(self.rng.choice(topics))

    async def _call(self, job_id):
        """Submit one job as a caller does, sometimes again after its acceptance."""
        await asyncio.sleep(self.rng.uniform(0.0, BUSY_S))
        while True:
            kind = await self._try(job_id)
            if kind is ReplyKind.OK:
                self.accepted.add(job_id)
                if self.rng.random() < 0.5:
                    return
            elif kind in (ReplyKind.NOT_NOW, ReplyKind.NEVER):
                self.rejected.add(job_id)
                return
            await asyncio.sleep(self.rng.uniform(0.0, TRY_PAUSE_S))

    async def _try(self, job_id):
        name = self.rng.choice(NAMES)
        if name not in self.cell.daemons:
            return None
        service = self.cell.daemons[name].job_service
        queue = service.find_queue("h", f"/fast/{job_id}", lambda _: True)
        if not isinstance(queue, Queue):
            return None
        try:
            reply = await self.cell.submit(name, job_id, make_job(), queue)
        except asyncio.CancelledError:
            # Its daemon was killed.
            return None
        return reply.kind

    def find_faults(self):
        """Return the jobs that ran twice, never, or though they were refused."""
        started = [start.task.job for start in self.cell.hosts.starts()]
        twice = {each for each in started if started.count(each) > 1}
        lost = self.accepted - set(started)
        refused = self.rejected - self.accepted
        return twice, lost, refused & set(started)


@pytest.mark.parametrize("holds_reads", [False, True])
@pytest.mark.parametrize("seed", SEEDS)
def test_each_accepted_job_runs_once_whatever_moves_its_queue(seed, holds_reads):
    async def scenario(cell):
        cell.open_store = LaggingStore
        cell.decoder = DrawnDecoder()
        await start_cell(cell, host_seconds=0.5)
        search = Search(cell, seed, holds_reads=holds_reads)
        await search.run()
        assert search.find_faults() == (set(), set(), set())
        assert len(search.accepted | search.rejected) == JOBS
        for job_id in search.accepted:
            for name in NAMES:
                assert await cell.state(name, job_id, FAST) == "complete"

    run_scenario(scenario)
