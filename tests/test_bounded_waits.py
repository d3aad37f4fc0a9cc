"""Waiting work and excluded hosts: each state ends, also if the usual event is lost."""

import asyncio
import random

from bench.clock import run_on_paused_clock
from bench.world import CELL, pool
from siskinroad.cell import parse_cell
from siskinroad.dispatch import AGED_WAIT_TIME
from siskinroad.effects import ControlTask, End
from siskinroad.health import FIRST_QUARANTINE
from siskinroad.scheduler import TICK_INTERVAL, Scheduler
from siskinroad.upstreams import Control, Usage
from siskinroad.upstreams_memory import MemoryUpstreamClient
from tests.owned_shard import JOB, OwnedShard, make_job
from tests.test_scheduler import WORKLOADS, item, start_effects, submit

# Seconds within which work that fits on a host must start after a fault has ended.
PLACEMENT_BOUND_S = 60.0

MORE_WORKLOADS = """
[[services]]
name = "heavy"
owner = "desk"
upstream = "p"
urgency = "urgent"
demand = { cpu = 64, memory_gib = 256 }

[[batch]]
name = "urgent_paper"
owner = "desk"
upstream = "p"
urgency = "urgent"
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[batch]]
name = "stand"
owner = "records"
upstream = "p"
long_running = true
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[gangs]]
name = "render_small"
owner = "desk"
upstream = "p"
size = 8
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[gangs]]
name = "wide"
owner = "desk"
upstream = "p"
size = 140
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[gangs]]
name = "whole"
owner = "desk"
upstream = "p"
size = 24
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }
"""


def cell_text(hosts, **keys):
    names = [(f"h{i}", f"r{i}", "east-1") for i in range(hosts)]
    keys = {"accelerators": 8, "cpu": 128, "memory_gib": 512, **keys}
    return CELL + pool("p", names, **keys) + WORKLOADS + MORE_WORKLOADS


def make_scheduler(hosts=3, **keys):
    """Return a scheduler whose hosts are all in use."""
    cell = parse_cell(cell_text(hosts, **keys))
    scheduler = Scheduler(cell, random.Random(1), 0.0)
    for host in cell.hosts():
        scheduler.add_host(host, 0.0)
        scheduler.host_event(host.name, "inventory", 0.0)
    return scheduler


def configure(scheduler, hosts, now, replaced, replacement):
    """Apply the cell with a part of its text replaced; return the effects."""
    text = cell_text(hosts).replace(replaced, replacement, 1)
    return scheduler.configure(parse_cell(text), now)


def tick_until_started(scheduler, key, now, bound_s=PLACEMENT_BOUND_S):
    """Tick the scheduler until an item starts; return whether it did in time."""
    for step in range(int(bound_s / TICK_INTERVAL)):
        effects = scheduler.tick(now + step * TICK_INTERVAL)
        if any(effect.item.key == key for effect in start_effects(effects)):
            return True
    return False


def controls(effects, action):
    """Return the keys of the items that the effects control with an action."""
    return [
        effect.key
        for effect in effects
        if isinstance(effect, ControlTask) and effect.action is action
    ]


def test_a_task_avoids_a_host_for_a_limited_time():
    """Guard against a task that never starts, as the only free host failed it once.

    The hosts it does not avoid are out of use or full of tasks that do not end.
    """
    scheduler = make_scheduler(3)
    scheduler.submit(item(scheduler, "plain", "p/0"), 0.0)
    [failed_on] = scheduler.shard.running["p/0"].hosts.values()
    others = sorted({"h0", "h1", "h2"} - {failed_on})
    scheduler.host_event(others[0], "leave", 0.0)
    scheduler.host_event(others[1], "gone", 0.0)
    scheduler.record_attempt_end("p/0", 0, End.FAILED, 1.0)
    assert tick_until_started(scheduler, "p/0", 1.0)


