"""What a new owner tells of the hosts and former owners that its tasks wait for."""

import asyncio
import logging

from tests.work.cell import POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import leave, start_cell, wait_for_owner


def find_lines(caplog, message):
    return [rec for rec in caplog.records if rec.message.startswith(message)]


def read_takeovers(daemon):
    value = daemon.metrics.registry.get_sample_value
    return value("siskinroad_takeover_seconds_count")


def read_wait(daemon):
    value = daemon.metrics.registry.get_sample_value
    return value("siskinroad_takeover_wait_seconds", {"pool": POOL})


def test_a_new_owner_names_the_silent_host_the_lost_owner_and_the_end_of_the_wait(
    caplog,
):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_cell(cell)
        lost = cell.owner()
        await cell.kill(lost, loses_power=True)
        leave(cell, "i-1")
        name = await wait_for_owner(cell, {lost})
        await asyncio.sleep(3.0)
        line = find_lines(caplog, "owner: tasks of earlier terms wait")[0]
        owner = cell.daemons[name].owners[POOL]
        assert (line.pool, line.term) == (POOL, owner.term.number)
        assert (line.silent_hosts, line.hosts) == (1, ["i-1"])
        assert len(line.former_owners) == 1
        assert line.former_owners[0].startswith(f"{lost} ")
        assert line.leases_end_in_s > 0
        assert read_takeovers(cell.daemons[name]) == 0
        assert read_wait(cell.daemons[name]) > 2.0
        await asyncio.sleep(20.0)
        settled = find_lines(caplog, "pool_state: runs of former owners")[-1]
        assert settled.hosts == ["i-1"]
        assert read_takeovers(cell.daemons[name]) == 1
        assert read_wait(cell.daemons[name]) == 0

    run_scenario(scenario)


def test_a_takeover_from_which_all_hosts_answer_writes_no_line(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_cell(cell)
        lost = cell.owner()
        await cell.kill(lost)
        name = await wait_for_owner(cell, {lost})
        await asyncio.sleep(3.0)
        assert not find_lines(caplog, "owner: tasks of earlier terms wait")
        assert read_takeovers(cell.daemons[name]) == 1

    run_scenario(scenario)


def test_a_new_owner_tells_why_it_waits_for_the_longest_time(caplog):
    # The new owner knows nobody whom the lost one asked, and reaches none of its hosts.
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", JOB_ID, job(step(1, estimate=1000.0)))
        await cell.wait_for_starts(1)
        for name in list(cell.daemons):
            await cell.kill(name, loses_power=True)
        for name in list(cell.hosts.hosts):
            leave(cell, name)
        cell.start("x")
        await asyncio.sleep(14.0)
        line = find_lines(caplog, "owner: tasks of earlier terms wait")[0]
        assert line.wait == "longest: too few witnesses or hosts show that leases end"

    run_scenario(scenario)


def test_a_new_owner_tells_how_the_end_of_the_leases_became_known(caplog):
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_cell(cell)
        await cell.kill(cell.owner(), loses_power=True)
        leave(cell, "i-1")
        await asyncio.sleep(6.0)
        line = find_lines(caplog, "owner: tasks of earlier terms wait")[-1]
        assert line.wait == "no former owner extends its leases"

    run_scenario(scenario)


def test_the_start_of_a_term_tells_what_is_known_of_the_former_owners(caplog):
    # Why an owner waited for 14.4 s could not be told from the line.
    caplog.set_level(logging.INFO)

    async def scenario(cell):
        await start_cell(cell)
        lost = cell.owner()
        former_term = cell.daemons[lost].owners[POOL].term.number
        await cell.kill(lost, loses_power=True)
        await wait_for_owner(cell, {lost})
        line = find_lines(caplog, "owner: term started")[-1]
        assert (line.hosts, line.hosts_term) == (3, former_term)
        assert (line.claim_count, line.claims) == (1, [f"{lost} {former_term}"])
        assert line.are_former_owners_known
        assert 14.0 < line.leases_end_in_s < 14.5

    run_scenario(scenario)
