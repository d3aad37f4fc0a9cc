"""Tests of the load of one advisor channel: calls, failures and reports."""

import pytest

from siskinroad.work.advisor_channel import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_CHANNEL_BACKLOG,
    AdvisorChannel,
)


def fail_call(channel, began_at, now):
    """Let a call of 20 ms fail that began at ``began_at``."""
    call = channel.begin_call(0.02, began_at)
    channel.record_failure("j", began_at, now, "no reply")
    channel.end_call(call, now)


def test_a_call_counts_until_it_ends_however_long_that_takes():
    channel = AdvisorChannel("a")
    first = channel.begin_call(0.4, 1.0)
    channel.begin_call(0.4, 1.0)
    assert channel.backlog(1.1) == pytest.approx(0.7)
    # The first call is late, so the second one still has all its time before it.
    assert channel.backlog(9.0) == pytest.approx(0.4)
    channel.end_call(first, 9.0)
    assert channel.backlog(9.1) == pytest.approx(0.3)


def test_calls_that_fail_together_count_as_one_failure():
    channel = AdvisorChannel("a")
    for _ in range(9):
        fail_call(channel, 1.0, 2.5)
    assert channel.backlog(2.4 + FIRST_BACKOFF_S) > MAX_CHANNEL_BACKLOG
    assert channel.backlog(2.6 + FIRST_BACKOFF_S) == MAX_CHANNEL_BACKLOG


def test_a_channel_that_keeps_failing_gets_a_call_within_the_longest_backoff():
    channel = AdvisorChannel("a")
    for i in range(20):
        fail_call(channel, 2.0 * i, 2.0 * i + 1.5)
    assert channel.backlog(39.4 + MAX_BACKOFF_S) > MAX_CHANNEL_BACKLOG
    assert channel.backlog(39.5 + MAX_BACKOFF_S) == MAX_CHANNEL_BACKLOG


def test_a_channel_that_failed_gets_one_call_until_one_is_answered():
    channel = AdvisorChannel("a")
    fail_call(channel, 1.0, 2.5)
    call = channel.begin_call(0.02, 3.0)
    assert channel.backlog(3.1) > MAX_CHANNEL_BACKLOG
    channel.record_answer()
    channel.end_call(call, 3.1)
    assert channel.backlog(3.1) == 0.0


def test_a_report_of_an_idle_channel_ends_its_backoff_and_a_busy_one_does_not():
    channel = AdvisorChannel("a")
    for i in range(9):
        fail_call(channel, 2.0 * i, 2.0 * i + 1.5)
    channel.record_report(0.9, 17.6)
    assert channel.backlog(17.6) > MAX_CHANNEL_BACKLOG
    channel.record_report(0.0, 17.7)
    assert channel.backlog(17.7) == MAX_CHANNEL_BACKLOG


def test_a_channel_may_fail_any_number_of_times():
    # The doubled backoff is beyond the largest number long before the bound applies.
    channel = AdvisorChannel("a")
    for i in range(2000):
        fail_call(channel, 10.0 * i, 10.0 * i + 1.0)
    assert channel.backlog(19991.0 + MAX_BACKOFF_S) == MAX_CHANNEL_BACKLOG
