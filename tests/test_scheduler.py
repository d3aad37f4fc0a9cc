"""Tests of the scheduler: queues, gangs, quotas, host health, cancellations."""

import random

from bench.world import CELL, pool
from siskinroad.cell import parse_cell
from siskinroad.effects import ControlTask, End, Finished, Refused, StartTask
from siskinroad.queues import Item
from siskinroad.scheduler import Scheduler
from siskinroad.upstreams import Control, Usage

WORKLOADS = """
[[services]]
name = "quote"
owner = "desk"
upstream = "p"
urgency = "urgent"
idempotent = true
start_within_s = 1

[[services]]
name = "charge"
owner = "desk"
upstream = "p"
urgency = "urgent"

[[batch]]
name = "paper"
owner = "records"
upstream = "p"
urgency = "background"
checkpoint = true
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[batch]]
name = "plain"
owner = "records"
upstream = "p"
retries = 2
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[gangs]]
name = "render"
owner = "desk"
upstream = "p"
size = 12
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }

[[gangs]]
name = "huge"
owner = "desk"
upstream = "p"
size = 99
demand = { cpu = 2, memory_gib = 8, accelerators = 1 }
"""


def make_scheduler(hosts=3, workload_text=WORKLOADS, **keys):
    names = [(f"h{i}", f"r{i}", "east-1") for i in range(hosts)]
    keys = {"accelerators": 8, "cpu": 128, "memory_gib": 512, **keys}
    cell = parse_cell(CELL + pool("p", names, **keys) + workload_text)
    scheduler = Scheduler(cell, random.Random(1), 0.0)
    for host in cell.hosts():
        scheduler.add_host(host, 0.0)
        scheduler.host_event(host.name, "inventory", 0.0)
    return scheduler


def item(scheduler, name, key, now=0.0):
    workload = scheduler.shard.cell.workloads[name]
    wait = workload.start_within or 1e9
    return Item(key, workload, now, now + wait)


def submit(scheduler, name, count, now=0.0):
    effects = []
    for i in range(count):
        effects += scheduler.submit(item(scheduler, name, f"{name}/{i}", now), now)
    return effects


def start_effects(effects):
    return [effect for effect in effects if isinstance(effect, StartTask)]


def test_hosts_are_not_overcommitted():
    scheduler = make_scheduler()
    started = start_effects(submit(scheduler, "plain", 100))
    assert len(started) == 24
    for view in scheduler.shard.views():
        assert min(view.cpu, view.memory, view.accelerators, view.slots) >= 0


def test_unknown_workload_is_allocated_more_than_it_declares():
    scheduler = make_scheduler(1, memory_gib=64)
    assert len(start_effects(submit(scheduler, "plain", 8))) == 2


def test_a_gang_starts_whole_or_not_at_all():
    scheduler = make_scheduler()
    submit(scheduler, "plain", 20)
    assert start_effects(scheduler.submit(item(scheduler, "render", "g/0"), 0.0)) == []
    effects = []
    now = 0.0
    while not effects and now < 30:
        now += 1.0
        key = next(iter(scheduler.shard.running))
        effects = [
            effect
            for effect in start_effects(
                scheduler.record_attempt_end(key, 0, End.DONE, now)
            )
            + start_effects(scheduler.tick(now))
            if effect.item.key == "g/0"
        ]
    assert len(effects[0].hosts) == 12


def test_a_gang_is_not_starved_by_small_work():
    """Guard against small tasks that take each host as soon as it becomes free."""
    scheduler = make_scheduler()
    submit(scheduler, "plain", 400)
    scheduler.submit(item(scheduler, "render", "g/0"), 0.0)
    now = 0.0
    started = []
    while not any(e.item.key == "g/0" for e in started) and now < 600:
        now += 5.0
        keys = [k for k in list(scheduler.shard.running) if k != "g/0"][:4]
        for key in keys:
            usage = Usage(2000, 8192)
            started += start_effects(
                scheduler.record_attempt_end(key, 0, End.DONE, now, 60.0, usage)
            )
        started += start_effects(scheduler.tick(now))
    assert now < 600


