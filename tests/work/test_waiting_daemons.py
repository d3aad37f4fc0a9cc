"""Tests that no task waits for long after seeded faults, with real daemons."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from bench.faulty_hosts import HostFault
from bench.faulty_pool import POOL
from bench.waiting_check import WAIT_LIMIT_S
from bench.waiting_daemons import BEGIN_S, DaemonPool, run_daemon_seed
from bench.waiting_scenario import URGENT, WorkSizes
from siskinroad.work.model import JobSpec, Step
from siskinroad.work.records import Accepted


def check_seed(seed):
    result = run_daemon_seed(seed)
    assert not result.violations, result.describe()


@pytest.mark.parametrize("seed", [5, 10, 12, 15, 18])
def test_daemons_place_a_waiting_task_soon_after_the_end_of_overlapping_faults(seed):
    check_seed(seed)


@pytest.mark.parametrize("seed", [7, 150])
def test_daemons_ask_again_about_a_step_whose_tickets_were_all_rejected(seed):
    check_seed(seed)


@pytest.mark.parametrize("seed", [20, 82])
def test_daemons_ask_about_other_hosts_beside_one_at_the_spread_limit(seed):
    check_seed(seed)


def test_a_host_that_rejects_every_start_keeps_no_task_from_others_with_daemons():
    async def scenario():
        daemon_pool = DaemonPool(1, WorkSizes(3, has_overload=False))
        pool = daemon_pool.pool
        daemon_pool.start_daemon("a")
        await asyncio.sleep(BEGIN_S)
        pool.hosts["h000"].faults[HostFault.REJECTS_ROOM] = float("inf")
        step = Step(1, cpu_milli=1000, memory_mib=500, long_running=True)
        spec = pool.specs["urgent-0"] = JobSpec("p", (step,))
        daemon_pool.submit(Accepted("urgent-0", URGENT.name, POOL, pool.now(), spec))
        await asyncio.sleep(WAIT_LIMIT_S)
        (task,) = daemon_pool.find_pool_state().jobs["urgent-0"].steps[0, 0].tasks
        await daemon_pool.close()
        assert any(host.runs for host in pool.hosts.values()), task

    run_on_paused_clock(scenario())