def test_a_lane_is_listed_once_after_its_urgency_changed_during_a_backoff():
    """Guard against an empty lane that is tried, which ended the scheduler's tick."""
    scheduler = make_scheduler()
    scheduler.submit(item(scheduler, "plain", "p/0"), 0.0)
    configure(
        scheduler, 3, 1.0, 'name = "plain"', 'name = "plain"\nurgency = "background"'
    )
    scheduler.record_attempt_end("p/0", 0, End.FAILED, 1.0)
    assert tick_until_started(scheduler, "p/0", 1.0)
    scheduler.tick(61.0)
    lanes = [
        lane
        for active in scheduler.shard.waiting.active.values()
        for lane in active.values()
    ]
    assert lanes == []


def test_a_checkpoint_that_is_not_carried_out_is_tried_again():
    """Guard against urgent work that waits for evictions that never complete.

    The host accepts the checkpoints and does not carry them out. Each of them counted
    as in progress from then on, and the pool allows eight.
    """
    scheduler = make_scheduler(1)
    submit(scheduler, "paper", 8)
    first = controls(submit(scheduler, "urgent_paper", 8), Control.CHECKPOINT)
    assert len(first) == 8
    later = []
    for step in range(1, int(PLACEMENT_BOUND_S / TICK_INTERVAL)):
        effects = scheduler.tick(step * TICK_INTERVAL)
        later += controls(effects, Control.CHECKPOINT)
    assert set(later) == set(first)


def test_a_host_short_of_memory_stops_a_task_that_ignores_its_checkpoint():
    """Guard against a host that runs out of memory behind an ignored checkpoint."""
    scheduler = make_scheduler(1)
    submit(scheduler, "paper", 4)
    keys = list(scheduler.shard.running)
    actions = []
    for step in range(int(PLACEMENT_BOUND_S)):
        reports = [(key, 0, Usage(2000, 127 * 1024)) for key in keys]
        scheduler.tick(float(step))
        effects = scheduler.apply_usage("h0", reports, float(step))
        actions += [e.action for e in effects if isinstance(e, ControlTask)]
    assert actions[0] is Control.CHECKPOINT
    assert Control.STOP in actions


def test_a_concurrency_limit_recovers_while_only_tasks_run():
    """Guard against a host that holds one task for good after requests failed on it.

    Successful requests raised the limit, and tasks in its last slot kept them away.
    """
    scheduler = make_scheduler(1)
    for i in range(12):
        now = i * 2.0
        key = f"quote/{i}"
        scheduler.submit(item(scheduler, "charge", key, now), now)
        scheduler.record_attempt_end(key, 0, End.REJECTED, now)
    assert scheduler.view("h0").limit == 1
    for key in list(scheduler.shard.items):
        scheduler.cancel(key, 24.0)
    submit(scheduler, "plain", 4, 24.0)
    for step in range(int(PLACEMENT_BOUND_S / TICK_INTERVAL)):
        scheduler.tick(24.0 + step * TICK_INTERVAL)
    assert len(scheduler.shard.running) == 4


def test_an_admitted_task_starts_although_its_raised_allocation_exceeds_the_quota():
    """Guard against a task that no pass can place.

    A task of an unknown workload is allocated four times what it declares. If the
    quota holds the declared size only, nothing is ever learned of its size.
    """
    scheduler = make_scheduler()
    quota = "quota = { cpu = 3, memory_gib = 12 }"
    configure(scheduler, 3, 0.0, 'name = "records"', f'name = "records"\n{quota}')
    scheduler.submit(item(scheduler, "plain", "p/0"), 0.0)
    assert "p/0" in scheduler.shard.running


def test_an_admitted_gang_starts_although_its_raised_allocation_exceeds_the_pool():
    """Guard against a gang that fits an empty pool as declared, but never as raised."""
    scheduler = make_scheduler(3, cpu=16, memory_gib=64)
    effects = scheduler.submit(item(scheduler, "render", "g/0"), 0.0)
    assert len(start_effects(effects)) == 1


