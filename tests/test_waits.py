"""Reasons of waits: each cause has its own, and metrics and the log show them."""

import asyncio
import logging

import pytest

from bench.clock import run_on_paused_clock
from bench.world import World, small_cell
from siskinroad.effects import End
from siskinroad.httpd import HttpRequest
from siskinroad.operators import OperatorApi
from siskinroad.status import explain_at_owner
from siskinroad.wait_reporter import LINE_INTERVAL, LONG_WAIT
from siskinroad.waits import WaitReason, find_long_waits, find_wait_cause, sum_up_waits
from tests.owned_shard import JOB, OwnedShard, make_job
from tests.test_bounded_waits import configure, make_scheduler
from tests.test_scheduler import item, submit


def paused(scheduler):
    scheduler.is_paused = True
    return "plain"


def requests_only(scheduler):
    scheduler.requests_only = True
    return "plain"


def pool_missing(scheduler):
    for state in list(scheduler.shard.pools):
        del scheduler.shard.pools[state]
    return "plain"


def quota_used_up(scheduler):
    submit(scheduler, "plain", 2)
    quota = "quota = { accelerators = 2 }"
    configure(scheduler, 2, 0.0, 'name = "records"', f'name = "records"\n{quota}')
    return "plain"


def too_large(scheduler):
    return "huge"


def hosts_closed(scheduler):
    for name in ("h0", "h1"):
        scheduler.host_event(name, "leave", 0.0)
    return "plain"


def hosts_full(scheduler):
    submit(scheduler, "urgent_paper", 16)
    return "plain"


def headroom_kept(scheduler):
    scheduler.submit(item(scheduler, "quote", "q/0"), 0.0)
    scheduler.record_attempt_end("q/0", 0, End.DONE, 0.0)
    submit(scheduler, "urgent_paper", 15)
    return "plain"


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (paused, WaitReason.OWNERSHIP_UNCERTAIN),
        (requests_only, WaitReason.TASKS_SUSPENDED),
        (pool_missing, WaitReason.NO_POOL),
        (too_large, WaitReason.NEVER_FITS),
        (quota_used_up, WaitReason.QUOTA),
        (hosts_closed, WaitReason.NO_OPEN_HOST),
        (hosts_full, WaitReason.NO_CAPACITY),
        (headroom_kept, WaitReason.HEADROOM),
    ],
)
def test_each_cause_has_its_reason(prepare, reason):
    scheduler = make_scheduler(2)
    name = prepare(scheduler)
    waiting = item(scheduler, name, "w/0")
    scheduler.requeue(waiting, 0.0)
    assert waiting.state == "waiting"
    assert find_wait_cause(scheduler, waiting, 0.0).reason is reason
    assert sum_up_waits(scheduler, 4.0)[reason].count >= 1
    assert [x.key for x in find_long_waits(scheduler, 40.0, 30.0)] == ["w/0"]


def test_a_retried_task_waits_for_its_backoff_then_avoids_its_host():
    scheduler = make_scheduler(2)
    scheduler.submit(item(scheduler, "plain", "p/0"), 0.0)
    [host] = scheduler.shard.running["p/0"].hosts.values()
    scheduler.record_attempt_end("p/0", 0, End.FAILED, 1.0)
    task = scheduler.shard.items["p/0"]
    assert find_wait_cause(scheduler, task, 1.0).reason is WaitReason.BACKOFF
    assert sum_up_waits(scheduler, 1.1)[WaitReason.BACKOFF].count == 1
    other = next(name for name in ("h0", "h1") if name != host)
    scheduler.host_event(other, "leave", 1.0)
    scheduler.tick(5.0)
    cause = find_wait_cause(scheduler, task, 5.0)
    assert cause.reason is WaitReason.HOSTS_AVOIDED
    assert cause.inputs["left_s"] == 26.0


