"""What a crash shows of the tasks whose runs it takes, without I/O."""

from dataclasses import replace

from siskinroad.work.crash_record import TRIAL_S
from siskinroad.work.crash_tracker import CrashTracker
from siskinroad.work.host import Host, Run
from siskinroad.work.job import make_job
from siskinroad.work.planning_pass import task_avoids_host
from siskinroad.work.records import Accepted
from tests.work.cell import POOL, entry, job, step


class Pool:
    """Hosts, and one job of as many tasks as the tests use."""

    def __init__(self, hosts=4, tasks=4):
        self.hosts = {
            name: Host(entry(name), 1) for name in map("i-{}".format, range(hosts))
        }
        spec = job(step(tasks))
        self.job = make_job(Accepted("j", "fast", POOL, 0.0, spec))
        (self.step,) = self.job.open_occurrence(is_settled=True)
        self.changed = []
        self.tracker = CrashTracker(
            self.hosts, lambda task: self.step, self.changed.append
        )

    def start(self, host, index, at, *, is_on_trial=False, is_answered=True):
        task = self.step.tasks[index]
        task.run += 1
        run = Run((task.id, task.run), self.step.need, 1, at, self.step.key)
        run.begun_at = at if is_answered else 0.0
        run.commanded_at = at
        self.hosts[host].add_run(run)
        if is_on_trial:
            self.hosts[host].begin_trial(run, TRIAL_S, at)
        return run

    def crash(self, name, at):
        """Let a host fail, and answer as another incarnation three seconds later."""
        host = self.hosts[name]
        host.replied_at = at - 0.1
        host.record_failed_request(at)
        self.tracker.record_crash(host, list(host.runs.values()), "test", at + 3.0)
        for run in list(host.runs.values()):
            host.remove_run(run)
        host.replied_at = at + 3.0

    def causes(self):
        return [task.id.index for _, task in self.tracker.causes]


def test_a_start_in_flight_at_the_crash_is_no_trial():
    # Its age is zero, as the host failed before the start was answered.
    pool = Pool()
    for host, at in (("i-0", 10.0), ("i-1", 14.0)):
        pool.start(host, 0, at)
        pool.crash(host, at)
    assert pool.causes() == []
    pool.start("i-2", 0, 20.0, is_on_trial=True)
    pool.crash("i-2", 20.05)
    assert pool.causes() == [0]


def test_a_start_that_a_silent_host_never_answered_shows_nothing():
    # Guards against review/12: one real crash, then a start on trial without an answer.
    pool = Pool()
    pool.start("i-0", 0, 10.0)
    pool.crash("i-0", 10.2)
    pool.start("i-1", 0, 14.0, is_on_trial=True, is_answered=False)
    pool.crash("i-1", 14.1)
    assert pool.causes() == []
    pool.start("i-2", 0, 20.0, is_on_trial=True)
    pool.crash("i-2", 20.2)
    assert pool.causes() == [0]


def test_a_task_that_crashes_hosts_before_they_answer_is_given_up():
    pool = Pool(hosts=5)
    for i in range(4):
        assert pool.causes() == []
        at = 10.0 * (i + 1)
        pool.start(f"i-{i}", 0, at, is_on_trial=i > 0, is_answered=False)
        pool.crash(f"i-{i}", at + 0.1)
    assert pool.causes() == [0]


def test_a_run_that_was_on_trial_long_ago_explains_no_crash():
    # Two hosts are lost at once; one has a run that was on trial once.
    pool = Pool()
    pool.start("i-0", 0, 10.0)
    pool.crash("i-0", 10.1)
    pool.start("i-1", 1, 5.0, is_on_trial=True)
    pool.start("i-2", 0, 20.0, is_on_trial=True)
    other = pool.hosts["i-1"]
    other.replied_at = 19.0
    other.record_failed_request(20.1)
    pool.crash("i-2", 20.1)
    assert pool.causes() == []


def test_the_end_of_an_earlier_trial_does_not_end_a_later_one():
    pool = Pool()
    first = pool.start("i-0", 0, 10.0, is_on_trial=True)
    pool.start("i-0", 1, 20.0, is_on_trial=True)
    host = pool.hosts["i-0"]
    host.remove_run(first)
    assert host.trial_until == 20.0 + TRIAL_S


def test_neighbours_of_the_run_on_trial_are_not_given_up():
    pool = Pool()
    for index in range(3):
        pool.start("i-0", index, 10.0)
    pool.crash("i-0", 10.1)
    pool.start("i-1", 1, 12.0)
    pool.start("i-1", 0, 20.0, is_on_trial=True)
    pool.crash("i-1", 20.1)
    assert pool.causes() == [0]


def test_a_lapsed_host_that_reports_again_has_not_crashed():
    pool = Pool()
    host = pool.hosts["i-0"]
    host.incarnation_ms = 7
    pool.start("i-0", 0, 10.0)
    pool.tracker.record_lapse(host, 15.0)
    pool.tracker.note_report(host, 7, 16.0)
    pool.tracker.note_listed(entry("i-9"), 17.0)
    assert not pool.step.tasks[0].crashes.notes
    pool.tracker.record_lapse(host, 20.0)
    pool.tracker.note_report(host, 8, 21.0)
    assert len(pool.step.tasks[0].crashes.notes) == 1


def test_a_task_whose_trial_ended_in_silence_waits_for_the_host():
    # The host is down for longer than its lease: each start would crash a further one
    # before the crash before it is known.
    pool = Pool()
    task = pool.step.tasks[0]
    pool.start("i-0", 0, 10.0)
    pool.hosts["i-0"].replied_at = 9.9
    pool.hosts["i-0"].record_failed_request(10.1)
    pool.tracker.record_lapse(pool.hosts["i-0"], 14.5)
    assert task.crashes.needs_trial
    assert not task_avoids_host(task, pool.hosts["i-1"], 14.6)
    pool.start("i-1", 0, 14.6, is_on_trial=True)
    pool.hosts["i-1"].replied_at = 14.5
    pool.hosts["i-1"].record_failed_request(14.7)
    pool.tracker.record_lapse(pool.hosts["i-1"], 19.1)
    assert task_avoids_host(task, pool.hosts["i-2"], 19.2)
    pool.tracker.note_listed(replace(entry("i-9"), address="i-1"), 20.0)
    assert task.crashes.notes
    assert not task_avoids_host(task, pool.hosts["i-2"], 20.1)


def test_two_trials_that_end_in_silence_at_once_show_both_causes():
    # Their hosts are down for longer than their leases, so that no run is left there.
    pool = Pool(hosts=6)
    for host, index in (("i-0", 0), ("i-1", 1)):
        pool.start(host, index, 10.0)
        pool.crash(host, 10.0 + index)
    for host, index in (("i-2", 0), ("i-3", 1)):
        pool.start(host, index, 20.0, is_on_trial=True)
        pool.hosts[host].replied_at = 19.9
        pool.hosts[host].record_failed_request(20.05)
        pool.tracker.record_lapse(pool.hosts[host], 24.5)
        for run in list(pool.hosts[host].runs.values()):
            pool.hosts[host].remove_run(run)
    for host in ("i-2", "i-3"):
        pool.tracker.note_listed(replace(entry("n"), address=host), 26.0)
    assert pool.causes() == [0, 1]
