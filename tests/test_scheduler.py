"""Decisions about waiting work, gangs, quotas, health and cancellations."""

import random

from bench.world import CELL, pool
from siskinroad.cell import parse_cell
from siskinroad.effects import ControlTask, End, Finished, Refused, StartTask
from siskinroad.queues import Item
from siskinroad.scheduler import Scheduler
from siskinroad.upstreams import Control, Usage

WORK = """
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


def make(hosts=3, work=WORK, **keys):
    names = [(f"h{i}", f"r{i}", "east-1") for i in range(hosts)]
    keys = {"accelerators": 8, "cpu": 128, "memory_gib": 512, **keys}
    cell = parse_cell(CELL + pool("p", names, **keys) + work)
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


def starts(effects):
    return [effect for effect in effects if isinstance(effect, StartTask)]


def test_no_host_is_given_more_than_it_has():
    scheduler = make()
    begun = starts(submit(scheduler, "plain", 100))
    assert len(begun) == 24
    for view in scheduler.shard.views():
        assert min(view.cpu, view.memory, view.accelerators, view.slots) >= 0


def test_an_unknown_workload_holds_more_than_it_declares():
    scheduler = make(1, memory_gib=64)
    assert len(starts(submit(scheduler, "plain", 8))) == 2


def test_a_gang_starts_whole_or_not_at_all():
    scheduler = make()
    submit(scheduler, "plain", 20)
    assert starts(scheduler.submit(item(scheduler, "render", "g/0"), 0.0)) == []
    effects = []
    now = 0.0
    while not effects and now < 30:
        now += 1.0
        key = next(iter(scheduler.shard.running))
        effects = [
            effect
            for effect in starts(scheduler.ended(key, 0, End.DONE, now))
            + starts(scheduler.tick(now))
            if effect.item.key == "g/0"
        ]
    assert len(effects[0].hosts) == 12


def test_a_gang_is_not_starved_by_small_work():
    scheduler = make()
    submit(scheduler, "plain", 400)
    scheduler.submit(item(scheduler, "render", "g/0"), 0.0)
    now = 0.0
    begun = []
    while not any(e.item.key == "g/0" for e in begun) and now < 600:
        now += 5.0
        keys = [k for k in list(scheduler.shard.running) if k != "g/0"][:4]
        for key in keys:
            usage = Usage(2000, 8192)
            begun += starts(scheduler.ended(key, 0, End.DONE, now, 60.0, usage))
        begun += starts(scheduler.tick(now))
    assert now < 600


def test_what_can_never_run_is_refused_at_once():
    scheduler = make()
    [effect] = scheduler.submit(item(scheduler, "huge", "h/0"), 0.0)
    assert effect.refusal.reason == "can_never_run"
    assert "99 members" in effect.refusal.message


def test_a_wave_of_cancellations_starts_nothing():
    scheduler = make()
    submit(scheduler, "plain", 10_024)
    effects = []
    for i in range(24, 10_024):
        effects += scheduler.cancel(f"plain/{i}", 1.0)
    assert len(effects) == 10_000
    assert all(isinstance(effect, Refused) for effect in effects)
    for key in list(scheduler.shard.running):
        assert starts(scheduler.ended(key, 0, End.DONE, 2.0)) == []
    assert not scheduler.shard.items


def test_urgent_work_takes_the_place_of_paperwork_by_checkpoint():
    scheduler = make(1)
    submit(scheduler, "paper", 40)
    effects = scheduler.submit(item(scheduler, "quote", "q/0", 1.0), 1.0)
    asked = [e for e in effects if isinstance(e, ControlTask)]
    assert [e.do for e in asked] == [Control.CHECKPOINT]
    effects = scheduler.ended(asked[0].key, 0, End.CHECKPOINTED, 1.2)
    assert [e.item.key for e in starts(effects)] == ["q/0"]
    assert scheduler.shard.items[asked[0].key].state == "waiting"


def test_a_deadline_is_answered_when_it_passes():
    scheduler = make(1)
    submit(scheduler, "plain", 8)
    scheduler.submit(item(scheduler, "quote", "q/0"), 0.0)
    assert not [e for e in scheduler.tick(0.9) if isinstance(e, Refused)]
    [effect] = [e for e in scheduler.tick(1.01) if isinstance(e, Refused)]
    assert (effect.refusal.reason, effect.refusal.outcome) == ("deadline", "not run")


def test_a_doubtful_request_is_repeated_only_if_idempotent():
    scheduler = make()
    scheduler.submit(item(scheduler, "quote", "q/0"), 0.0)
    assert scheduler.ended("q/0", 0, End.UNKNOWN, 0.1) == []
    assert scheduler.shard.items["q/0"].hold_until > 0.1
    scheduler.submit(item(scheduler, "charge", "c/0"), 0.0)
    [effect] = scheduler.ended("c/0", 0, End.UNKNOWN, 0.1)
    assert effect.refusal.outcome == "outcome unknown"
    scheduler.submit(item(scheduler, "charge", "c/1"), 0.0)
    assert scheduler.ended("c/1", 0, End.NOT_SENT, 0.1) == []


def test_retries_stop_at_their_budget():
    scheduler = make(3)
    repeated = 0
    for i in range(200):
        for effect in scheduler.submit(item(scheduler, "quote", f"q/{i}"), 0.0):
            assert isinstance(effect, StartTask)
        repeated += not scheduler.ended(f"q/{i}", 0, End.UNKNOWN, 0.0)
    assert repeated <= 10 + 200 * 0.1


def test_a_host_that_fails_everything_is_found_and_a_bad_job_is_not_its_fault():
    scheduler = make(4)
    rng = random.Random(3)
    for i in range(300):
        now = i * 0.2
        scheduler.tick(now)
        name = rng.choice(["plain", "paper", "quote"])
        scheduler.submit(item(scheduler, name, f"{name}/{i}", now), now)
        for key, run in list(scheduler.shard.running.items()):
            bad = run.hosts[0] == "h0" or key.startswith("paper")
            scheduler.ended(key, 0, End.FAILED if bad else End.DONE, now)
    states = {view.name: view.state for view in scheduler.shard.views()}
    assert states["h0"] == "ejected"
    assert {states[f"h{i}"] for i in (1, 2, 3)} == {"live"}


def test_a_leaving_host_gets_nothing_and_a_gone_one_gives_its_tasks_back():
    scheduler = make(2)
    submit(scheduler, "plain", 16)
    scheduler.host_event("h0", "leave", 1.0)
    key = next(k for k, r in scheduler.shard.running.items() if r.hosts[0] == "h0")
    scheduler.ended(key, 0, End.DONE, 1.0)
    effects = starts(scheduler.submit(item(scheduler, "plain", "late/0", 1.0), 1.0))
    assert effects == []
    scheduler.host_event("h0", "gone", 2.0)
    waiting = [x for x in scheduler.shard.items.values() if x.state == "waiting"]
    assert len(waiting) == 8


def test_a_full_host_is_relieved_in_steps():
    scheduler = make(1)
    submit(scheduler, "paper", 4)
    keys = list(scheduler.shard.running)

    def report(gib):
        lines = [(key, 0, Usage(2000, gib * 1024)) for key in keys]
        effects = scheduler.usage("h0", lines, 1.0)
        return [e.do for e in effects if isinstance(e, ControlTask)]

    assert report(100) == []
    assert report(116) == []
    assert starts(scheduler.submit(item(scheduler, "plain", "p/0"), 1.0)) == []
    assert report(122) == [Control.CHECKPOINT]


def test_a_gang_with_a_failed_member_is_stopped_whole_and_tried_again():
    scheduler = make()
    [effect] = starts(scheduler.submit(item(scheduler, "render", "g/0"), 0.0))
    stops = scheduler.ended("g/0", 3, End.FAILED, 1.0)
    assert len([e for e in stops if isinstance(e, ControlTask)]) == 11
    for member in range(12):
        scheduler.ended("g/0", member, End.STOPPED, 1.1)
    assert scheduler.shard.items["g/0"].state == "waiting"
    assert starts(scheduler.tick(10.0))[0].item.key == "g/0"
    assert effect.attempt == "g/0#1"


def test_a_quota_is_never_exceeded():
    work = WORK.replace('upstream = "p"', 'upstream = "p"')
    scheduler = make(3, work)
    text = scheduler.shard.cell.text.replace(
        'name = "records"', 'name = "records"\nquota = { accelerators = 5 }', 1
    )
    scheduler.configure(parse_cell(text), 0.0)
    assert len(starts(submit(scheduler, "plain", 20))) == 5
    key = next(iter(scheduler.shard.running))
    effects = scheduler.ended(key, 0, End.DONE, 1.0)
    assert len(starts(effects)) == 1
    assert any(isinstance(effect, Finished) for effect in effects)


def test_a_short_queue_just_begun_is_no_reason_to_refuse():
    scheduler = make(1, accelerators=0, cpu=32, memory_gib=128)
    begun = starts(submit(scheduler, "quote", 8))
    assert len(begun) == 8
    effects = []
    for i in range(8, 16):
        effects += scheduler.submit(item(scheduler, "quote", f"quote/{i}", 0.1), 0.1)
    assert not [effect for effect in effects if isinstance(effect, Refused)]


def test_a_long_queue_that_cannot_be_served_in_time_is_refused_early():
    scheduler = make(1, accelerators=0, cpu=32, memory_gib=128)
    submit(scheduler, "quote", 8)
    now, refused, number = 0.0, [], 100
    for step in range(400):
        now = step * 0.05
        if step % 10 == 0:
            key = next(iter(scheduler.shard.running))
            scheduler.ended(key, 0, End.DONE, now)
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


def test_hosts_are_not_held_for_an_item_that_has_gone_to_the_back():
    scheduler = make(1)
    submit(scheduler, "plain", 8)
    submit(scheduler, "paper", 3, 1.0)
    scheduler.tick(3.0)
    [state] = scheduler.shard.pools.values()
    assert "paper/0" in state.reservations
    head = scheduler.shard.items["paper/0"]
    scheduler.shard.waiting.take(scheduler.shard.waiting.lane(head.workload))
    scheduler.shard.waiting.push(head)
    for key in list(scheduler.shard.running):
        scheduler.ended(key, 0, End.DONE, 4.0, 4.0, Usage(2000, 8192))
    scheduler.tick(5.0)
    assert len(scheduler.shard.running) == 3
