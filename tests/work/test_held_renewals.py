"""Renewals that a host holds open while it accepts a successor's token.

The host checks the token as the call arrives, and lists its runs as it answers.
"""

import asyncio

import pytest

from siskinroad.work.hosts import EndKind, HostReport, RunEnd, RunStatus
from siskinroad.work.run_table import TOKENS_PER_TERM
from tests.work.cell import job
from tests.work.cut_hosts import check_never_twice, cut_daemon, start_views
from tests.work.test_daemon import run_scenario
from tests.work.test_pool_state import make_pool_state, plan_starts
from tests.work.test_two_owners import (
    STOPPED_S,
    find_busy,
    now,
    sleep_until,
    submit_and_start,
)


async def cut_between(cell, views):
    """Cut the owner off; one busy host stays in reach of all, the others of one side.

    Returns the time of the cut and the host, once it has accepted a successor's token.
    """
    owner, (shared,) = cell.owner(), find_busy(cell)
    of_former, of_successor = sorted(set(cell.hosts.hosts) - {shared})
    cut_at, host = now(), cell.hosts.hosts[shared]
    token = host.token
    cut_daemon(cell, views, owner, {of_successor}, {of_former})
    while host.token < token + TOKENS_PER_TERM // 2:
        await asyncio.sleep(0.005)
    return cut_at, host


@pytest.mark.parametrize("rtt_s", [0.001, 0.02])
def test_a_task_starts_once_after_an_end_that_two_owners_are_told_of(rtt_s):
    async def scenario(cell):
        views = await start_views(cell, 60.0)
        for host in cell.hosts.hosts.values():
            host.reply_delay_s = rtt_s
        await submit_and_start(cell, 1, estimate=60.0)
        await asyncio.sleep(0.5)
        cut_at, host = await cut_between(cell, views)
        await asyncio.sleep(0.1)
        (run,) = host.runs.values()
        run.ends_at, run.end_kind = now(), EndKind.FAILED
        await sleep_until(cut_at + STOPPED_S)
        check_never_twice(cell, cut_at)

    run_scenario(scenario)


def make_report(running=(), ended=()):
    return HostReport(1000, 1, tuple(running), tuple(ended))


def test_a_held_answer_is_checked_if_tasks_may_start_again_by_it():
    # A run that is missing may have an end that a successor has noted.
    pool_state = make_pool_state(job())
    (start,) = plan_starts(pool_state)
    host, (task, run) = pool_state.hosts["i-0"], start.run.key
    pool_state.apply_start_reply(host, start.run, None, 0.2)

    def may_free_tasks(report, sent_at=1.0):
        return pool_state.may_free_tasks(host, report, sent_at)

    assert may_free_tasks(make_report())
    assert not may_free_tasks(make_report(), sent_at=0.1)
    assert not may_free_tasks(make_report([RunStatus(task, run, "", 5, 0)]))
    for end_kind in EndKind:
        report = make_report(ended=[RunEnd(1, task, run, end_kind, "")])
        assert may_free_tasks(report) == (end_kind is not EndKind.DONE)
