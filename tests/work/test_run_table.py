"""Tests of when the tasks of earlier terms are settled, host by host."""

from siskinroad.work.hosts import HostReport
from siskinroad.work.pool_state import PoolState
from tests.work.cell import CONFIGURATION, POOL, entry

TERM = 9
LEASES_END_AT = 14.4


def make_successor(*names):
    """Return the state of a new owner whose former owner used some hosts."""
    pool_state = PoolState(POOL, TERM)
    pool_state.configure(CONFIGURATION)
    pool_state.claims.unclaimed_at = 0.0
    pool_state.set_former_owner_hosts(names, LEASES_END_AT)
    for name in names:
        pool_state.add_or_update_host(entry(name))
    return pool_state


def answer(pool_state, name, now):
    host = pool_state.hosts[name]
    report = HostReport(1000, 1, (), ())
    pool_state.apply_report(host, report, host.token, now, now, now)


def leave(pool_state, name, now):
    """Let a host leave the live list, and its lease expire."""
    host = pool_state.hosts[name]
    pool_state.note_host_unlisted(name, now)
    host.lease_expires_at = host.unanswered_renewal_at = now
    pool_state.expire_silent_hosts(now)
    assert name not in pool_state.hosts


def test_tasks_do_not_wait_again_for_a_host_that_has_answered_and_left():
    pool_state = make_successor("i-0", "i-1")
    answer(pool_state, "i-0", 0.1)
    leave(pool_state, "i-0", 6.0)
    assert pool_state.list_unsettled_hosts() == ["i-1"]
    answer(pool_state, "i-1", 7.0)
    pool_state.note_unclaimed(7.5)
    assert pool_state.settle_tasks(7.6)


def test_the_answer_of_a_host_that_has_left_settles_no_task_before_claims_are_read():
    # A successor may have known what that answer did not tell.
    pool_state = make_successor("i-0", "i-1")
    answer(pool_state, "i-1", 0.1)
    answer(pool_state, "i-0", 7.0)
    leave(pool_state, "i-0", 7.3)
    pool_state.note_unclaimed(6.5)
    assert not pool_state.settle_tasks(7.4)
    pool_state.note_unclaimed(7.05)
    assert pool_state.settle_tasks(7.5)


def test_tasks_wait_for_a_host_that_left_without_an_answer():
    pool_state = make_successor("i-0", "i-1")
    answer(pool_state, "i-1", 0.1)
    pool_state.note_host_unlisted("i-0", 1.0)
    pool_state.note_unclaimed(7.0)
    assert pool_state.list_unsettled_hosts() == ["i-0"]
    assert not pool_state.settle_tasks(7.1)


def test_tasks_wait_for_a_host_that_has_left_and_is_listed_again():
    pool_state = make_successor("i-0", "i-1")
    answer(pool_state, "i-0", 0.1)
    leave(pool_state, "i-0", 6.0)
    pool_state.add_or_update_host(entry("i-0"), 6.5)
    assert pool_state.list_unsettled_hosts() == ["i-0", "i-1"]


def test_answers_of_removed_hosts_are_not_kept_once_tasks_are_settled():
    pool_state = make_successor("i-0", "i-1")
    answer(pool_state, "i-0", 0.1)
    leave(pool_state, "i-0", 6.0)
    answer(pool_state, "i-1", 7.0)
    pool_state.note_unclaimed(7.5)
    assert pool_state.settle_tasks(7.6)
    leave(pool_state, "i-1", 9.0)
    assert not pool_state._reported_at
