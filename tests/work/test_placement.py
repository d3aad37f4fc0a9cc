"""Tests of the choice of hosts against an examination of every host for every task."""

import random
from collections import Counter

import pytest

from siskinroad.resources import Resources
from siskinroad.work.host import Reservation
from siskinroad.work.open_hosts import make_open_hosts
from siskinroad.work.placement import DEMAND_QUANTUM, place_tasks
from siskinroad.work.planning_pass import (
    PlanningPass,
    TentativePlacement,
    step_allows_host,
    task_avoids_host,
)
from siskinroad.work.schedulable_hosts import make_schedulable_hosts
from siskinroad.work.step_advice import Ticket
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, make_pool_state


def place_by_full_scan(planning_pass, step_run, needs_ticket):
    """Return the place of each task by a scan of all hosts for each task."""
    placement = TentativePlacement()
    available = {
        host: host.free_capacity(step_run.key, planning_pass.now)
        for host in planning_pass.schedulable_hosts.hosts
        if host.name not in planning_pass.excluded_hosts
        and (not needs_ticket or host.name in step_run.tickets)
    }
    demand = compute_demand(planning_pass)
    for task in step_run.waiting():
        costs = []
        for i, (host, free) in enumerate(available.items()):
            if (
                step_run.need.fits(free)
                and not task_avoids_host(task, host, planning_pass.now)
                and step_allows_host(step_run, host, placement)
            ):
                cost = compute_cost(
                    planning_pass, step_run, task, host, free, placement, demand
                )
                costs.append((*cost, i, host))
        if costs:
            host = min(costs)[-1]
            available[host] = available[host] - step_run.need
            placement.counts[host.name] = placement.counts.get(host.name, 0) + 1
            placement.chosen.append((task, host))
        elif step_run.spec.gang:
            return []
    return [(task.id.index, host.name) for task, host in placement.chosen]


def compute_demand(planning_pass):
    """Return the demand of the waiting steps for each host, in whole hosts."""
    demand = Counter()
    hosts = {host.name: host for host in planning_pass.schedulable_hosts.hosts}
    for step_run in planning_pass.steps:
        names = [name for name in step_run.tickets if name in hosts]
        for name in names:
            share = step_run.need.dominant(hosts[name].entry.capacity)
            demand[name] += len(step_run.waiting()) / len(names) * share
    return demand


def compute_cost(planning_pass, step_run, task, host, free, placement, demand):
    """Return the cost of a host for a task; the lowest wins."""
    spec = step_run.spec
    has_failed_here = host.name in task.avoided_hosts
    rack_penalty = float(bool(spec.data_rack) and host.entry.rack != spec.data_rack)
    if spec.one_rack and placement.chosen:
        rack_penalty += host.entry.rack != placement.chosen[0][1].entry.rack
    here = placement.counts.get(host.name, 0)
    serving = sum(1 for run in host.runs.values() if run.tail_limit)
    best_effort = sum(1 for run in host.runs.values() if run.filler)
    if spec.filler:
        parts = (serving, best_effort + here, -free.cpu_milli)
    elif spec.tail_limit or spec.long_running:
        same_step = step_run.runs_by_host.get(host.name, 0) + here
        parts = (best_effort, same_step, -free.cpu_milli)
    else:
        known = planning_pass.schedulable_hosts.positions
        names = [name for name in step_run.tickets if name in known]
        own = 0.0
        if host.name in names:
            share = step_run.need.dominant(host.entry.capacity)
            own = len(step_run.waiting()) / len(names) * share
        other_demand = int((demand[host.name] - own) / DEMAND_QUANTUM)
        parts = (
            other_demand,
            free.accelerators - spec.accelerators,
            free.cpu_milli - step_run.need.cpu_milli,
        )
    return (has_failed_here, rack_penalty, *parts)


