"""Daemons that share a pool: failures injected on a paused clock."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.peers import Reachability
from siskinroad.work.hosts import EndKind
from siskinroad.work.model import TaskId
from siskinroad.work.records import OWNER_KEY, job_topic
from siskinroad.work.store import Record
from tests.work.cell import ADVISED, POOL, POOLS, SLOW, Cell, job, step

JOB_ID = "00000000000000aa"


def run_scenario(scenario, **fields):
    async def run_and_close():
        cell = Cell(**fields)
        try:
            await scenario(cell)
        finally:
            await cell.close()
        cell.check_run_numbers()

    run_on_paused_clock(run_and_close())


def test_two_step_job_runs_in_order_and_completes():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        spec = job(step(3), step(2, after=(0,)))
        reply = await cell.submit("b", JOB_ID, spec)
        assert reply.kind == "ok"
        await cell.wait_for_state(JOB_ID, "complete")
        starts = cell.hosts.starts()
        first_end = min(s.at for s in starts if s.task.step == 0) + 1.0
        assert len(starts) == 5
        assert all(s.at >= first_end for s in starts if s.task.step == 1)

    run_scenario(scenario)


def test_resubmission_of_completed_job_starts_nothing():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        reply = await cell.submit("b", JOB_ID, job())
        assert reply.kind == "ok"
        await asyncio.sleep(3)
        assert len(cell.hosts.starts()) == 1
        assert await cell.state("b", JOB_ID) == "complete"

    run_scenario(scenario)


def test_runs_continue_when_owner_is_killed():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 6.0
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job(step(4)))
        await asyncio.sleep(0.5)
        assert len(cell.hosts.starts()) == 4
        await cell.kill(cell.owner())
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 4

    run_scenario(scenario)


def test_takeover_from_killed_owner_starts_new_work_within_half_a_second():
    # Urgent jobs lose most of their value within a second, so a killed owner must be
    # replaced before its heartbeats time out.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.kill(cell.owner())
        began = asyncio.get_running_loop().time()
        await cell.submit(next(iter(cell.daemons)), JOB_ID, job())
        starts = await cell.wait_for_starts(1)
        assert starts[0].at - began < 0.5

    run_scenario(scenario)


def test_takeover_after_power_loss_starts_new_work_within_two_and_a_half_seconds():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.kill(cell.owner(), loses_power=True)
        began = asyncio.get_running_loop().time()
        await cell.submit(next(iter(cell.daemons)), JOB_ID, job())
        starts = await cell.wait_for_starts(1)
        assert starts[0].at - began < 2.5

    run_scenario(scenario)


def test_waiting_work_starts_within_a_second_after_restart_of_all_daemons():
    # All daemons are killed at once while jobs wait, and then restart; the waiting jobs
    # must not wait for long after that.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        reply = await cell.submit("a", JOB_ID, job(step(20, cpu_milli=32000)))
        assert reply.kind == "ok"
        await asyncio.sleep(0.2)
        starts_before = len(cell.hosts.starts())
        for name in "abc":
            await cell.kill(name)
        for host in cell.hosts.hosts.values():
            host.advance()
        await asyncio.sleep(1.5)
        began = asyncio.get_running_loop().time()
        for name in "abc":
            cell.start(name)
        starts = await cell.wait_for_starts(starts_before + 1)
        assert starts[-1].at - began < 1.0

    run_scenario(scenario)


@pytest.mark.parametrize("by_size", ["abcd", "badc", "cadb", "dcba"])
def test_next_largest_daemon_takes_over_from_killed_owner(by_size):
    async def scenario(cell):
        for name, processor in zip(by_size, (2.1, 1.6, 1.1, 0.5), strict=True):
            cell.start(name, processor)
        await asyncio.sleep(3.0)
        for _ in "abc":
            owner = cell.owner()
            await cell.kill(owner)
            await asyncio.sleep(3.0)
            assert cell.owner() == next(n for n in by_size if n in cell.daemons)

    run_scenario(scenario)


@pytest.mark.parametrize("by_size", ["abcd", "badc", "cadb", "dcba"])
def test_pool_of_owner_that_lost_power_is_claimed_soon(by_size):
    async def scenario(cell):
        for name, processor in zip(by_size, (2.1, 1.6, 1.1, 0.5), strict=True):
            cell.start(name, processor)
        await asyncio.sleep(3.0)
        assert cell.owner() == by_size[0]
        await cell.kill(by_size[0], loses_power=True)
        await asyncio.sleep(1.5)
        assert cell.owner() == by_size[1]

    run_scenario(scenario)


def count_claims(cell, pool):
    """Return the number of claims of a pool that the store holds."""
    records = cell.logs.topics[job_topic(pool)].records
    return sum(record.key == OWNER_KEY for record in records)


@pytest.mark.parametrize("by_size", ["abcd", "badc", "cadb", "dcba"])
def test_daemons_that_start_at_once_claim_the_largest_pools_by_processor(by_size):
    # Each daemon can claim before it knows that the others can: if each went by what
    # it knows, all would claim every pool, and the last claim would own.
    async def scenario(cell):
        for i in range(8):
            cell.add_host(f"k-{i}", pool="bulk")
        for name, processor in zip(by_size, (2.1, 1.9, 1.7, 0.5), strict=True):
            cell.start(name, processor)
        await asyncio.sleep(3.0)
        assert [cell.owner(p) for p in ("bulk", POOL, "archive")] == list(by_size[:3])
        assert [count_claims(cell, p) for p in POOLS] == [1, 1, 1]

    run_scenario(scenario, configuration=2)


@pytest.mark.parametrize("delay", [0.1, 0.3])
def test_smaller_daemon_does_not_claim_before_a_larger_one_that_is_starting(delay):
    async def scenario(cell):
        cell.start("a", 0.5)
        await asyncio.sleep(delay)
        cell.start("b", 2.1)
        await asyncio.sleep(3.0)
        assert cell.owner() == "b" and count_claims(cell, POOL) == 1

    run_scenario(scenario)


def test_larger_daemon_that_cannot_claim_delays_a_claim_by_less_than_a_second():
    # A daemon that gets no configuration never becomes able to claim.
    async def scenario(cell):
        cell.start("c", 1.1)
        await asyncio.sleep(3.0)
        starting = cell.start("b", 2.1)
        starting.configuration_reader.apply_record = lambda record: None
        cell.start("a", 0.5)
        await asyncio.sleep(3.0)
        await cell.kill("c")
        began = asyncio.get_running_loop().time()
        while cell.owner() != "a":
            await asyncio.sleep(0.01)
            assert asyncio.get_running_loop().time() - began < 1.0

    run_scenario(scenario)


def test_restarted_daemon_does_not_claim_pool_before_heartbeats_of_its_owner_arrive():
    # After a restart on a busy host, the owner's heartbeats arrive late; the daemon
    # must not take that for a dead owner.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        restarted = next(name for name in "abc" if name != owner)
        await cell.kill(restarted)
        cell.network.faults.cut.add((owner, restarted))
        cell.start(restarted)
        cell.daemons[restarted].peers.probe = answer_listening
        await asyncio.sleep(1.0)
        cell.network.faults.cut.clear()
        await asyncio.sleep(1.0)
        assert cell.owner() == owner

    async def answer_listening(name):
        return Reachability.LISTENS

    run_scenario(scenario)


def test_drained_owner_hands_over_at_once():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        await cell.daemons[owner].drain()
        # The process runs on briefly, so that its last heartbeat reaches the others.
        await asyncio.sleep(0.05)
        await cell.kill(owner)
        began = asyncio.get_running_loop().time()
        await cell.submit(next(iter(cell.daemons)), JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        assert cell.hosts.starts()[0].at - began < 1.2

    run_scenario(scenario)


def test_draining_owner_renews_leases_until_store_recovers():
    # An owner stopped when the store became silent. No daemon could claim its pool, and
    # the leases of 21 runs expired before the store answered again.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 9.0
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job(step(6, estimate=9.0)))
        await asyncio.sleep(0.5)
        cell.logs.faults.is_silent = True
        leaving = cell.daemons.pop(cell.owner())
        drain = asyncio.create_task(leaving.drain(3.5))
        await asyncio.sleep(3.0)
        assert leaving.owners
        cell.logs.faults.is_silent = False
        await asyncio.sleep(2.0)
        assert cell.owner() is not None
        await drain
        await leaving.close()
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 6

    run_scenario(scenario)


def test_drain_releases_pools_in_time_during_endless_outage():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.faults.is_silent = True
        leaving = cell.daemons.pop(cell.owner())
        began = asyncio.get_running_loop().time()
        await leaving.drain(3.5)
        assert asyncio.get_running_loop().time() - began < 3.5 + 1.3
        await leaving.close()

    run_scenario(scenario)


def test_daemon_started_without_store_serves_through_peers():
    # A daemon is killed and restarts while the store rejects its calls.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        restarted = next(name for name in "abc" if name != cell.owner())
        await cell.kill(restarted)
        cell.logs.faults.cut.add(restarted)
        await asyncio.sleep(1.0)
        cell.start(restarted)
        await asyncio.sleep(4.0)
        assert cell.daemons[restarted].is_ready
        reply = await cell.submit(restarted, JOB_ID, job())
        assert reply.kind == "ok"
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_drained_owner_hands_over_with_slow_store():
    # In a rolling restart, each answer of the store takes 0.4 s. The draining owner
    # continues until it has seen one answer. The successor's claim takes four calls
    # and must not wait for the former owner's last records.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job(step(8)))
        await asyncio.sleep(0.1)
        cell.logs.faults.call_delay_s = 0.4
        leaving = cell.daemons.pop(cell.owner())
        drain = asyncio.create_task(leaving.drain(3.5))
        await asyncio.sleep(0.4 + 0.05)
        assert not leaving.owners
        await asyncio.sleep(4 * 0.4 + 0.5)
        assert cell.owner() is not None
        await drain
        await leaving.close()
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 8

    run_scenario(scenario)


@pytest.mark.parametrize("late_start_delay", [-1.0, 0.3, 1.5, 3.0])
def test_unanswered_start_never_causes_second_run(late_start_delay):
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for host in cell.hosts.hosts.values():
            host.unanswered_starts = 1
            host.late_start_delay = late_start_delay
        await cell.submit("a", JOB_ID, job(step(3)))
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(5)
        assert len(cell.check_run_numbers()) == 3
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_unanswered_start_is_replaced_within_half_a_second():
    # The starts get no answer and are executed by the hosts 3 s later.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for host in cell.hosts.hosts.values():
            host.unanswered_starts = 1
            host.late_start_delay = 3.0
        began = asyncio.get_running_loop().time()
        await cell.submit("a", JOB_ID, job(step(1)))
        starts = await cell.wait_for_starts(1)
        assert starts[0].at - began < 0.5
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(4.0)
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_task_of_unreachable_host_restarts_only_after_lease_expiry():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 8.0
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(1)))
        await asyncio.sleep(0.5)
        first = cell.hosts.starts()[0]
        silent_host = cell.hosts.hosts[first.host]
        silent_host.is_silent = True
        cell.unlist(first.host)
        second = (await cell.wait_for_starts(2))[1]
        assert second.host != first.host
        silent_host.advance()
        assert not silent_host.runs

    run_scenario(scenario)


def test_end_seen_only_by_successor_survives_next_takeover():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job(step(2), step(1, after=(0,))))
        await asyncio.sleep(0.5)
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 30.0
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(1.5)
        await cell.kill(cell.owner())
        cell.logs.faults.is_unavailable = False
        await cell.wait_for_owner()
        await cell.kill(cell.owner())
        cell.start("d")
        await asyncio.sleep(8.0)
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_superseded_owner_starts_no_job_stored_after_the_claim():
    # A slow owner stores a job for a caller after another daemon's claim, which it has
    # not read yet; only the successor may start that job.
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        former = cell.owner()
        successor = next(name for name in cell.daemons if name != former)
        cell.network.faults.cut |= {(former, successor), (successor, former)}
        cell.logs.faults.no_read_replies.add(former)
        for _ in range(60):
            if POOL in cell.daemons[successor].owners:
                break
            await asyncio.sleep(0.05)
        owner = cell.daemons[former].owners[POOL]
        await cell.submit(former, JOB_ID, job())
        assert JOB_ID not in owner.pool_state.jobs
        await cell.wait_for_starts(1)
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_accepted_job_survives_crash_of_all_daemons():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        await cell.submit("a", JOB_ID, job(step(2)))
        for name in ("a", "b", "c"):
            await cell.kill(name)
        await cell.start_daemons("a", "b", "c")
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 2

    run_scenario(scenario)


def test_unanswered_job_append_is_never_reported_as_not_run():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.faults.lost_replies = 1
        cell.logs.faults.late_append_delay = 0.5
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind in ("ok", "unknown")
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_unavailable_store_refuses_jobs_at_once_and_accepted_work_continues():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(1), step(1, after=(0,))))
        await asyncio.sleep(0.2)
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(3.0)
        began = asyncio.get_running_loop().time()
        reply = await cell.submit("a", "00000000000000bb", job())
        assert reply.kind == "not_now" and reply.retry_after > 0
        assert asyncio.get_running_loop().time() - began < 0.1
        assert len(cell.hosts.starts()) == 2
        assert await cell.state("a", JOB_ID) == "active"
        cell.logs.faults.is_unavailable = False
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_callers_are_refused_during_store_outage_and_served_soon_after():
    # The store answers nothing for several seconds, while callers retry every 0.25 s.
    # They must not wait for their whole deadline, nor be refused after its recovery.
    async def scenario(cell):
        loop = asyncio.get_running_loop()
        await cell.start_daemons("a", "b")
        cell.logs.faults.is_silent = True
        first = asyncio.create_task(cell.submit("b", JOB_ID, job()))
        await asyncio.sleep(0.5)
        began = loop.time()
        reply = await cell.submit("b", "00000000000000bb", job())
        assert reply.kind == "not_now" and reply.retry_after > 0
        assert loop.time() - began < 1.0
        assert (await first).kind == "unknown"
        await asyncio.sleep(2.0)
        cell.logs.faults.is_silent = False
        recovered_at = loop.time()
        while (await cell.submit("b", "00000000000000bb", job())).kind != "ok":
            await asyncio.sleep(0.25)
        starts = await cell.wait_for_starts(1)
        assert starts[0].at - recovered_at < 1.5

    run_scenario(scenario)


def test_daemon_cut_off_from_store_accepts_jobs_through_peer():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.cut.add("a")
        await asyncio.sleep(1.0)
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind == "ok"
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_owner_cut_off_from_store_completes_jobs():
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.cut.add(cell.owner())
        await asyncio.sleep(1.0)
        other = next(n for n in cell.daemons if n != cell.owner())
        await cell.submit(other, JOB_ID, job(step(2), step(1, after=(0,))))
        await cell.wait_for_state(JOB_ID, "complete", 8.0)

    run_scenario(scenario)


def test_owner_cut_off_from_store_for_long_starts_jobs_without_delay():
    # For many seconds the store is unavailable to the owner alone, while jobs arrive;
    # their starts must not be delayed.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        owner = cell.owner()
        cell.logs.faults.cut.add(owner)
        await asyncio.sleep(3.0)
        other = next(n for n in cell.daemons if n != owner)
        for i in range(16):
            began = asyncio.get_running_loop().time()
            await cell.submit(other, f"{i:016x}", job())
            starts = await cell.wait_for_starts(i + 1)
            assert starts[-1].at - began < 0.6
            await asyncio.sleep(0.4)

    run_scenario(scenario)


def test_cancelled_job_stops_its_runs_and_starts_no_more():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(2), step(2, after=(0,))))
        await asyncio.sleep(0.3)
        reply = await cell.daemons["b"].job_service.cancel(
            ADVISED, JOB_ID, cell.deadline()
        )
        assert reply.kind == "ok"
        await asyncio.sleep(4)
        assert await cell.state("b", JOB_ID) == "cancelled"
        assert len(cell.hosts.starts()) == 2
        assert not any(host.runs for host in cell.hosts.hosts.values())

    run_scenario(scenario)


def test_queued_starts_are_dropped_after_cancel():
    # A step of many tasks is cancelled while most of its starts wait for earlier
    # commands to the same slow host.
    async def scenario(cell):
        await cell.start_daemons("a")
        host = cell.hosts.hosts["i-0"]
        host.unanswered_starts = 3
        await cell.submit("a", JOB_ID, job(step(8)))
        await asyncio.sleep(0.1)
        await cell.daemons["a"].job_service.cancel(ADVISED, JOB_ID, cell.deadline())
        await asyncio.sleep(4)
        assert not host.starts
        await cell.submit("a", "00000000000000bb", job(step(8)))
        assert len(await cell.wait_for_starts(8)) == 8

    run_scenario(scenario, hosts=1)


def test_missing_job_is_reported_only_from_fresh_records():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        assert await cell.state("a", JOB_ID) == "no_job"
        cell.logs.faults.is_unavailable = True
        await asyncio.sleep(4)
        assert await cell.state("a", JOB_ID) == "not_now"

    run_scenario(scenario)


def test_job_fails_after_its_last_attempt():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.end_kind = EndKind.FAILED
            host.task_duration_s = 0.2
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "failed")
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_job_too_large_for_every_host_is_refused_at_once():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        reply = await cell.submit("a", JOB_ID, job(step(1, cpu_milli=64000)))
        assert reply.kind == "never"

    run_scenario(scenario)


def test_draining_host_gets_no_new_work():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        for name in ("i-0", "i-1"):
            cell.drain(name)
        await asyncio.sleep(1.0)
        await cell.submit("a", JOB_ID, job(step(5)))
        await cell.wait_for_state(JOB_ID, "complete")
        assert {start.host for start in cell.hosts.starts()} == {"i-2"}

    run_scenario(scenario)


def test_gang_starts_together_or_not_at_all():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        big = step(1, cpu_milli=30000)
        await cell.submit("a", "00000000000000cc", job(big))
        await asyncio.sleep(0.3)
        gang = step(3, cpu_milli=30000, gang=True)
        await cell.submit("a", JOB_ID, job(gang))
        await cell.wait_for_state(JOB_ID, "complete")
        starts = [s for s in cell.hosts.starts() if s.task.job == JOB_ID]
        assert len(starts) == 3
        assert max(s.at for s in starts) - min(s.at for s in starts) < 0.1

    run_scenario(scenario)


def test_advised_steps_start_only_on_allowed_hosts():
    async def scenario(cell):
        cell.advisor.denied = {"i-0", "i-2"}
        await cell.start_daemons("a", "b")
        job_service = cell.daemons["a"].job_service
        await job_service.submit(ADVISED, JOB_ID, job(step(3)), cell.deadline())
        await cell.wait_for_state(JOB_ID, "complete")
        assert {s.host for s in cell.hosts.starts()} == {"i-1"}

    run_scenario(scenario)


def test_occurrences_start_when_they_are_due():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        first = asyncio.get_running_loop().time() + 1.0
        spec = job(step(1), occurrences=3, first=first, interval=2.0)
        await cell.submit("a", JOB_ID, spec)
        await cell.wait_for_state(JOB_ID, "complete")
        starts = cell.hosts.starts()
        assert [s.task.occurrence for s in starts] == [0, 1, 2]
        for start in starts:
            due = first + 2.0 * start.task.occurrence
            assert -0.25 <= start.at - due < 0.5

    run_scenario(scenario)


def test_followers_recover_after_records_are_trimmed():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.faults.cut.update({"a", "b"})
        await asyncio.sleep(2.0)
        cell.add_host("i-9")
        for topic in ("keyed.list", "keyed.setup"):
            cell.logs.trim(topic)
        cell.logs.faults.cut.clear()
        await asyncio.sleep(3.0)
        for name in ("i-0", "i-1", "i-2"):
            cell.unlist(name)
        await asyncio.sleep(5.0)
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        assert cell.hosts.starts()[0].host == "i-9"

    run_scenario(scenario)


def test_restarted_host_has_lost_its_runs():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 5.0
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job())
        await asyncio.sleep(0.5)
        host = cell.hosts.hosts[cell.hosts.starts()[0].host]
        host.runs.clear()
        host.last_run.clear()
        host.token = 0
        host.incarnation_ms += 1
        await asyncio.sleep(3.0)
        assert len(cell.hosts.starts()) == 2
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_task_ids_with_different_indices_differ():
    assert TaskId("a", 0, 1, 2) != TaskId("a", 0, 1, 3)


def test_an_owner_that_rereads_the_claims_acts_again_within_half_a_second():
    # The store holds a read open for a second while there is no new record. For as
    # long as the claims are not confirmed, no lease is renewed and nothing is started.
    async def scenario(cell):
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners[POOL]
        owner.recheck_claims()
        assert not owner.term.is_owner_confirmed()
        await asyncio.sleep(0.5)
        assert owner.term.is_owner_confirmed()

    run_scenario(scenario)


def test_jobs_of_a_removed_queue_complete_after_a_takeover():
    # The queue is removed while a job of it runs, and then another daemon takes over.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 4.0
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(), step(after=(0,))), SLOW)
        await cell.wait_for_starts(1)
        cell.logs.append("keyed.setup", [Record("config", b"3")], None, None)
        await asyncio.sleep(1.5)
        await cell.kill(cell.owner())
        await cell.wait_for_state(JOB_ID, "complete", seconds=30.0)

    run_scenario(scenario)
