"""Large configurations, and daemons whose links take seconds for them."""

import asyncio
import hashlib
from dataclasses import replace

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import ProtocolError
from siskinroad.work.model import Configuration
from siskinroad.work.store import Record, StoreUnavailableError
from tests.work.cell import CONFIGURATION, FAST, POOL, Cell, PlainDecoder
from tests.work.slow_links import (
    LARGE_LINK,
    SMALL_LINK,
    SMALLEST_LINK,
    count_bytes,
    use_slow_links,
)

# Seconds within which users want a configuration in force everywhere.
APPLY_S = 4.0
LARGE = ("n0", "n1", "n2")
SMALL = tuple(f"n{number}" for number in range(3, 14))
SMALLEST = "n14"
ROUTES = 2850


class RoutesDecoder(PlainDecoder):
    """Decoder of records of a version and its routes, each on a line.

    Attributes
    ----------
    queue_counts : dict of int to int
        Queues of some versions beside those of every version.
    """

    def __init__(self):
        self.queue_counts = {}

    def decode_configuration(self, key, value):
        version, _, routes = value.partition(b"\n")
        if routes and not routes.endswith(b"end\n"):
            raise ProtocolError("configuration is not whole", step="test")
        number = int(version)
        queues = CONFIGURATION.queues + make_queues(self.queue_counts.get(number, 0))
        return Configuration(number, queues, (POOL,), 1 << 18)


def make_queues(count):
    return tuple(
        replace(FAST, name=f"route-{number}", prefix=f"/route-{number:05}/")
        for number in range(count)
    )


def make_large_record(version):
    """Return a record of about 900 kB, a quarter of it if compressed."""
    lines = [f"{version}"]
    for number in range(ROUTES):
        digest = hashlib.sha512(f"{version} {number}".encode()).hexdigest()
        lines.append(
            f'{{"queue":"declaraciones-{number}","host":"declaraciones.example.org",'
            f'"prefix":"/{digest[:12]}/","pool":"desk","class":"batch","account":'
            f'"account-{number % 97}","weight":3,"value":{{"full_s":1.5,"zero_s":9.5}},'
            f'"limits":{{"start_s":3.0,"attempts":3,"size":4000}},'
            f'"key":"{digest[12:112]}"}}'
        )
    return Record("config", "\n".join([*lines, "end\n"]).encode())


class SilentStore:
    """Store that answers no read."""

    async def read(self, topic, start, *, wait, timeout):
        await asyncio.sleep(timeout)
        raise StoreUnavailableError("no answer", step="test")


class Watch:
    """What a cell's daemons believe, looked at often.

    Attributes
    ----------
    applied_at : dict of tuple to float
        Loop time at which a daemon had a version in force, by both.
    terms : set of int
        Terms under which a daemon has owned the pool.
    claims : set of str
        Daemons that were claiming the pool.
    unheard : set of tuple
        Daemons that did not know of the pool's owner, and that owner.
    """

    def __init__(self, cell):
        self.cell = cell
        self.applied_at = {}
        self.terms = set()
        self.claims = set()
        self.unheard = set()

    async def run(self):
        while True:
            now = asyncio.get_running_loop().time()
            for name, daemon in self.cell.daemons.items():
                version = daemon.configuration_reader.version
                self.applied_at.setdefault((name, version), now)
                if POOL in daemon.owners:
                    self.terms.add(daemon.owners[POOL].term.number)
                if POOL in daemon.claim_manager.claiming:
                    self.claims.add(name)
                owner = self.cell.owner()
                if name != owner and daemon.members.owner(POOL, now) != owner:
                    self.unheard.add((name, owner))
            await asyncio.sleep(0.02)


def run_cell_of_slow_links(scenario, seed=1, has_smallest=True):
    async def run_and_close():
        cell = Cell(seed=seed)
        cell.decoder = RoutesDecoder()
        cell.logs.record_bytes = 1_200_000
        rates = dict.fromkeys(SMALL, SMALL_LINK) | {SMALLEST: SMALLEST_LINK}
        links = use_slow_links(cell, rates, seed, LARGE_LINK)
        try:
            for name in (*LARGE, *SMALL, SMALLEST)[: None if has_smallest else -1]:
                cell.start(name, processor=2.0 if name in LARGE else 0.5)
            await cell.wait_for_owner()
            await asyncio.sleep(2.0)
            watch = Watch(cell)
            task = asyncio.ensure_future(watch.run())
            await scenario(cell, links, watch)
            task.cancel()
        finally:
            await cell.close()
        cell.check_run_numbers()

    run_on_paused_clock(run_and_close())