def make_random_steps(rng, pool_state):
    """Submit random jobs of one step each; return their steps."""
    names = sorted(pool_state.hosts)
    for i in range(12):
        spec = step(
            rng.randrange(1, 9),
            cpu_milli=rng.choice((0, 1000, 4000, 9000, 16000)),
            memory_mib=rng.choice((0, 1000, 8000, 30000)),
            accelerators=rng.choice((0, 0, 0, 1, 4)),
            gang=rng.random() < 0.2,
            one_rack=rng.random() < 0.3,
            label=rng.choice(("", "", "a", "r1", "r2")),
            data_rack=rng.choice(("", "", "r0", "r1")),
            spread=rng.choice((0, 0, 0, 1, 2)),
            filler=rng.random() < 0.1,
            long_running=rng.random() < 0.1,
        )
        queue = rng.choice(("fast", "slow", "advised"))
        step_run = add_job(pool_state, f"j{i}", job(spec), queue).steps[0, 0]
        if queue == "advised":
            for name in rng.sample(names, rng.randrange(len(names))):
                step_run.tickets[name] = Ticket("t", 100.0)
        if rng.random() < 0.3:
            for name in rng.sample(names, min(3, len(names))):
                host = pool_state.hosts[name]
                host.reserved[step_run.key] = Reservation(step_run.need.times(2), 100.0)
        for task in step_run.tasks:
            if rng.random() < 0.2:
                task.avoided_hosts[rng.choice(names)] = rng.choice((-9.0, 0.0))
            if rng.random() < 0.1:
                task.older_run_host = rng.choice(names)
    return list(pool_state.ready.values())


def make_random_pool(rng):
    """Return pool state with hosts of several shapes and racks."""
    hosts = {}
    for i in range(rng.randrange(2, 14)):
        name = f"i-{i}"
        cores = rng.choice((8, 16, 32))
        capacity = Resources(cores * 1000, cores * 2000, rng.choice((0, 4, 8)), 0)
        hosts[name] = entry(name, capacity=capacity, rack=f"r{i % 3}")
    return make_pool_state(list(hosts), **hosts)


@pytest.mark.parametrize("seed", range(60))
def test_tasks_are_placed_as_by_an_examination_of_every_host_for_every_task(seed):
    rng = random.Random(seed)
    pool_state = make_random_pool(rng)
    steps = make_random_steps(rng, pool_state)
    schedulable_hosts = make_schedulable_hosts(list(pool_state.hosts.values()), None)
    open_hosts = make_open_hosts(schedulable_hosts, steps)
    planning_pass = PlanningPass(
        pool_state, 0.1, 0.1, schedulable_hosts, open_hosts, steps
    )
    planning_pass.non_urgent_cpu_milli = 1e9
    for step_run in steps:
        needs_ticket = step_run.job.queue == "advised"
        expected = place_by_full_scan(planning_pass, step_run, needs_ticket)
        placement = place_tasks(
            planning_pass, step_run, needs_ticket=needs_ticket, is_bounded=False
        )
        chosen = placement.chosen if placement else []
        assert [(task.id.index, host.name) for task, host in chosen] == expected
        for task, host in chosen:
            run = step_run.make_run(task, 1, host.token, 0.1)
            planning_pass.add_run(host, run)
        if not chosen and rng.random() < 0.2:
            planning_pass.exclude_host(rng.choice(schedulable_hosts.hosts))


def test_a_set_of_hosts_is_kept_until_a_host_or_an_entry_changes():
    pool_state = make_pool_state(["i-0", "i-1"])
    hosts = list(pool_state.hosts.values())
    kept = make_schedulable_hosts(hosts, None)
    assert make_schedulable_hosts(list(hosts), kept) is kept
    assert make_schedulable_hosts(hosts[:1], kept) is not kept
    pool_state.add_or_update_host(entry("i-1", capacity=Resources(1, 1, 0, 0)))
    changed = make_schedulable_hosts(hosts, kept)
    assert changed is not kept
    large = add_job(pool_state, "large", job(step(1))).steps[0, 0]
    assert [h.name for h in changed.find_capable_hosts(large).hosts] == ["i-0"]