def test_a_gang_starts_soon_after_the_quarantine_of_a_host_that_it_needs():
    scheduler = make_scheduler(2)
    health = scheduler.shard.health
    for i in range(3):
        health.observe("h1", f"done/{i}", True, 0.0, 2)
        verdict = health.observe("h0", f"failed/{i}", False, 0.0, 2)
    assert verdict is not None
    scheduler.host_event("h0", verdict.event, 0.0)
    started = start_effects(scheduler.submit(item(scheduler, "render", "g/0"), 0.0))
    now = 0.0
    while scheduler.shard.view("h0").state == "ejected":
        now += 1.0
        started += start_effects(scheduler.tick(now))
    until = now + 5.0
    while not started and now < until:
        now += 1.0
        started += start_effects(scheduler.tick(now))
    assert len(started) == 1


def test_gang_larger_than_the_pool_is_refused_at_once():
    scheduler = make_scheduler()
    [effect] = scheduler.submit(item(scheduler, "huge", "h/0"), 0.0)
    assert effect.refusal.reason == "can_never_run"
    assert "99 members" in effect.refusal.message


def test_mass_cancellation_starts_no_cancelled_item():
    """Guard against starts of cancelled items that are still in their lane."""
    scheduler = make_scheduler()
    submit(scheduler, "plain", 10_024)
    effects = []
    for i in range(24, 10_024):
        effects += scheduler.cancel(f"plain/{i}", 1.0)
    assert len(effects) == 10_000
    assert all(isinstance(effect, Refused) for effect in effects)
    for key in list(scheduler.shard.running):
        assert start_effects(scheduler.record_attempt_end(key, 0, End.DONE, 2.0)) == []
    assert not scheduler.shard.items


def test_urgent_work_preempts_background_work_by_checkpoint():
    scheduler = make_scheduler(1)
    submit(scheduler, "paper", 40)
    effects = scheduler.submit(item(scheduler, "quote", "q/0", 1.0), 1.0)
    controls = [e for e in effects if isinstance(e, ControlTask)]
    assert [e.action for e in controls] == [Control.CHECKPOINT]
    effects = scheduler.record_attempt_end(controls[0].key, 0, End.CHECKPOINTED, 1.2)
    assert [e.item.key for e in start_effects(effects)] == ["q/0"]
    assert scheduler.shard.items[controls[0].key].state == "waiting"


def test_waiting_item_is_refused_when_its_deadline_passes():
    scheduler = make_scheduler(1)
    submit(scheduler, "plain", 8)
    scheduler.submit(item(scheduler, "quote", "q/0"), 0.0)
    assert not [e for e in scheduler.tick(0.9) if isinstance(e, Refused)]
    [effect] = [e for e in scheduler.tick(1.01) if isinstance(e, Refused)]
    assert (effect.refusal.reason, effect.refusal.outcome) == ("deadline", "not run")


def test_request_with_unknown_outcome_is_retried_only_if_idempotent():
    scheduler = make_scheduler()
    scheduler.submit(item(scheduler, "quote", "q/0"), 0.0)
    assert scheduler.record_attempt_end("q/0", 0, End.UNKNOWN, 0.1) == []
    assert scheduler.shard.items["q/0"].backoff_until > 0.1
    scheduler.submit(item(scheduler, "charge", "c/0"), 0.0)
    [effect] = scheduler.record_attempt_end("c/0", 0, End.UNKNOWN, 0.1)
    assert effect.refusal.outcome == "outcome unknown"
    scheduler.submit(item(scheduler, "charge", "c/1"), 0.0)
    assert scheduler.record_attempt_end("c/1", 0, End.NOT_SENT, 0.1) == []


