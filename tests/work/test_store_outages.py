"""The seconds without the store: what callers are told, and how work goes on after it.

Callers try again within their deadline of three seconds, as those of the traced days:
after the time that they are told, but after 0.35 of the remaining time at most.
"""

import asyncio
from types import SimpleNamespace

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.job_service import ReplyKind
from siskinroad.work.job_writer import JobWriter
from siskinroad.work.messages import SubmitOutcome, SubmitReply
from siskinroad.work.open_calls import OpenCalls
from siskinroad.work.relay import RelayStore
from siskinroad.work.retry_times import choose_retry_time
from siskinroad.work.store import Fence, Record, StoreUnknownError
from siskinroad.work.store_memory import MemoryLogs, MemoryStore
from siskinroad.work.store_probe import StoreProbe
from siskinroad.work.workmetrics import WorkMetrics
from tests.work.cell import FAST, POOL, job
from tests.work.test_daemon import JOB_ID, run_scenario

# Seconds after the store's return within which all is as before: the users' target.
RECOVERY_TIME = 2.0
# Seconds for which callers try, the longest part of the remaining time between two of
# their tries, and the number of these.
CALLER_TIME = 3.0
LONGEST_PAUSE = 0.35
TRIES = 5


async def call(cell, job_id, names):
    """Submit as a caller; return the kinds of all replies."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + CALLER_TIME
    kinds = []
    for i in range(TRIES):
        service = cell.daemons[names[i % len(names)]].job_service
        reply = await service.submit(FAST, job_id, job(), deadline)
        kinds.append(reply.kind)
        remaining_s = deadline - loop.time()
        if reply.kind is ReplyKind.OK or remaining_s <= 0:
            break
        await asyncio.sleep(min(reply.retry_after or 0.2, LONGEST_PAUSE * remaining_s))
    return kinds


@pytest.mark.parametrize("remaining_s", [0.25, 0.17, 0.12])
@pytest.mark.parametrize("fault", ["is_unavailable", "is_silent"])
def test_a_last_try_with_little_time_left_is_refused_and_not_unknown(
    fault, remaining_s
):
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        setattr(cell.logs.faults, fault, True)
        await asyncio.sleep(3.0)
        for name, daemon in cell.daemons.items():
            deadline = cell.deadline(remaining_s)
            reply = await daemon.job_service.submit(FAST, JOB_ID, job(), deadline)
            assert reply.kind is ReplyKind.NOT_NOW, name
            assert asyncio.get_running_loop().time() < deadline

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["is_unavailable", "is_silent"])
def test_callers_with_time_left_at_the_return_are_served(fault):
    # Twenty callers a second come during an outage of five seconds. Those whose time
    # ends later than the recovery time after the return must all be served.
    async def scenario(cell):
        loop = asyncio.get_running_loop()
        await cell.start_daemons("a", "b", "c")
        names = tuple(cell.daemons)
        setattr(cell.logs.faults, fault, True)
        returned_at = loop.time() + 5.0
        loop.call_at(returned_at, setattr, cell.logs.faults, fault, False)
        calls = []
        while loop.time() < returned_at + 4.0:
            job_id = f"{len(calls):016x}"
            calls.append((loop.time(), asyncio.create_task(call(cell, job_id, names))))
            await asyncio.sleep(0.05)
        for began, task in calls:
            kinds = await task
            if began + CALLER_TIME > returned_at + RECOVERY_TIME:
                assert kinds[-1] is ReplyKind.OK, began - returned_at
            if began > returned_at + RECOVERY_TIME:
                assert kinds == [ReplyKind.OK], began - returned_at

    run_scenario(scenario, hosts=8)


@pytest.mark.parametrize("remaining_s", [0.9, 0.65, 0.25])
def test_a_submit_that_cannot_come_back_is_stored_at_the_return(remaining_s):
    # The store is back within the time for which the submit waits.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(3.0)
        submits = [
            asyncio.create_task(
                daemon.job_service.submit(
                    FAST, f"{i:016x}", job(), cell.deadline(remaining_s)
                )
            )
            for i, daemon in enumerate(cell.daemons.values())
        ]
        await asyncio.sleep(0.05)
        cell.logs.faults.is_unavailable = False
        for daemon in cell.daemons.values():
            daemon.store.record_direct_answer()
        for submit in submits:
            assert (await submit).kind is ReplyKind.OK

    run_scenario(scenario)


@pytest.mark.parametrize("remaining_s", [3.0, 1.2, 0.9, 0.65, 0.25])
def test_a_refusal_leaves_the_caller_half_of_its_time(remaining_s):
    # A caller that can come back is told so at once, any other in time for a last try.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.is_silent = True
        await asyncio.sleep(3.0)
        for daemon in cell.daemons.values():
            deadline = cell.deadline(remaining_s)
            reply = await daemon.job_service.submit(FAST, JOB_ID, job(), deadline)
            left_s = deadline - asyncio.get_running_loop().time()
            assert reply.kind is ReplyKind.NOT_NOW
            assert left_s > (0.9 if remaining_s > 1.0 else 0.5) * remaining_s

    run_scenario(scenario)


@pytest.mark.parametrize("early_s", [0.05, 0.25, 0.5, 1.0, 1.5, 1.9])
def test_ends_in_an_outage_are_shown_soon_after_it(early_s):
    # The append of the job's end is sent that much before the return of the store.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_starts(1)
        await asyncio.sleep(0.8)
        cell.logs.faults.is_silent = True
        owner = cell.daemons[cell.owner()].owners[POOL]
        jobs = owner.pool_state.jobs
        while not jobs[JOB_ID].outcome:
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.0 - early_s + 0.2)
        cell.logs.faults.is_silent = False
        assert await cell.wait_for_state(JOB_ID, "complete") < RECOVERY_TIME

    run_scenario(scenario)


class SlowPeerCalls:
    """Requests to a job writer that answers after a time."""

    def __init__(self, answer_s):
        self.answer_s = answer_s

    async def request(self, peer, make_request, reply_type, timeout, keep_waiting):
        if self.answer_s > timeout:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("no reply", step="test")
        await asyncio.sleep(self.answer_s)
        return SubmitReply(1, SubmitOutcome.STORED)


def test_the_job_writer_has_all_of_a_time_too_short_for_two():
    async def scenario():
        logs = MemoryLogs()
        logs.faults.is_silent = True
        writer = JobWriter(
            "a",
            MemoryStore(logs),
            SlowPeerCalls(answer_s=0.15),
            lambda pool: "b",
            lambda node: True,
            lambda: 0.0,
            WorkMetrics(),
        )
        deadline = asyncio.get_running_loop().time() + 0.2
        outcome = await writer.store(POOL, Record(JOB_ID, b"x"), deadline)
        assert outcome is SubmitOutcome.STORED

    run_on_paused_clock(scenario())


def test_an_append_whose_answer_was_lost_is_confirmed_and_never_refused():
    # It takes effect after the store's return, while its caller tries again.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.lost_replies = 1
        cell.logs.faults.late_append_delay = 2.5
        names = tuple(cell.daemons)
        first = asyncio.create_task(call(cell, JOB_ID, names))
        await asyncio.sleep(0.01)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(2.0)
        cell.logs.faults.is_silent = False
        kinds = await first
        assert ReplyKind.NOT_NOW not in kinds
        await cell.wait_for_state(JOB_ID, "complete")
        assert (await cell.submit("b", JOB_ID, job())).kind is ReplyKind.OK

    run_scenario(scenario)


def test_an_owner_that_dies_in_an_outage_denies_no_job_and_is_replaced_soon():
    async def scenario(cell):
        loop = asyncio.get_running_loop()
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        cell.logs.faults.is_silent = True
        await asyncio.sleep(2.5)
        await cell.kill(cell.owner())
        names = tuple(cell.daemons)
        assert ReplyKind.NOT_NOW not in await call(cell, JOB_ID, names)
        cell.logs.faults.is_silent = False
        returned_at = loop.time()
        await asyncio.sleep(RECOVERY_TIME)
        assert await call(cell, "00000000000000bb", names) == [ReplyKind.OK]
        starts = await cell.wait_for_starts(2)
        assert starts[-1].at < returned_at + RECOVERY_TIME + 1.0

    run_scenario(scenario)


def test_a_silent_store_is_probed_four_times_a_second():
    async def scenario():
        logs = MemoryLogs()
        logs.faults.is_silent = True
        store = MemoryStore(logs)
        answers = []
        probe = StoreProbe(store, "t", lambda: -10.0, lambda: answers.append(1))
        task = asyncio.create_task(probe.run())
        await asyncio.sleep(5.05)
        logs.faults.is_silent = False
        await asyncio.sleep(0.25)
        assert answers
        task.cancel()

    run_on_paused_clock(scenario())


def test_a_store_whose_answer_is_arriving_is_not_probed():
    # A small link that large answers fill for seconds is no outage.
    class ArrivingStore(MemoryStore):
        arrives = True
        probed = 0

        def is_arriving(self, topic=None):
            return self.arrives

        async def probe(self, topic, *, timeout=1.0):
            self.probed += 1

    async def scenario():
        store = ArrivingStore(MemoryLogs())
        probe = StoreProbe(store, "t", lambda: -10.0, lambda: None)
        task = asyncio.create_task(probe.run())
        await asyncio.sleep(5.05)
        assert store.probed == 0
        store.arrives = False
        await asyncio.sleep(1.0)
        assert store.probed == 4
        task.cancel()

    run_on_paused_clock(scenario())


def test_only_old_appends_end_at_the_return_of_the_store():
    async def scenario():
        appends = OpenCalls()
        outcomes = []

        async def append(name, seconds):
            try:
                async with appends.track():
                    await asyncio.sleep(seconds)
                outcomes.append((name, "stored"))
            except StoreUnknownError:
                outcomes.append((name, "unknown"))

        old = asyncio.create_task(append("old", 2.0))
        await asyncio.sleep(1.0)
        new = asyncio.create_task(append("new", 0.1))
        await asyncio.sleep(0.05)
        assert appends.end_old() == 1
        await asyncio.gather(old, new)
        assert outcomes == [("old", "unknown"), ("new", "stored")]
        assert appends.end_old() == 0

    run_on_paused_clock(scenario())


def test_an_append_answered_during_a_suspension_is_not_ended():
    # The loop reads the answer of another call first, and that of the append later.
    async def scenario():
        loop = asyncio.get_running_loop()
        direct = MemoryStore(MemoryLogs())
        store = RelayStore(direct, None, list)
        await store.read("t", 0, wait=0.0)
        answered = loop.create_future()

        async def append_late(topic, records, **fields):
            await answered
            return 0

        direct.append = append_late
        append = asyncio.create_task(store.append("t", [Record("k", b"x")]))
        await asyncio.sleep(0.1)
        loop._clock_selector.now += 3.0
        store.record_direct_answer()
        for _ in range(3):
            await asyncio.sleep(0)
        answered.set_result(None)
        assert await append == 0
        assert store.ended_appends == 0

    run_on_paused_clock(scenario())


def test_a_retry_time_leaves_another_try_and_spreads_callers():
    for outage_s in (0.0, 1.0, 5.0, 60.0):
        for remaining_s in (3.0, 10.0, 30.0):
            times = [
                choose_retry_time(outage_s, remaining_s, 8.0, f"{i:016x}")
                for i in range(200)
            ]
            assert max(times) < remaining_s
            assert min(times) >= 1.0
    assert max(times) - min(times) > 1.0
    urgent = choose_retry_time(60.0, 30.0, 0.4, JOB_ID)
    assert urgent < choose_retry_time(60.0, 30.0, 8.0, JOB_ID)


def test_a_call_that_was_sent_in_an_outage_and_fails_later_sends_none_through_a_peer():
    # The peer may have been lost since, and its daemon claims a pool just then.
    async def scenario():
        direct = MemoryStore(MemoryLogs())
        relayed = []

        async def request(peer, *args, **fields):
            relayed.append(peer)
            raise StoreUnknownError("lost", step="test")

        calls = SimpleNamespace(request=request)
        store = RelayStore(direct, calls, lambda: ["b"])
        await store.append("t", [Record("k", b"x")])
        append = direct.append

        async def append_in_outage(topic, records, **fields):
            await asyncio.sleep(2.0)
            raise StoreUnknownError("no answer", step="test")

        direct.append = append_in_outage
        fence = Fence("p", 5, 1)
        sent = asyncio.create_task(
            store.append("t", [Record("k", b"x")], fence=fence, timeout=2.5)
        )
        await asyncio.sleep(1.9)
        direct.append = append
        store._open_appends.end_old = lambda: 0
        store.record_direct_answer()
        await asyncio.wait({sent})
        assert sent.exception() is not None
        relayed.clear()
        await store.append("t", [Record("k", b"y")])
        assert relayed == []

    run_on_paused_clock(scenario())


def test_a_read_of_a_claim_that_an_outage_has_cut_off_is_repeated_at_the_return():
    async def scenario():
        logs = MemoryLogs()
        store = RelayStore(MemoryStore(logs), None, list)
        await store.append("t", [Record("k", b"x")])
        logs.faults.is_silent = True
        await asyncio.sleep(1.5)
        page = asyncio.create_task(store.newest("t", timeout=2.5))
        await asyncio.sleep(0.5)
        logs.faults.is_silent = False
        store.record_direct_answer()
        await asyncio.wait({page}, timeout=0.1)
        assert page.done()
        assert [item.key for item in page.result().items] == ["k"]

    run_on_paused_clock(scenario())


def test_a_pool_is_claimed_soon_after_an_outage_that_cut_its_claim_off():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c", "d")
        lost = cell.owner()
        cell.logs.faults.is_silent = True
        await asyncio.sleep(1.0)
        await cell.kill(lost, loses_power=True)
        await asyncio.sleep(3.0)
        cell.logs.faults.is_silent = False
        returned_at = asyncio.get_running_loop().time()
        while cell.owner() is None:
            await asyncio.sleep(0.05)
        # The links to the owner may have been cut too, which takes 1 s to tell.
        assert asyncio.get_running_loop().time() - returned_at < 1.6

    run_scenario(scenario)