def test_headroom_leaves_room_for_other_work_in_an_empty_pool():
    """Guard against work that never starts while urgent requests keep arriving.

    The headroom of a burst of large requests is more than the whole pool.
    """
    scheduler = make_scheduler(2)
    for i in range(2000):
        now = i * 0.0005
        scheduler.submit(item(scheduler, "heavy", f"q/{i}", now), now)
    for key in list(scheduler.shard.items):
        scheduler.cancel(key, 1.0)
    for key in list(scheduler.shard.running):
        scheduler.record_attempt_end(key, 0, End.DONE, 1.0)
    assert not scheduler.shard.running
    scheduler.submit(item(scheduler, "plain", "p/0", 30.0), 30.0)
    started = "p/0" in scheduler.shard.running
    assert started or tick_until_started(scheduler, "p/0", 30.0)


def test_a_gang_of_the_whole_pool_starts_while_urgent_requests_arrive():
    """Guard against a gang that is admitted and that the headroom never lets start."""
    scheduler = make_scheduler(3)
    scheduler.submit(item(scheduler, "whole", "g/0"), 0.0)
    scheduler.record_attempt_end("g/0", 0, End.FAILED, 0.5)
    for member in range(1, 24):
        scheduler.record_attempt_end("g/0", member, End.STOPPED, 0.5)
    for i in range(40):
        now = 1.0 + i * 0.001
        scheduler.submit(item(scheduler, "quote", f"q/{i}", now), now)
        scheduler.record_attempt_end(f"q/{i}", 0, End.DONE, now)
    started = "g/0" in scheduler.shard.running
    assert started or tick_until_started(scheduler, "g/0", 1.1)


def test_a_gang_is_not_starved_by_the_headroom():
    """Guard against a gang that waits for capacity beside the headroom.

    Smaller work leaves just the headroom free, and takes what ends beyond it.
    """
    scheduler = make_scheduler(2)
    scheduler.submit(item(scheduler, "quote", "q/0", 0.0), 0.0)
    scheduler.record_attempt_end("q/0", 0, End.DONE, 0.0)
    submit(scheduler, "plain", 200)
    scheduler.submit(item(scheduler, "render_small", "g/0"), 0.0)
    now = 0.0
    while "g/0" not in scheduler.shard.running and now < PLACEMENT_BOUND_S:
        now += TICK_INTERVAL
        scheduler.submit(item(scheduler, "quote", f"q/{now}", now), now)
        scheduler.record_attempt_end(f"q/{now}", 0, End.DONE, now)
        for key, run in list(scheduler.shard.running.items()):
            if now - run.started >= 20.0:
                scheduler.record_attempt_end(key, 0, End.DONE, now)
        scheduler.tick(now)
    assert "g/0" in scheduler.shard.running


def run_with_small_work(scheduler, key, bound_s=PLACEMENT_BOUND_S, run_time_s=10.0):
    """Tick while tasks end and small work waits; return whether the item starts."""
    now = 0.0
    while key not in scheduler.shard.running and now < bound_s:
        now += TICK_INTERVAL
        for other, run in list(scheduler.shard.running.items()):
            if now - run.started >= run_time_s:
                scheduler.record_attempt_end(other, 0, End.DONE, now)
        scheduler.tick(now)
    return key in scheduler.shard.running


def test_a_gang_that_cannot_be_planned_lets_others_reserve_hosts():
    """Guard against a gang that uses up each plan of its pool without success.

    A host is out of use, so that the gang before the other one does not fit. Planning
    is limited to one plan in a second.
    """
    scheduler = make_scheduler(3)
    submit(scheduler, "plain", 2000)
    scheduler.host_event("h0", "leave", 0.0)
    scheduler.submit(item(scheduler, "whole", "w/0"), 0.0)
    scheduler.submit(item(scheduler, "render_small", "g/0", 0.1), 0.1)
    assert run_with_small_work(scheduler, "g/0")


def test_a_gang_of_more_hosts_than_one_plan_considers_is_not_starved():
    """Guard against a plan that leaves out hosts that the gang needs.

    Beside other reservations, more than half of the hosts are reserved only for an
    item that has waited for ``AGED_WAIT_TIME``.
    """
    scheduler = make_scheduler(160, accelerators=1)
    submit(scheduler, "plain", 4000)
    scheduler.submit(item(scheduler, "wide", "g/0"), 0.0)
    bound_s = AGED_WAIT_TIME + PLACEMENT_BOUND_S
    assert run_with_small_work(scheduler, "g/0", bound_s)


