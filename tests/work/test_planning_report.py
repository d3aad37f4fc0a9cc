"""Tests of an owner's report of its planning: metrics and the summary line."""

import asyncio
import logging

from siskinroad.work.wait_reasons import WaitReason
from tests.work.cell import ADVISED, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_late_owner import block_loop

OTHER_JOB_ID = "00000000000000ab"


def read_gauge(cell, name, label, value):
    """Return a gauge of daemon a; None if it has no such label."""
    registry = cell.daemons["a"].metrics.registry
    return registry.get_sample_value(name, {"pool": POOL, label: value})


def read_waiting(cell):
    """Return the number of waiting tasks by reason, without 0."""
    counts = {
        reason: read_gauge(cell, "siskinroad_waiting_tasks", "reason", reason.value)
        for reason in WaitReason
    }
    return {reason: count for reason, count in counts.items() if count}


def list_summaries(caplog):
    return [r for r in caplog.records if r.getMessage() == "owner: summary"]


def test_gauges_show_a_wait_and_drop_to_zero_once_the_task_is_placed():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 6.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(3, cpu_milli=30000)))
        await cell.wait_for_starts(3)
        await cell.submit("a", OTHER_JOB_ID, job(step(2, cpu_milli=30000)))
        await asyncio.sleep(4.0)
        assert read_waiting(cell) == {WaitReason.NO_CAPACITY: 2}
        name = "siskinroad_longest_wait_seconds"
        assert 2.9 < read_gauge(cell, name, "reason", "no_capacity") <= 4.1
        await cell.wait_for_starts(5)
        await asyncio.sleep(1.5)
        assert read_waiting(cell) == {}
        assert read_gauge(cell, name, "reason", "no_capacity") == 0

    run_scenario(scenario)


def test_summary_is_logged_once_a_second_with_what_was_done(caplog):
    caplog.set_level(logging.INFO, logger="siskinroad.owner")

    async def scenario(cell):
        await cell.start_daemons("a")
        caplog.clear()
        await cell.submit("a", JOB_ID, job(step(2)))
        await cell.submit("a", OTHER_JOB_ID, job(), ADVISED)
        await asyncio.sleep(10.0)
        lines = list_summaries(caplog)
        assert 8 <= len(lines) <= 10
        assert sum(line.placed for line in lines) == 3
        assert sum(line.starts.get("started", 0) for line in lines) == 3
        assert sum(line.advice_requests for line in lines) == 1
        assert all(line.hosts == {"schedulable": 3} for line in lines)
        assert all(line.passes >= 4 and line.is_confirmed for line in lines)
        assert all(line.renewals.get("answered", 0) >= 2 for line in lines)
        assert all(line.is_short_channel_free for line in lines)
        assert lines[-1].waiting == {}

    run_scenario(scenario)


def test_summary_shows_an_owner_whose_planning_blocks_its_loop(caplog):
    caplog.set_level(logging.INFO, logger="siskinroad.owner")

    async def scenario(cell):
        await cell.start_daemons("a")
        planner = cell.daemons["a"].owners[POOL].planner
        plan = planner.plan

        def plan_slowly(now, wall, channels):
            block_loop(0.3)
            return plan(now, wall, channels)

        planner.plan = plan_slowly
        await asyncio.sleep(3.0)
        line = list_summaries(caplog)[-1]
        assert line.longest_pass_s == 0.3
        assert line.loop_delay_s > 0.05
        assert line.passes <= 2
        passes = cell.daemons["a"].metrics.registry.get_sample_value
        name = "siskinroad_planning_pass_seconds_bucket"
        assert passes(name, {"le": "+Inf"}) > passes(name, {"le": "0.25"})

    run_scenario(scenario)


def test_tasks_of_an_owner_without_the_store_are_shown_as_waiting_for_its_claim(caplog):
    caplog.set_level(logging.INFO, logger="siskinroad.owner")

    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 60.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=30000)))
        await cell.wait_for_starts(3)
        cell.daemons["a"].owners[POOL].term.is_owner_confirmed = lambda: False
        caplog.clear()
        await asyncio.sleep(3.0)
        assert read_waiting(cell) == {WaitReason.OWNER_UNCONFIRMED: 1}
        assert not list_summaries(caplog)[-1].is_confirmed

    run_scenario(scenario)


def test_gauges_drop_to_zero_when_the_term_ends():
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 60.0
        await cell.start_daemons("a")
        await cell.submit("a", JOB_ID, job(step(4, cpu_milli=30000)))
        await asyncio.sleep(3.0)
        assert read_waiting(cell) == {WaitReason.NO_CAPACITY: 1}
        assert read_gauge(cell, "siskinroad_hosts", "state", "schedulable") == 3
        await cell.daemons["a"].close()
        assert read_waiting(cell) == {}
        assert read_gauge(cell, "siskinroad_hosts", "state", "schedulable") == 0

    run_scenario(scenario)


def test_a_silent_host_is_counted_as_such():
    async def scenario(cell):
        await cell.start_daemons("a")
        cell.hosts.hosts["i-0"].is_silent = True
        await asyncio.sleep(3.5)
        assert read_gauge(cell, "siskinroad_hosts", "state", "failing") == 1
        registry = cell.daemons["a"].metrics.registry
        name = "siskinroad_oldest_host_report_seconds"
        assert registry.get_sample_value(name, {"pool": POOL}) > 2.0

    run_scenario(scenario)
