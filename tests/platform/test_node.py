"""What a daemon learns from the store at its start, on a paused clock."""

import asyncio

from siskinroad_platform.node import _next_incarnation

from bench.clock import run_on_paused_clock
from siskinroad.work.records import MEMBERS_TOPIC, Member, record_of
from siskinroad.work.store import Record
from siskinroad.work.store_memory import MemoryLogs, MemoryStore

# Later than any wall clock, in milliseconds.
LATE_INCARNATION = 10**15


def test_a_restarted_daemon_finds_its_record_behind_those_of_many_queues():
    """They sort before it, and one page of records is at most 500."""

    async def main():
        store = MemoryStore(MemoryLogs())
        member = Member("edge-1", LATE_INCARNATION, "127.0.0.1:1", "d", "r")
        queues = [Record(f"@queue {i:04}", b"x") for i in range(1200)]
        await store.append(MEMBERS_TOPIC, [*queues, record_of(member)])
        return await asyncio.wait_for(_next_incarnation(store, "edge-1"), 5.0)

    assert run_on_paused_clock(main()) == (LATE_INCARNATION + 1, True)


def test_a_daemon_without_the_store_takes_the_wall_clock():
    async def main():
        logs = MemoryLogs()
        logs.faults.is_silent = True
        return await _next_incarnation(MemoryStore(logs), "edge-1")

    number, was_listed = run_on_paused_clock(main())
    assert 0 < number < LATE_INCARNATION and not was_listed
