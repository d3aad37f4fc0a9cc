"""What is placed where under the loads that the planner names."""

import pytest

from siskinroad.work.book import Book
from siskinroad.work.effects import AskAdvice, StartRun, StopRun
from siskinroad.work.hosts import HostReport
from siskinroad.work.planner import Planner
from siskinroad.work.records import Accepted
from tests.work.cell import POOL, SETUP, entry, job, step


def make(hosts, **entries):
    book = Book(POOL, 1)
    book.settled = True
    book.configure(SETUP)
    for name in hosts:
        book.host_listed(entries.get(name, entry(name)))
        host = book.hosts[name]
        host.recorded = True
        book.report(host, HostReport(1000, 1, (), ()), host.token, 0.0, 0.0, 0.0)
    return book


def add(book, name, spec, queue="fast", at=0.0):
    book.accept(Accepted(name, queue, POOL, at, spec), 0.0, at, fresh=True)
    return book.jobs[name]


def plan(book, now=0.1, wall=0.1):
    return Planner(book).plan(now, wall)


def started(effects):
    return [(e.run.key[0].job, e.host) for e in effects if isinstance(e, StartRun)]


def allow(job_, *hosts, until=100.0, step_=0):
    run = job_.steps[0, step_]
    run.asked.update(hosts)
    for host in hosts:
        run.tickets[host] = (f"t-{host}", until)


def test_urgent_work_goes_before_older_paperwork():
    book = make(["i-0"])
    add(book, "paper", job(step(1, cpu_milli=20000)), "slow")
    add(book, "urgent", job(step(1, cpu_milli=20000)), "fast")
    assert started(plan(book)) == [("urgent", "i-0")]


def test_work_that_is_late_anyway_makes_no_other_work_late():
    book = make(["i-0"])
    add(book, "late", job(step(1, cpu_milli=20000)), "fast", at=-5.0)
    add(book, "young", job(step(1, cpu_milli=20000)), "fast", at=0.0)
    assert started(plan(book)) == [("young", "i-0")]


def test_work_that_takes_longer_than_declared_is_late_only_by_its_true_length():
    # Load: a queue whose tasks take twice their declared second, all day.
    book = make(["i-0"])
    for _ in range(20):
        book.speeds.ended("fast", 1.0, 2.0)
    add(book, "older", job(step(1, cpu_milli=20000)), "fast", at=-1.6)
    add(book, "younger", job(step(1, cpu_milli=20000)), "fast", at=0.0)
    assert started(plan(book)) == [("older", "i-0")]
    # 1.5 times two seconds of work, and 0.4 s more.
    assert book.objective(book.jobs["younger"]) == pytest.approx(3.4, abs=0.2)


def test_the_objective_counts_a_question_for_each_step_and_the_due_time():
    book = make(["i-0"])
    spec = job(step(), step(after=(0,)), occurrences=3, first=100.0, interval=10.0)
    timed = add(book, "timed", spec, "advised")
    # Twice two seconds of work and two questions of 0.4 s, and 1.2 s more.
    assert book.objective(timed, 2) == pytest.approx(120.0 + 2 * 2.8 + 1.2)


def test_nothing_is_placed_beyond_any_dimension_of_a_host():
    book = make(["i-0"])
    add(book, "a", job(step(9, cpu_milli=1000, memory_mib=1, accelerators=3)))
    assert len(started(plan(book))) == 2


def test_a_step_with_many_hosts_leaves_the_only_host_of_another_to_it():
    # Load: advice that allows some steps one host only, at full accelerators.
    book = make(["i-0", "i-1"])
    need = {"cpu_milli": 1000, "accelerators": 8}
    free = add(book, "free", job(step(1, **need)), "advised", at=-0.1)
    bound = add(book, "bound", job(step(1, **need)), "advised")
    allow(free, "i-0", "i-1")
    allow(bound, "i-0")
    assert sorted(started(plan(book))) == [("bound", "i-0"), ("free", "i-1")]


def test_a_blocked_gang_closes_hosts_to_later_single_tasks():
    # Load: single tasks that would fill every gap before a gang finds one.
    book = make(["i-0", "i-1"])
    add(book, "first", job(step(1, cpu_milli=30000)), "fast")
    assert started(plan(book)) == [("first", "i-0")]
    add(book, "gang", job(step(2, cpu_milli=20000, gang=True)), "fast")
    add(book, "small", job(step(9, cpu_milli=9000)), "slow")
    hosts = {host for _, host in started(plan(book, 0.2))}
    assert len(hosts) <= 1


