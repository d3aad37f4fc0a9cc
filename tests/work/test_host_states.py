"""Tests of the state that is shown for each host."""

from dataclasses import replace

import pytest

from siskinroad.work.host import HOST_SILENCE_S
from siskinroad.work.host_states import (
    HostState,
    count_host_states,
    find_host_state,
    find_oldest_report_s,
)
from tests.work.cell import entry
from tests.work.test_planner import make_pool_state

NOW = 10.0


@pytest.fixture
def host():
    pool_state = make_pool_state(["i-0"])
    made = pool_state.hosts["i-0"]
    made.replied_at = made.reported_at = NOW
    return made


def set_draining(host):
    host.entry = entry("i-0", draining=True)


def set_draining_without_work(host):
    set_draining(host)
    host.is_stored = False


def set_restarted(host):
    host.incarnation_ms = 7
    host.entry = replace(entry("i-0"), incarnation_ms=8)


def set_silent(host):
    host.replied_at = NOW - HOST_SILENCE_S - 0.1


@pytest.mark.parametrize(
    ("change", "state"),
    [
        (lambda host: None, HostState.SCHEDULABLE),
        (lambda host: setattr(host, "is_stored", False), HostState.UNSETTLED),
        (lambda host: setattr(host, "is_settled", False), HostState.UNSETTLED),
        (set_draining, HostState.DRAINING),
        (set_draining_without_work, HostState.DRAINING),
        (lambda host: setattr(host, "is_quarantined", True), HostState.QUARANTINED),
        (lambda host: setattr(host, "unlisted_at", 1.0), HostState.UNLISTED),
        (lambda host: host.record_failed_request(NOW), HostState.FAILING),
        (set_silent, HostState.SILENT),
        (set_restarted, HostState.RESTARTED),
    ],
)
def test_a_host_has_the_state_of_what_prevents_new_work(host, change, state):
    change(host)
    assert find_host_state(host, NOW) is state
    assert host.is_schedulable(NOW) is (state is HostState.SCHEDULABLE)
    assert count_host_states([host], NOW) == {state: 1}


def test_oldest_report_leaves_out_hosts_that_never_reported(host):
    pool_state = make_pool_state(["i-0", "i-1"])
    pool_state.add_or_update_host(entry("i-2"))
    pool_state.hosts["i-0"].reported_at = 4.0
    pool_state.hosts["i-1"].reported_at = 9.0
    assert find_oldest_report_s(pool_state.hosts.values(), NOW) == pytest.approx(6.0)
    assert find_oldest_report_s([], NOW) == 0.0
