"""Hosts whose replies do not tell what runs there, or that take long to reply."""

import asyncio
import dataclasses

import pytest

from siskinroad.work.advice import AdviceResult
from siskinroad.work.effects import ThrottleRun
from siskinroad.work.host import LEASE_S
from siskinroad.work.hosts import CommandReply, Rejection
from tests.work.cell import ADVISED, FAST, POOL, host_record, job, step
from tests.work.test_daemon import JOB_ID, run_scenario

OTHER_JOB_ID = "00000000000000bb"


def reject_renewals(cell, name, rejection, seconds):
    """Let a host reject every renewal for a while; its runs go on."""
    renew_lease = cell.hosts.renew_lease
    until = asyncio.get_running_loop().time() + seconds

    async def reject(host, *args):
        if host == name and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.001)
            return rejection
        return await renew_lease(host, *args)

    cell.hosts.renew_lease = reject


def test_runs_of_a_host_that_rejects_every_renewal_are_placed_again():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 30.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        reject_renewals(cell, start.host, Rejection.UNAVAILABLE, 60.0)
        starts = await cell.wait_for_starts(2)
        assert LEASE_S < starts[1].at - starts[0].at < LEASE_S + 1.5

    run_scenario(scenario)


def test_a_host_that_rejects_some_renewals_keeps_its_runs():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 8.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        reject_renewals(cell, start.host, Rejection.UNAVAILABLE, 2.5)
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_a_stop_that_an_unavailable_host_rejects_is_sent_again():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 30.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        stop = cell.hosts.stop
        rejected = []

        async def reject_twice(command):
            if len(rejected) < 2:
                rejected.append(command)
                return CommandReply(Rejection.UNAVAILABLE, None, None)
            return await stop(command)

        cell.hosts.stop = reject_twice
        await cell.daemons["a"].job_service.cancel(FAST, JOB_ID, cell.deadline())
        await asyncio.sleep(1.0)
        assert not cell.hosts.hosts[start.host].runs

    run_scenario(scenario)


def test_a_throttling_that_a_host_rejects_is_decided_again():
    async def scenario(cell):
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        owner = cell.daemons["a"].owners[POOL]
        (run,) = owner.pool_state.hosts[start.host].runs.values()
        run.speed_percent = 50

        async def reject(command, percent):
            return CommandReply(Rejection.UNAVAILABLE, None, None)

        cell.hosts.throttle = reject
        await owner.host_commands.throttle(ThrottleRun(start.host, run, 50))
        assert run.speed_percent != 50

    run_scenario(scenario)


def test_a_host_that_was_removed_and_comes_back_accepts_its_owner_s_token():
    # The token was raised before the host was cut off and left the list. The same
    # incarnation is back later, and still rejects lower tokens.
    async def scenario(cell):
        host = cell.hosts.hosts["i-0"]
        await cell.start_daemons("a")
        host.unanswered_starts = 1
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        pool_state = cell.daemons["a"].owners[POOL].pool_state
        assert host.token == pool_state.hosts["i-0"].token
        host.is_silent = True
        cell.unlist("i-0")
        while "i-0" in pool_state.hosts:
            await asyncio.sleep(0.1)
        host.is_silent = False
        cell.logs.append("keyed.list", [host_record("i-0")], None, None)
        await asyncio.sleep(2.0)
        await cell.submit("a", OTHER_JOB_ID, job())
        await cell.wait_for_state(OTHER_JOB_ID, "complete")

    run_scenario(scenario, hosts=1)


def test_hosts_that_reply_more_slowly_than_expected_are_used():
    # The first timeout is shorter than their reply time.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.reply_delay_s = 0.3
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_no_start_is_sent_with_a_ticket_that_has_expired():
    # The starts wait for one another, so the last ones are sent after the tickets of
    # the first advice have expired.
    async def scenario(cell):
        loop = asyncio.get_running_loop()
        host = cell.hosts.hosts["i-0"]
        host.task_duration_s = 20.0
        host.reply_delay_s = 0.4
        advise, start = cell.advisor.advise, cell.hosts.start
        expired = []

        async def advise_with_expiry(*args, **kwargs):
            result = await advise(*args, **kwargs)
            expiry = str(loop.time() + result.valid_s)
            return AdviceResult(dict.fromkeys(result.tickets, expiry), result.valid_s)

        async def note_expired(command):
            if float(command.ticket) < loop.time():
                expired.append(command)
            return await start(command)

        cell.advisor.advise, cell.hosts.start = advise_with_expiry, note_expired
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(24, cpu_milli=1000)), ADVISED)
        await cell.wait_for_starts(24)
        assert not expired

    run_scenario(scenario, hosts=1)


def test_a_host_that_keeps_rejecting_the_token_does_not_stop_its_owner():
    # The owner reads the claims once and finds that the pool is still its own.
    async def scenario(cell):
        await cell.start_daemons("a")
        cell.hosts.hosts["i-0"].token = 1 << 60
        await asyncio.sleep(2.0)
        owner = cell.daemons["a"].owners[POOL]
        confirmed = []
        for _ in range(40):
            await asyncio.sleep(0.05)
            confirmed.append(owner.term.is_owner_confirmed())
        assert all(confirmed)

    run_scenario(scenario)


