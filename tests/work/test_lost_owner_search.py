"""Seeded search for tasks that run twice, or not again, beside troubles of all kinds.

Each seed draws overlapping troubles: owners that are cut off together with some members
and some hosts, and their successors too; a store that is silent or slow; daemons that
are lost, restart or join; hosts that leave or lose their entries.
"""

import asyncio
import os
import random
from dataclasses import dataclass, field

import pytest

from siskinroad.work.store_memory import MemoryStore
from tests.work.cell import job, step
from tests.work.cut_hosts import find_twice, start_view, watch_host
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_two_owners import now

# By hand: LOST_SEEDS=300 LOST_FIRST_SEED=1000 pytest -rA ...
FIRST_SEED = int(os.environ.get("LOST_FIRST_SEED", "0"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("LOST_SEEDS", "10")))
# Seconds after the last trouble within which all tasks have to run, as the users ask.
WAIT_S = float(os.environ.get("LOST_WAIT_S", "7"))
BUSY_S = 25.0
# Seconds for which the cell is watched after the last trouble.
WATCH_S = 24.0
NAMES = "abcdefghi"


class TroubledStore(MemoryStore):
    """A daemon's store, whose calls may take a while for this daemon only.

    Attributes
    ----------
    delay_s : float
        Seconds that each call takes before it arrives.
    """

    delay_s = 0.0

    async def _simulate_delay(self, timeout):
        await asyncio.sleep(min(self.delay_s, timeout))
        await super()._simulate_delay(timeout)


@dataclass(slots=True)
class Split:
    """A cut between two sides.

    Attributes
    ----------
    near : set of str
        Daemons on one side; all others are on the far side.
    bridges : set of str
        Daemons on the far side that the near side reaches all the same.
    blocked : tuple of bool
        Whether messages from the near side, and to it, are lost.
    without_store : set of str
        Daemons that the store does not answer.
    near_hosts, far_hosts : set of str
        Hosts that only the near, and only the far side reaches.
    """

    near: set
    bridges: set = field(default_factory=set)
    blocked: tuple = (True, True)
    without_store: set = field(default_factory=set)
    near_hosts: set = field(default_factory=set)
    far_hosts: set = field(default_factory=set)

    def list_pairs(self, names):
        far = [n for n in names if n not in self.near | self.bridges]
        pairs = [(near, other) for near in self.near for other in far]
        outward = pairs if self.blocked[0] else []
        inward = [(b, a) for a, b in pairs] if self.blocked[1] else []
        return {*outward, *inward}