def put(cell, version):
    """Put a large version in force; return the loop time and the bytes."""
    record = make_large_record(version)
    cell.logs.append("keyed.setup", [record], None, None)
    return asyncio.get_running_loop().time(), count_bytes(record)


def find_late(watch, version, put_at, allowed_s, names):
    """Return the daemons that had a version too late, with the seconds it took."""
    took_s = {n: watch.applied_at.get((n, version), 1e9) - put_at for n in names}
    return {name: took for name, took in took_s.items() if took > allowed_s}


async def put_two_in_a_row(cell):
    """Put two large versions in force, 2.6 s apart; return when and how long."""
    put(cell, 10)
    await asyncio.sleep(2.6)
    put_at, size = put(cell, 12)
    await asyncio.sleep(10.0)
    return put_at, size


def test_two_large_configurations_in_a_row_reach_daemons_on_small_links():
    async def scenario(cell, links, watch):
        put_at, _ = await put_two_in_a_row(cell)
        assert find_late(watch, 12, put_at, APPLY_S, (*LARGE, *SMALL)) == {}

    run_cell_of_slow_links(scenario)


def test_no_daemon_claims_a_pool_from_its_owner_beside_large_configurations():
    async def scenario(cell, links, watch):
        owner = cell.owner()
        await put_two_in_a_row(cell)
        assert watch.claims == set()
        assert (watch.terms, cell.owner()) == ({1}, owner)

    run_cell_of_slow_links(scenario)


def test_a_large_configuration_reaches_a_daemon_that_needs_seconds_for_its_bytes():
    async def scenario(cell, links, watch):
        put_at, size = await put_two_in_a_row(cell)
        transfer_s = size / SMALLEST_LINK
        allowed_s = APPLY_S if transfer_s < APPLY_S else transfer_s + APPLY_S
        assert find_late(watch, 12, put_at, allowed_s, [SMALLEST]) == {}

    run_cell_of_slow_links(scenario)


def test_no_pool_changes_hands_while_the_queues_of_a_large_configuration_are_stored():
    # The owner stores each queue, and all daemons read these records too.
    async def scenario(cell, links, watch):
        cell.decoder.queue_counts = {10: 700, 12: 1400}
        owner = cell.owner()
        put_at, _ = await put_two_in_a_row(cell)
        assert find_late(watch, 12, put_at, APPLY_S, cell.daemons) == {}
        assert (watch.claims, watch.terms, cell.owner()) == (set(), {1}, owner)
        for daemon in cell.daemons.values():
            assert not daemon.queue_registry.list_unstored(POOL, ())

    run_cell_of_slow_links(scenario, has_smallest=False)


def test_parts_from_peers_keep_no_link_from_the_heartbeats_of_the_owner():
    # Also a link of 2 Mbit/s has room for both, if nothing else takes it.
    async def scenario(cell, links, watch):
        for name in (*SMALL, SMALLEST):
            cell.daemons[name].configuration_follower.store = SilentStore()
        await asyncio.sleep(3.0)
        put_at, _ = await put_two_in_a_row(cell)
        assert find_late(watch, 12, put_at, APPLY_S, cell.daemons) == {}
        assert (watch.unheard, watch.claims) == (set(), set())

    run_cell_of_slow_links(scenario)


async def check_links_become_free(cell, links):
    await put_two_in_a_row(cell)
    before = {name: links.receiving(name).carried_bytes for name in SMALL}
    await asyncio.sleep(2.0)
    taken = {n: links.receiving(n).carried_bytes - before[n] for n in SMALL}
    # A fifth of the link, where a copy of a configuration takes all of it.
    most = 2.0 * SMALL_LINK / 5
    assert {name: size for name, size in taken.items() if size > most} == {}


def test_links_are_free_again_soon_after_a_large_configuration():
    async def scenario(cell, links, watch):
        await check_links_become_free(cell, links)

    run_cell_of_slow_links(scenario, has_smallest=False)


def test_reads_of_a_daemon_on_a_slower_link_take_no_link_of_others():
    async def scenario(cell, links, watch):
        await check_links_become_free(cell, links)

    run_cell_of_slow_links(scenario)


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_large_configuration_arrives_though_messages_are_lost(seed):
    # A tenth of them; daemons that the store does not answer need the peers. Users do
    # not count a time limit while messages are lost, but want it to arrive.
    async def scenario(cell, links, watch):
        cell.network.faults.loss = 0.1
        cut = SMALL[:4]
        cell.logs.faults.no_read_replies.update(cut)
        put(cell, 10)
        await asyncio.sleep(3 * APPLY_S)
        versions = {n: cell.daemons[n].configuration_reader.version for n in cut}
        assert versions == dict.fromkeys(cut, 10)

    run_cell_of_slow_links(scenario, seed)