def test_retries_stay_within_the_budget():
    scheduler = make_scheduler(3)
    repeated = 0
    for i in range(200):
        for effect in scheduler.submit(item(scheduler, "quote", f"q/{i}"), 0.0):
            assert isinstance(effect, StartTask)
        repeated += not scheduler.record_attempt_end(f"q/{i}", 0, End.UNKNOWN, 0.0)
    assert repeated <= 10 + 200 * 0.1


def test_faulty_host_is_ejected_and_faulty_workload_ejects_no_host():
    """Guard against ejecting healthy hosts on which a faulty workload fails."""
    scheduler = make_scheduler(4)
    rng = random.Random(3)
    for i in range(300):
        now = i * 0.2
        scheduler.tick(now)
        name = rng.choice(["plain", "paper", "quote"])
        scheduler.submit(item(scheduler, name, f"{name}/{i}", now), now)
        for key, run in list(scheduler.shard.running.items()):
            is_failure = run.hosts[0] == "h0" or key.startswith("paper")
            scheduler.record_attempt_end(
                key, 0, End.FAILED if is_failure else End.DONE, now
            )
    states = {view.name: view.state for view in scheduler.shard.views()}
    assert states["h0"] == "ejected"
    assert {states[f"h{i}"] for i in (1, 2, 3)} == {"live"}


def test_leaving_host_gets_no_work_and_tasks_of_a_gone_host_are_queued_again():
    scheduler = make_scheduler(2)
    submit(scheduler, "plain", 16)
    scheduler.host_event("h0", "leave", 1.0)
    key = next(k for k, r in scheduler.shard.running.items() if r.hosts[0] == "h0")
    scheduler.record_attempt_end(key, 0, End.DONE, 1.0)
    effects = start_effects(
        scheduler.submit(item(scheduler, "plain", "late/0", 1.0), 1.0)
    )
    assert effects == []
    scheduler.host_event("h0", "gone", 2.0)
    waiting = [x for x in scheduler.shard.items.values() if x.state == "waiting"]
    assert len(waiting) == 8


def test_host_short_of_memory_is_closed_then_checkpointed():
    scheduler = make_scheduler(1)
    submit(scheduler, "paper", 4)
    keys = list(scheduler.shard.running)

    def report(gib):
        reports = [(key, 0, Usage(2000, gib * 1024)) for key in keys]
        effects = scheduler.apply_usage("h0", reports, 1.0)
        return [e.action for e in effects if isinstance(e, ControlTask)]

    assert report(100) == []
    assert report(116) == []
    assert start_effects(scheduler.submit(item(scheduler, "plain", "p/0"), 1.0)) == []
    assert report(122) == [Control.CHECKPOINT]


def test_gang_with_a_failed_member_is_stopped_and_retried():
    scheduler = make_scheduler()
    [effect] = start_effects(scheduler.submit(item(scheduler, "render", "g/0"), 0.0))
    stops = scheduler.record_attempt_end("g/0", 3, End.FAILED, 1.0)
    assert len([e for e in stops if isinstance(e, ControlTask)]) == 11
    for member in range(12):
        scheduler.record_attempt_end("g/0", member, End.STOPPED, 1.1)
    assert scheduler.shard.items["g/0"].state == "waiting"
    assert start_effects(scheduler.tick(10.0))[0].item.key == "g/0"
    assert effect.attempt == "g/0#1"


def test_quota_is_not_exceeded():
    workload_text = WORKLOADS.replace('upstream = "p"', 'upstream = "p"')
    scheduler = make_scheduler(3, workload_text)
    text = scheduler.shard.cell.text.replace(
        'name = "records"', 'name = "records"\nquota = { accelerators = 5 }', 1
    )
    scheduler.configure(parse_cell(text), 0.0)
    assert len(start_effects(submit(scheduler, "plain", 20))) == 5
    key = next(iter(scheduler.shard.running))
    effects = scheduler.record_attempt_end(key, 0, End.DONE, 1.0)
    assert len(start_effects(effects)) == 1
    assert any(isinstance(effect, Finished) for effect in effects)


