"""The witnesses of an owner: who they are, and what rests on them."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest

from siskinroad.work.lease_extender import LeaseExtender
from siskinroad.work.members import Members
from siskinroad.work.messages import Heartbeat
from siskinroad.work.records import FormerOwner, HostSet, Member
from siskinroad.work.run_table import RunTable
from siskinroad.work.witnesses import (
    KEEP_S,
    MAX_WITNESSES,
    WitnessChooser,
    choose_witnesses,
    find_bound_at,
)
from tests.work.cell import POOL, entry, job, step
from tests.work.test_claim_notices import run
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_deposed_owner import leave, start_cell
from tests.work.test_lease_extender import watch_queries
from tests.work.test_lost_owner import check_runs_again, lose_owner
from tests.work.test_two_owners import now

LARGE_CELL = 66


def powerset(names):
    sizes = range(len(names) + 1)
    return [set(c) for size in sizes for c in itertools.combinations(names, size)]


def make_extender(held_at):
    """Return the extender of an owner whose token hosts held at some loop times."""
    table = RunTable(POOL, 5)
    for name, at in held_at.items():
        table.add_or_update_host(entry(name))
        table.hosts[name].token_held_at = at
    return LeaseExtender(table, SimpleNamespace(), None, None)


@pytest.mark.parametrize("count", range(7))
@pytest.mark.parametrize("host_count", [0, 1, 2, 4, 5])
def test_no_owner_extends_leases_on_whose_end_a_successor_counts(count, host_count):
    # Each witness refuses, is silent or states; each host rejects one of the tokens.
    witnesses = tuple("abcdefg"[:count])
    hosts = tuple(f"i-{number}" for number in range(host_count))
    former = FormerOwner("f", 1, 5, False, True, witnesses, hosts)
    host_set = HostSet(hosts, 5, True, None, witnesses)
    counts = itertools.product(powerset(witnesses), powerset(hosts))
    for refusing, fenced in counts:
        refused_at = dict.fromkeys(refusing, 1.0)
        is_bound = find_bound_at(former, refused_at, frozenset(fenced), 1.0) is not None
        extender = make_extender(dict.fromkeys(set(hosts) - fenced, 2.0))
        for stated in powerset(set(witnesses) - refusing):
            certain_at = extender._find_certain_at(host_set, 2.0, stated)
            assert not (is_bound and certain_at > 1.0)


@pytest.mark.parametrize(
    ("silent", "silent_hosts", "extends"),
    [(0, 4, True), (1, 2, False), (1, 1, True), (1, 0, True), (2, 0, False)],
)
def test_a_silent_witness_costs_the_leases_only_if_hosts_are_silent_too(
    silent, silent_hosts, extends
):
    async def scenario():
        hosts = ("i-0", "i-1", "i-2", "i-3")
        extender = make_extender(dict.fromkeys(hosts[silent_hosts:], now()))
        host_set = HostSet(hosts, 5, True, None, ("a", "b", "c"))
        stated = {"a", "b", "c"} - set("abc"[:silent])
        certain_at = extender._find_certain_at(host_set, now(), stated)
        assert (certain_at == now()) is extends

    run(scenario)


def test_witnesses_are_of_as_many_data_centres_as_there_are():
    data_centres = {f"m{n:02d}": f"dc{n % 3}" for n in range(30)}
    chosen = choose_witnesses((), data_centres, data_centres)
    assert len(chosen) == MAX_WITNESSES
    counts = [sum(data_centres[n] == f"dc{c}" for n in chosen) for c in range(3)]
    assert max(counts) - min(counts) <= 1
    # Those that are witnesses stay.
    kept = chosen[2:]
    assert set(kept) <= set(choose_witnesses(kept, data_centres, data_centres))


class Heard:
    """A chooser, and the members that it hears."""

    def __init__(self, names):
        self.members = Members("s", 1)
        for name in names:
            self.members.add_member(Member(name, 1, name, "dc1", "r1"))
        self.may_change = True
        self.chooser = WitnessChooser(self.members, lambda: self.may_change)

    def hear(self, names, at):
        for name in names:
            heartbeat = Heartbeat(name, 1, (), True, False, 0.0)
            self.members.record_heartbeat(heartbeat, at)


def test_witnesses_that_are_lost_are_dropped_once_others_are_alive():
    heard = Heard("abc")
    heard.hear("abc", 10.0)
    assert heard.chooser.choose(10.0) == ("a", "b", "c")
    heard.hear("a", 12.0 + KEEP_S)
    assert heard.chooser.choose(11.9) == ("a", "b", "c")
    assert heard.chooser.choose(11.8 + KEEP_S) == ("a", "b", "c")
    assert heard.chooser.choose(12.1 + KEEP_S) == ("a",)
    assert "a" in heard.chooser.choose(30.0)
    heard.hear("b", 31.0)
    assert heard.chooser.choose(31.0) == ("b",)


def test_witnesses_that_are_lost_together_stay():
    heard = Heard("abc")
    heard.hear("abc", 10.0)
    for at in (10.0, 11.9, 13.1, 60.0):
        assert heard.chooser.choose(at) == ("a", "b", "c")


def test_witnesses_do_not_change_while_the_store_is_silent():
    heard = Heard("abc")
    heard.hear("ab", 10.0)
    assert heard.chooser.choose(10.0) == ("a", "b")
    heard.may_change = False
    heard.hear("c", 20.0)
    assert heard.chooser.choose(20.0) == ("a", "b")
    heard.may_change = True
    assert heard.chooser.choose(20.0) == ("c",)


def test_an_owner_that_knows_no_other_member_has_no_witness():
    assert Heard("").chooser.choose(10.0) == ()
    assert Heard("ab").chooser.choose(10.0) == ("a", "b")


async def start_large_cell(cell):
    for host in cell.hosts.hosts.values():
        host.task_duration_s = 1000.0
    await cell.start_daemons(*(f"n{number:02d}" for number in range(LARGE_CELL)))
    spec = job(step(3, cpu_milli=16000, spread=1, estimate=1000.0))
    await cell.submit("n00", JOB_ID, spec)
    await cell.wait_for_starts(3)
    await asyncio.sleep(2.0)


def test_a_lasting_task_runs_again_soon_after_the_loss_of_its_owner_in_a_large_cell():
    async def scenario(cell):
        await start_large_cell(cell)
        await lose_owner(cell, 0.0)
        leave(cell, "i-1")
        await check_runs_again(cell, now())

    run_scenario(scenario)


def test_an_owner_in_a_large_cell_asks_few_members_and_keeps_its_runs(monkeypatch):
    answered = watch_queries(monkeypatch)

    async def scenario(cell):
        await start_large_cell(cell)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(8.0)
        assert 0 < len(answered) <= 8 * MAX_WITNESSES
        cell.logs.faults.is_silent = False
        await asyncio.sleep(5.0)
        assert len(cell.hosts.starts()) == 3

    run_scenario(scenario)


def test_a_successor_knows_of_an_owner_before_the_last_that_it_extends_nothing():
    # The second owner has found that out, and is lost with all that showed it.
    async def scenario(cell):
        await start_cell(cell)
        first = cell.owner()
        await cell.kill(first, loses_power=True)
        leave(cell, "i-1")
        await asyncio.sleep(3.5)
        second = cell.owner()
        owner = cell.daemons[second].owners[POOL]
        assert not owner.pool_state.is_settled
        (stored,) = owner.progress.list_host_sets()
        assert [(f.node, f.witnesses) for f in stored.unreconciled] == [(first, None)]

    run_scenario(scenario)
