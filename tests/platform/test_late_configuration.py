"""Requests that meet a daemon which knows a version of the configuration late."""

import asyncio

from siskinroad_platform.callers import CallerHandler

from siskinroad.httpd import HttpRequest
from siskinroad.work.store import Record, StoreUnavailableError
from tests.work.test_cell_troubles import put_configuration
from tests.work.test_daemon import run_scenario

# Seconds after which the users count a version as in force at every daemon.
APPLY_LIMIT_S = 2.5
# Seconds for which a request may be served by an older version than one before it.
ROLLBACK_LIMIT_S = 0.25
# Version 1 has the queues /fast/, /slow/ and /advised/, version 3 only the first.
ONE_QUEUE, ALL_QUEUES = 3, 4


async def count_pending(daemon, path):
    """Return the status of a request for a queue's pending jobs."""
    headers = {"host": "h", "deadline-ms": "3000"}
    req = HttpRequest("GET", path, {}, headers, b"")
    return (await CallerHandler(daemon).handle(req)).status


def cut_links(cell, name):
    for other in cell.daemons:
        cell.network.faults.cut.update({(name, other), (other, name)})


def reject_next_read(daemon, topic, when_rejected):
    """Let the store reject one direct read of a topic."""
    direct = daemon.store.direct
    read = direct.read

    async def reject_once(name, start, *, wait, timeout=1.0):
        if name != topic:
            return await read(name, start, wait=wait, timeout=timeout)
        direct.read = read
        when_rejected()
        raise StoreUnavailableError("busy", step="store.read")

    direct.read = reject_once


def test_version_is_late_while_a_silent_peer_is_waited_for():
    # The store rejects one read. The next one goes through a daemon that has just
    # fallen silent, while the store answers this daemon again.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        daemon = cell.daemons["a"]
        is_rejected = asyncio.Event()

        def silence_peers():
            cut_links(cell, "b")
            cut_links(cell, "c")
            is_rejected.set()

        reject_next_read(daemon, "keyed.setup", silence_peers)
        await is_rejected.wait()
        put_configuration(cell, ONE_QUEUE)
        await asyncio.sleep(APPLY_LIMIT_S)
        assert daemon.job_service.configuration.version == ONE_QUEUE

    run_scenario(scenario)


def test_added_queue_is_refused_as_missing_by_a_daemon_that_cannot_read():
    async def scenario(cell):
        cell.start("a")
        await asyncio.sleep(3.0)
        daemon = cell.daemons["a"]
        cell.logs.faults.cut.add("a")
        put_configuration(cell, ALL_QUEUES)
        await asyncio.sleep(APPLY_LIMIT_S)
        assert await count_pending(daemon, "/slow/") == 503
        cell.logs.faults.cut.clear()
        await asyncio.sleep(APPLY_LIMIT_S)
        assert await count_pending(daemon, "/slow/") == 200
        assert await count_pending(daemon, "/none/") == 404

    run_scenario(scenario, configuration=ONE_QUEUE)


def test_version_that_only_peers_know_stays_unknown_while_the_store_is_silent():
    # It reaches the peers just before the store falls silent for all.
    async def scenario(cell):
        await cell.start_daemons("a", "b", "c")
        cell.logs.faults.cut.add("a")
        cell.logs.faults.no_read_replies.add("a")
        put_configuration(cell, ONE_QUEUE)
        await asyncio.sleep(0.1)
        cell.logs.faults.is_silent = True
        await asyncio.sleep(APPLY_LIMIT_S)
        assert cell.daemons["a"].job_service.configuration.version == ONE_QUEUE

    run_scenario(scenario)


def test_queue_of_a_version_that_cannot_be_decoded_is_refused_as_missing():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        cell.logs.append("keyed.setup", [Record("config", b"{")], None, None)
        await asyncio.sleep(APPLY_LIMIT_S)
        for daemon in cell.daemons.values():
            assert await count_pending(daemon, "/slow/") == 503
            assert await count_pending(daemon, "/fast/") == 200
        put_configuration(cell, ALL_QUEUES)
        await asyncio.sleep(APPLY_LIMIT_S)
        for daemon in cell.daemons.values():
            assert await count_pending(daemon, "/slow/") == 200
            assert await count_pending(daemon, "/none/") == 404

    run_scenario(scenario, configuration=ONE_QUEUE)


def test_request_is_served_by_a_newer_version_than_requests_that_come_after_it():
    # It is for a queue that only the newer version has, and waited for that version.
    async def scenario(cell):
        cell.start("a")
        await asyncio.sleep(3.0)
        daemon = cell.daemons["a"]
        cell.logs.faults.cut.add("a")
        put_configuration(cell, ALL_QUEUES)
        await asyncio.sleep(APPLY_LIMIT_S)
        began = asyncio.get_running_loop().time()
        assert await count_pending(daemon, "/slow/") == 503
        assert asyncio.get_running_loop().time() - began < ROLLBACK_LIMIT_S

    run_scenario(scenario, configuration=ONE_QUEUE)