class Search:
    """A cell with one lasting task on each of some hosts, and its drawn troubles.

    Attributes
    ----------
    splits : list of Split
        The cuts in force, which may overlap.
    delays : dict of str to float
        Seconds that calls to the store take, by daemon.
    story : list of str
        What happened, and when.
    """

    def __init__(self, cell, seed):
        self.cell = cell
        self.rng = random.Random(seed)
        self.size = self.rng.choice((2, 3, 4, 4, 5, 6, 7, 8, 9))
        self.tasks = self.rng.randint(2, 4)
        self.views = {}
        self.splits = []
        self.delays = {}
        self.gone = set()
        self.story = []
        self.newcomers = self.new_hosts = 0
        self.stores = {}
        cell.open_store = self.open_store

    def open_store(self, logs, name):
        self.stores[name] = TroubledStore(logs, name)
        self.stores[name].delay_s = self.delays.get(name, 0.0)
        return self.stores[name]

    async def start(self):
        for name in list(self.cell.hosts.hosts):
            watch_host(self.cell, name, 1000.0)
        for name in NAMES[: self.size]:
            self.views[name] = start_view(self.cell, name)
        await asyncio.sleep(3.0)
        spec = job(step(self.tasks, cpu_milli=16000, spread=1, estimate=1000.0))
        await self.cell.submit("a", JOB_ID, spec)
        await self.cell.wait_for_starts(self.tasks)
        # Some troubles come before all members have been listed for long.
        await asyncio.sleep(self.rng.choice((0.5, 3.0, 12.0)))
        self.began_at = now()

    def tell(self, what):
        self.story.append(f"{now() - self.began_at:.2f} {what}")

    def choose(self, items, share):
        return {each for each in sorted(items) if self.rng.random() < share}

    def owner(self):
        """Return an owner of the pool, the newest one in most cases."""
        owners = {
            daemon.owners["desk"].pool_state.term: name
            for name, daemon in self.cell.daemons.items()
            if "desk" in daemon.owners
        }
        if not owners:
            return None
        terms = sorted(owners)
        return owners[terms[-1] if self.rng.random() < 0.8 else terms[0]]

    def apply(self):
        """Put the cuts in force, for the daemons and hosts that there are now."""
        names = set(self.views)
        faults = self.cell.network.faults
        faults.cut.clear()
        self.cell.logs.faults.cut.clear()
        for view in self.views.values():
            view.cut = set()
        for split in self.splits:
            faults.cut |= split.list_pairs(names)
            self.cell.logs.faults.cut |= split.without_store
            for name, view in self.views.items():
                is_near = name in split.near
                view.cut |= split.far_hosts if is_near else split.near_hosts

    async def hold(self, split, seconds):
        self.splits.append(split)
        self.apply()
        await asyncio.sleep(seconds)
        self.splits.remove(split)
        self.apply()

    def draw_near(self, owner, others):
        """Draw who stays beside an owner that is cut off; one other does not."""
        rng = self.rng
        kind = rng.random()
        if kind < 0.25 or not others:
            return {owner}
        if kind < 0.9:
            # About as many as extending leases without the store needs.
            third = len(others) // 3
            far = rng.randint(1, max(1, third))
            if kind > 0.75:
                far = rng.randint(third + 1, len(others) // 2 + 1)
            return {owner, *rng.sample(others, max(0, len(others) - far))}
        return {owner, *rng.sample(others, rng.randint(0, len(others) - 1))}

    def draw_split(self, owner, former):
        """Draw a cut around an owner; most are such that both sides may act."""
        rng = self.rng
        others = sorted(set(self.cell.daemons) - {owner})
        beside = (
            [n for n in others if n not in former] if rng.random() < 0.7 else others
        )
        split = Split(self.draw_near(owner, beside))
        far = set(others) - split.near
        hosts = set(self.cell.hosts.hosts)
        busy = {name for name in hosts if self.cell.hosts.hosts[name].runs}
        split.near_hosts = self.choose(busy, rng.choice((0.3, 0.6, 1.0)))
        split.near_hosts |= set(rng.sample(sorted(busy), min(1, len(busy))))
        # A host that both sides reach tells the former owner of its successor.
        spare = hosts - split.near_hosts
        split.far_hosts = self.choose(spare, rng.choice((0.5, 1.0, 1.0, 1.0, 1.0)))
        split.without_store = set(split.near)
        kind = rng.random()
        if kind < 0.1:
            split.bridges = self.choose(far, 0.4)
        elif kind < 0.2:
            split.blocked = rng.choice(((True, False), (False, True)))
        elif kind < 0.3:
            split.without_store = {owner, *self.choose(others, 0.3)}
        elif kind < 0.35:
            split.without_store = self.choose(others, 0.5)
        return split

    def describe(self, split):
        return (
            f"near {sorted(split.near)}, bridges {sorted(split.bridges)}, "
            f"blocked {split.blocked}, without store {sorted(split.without_store)}, "
            f"near hosts {sorted(split.near_hosts)}, "
            f"far hosts {sorted(split.far_hosts)}"
        )

    async def cut_owner(self):
        """Cut an owner off, and in some cases one successor after the other."""
        rng = self.rng
        former = []
        cuts = []
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            owner = await self.wait_for_owner(former)
            if owner is None:
                break
            split = self.draw_split(owner, former)
            former.append(owner)
            seconds = rng.uniform(3.0, 10.0) if rng.random() < 0.3 else 20.0
            seconds = min(seconds, self.rest_s())
            self.tell(f"{owner} cut off for {seconds:.1f} s: {self.describe(split)}")
            cuts.append(asyncio.ensure_future(self.hold(split, seconds)))
            if rng.random() < 0.45:
                cuts.append(asyncio.ensure_future(self.join(0.1)))
            if rng.random() < 0.5:
                cuts.append(asyncio.ensure_future(self.regroup(split, owner, former)))
            await asyncio.sleep(rng.choice((0.05, 0.5, 2.0, 4.0, 8.0)))
        await asyncio.gather(*cuts)

    async def regroup(self, split, owner, former):
        """Let members change to the former owner's side once it has a successor.

        They have acknowledged the claim, and some forget that as they restart.
        """
        rng = self.rng
        second = await self.wait_for_owner([*former, *split.near])
        if second is None:
            return
        await asyncio.sleep(rng.choice((0.0, 0.05, 0.5, 3.0)))
        others = sorted(set(self.cell.daemons) - split.near - {second})
        changing = set(others) if rng.random() < 0.6 else self.choose(others, 0.7)
        split.without_store |= changing
        self.apply()
        if rng.random() < 0.4:
            await asyncio.gather(*(self.restart(n, 1) for n in sorted(changing)))
        split.near |= changing
        self.tell(f"{sorted(changing)} change to the side of {owner}")
        self.apply()

    async def wait_for_owner(self, former):
        while self.rest_s() > 1.0:
            for name in sorted(self.cell.daemons):
                if name not in former and "desk" in self.cell.daemons[name].owners:
                    return name
            await asyncio.sleep(0.05)
        return None

    def rest_s(self):
        return max(0.0, self.began_at + BUSY_S - now())

    async def trouble_store(self):
        """Let the store be silent or slow for all daemons, or for some."""
        rng = self.rng
        faults = self.cell.logs.faults
        kind = rng.choice(("silent", "slow", "cut", "slow for some", "replies lost"))
        seconds = min(rng.uniform(1.0, 9.0), self.rest_s() + 2.0)
        chosen = self.choose(self.views, 0.5)
        self.tell(f"store {kind} for {seconds:.1f} s, {sorted(chosen)}")
        match kind:
            case "silent":
                faults.is_silent = True
                await asyncio.sleep(seconds)
                faults.is_silent = False
            case "slow":
                faults.call_delay_s = rng.choice((0.1, 0.3, 0.5))
                await asyncio.sleep(seconds)
                faults.call_delay_s = 0.0
            case "cut":
                await self.hold(Split(set(), without_store=chosen), seconds)
            case "slow for some":
                self.slow(chosen, rng.choice((0.2, 0.5, 0.9)))
                await asyncio.sleep(seconds)
                self.slow(chosen, 0.0)
            case "replies lost":
                faults.late_append_delay = rng.choice((0.0, 0.5))
                faults.lost_replies = rng.randint(1, 3)

    def slow(self, names, delay_s):
        for name in names:
            self.delays[name] = delay_s
            self.stores[name].delay_s = delay_s

    def pick_daemon(self):
        owner = self.owner()
        if owner is not None and self.rng.random() < 0.5:
            return owner
        names = sorted(self.cell.daemons)
        return self.rng.choice(names) if names else None

    async def stop(self, name, is_power=True):
        if name not in self.cell.daemons:
            return False
        await self.cell.kill(name, loses_power=is_power)
        return True

    def begin(self, name):
        if name not in self.cell.daemons and name not in self.gone:
            self.views[name] = start_view(self.cell, name)
            self.apply()

    async def restart(self, name, times, after_s=0.0):
        await asyncio.sleep(after_s)
        for _ in range(times):
            is_power = self.rng.random() < 0.7
            off_s = self.rng.choice((0.05, 0.3, 1.0, 3.0))
            self.tell(f"{name} off for {off_s} s, power {is_power}")
            if not await self.stop(name, is_power):
                return
            await asyncio.sleep(off_s)
            self.begin(name)
            await asyncio.sleep(self.rng.choice((0.1, 0.4, 1.0, 3.0)))

    async def restart_some(self):
        share = self.rng.choice((0.3, 0.7, 1.0))
        names = sorted(self.choose(self.cell.daemons, share))
        if self.rng.random() < 0.6:
            names = [name for name in names if name != self.owner()]
        times = self.rng.choice((1, 1, 2))
        if self.rng.random() < 0.4:
            for name in names:
                await self.restart(name, 1)
        else:
            await asyncio.gather(*(self.restart(name, times) for name in names))

    async def restart_one(self):
        name = self.pick_daemon()
        if name is not None:
            await self.restart(name, self.rng.choice((1, 2)))

    async def lose(self):
        """Let one daemon lose its power for good, or most of them, and a host."""
        count = self.rng.choice((1, 1, 1, 2, self.size - 1))
        for _ in range(count):
            name = self.pick_daemon()
            if name is not None and len(set(self.views) - self.gone) > 1:
                self.tell(f"{name} lost for good")
                self.gone.add(name)
                await self.stop(name)
        busy = sorted(n for n, h in self.cell.hosts.hosts.items() if h.runs)
        if busy and self.rng.random() < 0.6:
            self.add_host()
            self.leave(self.rng.choice(busy))

    async def join(self, near_share=0.3):
        """Let daemons start that were never listed; some restart at once."""
        for _ in range(self.rng.randint(1, 4)):
            self.newcomers += 1
            name = f"x{self.newcomers}"
            for split in self.splits:
                if self.rng.random() < near_share:
                    split.near.add(name)
                    split.without_store.add(name)
            self.tell(f"{name} joins")
            self.begin(name)
            if self.rng.random() < 0.6:
                again_s = self.rng.choice((0.3, 0.5, 1.0))
                again = self.restart(name, 1, again_s)
                self.running.append(asyncio.ensure_future(again))
            await asyncio.sleep(self.rng.choice((0.0, 0.5)))

    async def trouble_host(self):
        """Let a host leave, restart, or be without its entry for a while."""
        cell = self.cell
        rng = self.rng
        present = sorted(n for n, h in cell.hosts.hosts.items() if h.down_s < 1e9)
        name = rng.choice(present)
        kind = rng.choice(("leaves", "restarts", "unlisted", "drains"))
        self.tell(f"host {name} {kind}")
        if kind == "restarts":
            cell.hosts.hosts[name].crash()
            return
        self.add_host()
        if kind == "unlisted":
            cell.unlist(name)
            await asyncio.sleep(min(rng.uniform(2.0, 12.0), self.rest_s()))
            if cell.hosts.hosts[name].down_s < 1e9:
                cell.relist(name)
            return
        if kind == "drains":
            cell.drain(name)
            await asyncio.sleep(2.0)
        self.leave(name)

    def add_host(self):
        self.new_hosts += 1
        self.cell.add_host(f"n-{self.new_hosts}")
        watch_host(self.cell, f"n-{self.new_hosts}", 1000.0)

    def leave(self, name):
        self.tell(f"host {name} is lost")
        self.cell.hosts.hosts[name].down_s = 1e9
        self.cell.hosts.hosts[name].crash()
        self.cell.unlist(name)

    async def lose_messages(self):
        faults = self.cell.network.faults
        faults.loss = self.rng.choice((0.1, 0.3))
        faults.jitter = self.rng.choice((0.0, 0.05, 0.3))
        await asyncio.sleep(min(self.rng.uniform(1.0, 5.0), self.rest_s()))
        faults.loss = faults.jitter = 0.0

    async def run(self):
        """Run the drawn troubles, and heal what they have left."""
        rng = self.rng
        kinds = [self.cut_owner] + [self.trouble_store] * 2
        kinds += [self.restart_one, self.restart_some, self.lose] * 2
        kinds += [self.join] * 3 + [self.trouble_host] * 2 + [self.lose_messages]
        first = [self.cut_owner] if rng.random() < 0.9 else []
        chosen = first + [
            rng.choice(kinds) for _ in range(rng.choice((0, 1, 1, 2, 3, 5)))
        ]
        times = [rng.uniform(0.0, BUSY_S - 5.0) for _ in chosen]
        if first:
            times[0] = rng.uniform(0.0, 3.0)
        if rng.random() < 0.4:
            # Owners that are lost as the last trouble are not back after it.
            last = (self.trouble_store, self.restart_some, self.lose, self.lose)
            chosen += last
            times += [BUSY_S + rng.uniform(-5.0, 0.0) for _ in last]

        async def later(seconds, what):
            await asyncio.sleep(seconds)
            await what()

        pairs = zip(times, chosen, strict=True)
        self.running = [asyncio.ensure_future(later(*each)) for each in pairs]
        while self.running:  # Some troubles cause others.
            await self.running.pop()
        self.cell.logs.faults.lost_replies = 0
        for name in self.views:
            self.begin(name)
        self.tell(f"calm, lost {sorted(self.gone)}")

    async def find_wait_s(self):
        """Return the seconds from now on after which all tasks run, and go on."""
        calm_at = last_at = now()
        while now() < calm_at + WATCH_S:
            hosts = self.cell.hosts.hosts.values()
            for host in hosts:
                host.advance()
            if len({r.task for host in hosts for r in host.runs.values()}) < self.tasks:
                last_at = now() + 0.05
            await asyncio.sleep(0.05)
        return last_at - calm_at


def run_seed(seed):
    """Return the search, the tasks that ran twice, and how long the last one waited."""
    found = []

    async def scenario(cell):
        search = Search(cell, seed)
        await search.start()
        await search.run()
        wait_s = await search.find_wait_s()
        twice = [
            f"{at - search.began_at:.2f} {what}: {task.index} run {run} on {name}, "
            f"run {other_run} on {other_name}"
            for what, at, task, run, name, other_run, other_name in find_twice(cell)
        ]
        found.append((search, twice, wait_s))

    try:
        run_scenario(scenario, hosts=7, seed=seed)
    except AssertionError as error:
        # The starts are not in the order of their run numbers.
        if not found:
            raise
        found[0][1].append(f"order of runs: {error}")
    return found[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_and_all_run_again_after_drawn_troubles(seed):
    search, twice, wait_s = run_seed(seed)
    print(f"SEARCH seed {seed}, {search.size} daemons: {wait_s:.1f} s")
    story = "\n".join([f"seed {seed}, {search.size} daemons", *search.story])
    assert not twice, "\n".join([story, *twice])
    assert wait_s < WAIT_S, f"{story}\n{wait_s:.1f} s until all tasks run"
