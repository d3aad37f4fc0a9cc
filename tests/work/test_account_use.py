"""Tests of what accounts hold in one pool, and of the planner's check of it."""

import time
from dataclasses import replace

from siskinroad.cell import Owner
from siskinroad.resources import Resources
from siskinroad.work.account_limits import AccountLimits
from siskinroad.work.account_parts import AccountParts
from siskinroad.work.account_use import UNLIMITED, AccountUse
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.effects import RequestAdvice
from siskinroad.work.hosts import HostReport, RunStatus
from siskinroad.work.model import TaskId
from siskinroad.work.planner import Planner
from siskinroad.work.records import Accepted, Loans, Progress, TaskProgress
from siskinroad.work.wait_reasons import WaitReason
from tests.work.cell import CONFIGURATION, POOL, job, step
from tests.work.test_planner import list_starts, make_pool_state
from tests.work.test_wait_reasons import find_reasons

# A host of the test cell has 32 processors; tasks take 4 of them.
LIMIT = Resources(12_000, 0, 0, 0)
# The stated target of a start's check at 1,000 accounts, in seconds.
MAX_CHECK_S = 20e-6


def make_accounts(**limits):
    return make_directory(
        ClientAccount(Owner(name, 1.0, 1.0, limit), (f"key-{name}",))
        for name, limit in limits.items()
    )


def make_limited_state(*hosts, **limits):
    """Return the state of a pool that alone has the whole limit of each account."""
    pool_state = make_pool_state(hosts)
    configuration = replace(CONFIGURATION, accounts=make_accounts(**limits))
    pool_state.configure(configuration)
    account_limits = AccountLimits()
    account_limits.apply(configuration)
    pool_state.account_use.find_limit = account_limits.by_name.get
    pool_state.account_use.find_part = lambda account, now: as_part(
        account_limits.by_name.get(account)
    )
    return pool_state


def as_part(limit):
    return limit and Resources(
        limit.cpu_milli or UNLIMITED,
        limit.memory_mib or UNLIMITED,
        limit.accelerators or UNLIMITED,
        UNLIMITED,
    )


def add_job(pool_state, name, spec, account, queue="fast", is_new=True):
    accepted = Accepted(name, queue, POOL, 0.0, spec, account=account)
    pool_state.accept(accepted, 0.0, 0.0, is_new=is_new)
    return pool_state.jobs[name]


def plan(pool_state, now=0.1):
    return Planner(pool_state).plan(now, now)


def test_starts_stay_at_the_limit_and_other_accounts_start():
    pool_state = make_limited_state("i-0", a=LIMIT, b=Resources())
    add_job(pool_state, "many", job(step(5)), "a")
    add_job(pool_state, "other", job(step(3)), "b")
    starts = [name for name, _ in list_starts(plan(pool_state))]
    assert starts.count("many") == 3 and starts.count("other") == 3
    assert pool_state.account_use.held("a").cpu_milli == 12_000
    assert not list_starts(plan(pool_state, 0.2))


def test_two_steps_of_one_account_share_its_limit_within_one_pass():
    pool_state = make_limited_state("i-0", a=LIMIT)
    for name in ("one", "two"):
        add_job(pool_state, name, job(step(2)), "a")
    assert len(list_starts(plan(pool_state))) == 3


def test_a_gang_starts_whole_or_not_at_all():
    pool_state = make_limited_state("i-0", a=LIMIT)
    add_job(pool_state, "gang", job(step(5, gang=True)), "a")
    assert not list_starts(plan(pool_state))
    add_job(pool_state, "small", job(step(3, gang=True)), "a")
    assert len(list_starts(plan(pool_state, 0.2))) == 3


def test_a_task_larger_than_the_whole_limit_runs_alone():
    pool_state = make_limited_state("i-0", "i-1", a=LIMIT)
    add_job(pool_state, "large", job(step(2, cpu_milli=20_000)), "a")
    assert len(list_starts(plan(pool_state))) == 1
    assert not list_starts(plan(pool_state, 0.2))


