"""Tests of when advice is requested, and about which hosts."""

from siskinroad.work.effects import AskAdvice, StartRun
from siskinroad.work.hosts import HostReport, Running
from siskinroad.work.lines import LineTimes
from siskinroad.work.planner import Planner
from tests.work.cell import job, step
from tests.work.test_planner import add, allow, make, plan, started

# An advisor call takes 0.1 s plus 0.01 s for each host; tickets are valid for 2 s.
LARGE = {"cpu_milli": 30000, "estimate": 4.0}


def advice_requests(effects):
    return [(e.step, e.hosts) for e in effects if isinstance(e, AskAdvice)]


def accept_starts(book, effects, now):
    """Record every start of a plan as accepted by its host."""
    for effect in effects:
        if isinstance(effect, StartRun):
            book.start_answered(book.hosts[effect.host], effect.run, None, now)


def report_progress(book, percent, now):
    """Report all runs of every host at the same progress in percent."""
    for host in book.hosts.values():
        running = tuple(Running(t, n, "", percent, 0) for t, n in host.runs)
        report = HostReport(int(now * 1000), 1, running, ())
        book.report(host, report, host.token, now, now, now)


def make_blocked_step(expires):
    """Return pool state with one busy host, and a job that waits for its capacity."""
    book = make(["i-0"])
    add(book, "first", job(step(1, **LARGE)), "slow")
    accept_starts(book, plan(book, 0.1), 0.1)
    waiting_job = add(book, "waits", job(step(1, **LARGE)), "advised")
    allow(waiting_job, "i-0", until=expires)
    return book, waiting_job


def test_tickets_are_renewed_just_before_capacity_becomes_free():
    # Large tasks on nearly full accelerator hosts: tickets requested only once the
    # capacity is free would leave the host idle for the duration of the call.
    book, waiting_job = make_blocked_step(expires=1.0)
    report_progress(book, 50, 2.1)
    assert advice_requests(plan(book, 2.1)) == []
    report_progress(book, 95, 3.9)
    assert advice_requests(plan(book, 3.9)) == [(waiting_job.steps[0, 0].key, ("i-0",))]
    assert advice_requests(plan(book, 3.95)) == []


def test_runs_that_end_at_the_same_time_free_their_capacity_together():
    # The large task fits only once both runs have ended.
    book = make(["i-0"])
    half = {"cpu_milli": 15000, "estimate": 4.0}
    add(book, "first", job(step(1, **half), step(1, memory_mib=7, **half)), "slow")
    accept_starts(book, plan(book, 0.1), 0.1)
    waiting_job = add(book, "waits", job(step(1, **LARGE)), "advised")
    allow(waiting_job, "i-0", until=1.0)
    report_progress(book, 95, 3.9)
    assert advice_requests(plan(book, 3.9)) == [(waiting_job.steps[0, 0].key, ("i-0",))]


def test_tickets_valid_until_capacity_is_free_are_not_renewed():
    # A needless renewal would occupy the advisor.
    book, _ = make_blocked_step(expires=9.0)
    report_progress(book, 95, 3.9)
    assert advice_requests(plan(book, 3.9)) == []


def test_gang_tickets_are_renewed_once_capacity_for_all_members_is_near():
    # Renewed for the first member, they could expire before the last run ends.
    book = make(["i-0", "i-1"])
    add(book, "first", job(step(2, **LARGE)), "slow")
    accept_starts(book, plan(book, 0.1), 0.1)
    gang = add(book, "gang", job(step(2, gang=True, **LARGE)), "advised")
    allow(gang, "i-0", "i-1", until=1.0)
    report_progress(book, 95, 3.9)
    (last_run,) = book.hosts["i-1"].runs.values()
    last_run.progress = 50
    assert advice_requests(plan(book, 3.9)) == []
    last_run.progress = 95
    assert advice_requests(plan(book, 3.9)) == [(gang.steps[0, 0].key, ("i-0", "i-1"))]


def test_advice_for_the_next_step_is_requested_while_its_predecessor_runs():
    # Jobs of several short steps, worth most within a second or two: a request made
    # only when the next step is ready would delay each step by a call.
    book = make(["i-0", "i-1"])
    two_steps = add(book, "both", job(step(2), step(1, after=(0,))), "advised")
    allow(two_steps, "i-0", "i-1")
    accept_starts(book, plan(book, 0.1), 0.1)
    assert advice_requests(plan(book, 0.2)) == []
    report_progress(book, 80, 0.9)
    assert advice_requests(plan(book, 0.95)) == [
        (two_steps.steps[0, 1].key, ("i-0", "i-1"))
    ]
    assert advice_requests(plan(book, 1.0)) == []
    # With its tickets present, the step starts as soon as it is ready.
    two_steps.steps[0, 1].asking = False
    allow(two_steps, "i-0", "i-1", step_=1)
    for task in two_steps.steps[0, 0].tasks:
        task.move("done")
    book.ready.pop(two_steps.steps[0, 0].key)
    book._find_ready(two_steps, 1.1)
    assert [name for name, _ in started(plan(book, 1.1))] == ["both"]


def test_advice_for_the_next_step_is_not_requested_while_predecessors_wait():
    # The end of tasks that have not started is unknown; tickets would expire unused.
    book = make(["i-0"])
    two_steps = add(book, "both", job(step(2, cpu_milli=30000), step(1, after=(0,))))
    two_steps.queue = "advised"
    allow(two_steps, "i-0")
    accept_starts(book, plan(book, 0.1), 0.1)
    report_progress(book, 95, 0.95)
    assert advice_requests(plan(book, 0.96)) == []


def test_advice_is_requested_for_the_most_urgent_steps_first_and_the_rest_later():
    # A takeover while many steps wait for advice, with one channel free: requests for
    # all of them at once would delay the urgent step behind the others.
    book = make(["i-0", "i-1"])
    for i in range(5):
        add(book, f"old{i}", job(step(1, estimate=9.0)), "advised", at=-0.05)
    urgent = add(book, "young", job(step(1, estimate=0.1)), "advised")
    effects = Planner(book).plan(0.1, 0.1, LineTimes([0.0], [0.2]))
    assert advice_requests(effects) == [(urgent.steps[0, 0].key, ("i-0", "i-1"))]
    later = advice_requests(Planner(book).plan(0.3, 0.3, LineTimes([0.0], [0.2])))
    assert len(later) == 1 and later[0][0][0].startswith("old")
