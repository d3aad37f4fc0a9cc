"""Tests of the log lines about tasks that wait for long."""

import logging

import pytest

from siskinroad.work.host import Reservation
from siskinroad.work.planner import Planner
from siskinroad.work.wait_log import (
    LOGGED_WAIT_S,
    MAX_LINES,
    MAX_NAMED_TASKS,
    REPEAT_INTERVAL_S,
    WaitLog,
)
from siskinroad.work.wait_tracker import WaitTracker
from tests.work.cell import job, step
from tests.work.test_planner import add_job, give_tickets, make_pool_state
from tests.work.test_wait_tracker import keep_hosts


class WaitLines:
    """A pool whose waits are examined and logged at given times."""

    def __init__(self, pool_state, caplog):
        caplog.set_level(logging.WARNING, logger="siskinroad.owner")
        self.caplog = caplog
        self.pool_state = pool_state
        self.planner = Planner(pool_state)
        self.tracker = WaitTracker(pool_state)
        self.wait_log = WaitLog(pool_state)

    def examine(self, now):
        """Plan and examine; return the lines logged."""
        self.caplog.clear()
        keep_hosts(self.pool_state, now)
        self.planner.plan(now, now)
        planning_pass = self.planner.last_pass
        waits = self.tracker.examine(now, planning_pass)
        self.wait_log.write(now, waits, planning_pass)
        return list(self.caplog.records)


def test_one_line_tells_of_all_tasks_of_a_step_once_they_waited_long(caplog):
    pool_state = make_pool_state(["i-0"])
    lines = WaitLines(pool_state, caplog)
    add_job(pool_state, "large", job(step(9, cpu_milli=99000)))
    assert lines.examine(1.0) == []
    assert lines.examine(0.9 + LOGGED_WAIT_S) == []
    (line,) = lines.examine(1.5 + LOGGED_WAIT_S)
    assert (line.request, line.queue) == ("large", "fast")
    assert (line.reason, line.task_count) == ("no_capable_host", 9)
    assert line.tasks == [f"0.0.{i}" for i in range(MAX_NAMED_TASKS)]
    assert (line.waited_s, line.reason_s) == (2.5, 2.5)


def test_a_line_is_repeated_only_after_the_interval(caplog):
    pool_state = make_pool_state(["i-0"])
    lines = WaitLines(pool_state, caplog)
    add_job(pool_state, "large", job(step(1, cpu_milli=99000)))
    lines.examine(1.0)
    assert len(lines.examine(4.0)) == 1
    assert lines.examine(5.0) == []
    (line,) = lines.examine(4.0 + REPEAT_INTERVAL_S)
    assert line.waited_s == 8.0


def test_a_changed_reason_is_logged_at_once(caplog):
    pool_state = make_pool_state(["i-0"])
    lines = WaitLines(pool_state, caplog)
    add_job(pool_state, "one", job())
    host = pool_state.hosts["i-0"]
    host.is_quarantined = True
    host.quarantine_evidence_at = 3.0
    lines.examine(1.0)
    (line,) = lines.examine(4.0)
    assert line.reason == "no_schedulable_host"
    assert line.capable_hosts == {"quarantined": 1}
    host.is_quarantined = False
    host.reserved["other", 0, 0] = Reservation(host.entry.capacity, 9.0)
    (line,) = lines.examine(5.0)
    assert (line.reason, line.waited_s, line.reason_s) == ("reserved", 4.0, 0.0)


def test_the_lines_of_an_examination_are_bounded_and_the_longest_wait_is_first(caplog):
    pool_state = make_pool_state(["i-0"])
    lines = WaitLines(pool_state, caplog)
    for i in range(3 * MAX_LINES):
        add_job(pool_state, f"large-{i:02}", job(step(1, cpu_milli=99000)))
        lines.planner.plan(1.0 + i / 100, 1.0)
    first = lines.examine(5.0)
    assert [r.request for r in first] == [f"large-{i:02}" for i in range(MAX_LINES)]
    # The other steps follow, before any line is repeated.
    following = [r.request for at in (6.0, 7.0) for r in lines.examine(at)]
    assert following == [f"large-{i:02}" for i in range(MAX_LINES, 3 * MAX_LINES)]
    assert lines.examine(8.0) == []


@pytest.mark.parametrize("event", ["miss", "stop"])
def test_a_line_shows_the_capacity_that_doubtful_and_stopping_runs_hold(caplog, event):
    pool_state = make_pool_state(["i-0", "i-1"])
    lines = WaitLines(pool_state, caplog)
    add_job(pool_state, "hold", job(step(2, cpu_milli=30000)))
    lines.planner.plan(0.5, 0.5)
    (run,) = pool_state.hosts["i-0"].runs.values()
    run.move(event)
    one = add_job(pool_state, "one", job(), "advised")
    give_tickets(one, "i-0", until=90.0)
    lines.examine(1.0)
    (line,) = lines.examine(4.0)
    assert line.reason == "no_capacity"
    assert line.allowed_hosts == {"schedulable": 1}
    assert (line.allowed_cpu_milli, line.used_cpu_milli) == (32000, 30000)
    assert line.held_cpu_milli == 30000
    assert (line.tickets, line.valid_tickets, line.asked_hosts) == (1, 1, 1)


def test_the_line_of_a_gang_tells_why_hosts_with_room_are_not_used(caplog):
    pool_state = make_pool_state(["i-0", "i-1", "i-2"])
    lines = WaitLines(pool_state, caplog)
    spec = job(step(2, cpu_milli=20000, gang=True))
    gang = add_job(pool_state, "gang", spec, "advised")
    gang.steps[0, 0].advice.answered.update(["i-0", "i-1", "i-2"])
    give_tickets(gang, "i-0", "i-1")
    host = pool_state.hosts["i-0"]
    host.is_quarantined = host.needs_probation = True
    host.quarantine_evidence_at = 9.0
    lines.examine(1.0)
    (line,) = lines.examine(4.0)
    assert (line.is_gang, line.need[0], line.task_states) == (
        True,
        20000,
        {"waiting": 2},
    )
    assert line.roomy_hosts == {"quarantined": 1, "schedulable": 1}
    assert (line.roomy_excluded, line.roomy_reserved) == (0, 0)
    assert line.roomy_on_probation == 1
