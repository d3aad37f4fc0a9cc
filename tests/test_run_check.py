"""The check of rule TWICE, and the addresses by which links can be cut."""

import pytest

from bench.cut_links import AddressBook, Cuts
from bench.run_check import Event, EventKind, collect_runs, find_twice

TASK = "5c0e7a21d94b36f1.0.0.0"


def start(at, executor, run):
    return Event(at, EventKind.START, executor, TASK, run)


def end(at, executor, run, how):
    return Event(at, EventKind.END, executor, TASK, run, how)


def ack(at, executor, run):
    return Event(at, EventKind.ACK, executor, TASK, run)


def lapse(at, executor):
    return Event(at, EventKind.LAPSE, executor)


def crash(at, executor):
    return Event(at, EventKind.CRASH, executor)


def find_shapes(*events):
    return [each.shape for each in find_twice(collect_runs(events))]


@pytest.mark.parametrize("how", ["stopped", "lapsed", "failed", "done"])
def test_two_runs_at_once_break_the_rule_however_the_first_ends(how):
    events = [start(1.0, "i-0", 1), start(2.0, "i-1", 2), end(3.0, "i-0", 1, how)]
    assert find_shapes(*events) == ["at once"]


def test_two_runs_at_once_break_the_rule_if_neither_ends():
    assert find_shapes(start(1.0, "i-0", 1), start(2.0, "i-1", 2)) == ["at once"]


@pytest.mark.parametrize("how", ["stopped", "lapsed", "failed"])
def test_a_start_after_another_end_keeps_the_rule(how):
    first = [start(1.0, "i-0", 1), end(2.0, "i-0", 1, how), ack(2.1, "i-0", 1)]
    assert find_shapes(*first, start(3.0, "i-1", 2)) == []


def test_a_start_after_an_acknowledged_done_breaks_the_rule():
    first = [start(1.0, "i-0", 1), end(2.0, "i-0", 1, "done"), ack(2.1, "i-0", 1)]
    assert find_shapes(*first, start(3.0, "i-1", 2)) == ["after done"]


def test_a_done_that_is_acknowledged_after_the_next_start_breaks_the_rule():
    first = [start(1.0, "i-0", 1), end(2.0, "i-0", 1, "done")]
    assert find_shapes(*first, start(3.0, "i-1", 2), ack(9.0, "i-0", 1)) == [
        "after done"
    ]


def test_a_done_that_is_never_acknowledged_keeps_the_rule():
    first = [start(1.0, "i-0", 1), end(2.0, "i-0", 1, "done")]
    assert find_shapes(*first, start(3.0, "i-1", 2)) == []


def test_a_lease_that_lapses_before_the_acknowledgement_keeps_the_rule():
    first = [start(1.0, "i-0", 1), end(2.0, "i-0", 1, "done"), lapse(4.0, "i-0")]
    rest = [start(5.0, "i-1", 2), ack(9.0, "i-0", 1)]
    assert find_shapes(*first, *rest) == []


def test_a_lease_that_lapses_elsewhere_or_before_the_end_changes_nothing():
    first = [start(1.0, "i-0", 1), lapse(1.5, "i-0"), end(2.0, "i-0", 1, "done")]
    rest = [lapse(2.5, "i-1"), start(5.0, "i-1", 2), ack(9.0, "i-0", 1)]
    assert find_shapes(*first, *rest) == ["after done"]


def test_a_crash_ends_the_runs_of_its_executor():
    events = [start(1.0, "i-0", 1), crash(2.0, "i-0"), start(3.0, "i-1", 2)]
    assert find_shapes(*events) == []


def test_a_run_before_the_crash_is_at_once_with_its_copy():
    events = [start(1.0, "i-0", 1), start(2.0, "i-1", 2), crash(3.0, "i-0")]
    assert find_shapes(*events) == ["at once"]


def test_addresses_are_given_in_the_view_of_the_reader():
    book = AddressBook()
    book.add("a", "127.100.100.101:40001")
    book.add("i", "127.100.100.150:40002")
    book.add_view("b", "a", "127.100.100.101:40003")
    book.add_view("a", "i", "127.100.100.150:40004")
    book.add_view("b", "i", "127.100.100.150:40005")
    text = b"a=127.100.100.101:40001 i=127.100.100.150:40004"
    seen = book.translate(text, "a", "b")
    assert seen == b"a=127.100.100.101:40003 i=127.100.100.150:40005"
    assert book.translate(seen, "b", "a") == text


def test_a_cut_holds_in_both_directions_and_for_its_link_only():
    cuts = Cuts()
    cuts.cut(["a"], ["b", "store"])
    assert cuts.is_cut("b", "a") and cuts.is_cut("a", "store")
    assert not cuts.is_cut("b", "store")
    cuts.heal(["b"], ["a"])
    assert not cuts.is_cut("a", "b") and cuts.is_cut("store", "a")