def test_short_new_queue_refuses_nothing():
    """Guard against refusals based on too few starts to forecast a waiting time."""
    scheduler = make_scheduler(1, accelerators=0, cpu=32, memory_gib=128)
    started = start_effects(submit(scheduler, "quote", 8))
    assert len(started) == 8
    effects = []
    for i in range(8, 16):
        effects += scheduler.submit(item(scheduler, "quote", f"quote/{i}", 0.1), 0.1)
    assert not [effect for effect in effects if isinstance(effect, Refused)]


def test_items_that_would_miss_their_deadline_are_refused_on_submission():
    scheduler = make_scheduler(1, accelerators=0, cpu=32, memory_gib=128)
    submit(scheduler, "quote", 8)
    now, refused, number = 0.0, [], 100
    for step in range(400):
        now = step * 0.05
        if step % 10 == 0:
            key = next(iter(scheduler.shard.running))
            scheduler.record_attempt_end(key, 0, End.DONE, now)
        for _ in range(4):
            number += 1
            effects = scheduler.submit(
                item(scheduler, "quote", f"q/{number}", now), now
            )
            refused += [e for e in effects if isinstance(e, Refused)]
        scheduler.tick(now)
    early = [e for e in refused if e.refusal.step == "submit"]
    assert early
    assert all(e.refusal.outcome == "not run" for e in early)
    assert all(e.refusal.retry_after > 1.0 for e in early)


def test_reservation_ends_when_its_item_is_no_longer_the_head():
    """Guard against hosts that stay reserved for an item behind others in its lane.

    Such an item is not tried, so its reservation would block the hosts for good.
    """
    scheduler = make_scheduler(1)
    submit(scheduler, "plain", 8)
    submit(scheduler, "paper", 3, 1.0)
    scheduler.tick(3.0)
    [state] = scheduler.shard.pools.values()
    assert "paper/0" in state.reservations
    head = scheduler.shard.items["paper/0"]
    scheduler.shard.waiting.pop_head(scheduler.shard.waiting.lane(head.workload))
    scheduler.shard.waiting.push(head)
    for key in list(scheduler.shard.running):
        scheduler.record_attempt_end(key, 0, End.DONE, 4.0, 4.0, Usage(2000, 8192))
    scheduler.tick(5.0)
    assert len(scheduler.shard.running) == 3


def test_an_item_that_avoids_the_only_open_host_does_not_block_its_queue():
    # It avoids the host where it failed; the other host takes no work.
    scheduler = make_scheduler(2)
    (start,) = start_effects(submit(scheduler, "plain", 1))
    (failed_on,) = start.hosts
    scheduler.record_attempt_end(start.item.key, 0, End.FAILED, 1.0)
    (other,) = {"h0", "h1"} - {failed_on}
    scheduler.host_event(other, "silent", 1.0)
    started = []
    for second in range(2, 60):
        if second == 10:
            late = item(scheduler, "plain", "plain/late", 10.0)
            started += start_effects(scheduler.submit(late, 10.0))
        started += start_effects(scheduler.tick(float(second)))
    assert {each.item.key for each in started} == {"plain/0", "plain/late"}


def test_task_that_takes_host_after_host_with_it_is_started_without_end():
    # Each host is gone soon after the start, alone of all hosts.
    scheduler = make_scheduler(8)
    starts = start_effects(submit(scheduler, "plain", 1))
    for now in range(1, 8):
        run = scheduler.shard.running.get("plain/0")
        if run is None:
            break
        starts += start_effects(scheduler.host_event(run.hosts[0], "gone", float(now)))
    # Two starts are allowed after three hosts have crashed under a task.
    assert len(starts) <= 5
