"""Tests of what accounts may hold by runs of former owners that are not known yet."""

from siskinroad.resources import Resources
from siskinroad.work import unsettled_use
from siskinroad.work.hosts import HostReport
from siskinroad.work.planner import Planner
from tests.work.cell import entry, job, step
from tests.work.test_account_use import add_job, make_limited_state
from tests.work.test_planner import list_starts

# A host of the test cell has 32 processors; tasks take 4 of them.
HOST_CPU = 32_000
TASK_CPU = 4_000
HOSTS = [f"i-{i}" for i in range(10)]


def take_over(limit_cpu, silent, **jobs):
    """Return a pool after a takeover; some of the former owner's hosts are silent."""
    pool_state = make_limited_state(*HOSTS, a=Resources(limit_cpu))
    pool_state.is_settled = False
    pool_state.set_former_owner_hosts([*HOSTS, *silent], 100.0)
    for name, spec in jobs.items():
        add_job(pool_state, name, spec, "a", is_new=False)
    return pool_state


def count_starts(pool_state, now=0.1):
    return len(list_starts(Planner(pool_state).plan(now, now)))


def test_an_account_starts_what_fits_beside_a_silent_host_full_of_its_tasks():
    # 100 accepted tasks of which a few can run: all of them counted as if they did.
    pool_state = take_over(4 * HOST_CPU, ["gone"], old=job(step(100)))
    add_job(pool_state, "new", job(step(30)), "a")
    assert count_starts(pool_state) == 3 * HOST_CPU // TASK_CPU


def test_the_bound_of_the_silent_hosts_holds_in_each_dimension():
    pool_state = take_over(0, ["gone"], old=job(step(100, accelerators=2)))
    pool_state.update_account_use(0.1, 0.1)
    assert pool_state.account_use.occupied("a") == Resources(32_000, 64_000, 8)


def test_an_account_starts_nothing_while_all_hosts_may_be_full_of_its_tasks():
    pool_state = take_over(HOST_CPU, ["gone"], old=job(step(100)))
    add_job(pool_state, "new", job(step(1)), "a")
    assert count_starts(pool_state) == 0


def test_a_silent_host_counts_as_the_largest_known_one_whatever_it_is_listed_with():
    # It may have been larger when the former owner started its runs.
    small = Resources(TASK_CPU, 64000, 8, 0)
    pool_state = take_over(2 * HOST_CPU, ["small"], old=job(step(100)))
    pool_state.add_or_update_host(entry("small", capacity=small))
    add_job(pool_state, "new", job(step(30)), "a")
    assert count_starts(pool_state) == HOST_CPU // TASK_CPU


def test_a_silent_host_holds_a_task_that_is_larger_than_each_known_host():
    large = step(1, cpu_milli=2 * HOST_CPU)
    pool_state = take_over(3 * HOST_CPU, ["gone"], old=job(large))
    add_job(pool_state, "new", job(step(30)), "a")
    assert count_starts(pool_state) == HOST_CPU // TASK_CPU


def test_best_effort_tasks_count_in_full_as_they_take_no_capacity_of_a_host():
    filler = job(step(12, filler=True))
    pool_state = take_over(13 * TASK_CPU, ["gone"], old=filler)
    add_job(pool_state, "new", job(step(30)), "a")
    assert count_starts(pool_state) == 1


def test_nothing_is_unknown_once_all_hosts_have_answered():
    # The tasks may still wait for a read of the claims.
    pool_state = take_over(2 * TASK_CPU, ["late"], old=job(step(100)))
    add_job(pool_state, "new", job(step(2)), "a")
    assert count_starts(pool_state) == 0
    pool_state.add_or_update_host(entry("late"))
    late = pool_state.hosts["late"]
    pool_state.apply_report(late, HostReport(1, 1, (), ()), late.token, 0.2, 0.2, 0.2)
    assert not pool_state.is_settled
    assert count_starts(pool_state, 0.3) == 2


def test_the_passes_of_a_second_do_not_all_look_at_each_task(monkeypatch):
    sums = []
    sum_unsettled = unsettled_use.sum_unsettled

    def count_and_sum(jobs, wall):
        sums.append(wall)
        return sum_unsettled(jobs, wall)

    monkeypatch.setattr(unsettled_use, "sum_unsettled", count_and_sum)
    pool_state = take_over(HOST_CPU, ["gone"], old=job(step(100)))
    for i in range(100):
        add_job(pool_state, f"new-{i}", job(step(1)), "a")
        pool_state.update_account_use(i / 100, i / 100)
    assert len(sums) <= 10


def test_an_occurrence_that_becomes_due_counts_at_once():
    spec = job(step(8), occurrences=2, first=0.0, interval=0.05)
    pool_state = take_over(2 * HOST_CPU, ["gone"], timed=spec)
    seen = []
    for now in (0.0, 0.06):
        pool_state.open_due(now, now, 0.0)
        pool_state.update_account_use(now, now)
        seen.append(pool_state.account_use.occupied("a").cpu_milli)
    # Two occurrences of 32 processors; the silent host has no more than one of these.
    assert seen == [HOST_CPU, HOST_CPU]
    pool_state.former_owner_hosts.add("gone-2")
    pool_state.update_account_use(0.061, 0.061)
    assert pool_state.account_use.occupied("a").cpu_milli == 2 * HOST_CPU
