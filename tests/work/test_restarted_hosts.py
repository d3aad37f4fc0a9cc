"""Hosts that restart under their name, perhaps as another kind."""

from dataclasses import replace

from siskinroad.work.hosts import HostReport
from tests.work.cell import entry, job, step
from tests.work.test_planner import add_job, list_starts, make_pool_state, plan

FORMER_MS, PRESENT_MS = 1, 2
LABELLED = job(step(label="a"))


def list_as(pool_state, incarnation_ms, *labels):
    listed = entry("i-0")
    listed = replace(listed, labels=frozenset(labels), incarnation_ms=incarnation_ms)
    pool_state.add_or_update_host(listed, 0.1)


def report_as(pool_state, incarnation_ms):
    host = pool_state.hosts["i-0"]
    report = HostReport(1000, incarnation_ms, (), ())
    pool_state.apply_report(host, report, host.token, 0.1, 0.1, 0.1)


def test_a_host_gets_no_task_by_the_entry_of_its_former_incarnation():
    # Guards against ROUTE: 16 starts without the required label, after an executor had
    # come back as another kind and before its new entry was read.
    pool_state = make_pool_state(["i-0"])
    list_as(pool_state, FORMER_MS, "a", "r1")
    report_as(pool_state, PRESENT_MS)
    add_job(pool_state, "j", LABELLED)
    assert list_starts(plan(pool_state)) == []
    list_as(pool_state, PRESENT_MS, "b", "r1")
    assert list_starts(plan(pool_state)) == []
    list_as(pool_state, PRESENT_MS, "a", "r1")
    assert len(list_starts(plan(pool_state))) == 1


def test_a_host_whose_new_entry_is_read_first_waits_for_its_report():
    pool_state = make_pool_state(["i-0"])
    list_as(pool_state, FORMER_MS, "b", "r1")
    report_as(pool_state, FORMER_MS)
    list_as(pool_state, PRESENT_MS, "a", "r1")
    add_job(pool_state, "j", LABELLED)
    assert list_starts(plan(pool_state)) == []
    report_as(pool_state, PRESENT_MS)
    assert len(list_starts(plan(pool_state))) == 1


def test_an_entry_that_names_no_incarnation_is_used():
    pool_state = make_pool_state(["i-0"])
    list_as(pool_state, 0, "a", "r1")
    report_as(pool_state, PRESENT_MS)
    add_job(pool_state, "j", LABELLED)
    assert len(list_starts(plan(pool_state))) == 1
