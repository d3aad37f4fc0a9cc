"""When the advisor is asked, under the loads that the module names."""

from siskinroad.work.effects import AskAdvice, StartRun
from siskinroad.work.hosts import HostReport, Running
from siskinroad.work.lines import LineTimes
from siskinroad.work.planner import Planner
from tests.work.cell import job, step
from tests.work.test_planner import add, allow, make, plan, started

# One question takes 0.1 s and 0.01 s for each host; tickets hold for 2 s.
LARGE = {"cpu_milli": 30000, "estimate": 4.0}


def asks(effects):
    return [(e.step, e.hosts) for e in effects if isinstance(e, AskAdvice)]


def begin(book, effects, now):
    """Let the hosts accept every start of a plan."""
    for effect in effects:
        if isinstance(effect, StartRun):
            book.start_answered(book.hosts[effect.host], effect.run, None, now)


def list_progress(book, percent, now):
    """Let every host list its runs, all at the same percent."""
    for host in book.hosts.values():
        rows = tuple(Running(t, n, "", percent, 0) for t, n in host.runs)
        report = HostReport(int(now * 1000), 1, rows, ())
        book.report(host, report, host.token, now, now, now)


def blocked_step(expires):
    """Return a book whose one host works, and a step that waits for its room."""
    book = make(["i-0"])
    add(book, "first", job(step(1, **LARGE)), "slow")
    begin(book, plan(book, 0.1), 0.1)
    waits = add(book, "waits", job(step(1, **LARGE)), "advised")
    allow(waits, "i-0", until=expires)
    return book, waits


def test_tickets_are_renewed_so_that_they_come_when_the_room_does():
    # Load: large tasks on accelerator hosts at nine tenths of their load.
    book, waits = blocked_step(expires=1.0)
    list_progress(book, 50, 2.1)
    assert asks(plan(book, 2.1)) == []
    list_progress(book, 95, 3.9)
    assert asks(plan(book, 3.9)) == [(waits.steps[0, 0].key, ("i-0",))]
    assert asks(plan(book, 3.95)) == []


def test_runs_that_end_at_the_same_time_make_room_together():
    book = make(["i-0"])
    half = {"cpu_milli": 15000, "estimate": 4.0}
    add(book, "first", job(step(1, **half), step(1, memory_mib=7, **half)), "slow")
    begin(book, plan(book, 0.1), 0.1)
    waits = add(book, "waits", job(step(1, **LARGE)), "advised")
    allow(waits, "i-0", until=1.0)
    list_progress(book, 95, 3.9)
    assert asks(plan(book, 3.9)) == [(waits.steps[0, 0].key, ("i-0",))]


def test_tickets_that_hold_until_the_room_is_there_are_not_renewed():
    book, _ = blocked_step(expires=9.0)
    list_progress(book, 95, 3.9)
    assert asks(plan(book, 3.9)) == []


def test_a_gang_s_tickets_are_renewed_when_all_of_its_room_is_near():
    book = make(["i-0", "i-1"])
    add(book, "first", job(step(2, **LARGE)), "slow")
    begin(book, plan(book, 0.1), 0.1)
    gang = add(book, "gang", job(step(2, gang=True, **LARGE)), "advised")
    allow(gang, "i-0", "i-1", until=1.0)
    list_progress(book, 95, 3.9)
    (late,) = book.hosts["i-1"].runs.values()
    late.progress = 50
    assert asks(plan(book, 3.9)) == []
    late.progress = 95
    assert asks(plan(book, 3.9)) == [(gang.steps[0, 0].key, ("i-0", "i-1"))]


def test_the_next_step_is_asked_about_while_the_one_before_it_works():
    # Load: jobs of several short steps, worth most within a second or two.
    book = make(["i-0", "i-1"])
    both = add(book, "both", job(step(2), step(1, after=(0,))), "advised")
    allow(both, "i-0", "i-1")
    begin(book, plan(book, 0.1), 0.1)
    assert asks(plan(book, 0.2)) == []
    list_progress(book, 80, 0.9)
    assert asks(plan(book, 0.95)) == [(both.steps[0, 1].key, ("i-0", "i-1"))]
    assert asks(plan(book, 1.0)) == []
    # With the tickets there, it begins as soon as it is ready.
    both.steps[0, 1].asking = False
    allow(both, "i-0", "i-1", step_=1)
    for task in both.steps[0, 0].tasks:
        task.move("done")
    book.ready.pop(both.steps[0, 0].key)
    book._find_ready(both, 1.1)
    assert [name for name, _ in started(plan(book, 1.1))] == ["both"]


def test_the_next_step_is_not_asked_about_while_tasks_before_it_wait():
    book = make(["i-0"])
    both = add(book, "both", job(step(2, cpu_milli=30000), step(1, after=(0,))))
    both.queue = "advised"
    allow(both, "i-0")
    begin(book, plan(book, 0.1), 0.1)
    list_progress(book, 95, 0.95)
    assert asks(plan(book, 0.96)) == []


def test_the_most_urgent_steps_are_asked_about_first_and_the_rest_later():
    # Load: a take-over while many advised steps wait; one line is free.
    book = make(["i-0", "i-1"])
    for i in range(5):
        add(book, f"old{i}", job(step(1, estimate=9.0)), "advised", at=-0.05)
    urgent = add(book, "young", job(step(1, estimate=0.1)), "advised")
    effects = Planner(book).plan(0.1, 0.1, LineTimes([0.0], [0.2]))
    assert asks(effects) == [(urgent.steps[0, 0].key, ("i-0", "i-1"))]
    later = asks(Planner(book).plan(0.3, 0.3, LineTimes([0.0], [0.2])))
    assert len(later) == 1 and later[0][0][0].startswith("old")
