"""Background loops of a daemon that fail unexpectedly and are started again."""

import asyncio

import pytest

from tests.work.cell import job
from tests.work.test_daemon import JOB_ID, run_scenario


def fail_once(owner, name):
    """Let the next call of a method raise an error that nothing expects."""
    method = getattr(owner, name)

    def fail(*args):
        setattr(owner, name, method)
        raise RuntimeError("unexpected")

    setattr(owner, name, fail)


@pytest.mark.parametrize(
    "find_method",
    [
        lambda daemon: (daemon.membership, "send_heartbeats"),
        lambda daemon: (daemon.membership, "send_digests"),
        lambda daemon: (daemon.claim_manager, "_pools_by_size"),
        lambda daemon: (daemon.hosts_follower, "_apply"),
        lambda daemon: (daemon.configuration_follower, "_apply"),
        lambda daemon: (daemon.members_follower, "_apply"),
    ],
    ids=["heartbeats", "digests", "claims", "hosts", "configuration", "members"],
)
def test_a_daemon_serves_on_after_an_unexpected_error_in_a_background_loop(find_method):
    # The only daemon fails at its start, so that nobody else does its work.
    async def scenario(cell):
        daemon = cell.start("a")
        fail_once(*find_method(daemon))
        await asyncio.sleep(4.0)
        reply = await cell.submit("a", JOB_ID, job())
        assert reply.kind == "ok"
        await cell.wait_for_state(JOB_ID, "complete", seconds=4.0)
        cell.add_host("i-9")
        await asyncio.sleep(2.0)
        assert "i-9" in daemon.hosts
        assert not any(task.done() for task in daemon._tasks[1:])

    run_scenario(scenario)
