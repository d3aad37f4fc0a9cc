"""Announcements of claims: when they show that no former owner extends leases."""

import asyncio

from siskinroad.work.claim import InheritedState
from siskinroad.work.claim_announcement import (
    CHECK_INTERVAL,
    ROUND_INTERVAL,
    ClaimAnnouncement,
)
from siskinroad.work.claim_notices import ClaimNotices
from siskinroad.work.records import FormerOwner
from tests.work.cell import POOL
from tests.work.test_claim_notices import run
from tests.work.test_daemon import run_scenario
from tests.work.test_deposed_owner import leave, start_cell, wait_for_owner
from tests.work.test_two_owners import now

HOSTS = ("i-0", "i-1")


def former_owner(witnesses, term=5, hosts=HOSTS):
    return FormerOwner(f"o{term}", 1, term, False, True, tuple(witnesses), hosts)


class Announced:
    """An announcement by the daemon `s`, with the names of each round of notices."""

    def __init__(self, *former, early=(), fenced=()):
        self.former, self.fenced = former, frozenset(fenced)
        self.acknowledging, self.rounds = "", []
        inherited = InheritedState(term=9, fenced_at=now())
        inherited.refused_at.update(dict.fromkeys(early, now() - 1.0))
        self.announcement = ClaimAnnouncement(
            self.send, "s", POOL, inherited, lambda: self.former, lambda: self.fenced
        )
        self.task = asyncio.create_task(self.announcement.run(lambda: True))

    async def send(self, pool, term, asked, acknowledged_at):
        assert (pool, term) == (POOL, 9)
        self.rounds.append("".join(asked))
        acknowledged_at.update({n: now() for n in asked if n in self.acknowledging})

    async def find_bound_s(self, seconds=1.0):
        """Return after how many seconds it ends; None if it does not for a while."""
        began_at = now()
        await asyncio.wait({self.task}, timeout=seconds)
        if not self.task.done():
            self.task.cancel()
            return None
        return round(self.task.result() - began_at, 2)


def test_a_witness_needs_more_than_a_third_of_them_or_a_host_that_answers_it():
    async def scenario():
        assert await Announced(former_owner("sab")).find_bound_s() is None
        assert await Announced(former_owner("sab"), fenced=["x"]).find_bound_s() is None
        both = Announced(former_owner("sab"), fenced=["i-1"])
        assert await both.find_bound_s() <= 2 * CHECK_INTERVAL
        assert await Announced(former_owner("sab"), early="b").find_bound_s() == 0.0
        # Of two, none may be silent.
        assert await Announced(former_owner("sa")).find_bound_s() == 0.0

    run(scenario)


def test_a_daemon_that_is_no_witness_waits_for_one_that_acknowledges():
    async def scenario():
        fenced = Announced(former_owner("abc"), fenced=HOSTS)
        await asyncio.sleep(3 * ROUND_INTERVAL)
        assert set(fenced.rounds) == {"abc"}
        fenced.acknowledging = "b"
        assert await fenced.find_bound_s() is not None
        alone = Announced(former_owner("abc"), early="a")
        assert await alone.find_bound_s() is None
        assert set(alone.rounds) == {"bc"}

    run(scenario)


def test_each_former_owner_needs_a_witness_of_its_own():
    async def scenario():
        former = (former_owner("sab"), former_owner("cde", term=6))
        one = Announced(*former, fenced=HOSTS)
        assert await one.find_bound_s() is None
        assert set(one.rounds) == {"cde"}
        assert await Announced(*former, early="d", fenced=HOSTS).find_bound_s() == 0.0

    run(scenario)


def test_an_owner_that_has_stored_no_witnesses_extends_nothing():
    async def scenario():
        unstored = FormerOwner("f", 1, 5, False, True)
        assert await Announced(unstored).find_bound_s() == 0.0
        earlier = FormerOwner("f", 1, 5, True)
        assert await Announced(earlier).find_bound_s() is None
        assert await Announced(former_owner("")).find_bound_s() is None
        assert await Announced().find_bound_s() is None

    run(scenario)


def test_a_round_that_fails_ends_no_owner(monkeypatch):
    async def fail(self, *args):
        raise RuntimeError("no round")

    monkeypatch.setattr(ClaimNotices, "send", fail)

    async def scenario(cell):
        await start_cell(cell)
        lost = cell.owner()
        await cell.kill(lost, loses_power=True)
        leave(cell, "i-1")
        name = await wait_for_owner(cell, {lost})
        term = cell.daemons[name].owners[POOL].term.number
        await asyncio.sleep(20.0)
        owner = cell.daemons[name].owners[POOL]
        assert owner.term.number == term
        assert owner.pool_state.is_settled

    run_scenario(scenario)


def test_no_notice_is_sent_after_a_planned_release(monkeypatch):
    received = []
    acknowledge = ClaimNotices.acknowledge

    def record(self, msg):
        received.append(msg)
        return acknowledge(self, msg)

    monkeypatch.setattr(ClaimNotices, "acknowledge", record)

    async def scenario(cell):
        await start_cell(cell)
        received.clear()
        name = cell.owner()
        daemon = cell.daemons.pop(name)
        await daemon.drain()
        await daemon.close()
        await wait_for_owner(cell, {name})
        await asyncio.sleep(3.0)
        assert not received

    run_scenario(scenario)