def test_a_step_at_its_limit_names_it_and_neither_withholds_nor_asks_for_advice():
    pool_state = make_limited_state("i-0", a=Resources(4000, 0, 0, 0), b=Resources())
    add_job(pool_state, "first", job(step(1)), "a")
    assert len(list_starts(plan(pool_state))) == 1
    gang = add_job(pool_state, "gang", job(step(4, gang=True)), "a")
    advised = add_job(pool_state, "advised", job(step(1)), "a", "advised")
    planner = Planner(pool_state)
    effects = planner.plan(0.2, 0.2)
    assert not [e for e in effects if isinstance(e, RequestAdvice)]
    assert not planner.last_pass.excluded_hosts
    assert find_reasons(pool_state, gang, 0.3) == {WaitReason.ACCOUNT_LIMIT: 4}
    assert find_reasons(pool_state, advised, 0.3) == {WaitReason.ACCOUNT_LIMIT: 1}
    add_job(pool_state, "other", job(step(7)), "b")
    assert len(list_starts(plan(pool_state, 0.4))) == 7


def test_doubtful_and_stopping_runs_count_until_they_are_over():
    pool_state = make_limited_state("i-0", a=Resources(4000, 0, 0, 0))
    add_job(pool_state, "first", job(step(1)), "a")
    effect = plan(pool_state)[0]
    host = pool_state.hosts["i-0"]
    pool_state.note_start_without_reply(host, effect.run, 0.2)
    assert effect.run.state == "doubtful"
    add_job(pool_state, "next", job(step(1)), "a")
    assert not list_starts(plan(pool_state, 0.3))
    pool_state.cancel("first", 0.3, 0.3)
    assert not list_starts(plan(pool_state, 0.4))
    report = HostReport(2000, 1, (), ())
    pool_state.apply_report(host, report, host.token, 0.5, 0.5, 0.5)
    assert list_starts(plan(pool_state, 0.6)) == [("next", "i-0")]


def test_speculative_copies_count():
    pool_state = make_limited_state("i-0", "i-1", a=Resources(4000, 0, 0, 0))
    add_job(pool_state, "one", job(step(1, copies=True)), "a")
    run = plan(pool_state)[0].run
    host = next(host for host in pool_state.hosts.values() if host.runs)
    assert pool_state.allow_copy(host, run, "test", 0.2)
    assert not list_starts(plan(pool_state, 0.3))


def take_over(pool_state, *accepted):
    """Give a pool inherited jobs of which a host may run tasks unknown to its owner."""
    pool_state.is_settled = False
    pool_state.set_former_owner_hosts(["i-9"], 100.0)
    for name, spec, account in accepted:
        add_job(pool_state, name, spec, account, is_new=False)


def test_until_settled_an_account_starts_only_what_fits_beside_all_unsettled_tasks():
    pool_state = make_limited_state("i-0", a=LIMIT, b=LIMIT)
    take_over(pool_state, ("old", job(step(3)), "a"), ("old-b", job(step(1)), "b"))
    add_job(pool_state, "new", job(step(1)), "a")
    add_job(pool_state, "new-b", job(step(3)), "b")
    starts = [name for name, _ in list_starts(plan(pool_state))]
    assert starts == ["new-b", "new-b"]
    pool_state.settle_tasks(200.0)
    host = pool_state.hosts["i-0"]
    report = HostReport(3000, 1, (), ())
    pool_state.apply_report(host, report, host.token, 0.0, 0.1, 0.1)
    assert len(list_starts(plan(pool_state, 0.2))) == 4


def test_a_listed_run_of_a_former_owner_counts():
    pool_state = make_limited_state("i-0", a=Resources(4000, 0, 0, 0))
    take_over(pool_state, ("old", job(step(1)), "a"))
    host = pool_state.hosts["i-0"]
    status = RunStatus(TaskId("old", 0, 0, 0), 1, 10, "", 0)
    report = HostReport(2000, 1, (status,), ())
    pool_state.apply_report(host, report, host.token, 0.1, 0.1, 0.1)
    assert pool_state.account_use.held("a").cpu_milli == 4000


