"""Events into the book, effects out: no loop, no clock, no network."""

import pytest

from siskinroad.work.book import Book
from siskinroad.work.effects import SettleHost, StartRun, StopRun
from siskinroad.work.hosts import Ended, EndKind, HostReport, Rejection, Running
from siskinroad.work.model import TaskId
from siskinroad.work.planner import Planner
from siskinroad.work.records import Accepted
from tests.work.cell import POOL, SETUP, entry, job, step

T = TaskId("j", 0, 0, 0)


def report(*, running=(), ended=(), clock=1000, born=1):
    return HostReport(clock, born, tuple(running), tuple(ended))


def make_book(spec, hosts=("i-0",), term=1, queue="fast", settled=True):
    book = Book(POOL, term)
    book.settled = settled
    book.configure(SETUP)
    for name in hosts:
        book.host_listed(entry(name))
        book.hosts[name].recorded = True
        if settled:
            answer(book, name, 0.0)
    book.accept(Accepted("j", queue, POOL, 0.0, spec), 0.0, 0.0, fresh=settled)
    return book


def answer(book, name, now, token=None, sent_at=None, **fields):
    host = book.hosts[name]
    token = host.token if token is None else token
    sent_at = now if sent_at is None else sent_at
    return book.report(host, report(**fields), token, sent_at, now, now)


def starts(book, now=0.1):
    effects = Planner(book).plan(now, now)
    return [effect for effect in effects if isinstance(effect, StartRun)]


def successor(book):
    """Return the book of the next owner, from what the store has of this one."""
    after = make_book(book.jobs["j"].spec, tuple(book.hosts), 9, settled=False)
    after.waiting_for_hosts = set(book.hosts)
    after.former_lapse_at = 1e9
    after.restore(book.jobs["j"].progress(), 0.0)
    return after


def test_a_failed_end_that_is_listed_again_to_a_successor_counts_once():
    book = make_book(job())
    (start,) = starts(book)
    book.start_answered(book.hosts["i-0"], start.run, None, 0.1)
    end = Ended(1, T, 1, EndKind.FAILED, "")
    answer(book, "i-0", 1.0, ended=[end])
    assert book.task(T).failed == 1
    after = successor(book)
    answer(after, "i-0", 2.0, ended=[end])
    assert after.task(T).failed == 1


def test_a_gang_that_fails_in_two_members_has_failed_once():
    book = make_book(job(step(2, gang=True)), ("i-0", "i-1"))
    for start in starts(book):
        book.start_answered(book.hosts[start.host], start.run, None, 0.1)
    ends = [Ended(i + 1, TaskId("j", 0, 0, i), 1, EndKind.FAILED, "") for i in range(2)]
    answer(book, book.task(T).host, 1.0, ended=ends)
    assert [task.failed for task in book.jobs["j"].steps[0, 0].tasks] == [1, 1]


def test_room_stays_taken_until_the_end_is_listed():
    book = make_book(job(step(9, cpu_milli=8000)))
    first = starts(book)
    assert len(first) == 4
    assert not starts(book, 0.2)
    answer(book, "i-0", 1.0, ended=[Ended(1, first[0].run.key[0], 1, EndKind.DONE, "")])
    assert len(starts(book, 1.1)) == 1


def test_an_unanswered_start_keeps_its_room_until_the_raised_token_is_answered():
    book = make_book(job(step(1, cpu_milli=30000)), ("i-0", "i-1"))
    (start,) = starts(book)
    host = book.hosts[start.host]
    old = host.token
    assert book.start_unanswered(host, start.run, 0.5) == [SettleHost(host.name)]
    assert host.token > old
    # A report that was asked for under the old token proves nothing.
    answer(book, host.name, 0.6, token=old)
    assert not starts(book, 0.7)
    answer(book, host.name, 0.8)
    (again,) = starts(book, 0.9)
    assert again.run.key[1] == 2


def test_an_unanswered_start_that_the_host_lists_goes_on():
    book = make_book(job())
    (start,) = starts(book)
    host = book.hosts["i-0"]
    book.start_unanswered(host, start.run, 0.5)
    answer(book, "i-0", 0.6, running=[Running(T, 1, "", 5, 0)])
    assert start.run.state == "running"
    assert not starts(book, 0.7)


def test_a_report_asked_for_before_the_start_was_answered_ends_nothing():
    book = make_book(job())
    (start,) = starts(book)
    book.start_answered(book.hosts["i-0"], start.run, None, 0.5)
    answer(book, "i-0", 0.6, sent_at=0.4)
    assert start.run.state == "running"
    answer(book, "i-0", 1.6, sent_at=0.7)
    assert start.run.state == "over"


@pytest.mark.parametrize("rejection", list(Rejection))
def test_a_rejected_start_leaves_the_task_to_be_placed_again(rejection):
    book = make_book(job())
    (start,) = starts(book)
    book.start_answered(book.hosts["i-0"], start.run, rejection, 0.2)
    assert book.task(T).state == "waiting"
    assert book.hosts["i-0"].used.cpu_milli == 0


def test_unsettled_tasks_wait_for_every_host_of_the_former_owner():
    book = make_book(job(), ("i-0", "i-1"), settled=False)
    book.expect_hosts({"i-0", "i-1", "i-gone"}, 14.0)
    answer(book, "i-0", 0.1)
    answer(book, "i-1", 0.1)
    assert not book.settle_tasks(0.2)
    assert not starts(book, 0.3)
    book.former_gone(4.0)
    assert not book.settle_tasks(3.9)
    assert book.settle_tasks(4.1)


