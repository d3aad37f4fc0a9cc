"""An owner whose event loop is late, while its hosts reply in time."""

import asyncio

from siskinroad.work.host import LEASE_S
from siskinroad.work.host_commands import MAX_COMMANDS_PER_HOST
from siskinroad.work.hosts import EndKind
from siskinroad.work.hosts_memory import _Run
from siskinroad.work.model import TaskId
from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

# Reply time in seconds of a host in another region than its owner, where the tasks run
# first; the other hosts are near.
FAR_REPLY_DELAY_S = 0.03


def block_loop(seconds):
    """Let the time pass during which a callback keeps the loop from running others."""
    asyncio.get_running_loop()._clock_selector.now += seconds


def make_every_turn_late(turns, seconds):
    """Make each of the next turns of the loop take some time."""
    if turns:
        block_loop(seconds)
        loop = asyncio.get_running_loop()
        loop.call_soon(make_every_turn_late, turns - 1, seconds)


def test_a_task_that_ended_while_its_owner_was_late_is_not_started_again():
    # The owner's loop stands still for longer than the host's lease; the host has
    # ended the task before that, and lists the end when it is called again.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 0.47
        cell.hosts.hosts["i-0"].reply_delay_s = FAR_REPLY_DELAY_S
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=16000)))
        await cell.wait_for_starts(4)
        block_loop(5.5)
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(3.0)
        assert [start.run for start in cell.hosts.starts()] == [1, 1, 1, 1]

    run_scenario(scenario)


def test_an_owner_late_in_every_turn_keeps_its_leases_by_the_replies_that_arrive():
    # Each turn of the loop takes longer than a host's reply time. A reply needs a few
    # turns from its arrival to its reader, so a timeout by the clock would drop it, and
    # the host would get no further lease.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 8.0
        cell.hosts.hosts["i-0"].reply_delay_s = FAR_REPLY_DELAY_S
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=16000)))
        await cell.wait_for_starts(4)
        make_every_turn_late(30, 0.3)
        await cell.wait_for_state(JOB_ID, "complete")
        assert [start.run for start in cell.hosts.starts()] == [1, 1, 1, 1]

    run_scenario(scenario)


def test_expired_lease_of_a_host_that_was_not_called_since_ends_no_run():
    # A host's replies are lost for a moment, and the owner's loop stands still before
    # it calls the host again: the lease is over, but nobody has asked what ran.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 1.5
        far_host = cell.hosts.hosts["i-0"]
        far_host.reply_delay_s = FAR_REPLY_DELAY_S
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=16000)))
        await cell.wait_for_starts(4)
        far_host.is_silent = True
        pool_state = cell.daemons["a"].owners[POOL].pool_state
        while not pool_state.hosts["i-0"].is_failing:
            await asyncio.sleep(0.02)
        far_host.is_silent = False
        block_loop(5.5)
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(3.0)
        assert [start.run for start in cell.hosts.starts()] == [1, 1, 1, 1]

    run_scenario(scenario)


def test_runs_of_a_host_that_is_lost_are_placed_again_soon_after_its_lease():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 30.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        cell.hosts.hosts[start.host].is_silent = True
        starts = await cell.wait_for_starts(2)
        assert starts[1].at - starts[0].at < LEASE_S + 1.5

    run_scenario(scenario)


def test_a_reply_that_comes_after_its_host_was_removed_adopts_no_run():
    # A host has left the list and its lease is over, but a call to it is still in
    # progress. A task that is adopted on the removed host would never run again.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 3.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        owner = cell.daemons["a"].owners[POOL]
        host = owner.pool_state.hosts[start.host]
        cell.hosts.hosts[start.host].reply_delay_s = 0.1
        call = asyncio.create_task(owner.lease_renewer._renew_once(host, 0.0))
        await asyncio.sleep(0.05)
        cell.unlist(start.host)
        owner.pool_state.note_host_unlisted(start.host, 1.0)
        now = asyncio.get_running_loop().time()
        host.lease_expires_at, host.unanswered_renewal_at = 0.0, now
        owner.pool_state.expire_silent_hosts(now)
        assert not await call
        await cell.wait_for_state(JOB_ID, "complete")

    run_scenario(scenario)


def test_a_host_that_is_back_as_another_incarnation_keeps_the_ends_not_seen_yet():
    # The former incarnation's ends were acknowledged up to a number that the present
    # one reaches anew; acknowledging that number would drop ends that nobody has seen.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 0.3
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=16000)))
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(1.5)
        host = cell.hosts.hosts["i-0"]
        pool_state = cell.daemons["a"].owners[POOL].pool_state
        assert pool_state.hosts["i-0"].last_end_stored == 2
        host.is_silent = True
        while not pool_state.hosts["i-0"].is_failing:
            await asyncio.sleep(0.02)
        host.incarnation_ms, host.last_end_number, host.token = 2, 0, 0
        other = TaskId("00000000000000bb", 0, 0, 0)
        host.runs[other] = _Run(other, 1, 0.0, 0.1, EndKind.DONE)
        host.is_silent = False
        listed = []
        apply_report = pool_state.apply_report

        def note_report(state, report, *args, **fields):
            listed.extend(report.ended)
            return apply_report(state, report, *args, **fields)

        pool_state.apply_report = note_report
        await asyncio.sleep(1.0)
        assert other in [end.task for end in listed]

    run_scenario(scenario)


def test_a_start_that_waits_is_not_sent_to_a_host_that_has_failed_meanwhile():
    async def scenario(cell):
        await cell.start_daemons("a")
        for host in cell.hosts.hosts.values():
            host.is_silent = True
        await cell.submit("a", JOB_ID, job(step(24, cpu_milli=4000)))
        calls_before = cell.hosts.calls
        await asyncio.sleep(1.0)
        starts = cell.daemons["a"].metrics.starts
        assert starts.labels("unknown")._value.get() <= 3 * MAX_COMMANDS_PER_HOST
        assert cell.hosts.calls > calls_before

    run_scenario(scenario)


def test_planning_a_long_backlog_leaves_time_to_renew_leases():
    # A pass over a long backlog takes longer than the interval in which the next one is
    # requested. Planning without a rest would leave the loop no time for the hosts.
    async def scenario(cell):
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners[POOL]
        passes = []

        def plan(now, wall, channels):
            passes.append(now)
            block_loop(0.3)
            return []

        owner.planner.plan = plan
        loop = asyncio.get_running_loop()
        began = loop.time()
        await asyncio.sleep(12.0)
        assert len(passes) > 3
        assert len(passes) * 0.3 < 0.4 * (loop.time() - began)

    run_scenario(scenario)


def test_a_late_daemon_refuses_no_job_for_the_silence_of_the_store():
    async def scenario(cell):
        await cell.start_daemons("a")
        block_loop(3.0)
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind == "ok", reply.reason

    run_scenario(scenario)