def test_complete_jobs_of_a_former_owner_count_nothing():
    pool_state = make_limited_state("i-0", a=LIMIT)
    take_over(pool_state, ("old", job(step(9)), "a"))
    pool_state.restore(Progress("old", "complete", 0.0, ()), 0.1)
    add_job(pool_state, "new", job(step(3)), "a")
    assert len(list_starts(plan(pool_state))) == 3


def test_done_tasks_of_a_former_owner_count_nothing():
    pool_state = make_limited_state("i-0", a=LIMIT)
    take_over(pool_state, ("old", job(step(2)), "a"))
    notes = tuple(TaskProgress(0, 0, i, True, 1, (), "") for i in range(2))
    pool_state.restore(Progress("old", "", 0.0, notes), 0.1)
    add_job(pool_state, "new", job(step(3)), "a")
    assert len(list_starts(plan(pool_state))) == 3


def test_a_removed_account_keeps_its_limit_and_a_renamed_one_is_another():
    pool_state = make_limited_state("i-0", a=LIMIT)
    limits = AccountLimits()
    first = replace(CONFIGURATION, accounts=make_accounts(a=LIMIT))
    renamed = replace(first, version=2, accounts=make_accounts(b=Resources(4000)))
    again = replace(first, version=3, accounts=make_accounts(a=Resources(8000)))
    pool_state.account_use.find_part = lambda account, now: as_part(
        limits.by_name.get(account)
    )
    for configuration, held in ((first, 0), (renamed, 12_000), (again, 12_000)):
        limits.apply(configuration)
        pool_state.configure(configuration)
        assert pool_state.account_use.held("a").cpu_milli == held
        if configuration is first:
            add_job(pool_state, "many", job(step(5)), "a")
            assert len(list_starts(plan(pool_state))) == 3
        assert not list_starts(plan(pool_state, 0.2))
    assert limits.lowered == {"a": 3}


def test_an_account_without_any_known_limit_runs_one_task_at_a_time():
    pool_state = make_limited_state("i-0", a=LIMIT)
    add_job(pool_state, "many", job(step(5)), "gone")
    assert len(list_starts(plan(pool_state))) == 1
    assert not list_starts(plan(pool_state, 0.2))


def test_without_accounts_nothing_is_counted():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "many", job(step(5)), "a")
    assert len(list_starts(plan(pool_state))) == 5
    assert pool_state.account_use is None and pool_state.run_index.account_use is None


def test_accounts_that_appear_later_count_what_runs_already():
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "many", job(step(2)), "a")
    plan(pool_state)
    pool_state.configure(replace(CONFIGURATION, accounts=make_accounts(a=LIMIT)))
    assert pool_state.account_use.held("a").cpu_milli == 8000


def test_the_account_that_used_less_ranks_lower():
    use = AccountUse()
    use.set_accounts(make_accounts(a=Resources(), b=Resources()))
    use.set_total(Resources(32_000, 64_000, 8), 0.0)
    use.add("a", Resources(16_000))
    assert use.rank("a", 1.0) > use.rank("b", 1.0) == 0.0


def test_a_check_takes_less_than_the_target_at_a_thousand_accounts():
    limits = {f"a{i}": LIMIT for i in range(1000)}
    pool_state = make_limited_state("i-0", **limits)
    use, need = pool_state.account_use, Resources(4000, 1000, 0, 0)
    account_limits = AccountLimits()
    account_limits.apply(pool_state.configuration)
    lent = {name: Loans(name, {"other": (100, 100, 100)}) for name in limits}
    parts = AccountParts(POOL, 1, account_limits, lent, lambda account: None)
    use.find_part, use.is_blocked = parts.part, parts.is_blocked
    for name in limits:
        use.add(name, need)
    rounds = 5
    took = []
    for _ in range(rounds):
        began = time.process_time()
        for name in limits:
            use.count_startable(name, need, 4)
        took.append((time.process_time() - began) / len(limits))
    assert min(took) < MAX_CHECK_S
