"""Recorded delays of the event loop, and the log lines that name them."""

import logging

from siskinroad.work.hosts import EndKind, Rejection, RunEnd
from siskinroad.work.loop_delay import LoopDelay
from tests.work.cell import job
from tests.work.test_pool_state import TASK, make_pool_state, plan_starts, send_report


def test_largest_delay_since_a_time_leaves_out_older_ones():
    observed = []
    loop_delay = LoopDelay(observed.append)
    loop_delay.record(10.0, 12.0)
    loop_delay.record(20.0, 20.3)
    loop_delay.record(21.0, 21.1)
    assert round(loop_delay.largest_since(9.0), 3) == 2.0
    assert round(loop_delay.largest_since(15.0), 3) == 0.3
    assert loop_delay.largest_since(30.0) == 0.0
    assert [round(delay, 3) for delay in observed] == [2.0, 0.3, 0.1]


def test_long_delay_is_logged_at_most_once_a_second(caplog):
    caplog.set_level(logging.WARNING, logger="siskinroad.loop_delay")
    loop_delay = LoopDelay()
    for due_at in (10.0, 10.5, 11.0, 11.5):
        loop_delay.record(due_at, due_at + 0.4)
    assert len(caplog.records) == 2
    assert caplog.records[0].delay_s == 0.4


def test_end_listed_after_its_run_was_ended_as_lapsed_is_logged_with_both(caplog):
    caplog.set_level(logging.WARNING, logger="siskinroad.pool_state")
    pool_state = make_pool_state(job())
    late_ends = []
    pool_state.observe_late_end = late_ends.append
    (start,) = plan_starts(pool_state)
    host = pool_state.hosts["i-0"]
    pool_state.apply_start_reply(host, start.run, None, 0.1)
    pool_state.loop_delay_s = 5.0
    host.lease_expires_at = 4.0
    start.run.move("lapse")
    pool_state._end_run(host, start.run, "lapsed", 5.0)
    end = RunEnd(1, TASK, 1, EndKind.DONE, "")
    send_report(pool_state, "i-0", 5.5, ended=[end])
    (line,) = (r for r in caplog.records if "ended without one" in r.getMessage())
    assert (line.presumed, line.how, line.loop_delay_s) == ("lapsed", "done", 5.0)
    assert late_ends == ["done"]


def test_only_the_newest_ends_of_rejected_starts_are_remembered():
    pool_state = make_pool_state(job())
    host = pool_state.hosts["i-0"]
    for now in range(1, 21):
        (start,) = plan_starts(pool_state, now)
        pool_state.apply_start_reply(host, start.run, Rejection.NO_CAPACITY, now)
        # Without a new report, the host gets no further start.
        send_report(pool_state, "i-0", now + 0.5)
    presumed_ends = pool_state.task(TASK).presumed_ends
    assert list(presumed_ends) == list(range(13, 21))