def test_a_reservation_ends_while_the_quota_keeps_its_item_from_starting():
    """Guard against idle hosts that are reserved for an item that may not start."""
    scheduler = make_scheduler(1)
    submit(scheduler, "plain", 8)
    scheduler.submit(item(scheduler, "render_small", "g/0"), 1.0)
    scheduler.tick(3.0)
    [state] = scheduler.shard.pools.values()
    assert "g/0" in state.reservations
    quota = "quota = { accelerators = 1 }"
    configure(scheduler, 1, 4.0, 'name = "desk"', f'name = "desk"\n{quota}')
    for step in range(int(PLACEMENT_BOUND_S / TICK_INTERVAL)):
        scheduler.tick(4.0 + step * TICK_INTERVAL)
    assert "g/0" not in state.reservations


def test_a_search_reaches_hosts_behind_many_that_do_not_fit():
    """Guard against an item for which each search visits the same full hosts."""
    scheduler = make_scheduler(100, accelerators=0)
    views = list(scheduler.shard.views())
    [state] = scheduler.shard.pools.values()
    for view in views[:-1]:
        view.limit = 0
        state.index.refresh(view)
    scheduler.submit(item(scheduler, "charge", "q/0"), 0.0)
    assert tick_until_started(scheduler, "q/0", 0.0, bound_s=5.0)


def test_a_retry_that_comes_too_late_gives_its_budget_back():
    """Guard against an owner whose retries are used up by requests never repeated."""
    scheduler = make_scheduler()
    budget = scheduler.shard.budget("desk")
    request = item(scheduler, "quote", "q/0")
    request.deadline = 1.0
    scheduler.submit(request, 0.0)
    before = budget.tokens
    scheduler.record_attempt_end("q/0", 0, End.REJECTED, 1.0)
    assert budget.tokens == before


def test_a_host_that_no_longer_leaves_is_used_again():
    """Guard against a host that cancelled its drain and gets no work any more."""

    async def main():
        shard = OwnedShard(east=1)
        await shard.owner.take_over()
        shard.hosts["e0"].leaving = True
        await asyncio.sleep(15.0)
        assert shard.owner.scheduler.view("e0").state == "leaving"
        shard.hosts["e0"].leaving = False
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert shard.starts()

    run_on_paused_clock(main())


class EarlyStopClient(MemoryUpstreamClient):
    """Client whose starts arrive ``late_s`` after the call began, with their reply."""

    late_s = 0.5

    async def start(self, host, epoch, start):
        await asyncio.sleep(self.late_s)
        await super().start(host, epoch, start)


def test_a_stop_that_overtook_its_start_is_sent_again():
    """Guard against a cancelled task that runs to its end, its stop being lost."""

    async def main():
        shard = OwnedShard(EarlyStopClient, run_time_s=3600.0)
        await shard.owner.take_over()
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(0.1)
        shard.owner.tasks.cancel(JOB)
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert shard.outcomes == [(JOB, 0, "cancelled")]

    run_on_paused_clock(main())


class FaultyClient(MemoryUpstreamClient):
    """Client of which one call, named by ``fails``, raises an unexpected error."""

    fails = ""

    def _fail_once(self, call):
        if self.fails == call:
            self.fails = ""
            raise ValueError("unexpected")

    async def inventory(self, host, epoch, acked, wait, renew):
        self._fail_once("inventory")
        return await super().inventory(host, epoch, acked, wait, renew)

    async def request(self, host, attempt, epoch, path, body, timeout):
        self._fail_once("request")
        return await super().request(host, attempt, epoch, path, body, timeout)


def test_an_unexpected_error_in_a_host_monitor_does_not_end_it():
    """Guard against a host whose ended tasks are never noticed."""

    async def main():
        shard = OwnedShard(FaultyClient, run_time_s=20.0, east=1)
        await shard.owner.take_over()
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(1.0)
        shard.client.fails = "inventory"
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert shard.outcomes == [(JOB, 0, "done")]

    run_on_paused_clock(main())


