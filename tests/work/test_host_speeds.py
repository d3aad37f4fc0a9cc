"""Tests of the learned speeds of hosts."""

import random

import pytest

from siskinroad.work.host_speeds import (
    MAX_SAMPLE_AGE_S,
    MAX_SAMPLES,
    HostSpeeds,
    SpeedSample,
)

HOSTS = [f"i-{i}" for i in range(12)]


def learn(speeds, factors, rng, now=0.0, runs=MAX_SAMPLES, incarnation_ms=1):
    """Let each host end runs of many jobs whose times differ by a third."""
    for i in range(runs):
        for name, factor in factors.items():
            ratio = factor * rng.lognormvariate(0.0, 0.3)
            sample = SpeedSample(f"{name}-{i % 4}", ratio, now + i * 0.1)
            speeds.record_run(name, incarnation_ms, sample)
    speeds.compare_if_due(now + runs * 0.1)


@pytest.mark.parametrize("seed", range(20))
def test_a_fast_quarter_of_a_pool_is_found(seed):
    factors = {name: 0.55 if i % 4 == 0 else 1.2 for i, name in enumerate(HOSTS)}
    speeds = HostSpeeds()
    learn(speeds, factors, random.Random(seed), runs=4 * MAX_SAMPLES)
    found = {name for name in HOSTS if speeds.speed_class(name) < 0}
    fast = {name for name in HOSTS if factors[name] < 1}
    assert len(found & fast) >= 2 and not found - fast


def test_hosts_that_differ_by_a_quarter_count_as_equal():
    speeds = HostSpeeds()
    factors = {name: (0.8, 1.0, 1.25)[i % 3] for i, name in enumerate(HOSTS)}
    for i in range(MAX_SAMPLES):
        for name, factor in factors.items():
            speeds.record_run(name, 1, SpeedSample(f"j{i}", factor, 0.0))
    speeds.compare_if_due(1.0)
    assert not speeds.slowdowns
    assert {speeds.slowdown(name) for name in HOSTS} == {1.0}


def test_a_pool_whose_hosts_are_all_slow_is_even():
    speeds = HostSpeeds()
    for i in range(MAX_SAMPLES):
        for name in HOSTS:
            speeds.record_run(name, 1, SpeedSample(f"j{i}", 6.0, 1.0))
    speeds.compare_if_due(2.0)
    assert not speeds.slowdowns


def test_one_job_with_long_tasks_makes_no_host_slow():
    speeds = HostSpeeds()
    learn(speeds, dict.fromkeys(HOSTS, 1.0), random.Random(1))
    for _ in range(3):
        speeds.record_run("i-0", 1, SpeedSample("long", 7.0, 1.0))
    speeds.compare_if_due(3.0)
    assert speeds.slowdown("i-0") == 1.0


def test_many_runs_of_a_single_job_are_not_enough_to_judge_a_host():
    speeds = HostSpeeds()
    learn(speeds, dict.fromkeys(HOSTS[1:], 1.0), random.Random(1))
    for _ in range(MAX_SAMPLES):
        speeds.record_run("i-0", 1, SpeedSample("long", 7.0, 1.0))
    speeds.compare_if_due(3.0)
    assert speeds.slowdown("i-0") == 1.0


def test_a_host_that_has_recovered_counts_as_typical_within_a_few_runs():
    speeds = HostSpeeds()
    factors = {name: 4.0 if name == "i-0" else 1.0 for name in HOSTS}
    learn(speeds, factors, random.Random(1))
    assert speeds.speed_class("i-0") == 2
    for i in range(MAX_SAMPLES // 2 + 1):
        speeds.record_run("i-0", 1, SpeedSample(f"k{i}", 1.0, 2.0))
    speeds.compare_if_due(2.5)
    assert speeds.slowdown("i-0") == 1.0


def test_a_host_without_runs_is_tried_again():
    speeds = HostSpeeds()
    factors = {name: 4.0 if name == "i-0" else 1.0 for name in HOSTS}
    learn(speeds, factors, random.Random(1))
    assert speeds.slowdown("i-0") > 1.0
    speeds.compare_if_due(2.0 + MAX_SAMPLE_AGE_S)
    assert speeds.slowdown("i-0") == 1.0


def test_a_new_incarnation_and_a_removed_host_are_not_judged_by_the_former_one():
    speeds = HostSpeeds()
    factors = {name: 4.0 if name in ("i-0", "i-1") else 1.0 for name in HOSTS}
    learn(speeds, factors, random.Random(1))
    assert {name for name in HOSTS if speeds.slowdown(name) > 1} == {"i-0", "i-1"}
    speeds.record_run("i-0", 2, SpeedSample("k", 4.0, 2.0))
    speeds.remove_host("i-1")
    assert speeds.slowdown("i-0") == speeds.slowdown("i-1") == 1.0
    speeds.compare_if_due(3.0)
    assert speeds.slowdown("i-0") == speeds.slowdown("i-1") == 1.0


def test_when_all_fast_hosts_are_lost_the_others_are_even():
    speeds = HostSpeeds()
    factors = {name: 0.4 if i % 4 == 0 else 1.0 for i, name in enumerate(HOSTS)}
    learn(speeds, factors, random.Random(1))
    for name in HOSTS[::4]:
        speeds.remove_host(name)
    speeds.compare_if_due(3.0)
    assert not speeds.slowdowns
