"""Hosts that work slowly or not at all, or leave, and fillers beside servers."""

import dataclasses

from siskinroad.work.effects import PaceRun, StartRun, StopRun
from siskinroad.work.hosts import Ended, EndKind, HostReport, Running
from siskinroad.work.model import Timing
from siskinroad.work.planner import Planner
from siskinroad.work.steward import Steward
from tests.work.cell import job, step
from tests.work.test_planner import add, make

GRACE = Timing(stop_grace=0.2)


def tell(book, host, now, running=(), ended=()):
    found = book.hosts[host]
    report = HostReport(int(now * 1000), 1, tuple(running), tuple(ended))
    return book.report(found, report, found.token, now - 0.001, now, now)


def start(book, now):
    """Start what can be started, answered at once; return the starts."""
    starts = [e for e in Planner(book).plan(now, now) if isinstance(e, StartRun)]
    for effect in starts:
        book.start_answered(book.hosts[effect.host], effect.run, None, now)
    return starts


def teach(book, now=0.1, seconds=0.9):
    """Let ten tasks that declared a second end after ``seconds``."""
    add(book, "taught", job(step(10, cpu_milli=100, estimate=1.0)), "fast")
    ends = {}
    for i, effect in enumerate(start(book, now)):
        end = Ended(i + 1, *effect.run.key, EndKind.DONE, "")
        ends.setdefault(effect.host, []).append(end)
    for host, ended in ends.items():
        tell(book, host, now + seconds, ended=ended)


def row(effect, progress, usage=0):
    return Running(*effect.run.key, "", progress, usage)


def three_jobs(book, now, estimate=1.0):
    """Start a task of each of three jobs on one host; return the starts."""
    for name in ("j", "k", "l"):
        add(book, name, job(step(1, estimate=estimate)), "fast")
    begun = start(book, now)
    assert len({effect.host for effect in begun}) == 1
    return begun


def report_all(book, now, begun, progress):
    for name in book.hosts:
        here = [row(effect, progress) for effect in begun if effect.host == name]
        tell(book, name, now, here)


def test_a_slow_host_rests_and_its_tasks_move_while_that_ends_them_sooner():
    # Load: a host that has become six times slower.
    book = make(["i-0", "i-1", "i-2"])
    teach(book)
    begun = three_jobs(book, 1.1)
    report_all(book, 1.9, begun, 12)
    effects = Steward(book, GRACE).look(1.9, 1.9)
    stopped = [e.run for e in effects if isinstance(e, StopRun)]
    assert stopped == [effect.run for effect in begun]
    assert book.hosts[begun[0].host].resting


def test_hosts_of_usual_speed_are_left_alone():
    book = make(["i-0", "i-1", "i-2"])
    teach(book)
    report_all(book, 1.9, three_jobs(book, 1.1), 55)
    assert Steward(book, GRACE).look(1.9, 1.9) == []
    assert not any(host.resting for host in book.hosts.values())


def test_declarations_that_are_far_off_make_no_host_slow():
    book = make(["i-0", "i-1", "i-2"])
    teach(book, seconds=4.9)
    report_all(book, 7.9, three_jobs(book, 5.1), 55)
    assert Steward(book, GRACE).look(7.9, 7.9) == []


def test_one_job_that_takes_long_makes_no_host_slow():
    book = make(["i-0", "i-1", "i-2"])
    teach(book)
    add(book, "j", job(step(2, estimate=1.0)), "fast")
    report_all(book, 1.9, start(book, 1.1), 12)
    assert Steward(book, GRACE).look(1.9, 1.9) == []


def test_runs_that_have_just_begun_make_no_host_slow():
    # Load: reports that list a run at no progress, then nothing for a while.
    book = make(["i-0", "i-1", "i-2"])
    teach(book)
    begun = three_jobs(book, 1.1)
    report_all(book, 1.15, begun, 0)
    assert Steward(book, GRACE).look(2.0, 2.0) == []


def test_what_stands_still_is_stopped_and_goes_elsewhere():
    book = make(["i-0", "i-1", "i-2"])
    add(book, "j", job(step(1)), "slow")
    (begun,) = start(book, 0.1)
    for now in (0.5, 1.5, 2.5, 3.5):
        for name in book.hosts:
            tell(book, name, now, [row(begun, 5)] if name == begun.host else [])
    (stop,) = Steward(book, GRACE).look(3.5, 3.5)
    end = Ended(1, *begun.run.key, EndKind.STOPPED, "ck")
    tell(book, begun.host, 3.6, ended=[end])
    (again,) = start(book, 3.7)
    assert stop.run is begun.run and again.host != begun.host
    assert again.checkpoint == "ck"


def test_fillers_are_slowed_before_the_tail_beside_them_is_over_its_bound():
    book = make(["i-0"])
    add(book, "s", job(step(1, long_running=True, tail_limit=0.1)), "fast")
    (serving,) = start(book, 0.1)
    add(book, "f", job(step(1, filler=True)), "slow")
    (filler,) = start(book, 0.2)
    steward = Steward(book, GRACE)
    tell(book, "i-0", 1.0, [row(serving, 100, 80), row(filler, 10, 4000)])
    (slower,) = steward.look(1.0, 1.0)
    assert isinstance(slower, PaceRun) and slower.percent < 100
    tell(book, "i-0", 2.0, [row(serving, 100, 30), row(filler, 12, 400)])
    (faster,) = steward.look(2.0, 2.0)
    assert faster.percent > slower.percent