def test_a_step_asks_for_advice_once_and_then_for_what_it_needs():
    book = make(["i-0", "i-1", "i-2"])
    one = add(book, "one", job(step(1, cpu_milli=30000)), "advised")
    (ask,) = plan(book)
    assert isinstance(ask, AskAdvice) and len(ask.hosts) == 3
    assert plan(book) == []
    one.steps[0, 0].asking = False
    allow(one, "i-1", until=0.2)
    (again,) = plan(book, now=1.0)
    assert isinstance(again, AskAdvice) and again.hosts == ("i-1",)
    # The room is kept for it until the answer.
    add(book, "other", job(step(1, cpu_milli=30000)), "fast")
    assert ("other", "i-1") not in started(plan(book, now=1.1))


def test_a_step_s_spread_bounds_its_tasks_on_one_host():
    book = make(["i-0", "i-1"])
    add(book, "a", job(step(9, cpu_milli=100, spread=2)))
    hosts = [host for _, host in started(plan(book))]
    assert sorted(hosts) == ["i-0", "i-0", "i-1", "i-1"]


def test_fillers_keep_away_from_tasks_that_serve():
    book = make(["i-0", "i-1"])
    serving = step(1, long_running=True, tail_limit=0.2)
    add(book, "serve", job(serving), "fast")
    ((_, host),) = started(plan(book))
    add(book, "fill", job(step(3, filler=True)), "slow")
    assert host not in {name for _, name in started(plan(book, 0.2))}


def test_a_host_that_has_not_answered_of_late_gets_nothing():
    book = make(["i-0"])
    add(book, "a", job())
    assert started(plan(book, now=5.0)) == []


def test_a_gang_goes_back_to_a_host_where_it_failed_rather_than_never_run():
    # Load: a gang that advice allows on as many hosts as it has members.
    book = make(["i-0", "i-1"])
    gang = add(book, "g", job(step(2, cpu_milli=30000, gang=True)))
    for task in gang.steps[0, 0].tasks:
        task.avoid["i-0"] = 0.0
    assert started(plan(book, now=0.1)) == []
    assert len(started(plan(book, now=1.6))) == 2


def test_a_task_goes_elsewhere_after_a_failure_while_there_is_an_elsewhere():
    book = make(["i-0", "i-1"])
    one = add(book, "g", job(step(1)))
    one.steps[0, 0].tasks[0].avoid["i-0"] = -9.0
    assert started(plan(book)) == [("g", "i-1")]


def test_paperwork_leaves_room_for_the_urgent_work_that_comes_in_bursts():
    # Load: bursts of short urgent steps beside paperwork that fills every gap.
    book = make(["i-0", "i-1"])
    planner = Planner(book)
    add(book, "burst", job(step(6, cpu_milli=4000)), "fast")
    first = started(planner.plan(0.1, 0.1))
    assert len(first) == 6
    for host in book.hosts.values():
        for run in list(host.runs.values()):
            run.move("lapse")
            host.drop(run)
    add(book, "paper", job(step(40, cpu_milli=2000)), "slow")
    planner.plan(1.0, 1.0)
    add(book, "again", job(step(4, cpu_milli=4000)), "fast")
    assert len(started(planner.plan(1.1, 1.1))) == 4


def test_paperwork_has_the_whole_pool_while_nothing_urgent_comes():
    book = make(["i-0"])
    add(book, "paper", job(step(16, cpu_milli=2000)), "slow")
    assert len(started(plan(book))) == 16


def test_less_urgent_work_goes_on_from_its_checkpoint_after_urgent_large_work():
    # Load: single tasks on one accelerator each, beside renders that need eight.
    book = make(["i-0"])
    small = step(8, cpu_milli=1000, accelerators=1, checkpoints=True, estimate=5.0)
    add(book, "small", job(small), "slow")
    for effect in plan(book):
        book.start_answered(book.hosts["i-0"], effect.run, None, 0.2)
    add(book, "large", job(step(1, cpu_milli=8000, accelerators=8)), "fast")
    stops = [e for e in plan(book, 0.3, 0.3) if isinstance(e, StopRun)]
    assert len(stops) == 8
    assert plan(book, 0.4, 0.4) == []


def test_nothing_is_stopped_for_work_of_its_own_priority_or_that_is_nearly_done():
    book = make(["i-0"])
    near = step(1, cpu_milli=20000, checkpoints=True, estimate=1.0)
    add(book, "near", job(near), "slow")
    (effect,) = plan(book)
    book.start_answered(book.hosts["i-0"], effect.run, None, 0.2)
    add(book, "urgent", job(step(1, cpu_milli=20000)), "fast")
    add(book, "equal", job(step(1, cpu_milli=20000)), "slow")
    assert plan(book, 0.3, 0.3) == []