def test_an_unexpected_error_in_a_takeover_does_not_end_it():
    """Guard against a shard that its daemon has claimed and never places work on."""

    async def main():
        shard = OwnedShard(FaultyClient, run_time_s=1.0)
        shard.client.fails = "inventory"
        await shard.owner.take_over()
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert shard.outcomes == [(JOB, 0, "done")]

    run_on_paused_clock(main())


def test_an_unexpected_error_after_a_silent_takeover_is_tried_again(monkeypatch):
    """Guard against tasks that are never queued after a takeover."""

    async def main():
        shard = OwnedShard(run_time_s=1.0)
        shard.hosts["e1"].faults.silent = True
        shard.owner.tasks.restore([make_job()])
        await shard.owner.take_over()
        queue_unreported = shard.owner.tasks.queue_unreported
        calls = []

        def fail_once():
            calls.append(1)
            if len(calls) == 1:
                raise ValueError("unexpected")
            queue_unreported()

        monkeypatch.setattr(shard.owner.tasks, "queue_unreported", fail_once)
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert shard.outcomes == [(JOB, 0, "done")]

    run_on_paused_clock(main())


def test_an_unexpected_error_of_a_request_answers_it():
    """Guard against a request that keeps its caller waiting and its slot in use."""

    async def main():
        shard = OwnedShard(FaultyClient, run_time_s=0.1, east=1)
        await shard.owner.take_over()
        workload = shard.owner.scheduler.shard.cell.workloads["quote"]
        shard.client.fails = "request"
        now = asyncio.get_running_loop().time()
        fut = shard.owner.requests.submit(
            "r1", workload, "/quote", b"", now + PLACEMENT_BOUND_S
        )
        await asyncio.wait([fut], timeout=PLACEMENT_BOUND_S)
        assert fut.done()
        assert not shard.owner.scheduler.shard.running

    run_on_paused_clock(main())


def test_an_unexpected_error_in_a_tick_does_not_end_the_ticks(monkeypatch):
    """Guard against a shard whose deadlines, backoffs and blocked lanes are lost."""

    async def main():
        shard = OwnedShard(east=1)
        await shard.owner.take_over()
        tick = shard.owner.scheduler.tick
        calls = []

        def faulty_tick(now):
            calls.append(now)
            if len(calls) == 1:
                raise ValueError("unexpected")
            return tick(now)

        monkeypatch.setattr(shard.owner.scheduler, "tick", faulty_tick)
        await asyncio.sleep(PLACEMENT_BOUND_S)
        assert len(calls) > 1

    run_on_paused_clock(main())


def test_a_gang_reserves_no_host_whose_limit_is_too_low_for_it():
    """Guard against a host with a lowered limit that runs nothing.

    A gang of eight that waits for the host kept the single tasks away that would have
    raised the limit.
    """
    scheduler = make_scheduler(1)
    scheduler.shard.limits["h0"].limit = 4.0
    scheduler.shard.update_limit(scheduler.view("h0"))
    submitted = scheduler.submit(item(scheduler, "render_small", "g/0"), 0.0)
    assert start_effects(submitted) == []
    scheduler.tick(2.0)
    effects = scheduler.submit(item(scheduler, "plain", "p/0", 2.0), 2.0)
    assert len(start_effects(effects)) == 1


def make_scheduler_on_probation(hosts=1):
    """Return the scheduler of some hosts, of which h0 has been ejected."""
    scheduler = make_scheduler(hosts)
    eject(scheduler, "h0")
    scheduler.tick(40.0)
    assert scheduler.view("h0").state == "probation"
    return scheduler


def test_a_gang_on_an_empty_host_on_probation_starts_and_ends_the_probation():
    """Guard against a host on probation that runs nothing.

    Neither the gang nor the single tasks behind it would have ended the probation.
    """
    scheduler = make_scheduler_on_probation()
    submitted = scheduler.submit(item(scheduler, "render_small", "g/0", 40.0), 40.0)
    assert len(start_effects(submitted)) == 1
    for member in range(8):
        scheduler.record_attempt_end("g/0", member, End.DONE, 41.0)
    assert scheduler.view("h0").state == "live"