def test_a_reply_from_an_address_that_a_host_has_left_ends_no_run():
    # The host is listed at another address while a call to the former one is in
    # progress, where another host replies now.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 5.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        pool_state = cell.daemons["a"].owners[POOL].pool_state
        renew_lease = cell.hosts.renew_lease
        moved = dataclasses.replace(pool_state.hosts[start.host].entry, address="new")

        async def reply_from_another_host(host, address, *args):
            if host == start.host and address != moved.address:
                pool_state.add_or_update_host(moved)
                return Rejection.OTHER_INCARNATION
            return await renew_lease(host, address, *args)

        cell.hosts.renew_lease = reply_from_another_host
        await cell.wait_for_state(JOB_ID, "complete")
        assert len(cell.hosts.starts()) == 1

    run_scenario(scenario)


def test_a_host_that_rejected_one_start_as_another_incarnation_is_used_again():
    # The host stays in the live list and replies to its renewals, so one reply from
    # another incarnation at its address says nothing of it any more.
    async def scenario(cell):
        await cell.start_daemons("a")
        start = cell.hosts.start
        rejected = []

        async def reject_once(command):
            if not rejected:
                rejected.append(command)
                return CommandReply(Rejection.OTHER_INCARNATION, None, None)
            return await start(command)

        cell.hosts.start = reject_once
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete")
        await asyncio.sleep(5.0)
        await cell.submit("a", OTHER_JOB_ID, job())
        await cell.wait_for_state(OTHER_JOB_ID, "complete")

    run_scenario(scenario, hosts=1)


def test_a_listed_host_that_was_removed_as_restarted_is_added_again():
    # Its entry in the live list is the same as before, so the list does not change.
    async def scenario(cell):
        await cell.start_daemons("a")
        reject_renewals(cell, "i-0", Rejection.OTHER_INCARNATION, 1.5)
        await asyncio.sleep(3.0)
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete", seconds=5.0)

    run_scenario(scenario, hosts=1)


def test_a_host_that_was_replaced_between_two_appends_is_used():
    # The set of used hosts in the store names it already, so nothing is to be stored.
    async def scenario(cell):
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners[POOL]
        now = asyncio.get_running_loop().time()
        owner.pool_state.replace_host(owner.pool_state.hosts["i-0"], now)
        owner.apply_host_list(cell.daemons["a"].hosts)
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_state(JOB_ID, "complete", seconds=5.0)

    run_scenario(scenario, hosts=1)


def test_a_lost_reply_to_a_start_does_not_count_against_a_host_that_reported_since():
    # While many replies to starts are lost, the host would otherwise be asked for most
    # of its reports without a renewal of its lease, and what runs there would lapse.
    async def scenario(cell):
        host = cell.hosts.hosts["i-0"]
        host.task_duration_s = 0.3
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        await cell.wait_for_starts(1)
        await asyncio.sleep(0.2)
        renew_lease = cell.hosts.renew_lease
        has_lease = []

        async def note_lease(name, address, token, acknowledged, lease_until, wait):
            has_lease.append(lease_until is not None)
            return await renew_lease(
                name, address, token, acknowledged, lease_until, wait
            )

        cell.hosts.renew_lease = note_lease
        # The first job ends, and is reported, before the second start's timeout.
        host.unanswered_starts = 1
        await cell.submit("a", OTHER_JOB_ID, job())
        await cell.wait_for_state(OTHER_JOB_ID, "complete")
        assert host.unanswered_starts == 0 and all(has_lease)

    run_scenario(scenario, hosts=1)


@pytest.mark.parametrize(
    "rejection", [Rejection.NO_CAPACITY, Rejection.LEASE_EXPIRED, Rejection.INVALID]
)
def test_rejected_starts_are_not_repeated_before_the_host_reports(rejection):
    # The hosts do not agree with what the owner knows of them: without a new report it
    # chooses the same host again, several hundred times in these seconds.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.reply_delay_s = 0.02
        await cell.start_daemons("a")
        start = cell.hosts.start
        rejected = []

        async def reject(command):
            await asyncio.sleep(0.02)
            rejected.append(command)
            return CommandReply(rejection, None, None)

        cell.hosts.start = reject
        await cell.submit("a", JOB_ID, job(step(10)))
        await asyncio.sleep(3.0)
        assert len(rejected) < 60
        cell.hosts.start = start
        await cell.wait_for_state(JOB_ID, "complete", seconds=4.0)

    run_scenario(scenario)


def test_a_run_keeps_its_speed_if_its_host_rejects_a_throttling():
    # Taken for unknown, the speed would count as none: the next command, which is to
    # let the run work faster, would slow it down.
    async def scenario(cell):
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job())
        (start,) = await cell.wait_for_starts(1)
        owner = cell.daemons["a"].owners[POOL]
        (run,) = owner.pool_state.hosts[start.host].runs.values()
        run.speed_percent = 50

        async def reject(command, percent):
            return CommandReply(Rejection.UNAVAILABLE, None, None)

        cell.hosts.throttle = reject
        await owner.host_commands.throttle(ThrottleRun(start.host, run, 50))
        assert run.speed_percent == 100

    run_scenario(scenario)
