"""Tests of the record of outcomes by host and workload."""

import pickle

from siskinroad.health import Health


def record_workloads(health, count):
    """Let workloads succeed on one host, each of which then ends."""
    for i in range(count):
        health.observe("i-0", f"j{i}", True, 0.0, 4)
        health.remove_workload(f"j{i}")


def test_nothing_is_kept_of_workloads_that_have_ended():
    # An owner runs many thousand jobs in a term, each of which is a workload.
    health = Health()
    record_workloads(health, 10)
    size = len(pickle.dumps(health))
    record_workloads(health, 1000)
    assert len(pickle.dumps(health)) == size