def test_nothing_starts_beside_a_gang_on_a_host_on_probation():
    """Guard against more work on a host that may fail what it runs."""
    scheduler = make_scheduler_on_probation()
    scheduler.submit(item(scheduler, "render_small", "g/0", 40.0), 40.0)
    for member in range(7):
        scheduler.record_attempt_end("g/0", member, End.FAILED, 41.0)
    assert scheduler.view("h0").state == "ejected"
    assert start_effects(submit(scheduler, "plain", 1, 41.0)) == []
    assert scheduler.tick(90.0) == []
    assert scheduler.view("h0").state == "ejected"
    # The quarantine has doubled once, not for each member.
    scheduler.tick(41.0 + 2 * FIRST_QUARANTINE)
    assert scheduler.view("h0").state == "probation"


def test_a_gang_starts_beside_no_other_task_on_a_host_on_probation():
    """Guard against more work on a host that may fail what it runs.

    The gang of twelve needs four places there, and seven are unused.
    """
    scheduler = make_scheduler_on_probation(hosts=2)
    started = start_effects(submit(scheduler, "plain", 9, 40.0))
    assert sorted(effect.hosts[0] for effect in started) == ["h0"] + ["h1"] * 8
    for i, effect in enumerate(started):
        if effect.hosts == ["h1"]:
            scheduler.record_attempt_end(f"plain/{i}", 0, End.DONE, 41.0)
    submitted = scheduler.submit(item(scheduler, "render", "g/0", 41.0), 41.0)
    assert start_effects(submitted) == []


def test_a_gang_keeps_no_single_task_from_a_host_on_probation_that_is_in_use():
    """Guard against a gang that waits for a host on probation and leaves it empty."""
    scheduler = make_scheduler_on_probation()
    assert len(start_effects(submit(scheduler, "plain", 1, 40.0))) == 1
    submitted = scheduler.submit(item(scheduler, "render_small", "g/0", 40.0), 40.0)
    assert start_effects(submitted) == []
    scheduler.tick(42.0)
    assert not scheduler.shard.pool_state("h0").reservations
    effects = scheduler.record_attempt_end("plain/0", 0, End.DONE, 43.0)
    effects += scheduler.tick(43.5)
    assert [effect.item.key for effect in start_effects(effects)] == ["g/0"]


def test_an_ejected_host_stays_ejected_across_a_short_silence():
    """Guard against a faulty host that nothing ejects until its quarantine is over.

    The silence ended the exclusion of the host but not its quarantine, during which
    failures count for nothing.
    """
    scheduler = make_scheduler(4)
    eject(scheduler, "h0")
    for event in ("silent", "inventory"):
        scheduler.host_event("h0", event, 2.0)
    assert scheduler.view("h0").state == "ejected"
    scheduler.host_event("h0", "silent", 20.0)
    scheduler.tick(40.0)
    scheduler.host_event("h0", "inventory", 41.0)
    assert scheduler.view("h0").state == "probation"


def eject(scheduler, host):
    """Eject a host for failures between 0 and 1 s."""
    for i in range(8):
        now = 0.1 * i
        verdict = scheduler.shard.health.observe(host, "plain", False, now, 4)
        if verdict is not None:
            scheduler.host_event(host, verdict.event, now)
    assert scheduler.view(host).state == "ejected"


def test_probation_ends_while_long_running_tasks_run():
    """Guard against a host that holds one long-running task for good.

    Probation ends with three tasks that succeed. A long-running task does not end.
    """
    scheduler = make_scheduler(4)
    eject(scheduler, "h0")
    submit(scheduler, "stand", 32, 1.0)
    for step in range(int(660 / TICK_INTERVAL)):
        scheduler.tick(1.0 + step * TICK_INTERVAL)
    assert len(scheduler.view("h0").tasks) > 1