def copied(book, now):
    """Start one task of a step that allows copies; return its host and its start."""
    teach(book)
    add(book, "c", job(step(1, estimate=1.0, copies=True)), "fast")
    (begun,) = start(book, now)
    return book.hosts[begun.host], begun


def progress(book, begun, now, percent):
    """Let every host report; the one with the task lists it."""
    for name in book.hosts:
        rows = [row(begun, percent)] if name == begun.host else []
        tell(book, name, now, rows)


def test_a_task_on_a_silent_host_is_copied_before_its_leases_have_lapsed():
    # Load: urgent tasks on a host that is cut off or has lost power.
    book = make(["i-0", "i-1"])
    host, begun = copied(book, 2.0)
    progress(book, begun, 2.1, 10)
    host.heard_at = 0.0
    Steward(book, GRACE).look(2.5, 2.5)
    assert start(book, 2.5) == []
    Steward(book, GRACE).look(2.9, 2.9)
    (again,) = start(book, 2.9)
    assert again.host != host.name and again.run.key[1] == 2


def test_a_task_that_is_slow_is_copied_once_and_the_first_end_counts():
    # Load: a host that has become four times slower under one urgent task.
    book = make(["i-0", "i-1"])
    host, begun = copied(book, 2.0)
    progress(book, begun, 2.8, 20)
    steward = Steward(book, GRACE)
    steward.look(2.85, 2.85)
    (again,) = start(book, 2.9)
    assert again.host != host.name
    steward.look(3.1, 3.1)
    assert start(book, 3.1) == []
    end = Ended(99, *again.run.key, EndKind.DONE, "")
    effects = tell(book, again.host, 3.9, ended=[end])
    stops = [e for e in effects if isinstance(e, StopRun)]
    assert [(e.host, e.run) for e in stops] == [(host.name, begun.run)]
    assert book.jobs["c"].outcome == "complete"


def test_the_older_copy_may_end_first_and_the_newer_is_stopped():
    book = make(["i-0", "i-1"])
    host, begun = copied(book, 2.0)
    progress(book, begun, 2.8, 20)
    Steward(book, GRACE).look(2.85, 2.85)
    (again,) = start(book, 2.9)
    end = Ended(99, *begun.run.key, EndKind.DONE, "")
    effects = tell(book, host.name, 3.3, ended=[end])
    assert [e.run for e in effects if isinstance(e, StopRun)] == [again.run]
    assert book.jobs["c"].outcome == "complete"


def test_tasks_that_allow_no_copies_are_never_copied():
    book = make(["i-0", "i-1"])
    teach(book)
    add(book, "c", job(step(1, estimate=1.0)), "fast")
    (begun,) = start(book, 2.0)
    host = book.hosts[begun.host]
    progress(book, begun, 2.8, 20)
    host.heard_at = 0.0
    Steward(book, GRACE).look(3.9, 3.9)
    assert start(book, 3.9) == []


def test_a_copied_task_s_failures_count_once_each():
    book = make(["i-0", "i-1"])
    host, begun = copied(book, 2.0)
    progress(book, begun, 2.8, 20)
    Steward(book, GRACE).look(2.85, 2.85)
    (again,) = start(book, 2.9)
    tell(book, host.name, 3.2, ended=[Ended(99, *begun.run.key, EndKind.FAILED, "")])
    task = book.task(begun.run.key[0])
    assert (task.failed, task.state, task.older) == (1, "placed", "")
    tell(book, again.host, 3.3, ended=[Ended(99, *again.run.key, EndKind.FAILED, "")])
    assert (task.failed, task.state) == (2, "waiting")


def leaving(book, host, stays, now):
    """Let a host drain, and return what the steward stops then."""
    found = book.hosts[host]
    gone = dataclasses.replace(found.entry, draining=True, stays=stays)
    book.host_listed(gone, now)
    effects = Steward(book, GRACE).look(now, now)
    return [e.run.key[0].job for e in effects if isinstance(e, StopRun)]


def test_work_that_will_not_end_before_its_host_leaves_begins_elsewhere_at_once():
    # Load: hosts that are emptied and taken away in the middle of a day.
    book = make(["i-0"])
    teach(book)
    add(book, "saves", job(step(1, estimate=4.0, checkpoints=True)), "slow")
    add(book, "lasts", job(step(1, long_running=True)), "slow")
    add(book, "plain", job(step(1, estimate=9.0)), "slow")
    add(book, "short", job(step(1, estimate=1.0)), "slow")
    begun = start(book, 2.0)
    tell(book, "i-0", 2.3, [row(effect, 10) for effect in begun])
    assert sorted(leaving(book, "i-0", 2.5, 2.4)) == ["plain", "saves"]
    # What lasts works on until just before the host leaves.
    lasting = [row(e, 100) for e in begun if e.run.key[0].job == "lasts"]
    tell(book, "i-0", 4.4, lasting)
    assert leaving(book, "i-0", 2.5, 4.5) == ["lasts"]


def test_work_on_a_host_that_stays_long_enough_is_left_alone():
    book = make(["i-0"])
    tell(book, "i-0", 1.9)
    add(book, "saves", job(step(1, estimate=2.0, checkpoints=True)), "slow")
    (begun,) = start(book, 2.0)
    tell(book, "i-0", 2.3, [row(begun, 15)])
    assert leaving(book, "i-0", 2.5, 2.4) == []


def test_a_host_that_lists_itself_again_leaves_no_later():
    book = make(["i-0"])
    for now in (1.0, 2.0):
        leaving(book, "i-0", 2.5, now)
    assert book.hosts["i-0"].leaves_at == 3.5