def test_a_successor_adopts_what_runs_and_stops_what_it_does_not_want():
    book = make_book(job(), ("i-0",), settled=False)
    other = Running(TaskId("x", 0, 0, 0), 3, "", 50, 0)
    effects = answer(book, "i-0", 0.1, running=[Running(T, 4, "ck", 50, 0), other])
    assert book.task(T).state == "placed" and book.task(T).run == 4
    assert book.task(T).checkpoint == "ck"
    (stop,) = [e for e in effects if isinstance(e, StopRun)]
    assert stop.run.key[0].job == "x"


def test_a_cancelled_job_takes_an_end_without_starting_again():
    book = make_book(job(step(2)))
    first = starts(book)
    effects = book.cancel("j", 1.0, 1.0)
    assert len(effects) == len(first)
    answer(book, "i-0", 1.2, ended=[Ended(1, T, 1, EndKind.STOPPED, "")])
    assert not starts(book, 1.3)
    assert book.jobs["j"].outcome == "cancelled"
    assert book.jobs["j"].shown() == "queued"


def test_a_silent_host_s_work_is_over_when_its_leases_have_surely_lapsed():
    book = make_book(job(), ("i-0", "i-1"))
    (start,) = starts(book)
    host = book.hosts[start.host]
    host.granted(0.1)
    book.start_answered(host, start.run, None, 0.2)
    book.lapse_silent(4.0)
    assert book.task(T).state == "placed"
    book.lapse_silent(host.lapse_at + 0.01)
    assert book.task(T).state == "waiting"


def test_what_a_successor_has_just_adopted_does_not_lapse_at_once():
    book = make_book(job(), ("i-0",), settled=False)
    answer(book, "i-0", 5.0, running=[Running(T, 1, "", 50, 0)])
    book.lapse_silent(5.01)
    assert book.task(T).state == "placed"
    assert book.hosts["i-0"].lapse_at > 9.0


def test_failed_runs_are_all_counted_in_whatever_order_hosts_list_them():
    # Two ends that the former owner could not record, the later one listed first.
    book = make_book(job(), ("i-0", "i-1"), settled=False)
    book.waiting_for_hosts = {"i-0", "i-1"}
    book.former_lapse_at = 1e9
    answer(book, "i-1", 0.1, ended=[Ended(1, T, 3, EndKind.FAILED, "")])
    answer(book, "i-0", 0.2, ended=[Ended(1, T, 2, EndKind.FAILED, "")])
    assert book.task(T).failed == 2
    book.settle_tasks(0.3)
    assert book.task(T).run > 3


def test_a_failed_end_that_is_listed_after_the_task_went_on_still_counts():
    book = make_book(job(), ("i-0", "i-1"))
    task = book.task(T)
    task.run = 5
    answer(book, "i-0", 0.1, ended=[Ended(1, T, 2, EndKind.FAILED, "")])
    assert task.failed == 1 and task.state == "waiting"


def test_a_lease_counts_from_the_answer_not_from_the_question():
    # A host that waits a second before it answers reads its clock at the end.
    book = make_book(job())
    host = book.hosts["i-0"]
    answer(book, "i-0", 6.0, sent_at=5.0, clock=6000)
    assert host.lease_until(6.0) == 10000


def withdrawn(book):
    """Order the one task of the job, and cancel the job before any answer."""
    (start,) = starts(book)
    book.cancel("j", 0.2, 0.2)
    return book.hosts["i-0"], start.run


def test_a_stop_before_the_start_s_answer_keeps_the_room_through_reports():
    # Trace: a cancelled job whose starts wait behind a host's other orders; the
    # host's report of meanwhile does not list them, and they begin after it.
    book = make_book(job())
    host, run = withdrawn(book)
    answer(book, "i-0", 0.4, sent_at=0.3)
    assert host.used.cpu_milli == 4000
    book.start_answered(host, run, None, 0.5)
    assert run.state == "stopping"
    answer(book, "i-0", 0.7, sent_at=0.6, ended=[Ended(1, T, 1, EndKind.STOPPED, "")])
    assert host.used.cpu_milli == 0


def test_a_withdrawn_start_that_was_not_sent_is_dropped_with_its_room():
    book = make_book(job())
    host, run = withdrawn(book)
    assert not book.may_send(host, run)
    book.start_dropped(host, run, 0.3)
    assert host.used.cpu_milli == 0
    assert book.task(T).state == "abandoned"


def test_a_withdrawn_start_without_an_answer_is_stopped_where_it_is_listed():
    book = make_book(job())
    host, run = withdrawn(book)
    book.start_unanswered(host, run, 0.3)
    effects = answer(book, "i-0", 0.5, running=[Running(T, 1, "", 10, 0)])
    assert [e.run for e in effects if isinstance(e, StopRun)] == [run]


def test_a_start_that_waited_while_its_host_lapsed_is_not_sent():
    book = make_book(job())
    (start,) = starts(book)
    host = book.hosts["i-0"]
    assert book.may_send(host, start.run)
    book.lapse_silent(1e9)
    assert not book.may_send(host, start.run)
    assert book.start_dropped(host, start.run, 1e9) == []