def test_hosts_that_are_reserved_for_a_gang_are_named():
    scheduler = make_scheduler(1)
    submit(scheduler, "plain", 8)
    scheduler.submit(item(scheduler, "render_small", "g/0"), 1.0)
    scheduler.tick(3.0)
    scheduler.record_attempt_end("plain/0", 0, End.DONE, 4.0)
    waiting = item(scheduler, "stand", "s/0", 4.0)
    scheduler.submit(waiting, 4.0)
    cause = find_wait_cause(scheduler, waiting, 4.0)
    assert cause.reason is WaitReason.HOSTS_RESERVED
    assert "g/0" in cause.text


def test_an_item_behind_another_that_starts_next_waits_for_it():
    scheduler = make_scheduler(2)
    head, second = (item(scheduler, "plain", f"p/{i}") for i in range(2))
    for waiting in (head, second):
        scheduler.shard.items[waiting.key] = waiting
        scheduler.shard.waiting.push(waiting)
    assert find_wait_cause(scheduler, head, 0.0).reason is WaitReason.NEXT_PASS
    assert find_wait_cause(scheduler, second, 0.0).reason is WaitReason.BEHIND_HEAD


def test_work_of_an_owner_that_a_host_rejects_has_this_reason():
    async def main():
        shard = OwnedShard()
        await shard.owner.take_over()
        shard.owner.mark_stale()
        shard.owner.tasks.accept(make_job(3))
        summaries = shard.owner.waits.sum_up()
        assert {reason: x.count for reason, x in summaries.items()} == {
            WaitReason.STALE_EPOCH: 3
        }

    run_on_paused_clock(main())


def test_gauges_show_a_reason_and_return_to_zero():
    async def main():
        world = World(small_cell(east=1, west=0), ["east-1a"])
        await world.start_and_configure()
        daemon = world.daemons["east-1a"]
        cell = daemon.cell()
        await daemon.jobs.submit(cell, cell.workloads["recount"], 50, b"", "")
        await asyncio.sleep(2.0)
        count, longest_s = await _read_gauges(daemon, "no_capacity")
        assert count > 0
        assert longest_s > 1.0
        await asyncio.sleep(60.0)
        assert await _read_gauges(daemon, "no_capacity") == (0.0, 0.0)

    run_on_paused_clock(main())


async def _read_gauges(daemon, reason):
    req = HttpRequest("GET", "/metrics", {}, {}, b"")
    assert (await OperatorApi(daemon).handle(req)).status == 200
    registry = daemon.metrics.registry
    labels = {"reason": reason}
    return (
        registry.get_sample_value("siskinroad_waiting_items", labels),
        registry.get_sample_value("siskinroad_longest_wait_seconds", labels),
    )


def test_tasks_that_wait_for_silent_hosts_after_a_takeover_are_counted():
    async def main():
        shard = OwnedShard()
        shard.hosts["e1"].faults.silent = True
        shard.owner.tasks.restore([make_job(3)])
        await shard.owner.take_over()
        await asyncio.sleep(5.0)
        summary = shard.owner.waits.sum_up()[WaitReason.SILENT_HOSTS]
        assert summary.count == 3
        assert summary.longest_s == pytest.approx(5.0)
        assert "silent hosts" in explain_at_owner(shard.owner, f"{JOB}/0")
        assert explain_at_owner(shard.owner, f"{JOB}/3") == ""
        await asyncio.sleep(60.0)
        assert WaitReason.SILENT_HOSTS not in shard.owner.waits.sum_up()

    run_on_paused_clock(main())


def test_a_long_wait_is_logged_once_in_an_interval(caplog):
    """Guard against silence about a task that waits, and against a flood of lines."""

    async def main():
        shard = OwnedShard(east=1)
        await shard.owner.take_over()
        shard.hosts["e0"].leaving = True
        await asyncio.sleep(15.0)
        shard.owner.tasks.accept(make_job(20))
        await asyncio.sleep(LONG_WAIT + LINE_INTERVAL - 5.0)

    caplog.set_level(logging.WARNING, "siskinroad.waits")
    run_on_paused_clock(main())
    [record] = [x for x in caplog.records if x.name == "siskinroad.waits"]
    assert record.reason == "no_open_host"
    assert record.inputs == {"open_hosts": 0, "hosts": 1}
    assert record.waited_s > LONG_WAIT
    assert record.tried_s <= 1.0
