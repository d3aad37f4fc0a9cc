"""Tests of an account's large tasks beside its smaller ones, in one pool and in two."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.resources import Resources
from siskinroad.work import account_turns
from siskinroad.work.account_turns import LargeStep, LargeStepTurns, is_large
from siskinroad.work.records import Accepted, job_topic, record_of
from tests.work.cell import FAST, POOL, job, step
from tests.work.test_account_exchange import (
    ARCHIVE,
    ARCHIVED,
    CONFIGURATION_S,
    AccountCell,
    configurations,
)
from tests.work.test_account_use import (
    LIMIT,
    add_job,
    make_limited_state,
    plan,
)
from tests.work.test_planner import list_starts

__all__ = ["configurations"]

LOWERED_CPU = 8000
# Seconds of a run, by the beginning of its job's name. The progress of tasks that last
# must be seen, and they must not end within a test.
DURATIONS = {"lasting": 100.0, "small": 1.0, "large": 3.0}
# Seconds for which callers accept that nothing runs of a job while its account uses
# under half of its limit; and those until a turn is over that begins at once.
OWED_S = 3.0
TURN_END_S = account_turns.WAIT_S + account_turns.TURN_S + OWED_S
QUEUES = {POOL: FAST, ARCHIVE: ARCHIVED}


class TurnCell(AccountCell):
    """Cell whose account has a limit of 8 processors, and tasks of three kinds."""

    def __init__(self):
        super().__init__()
        self.needs = {}
        self.known = set()

    def submit(self, name, cpu_milli, pool=POOL, **fields):
        """Store an accepted job of the account, as a daemon does."""
        at = asyncio.get_running_loop().time()
        self.needs[name] = cpu_milli
        spec = job(step(cpu_milli=cpu_milli, estimate=1.0, **fields))
        accepted = Accepted(name, QUEUES[pool].name, pool, at, spec, account="a")
        self.logs.append(job_topic(pool), [record_of(accepted)], None, None)

    def find_runs(self):
        """Return the job and run of all runs; each lasts as its job's name says."""
        found = []
        for host in self.hosts.hosts.values():
            for run in host.runs.values():
                kind = run.task.job.split("-")[0]
                run.ends_at = run.began_at + DURATIONS[kind]
            host.advance()
            found += [(run.task.job, run) for run in host.runs.values()]
        return found

    def count(self, kind):
        return sum(name.startswith(kind) for name, _ in self.find_runs())

    async def follow(self, condition, seconds, small_in=()):
        """Check all starts until a condition holds; submit small tasks meanwhile."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        ticks = 0
        while not condition():
            assert loop.time() - began <= seconds
            for pool in small_in if ticks % 4 == 0 else ():
                self.submit(f"small-{pool}-{loop.time():.2f}", 400, pool)
            ticks += 1
            await asyncio.sleep(0.02)
            self.check_starts()

    def check_starts(self):
        """Check that the limit is exceeded only from under half of it."""
        runs = self.find_runs()
        total = sum(self.needs[name] for name, _ in runs)
        new = [self.needs[name] for name, run in runs if _key(run) not in self.known]
        self.known = {_key(run) for _, run in runs}
        if new and total > LOWERED_CPU:
            assert 2 * (total - max(new)) < LOWERED_CPU, (total, new)


def _key(run):
    return (run.task, run.run)


def run(scenario, lasting_in=(POOL,)):
    """Run a scenario in a cell in which small tasks last and the limit was lowered."""

    async def run_in_cell():
        cell = TurnCell()
        for name in "abcd":
            cell.start(name, processor=1.0)
        await asyncio.sleep(3.0)
        for _ in range(100):
            if cell.owner(POOL) and cell.owner(ARCHIVE):
                break
            await asyncio.sleep(0.1)
        try:
            for pool in lasting_in:
                cell.submit(f"lasting-{pool}", 800, pool, long_running=True)
            await cell.follow(lambda: cell.count("lasting") == len(lasting_in), 3.0)
            cell.configure(12)
            await asyncio.sleep(CONFIGURATION_S)
            await scenario(cell)
        finally:
            await cell.close()

    run_on_paused_clock(run_in_cell())


@pytest.mark.parametrize("cpu_milli", [7600, 9000])
@pytest.mark.parametrize("pool", [POOL, ARCHIVE])
@pytest.mark.parametrize("lasting_in", [(POOL,), (POOL, ARCHIVE)])
def test_a_task_starts_beside_one_that_lasts_while_little_is_used(
    lasting_in, pool, cpu_milli
):
    """A task that lasted kept larger ones of its account waiting for good (LOST)."""

    async def scenario(cell):
        cell.submit("large", cpu_milli, pool)
        await cell.follow(lambda: cell.count("large"), OWED_S)
        await cell.follow(lambda: not cell.count("large"), 2 * DURATIONS["large"])

    run(scenario, lasting_in)


@pytest.mark.parametrize("small_in", [(POOL,), (ARCHIVE,), (POOL, ARCHIVE)])
def test_a_task_starts_beside_constant_small_ones(small_in):
    """Small tasks took whatever ended, so that a large one never had its turn."""

    async def scenario(cell):
        await cell.follow(lambda: cell.count("small") > 10, 20.0, small_in)
        cell.submit("large", 7600)
        await cell.follow(lambda: cell.count("large"), TURN_END_S, small_in)
        await cell.follow(lambda: not cell.count("large"), 5.0, small_in)
        await cell.follow(lambda: cell.count("small") > 10, OWED_S, small_in)

    run(scenario)


def test_small_tasks_start_beside_a_large_one_that_cannot():
    """Tasks that last take more than half of the limit: small ones go on beside."""

    async def scenario(cell):
        cell.submit("lasting-more", 4000, ARCHIVE, long_running=True)
        await cell.follow(lambda: cell.count("lasting") == 2, OWED_S)
        cell.submit("large", 7600)
        most = account_turns.LONGEST_TURN_S + OWED_S
        for _ in range(3):
            await cell.follow(lambda: not cell.count("small"), most, (POOL,))
            await cell.follow(lambda: cell.count("small"), most, (POOL,))
        assert not cell.count("large")

    run(scenario)


def test_two_large_tasks_in_two_pools_run_one_after_the_other():
    """Each owner gathers the whole limit, and the older job goes first."""

    async def scenario(cell):
        cell.submit("large-1", 7600, ARCHIVE)
        cell.submit("large-2", 7600, POOL)
        ran = set()

        def have_both_run():
            large = {name for name, _ in cell.find_runs() if name.startswith("large")}
            assert len(large) <= 1
            ran.update(large)
            return len(ran) == 2

        await cell.follow(have_both_run, DURATIONS["large"] + TURN_END_S)

    run(scenario, (POOL, ARCHIVE))


def test_tasks_of_half_the_limit_start_though_both_pools_want_what_they_have():
    """Each owner lent only what it did not want itself, so both waited (review/11)."""

    async def scenario(cell):
        cell.submit("large-1", 4000, POOL)
        cell.submit("large-2", 4000, ARCHIVE)
        await cell.follow(lambda: cell.count("large"), OWED_S)
        ran = set()

        def have_both_run():
            ran.update(n for n, _ in cell.find_runs() if n.startswith("large"))
            return len(ran) == 2

        await cell.follow(have_both_run, DURATIONS["large"] + TURN_END_S)

    run(scenario, (POOL, ARCHIVE))


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.3, 0.6, 1.0])
@pytest.mark.parametrize("pools", [[ARCHIVE], [POOL], [POOL, ARCHIVE]])
def test_owners_die_while_a_large_task_gathers_the_limit_or_runs(delay, pools):
    """The borrower's owner, the lender's, and both at once."""

    async def scenario(cell):
        cell.submit("large-1", 7600)
        until = asyncio.get_running_loop().time() + delay
        await cell.follow(
            lambda: asyncio.get_running_loop().time() >= until, delay + 0.1
        )
        for name in {cell.owner(pool) for pool in pools}:
            await cell.kill(name, loses_power=True)
        cell.submit("large-2", 7600, ARCHIVE)
        ran = set()

        def have_both_run():
            ran.update(n for n, _ in cell.find_runs() if n.startswith("large"))
            return len(ran) == 2

        await cell.follow(have_both_run, 30.0, (POOL, ARCHIVE))

    run(scenario, (POOL, ARCHIVE))


# In one pool


def test_a_gang_starts_beside_a_task_that_lasts_if_one_of_its_tasks_is_beyond():
    pool_state = make_limited_state("i-0", a=LIMIT)
    add_job(pool_state, "lasting", job(step(cpu_milli=1000, long_running=True)), "a")
    assert len(list_starts(plan(pool_state))) == 1
    add_job(pool_state, "wide", job(step(4, cpu_milli=4000, gang=True)), "a")
    assert not list_starts(plan(pool_state, 0.2))
    pool_state.cancel("wide", 0.3, 0.3)
    add_job(pool_state, "gang", job(step(3, cpu_milli=4000, gang=True)), "a")
    assert len(list_starts(plan(pool_state, 0.4))) == 3


def test_nothing_starts_beyond_the_limit_once_half_of_it_is_in_use():
    pool_state = make_limited_state("i-0", a=LIMIT)
    add_job(pool_state, "lasting", job(step(cpu_milli=6000, long_running=True)), "a")
    assert len(list_starts(plan(pool_state))) == 1
    add_job(pool_state, "large", job(step(cpu_milli=7000)), "a")
    assert not list_starts(plan(pool_state, 0.2))


def test_each_dimension_has_a_limit_of_its_own():
    limit = Resources(12_000, 0, 4, 0)
    pool_state = make_limited_state("i-0", a=limit)
    lasting = step(cpu_milli=1000, accelerators=3, long_running=True)
    add_job(pool_state, "lasting", job(lasting), "a")
    assert len(list_starts(plan(pool_state))) == 1
    add_job(pool_state, "both", job(step(cpu_milli=12_000, accelerators=2)), "a")
    assert not list_starts(plan(pool_state, 0.2))
    add_job(pool_state, "one", job(step(cpu_milli=12_000)), "a")
    assert list_starts(plan(pool_state, 0.3)) == [("one", "i-0")]


def test_without_the_whole_limit_lent_nothing_starts_beyond_it():
    pool_state = make_limited_state("i-0", a=LIMIT)
    use = pool_state.account_use
    use.find_use_elsewhere = lambda account, now: Resources(1 << 60)
    add_job(pool_state, "large", job(step(cpu_milli=13_000)), "a")
    assert not list_starts(plan(pool_state))
    use.find_use_elsewhere = lambda account, now: Resources(6000)
    assert not list_starts(plan(pool_state, 0.2))
    use.find_use_elsewhere = lambda account, now: Resources(5999)
    assert list_starts(plan(pool_state, 0.3)) == [("large", "i-0")]


# The turns themselves


def large(name, accepted_at, waiting_count=1, is_held_back=True):
    key = (name, 0, 0)
    return LargeStep(key, accepted_at, LIMIT, waiting_count, is_held_back)


def test_a_step_is_large_if_it_takes_more_than_half_of_the_share():
    assert is_large(Resources(6001), LIMIT) and not is_large(Resources(6000), LIMIT)


def test_the_oldest_step_has_the_first_turn_and_the_next_one_after_a_vain_turn():
    turns = LargeStepTurns()
    steps = [large("new", 2.0), large("old", 1.0)]
    assert turns.choose("a", steps, 0.0, is_low=False) is None
    assert turns.choose("a", steps, 1.0, is_low=False).key[0] == "old"
    assert turns.choose("a", steps, 5.0, is_low=False) is None
    assert turns.choose("a", steps, 8.9, is_low=False) is None
    assert turns.choose("a", steps, 9.0, is_low=False) is None
    assert turns.choose("a", steps, 10.0, is_low=False).key[0] == "new"
    assert turns.choose("a", steps, 17.9, is_low=False).key[0] == "new"
    assert turns.choose("a", steps, 18.0, is_low=False) is None


def test_a_turn_ends_soon_while_little_is_used():
    turns = LargeStepTurns()
    steps = [large("one", 1.0)]
    assert turns.choose("a", steps, 0.0, is_low=True) is not None
    assert turns.choose("a", steps, 1.9, is_low=True) is not None
    assert turns.choose("a", steps, 2.0, is_low=True) is None
    assert turns.choose("a", steps, 2.9, is_low=True) is None
    assert turns.choose("a", steps, 3.0, is_low=True) is not None


def test_a_turn_ends_soon_if_the_step_may_start_and_does_not():
    """It waits for a host: smaller steps of its account must not wait with it."""
    turns = LargeStepTurns()
    assert turns.choose("a", [large("one", 1.0)], 0.0, is_low=False) is None
    assert turns.choose("a", [large("one", 1.0)], 1.0, is_low=False) is not None
    allowed = [large("one", 1.0, is_held_back=False)]
    assert turns.choose("a", allowed, 1.5, is_low=False) is not None
    assert turns.choose("a", allowed, 3.5, is_low=False) is None
    assert turns.choose("a", allowed, 9.0, is_low=False) is None


def test_a_turn_ends_with_the_first_start():
    turns = LargeStepTurns()
    assert turns.choose("a", [large("one", 1.0, 3)], 0.0, is_low=True) is not None
    assert turns.choose("a", [large("one", 1.0, 2)], 0.1, is_low=True) is None
    assert turns.choose("a", [large("one", 1.0, 2)], 4.0, is_low=True) is None
    assert turns.choose("a", [large("one", 1.0, 2)], 4.1, is_low=True) is not None
